"""`orchidferry bench chain`: retry budgets along a chain of tiers, their cost and their effect on a stall."""

from __future__ import annotations

import argparse
import time
from dataclasses import replace
from typing import Any

from orchidferry.balancing.chain import Chain, Limits
from orchidferry.balancing.interface import Result
from orchidferry.node.chain.wire import HeaderCodec
from orchidferry.testkit.model.chains import ChainSimulation, Scenario

ROUNDS = 20_000  # requests over which the cost is averaged


def _cost() -> dict[str, Any]:
    """Measure the microseconds for a request that one attempt serves, in the module and in the headers."""
    chain = Chain(Limits("catalogo", "n0", False), "x")
    wire = HeaderCodec((("k1", b"k" * 32),))
    first = Chain(Limits("entrada", "n0", True), "y")
    first.admit("0", None, "a", 1.0, 1e6, 0.0)
    headers_in = dict(wire.write(first.send("0", 0.0), 1.0))
    spent_s = {"module": 0.0, "headers": 0.0}
    for n in range(ROUNDS):
        id = str(n)
        now = float(n)
        started_s = time.perf_counter()
        decoded = (
            HeaderCodec.read(wire, headers_in)
            if n % 400
            else HeaderCodec((("k1", b"k" * 32),)).read(headers_in)
        )
        read_s = time.perf_counter()
        chain.admit(id, decoded, "a", 1.0, 1e6, now)
        chain.may_send(id, now)
        outgoing = chain.send(id, now)
        sent_s = time.perf_counter()
        wire.write(outgoing, 1.0)
        written_s = time.perf_counter()
        chain.attempt_ended(id, Result.SERVED, False, 0, 20.0, now)
        chain.done(id)
        spent_s["module"] += sent_s - read_s + time.perf_counter() - written_s
        spent_s["headers"] += read_s - started_s + written_s - sent_s
    row = {"what": "cost", **{f"{name}_us": 1e6 * s / ROUNDS for name, s in spent_s.items()}}
    print(f"per request: {row['module_us']:.1f} us in the module, {row['headers_us']:.1f} us for headers")
    return row


def _row(scenario: Scenario) -> dict[str, Any]:
    started_s = time.monotonic()
    simulation = ChainSimulation(scenario)
    result = simulation.run()
    first_attempts = max(1, result.calls_in_stall[0])
    attempts_per_request = [a / first_attempts for a in result.attempts_in_stall]
    served_at_end = [sum(result.served[-5:]), max(1, sum(result.requested[-5:]))]
    row = {
        "what": "stall",
        "on": scenario.budgets,
        "seed": scenario.seed,
        "servers": simulation.server_count,
        "per_second": simulation.clients_per_s,
        "per_first_try": attempts_per_request,
        "amplified": [p / scenario.fan_out**n for n, p in enumerate(attempts_per_request)],
        "back_after_s": result.recovery_s(scenario.stall[1]),
        "served_at_end": served_at_end[0] / served_at_end[1],
    }
    tiers = ", ".join(f"{a:.2f}" for a in row["amplified"])
    recovery_s = row["back_after_s"]
    print(
        f"{'on ' if scenario.budgets else 'off'} seed {scenario.seed}: {row['servers']} servers, "
        f"{simulation.clients_per_s:.0f}/s;"
        f" attempts relative to one per call, by tier: {tiers}; "
        f"99 % served again {'never' if recovery_s is None else f'{recovery_s:.0f} s after the stall'}, "
        f"at the end {row['served_at_end']:.0%} ({time.monotonic() - started_s:.0f} s)",
        flush=True,
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 40 <= args.servers <= 20_000 or not 1 <= args.seeds <= 100 or not 0.1 <= args.load <= 0.95:
        raise ValueError("--servers must be within 40 and 20000, --seeds 1 and 100, --load 0.1 and 0.95")
    rows = [_cost()]
    for seed in range(1, args.seeds + 1):
        scenario = Scenario(servers=args.servers, load=args.load, seed=seed)
        rows += [_row(replace(scenario, budgets=budgets)) for budgets in (False, True)]
    return rows
