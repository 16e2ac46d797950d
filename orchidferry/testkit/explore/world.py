"""A small world round one real node: what may happen next, and what must never have happened.

The node is `orchidferry.node.node.Node` with all that stands under it, on a loop of virtual time. Callers,
servers
and discovery are played here. At rest, `actions` lists all that may come next: what a sound world does costs
nothing, a disturbance costs one of the `events` that a run may have. `do` plays one, up to rest again.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import orchidferry.node.clock
import orchidferry.node.unread_input
from orchidferry.balancing import interface as api
from orchidferry.node.address import parse_address
from orchidferry.node.config import Config
from orchidferry.node.node import MARGIN_MS, Node
from orchidferry.node.server_listing import read_listing
from orchidferry.testkit.explore.loop import Dial, Loop, Poll, Wire

DISCOVERY = ("10.9.9.9", 1)
LISTEN = ("10.0.0.1", 80)
AIM_MS = 200.0
GIVE_UP_MS = 1_000.0
WINDOW_MS = 300.0
CONNECT_MS = 100.0
WAIT_S = 0.35  # the longest that time passes at once: between two timers peers may act too
SLACK_MS = 25.0  # of an answer beyond its time: one turn, and the answer's own reserve
HALF = 40  # bytes of a request: within its head
END_S = 8.0  # after the last choice: all that is under way must have come to its end
# Timers that come round by themselves: time does not stop for them.
BACKGROUND = ("Frontend._sweep", "Upstream._sweep", "Discovery._silent")
PATCHED = ((orchidferry.node.clock, "time"), (orchidferry.node.unread_input, "select"))
KINDS = {"read": api.Repeat.SAFE, "pay": api.Repeat.UNSAFE, "save": api.Repeat.KEYED}


@dataclass(frozen=True, slots=True)
class Small:
    """The size of a world. Each client asks once."""

    clients: int = 2
    servers: int = 2
    events: int = 3  # disturbances in one run
    kinds: tuple[str, ...] = ("pay", "save", "read")  # of the clients, in turn
    attempts: int = 2
    cold: int = 0  # servers that have just started
    late: int = 2  # times that it may let time pass though somebody could act, each a disturbance

    def __post_init__(self) -> None:
        """Refuse what can't be meant."""
        for name, low, high in (("clients", 1, 4), ("servers", 1, 4), ("events", 0, 6), ("attempts", 1, 4)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)} is not within {low} to {high}")


@dataclass(frozen=True, slots=True)
class Violation:
    """A property that does not hold."""

    name: str
    what: str


PROPERTIES = {
    "one-answer": "rule 1, no request lost: exactly one final answer for each request, in time",
    "no-effect-twice": "rule 2: nothing that may have run is sent again beyond its class, group and window",
    "drains-kept": "rule 3: nothing new goes to a server once its drain or its end was told",
    "cold-spared": "rule 4: a cold server gets no more than its budget",
    "one-end": "the node's contract: each Send ends in exactly one AttemptEnded",
    "harmless-refusals": "rule 1: 503 only where asking again does no harm",
    "nothing-left": "counters return to nothing; no timer, task or connection without an owner",
    "no-exception": "nothing raises unseen, and no line of the log is an error",
    "at-rest": "the loop comes to rest",
}


class _Fixed(random.Random):
    """Chance that always falls in the middle: jitter is no choice worth exploring."""

    def random(self) -> float:
        return 0.5


class _Errors(logging.Handler):
    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        if record.levelno >= logging.ERROR or "deadline" in record.getMessage():
            trouble = record.exc_info[1] if record.exc_info else None
            self.lines.append(record.getMessage() + (f": {trouble!r}" if trouble else ""))


@dataclass(slots=True)
class Client:
    """A caller, and what it has seen."""

    number: int
    kind: str
    wire: Wire | None = None
    asked_s: float = 0.0
    left: bool = False
    answers: list[tuple[float, int]] = field(default_factory=list)
    closed_s: float | None = None  # the node closed on it
    rest: bytes = b""  # of its request, that is still on its way
    id: str = ""

    @property
    def waits(self) -> bool:
        asked = self.wire is not None and not self.rest
        return asked and not self.left and not self.answers and self.closed_s is None


@dataclass(slots=True)
class Carried:
    """A request that a server has whole."""

    client: str
    server: int  # by its place
    wire: Wire
    got_s: float
    ended: str = ""  # how; 'refused' proves that it did not run


