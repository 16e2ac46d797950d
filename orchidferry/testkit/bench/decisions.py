"""`orchidferry bench decisions`: what a request and a list change cost in the decision module, by fleet size.

Measured through `Balancer.handle` with no socket. A request's cost is that of its events and of the timers
that they set, in an open loop with some requests out at any time. This file imports nothing of the kit, so
that it can be run with another build's module (`--against`): as a process of its own, by turns.
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

SIZES = (10, 100, 1_000, 10_000)
COPIES = (1, 50)
TROUBLES = ("steady", "slow", "ejected", "rolling")
GAP_MS = 20.0
SERVED_MS = 50.0
SLOW_TIMES = 8.0
FAILED_MS = 5.0
SLOW_SHARE = 0.1
EJECTED_SHARE = 0.05
WARM = 300  # requests before those that count
BUDGET_S = 2.0  # of one measurement: a build that walks the fleet gets through fewer requests
CHANGES = 40
ROLL_EVERY = 25  # requests between two list changes of a rolling restart


class Bench:
    """A balancer on a clock of its own; `spent_s` is the time within `handle`."""

    def __init__(self, servers: int, copies: int, trouble: str) -> None:
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
        bad = max(1, round(servers * (SLOW_SHARE if trouble == "slow" else EJECTED_SHARE)))
        self.slow = set(self.ids[:bad]) if trouble == "slow" else set()
        self.failing = set(self.ids[:bad]) if trouble == "ejected" else set()
        self.rolling = trouble == "rolling"
        self.balancer = Balancer(settings, 1)
        self.now = 1.0
        self.spent_s = 0.0
        self.longest_s = 0.0
        self.due: list[tuple[float, int, api.Event]] = []
        self.order = 0
        self.attempts: dict[str, int] = {}
        self.rolled = 0
        self.do(api.Started())
        self.do(api.ServerList(api.ListKind.FULL, 1, [self.entry(id) for id in self.ids]))
        while self.due and self.due[0][0] <= self.now:  # the rest of a long list
            self.do(heapq.heappop(self.due)[2])

    def entry(
        self, id: int, health: api.Health = api.Health.IN_SERVICE, started: float | None = None
    ) -> api.ServerEntry:
        """A server as it is listed."""
        return api.ServerEntry(id, "z", "k", id % self.cells, health, 1.0, started)

    def do(self, event: api.Event) -> None:
        """Give the module an event, and carry out its actions."""
        began = time.perf_counter()
        actions = self.balancer.handle(event, self.now)
        spent = time.perf_counter() - began
        self.spent_s += spent
        self.longest_s = max(self.longest_s, spent)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.push(action.delay_ms, api.TimerFired(action.token))
            elif isinstance(action, api.Send):
                number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
                fails = action.server in self.failing and self.rng.random() < 0.9
                took = FAILED_MS if fails else SERVED_MS * (SLOW_TIMES if action.server in self.slow else 1.0)
                took = min(took, action.timeout_ms)
                result = api.Result.ERROR if fails else api.Result.SERVED
                self.push(
                    took,
                    api.AttemptEnded(action.id, number, action.server, result, took, not fails),
                )

    def push(self, delay_ms: float, event: api.Event) -> None:
        """Have an event given to the module later."""
        self.order += 1
        heapq.heappush(self.due, (self.now + delay_ms, self.order, event))

    def request(self, number: int) -> None:
        """A gap, with all that comes due in it, and a request."""
        until = self.now + GAP_MS
        while self.due and self.due[0][0] <= until:
            at, _, event = heapq.heappop(self.due)
            self.now = max(self.now, at)
            self.do(event)
        self.now = until
        cls = ("ler-feed", "ler-feed", "ler-feed", "salvar-episodio", "salvar-episodio", "repasse-socio")
        self.do(api.Request(f"q{number}", cls[number % 6], 2900.0))

    def change(self, number: int) -> None:
        """One entry: a server drains, or is back, cold."""
        id = self.ids[number // 2 % len(self.ids)]
        health = api.Health.DRAINING if number % 2 == 0 else api.Health.IN_SERVICE
        started = None if number % 2 == 0 else self.now
        self.do(api.ServerList(api.ListKind.CHANGES, 2 + number, [self.entry(id, health, started)]))


def measure(servers: int, copies: int, trouble: str, requests: int) -> dict[str, Any]:
    """Microseconds a request, and milliseconds a list change, of one fleet in one state."""
    bench = Bench(servers, copies, trouble)
    list_ms = bench.longest_s * 1e3
    for n in range(min(WARM, requests)):
        bench.request(n)
    bench.spent_s = changes_s = 0.0
    done = 0
    began = time.perf_counter()
    while done < requests and time.perf_counter() - began < BUDGET_S:
        bench.request(WARM + done)
        done += 1
        if bench.rolling and done % ROLL_EVERY == 0:
            before = bench.spent_s
            bench.change(bench.rolled)
            bench.rolled += 1
            changes_s += bench.spent_s - before
    request_us = (bench.spent_s - changes_s) / done * 1e6
    times = []
    for n in range(CHANGES):
        before = bench.spent_s
        bench.change(n)
        times.append(bench.spent_s - before)
    return {
        "servers": servers,
        "copies": copies,
        "state": trouble,
        "requests": done,
        "request_us": request_us,
        "change_ms": statistics.median(times) * 1e3,
        "change_most_ms": max(times) * 1e3,
        "list_event_most_ms": list_ms,
    }


def rows(requests: int, against: str | None) -> list[dict[str, Any]]:
    """All sizes and states, each measured for this build and, by turns, for the other."""
    result = []
    for trouble in TROUBLES:
        for copies in COPIES:
            for servers in SIZES:
                row = measure(servers, copies, trouble, requests)
                line = (
                    f"{trouble:8} {copies:3} copies {servers:6} servers: {row['request_us']:8.1f} us a "
                    f"request, {row['change_ms']:8.3f} ms a change, first list's longest event "
                    f"{row['list_event_most_ms']:.1f} ms"
                )
                if against is not None:
                    other = elsewhere(against, servers, copies, trouble, requests)
                    row["against"] = other
                    line += f"; there {other['request_us']:.1f} us, {other['change_ms']:.3f} ms"
                print(line, flush=True)
                result.append(row)
    return result


def elsewhere(folder: str, servers: int, copies: int, trouble: str, requests: int) -> dict[str, Any]:
    """The same measurement with another build's module."""
    command = [sys.executable, __file__, str(servers), str(copies), trouble, str(requests)]
    env = os.environ | {"PYTHONPATH": folder}
    done = subprocess.run(command, env=env, capture_output=True, text=True, timeout=600, check=True)
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if (
        args.against is not None
        and not (Path(args.against) / "orchidferry" / "balancing" / "logic.py").is_file()
    ):
        raise ValueError(f"--against {args.against}: holds no orchidferry/balancing/logic.py")
    return rows(args.requests, args.against)


if __name__ == "__main__":
    print(json.dumps(measure(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4]))))
