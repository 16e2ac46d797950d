"""The state of one run of a world, and what is judged of it at rest.

The node is `orchidferry.node.node.Node` with all that stands under it, on a loop of virtual time. Callers,
servers and discovery are played here; what they may do next is in `world_actions`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.node.node import Node
from orchidferry.testkit.explore.loop import Loop, Wire
from orchidferry.testkit.explore.properties import Violation
from orchidferry.testkit.explore.world_node import (
    DEADLINE_MS,
    DISCOVERY,
    LISTEN,
    PATCHED,
    RESEND_WINDOW_MS,
    ErrorLines,
    FakeSelect,
    FakeTime,
    FixedRandom,
    node_config,
)
from orchidferry.testkit.explore.world_peers import CarriedRequest, Client, parse_headers, take_message
from orchidferry.testkit.explore.world_size import WorldSize

SLACK_MS = 25.0  # of an answer beyond its time: one turn, and the answer's own reserve
# Timers that come round by themselves: time does not stop for them.
BACKGROUND = ("Frontend._sweep", "Upstream._sweep", "Discovery._silent")


class WorldState:
    """One run."""

    def __init__(self, size: WorldSize) -> None:
        self.size = size
        self.loop = Loop()  # type: ignore[abstract]  # what it lacks nothing here asks for
        self.left_events = size.events
        self.left_late = size.late
        self.story: list[tuple[float, str]] = []
        self.violations: list[Violation] = []
        self.clients = [Client(n, size.kinds[n % len(size.kinds)], id=f"c{n}") for n in range(size.clients)]
        self.names = [f"s{n}" for n in range(size.servers)]
        self.told = dict.fromkeys(range(size.servers), (0.0, "active"))  # since when, as the node has heard
        self.cold_s: dict[int, float] = {}
        self.carried: list[CarriedRequest] = []
        self.watch: Wire | None = None  # of discovery
        self.index = 1
        self.stopping: asyncio.Task[Any] | None = None
        self.closed_loop = self.hung_up = self.whole = False
        self.crossing: list[tuple[Wire, bytes]] = []  # what peers have sent that is read a step later
        self.cold_s |= dict.fromkeys(range(size.servers - size.cold, size.servers), self.loop.now)
        self.sends: dict[tuple[str, int], int] = {}  # open ones, by request and server
        self._errors = ErrorLines()
        with self.inside():
            self.node = Node(node_config(size), self.loop)
            self._wrap()
            self.loop.run(self.node.frontend.listen(self.loop, LISTEN))
            self.node.start()
            self.settle()

    @contextmanager
    def inside(self) -> Iterator[None]:
        """The node's clock and sockets are the loop's while this lasts."""
        # By name, as both are modules that those import.
        old = {place: getattr(*place) for place in PATCHED}
        for place, new in zip(PATCHED, (FakeTime(self.loop), FakeSelect(self.loop)), strict=True):
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
        balancer, chance = self.node._balancer, FixedRandom(1)
        for part in (balancer, balancer.server_set, balancer.outliers, balancer.picker, balancer.admission):
            part._rng = chance
        inner = balancer.handle

        def handle(event: api.Event, now_ms: float) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                key = event.id, event.server
                if self.sends.get(key, 0) < 1:
                    self.report("one-end", f"AttemptEnded of request {event.id} without a Send to match")
                else:
                    self.sends[key] -= 1
            actions = inner(event, now_ms)
            for action in actions:
                if isinstance(action, api.Send):
                    key = action.id, action.server
                    self.sends[key] = self.sends.get(key, 0) + 1
            return actions

        balancer.handle = handle  # type: ignore[method-assign]

    def report(self, name: str, what: str) -> None:
        """Note that a property does not hold."""
        self.violations.append(Violation(name, what))

    def tell(self, what: str) -> None:
        """Add a line to the story of the run."""
        self.story.append((self.loop.now, what))

    # At rest

    def settle(self) -> None:
        """Let the node come to rest, and look at what it has written."""
        while True:
            self.loop.settle()
            if not self._look():
                break
        self._owned()
        for line in [*self._errors.lines, *self.loop.problems]:
            self.report("no-exception", line)
        self._errors.lines.clear()
        self.loop.problems.clear()

    def _owned(self) -> None:
        """At rest each thing that is kept has an owner."""
        node = self.node
        balancer = self.node._balancer
        if balancer._calls.keys() != node._pending.keys():
            odd = sorted(balancer._calls.keys() ^ node._pending.keys())
            self.report("nothing-left", f"node and module do not hold the same requests: {odd}")
        if len(node._timers) > len(node._pending) + len(node.attempts):
            self.report("nothing-left", f"{len(node._timers)} time limits for {len(node._pending)} requests")

    def _look(self) -> bool:
        """Take what came out of the node; whether discovery has made more come."""
        moved = False
        for dial in list(self.loop.dials):
            if dial.address == DISCOVERY:  # it answers at once: only its news are a choice
                self.loop.up(dial)
                moved = True
        for wire in self.loop.wires:
            while (text := take_message(wire)) is not None:
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
                    self.report("one-answer", f"{client.id} was closed on without an answer")
        for one in self.carried:
            if not one.ended and one.wire.closing:
                one.ended = "given up"
                self.tell(f"s{one.server} sees {one.client} given up")
        return moved

    def _got(self, wire: Wire, text: bytes) -> None:
        headers = parse_headers(text)
        place = int(str(wire.address[0]).rpartition(".")[2]) if wire.address else 0
        id = headers["x-call-id"]
        now = self.loop.now
        client = next(c for c in self.clients if c.id == id)
        since, status = self.told[place]
        if status != "active" and now >= since:
            self.report("drains-kept", f"{id} goes to s{place}, which was told {status} at {since:.3f} s")
        before = [one for one in self.carried if one.client == id and one.ended != "refused"]
        if before:
            first = before[0]
            if client.kind == "pay":
                self.report("no-effect-twice", f"{id}, unsafe, goes to s{place} after s{first.server}")
            if client.kind == "save":
                if first.server % 2 != place % 2:
                    self.report("no-effect-twice", f"{id}, keyed, leaves its group for s{place}")
                if (now - first.got_s) * 1000.0 > RESEND_WINDOW_MS + 1e-6:
                    self.report("no-effect-twice", f"{id}, keyed, is sent again after its window")
        if place in self.cold_s:
            count = sum(one.server == place and one.got_s >= self.cold_s[place] for one in self.carried) + 1
            if count > 1:  # nothing is known of what it bears: one at once is the most
                self.report("cold-spared", f"s{place}, cold, gets {count} requests at once")
        self.carried.append(CarriedRequest(id, place, wire, now))
        self.tell(f"s{place} has {id} whole")

    def _answered(self, wire: Wire, text: bytes) -> None:
        client = next(c for c in self.clients if c.wire is wire)
        status = int(text.split(b" ", 2)[1])
        now = self.loop.now
        client.answers.append((now, status))
        self.tell(f"{client.id} is answered {status}")
        if client.left:
            return
        late_ms = (now - client.asked_s) * 1000.0 - DEADLINE_MS
        if len(client.answers) > 1:
            self.report("one-answer", f"{client.id} is answered {len(client.answers)} times")
        if late_ms > SLACK_MS:
            self.report("one-answer", f"{client.id} is answered {late_ms:.0f} ms late")
        ran = [one for one in self.carried if one.client == client.id and one.ended != "refused"]
        if status == 200 and not any(one.ended == "served" for one in ran):
            self.report("one-answer", f"{client.id} is answered 200, and no server did")
        if status == 503 and client.kind != "read" and ran:
            self.report("harmless-refusals", f"{client.id} is refused, and may have run on s{ran[0].server}")

    # For what may happen

    def idle_wires(self) -> list[tuple[int, Wire]]:
        """Connections to servers that carry nothing, with their numbers."""
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

    def deliver(self, crossing: list[tuple[Wire, bytes]]) -> None:
        """Have the node read what peers had sent before."""
        for wire, data in crossing:
            if not data:
                wire.out.clear()  # it was closed before: nobody reads this
                wire.eof()
            elif not wire.closing:
                wire.feed(data)
