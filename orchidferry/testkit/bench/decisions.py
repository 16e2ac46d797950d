"""`orchidferry bench decisions`: time per request and per list change in the balancer, by fleet size.

Measured through `Balancer.handle` without sockets. The cost of a request is that of its events and of the
timers that they set, in an open loop with some requests in flight at any time. This file imports nothing of
the test kit, so that it can run with the balancer of another checkout (`--against`), in a separate
process that alternates with this one.
"""

from __future__ import annotations

import argparse
import heapq
import json
import os
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer

SIZES = (10, 100, 1_000, 10_000)  # servers of the fleet
COPIES = (1, 50)  # nodes that share the servers
FLEET_STATES = ("steady", "slow", "ejected", "rolling")
GAP_MS = 20.0  # time between two requests
SERVED_MS = 50.0  # duration of a served attempt
SLOW_FACTOR = 8.0  # how much longer an attempt takes on a slow server
FAILED_MS = 5.0  # duration of a failed attempt
SLOW_SHARE = 0.1  # fraction of slow servers in the state `slow`
EJECTED_SHARE = 0.05  # fraction of failing servers in the state `ejected`
WARM_UP = 300  # requests before the measured ones
BUDGET_S = 2.0  # time limit of a measurement: a build that iterates over all servers measures fewer requests
CHANGES = 40  # list changes that are measured
ROLL_EVERY = 25  # requests between two list changes of a rolling restart


