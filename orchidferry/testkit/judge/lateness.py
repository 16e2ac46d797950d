"""How far the test kit itself fell behind, which makes a run say nothing of the nodes.

A client's latency counts from when it should have sent, so a slow generator looks like slow nodes.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from orchidferry.testkit.record import Fact, Lag
from orchidferry.testkit.scenario import Limits


@dataclass(slots=True)
class Lateness:
    """How far the kit fell behind."""

    p99_s: float = 0.0  # of clients' first attempts, behind their time
    max_s: float = 0.0
    stall_s: float = 0.0  # the longest of a stand-in's event loop
    starved: float = 0.0  # the largest fraction of a window that a node waited for a core
    void: list[str] = field(default_factory=list)  # why the run says nothing; empty: it does


def measure_lateness(facts: list[Fact], limits: Limits, asked: int) -> Lateness:
    """Measure the kit's lag, and compare it with the limits.

    :param asked: how many first attempts there were; those in time are not in the record and count as 0
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
