"""`orchidferry bench moves`: false rollbacks of good moves, time to roll back bad ones, routing cost."""

from __future__ import annotations

import argparse
import concurrent.futures
import os
import time
from collections import Counter
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.moves import State
from orchidferry.balancing.pools import PoolRule, Router, Rules
from orchidferry.testkit.model.moves import MOVE_START_S, Outcome, PoolBehaviour, Scenario, simulate_move

UNDONE_STATES = (State.ROLLING_BACK, State.FAILED)
SHAPES: dict[str, dict[str, Any]] = {
    "equal, bursts and an incident in both": {"incident_s": (60.0, 90.0)},
    "all fails": {"new_pool": PoolBehaviour(failure_rate=1.0)},
    "20 % fails": {"new_pool": PoolBehaviour(failure_rate=0.2)},
    "5 % fails (0.5 % in the old)": {"new_pool": PoolBehaviour(failure_rate=0.05)},
    "half of salvar-episodio fails": {"new_pool": PoolBehaviour(failure_rates={"salvar-episodio": 0.5})},
    "half of repasse-socio fails": {"new_pool": PoolBehaviour(failure_rates={"repasse-socio": 0.5})},
    "30 % fails at once": {"new_pool": PoolBehaviour(failure_rate=0.3, fast_failures=True)},
    "chokes from 40 % on": {"new_pool": PoolBehaviour(overload_share=0.4)},
    "twice as slow": {"new_pool": PoolBehaviour(time_factor=2.0)},
    "1.3 times as slow": {"new_pool": PoolBehaviour(time_factor=1.3)},
    "slow for 30 s, cold": {"new_pool": PoolBehaviour(warmup_s=30.0)},
}
REQUESTS = 5_000  # requests over which the cost is averaged


def _simulate(task: tuple[str, int]) -> Outcome:
    return simulate_move(Scenario(seed=task[1], **SHAPES[task[0]]))


def _measure_shape(name: str, seeds: int, pool: concurrent.futures.ProcessPoolExecutor) -> dict[str, Any]:
    outcomes = list(pool.map(_simulate, [(name, seed) for seed in range(seeds)], chunksize=4))
    undone = sorted((o for o in outcomes if o.state in UNDONE_STATES), key=lambda o: o.ended_s)
    states = Counter("undone" if o.state in UNDONE_STATES else o.state.value for o in outcomes)
    row: dict[str, Any] = {"what": name, "seeds": seeds, **states}
    if undone:
        carried = sorted(o.moved_fraction_until_end for o in undone)
        row |= {
            "undone_after_s": [
                undone[len(undone) // 2].ended_s - MOVE_START_S,
                undone[-1].ended_s - MOVE_START_S,
            ],
            "carried": [carried[len(carried) // 2], carried[-1]],
        }
    text = ", ".join(f"{state} {count}" for state, count in sorted(states.items()))
    details = ""
    if undone:
        (median_s, max_s), (median, maximum) = row["undone_after_s"], row["carried"]
        details = (
            f"; undone after {median_s:.0f} s (at most {max_s:.0f}); the new pool had carried {median:.2%} "
            f"of the worth by then (at most {maximum:.2%})"
        )
    print(f"{name}: {text}{details}", flush=True)
    return row


def _measure_cost(pools: int) -> dict[str, Any]:
    """Measure the microseconds per request with a number of pools; 0 is the module without pools."""
    classes = [api.RequestClass("a", 100.0, 1_000.0, repeat=api.Repeat.SAFE)]
    entries = [api.ServerEntry(n, kind=f"k{n % max(1, pools)}") for n in range(400)]
    rules = Rules(tuple(PoolRule(f"p{n}", frozenset({f"k{n}"})) for n in range(max(1, pools))))
    balancer = Balancer(api.Settings(classes), 1) if not pools else Router(api.Settings(classes), 1, rules)
    balancer.handle(api.ServerList(api.ListKind.FULL, 1, entries), 0.0)
    started_s = time.perf_counter()
    for n in range(REQUESTS):
        now = float(n)
        (sent,) = (
            a for a in balancer.handle(api.Request(str(n), "a", 900.0), now) if isinstance(a, api.Send)
        )
        balancer.handle(api.AttemptEnded(str(n), 0, sent.server, api.Result.SERVED, 20.0, True), now)
    us = 1e6 * (time.perf_counter() - started_s) / REQUESTS
    print(f"per request with {pools or 'no'} pools: {us:.1f} us", flush=True)
    return {"what": "cost", "pools": pools, "us": us}


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 1 <= args.seeds <= 10_000:
        raise ValueError("--seeds must be within 1 and 10000")
    rows = [_measure_cost(count) for count in (0, 2, 200)]
    with concurrent.futures.ProcessPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        for number, name in enumerate(SHAPES):
            rows.append(_measure_shape(name, args.seeds if number else 10 * args.seeds, pool))
    rows[3]["broken"] = rows[3].get("undone", 0) > 0.01 * rows[3]["seeds"]
    return rows
