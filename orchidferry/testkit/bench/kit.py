"""Measurements of the test kit itself: its capacity, the variation of one seed, the effect of retries.

`rehearsal` finds the largest load that this machine can drive before a run becomes void; `spread` runs one
seed several times; `retries` compares a scenario with and without retries.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import uvloop

from orchidferry.testkit.judge.verdict import Verdict, judge
from orchidferry.testkit.scenario import Class, Scenario, Tier
from orchidferry.testkit.world.director import Progress, Run, rehearse

RUN_S = 8.0  # duration of the load of each size
# The capacity of the kit shows with short requests: long ones measure the simulated servers instead.
SHORT_REQUESTS = Class("ler-feed", 1.0, 0.002, 1.2, 3.0, "safe", spread=0.3, group="all")
# The smallest size of each dimension.
FIRST_RATE = 500.0  # requests per second
FIRST_SERVERS = 100
FIRST_NODES = 8
MAX_SIZES = 8  # sizes of one dimension; each is twice the one before


def play(scenario: Scenario) -> tuple[Run, Verdict]:
    """Run a scenario once, and judge it."""
    run = uvloop.run(rehearse(scenario, Progress()))
    return run, judge(scenario, run.facts, run.start, run.end, run.complete, run.why)


def play_uninterrupted(scenario: Scenario) -> tuple[Run, Verdict]:
    """Run a scenario once, and judge it.

    :raises InterruptedError: if a signal stopped the run, which ends the measurement.
    """
    run, verdict = play(scenario)
    if run.interrupted:
        raise InterruptedError
    return run, verdict


def plain_scenario(
    name: str, rate: float, servers: int, tiers: int, nodes: int, workers: int, clients: int
) -> Scenario:
    """Make a scenario of short requests without faults.

    :param rate: requests per second.
    :param servers: servers in each tier.
    :param nodes: front nodes.
    :param workers: processes that simulate the servers.
    :param clients: processes that simulate the clients.
    """
    tier_list = tuple(
        Tier(f"tier{n}", servers, 1.0 / tiers, 1.0, slots=100, room=100, speed=(1.0, 1.0))
        for n in range(tiers)
    )
    base = Scenario(name, length_s=RUN_S, seed=1, classes=(SHORT_REQUESTS,), tiers=tier_list, workers=workers)
    return replace(
        base,
        load=replace(base.load, rate=rate),
        front=replace(base.front, nodes=nodes),
        clients=replace(base.clients, processes=clients, impatient=0.0),
    )


def sizes() -> Iterator[tuple[str, Callable[[int], Scenario]]]:
    """Yield a description of each dimension that grows, and a function that makes its n-th scenario."""
    yield (
        "requests a second (1 tier, 80 servers, 4 nodes; 3 stand-in and 3 client processes)",
        lambda n: plain_scenario("rate", FIRST_RATE * 2**n, 80, 1, 4, 3, 3),
    )
    yield (
        "servers (1 tier, 2 nodes, 200 requests a second; 2 stand-in processes)",
        lambda n: plain_scenario("servers", 200.0, FIRST_SERVERS * 2**n, 1, 2, 2, 1),
    )
    yield (
        "nodes, a process each (2 tiers, so that each upper server has one, 100 requests a second)",
        lambda n: plain_scenario("nodes", 100.0, FIRST_NODES * 2**n - 2, 2, 2, 2, 1),
    )


def capacity() -> list[dict[str, Any]]:
    """Grow one dimension at a time until a run is void."""
    rows: list[dict[str, Any]] = []
    for what, scenario_of in sizes():
        print(f"\n{what}")
        for n in range(MAX_SIZES):
            try:
                scenario = scenario_of(n)
                run, verdict = play_uninterrupted(scenario)
            except ValueError as problem:
                print(f"  skipped: {problem}")
                break
            void = verdict.lateness.void or ([run.why] if not run.complete else [])
            row = {
                "what": what,
                "rate": scenario.load.rate,
                "servers": sum(t.servers for t in scenario.tiers),
                "nodes": scenario.front.nodes + sum(t.servers for t in scenario.tiers[:-1]),
                "processes": run.processes,
                "service": verdict.service.overall,
                "late_p99_ms": verdict.lateness.p99_s * 1000,
                "stall_ms": verdict.lateness.stall_s * 1000,
                "starved": verdict.lateness.starved,
                "void": void,
                "broken": verdict.broken_rules,
            }
            rows.append(row)
            print(
                f"  {row['rate']:6g}/s, {row['servers']:5} servers, {row['nodes']:4} nodes: "
                f"service {verdict.service.overall or 0.0:.3f}, late {row['late_p99_ms']:.1f} ms at p99, "
                f"longest stall {row['stall_ms']:.0f} ms, a node waited {row['starved']:.0%} for a core"
                + (f"  VOID: {'; '.join(void)}" if void else ""),
                flush=True,
            )
            if void:
                break
    return rows


def spread(scenario: Scenario, runs: int) -> list[dict[str, Any]]:
    """Run a scenario several times with the same seed."""
    rows: list[dict[str, Any]] = []
    for n in range(runs):
        run, verdict = play_uninterrupted(scenario)
        row: dict[str, Any] = {
            "run": n + 1,
            "complete": run.complete,
            "service": verdict.service.overall,
            "worst_10s": verdict.service.worst_window,
            "broken": verdict.broken_rules,
            "attempts": verdict.arrivals_per_client_request,
            "void": verdict.lateness.void,
        }
        rows.append(row)
        print(
            f"  run {n + 1}: service {row['service']:.4f}, worst 10 s {row['worst_10s']:.4f}, "
            f"{row['attempts']:.3f} attempts per request, rules broken {row['broken'] or 'none'}",
            flush=True,
        )
    values = [float(row["service"] or 0.0) for row in rows]
    if len(values) > 1:
        print(
            f"  service {statistics.mean(values):.4f}, standard deviation {statistics.stdev(values):.4f}, "
            f"{min(values):.4f} to {max(values):.4f}"
        )
    return rows


def retries(scenario: Scenario, runs: int) -> list[dict[str, Any]]:
    """Run a scenario with and without retries by the nodes and by the clients."""
    rows: list[dict[str, Any]] = []
    scenario_attempts = scenario.node.attempts
    scenario_retries = scenario.clients.retries
    for attempts, client_retries in (
        (scenario_attempts, scenario_retries),
        (scenario_attempts, 0),
        (1, scenario_retries),
        (1, 0),
    ):
        variant = replace(
            scenario,
            node=replace(scenario.node, attempts=attempts),
            clients=replace(scenario.clients, retries=client_retries),
        )
        verdicts = [play_uninterrupted(variant)[1] for _ in range(runs)]
        row: dict[str, Any] = {
            "node_attempts": attempts,
            "client_retries": client_retries,
            "service": statistics.mean(v.service.overall or 0.0 for v in verdicts),
            "worst_10s": statistics.mean(v.service.worst_window or 0.0 for v in verdicts),
            "attempts": statistics.mean(v.arrivals_per_client_request for v in verdicts),
            "p99_ms": {
                name: statistics.mean(v.service.classes[name].quantile_ms(99.0) for v in verdicts)
                for name in verdicts[0].service.classes
            },
            "broken": sorted({name for v in verdicts for name in v.broken_rules}),
        }
        rows.append(row)
        print(
            f"  at most {attempts} attempts by a node, {client_retries} retries by a client: service "
            f"{row['service']:.4f}, worst 10 s {row['worst_10s']:.4f}, {row['attempts']:.2f} attempts per "
            f"request, p99 {', '.join(f'{n} {v:.0f} ms' for n, v in row['p99_ms'].items())}",
            flush=True,
        )
    return rows
