"""Attempts to reach lost nodes and seeds, which reunite the halves of a fleet after a network partition."""

from __future__ import annotations

import random

from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.messages import Kind
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.timers import TimerKind, Timers

JOIN_INTERVAL_MS = 300.0  # time between attempts to reach the seeds, until one answers
JOIN_FANOUT = 3  # seeds that are pinged in one such attempt


class Reconnector:
    """Pings one lost node, or one seed at which no member is known, at a time."""

    def __init__(
        self, table: MemberTable, outbox: Outbox, timers: Timers, timing: Timing, rng: random.Random
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._timers = timers
        self._timing = timing
        self._rng = rng
        self.count = int(rng.random() * 1_000.0)  # attempts; determines the node that is pinged next

    def reconnect(self, now: float, joined: bool, passive: bool) -> None:
        """Set the timer of the next attempt, and make one unless this node is `passive`.

        :param joined: whether any node has answered so far; until then, only seeds are pinged
        """
        table = self._table
        wait_ms = JOIN_INTERVAL_MS if not joined and table.seeds else self._timing.reach_ms
        self._timers.set(now, wait_ms, TimerKind.RECONNECT)
        if passive:
            return
        empty = table.empty_seeds()
        if not joined:
            for seed in self._rng.sample(empty, min(JOIN_FANOUT, len(empty))):
                self._outbox.ping_address(seed)
            return
        gone = len(table.lost) + len(empty)
        if not gone:
            return
        # Alternate between random choice, so that nodes ping different ones, and round robin, to reach all.
        self.count += 1
        index = self.count // 2 % gone if self.count % 2 else int(self._rng.random() * gone)
        if index >= len(table.lost):
            self._outbox.ping_address(empty[index - len(table.lost)])
        else:
            self._outbox.send(Kind.PING, table.members[list(table.lost)[index]])