class Bench:
    """Drives a balancer with a simulated clock.

    :param servers: servers in the list.
    :param copies: nodes that share the servers.
    :param fleet_state: the state of the fleet, one of `FLEET_STATES`.
    :ivar spent_s: time spent within `Balancer.handle`.
    :ivar longest_s: the longest single call of it.
    """

    def __init__(self, servers: int, copies: int, fleet_state: str) -> None:
        read = api.RequestClass("ler-feed", 1200.0, 3000.0, 1.0, repeat=api.Repeat.SAFE)
        save = api.RequestClass(
            "salvar-episodio", 1500.0, 4000.0, 2.0, 0.5, api.Repeat.KEYED, api.Group.CELL, 6000.0
        )
        pay = api.RequestClass("repasse-socio", 2500.0, 6000.0, 8.0)
        settings = api.Settings(
            [read, save, pay],
            nodes=copies,
            max_attempts=3,
            tick_ms=5.0,
            drain_grace_ms=1000.0,
            start_capacity=0.34,
            ramp_time_ms=8500.0,
            overload_factor=3.0,
        )
        self.rng = random.Random(1)
        self.ids = [self.rng.getrandbits(64) for _ in range(servers)]
        self.cells = max(1, servers // 8)
        affected = max(1, round(servers * (SLOW_SHARE if fleet_state == "slow" else EJECTED_SHARE)))
        self.slow = set(self.ids[:affected]) if fleet_state == "slow" else set()
        self.failing = set(self.ids[:affected]) if fleet_state == "ejected" else set()
        self.rolling = fleet_state == "rolling"
        self.balancer = Balancer(settings, 1)
        self.now = 1.0
        self.spent_s = 0.0
        self.longest_s = 0.0
        self.pending_events: list[tuple[float, int, api.Event]] = []
        self.event_count = 0
        self.attempts: dict[str, int] = {}
        self.rolling_changes = 0
        self.handle_event(api.Started())
        self.handle_event(api.ServerList(api.ListKind.FULL, 1, [self.entry(id) for id in self.ids]))
        # A long list is applied in several timer events.
        while self.pending_events and self.pending_events[0][0] <= self.now:
            self.handle_event(heapq.heappop(self.pending_events)[2])

    def entry(
        self, id: int, health: api.Health = api.Health.IN_SERVICE, started: float | None = None
    ) -> api.ServerEntry:
        """Make the list entry of a server."""
        return api.ServerEntry(id, "z", "k", id % self.cells, health, 1.0, started)

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to the balancer, and simulate the effects of its actions."""
        started_s = time.perf_counter()
        actions = self.balancer.handle(event, self.now)
        duration_s = time.perf_counter() - started_s
        self.spent_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.schedule(action.delay_ms, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
                fails = action.server in self.failing and self.rng.random() < 0.9
                duration_ms = (
                    FAILED_MS if fails else SERVED_MS * (SLOW_FACTOR if action.server in self.slow else 1.0)
                )
                duration_ms = min(duration_ms, action.timeout_ms)
                result = api.Result.ERROR if fails else api.Result.SERVED
                self.schedule(
                    duration_ms,
                    api.AttemptEnded(action.id, number, action.server, result, duration_ms, not fails),
                )

    def schedule(self, delay_ms: float, event: api.Event) -> None:
        """Schedule an event for the balancer."""
        self.event_count += 1
        heapq.heappush(self.pending_events, (self.now + delay_ms, self.event_count, event))

    def request(self, number: int) -> None:
        """Advance the clock by one gap, handle all events due in it, and send a request."""
        until = self.now + GAP_MS
        while self.pending_events and self.pending_events[0][0] <= until:
            at, _, event = heapq.heappop(self.pending_events)
            self.now = max(self.now, at)
            self.handle_event(event)
        self.now = until
        cls = ("ler-feed", "ler-feed", "ler-feed", "salvar-episodio", "salvar-episodio", "repasse-socio")
        self.handle_event(api.Request(f"q{number}", cls[number % 6], 2900.0))

    def change(self, number: int) -> None:
        """Change one list entry: a server starts draining, or is back with a new start time."""
        id = self.ids[number // 2 % len(self.ids)]
        health = api.Health.DRAINING if number % 2 == 0 else api.Health.IN_SERVICE
        started = None if number % 2 == 0 else self.now
        self.handle_event(api.ServerList(api.ListKind.CHANGES, 2 + number, [self.entry(id, health, started)]))


def measure(servers: int, copies: int, fleet_state: str, requests: int) -> dict[str, Any]:
    """Measure the microseconds per request and the milliseconds per list change of one fleet in one state."""
    bench = Bench(servers, copies, fleet_state)
    list_ms = bench.longest_s * 1e3
    for n in range(min(WARM_UP, requests)):
        bench.request(n)
    bench.spent_s = changes_s = 0.0
    measured = 0
    started_s = time.perf_counter()
    while measured < requests and time.perf_counter() - started_s < BUDGET_S:
        bench.request(WARM_UP + measured)
        measured += 1
        if bench.rolling and measured % ROLL_EVERY == 0:
            before = bench.spent_s
            bench.change(bench.rolling_changes)
            bench.rolling_changes += 1
            changes_s += bench.spent_s - before
    request_us = (bench.spent_s - changes_s) / measured * 1e6
    times = []
    for n in range(CHANGES):
        before = bench.spent_s
        bench.change(n)
        times.append(bench.spent_s - before)
    return {
        "servers": servers,
        "copies": copies,
        "state": fleet_state,
        "requests": measured,
        "request_us": request_us,
        "change_ms": statistics.median(times) * 1e3,
        "change_most_ms": max(times) * 1e3,
        "list_event_most_ms": list_ms,
    }


def rows(requests: int, against: str | None) -> list[dict[str, Any]]:
    """Measure all sizes and states, alternating with the other checkout if one is named."""
    result = []
    for fleet_state in FLEET_STATES:
        for copies in COPIES:
            for servers in SIZES:
                row = measure(servers, copies, fleet_state, requests)
                line = (
                    f"{fleet_state:8} {copies:3} copies {servers:6} servers: {row['request_us']:8.1f} us per "
                    f"request, {row['change_ms']:8.3f} ms per change, longest event of the first list "
                    f"{row['list_event_most_ms']:.1f} ms"
                )
                if against is not None:
                    other = measure_in_checkout(against, servers, copies, fleet_state, requests)
                    row["against"] = other
                    line += f"; other checkout {other['request_us']:.1f} us, {other['change_ms']:.3f} ms"
                print(line, flush=True)
                result.append(row)
    return result


def measure_in_checkout(
    folder: str, servers: int, copies: int, fleet_state: str, requests: int
) -> dict[str, Any]:
    """Make the same measurement with the balancer of another checkout."""
    command = [sys.executable, __file__, str(servers), str(copies), fleet_state, str(requests)]
    env = os.environ | {"PYTHONPATH": folder}
    process = subprocess.run(command, env=env, capture_output=True, text=True, timeout=600, check=True)
    row: dict[str, Any] = json.loads(process.stdout)
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if (
        args.against is not None
        and not (Path(args.against) / "orchidferry" / "balancing" / "logic.py").is_file()
    ):
        raise ValueError(f"--against {args.against}: holds no orchidferry/balancing/logic.py")
    return rows(args.requests, args.against)


if __name__ == "__main__":
    print(json.dumps(measure(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4]))))
