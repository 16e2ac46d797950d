"""Attempts to reach nodes that are gone, and seeds: so halves that were cut off find each other again."""

from __future__ import annotations

import random

from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.messages import Kind
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.timers import TimerKind, Timers

JOIN_MS = 300.0  # between attempts to reach the seeds until one answers,
JOIN_AT_ONCE = 3  # so many of them at a time


class Reconnector:
    """Pings one node that is gone, or a seed without a member, at a time."""

    def __init__(
        self, table: MemberTable, outbox: Outbox, timers: Timers, timing: Timing, rng: random.Random
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._timers = timers
        self._timing = timing
        self._rng = rng
        self.count = int(rng.random() * 1_000.0)  # decides which node is next

    def reconnect(self, now: float, joined: bool, passive: bool) -> None:
        """Set the timer of the next attempt, and make one unless this node is `passive`.

        :param joined: whether any node has answered so far; until then only seeds are tried
        """
        table = self._table
        wait_ms = JOIN_MS if not joined and table.seeds else self._timing.reach_ms
        self._timers.set(now, wait_ms, TimerKind.RECONNECT)
        if passive:
            return
        empty = table.empty_seeds()
        if not joined:
            for seed in self._rng.sample(empty, min(JOIN_AT_ONCE, len(empty))):
                self._outbox.ping_address(seed)
            return
        gone = len(table.lost) + len(empty)
        if not gone:
            return
        # By turns one at random, so that nodes ask different ones, and the next in a row: each is asked.
        self.count += 1
        index = self.count // 2 % gone if self.count % 2 else int(self._rng.random() * gone)
        if index >= len(table.lost):
            self._outbox.ping_address(empty[index - len(table.lost)])
        else:
            self._outbox.send(Kind.PING, table.members[list(table.lost)[index]])
