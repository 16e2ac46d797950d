"""The gate of the server on this machine: nothing reaches the server but through here.

It sends little more than the server works on, holds the rest for a moment in the order of rank, and turns
away as not run what comes for another life of the server, too long after a drain was acknowledged, or too
late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import GONE, Server
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.http_connection import HttpConnections
from orchidferry.mesh.dataplane.messages import (
    BELOW,
    KEYED,
    LATE,
    LOAD,
    LOST,
    MARGIN_MS,
    PATIENCE,
    RANK,
    TIMES,
    UNRUN,
    ProxiedRequest,
    ServerResponse,
    head,
    own_answer,
    passed_on,
)
from orchidferry.mesh.dataplane.messages import (
    GONE as GATE_GONE,
)
from orchidferry.mesh.dataplane.server_registration import Heard, ServerRegistration
from orchidferry.mesh.errors import Kind, Refusal
from orchidferry.mesh.settings import Address, Bounds
from orchidferry.node.config import now_ms
from orchidferry.node.frontend import Reply
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import UpstreamResponse

OVER = 1  # requests beyond its slots that a server is given, so that none of these is idle
GUESS = 4  # slots of a server that has said nothing yet
DRAIN_SHARE = 0.75  # of the time in which a drained server may still be reached
HELD_SLOTS = 4  # times its slots: the most that wait here
MIN_LEFT_MS = 8.0
REFUSED = 2  # connections in a row that a server refused, after which it is gone until its next beat
# A server may work on for nobody for so long, while nobody waits for its slot: an answer that comes leaves
# its connection usable, and new ones are priced. The rules allow 0.5 s from when the client has left.
ABANDONED_S = 0.3


class GateRequest:
    """A request at the gate."""

    __slots__ = ("_gate", "answer", "attempt", "ends_ms", "message", "once", "owed", "place", "rank", "timer")

    def __init__(self, gate: AdmissionGate, message: ProxiedRequest, answer: Callable[[Reply], None]) -> None:
        self._gate = gate
        self.message = message
        self.answer = answer
        self.ends_ms = now_ms() + message.budget_ms
        rank = message.headers.get(RANK, b"9")
        self.rank = int(rank) if rank.isdigit() else 9
        self.once = TIMES in message.headers
        self.attempt: ServerAttempt | None = None
        self.owed = True
        self.timer = 0
        self.place = 0

    def client_disconnected(self) -> None:
        """Whoever sent it has gone. What may not run twice is let run."""
        self.owed = False
        if self.attempt is None:
            self._gate.forget(self)
        elif not self.attempt.begun:
            self.attempt.abort(Result.CANCELLED)
        elif not self.once:
            self._gate.abandon(self, self.attempt)

    def reply(self, reply: Reply) -> None:
        """The one answer."""
        if self.owed:
            self.owed = False
            self.answer(reply)
        elif reply.flow is not None:
            reply.flow.cancel()


class ServerAttempt(TrackedAttempt):
    """A request on its way to the server."""

    __slots__ = ("_gate", "_pass", "headers")

    def __init__(
        self, gate: AdmissionGate, passing: GateRequest, address: Address, timeout_ms: float
    ) -> None:
        super().__init__(passing.message, gate.life, address, timeout_ms, passing.once)
        self._gate = gate
        self._pass = passing
        passing.attempt = self

    def head_bytes(self) -> bytes:
        headers = self._pass.message.headers
        own = [(b"Time-Remaining", b"%d" % max(1.0, self._pass.ends_ms - now_ms()))]
        for name, title in (
            (b"target-instance", b"Target-Instance"),
            (b"calling-service", b"Calling-Service"),
        ):
            if name in headers:
                own.append((title, headers[name]))
        return head(self._pass.message, own)

    def may_send(self) -> bool:
        return self._pass.owed and self._gate.open_for(self._pass.message) is None

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        self._gate.left(self._pass, result, answer if isinstance(answer, ServerResponse) else None)


class AdmissionGate:
    """What is known of the server, and what waits for it."""

    def __init__(
        self,
        application: Address,
        bounds: Bounds,
        beat_ms: float,
        loop: asyncio.AbstractEventLoop,
        alarms: TimerQueue,
        lines: HttpConnections,
        changed: Callable[[], None],
        below: Callable[[], bool],
        orphan: Callable[[ProxiedRequest, ServerResponse], None],
    ) -> None:
        """`below`: whether calls from this machine were turned away lately. `orphan` takes the server's
        answer to a request whose key is claimed, and whose sender is gone.
        """
        self._below = below
        self._orphan = orphan
        self._application = application
        self._bounds = bounds
        self._loop = loop
        self._alarms = alarms
        self._lines = lines
        self._changed = changed
        self._registration = ServerRegistration(beat_ms, now_ms())
        self.life = 1  # its number for the pool of connections: none is used for another life
        self._refused = 0  # connections in a row
        self.inside = 0  # requests at the server
        # Of these, those that nobody waits for, the oldest first.
        self._abandoned: dict[GateRequest, ServerAttempt] = {}
        self._held: dict[int, dict[int, GateRequest]] = {}  # by rank, in the order in which they came
        self._waiting = 0
        self._serial = 0
        self.leaving = False
        self.passed = 0  # requests that went in, since the start

    @property
    def server(self) -> Server | None:
        """The server here, as it was last heard of."""
        return self._registration.server

    # Calls of the server

    def beat(self, server: Server, sequence: int) -> Refusal | None:
        """Take a server's word of itself; None if it is acknowledged."""
        heard = self._registration.beat(server, sequence, now_ms())
        if heard is Heard.LATE:
            return None
        if heard is Heard.NEW_LIFE:
            self._lines.server_removed(self.life)
            self.life += 1
        if heard is not Heard.SAME:
            assert self.server is not None
            logger.info("admission: server {} of {} is {}", server.id, server.service, self.server.state)
            self._changed()
        self._let_in()
        return None

    def end(self, id: str) -> None:
        """A server has signed off."""
        if self._registration.sign_off(id):
            self._gone("has signed off")

    def look(self) -> None:
        """A server that says nothing for long is gone; called now and then."""
        if self._registration.is_silent(now_ms()):
            self._gone("is silent")

    def _gone(self, why: str) -> None:
        assert self.server is not None
        logger.info("admission: server {} {}", self.server.id, why)
        self._registration.take_for_gone()
        self._changed()
        self._turn_away_held()

    # Requests

    def open_for(self, message: ProxiedRequest) -> bytes | None:
        """None if a request may go in; else what to say of it."""
        server = self.server
        target = message.headers.get(b"target-instance")
        if server is not None:
            if target is not None and target != server.id.encode("latin-1"):
                return GATE_GONE
            if server.state == GONE:
                return GATE_GONE
            if self._registration.drained_for_ms(now_ms()) > DRAIN_SHARE * self._bounds.drain_ms:
                return GATE_GONE
        return None

    def accept(self, message: Message, answer: Callable[[Reply], None]) -> GateRequest:
        """Take a request."""
        assert isinstance(message, ProxiedRequest)
        passing = GateRequest(self, message, answer)
        why = self.open_for(message)
        if why is None and self.leaving:
            why = GATE_GONE
        if why is None and message.budget_ms < MIN_LEFT_MS:
            why = UNRUN
        if why is not None:
            self._turn_away(passing, why)
        elif self._has_room():
            self._enter(passing)
        else:
            self._hold(passing)
        return passing

    def _has_room(self) -> bool:
        """Whether the server can be given one more, if need be in the place of one that nobody waits for."""
        if self.inside >= self._slots() and self._abandoned:
            next(iter(self._abandoned.values())).abort(Result.CANCELLED)
        return self.inside < self._slots()

    def abandon(self, passing: GateRequest, visit: ServerAttempt) -> None:
        """Nobody waits for a request at the server that may be repeated: its work is to end soon."""
        if self._waiting or self.inside >= self._slots():
            return visit.abort(Result.CANCELLED)
        self._abandoned[passing] = visit
        self._alarms.after(ABANDONED_S, lambda: visit.abort(Result.CANCELLED))

    def _slots(self) -> int:
        capacity = self.server.capacity if self.server is not None else GUESS
        return max(1, capacity) + OVER

    def _turn_away(self, passing: GateRequest, why: bytes) -> None:
        load = self._waiting
        passing.reply(own_answer(passing.message, Refusal(Kind.SHED), gate=why, load=load))

    def _hold(self, passing: GateRequest) -> None:
        """Let it wait for a moment; the lowest rank goes where there is no room to wait."""
        patience = passing.message.headers.get(PATIENCE, b"0")
        wait_ms = min(
            float(patience) if patience.isdigit() else 0.0, passing.ends_ms - now_ms() - MIN_LEFT_MS
        )
        if wait_ms <= 0.0:
            return self._turn_away(passing, UNRUN)
        if self._waiting >= HELD_SLOTS * self._slots():
            last = max(rank for rank, line in self._held.items() if line)
            if last <= passing.rank:
                return self._turn_away(passing, UNRUN)
            out = next(reversed(self._held[last].values()))
            self.forget(out)
            self._turn_away(out, UNRUN)
        self._serial += 1
        self._waiting += 1
        passing.place = self._serial
        self._held.setdefault(passing.rank, {})[passing.place] = passing
        passing.timer = self._alarms.after(wait_ms / 1000.0, lambda: self._waited(passing))

    def _waited(self, passing: GateRequest) -> None:
        if passing.timer and passing.attempt is None and passing.owed:
            self.forget(passing)
            self._turn_away(passing, UNRUN)

    def forget(self, passing: GateRequest) -> None:
        """Nobody waits for one that is held."""
        if passing.timer:
            self._alarms.cancel(passing.timer)
            passing.timer = 0
            self._waiting -= 1
            del self._held[passing.rank][passing.place]

    def _turn_away_held(self) -> None:
        """What waits for a server that is gone is offered to another one at once."""
        for passing in [passing for line in self._held.values() for passing in line.values()]:
            self.forget(passing)
            self._turn_away(passing, GATE_GONE)

    def _let_in(self) -> None:
        while self._waiting and self.inside < self._slots():
            first = min(rank for rank, line in self._held.items() if line)
            passing = next(iter(self._held[first].values()))
            self.forget(passing)
            why = self.open_for(passing.message)
            if why is not None:
                self._turn_away(passing, why)
            else:
                self._enter(passing)

    def _enter(self, passing: GateRequest) -> None:
        self.inside += 1
        self.passed += 1
        left_ms = passing.ends_ms - now_ms() + MARGIN_MS
        visit = ServerAttempt(self, passing, self._application, max(1.0, left_ms))
        self._lines.send(visit)

    def left(self, passing: GateRequest, result: Result, said: ServerResponse | None) -> None:
        """A request is out of the server, one way or another."""
        self.inside -= 1
        self._abandoned.pop(passing, None)
        keyed = not passing.owed and KEYED in passing.message.headers
        if keyed and said is not None and said.whole and result in (Result.SERVED, Result.ERROR):
            self._orphan(passing.message, said)
        passing.reply(self._word(passing, result, said))
        self._refused = self._refused + 1 if result is Result.UNREACHABLE else 0
        if self._refused >= REFUSED and not self.inside and self._registration.serving:
            self._gone("can't be reached")
        self._let_in()

    def _word(self, passing: GateRequest, result: Result, said: ServerResponse | None) -> Reply:
        message = passing.message
        if said is not None and result in (Result.SERVED, Result.ERROR, Result.REFUSED):
            if result is not Result.REFUSED and said.id is not None:
                reply = passed_on(said)
                reply.more = [*reply.more, (LOAD, b"%d" % self._waiting)]
                if result is Result.ERROR and self._below():
                    reply.more.append((BELOW, b"1"))
                return reply
            if result is Result.REFUSED:
                return own_answer(message, Refusal(Kind.SHED), gate=UNRUN, load=self._waiting)
        if said is not None and said.flow is not None:
            said.flow.cancel()
        if result is Result.MOOT:
            return own_answer(message, Refusal(Kind.SHED), gate=GATE_GONE)
        if result is Result.UNREACHABLE:
            return own_answer(message, Refusal(Kind.SHED), gate=GATE_GONE)
        if result is Result.TIMEOUT:
            return own_answer(message, Refusal(Kind.LATE), gate=LATE)
        return own_answer(message, Refusal(Kind.BROKEN), gate=LOST)
