"""The state of one run of a world, and the properties that are checked whenever its loop is idle.

The node is the shipping `orchidferry.node.node.Node` on an event loop of virtual time. Clients, servers and
discovery are simulated; the actions that they may take next are in `world_actions`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.node.node import Node
from orchidferry.testkit.explore.loop import FakeTransport, VirtualTimeLoop
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
from orchidferry.testkit.explore.world_peers import Client, ServerRequest, parse_headers, take_message
from orchidferry.testkit.explore.world_size import WorldSize

SLACK_MS = 25.0  # time by which an answer may miss its deadline: one iteration and the node's own margin
# Periodic timers, which the exploration does not wait for.
BACKGROUND = ("Frontend._sweep", "Upstream._sweep", "Discovery._silent")


class WorldState:
    """One run: the node, its simulated peers, and what happened so far.

    :ivar events_left: disturbances that may still happen
    :ivar late_waits_left: how often time may still advance although a peer could act
    :ivar story: what happened, with the times
    :ivar listed: for each server, since when the node knows its newest status, and that status
    :ivar cold_since_s: when each server that is cold started
    :ivar server_requests: requests that servers received
    :ivar discovery_transport: the connection of the node's open request to discovery; None without one
    :ivar index: of discovery's newest update
    :ivar stopping: the task that stops the node
    :ivar retries_denied: whether the delay controller admits no retries
    :ivar reconfigured: whether the node got its SIGHUP
    :ivar full_list_requested: whether the node's open request to discovery asks for the full list
    :ivar delayed_input: input of the node that it reads only after the next action; empty bytes for a close
    :ivar open_sends: `Send`s without an `AttemptEnded`, counted by request and server
    """

    def __init__(self, size: WorldSize) -> None:
        self.size = size
        self.loop = VirtualTimeLoop()  # type: ignore[abstract]  # the node uses none of the missing methods
        self.events_left = size.events
        self.late_waits_left = size.late
        self.story: list[tuple[float, str]] = []
        self.violations: list[Violation] = []
        self.clients = [Client(n, size.kinds[n % len(size.kinds)], id=f"c{n}") for n in range(size.clients)]
        self.names = [f"s{n}" for n in range(size.servers)]
        self.listed = dict.fromkeys(range(size.servers), (0.0, "active"))
        self.cold_since_s: dict[int, float] = {}
        self.server_requests: list[ServerRequest] = []
        self.discovery_transport: FakeTransport | None = None
        self.index = 1
        self.stopping: asyncio.Task[Any] | None = None
        self.retries_denied = self.reconfigured = self.full_list_requested = False
        self.delayed_input: list[tuple[FakeTransport, bytes]] = []
        self.cold_since_s |= dict.fromkeys(range(size.servers - size.cold, size.servers), self.loop.now)
        self.open_sends: dict[tuple[str, int], int] = {}
        self._logged_errors = ErrorLines()
        with self.patched_modules():
            self.node = Node(node_config(size), self.loop)
            self._intercept_balancer()
            self.loop.start_task(self.node.frontend.listen(self.loop, LISTEN))
            self.node.start()
            self.run_until_idle()

    @contextmanager
    def patched_modules(self) -> Iterator[None]:
        """Replace the modules `time` and `select` in the node's code, and collect the errors that it logs."""
        # Replaced as attributes of the modules that import them.
        originals = {patch: getattr(*patch) for patch in PATCHED}
        for patch, new in zip(PATCHED, (FakeTime(self.loop), FakeSelect(self.loop)), strict=True):
            setattr(*patch, new)
        log = logging.getLogger("orchidferry")
        log.addHandler(self._logged_errors)
        propagate = log.propagate
        log.propagate = False
        try:
            yield
        finally:
            for patch, original in originals.items():
                setattr(*patch, original)
            log.removeHandler(self._logged_errors)
            log.propagate = propagate

    def _intercept_balancer(self) -> None:
        """Check the calls between the node and its balancer, and make the balancer's randomness constant."""
        balancer, chance = self.node._balancer, FixedRandom(1)
        for part in (balancer, balancer.server_set, balancer.outliers, balancer.picker, balancer.admission):
            part._rng = chance
        inner = balancer.handle

        def handle(event: api.Event, now_ms: float) -> list[api.Action]:
            if isinstance(event, api.AttemptEnded):
                key = event.id, event.server
                if self.open_sends.get(key, 0) < 1:
                    self.report_violation(
                        "one-end", f"AttemptEnded of request {event.id} without a Send to match"
                    )
                else:
                    self.open_sends[key] -= 1
            actions = inner(event, now_ms)
            for action in actions:
                if isinstance(action, api.Send):
                    key = action.id, action.server
                    self.open_sends[key] = self.open_sends.get(key, 0) + 1
            return actions

        balancer.handle = handle  # type: ignore[method-assign]

    def report_violation(self, name: str, what: str) -> None:
        """Record that a property is violated.

        :param name: of the property
        """
        self.violations.append(Violation(name, what))

    def log(self, what: str) -> None:
        """Add a line to the run's story."""
        self.story.append((self.loop.now, what))

    # While the loop is idle

    def run_until_idle(self) -> None:
        """Run the loop until it is idle, and check the output of the node."""
        while True:
            self.loop.run_until_idle()
            if not self._collect_output():
                break
        self._check_ownership()
        for line in [*self._logged_errors.lines, *self.loop.unhandled_errors]:
            self.report_violation("no-exception", line)
        self._logged_errors.lines.clear()
        self.loop.unhandled_errors.clear()

    def _check_ownership(self) -> None:
        """Check that node and balancer hold the same requests, and that no timer is left over."""
        node = self.node
        balancer = self.node._balancer
        if balancer._calls.keys() != node._pending.keys():
            differing = sorted(balancer._calls.keys() ^ node._pending.keys())
            self.report_violation(
                "nothing-left", f"node and balancer do not hold the same requests: {differing}"
            )
        if len(node._timers) > len(node._pending) + len(node.attempts):
            self.report_violation(
                "nothing-left", f"{len(node._timers)} time limits for {len(node._pending)} requests"
            )

    def _collect_output(self) -> bool:
        """Take the output of the node; return whether the loop has to run again."""
        progressed = False
        for dial in list(self.loop.dials):
            if dial.address == DISCOVERY:  # connecting to it is no choice; only its updates are
                self.loop.complete_dial(dial)
                progressed = True
        for transport in self.loop.transports:
            while (text := take_message(transport)) is not None:
                if transport.address == DISCOVERY:
                    self.discovery_transport = transport
                    self.full_list_requested = b"index=" not in text.partition(b"\r\n")[0]
                elif transport.address is not None:
                    self._take_request(transport, text)
                else:
                    self._take_response(transport, text)
        self.loop.transports = [transport for transport in self.loop.transports if not transport.lost]
        for client in self.clients:
            if (
                client.transport is not None
                and client.transport.closing
                and client.closed_s is None
                and not client.disconnected
            ):
                client.closed_s = self.loop.now
                if not client.answers and not client.unsent:  # an incomplete request needs no answer
                    self.report_violation(
                        "one-answer", f"{client.id}'s connection was closed without an answer"
                    )
        for request in self.server_requests:
            if not request.ended and request.transport.closing:
                request.ended = "given up"
                self.log(f"s{request.server} sees that the node gave {request.client} up")
        return progressed

    def _take_request(self, transport: FakeTransport, text: bytes) -> None:
        headers = parse_headers(text)
        server = int(str(transport.address[0]).rpartition(".")[2]) if transport.address else 0
        id = headers["x-call-id"]
        now = self.loop.now
        client = next(c for c in self.clients if c.id == id)
        since, status = self.listed[server]
        if status != "active" and now >= since:
            self.report_violation(
                "drains-kept", f"{id} goes to s{server}, which was reported {status} at {since:.3f} s"
            )
        before = [
            request for request in self.server_requests if request.client == id and request.ended != "refused"
        ]
        if before:
            first = before[0]
            if client.kind == "pay":
                self.report_violation(
                    "no-effect-twice", f"{id}, unsafe, goes to s{server} after s{first.server}"
                )
            if client.kind == "save":
                if first.server % 2 != server % 2:
                    self.report_violation(
                        "no-effect-twice", f"{id}, keyed, goes to s{server}, outside its group"
                    )
                if (now - first.received_s) * 1000.0 > RESEND_WINDOW_MS + 1e-6:
                    self.report_violation(
                        "no-effect-twice", f"{id}, keyed, is sent again after its retry window"
                    )
        if server in self.cold_since_s:
            count = (
                sum(
                    request.server == server and request.received_s >= self.cold_since_s[server]
                    for request in self.server_requests
                )
                + 1
            )
            if count > 1:  # a cold server's capacity is unknown: it may get one at a time
                self.report_violation("cold-spared", f"s{server}, cold, gets {count} requests at once")
        self.server_requests.append(ServerRequest(id, server, transport, now))
        self.log(f"s{server} has received {id} completely")

    def _take_response(self, transport: FakeTransport, text: bytes) -> None:
        client = next(c for c in self.clients if c.transport is transport)
        status = int(text.split(b" ", 2)[1])
        now = self.loop.now
        client.answers.append((now, status))
        self.log(f"{client.id} is answered {status}")
        if client.disconnected:
            return
        late_ms = (now - client.sent_s) * 1000.0 - DEADLINE_MS
        if len(client.answers) > 1:
            self.report_violation("one-answer", f"{client.id} is answered {len(client.answers)} times")
        if late_ms > SLACK_MS:
            self.report_violation("one-answer", f"{client.id} is answered {late_ms:.0f} ms late")
        ran = [
            request
            for request in self.server_requests
            if request.client == client.id and request.ended != "refused"
        ]
        if status == 200 and not any(request.ended == "served" for request in ran):
            self.report_violation("one-answer", f"{client.id} is answered 200, but no server answered it 200")
        if status == 503 and client.kind != "read" and ran:
            self.report_violation(
                "harmless-refusals", f"{client.id} is answered 503, but may have run on s{ran[0].server}"
            )

    # For the possible actions

    def idle_connections(self) -> list[tuple[int, FakeTransport]]:
        """Return the connections to servers without a request, with their numbers."""
        busy = {id(request.transport) for request in self.server_requests if not request.ended}
        return [
            (transport.number, transport)
            for transport in self.loop.transports
            if transport.address not in (None, DISCOVERY)
            and id(transport) not in busy
            and not transport.closing
            and not transport.unread
        ]

    def next_due(self) -> float | None:
        """Return when the next timer is due that is not a periodic one; None for none."""
        due = [
            when
            for when, _, handle in self.loop.timers
            if not handle.cancelled() and getattr(handle._callback, "__qualname__", "") not in BACKGROUND  # type: ignore[attr-defined]
        ]
        return min(due, default=None)

    def deliver_delayed(self, delayed: list[tuple[FakeTransport, bytes]]) -> None:
        """Deliver input that peers had sent before the last action."""
        for transport, data in delayed:
            if not data:
                transport.written.clear()  # the peer had closed before, and reads nothing
                transport.feed_eof()
            elif not transport.closing:
                transport.feed(data)
