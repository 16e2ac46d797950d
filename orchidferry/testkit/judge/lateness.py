"""How far the test kit itself fell behind its schedule; too much makes a run void.

A client's latency counts from when its request was due, so a slow load generator looks like slow nodes. A
void run gives no result about the nodes.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from orchidferry.testkit.record import Fact, Lag
from orchidferry.testkit.scenario import Limits


@dataclass(slots=True)
class Lateness:
    """How far the test kit fell behind."""

    p99_s: float = 0.0  # 99th percentile of the delay of clients' first attempts after their due time
    max_s: float = 0.0  # maximum of that delay
    stall_s: float = 0.0  # longest stall of an event loop of the test kit
    starved: float = 0.0  # largest fraction of a 2 s window in which a node waited for a CPU core
    void: list[str] = field(default_factory=list)  # reasons why the run is void; empty if it is valid


def measure_lateness(facts: list[Fact], limits: Limits, asked: int) -> Lateness:
    """Measure the lag of the test kit and compare it with the limits.

    :param asked: number of first attempts; the record has only those sent late, and the others count with a
        delay of 0
    """
    lags = [fact for fact in facts if isinstance(fact, Lag)]
    late = sorted(lag.amount for lag in lags if lag.kind == "late")
    rank = math.ceil(0.99 * asked) - (asked - len(late)) - 1
    result = Lateness()
    result.p99_s = late[rank] if late and rank >= 0 else 0.0
    result.max_s = late[-1] if late else 0.0
    worst_stall = max((lag for lag in lags if lag.kind == "stall"), key=lambda lag: lag.amount, default=None)
    result.stall_s = worst_stall.amount if worst_stall else 0.0
    starved: dict[str, float] = defaultdict(float)
    for lag in lags:
        if lag.kind == "starved":
            starved[lag.who] = max(starved[lag.who], lag.amount)
    result.starved = max(starved.values(), default=0.0)
    if result.p99_s > limits.lag_p99_s:
        result.void.append(f"clients asked late: {result.p99_s * 1000:.0f} ms at p99")
    if result.max_s > limits.lag_most_s:
        result.void.append(f"a client asked {result.max_s * 1000:.0f} ms late")
    if worst_stall is not None and worst_stall.amount > limits.stall_s:
        stall_ms = worst_stall.amount * 1000
        result.void.append(f"{worst_stall.who}, a process of the kit, stood still for {stall_ms:.0f} ms")
    if result.starved > limits.starved:
        node = max(starved, key=lambda name: starved[name])
        result.void.append(f"node {node} waited for a core for {result.starved:.0%} of 2 s")
    return result
