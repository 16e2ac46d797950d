"""`orchidferry bench members`: the membership in virtual time, by fleet size and loss."""

from __future__ import annotations

import argparse
import json
import math
import time
from typing import Any

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Status
from orchidferry.balancing.fleet.suspicion import Timing, bounds_ms
from orchidferry.testkit.judge.quantiles import quantile
from orchidferry.testkit.model.fleet import SimulatedFleet
from orchidferry.testkit.world.links import LinkFault

DEATH_S = 3.0  # of the run, when the node dies
FIRST = math.e / (math.e - 1.0)  # SWIM's expected intervals until some node's probe finds a death


def measure(nodes: int, loss: float, seconds: float, seed: int) -> dict[str, Any]:
    """One fleet that all know all of, one death in it, and how long it goes on after that."""
    dead = f"n{nodes // 2}"
    known: dict[str, float] = {}
    false: set[tuple[str, str]] = set()
    suspected = 0
    first = math.inf

    def watch(t: float, observer: str, change: api.MemberChanged) -> None:
        nonlocal suspected, first
        after = change.after
        if after is None:
            return
        if after.name == dead and t >= DEATH_S:
            if after.status is Status.SUSPECT:
                first = min(first, t - DEATH_S)
            elif after.status is Status.LOST:
                known.setdefault(observer, t - DEATH_S)
        elif after.status is Status.LOST:
            false.add((observer, after.name))
        elif after.status is Status.SUSPECT:
            suspected += 1

    faults = []
    if loss:
        every = frozenset(f"n{n}" for n in range(nodes))
        faults.append(LinkFault(0.0, math.inf, every, every, loss=loss))
    began = time.monotonic()
    net = SimulatedFleet(nodes, seed, faults, Timing(), warm=True, on_change=watch)
    net.schedule(DEATH_S, net.kill, dead)
    net.run(DEATH_S + seconds)
    took = sorted(known.values())
    node_s = (DEATH_S + seconds) * nodes

    def at(q: float) -> float | None:
        value = quantile(took, q)
        return None if value is None else round(value, 2)

    return {
        "nodes": nodes,
        "loss": loss,
        "seed": seed,
        "known_by": len(known),
        "of": nodes - 1,
        "first_suspected_s": round(first, 2) if first < math.inf else None,
        "known_p50_s": at(0.5),
        "known_p99_s": at(0.99),
        "known_last_s": at(1.0),
        "false_deaths_a_node_hour": round(len(false) / node_s * 3600.0, 3),
        "suspicions_seen_a_node_hour": round(suspected / node_s * 3600.0, 1),
        "messages_a_node_s": round(sum(node.sent_messages for node in net.nodes.values()) / node_s, 2),
        "bytes_a_node_s": round(sum(node.sent_bytes for node in net.nodes.values()) / node_s, 1),
        "wall_s": round(time.monotonic() - began, 1),
    }


def plot(results: list[dict[str, Any]], path: str) -> None:
    """Time to know of a death by size and loss, beside what the papers' formulas give without loss."""
    from matplotlib.figure import Figure

    drawing = Figure(figsize=(9, 4), layout="constrained")
    left, right = drawing.subplots(1, 2)
    sizes = sorted({one["nodes"] for one in results})
    for loss in sorted({one["loss"] for one in results}):
        some = [one for one in results if one["loss"] == loss and one["known_p50_s"] is not None]
        left.plot(
            [o["nodes"] for o in some],
            [o["known_p50_s"] for o in some],
            "o-",
            label=f"loss {loss:.0%}, median",
        )
        left.plot(
            [o["nodes"] for o in some], [o["known_p99_s"] for o in some], "o:", label=f"loss {loss:.0%}, p99"
        )
        some = [one for one in results if one["loss"] == loss]
        right.plot(
            [o["nodes"] for o in some], [o["bytes_a_node_s"] for o in some], "o-", label=f"loss {loss:.0%}"
        )
    timing = Timing()
    papers = [FIRST * timing.interval_ms / 1000.0 + bounds_ms(timing, n)[0] / 1000.0 for n in sizes]
    left.plot(sizes, papers, "k--", label="e/(e-1) intervals + least suspicion")
    left.set_ylabel("seconds until a death is known")
    right.set_ylabel("bytes a node a second, at most")
    for axis in (left, right):
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
        axis.set_xlabel("nodes")
        axis.grid(alpha=0.25)
        axis.legend(fontsize=7)
    drawing.savefig(path, dpi=110)


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The measurement; a row is broken if somebody never knew of the death."""
    sizes = [int(text) for text in args.nodes.split(",")]
    losses = [float(text) for text in args.loss.split(",")]
    if not all(3 <= n <= 10_000 for n in sizes) or not all(0.0 <= one <= 0.9 for one in losses):
        raise ValueError("--nodes must be 3 to 10000 and --loss 0 to 0.9, with commas between")
    rows = []
    for nodes in sizes:
        for loss in losses:
            row = measure(nodes, loss, args.seconds, args.seed)
            rows.append(row | {"broken": row["known_by"] < row["of"]})
            print(json.dumps(row), flush=True)
    print("virtual time, one core used")
    if args.plot:
        plot(rows, args.plot)
    return rows