class World:
    """One run."""

    def __init__(self, small: Small) -> None:
        self.small = small
        self.loop = Loop()  # type: ignore[abstract]  # what it lacks nothing here asks for
        self.left_events = small.events
        self.left_late = small.late
        self.story: list[tuple[float, str]] = []
        self.violations: list[Violation] = []
        self.clients = [
            Client(n, small.kinds[n % len(small.kinds)], id=f"c{n}") for n in range(small.clients)
        ]
        self.names = [f"s{n}" for n in range(small.servers)]
        self.told = dict.fromkeys(range(small.servers), (0.0, "active"))  # since when, as the node has heard
        self.cold_s: dict[int, float] = {}
        self.carried: list[Carried] = []
        self.watch: Wire | None = None  # of discovery
        self.index = 1
        self.stopping: asyncio.Task[Any] | None = None
        self.closed_loop = self.hung_up = self.whole = False
        self.crossing: list[tuple[Wire, bytes]] = []  # what peers have sent that is read a step later
        self.cold_s |= dict.fromkeys(range(small.servers - small.cold, small.servers), self.loop.now)
        self.sends: dict[tuple[str, int], int] = {}  # open ones, by request and server
        self._errors = _Errors()
        with self.inside():
            self.node = Node(_config(small), self.loop)
            self._wrap()
            self.loop.run(self.node.frontend.listen(self.loop, LISTEN))
            self.node.start()
            self._rest()

    @contextmanager
    def inside(self) -> Iterator[None]:
        """The node's clock and sockets are the loop's while this lasts."""
        # By name, as both are modules that those import.
        old = {place: getattr(*place) for place in PATCHED}
        for place, new in zip(PATCHED, (_Clock(self.loop), _Select(self.loop)), strict=True):
            setattr(*place, new)
        log = logging.getLogger("orchidferry")
        log.addHandler(self._errors)
        propagate = log.propagate
        log.propagate = False
        try:
            yield
        finally:
            for place, was in old.items():
                setattr(*place, was)
            log.removeHandler(self._errors)
            log.propagate = propagate

    def _wrap(self) -> None:
        """See all that passes between node and module."""
        balancer, chance = self.node._balancer, _Fixed(1)
        for part in (balancer, balancer.server_set, balancer.outliers, balancer.picker, balancer.admission):
            part._rng = chance
        inner = balancer.handle

        def handle(event: api.Event, now_ms: float) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                key = event.id, event.server
                if self.sends.get(key, 0) < 1:
                    self._broken("one-end", f"AttemptEnded of request {event.id} without a Send to match")
                else:
                    self.sends[key] -= 1
            actions = inner(event, now_ms)
            for action in actions:
                if isinstance(action, api.Send):
                    key = action.id, action.server
                    self.sends[key] = self.sends.get(key, 0) + 1
            return actions

        balancer.handle = handle  # type: ignore[method-assign]

    def _broken(self, name: str, what: str) -> None:
        self.violations.append(Violation(name, what))

    def _tell(self, what: str) -> None:
        self.story.append((self.loop.now, what))

    # At rest

    def _rest(self) -> None:
        """Settle, and look at what the node has written."""
        while True:
            self.loop.settle()
            if not self._look():
                break
        self._owned()
        for line in [*self._errors.lines, *self.loop.problems]:
            self._broken("no-exception", line)
        self._errors.lines.clear()
        self.loop.problems.clear()

    def _owned(self) -> None:
        """At rest each thing that is kept has an owner."""
        node = self.node
        balancer = self.node._balancer
        if balancer._calls.keys() != node._pending.keys():
            odd = sorted(balancer._calls.keys() ^ node._pending.keys())
            self._broken("nothing-left", f"node and module do not hold the same requests: {odd}")
        if len(node._timers) > len(node._pending) + len(node.attempts):
            self._broken("nothing-left", f"{len(node._timers)} time limits for {len(node._pending)} requests")

    def _look(self) -> bool:
        """Take what came out of the node; whether discovery has made more come."""
        moved = False
        for dial in list(self.loop.dials):
            if dial.address == DISCOVERY:  # it answers at once: only its news are a choice
                self.loop.up(dial)
                moved = True
        for wire in self.loop.wires:
            while (text := _message(wire)) is not None:
                if wire.address == DISCOVERY:
                    self.watch = wire
                    self.whole = b"index=" not in text.partition(b"\r\n")[0]
                elif wire.address is not None:
                    self._got(wire, text)
                else:
                    self._answered(wire, text)
        self.loop.wires = [wire for wire in self.loop.wires if not wire.lost]
        for client in self.clients:
            if (
                client.wire is not None
                and client.wire.closing
                and client.closed_s is None
                and not client.left
            ):
                client.closed_s = self.loop.now
                if not client.answers and not client.rest:  # what was never whole is owed nothing
                    self._broken("one-answer", f"{client.id} was closed on without an answer")
        for one in self.carried:
            if not one.ended and one.wire.closing:
                one.ended = "given up"
                self._tell(f"s{one.server} sees {one.client} given up")
        return moved

    def _got(self, wire: Wire, text: bytes) -> None:
        headers = _headers(text)
        place = int(str(wire.address[0]).rpartition(".")[2]) if wire.address else 0
        id = headers["x-call-id"]
        now = self.loop.now
        client = next(c for c in self.clients if c.id == id)
        since, status = self.told[place]
        if status != "active" and now >= since:
            self._broken("drains-kept", f"{id} goes to s{place}, which was told {status} at {since:.3f} s")
        before = [one for one in self.carried if one.client == id and one.ended != "refused"]
        if before:
            first = before[0]
            if client.kind == "pay":
                self._broken("no-effect-twice", f"{id}, unsafe, goes to s{place} after s{first.server}")
            if client.kind == "save":
                if first.server % 2 != place % 2:
                    self._broken("no-effect-twice", f"{id}, keyed, leaves its group for s{place}")
                if (now - first.got_s) * 1000.0 > WINDOW_MS + 1e-6:
                    self._broken("no-effect-twice", f"{id}, keyed, is sent again after its window")
        if place in self.cold_s:
            count = sum(one.server == place and one.got_s >= self.cold_s[place] for one in self.carried) + 1
            if count > 1:  # nothing is known of what it bears: one at once is the most
                self._broken("cold-spared", f"s{place}, cold, gets {count} requests at once")
        self.carried.append(Carried(id, place, wire, now))
        self._tell(f"s{place} has {id} whole")

    def _answered(self, wire: Wire, text: bytes) -> None:
        client = next(c for c in self.clients if c.wire is wire)
        status = int(text.split(b" ", 2)[1])
        now = self.loop.now
        client.answers.append((now, status))
        self._tell(f"{client.id} is answered {status}")
        if client.left:
            return
        late_ms = (now - client.asked_s) * 1000.0 - GIVE_UP_MS
        if len(client.answers) > 1:
            self._broken("one-answer", f"{client.id} is answered {len(client.answers)} times")
        if late_ms > SLACK_MS:
            self._broken("one-answer", f"{client.id} is answered {late_ms:.0f} ms late")
        ran = [one for one in self.carried if one.client == client.id and one.ended != "refused"]
        if status == 200 and not any(one.ended == "served" for one in ran):
            self._broken("one-answer", f"{client.id} is answered 200, and no server did")
        if status == 503 and client.kind != "read" and ran:
            self._broken("harmless-refusals", f"{client.id} is refused, and may have run on s{ran[0].server}")

    # What may happen

    def actions(self) -> list[tuple[str, int]]:
        """All that may come next, with what each costs; what is sound first."""
        free: list[tuple[str, int]] = []
        odd: list[tuple[str, int]] = []
        listening = any(listener.open for listener in self.loop.listeners)
        for client in self.clients:
            if client.wire is None and listening:
                free.append((f"ask c{client.number}", 0))
                odd.append((f"begin c{client.number}", 1))
            elif client.rest and not client.left and client.closed_s is None:
                free.append((f"rest c{client.number}", 0))
                odd.append((f"leave c{client.number}", 1))
            elif client.waits:
                odd.append((f"leave c{client.number}", 1))
        for n in range(len(self.loop.dials)):
            free.append((f"up {n}", 0))
            odd.append((f"refuse {n}", 1))
        for n, one in enumerate(self.carried):
            if not one.ended:
                free.append((f"serve {n}", 0))
                odd += [(f"{how} {n}", 1) for how in ("fail", "turn-away", "reset", "close", "cross")]
        for n, _ in self._idle():
            odd += [(f"drop {n}", 1), (f"drop-crossing {n}", 1), (f"stray {n}", 1)]
        if self.watch is not None:
            for place in range(self.small.servers):
                if self.told[place][1] == "active":
                    odd += [(f"drain s{place}", 1), (f"gone s{place}", 1)]
                elif self.told[place][1] == "left":
                    odd.append((f"back s{place}", 1))
        if self.stopping is None:
            odd.append(("stop", 1))
        if not self.closed_loop:
            odd.append(("no-retry", 1))
        if self.watch is not None and not self.hung_up:
            odd.append(("hup", 1))
        due = self.next_due()
        if due is not None and any(c.waits for c in self.clients):
            if not free:
                free.append(("wait", 0))
            elif self.left_late:
                odd.append(("wait", 1))
        return free + (odd if self.left_events else [])

    def _idle(self) -> list[tuple[int, Wire]]:
        busy = {id(one.wire) for one in self.carried if not one.ended}
        return [
            (wire.number, wire)
            for wire in self.loop.wires
            if wire.address not in (None, DISCOVERY)
            and id(wire) not in busy
            and not wire.closing
            and not wire.unread
        ]

    def next_due(self) -> float | None:
        """When the next timer is due that means anything."""
        due = [
            when
            for when, _, handle in self.loop.timers
            if not handle.cancelled() and getattr(handle._callback, "__qualname__", "") not in BACKGROUND  # type: ignore[attr-defined]
        ]
        return min(due, default=None)

    def do(self, label: str) -> None:
        """Play one of the actions."""
        cost = next((cost for name, cost in self.actions() if name == label), None)
        if cost is None:
            raise ValueError(f"{label!r} can't happen here")
        self.left_events -= cost
        verb, _, what = label.partition(" ")
        if verb == "wait" and cost:
            self.left_late -= 1
        with self.inside():
            crossing = self.crossing
            self.crossing = []
            getattr(self, "_do_" + verb.replace("-", "_"))(what)
            if crossing:  # what was on its way is read once the node has done what this made it do
                self.loop.settle()
                self._cross(crossing)
            self._rest()

    def _do_begin(self, what: str) -> None:
        """It asks, and half of what it asks is still on its way."""
        client = self.clients[int(what[1:])]
        self._do_ask(what, half=True)
        self._tell(f"half of what {client.id} asks is on its way")

    def _do_rest(self, what: str) -> None:
        client = self.clients[int(what[1:])]
        assert client.wire is not None
        client.asked_s = self.loop.now
        rest = client.rest
        client.rest = b""
        self._tell(f"the rest of what {client.id} asks comes")
        client.wire.feed(rest)

    def _do_no_retry(self, what: str) -> None:
        """The delay loop lets no retry through from now on: its chance falls the other way."""
        self.closed_loop = True
        self._tell("the delay loop allows no retry any more")
        self.node._balancer.controller.retry_probability = _never  # type: ignore[method-assign]

    def _do_hup(self, what: str) -> None:
        """SIGHUP, with a configuration that is as it was: discovery is asked anew for the whole list."""
        self.hung_up = True
        self.watch = None
        self._tell("SIGHUP")
        self.node.reconfigure(_config(self.small))

    def _do_ask(self, what: str, half: bool = False) -> None:
        client = self.clients[int(what[1:])]
        listener = next(listener for listener in self.loop.listeners if listener.open)
        client.wire = self.loop.accept(listener)
        client.asked_s = self.loop.now
        key = f"Idempotency-Key: k{client.number}\r\n" if client.kind == "save" else ""
        method = "GET" if client.kind == "read" else "POST"
        self._tell(f"{client.id} asks for {client.kind}")
        text = (
            f"{method} /{client.kind} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {client.id}\r\n"
            f"X-Budget: {GIVE_UP_MS / 1000.0}\r\n{key}Content-Length: 0\r\n\r\n"
        ).encode()
        client.rest = text[HALF:] if half else b""
        client.wire.feed(text[:HALF] if half else text)

    def _do_leave(self, what: str) -> None:
        client = self.clients[int(what[1:])]
        assert client.wire is not None
        client.left = True
        self._tell(f"{client.id} leaves")
        client.wire.eof()

    def _dial(self, what: str) -> Dial:
        return self.loop.dials[int(what)]

    def _do_up(self, what: str) -> None:
        dial = self._dial(what)
        self._tell(f"a connection to {dial.address[0]} is up")
        self.loop.up(dial)

    def _do_refuse(self, what: str) -> None:
        dial = self._dial(what)
        self._tell(f"a connection to {dial.address[0]} is refused")
        self.loop.refuse(dial)

    def _end(self, what: str, ended: str) -> Carried:
        one = self.carried[int(what)]
        one.ended = ended
        self._tell(f"s{one.server}: {one.client} {ended}")
        return one

    def _do_serve(self, what: str) -> None:
        self._end(what, "served").wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")

    def _do_fail(self, what: str) -> None:
        self._end(what, "failed").wire.feed(b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n")

    def _do_turn_away(self, what: str) -> None:
        self._end(what, "refused").wire.feed(b"HTTP/1.1 503 -\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")

    def _do_reset(self, what: str) -> None:
        self._end(what, "reset").wire.lose()

    def _do_close(self, what: str) -> None:
        """It answers, and closes with the same breath."""
        one = self._end(what, "served")
        one.wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")
        one.wire.eof()

    def _do_cross(self, what: str) -> None:
        """Its answer comes in the very turn in which the next timer is due, and behind it."""
        one = self._end(what, "served")
        due = self.next_due()
        if due is not None:
            before = [entry for entry in self.loop.timers if entry[0] < due]
            if before:
                self.loop.pass_to(max(entry[0] for entry in before))
            self.loop.now = max(self.loop.now, due)
            for when, _, handle in sorted(self.loop.timers, key=lambda entry: entry[:2]):
                if when <= due and not handle.cancelled():
                    self.loop.ready.append(handle)
            self.loop.timers = [entry for entry in self.loop.timers if entry[0] > due]
        if one.wire.closing:
            return
        one.wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nok")

    def _do_drop(self, what: str) -> None:
        wire = self._idle_wire(what)
        self._tell(f"{wire.address} closes an idle connection")
        wire.eof()

    def _idle_wire(self, what: str) -> Wire:
        return next(wire for number, wire in self._idle() if number == int(what))

    def _do_drop_crossing(self, what: str) -> None:
        """A close that is on its way while something else happens."""
        wire = self._idle_wire(what)
        wire.unread = True
        self._tell(f"{wire.address} closes an idle connection, unread for a while")
        self.crossing.append((wire, b""))

    def _do_stray(self, what: str) -> None:
        """An answer that nobody asked for, on its way."""
        wire = self._idle_wire(what)
        wire.unread = True
        self._tell(f"{wire.address} sends an answer that nobody asked for")
        self.crossing.append((wire, b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nno"))

    def _cross(self, crossing: list[tuple[Wire, bytes]]) -> None:
        for wire, data in crossing:
            if not data:
                wire.out.clear()  # it was closed before: nobody reads this
                wire.eof()
            elif not wire.closing:
                wire.feed(data)

    def _news(self, place: int, status: str, since_ms: int = 0) -> None:
        assert self.watch is not None
        self.index += 1
        wire = self.watch
        self.watch = None
        self.told[place] = self.loop.now, status
        entries = [_entry(place) | {"status": status, "since_ms": since_ms}]
        if self.whole:  # it asks for all of them
            entries = [
                _entry(n) | {"status": how, "since_ms": int(1_000.0 * self.cold_s.get(n, 0.0))}
                for n, (_, how) in self.told.items()
                if how != "left"
            ]
        body = json.dumps({"index": self.index, "snapshot": self.whole, "endpoints": entries}).encode()
        wire.feed(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self._tell(f"discovery tells s{place} {status}")

    def _do_drain(self, what: str) -> None:
        self._news(int(what[1:]), "leaving")

    def _do_gone(self, what: str) -> None:
        self._news(int(what[1:]), "left")

    def _do_back(self, what: str) -> None:
        place = int(what[1:])
        self.cold_s[place] = self.loop.now
        self._news(place, "active", int(self.loop.now * 1000.0))

    def _do_stop(self, what: str) -> None:
        self._tell("SIGTERM")
        self.stopping = self.loop.run(self.node.stop())

    def _do_wait(self, what: str) -> None:
        due = self.next_due()
        assert due is not None
        due = min(due, self.loop.now + WAIT_S)
        self._tell(f"time passes to {due - 1_000.0:.3f} s")
        self.loop.pass_to(due)

    # The end

    def finish(self) -> None:
        """All that is under way comes to its end; then nothing may be left."""
        with self.inside():
            self._cross(self.crossing)
            self.crossing = []
            end = self.loop.now + END_S
            while self.loop.now < end:
                self._rest()
                due = self.loop.next_timer()
                if due is None or due > end:
                    break
                self.loop.pass_to(due)
            self._rest()
            for client in self.clients:
                if (
                    client.wire is not None
                    and not client.left
                    and not client.answers
                    and not client.rest
                    and client.closed_s is None
                ):
                    self._broken("one-answer", f"{client.id} never gets an answer")
            self._left()
            if self.stopping is None:
                self.stopping = self.loop.run(self.node.stop(0.0))
            self.loop.pass_to(self.loop.now + END_S)
            self._rest()
            if not self.stopping.done():
                self._broken("nothing-left", "the node does not come to its end")
            elif not self.stopping.cancelled() and (problem := self.stopping.exception()) is not None:
                self._broken("no-exception", f"stopping: {problem!r}")
            if self.loop.wires:
                self._broken("nothing-left", f"{len(self.loop.wires)} connections are open after the end")
            if self.loop.tasks:
                self._broken("nothing-left", f"tasks are left: {self.loop.tasks[0]!r:.120}")

    def _left(self) -> None:
        node = self.node
        balancer = self.node._balancer
        counts = {
            "requests of the node": len(node._pending),
            "attempts of the node": len(node.attempts),
            "ids": len(node._open_ids),
            "calls of the module": len(balancer._calls),
            "attempts in flight": balancer.inflight,
            "uploads": len(balancer._uploads),
            "lost calls": balancer.outstanding.lost_count,
            "alarms": len(node._timers),
            "dials": len(node._tcp._dials),
            "calls out at servers": sum(
                len(server.outstanding) for server in balancer.server_set.servers.values()
            ),
            "sends without an end": sum(self.sends.values()),
        }
        for what, count in counts.items():
            if count:
                self._broken("nothing-left", f"{what}: {count}")

    @property
    def over(self) -> bool:
        """Whether nothing more can be asked, or is under way."""
        asked = all(client.wire is not None for client in self.clients) or self.stopping is not None
        return asked and not any(client.waits or client.rest for client in self.clients)

    def outcome(self) -> tuple[Any, ...]:
        """What came of it, for comparisons."""
        clients = tuple(
            (c.left, tuple(status for _, status in c.answers), c.wire is not None) for c in self.clients
        )
        ran = tuple(sorted((one.client, one.server, one.ended) for one in self.carried))
        return clients, ran


def _never(now: float) -> float:
    return 0.0


class _Clock:
    """What `orchidferry.node.clock` takes for the module `time`."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        return self._loop.now

    def time(self) -> float:
        return self._loop.now

    def __getattr__(self, name: str) -> Any:
        return getattr(time, name)


class _Select:
    POLLIN = 1

    def __init__(self, loop: Loop) -> None:
        self._loop = loop

    def poll(self) -> Poll:
        return Poll(self._loop)


def _entry(place: int) -> dict[str, Any]:
    return {
        "name": f"s{place}",
        "address": f"10.1.0.{place}:80",
        "zone": f"z{place % 2}",
        "type": "k",
        "group": place % 2,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }


def _config(small: Small) -> Config:
    classes = [
        api.RequestClass(
            name,
            AIM_MS,
            GIVE_UP_MS,
            1.0,
            0.2,
            repeat,
            api.Group.CELL if repeat is api.Repeat.KEYED else api.Group.ALL,
            WINDOW_MS,
        )
        for name, repeat in KINDS.items()
    ]
    settings = api.Settings(
        classes,
        max_attempts=small.attempts,
        connect_timeout_ms=CONNECT_MS,
        keepalive_ms=30_000.0,
        can_cancel=True,
        drain_grace_ms=0.0,
        start_capacity=0.3,
        ramp_time_ms=8_000.0,
        overload_factor=3.0,
        overload_for_ms=1_000.0,
        answer_slack_ms=MARGIN_MS,
    )
    entries = [_entry(n) for n in range(small.servers)]
    for entry in entries[small.servers - small.cold :]:
        entry["since_ms"] = 1_000_000
    known = read_listing({"index": 1, "snapshot": True, "endpoints": entries})
    return Config("n0", parse_address("10.0.0.1:80"), DISCOVERY, 7, 1024, 64.0, known, settings)


def _message(wire: Wire) -> bytes | None:
    """The next whole message that the node has written, taken out."""
    data = bytes(wire.out)
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    length = int(_headers(data[: end + 4]).get("content-length", "0"))
    if len(data) < end + 4 + length:
        return None
    del wire.out[: end + 4 + length]
    return data[: end + 4 + length]


def _headers(text: bytes) -> dict[str, str]:
    lines = text.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
