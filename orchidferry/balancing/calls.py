"""The calls at hand, and which of those that are out at servers are late, or lost."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.judgement import NOISE_MS, OVERDUE, SLOW_FROM, Judgement, Server

LOST = 4.0  # times its usual delay: a call out for so long that later ones overtook takes no room any more


class Call:
    """A request that is owed an answer."""

    def __init__(self, event: api.Request, cls: api.RequestClass, now: float) -> None:
        self.id = event.id
        self.cls = cls
        self.over_share = False
        self.arrived_ms = now
        self.ends_ms = now + event.ttl_ms
        # whether one is out, and since when,
        self.attempts = 0
        self.out = False
        self.sent_ms = now
        self.idle_ms = 0.0  # on a connection that had idled for so long
        # waits for room; the timer it waits for
        self.held = False
        self.token = 0
        self.last: Server | None = None
        self.ran_ms: float | None = None  # when the first attempt that may have run was sent
        self.pin: str | int | None = None  # and the group that it went to
        self.weight = 1.0  # its worth as it came down the chain, over its class's
        self.upload = event.upload  # its body is still coming: no server works on it before the last byte


class Outstanding:
    """Attempts out from this copy."""

    def __init__(self, classes: Iterable[str], judgement: Judgement) -> None:
        self._judgement = judgement
        self.inflight = self.lost = 0  # all; those that their servers can't be working on, by difference
        # Calls out by class in order of time: those within the usual, and those beyond it.
        self._fresh: dict[str, deque[tuple[float, str, Server]]] = {}
        self._stale: dict[str, deque[tuple[float, str, Server]]] = {}
        self.change(classes)
        self.look_ms = -math.inf  # before then none of these can be due

    def change(self, classes: Iterable[str]) -> None:
        """Other classes from now on; those that went keep what is out."""
        for name in classes:
            self._fresh.setdefault(name, deque())
            self._stale.setdefault(name, deque())

    def begin(self, call: Call, server: Server, now: float) -> None:
        """Its server has a call whole, as far as known here: what it holds and how long it takes counts."""
        self.inflight += 1
        server.out[call.id] = now, call.cls.aim_ms
        self._fresh[call.cls.name].append((now, call.id, server))

    def ended(self, id: str, server: Server) -> tuple[float, float] | None:
        """An attempt is no longer out at its server; when it was sent, and its aim.

        None: sent before the server left the list and came back, as one of which nothing is known.
        """
        sent = server.out.pop(id, None)
        server.late.pop(id, None)
        if id in server.lost:
            server.lost.discard(id)
            self.lost -= server.enlisted
        return sent

    def served(self, server: Server, sent_ms: float) -> None:
        """A server has served what was sent to it then: what it has had for longer is lost, if it is late."""
        if sent_ms > server.alive_ms:
            server.alive_ms = sent_ms
            for id in [id for id, late_ms in server.late.items() if late_ms < sent_ms]:
                self._late(server.late[id], id, server)

    def look(self, now: float) -> list[Server]:
        """Look for calls out that are lost, or beyond the usual: at whom; none can be before `look_ms`."""
        self.look_ms = math.inf
        slower = []
        for name, fresh in self._fresh.items():
            if not self._judgement.share:  # nothing is usual yet
                while fresh and self._over(fresh[0]):
                    fresh.popleft()
                self.look_ms = now
                continue
            usual = self._judgement.usual_ms(name) + NOISE_MS
            stale = self._stale[name]
            slow = SLOW_FROM * OVERDUE * usual
            lost = LOST * usual
            while fresh and now - fresh[0][0] > slow:
                sent = fresh.popleft()
                if not self._over(sent):
                    stale.append(sent)
                    slower.append(sent[2])
            while stale and now - stale[0][0] > lost:
                sent = stale.popleft()
                if not self._over(sent):
                    self._late(*sent)
            # Whatever is sent from now on is due no sooner than that after now.
            due = (fresh[0][0] if fresh else now) + slow
            self.look_ms = min(self.look_ms, due, stale[0][0] + lost if stale else due)
        return slower

    @staticmethod
    def _over(sent: tuple[float, str, Server]) -> bool:
        out = sent[2].out.get(sent[1])
        return out is None or out[0] != sent[0]

    def _late(self, sent_ms: float, id: str, server: Server) -> None:
        """A call is out for so long that it is lost, if later ones overtook it."""
        if sent_ms >= server.alive_ms:
            server.late[id] = sent_ms
        else:
            server.late.pop(id, None)
            server.lost.add(id)
            self.lost += server.enlisted
