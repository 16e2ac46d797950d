"""`orchidferry bench chain`: budgets down the chain: what they cost, and what they do to a stall."""

from __future__ import annotations

import argparse
import time
from dataclasses import replace
from typing import Any

from orchidferry.balancing.chain import Chain, Limits
from orchidferry.balancing.interface import Result
from orchidferry.node.chain.wire import HeaderCodec
from orchidferry.testkit.model.chains import ChainSimulation, Scenario

ROUNDS = 20_000


def _cost() -> dict[str, Any]:
    """Microseconds of a request that one attempt serves: the module's part, and the headers'."""
    chain = Chain(Limits("catalogo", "n0", False), "x")
    wire = HeaderCodec((("k1", b"k" * 32),))
    first = Chain(Limits("entrada", "n0", True), "y")
    first.admit("0", None, "a", 1.0, 1e6, 0.0)
    came = dict(wire.write(first.send("0", 0.0), 1.0))
    took = {"module": 0.0, "headers": 0.0}
    for n in range(ROUNDS):
        id = str(n)
        now = float(n)
        began = time.perf_counter()
        carried = HeaderCodec.read(wire, came) if n % 400 else HeaderCodec((("k1", b"k" * 32),)).read(came)
        read = time.perf_counter()
        chain.admit(id, carried, "a", 1.0, 1e6, now)
        chain.may_send(id, now)
        goes = chain.send(id, now)
        sent = time.perf_counter()
        wire.write(goes, 1.0)
        written = time.perf_counter()
        chain.attempt_ended(id, Result.SERVED, False, 0, 20.0, now)
        chain.done(id)
        took["module"] += sent - read + time.perf_counter() - written
        took["headers"] += read - began + written - sent
    row = {"what": "cost", **{f"{name}_us": 1e6 * s / ROUNDS for name, s in took.items()}}
    print(f"a request: {row['module_us']:.1f} us in the module, {row['headers_us']:.1f} us for both headers")
    return row


def _row(scenario: Scenario) -> dict[str, Any]:
    began = time.monotonic()
    simulation = ChainSimulation(scenario)
    out = simulation.run()
    firsts = max(1, out.calls_in_stall[0])
    per = [a / firsts for a in out.attempts_in_stall]
    last = [sum(out.served[-5:]), max(1, sum(out.requested[-5:]))]
    row = {
        "what": "stall",
        "on": scenario.budgets,
        "seed": scenario.seed,
        "servers": simulation.server_count,
        "per_second": simulation.clients_per_s,
        "per_first_try": per,
        "amplified": [p / scenario.fan_out**n for n, p in enumerate(per)],
        "back_after_s": out.recovery_s(scenario.stall[1]),
        "served_at_end": last[0] / last[1],
    }
    tiers = ", ".join(f"{a:.2f}" for a in row["amplified"])
    back = row["back_after_s"]
    print(
        f"{'on ' if scenario.budgets else 'off'} seed {scenario.seed}: {row['servers']} servers, "
        f"{simulation.clients_per_s:.0f}/s;"
        f" attempts over what one each makes, by tier: {tiers}; "
        f"99 % served again {'never' if back is None else f'{back:.0f} s after the stall'}, at the end "
        f"{row['served_at_end']:.0%} ({time.monotonic() - began:.0f} s)",
        flush=True,
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if not 40 <= args.servers <= 20_000 or not 1 <= args.seeds <= 100 or not 0.1 <= args.load <= 0.95:
        raise ValueError("--servers must be within 40 and 20000, --seeds 1 and 100, --load 0.1 and 0.95")
    rows = [_cost()]
    for seed in range(1, args.seeds + 1):
        scenario = Scenario(servers=args.servers, load=args.load, seed=seed)
        rows += [_row(replace(scenario, budgets=budgets)) for budgets in (False, True)]
    return rows
