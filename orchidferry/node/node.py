"""The node: translates socket activity into events for the balancer, and performs the balancer's actions.

Only this module calls `Balancer.handle`, with one event at a time. Every accepted request is answered exactly
once, at the latest by a backstop timer at its deadline. Every `Send` action of the balancer leads to exactly
one `AttemptEnded` event.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import math
from collections.abc import Callable, Collection, Iterable
from typing import TYPE_CHECKING, cast

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import Balancer
from orchidferry.node.clock import now_ms
from orchidferry.node.config import Config, ConfigError
from orchidferry.node.discovery import Discovery
from orchidferry.node.event_queue import EventQueue
from orchidferry.node.extensions import Extensions
from orchidferry.node.flow import (
    GRACE_S,
    MAX_STREAMED_BODY,
    POOL_MEMORY_FRACTION,
    SLOWEST_B_S,
    Flow,
    MemoryPool,
)
from orchidferry.node.frontend import Frontend
from orchidferry.node.interfaces import FrontendTransport, UpstreamTransport
from orchidferry.node.metrics import Metrics
from orchidferry.node.pending_request import PendingRequest, RequestAttempt
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message, RequestError
from orchidferry.node.server_listing import ServerListing
from orchidferry.node.server_table import ServerListFeed, ServerTable
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import Upstream

if TYPE_CHECKING:  # modules of optional features are imported at run time only if the feature is enabled
    from orchidferry.node.admin_server import AdminServer, PageHandler
    from orchidferry.node.chain.headers import ChainHeaders
    from orchidferry.node.control.link import Link
    from orchidferry.node.h3.front import Listener

# Part of a request's budget that is reserved for the time before the request is read and for sending its
# answer.
MARGIN_MS = 10.0

# Largest share of a request's budget that is reserved for the node's own scheduling delays
LATENESS_SHARE = 0.1

# Graceful shutdown: new connections still arrive for at least 0.4 s after SIGTERM. SIGKILL follows no sooner
# than 0.7 s after the longest budget of a request, which is 3 s at most.
MIN_ACCEPT_S = 0.45  # minimum time for which new connections are accepted after SIGTERM
MAX_BUDGET_MS = 3_000.0  # the longest budget that a request may have
KILL_DELAY_MS = 700.0  # minimum time between the end of the longest budget and SIGKILL
STOP_MARGIN_MS = 200.0  # time between the deadline of the last answer and SIGKILL
CLOSE_LEAD_MS = 800.0  # how long before the deadline of the last answer connections start to be closed

# How the limit on open sockets is divided
RESERVED_SOCKETS = 24  # sockets for the listener, discovery, the event loop, the log, and half-closed sockets
CLIENT_SOCKETS_SHARE = 0.55  # share of the limit for clients; the rest is for connections to servers

FLOW_CHECK_S = 1.0  # how often a flow is checked for a stall
SUBSCRIBE_RETRY_S = 0.5  # delay before resubscribing after discovery failed, if `follow_list` is off

log = logging.getLogger("orchidferry")


def _log_unhandled(event: api.Event) -> None:
    log.exception("unhandled exception while handling the event %s", type(event).__name__)


class Node:
    """One balancing node."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, extensions: Extensions | None = None
    ) -> None:
        """Create a `Node`.

        :param extensions: settings of the optional features; None if no feature is enabled.
        :raises ConfigError: if a feature can't be started with its settings.
        """
        extensions = extensions or Extensions()
        self._config = config
        self._loop = loop
        self.chain_headers: ChainHeaders | None = None
        self._balancer = self._make_balancer(extensions)
        self._events = EventQueue(self._balancer.handle, self._perform, _log_unhandled)
        self.metrics = Metrics(self._balancer.classes)
        self._streaming = 0  # number of answers that are being streamed to the client
        # Requests are identified by a serial number, also in events and actions of the balancer: an attempt
        # may outlive its request, and the client may then reuse the id of that request.
        self._serial = 0  # serial number of the newest request
        self._pending: dict[str, PendingRequest] = {}  # pending requests by serial number
        # Attempts in flight, by the serial number of the request and the number of the attempt
        self.attempts: dict[tuple[str, int], RequestAttempt] = {}
        self._open_ids: set[str] = set()  # ids that clients gave to the pending requests
        self.servers = ServerTable(lambda server: self._upstream.server_removed(server))
        self._list_feed = ServerListFeed(loop, self._handle)
        self._timers = TimerQueue(loop)
        self._longest_ms = 0.0  # the longest budget of a request so far
        self._stop_ms = math.inf  # when all requests must be answered, once the node shuts down
        self._make_upstream(extensions)
        self.control: Link | None = None
        if extensions.control is not None:
            from orchidferry.node.control.link import Link

            self.control = Link(extensions.control, config.settings, self, loop)
        self._discovery = Discovery(loop, config.discovery, config.known_servers.index, self._on_discovery)
        self._subsystems = extensions.subsystems
        self._make_frontends(extensions)
        self.admin_server = self._make_admin_server()
        for subsystem in self._subsystems:
            subsystem.attach(self.ready)

    # Construction

    def _make_balancer(self, extensions: Extensions) -> Balancer:
        settings = self._config.settings
        seed = self._config.seed
        if extensions.chain is not None:
            from orchidferry.node.chain.headers import ChainHeaders

            self.chain_headers = ChainHeaders(extensions.chain, seed)
        budgets = self.chain_headers.chain if self.chain_headers is not None else None
        balancer = Balancer(settings, seed, budgets)
        if extensions.pools is None:
            return balancer
        from orchidferry.balancing.pools import Router

        # A `Router` has the interface of a `Balancer`, and contains one balancer for each pool.
        return cast(Balancer, Router(settings, seed, extensions.pools, budgets))

    def _make_upstream(self, extensions: Extensions) -> None:
        settings = self._config.settings
        self._tcp = Upstream(
            self._loop,
            settings.connect_timeout_ms,
            settings.keepalive_ms,
            self._free_sockets,
            self._timers,
        )
        self._upstream: UpstreamTransport = self._tcp
        http3 = extensions.http3
        if http3 is not None and http3.servers is not None:
            from orchidferry.node.h3.upstream import Http3Upstream

            self._upstream = Http3Upstream(
                self._loop,
                self._tcp,
                http3.servers,
                settings.keepalive_ms,
                self.servers.h3_addresses.get,
                self._config.seed,
            )

    def _make_frontends(self, extensions: Extensions) -> None:
        classes = self._balancer.classes
        self.frontend = Frontend(
            classes,
            self.accept,
            lambda: bool(self.servers.in_service),
            int(CLIENT_SOCKETS_SHARE * self._config.sockets),
            MemoryPool(int(POOL_MEMORY_FRACTION * self._config.memory_mb * 1e6)),
        )
        self._frontends: list[FrontendTransport] = [self.frontend]
        self.h3_front: Listener | None = None
        http3 = extensions.http3
        if http3 is not None and http3.front is not None:
            from orchidferry.node.h3.front import Listener

            self.h3_front = Listener(http3.front, classes, self.accept, self.frontend.node_page)
            self._frontends.append(self.h3_front)

    def _make_admin_server(self) -> AdminServer | None:
        if self._config.admin is None:
            return None
        from orchidferry.node.admin_server import AdminServer

        pages: dict[bytes, PageHandler] = {
            b"/-/ready": lambda: (200, b"ready\n") if self.ready() else (503, b"not ready\n"),
            b"/-/metrics": lambda: (200, self.render_metrics()),
            b"/-/control": self._control_page,
        }
        for subsystem in self._subsystems:
            pages |= subsystem.pages()
        return AdminServer(pages)

    # Admin pages

    def ready(self) -> bool:
        """Return whether requests can be served and the node is not shutting down."""
        return bool(self.servers.in_service) and self._stop_ms == math.inf

    def render_metrics(self) -> bytes:
        """Return the current metrics as text."""
        down = self._balancer.avoided(now_ms())
        inflight = len(self._pending) + self._streaming
        return self.metrics.render(inflight, len(self.servers.addresses), down)

    def _control_page(self) -> tuple[int, bytes]:
        return (404, b"no control service\n") if self.control is None else (200, self.control.page())

    # Start and shutdown

    def start(self) -> None:
        """Start the balancer with the servers of the configuration, then discovery and the subsystems."""
        self.apply_listing(self._config.known_servers, api.ListKind.SAVED)
        self._handle(api.Started())
        if not self._config.settings.follow_list:
            self._discovery.subscribe()
        if self.control is not None:
            self.control.start()
        for subsystem in self._subsystems:
            subsystem.start()

    async def stop(self, accept_s: float = MIN_ACCEPT_S) -> None:
        """Keep serving for a while, then finish all pending requests and close.

        Clients keep using their open connections, and may have no other node to go to. They are served until
        just enough time is left to answer before the platform kills the node.

        :param accept_s: minimum time for which new connections are accepted, in seconds.
        """
        began_ms = now_ms()
        self._begin_stop()
        await asyncio.sleep(accept_s)
        # The listener stays open as long as connections are served: a client whose new connection is refused
        # considers the node dead and abandons its open connections too, and may have no other node.
        try:
            async with asyncio.timeout((self._stop_ms - CLOSE_LEAD_MS - now_ms()) / 1000.0):
                await asyncio.gather(*(front.wait_closed() for front in self._frontends))
        except TimeoutError:
            log.info("closing client connections %.0f ms after the stop signal", now_ms() - began_ms)
        await self._close_frontends()
        await self._close_rest()

    def _begin_stop(self) -> None:
        grace_ms = KILL_DELAY_MS - STOP_MARGIN_MS + min(MAX_BUDGET_MS, self._longest_ms or MAX_BUDGET_MS)
        self._stop_ms = now_ms() + grace_ms
        for request in self._pending.values():
            if request.ends_ms > self._stop_ms:
                request.ends_ms = self._stop_ms
                self._set_backstop(request)
        for subsystem in self._subsystems:
            subsystem.leaving()
        for front in self._frontends:
            front.set_not_ready()

    async def _close_frontends(self) -> None:
        for front in self._frontends:
            front.close_listener()
        try:
            async with asyncio.timeout((self._stop_ms + STOP_MARGIN_MS / 2.0 - now_ms()) / 1000.0):
                await asyncio.gather(*(front.close_gracefully() for front in self._frontends))
        except TimeoutError:
            for front in self._frontends:
                front.abort()  # all requests are answered by now; the remaining clients do not read

    async def _close_rest(self) -> None:
        if self.admin_server is not None:
            self.admin_server.close()
        if self.control is not None:
            await self.control.close()
        for subsystem in self._subsystems:
            await subsystem.close()
        self._discovery.close()
        self._upstream.close()
        if self.h3_front is not None:
            self.h3_front.close()

    # Configuration

    def reconfigure(self, config: Config) -> None:
        """Apply a reloaded configuration file: the address of discovery and the certificates."""
        old = self._config
        expected = dataclasses.replace(
            config, discovery=old.discovery, known_servers=old.known_servers, seed=old.seed
        )
        if expected != old:
            log.warning("configuration reload: only a new discovery address applies without a restart")
        self._config = dataclasses.replace(old, discovery=config.discovery)
        self._discovery.move(config.discovery)
        if self.h3_front is not None:
            try:
                self.h3_front.reload_certificate()
            except ConfigError as problem:
                log.error("can't reload the certificate, so the old certificate stays: %s", problem)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings from the control service; pending requests are not affected."""
        self._tcp.configure(settings.connect_timeout_ms, settings.keepalive_ms)
        self.metrics.add_classes(cls.name for cls in settings.classes)
        if settings != self._balancer.settings:
            self._handle(api.NewSettings(settings))

    # Servers

    def known_servers(self) -> Collection[int]:
        """Return the ids of the listed servers."""
        return self.servers.addresses.keys()

    def serves(self, server: int) -> bool:
        """Return whether new requests may be sent to a server."""
        return server in self.servers.in_service

    def stop_sending(self, servers: Iterable[int]) -> None:
        """Send no new requests to these servers, whatever the balancer decides."""
        self.servers.stop_sending(servers)

    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        """Apply a list of servers at once; the balancer is notified of a long list in several events."""
        removed = self.servers.apply(listing, kind)
        self._list_feed.add(listing, kind, removed)

    def _on_discovery(self, listing: ServerListing | None, reason: str) -> None:
        if (
            listing is not None
            and self.control is not None
            and self.control.members.handle_discovery(listing)
        ):
            return
        if listing is not None:
            self.apply_listing(listing, api.ListKind.FULL if listing.complete else api.ListKind.CHANGES)
            return
        log.info("discovery failed: %s", reason)
        if self._config.settings.follow_list:
            self._handle(api.ServerList(api.ListKind.FAILED))
        else:
            self._loop.call_later(SUBSCRIBE_RETRY_S, self._discovery.subscribe)

    def _free_sockets(self) -> int:
        frontends = sum(front.count() for front in self._frontends)
        admin = self.admin_server.count() if self.admin_server is not None else 0
        subsystems = sum(subsystem.count() for subsystem in self._subsystems)
        used = RESERVED_SOCKETS + frontends + admin + subsystems + self._upstream.count()
        return self._config.sockets - used

    # Requests

    def accept(self, message: Message, answer: Callable[[Reply], None]) -> PendingRequest:
        """Accept a request, which is then answered exactly once unless its client disconnects.

        :param answer: called with the answer.
        :raises RequestError: if a request with the same id is pending.
        """
        if message.id in self._open_ids:
            raise RequestError("a request with this X-Call-Id is open")
        self._longest_ms = max(self._longest_ms, message.budget_ms)
        self._serial += 1
        now = now_ms()
        id = str(self._serial)
        flow = message.flow
        ends_ms = self._due_ms(message, now)
        if flow is not None and not flow.complete:  # the upload itself may take as long as a flow may last
            ends_ms += 1000.0 * ((flow.length or MAX_STREAMED_BODY) / SLOWEST_B_S + GRACE_S)
        request = PendingRequest(self, id, message, answer, min(ends_ms, self._stop_ms))
        if flow is not None:
            flow.on_complete = functools.partial(self._upload_received, request)
            self._check_flow(flow)
        self._pending[id] = request
        self._open_ids.add(message.id)
        self._set_backstop(request)
        ttl_ms = max(0.0, request.ends_ms - now - MARGIN_MS)
        self._handle(
            api.Request(
                id,
                message.cls,
                ttl_ms,
                message.tenant,
                message.client_retry,
                flow is not None,
                self.chain_headers.read(message) if self.chain_headers is not None else None,
                message.key.decode("latin-1") if message.key is not None else None,
            )
        )
        return request

    def _due_ms(self, message: Message, now: float) -> float:
        """Return when an answer is due, with time reserved for delays as long as the recent ones."""
        late_ms = min(1000.0 * self._timers.lateness_s(), LATENESS_SHARE * message.budget_ms)
        return message.due_ms(now) - late_ms

    def _set_backstop(self, request: PendingRequest) -> None:
        """Set or replace the backstop timer at the request's deadline."""
        self._timers.cancel(request.backstop)
        left_s = (request.ends_ms - now_ms()) / 1000.0
        request.backstop = self._timers.schedule(left_s, request.deadline_passed)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Drop a request after its client has disconnected."""
        if self._remove(request):
            self._handle(api.ClientGone(request.id))

    def _remove(self, request: PendingRequest) -> bool:
        """Remove a request and return True if it is pending.

        A caller that gets True must answer the request, unless its client has disconnected.
        """
        if not request.owed:
            return False
        request.owed = False
        del self._pending[request.id]
        self._open_ids.discard(request.message.id)
        self._timers.cancel(request.backstop)
        return True

    def finish(self, request: PendingRequest | None, reply: Reply) -> None:
        """Answer a request, if it is pending."""
        if request is None or not self._remove(request):
            return
        class_name = request.message.cls
        if reply.flow is None:
            self.metrics.count_request(class_name, reply.status)
        else:  # only the end of the flow shows whether the answer is complete
            self._streaming += 1
            reply.flow.on_over = functools.partial(self._stream_ended, class_name)
            self._check_flow(reply.flow)
        request.answer(reply)

    def _stream_ended(self, class_name: str, complete: bool) -> None:
        """Count an answer that was streamed to the client."""
        self._streaming -= 1
        self.metrics.count_request(class_name, 200 if complete else 502)

    def _check_flow(self, flow: Flow) -> None:
        """Abort a flow that has stalled, or check it again later."""
        if flow.is_stalled(self._loop.time()):
            flow.abort()
        elif not flow.over:
            self._timers.schedule(FLOW_CHECK_S, functools.partial(self._check_flow, flow))

    def _upload_received(self, request: PendingRequest) -> None:
        """Start the budget of a streamed request when its last byte has arrived."""
        if request.owed:
            request.ends_ms = min(self._due_ms(request.message, now_ms()), self._stop_ms)
            self._set_backstop(request)

    def deadline_passed(self, request: PendingRequest) -> None:
        """Fail a request that the balancer has not ended by its deadline, whatever the reason."""
        left_ms = request.ends_ms - now_ms()
        if left_ms > 0.0:  # the loop's clock may be ahead of the node's, and a request must not fail early
            delay_s = left_ms / 1000.0 + 0.001
            request.backstop = self._timers.schedule(delay_s, request.deadline_passed)
        elif self._remove(request):
            log.warning(
                "request %s had no outcome by its deadline, late_ms=%.0f", request.message.id, -left_ms
            )
            self.metrics.count_request(request.message.cls, 504)
            request.answer(Reply(504, b"no answer in time"))
            self._handle(api.ClientGone(request.id))

    # The balancer

    def _handle(self, event: api.Event) -> None:
        """Pass an event to the balancer after any queued events, and perform the resulting actions."""
        self._events.handle(event)

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._start_attempt(action)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self._handle, api.TimerFired(action.token))
            case api.Fail():
                more = self.chain_headers.answer(action) if self.chain_headers is not None else ()
                self.finish(self._pending.get(action.id), Reply(502, b"failed", more=more))
            case api.Refuse():
                more = self.chain_headers.answer(action) if self.chain_headers is not None else ()
                retry_after_s = action.retry_after_ms / 1000.0
                reply = Reply(503, b"refused", retry_after_s=retry_after_s, more=more)
                self.finish(self._pending.get(action.id), reply)
            case api.Cancel():
                self._cancel_attempt(action)
            case api.CloseIdle():
                self._upstream.close_idle(action.server)
            case api.Subscribe():
                self._discovery.subscribe()
            case api.Log():
                log.info("%s", action.text)

    # Attempts

    def _start_attempt(self, action: api.Send) -> None:
        request = self._pending.get(action.id)
        server = action.server
        sent_ms = now_ms()
        if request is None or server not in self.servers.in_service:
            number = request.attempts if request is not None else 0
            client_gone = request is None
            return self._handle(api.AttemptEnded(action.id, number, server, Result.MOOT, 0.0, client_gone))
        flow = request.message.flow
        if flow is not None and not flow.can_start():
            return self._handle(
                api.AttemptEnded(request.id, request.attempts, server, Result.MOOT, 0.0, False, spent=True)
            )
        # Limited to the time that is left: the attempt must end before the answer is due.
        timeout_ms = max(0.0, min(action.timeout_ms, request.ends_ms - MARGIN_MS - sent_ms))
        address = self.servers.addresses[server]
        attempt = RequestAttempt(self, request, server, address, timeout_ms, sent_ms)
        if action.carried is not None and self.chain_headers is not None:
            attempt.more = self.chain_headers.write(action.carried, timeout_ms)
        self._upstream.send(attempt, action.fresh)
        return None

    def _cancel_attempt(self, action: api.Cancel) -> None:
        # The balancer also counts attempts that were moot before they started, and these have no number here:
        # so the newest attempt up to the balancer's number is the one to cancel.
        for number in range(action.attempt, -1, -1):
            attempt = self.attempts.get((action.id, number))
            if attempt is not None:
                return attempt.abort(Result.CANCELLED)
        return None

    def upload_sent(self, attempt: RequestAttempt) -> None:
        """Notify the balancer that a streamed request was written to its server completely."""
        sent_ms = now_ms()
        left_ms = attempt.request.ends_ms - MARGIN_MS - sent_ms
        self._handle(attempt.restart_clock(left_ms, sent_ms))

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        """Notify the balancer that one of its attempts has ended."""
        self._handle(event)
