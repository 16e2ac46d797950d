"""`orchidferry bench members`: failure detection by the membership protocol, by fleet size and loss.

Runs in virtual time.
"""

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

DEATH_S = 3.0  # time of the run at which a node is killed
# SWIM: the expected number of protocol intervals until some node probes the dead one
FIRST_PROBE_INTERVALS = math.e / (math.e - 1.0)


def measure(nodes: int, loss: float, seconds: float, seed: int) -> dict[str, Any]:
    """Simulate a fleet with complete member lists in which one node is killed.

    :param loss: probability that a datagram is lost.
    :param seconds: duration of the simulation after the death.
    """
    dead = f"n{nodes // 2}"
    detected_s: dict[str, float] = {}
    false_deaths: set[tuple[str, str]] = set()
    suspicions = 0
    first_suspected_s = math.inf

    def watch(t: float, observer: str, change: api.MemberChanged) -> None:
        nonlocal suspicions, first_suspected_s
        after = change.after
        if after is None:
            return
        if after.name == dead and t >= DEATH_S:
            if after.status is Status.SUSPECT:
                first_suspected_s = min(first_suspected_s, t - DEATH_S)
            elif after.status is Status.LOST:
                detected_s.setdefault(observer, t - DEATH_S)
        elif after.status is Status.LOST:
            false_deaths.add((observer, after.name))
        elif after.status is Status.SUSPECT:
            suspicions += 1

    faults = []
    if loss:
        all_nodes = frozenset(f"n{n}" for n in range(nodes))
        faults.append(LinkFault(0.0, math.inf, all_nodes, all_nodes, loss=loss))
    started_s = time.monotonic()
    fleet = SimulatedFleet(nodes, seed, faults, Timing(), warm=True, on_change=watch)
    fleet.schedule(DEATH_S, fleet.kill, dead)
    fleet.run(DEATH_S + seconds)
    detection_times_s = sorted(detected_s.values())
    node_s = (DEATH_S + seconds) * nodes

    def at(q: float) -> float | None:
        value = quantile(detection_times_s, q)
        return None if value is None else round(value, 2)

    return {
        "nodes": nodes,
        "loss": loss,
        "seed": seed,
        "known_by": len(detected_s),
        "of": nodes - 1,
        "first_suspected_s": round(first_suspected_s, 2) if first_suspected_s < math.inf else None,
        "known_p50_s": at(0.5),
        "known_p99_s": at(0.99),
        "known_last_s": at(1.0),
        "false_deaths_a_node_hour": round(len(false_deaths) / node_s * 3600.0, 3),
        "suspicions_seen_a_node_hour": round(suspicions / node_s * 3600.0, 1),
        "messages_a_node_s": round(sum(node.sent_messages for node in fleet.nodes.values()) / node_s, 2),
        "bytes_a_node_s": round(sum(node.sent_bytes for node in fleet.nodes.values()) / node_s, 1),
        "wall_s": round(time.monotonic() - started_s, 1),
    }


def plot(results: list[dict[str, Any]], path: str) -> None:
    """Plot the detection time of a death by size and loss, and the papers' formulas for no loss."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4), layout="constrained")
    left, right = figure.subplots(1, 2)
    sizes = sorted({one["nodes"] for one in results})
    for loss in sorted({one["loss"] for one in results}):
        of_this_loss = [one for one in results if one["loss"] == loss and one["known_p50_s"] is not None]
        left.plot(
            [o["nodes"] for o in of_this_loss],
            [o["known_p50_s"] for o in of_this_loss],
            "o-",
            label=f"loss {loss:.0%}, median",
        )
        left.plot(
            [o["nodes"] for o in of_this_loss],
            [o["known_p99_s"] for o in of_this_loss],
            "o:",
            label=f"loss {loss:.0%}, p99",
        )
        of_this_loss = [one for one in results if one["loss"] == loss]
        right.plot(
            [o["nodes"] for o in of_this_loss],
            [o["bytes_a_node_s"] for o in of_this_loss],
            "o-",
            label=f"loss {loss:.0%}",
        )
    timing = Timing()
    expected_s = [
        FIRST_PROBE_INTERVALS * timing.interval_ms / 1000.0 + bounds_ms(timing, n)[0] / 1000.0 for n in sizes
    ]
    left.plot(sizes, expected_s, "k--", label="e/(e-1) intervals + minimum suspicion time")
    left.set_ylabel("seconds until a death is detected")
    right.set_ylabel("bytes per node and second, at most")
    for axis in (left, right):
        axis.set_xscale("log")
        axis.set_ylim(bottom=0)
        axis.set_xlabel("nodes")
        axis.grid(alpha=0.25)
        axis.legend(fontsize=7)
    figure.savefig(path, dpi=110)


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command; a row is broken if some node never detected the death.

    :returns: the rows of `--json`.
    """
    sizes = [int(text) for text in args.nodes.split(",")]
    losses = [float(text) for text in args.loss.split(",")]
    if not all(3 <= n <= 10_000 for n in sizes) or not all(0.0 <= one <= 0.9 for one in losses):
        raise ValueError("--nodes must be 3 to 10000 and --loss 0 to 0.9, separated by commas")
    rows = []
    for nodes in sizes:
        for loss in losses:
            row = measure(nodes, loss, args.seconds, args.seed)
            rows.append(row | {"broken": row["known_by"] < row["of"]})
            print(json.dumps(row), flush=True)
    print("in virtual time, on one core")
    if args.plot:
        plot(rows, args.plot)
    return rows
