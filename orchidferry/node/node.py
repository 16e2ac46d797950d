"""The node: turns what happens on sockets into the module's events and does what it answers.

Only this file calls `Balancer.handle`, one event at a time: an event that an action raises is queued.
Every request taken is answered exactly once, at the latest by a backstop at its deadline.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import TYPE_CHECKING, Protocol, cast

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import Balancer
from orchidferry.node.address import Address
from orchidferry.node.clock import now_ms
from orchidferry.node.config import Config, ConfigError
from orchidferry.node.discovery import Discovery
from orchidferry.node.event_queue import EventQueue
from orchidferry.node.flow import GRACE_S, LONG_BODY, POOL_MEMORY_FRACTION, SLOWEST_B_S, Flow, MemoryPool
from orchidferry.node.frontend import Frontend, Reply
from orchidferry.node.metrics import Metrics
from orchidferry.node.request import Message, RequestError
from orchidferry.node.server_listing import ServerListing
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import Attempt, Upstream, UpstreamResponse

MARGIN_MS = 10.0  # of a budget: it ran before the request was read, and the answer takes its time
# A planned end. Connections go on coming for 0.4 s after SIGTERM at least; SIGKILL follows no sooner than
# the longest budget of a request, 3 s at most, and 0.7 s more.
ACCEPT_S = 0.45
LONGEST_MS = 3_000.0
KILL_MS = 700.0
STOP_MARGIN_MS = 200.0  # from the last answer to that kill
LAST_MS = 800.0  # before the last answer all begins to close: what comes till then has a fair chance
SPARE_SOCKETS = 24  # of the limit: listener, discovery, event loop, log, and sockets half closed
CALLERS_SHARE = 0.55  # of the limit: the rest is for attempts, one to each of a third of it, and idle ones
LIST_STEP = 64  # entries of a list that the module is told in one go: under 1 ms
FLOW_LOOK_S = 1.0  # how often a flow is looked at that may stand still
PUSHED_RETRY_S = 0.5  # after a failure of the node's own agent, where lists come unasked

if TYPE_CHECKING:  # a transport is imported only where it is switched on
    from orchidferry.balancing.pools import Rules
    from orchidferry.node.admin_server import AdminServer, PageHandler
    from orchidferry.node.chain.links import Links
    from orchidferry.node.chain.settings import Setup
    from orchidferry.node.control.link import Link
    from orchidferry.node.control.settings import Control
    from orchidferry.node.h3.front import Listener
    from orchidferry.node.h3.settings import Http3

log = logging.getLogger("orchidferry")


def _not_handled(event: api.Event) -> None:
    log.exception("handling %s", type(event).__name__)


class FrontendTransport(Protocol):
    """A transport's listener and its callers."""

    def count(self) -> int: ...  # sockets in use
    def set_not_ready(self) -> None: ...
    def close_listener(self) -> None: ...
    async def wait_closed(self) -> None: ...
    async def close_gracefully(self) -> None: ...
    def abort(self) -> None: ...


class UpstreamTransport(Protocol):
    """The way to servers."""

    def count(self) -> int: ...  # sockets in use
    def send(self, attempt: Attempt, fresh: bool = False) -> None: ...
    def close_idle(self, server: int) -> None: ...
    def server_removed(self, server: int) -> None: ...
    def close(self) -> None: ...


class Subsystem(Protocol):
    """A subsystem beside the requests, with sockets of its own."""

    def attach(self, ready: Callable[[], bool]) -> None: ...  # before it starts
    def pages(self) -> dict[bytes, PageHandler]: ...  # at the operators' door, where there is one
    def start(self) -> None: ...
    def count(self) -> int: ...  # sockets in use
    def leaving(self) -> None: ...  # the node was told to end
    async def close(self) -> None: ...


class PendingRequest:
    """A request that is owed its answer, with its attempts."""

    __slots__ = ("_node", "answer", "attempts", "backstop", "ends_ms", "id", "message", "owed")

    def __init__(
        self, node: Node, id: str, message: Message, answer: Callable[[Reply], None], ends_ms: float
    ) -> None:
        self._node = node
        self.id = id
        self.message = message
        self.answer = answer
        self.ends_ms = ends_ms
        self.attempts = 0  # begun so far
        self.owed = True  # the one answer
        self.backstop = 0  # the alarm at its end

    def client_disconnected(self) -> None:
        self._node.client_disconnected(self)

    def overdue(self) -> None:
        self._node.overdue(self)


class RequestAttempt(Attempt):
    """An attempt at a request, as the module asked for it."""

    __slots__ = ("_life", "_live", "_node", "_number", "_sent_ms")

    def __init__(
        self,
        node: Node,
        live: PendingRequest,
        server: int,
        address: Address,
        timeout_ms: float,
        sent_ms: float,
    ) -> None:
        super().__init__(live.message, server, address, timeout_ms)
        self._node = node
        self._live = live
        self._sent_ms = sent_ms
        self._number = live.attempts
        self._life = node.life(server)
        live.attempts += 1
        node.attempts[live.id, self._number] = self

    def may_send(self) -> bool:
        flow = self.message.flow
        beginnable = flow is None or flow.can_start()
        # A server that left and came back meanwhile is another one: cold, and with a budget of its own.
        same = self._node.life(self.server) == self._life
        return beginnable and self._live.owed and same and self._node.serves(self.server)

    def on_sent(self) -> None:
        self.written = True
        self._node.metrics.count_attempt(self.message.cls)
        if self.message.flow is not None:
            self._node.uploaded(self)

    def uploaded(self) -> api.Uploaded:
        """Time counts from here, for the attempt as for its request."""
        self._sent_ms = now_ms()
        left_ms = self._live.ends_ms - MARGIN_MS - self._sent_ms
        self.extend_timeout(max(0.0, min(self.timeout_ms, left_ms)) / 1000.0)
        return api.Uploaded(self._live.id, self._number, max(0.0, left_ms))

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        live = self._live
        report = None
        del self._node.attempts[live.id, self._number]
        if answer is not None:
            report = answer.report
            if result is Result.SERVED:
                self._node.finish(live, Reply(200, answer.body, answer.content_type, flow=answer.flow))
            if answer.flow is not None and not answer.flow.has_consumer():
                answer.flow.cancel()
        flow = self.message.flow
        spent = flow is not None and (flow.spent or flow.over)
        links = self._node.links
        below, used = links.read_answer(answer) if links is not None else (False, 0)
        self._node.attempt_ended(
            api.AttemptEnded(
                live.id,
                self._number,
                self.server,
                result,
                now_ms() - self._sent_ms,
                not live.owed,
                report,
                spent,
                below,
                used,
            )
        )


class Node:
    """One balancing node."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        http3: Http3 | None = None,
        control: Control | None = None,
        chain: Setup | None = None,
        pools: Rules | None = None,
        parts: Sequence[Subsystem] = (),
    ) -> None:
        self._config = config
        self._loop = loop
        settings = config.settings
        self.links: Links | None = None
        if chain is not None:
            from orchidferry.node.chain.links import Links

            self.links = Links(chain, config.seed)
        budgets = self.links.chain if self.links is not None else None
        self._balancer = Balancer(settings, config.seed, budgets)
        if pools is not None:
            from orchidferry.balancing.pools import Router

            # The same face; each pool has a balancer behind it.
            self._balancer = cast(Balancer, Router(settings, config.seed, pools, budgets))
        self._events = EventQueue(self._balancer.handle, self._do, _not_handled)
        self.metrics = Metrics(self._balancer.classes)
        self._flowing = 0  # answers that have begun and go on
        # Keyed by a serial of the node's own, as is all that the module hears: an attempt may outlast its
        # request, and a caller's id that came again would mix up their books.
        self._serial = 0
        self._live: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], RequestAttempt] = {}  # those that are out
        self._open_ids: set[str] = set()  # the callers' ids of those
        self._addresses: dict[int, Address] = {}
        self._in_service: set[int] = set()
        self._lives: dict[int, int] = {}  # of those that are listed: a number for each time that they came
        self._came = 0
        self._timers = TimerQueue(loop)
        tcp = Upstream(
            loop, settings.connect_timeout_ms, settings.keepalive_ms, self._free_sockets, self._timers
        )
        self._upstream: UpstreamTransport = tcp
        self._tcp = tcp
        self._h3: dict[int, Address] = {}  # where servers that list it speak HTTP/3
        self.h3_front: Listener | None = None
        if http3 is not None and http3.servers is not None:
            from orchidferry.node.h3.upstream import Routes

            self._upstream = Routes(
                loop, tcp, http3.servers, settings.keepalive_ms, self._h3.get, config.seed
            )
        self.control: Link | None = None
        if control is not None:
            from orchidferry.node.control.link import Link

            self.control = Link(control, settings, self, loop)
        self._discovery = Discovery(loop, config.discovery, config.known.index, self._on_news)
        self.frontend = Frontend(
            self._balancer.classes,
            self.accept,
            lambda: bool(self._in_service),
            int(CALLERS_SHARE * config.sockets),
            MemoryPool(int(POOL_MEMORY_FRACTION * config.memory_mb * 1e6)),
        )
        if http3 is not None and http3.front is not None:
            from orchidferry.node.h3.front import Listener

            self.h3_front = Listener(
                http3.front, self._balancer.classes, self.accept, self.frontend.node_page
            )
        self.door: AdminServer | None = None
        if config.admin is not None:
            from orchidferry.node.admin_server import AdminServer

            self.door = AdminServer(
                {
                    b"/-/ready": lambda: (200, b"ready\n") if self.ready() else (503, b"not ready\n"),
                    b"/-/metrics": lambda: (200, self.report()),
                    b"/-/control": self._control_page,
                    **{path: page for part in parts for path, page in part.pages().items()},
                }
            )
        self._parts = parts
        for part in parts:
            part.attach(self.ready)
        self._fronts: list[FrontendTransport] = [self.frontend, *([self.h3_front] if self.h3_front else [])]
        self._news: deque[api.ServerList] = deque()  # steps of long lists that the module is still to be told
        self._telling = False
        self._longest_ms = 0.0  # the longest budget so far
        self._stop_ms = math.inf  # when all must be answered, once the node is to end

    def ready(self) -> bool:
        """Whether requests can be served, and are wanted still."""
        return bool(self._in_service) and self._stop_ms == math.inf

    def report(self) -> bytes:
        """The figures for operators, as of now."""
        down = self._balancer.avoided(now_ms())
        return self.metrics.render(len(self._live) + self._flowing, len(self._addresses), down)

    def start(self) -> None:
        """Let the module begin, with the list as this node last had it."""
        self.take_listing(self._config.known, api.ListKind.SAVED)
        self._handle(api.Started())
        if not self._config.settings.follow_list:
            self._discovery.subscribe()
        if self.control is not None:
            self.control.start()
        for part in self._parts:
            part.start()

    # Configuration from a control service

    def _control_page(self) -> tuple[int, bytes]:
        return (404, b"no control service\n") if self.control is None else (200, self.control.page())

    def listed(self) -> Collection[int]:
        """The servers that the node knows."""
        return self._addresses.keys()

    def stop_sending(self, servers: Iterable[int]) -> None:
        """Send nothing new to these from now on, whatever the module still thinks."""
        self._in_service.difference_update(servers)

    def take_settings(self, settings: api.Settings) -> None:
        """Go on under these; nothing that is held is disturbed."""
        self._tcp.configure(settings.connect_timeout_ms, settings.keepalive_ms)
        self.metrics.add_classes(cls.name for cls in settings.classes)
        if settings != self._balancer.settings:
            self._handle(api.NewSettings(settings))

    def reconfigure(self, config: Config) -> None:
        """Go on under a new configuration: discovery may be elsewhere; all that is held stays."""
        if (
            dataclasses.replace(
                config, discovery=self._config.discovery, known=self._config.known, seed=self._config.seed
            )
            != self._config
        ):
            log.warning("only a new address of discovery is taken without a restart")
        self._config = dataclasses.replace(self._config, discovery=config.discovery)
        self._discovery.move(config.discovery)
        if self.h3_front is not None:
            try:
                self.h3_front.reread()
            except ConfigError as problem:
                log.error("the old certificate stays: %s", problem)

    async def stop(self, accept_s: float = ACCEPT_S) -> None:
        """Serve on for a while, then finish all that is held and close.

        Callers go on using the connections they have, and may have no other node to go to: these are
        served until just enough time is left to answer before the platform kills the node.
        """
        grace_ms = KILL_MS - STOP_MARGIN_MS + min(LONGEST_MS, self._longest_ms or LONGEST_MS)
        asked_ms = now_ms()
        self._stop_ms = now_ms() + grace_ms
        for live in self._live.values():  # that kill comes first
            if live.ends_ms > self._stop_ms:
                live.ends_ms = self._stop_ms
                self._watch(live)
        for part in self._parts:
            part.leaving()
        for front in self._fronts:
            front.set_not_ready()
        await asyncio.sleep(accept_s)
        # The listener stays open as long as connections are served: whoever is refused a new one takes the
        # node for dead and leaves its open ones too, and where it is the only node has nowhere to go.
        try:
            async with asyncio.timeout((self._stop_ms - LAST_MS - now_ms()) / 1000.0):
                await asyncio.gather(*(front.wait_closed() for front in self._fronts))
        except TimeoutError:
            log.info("closing connections %.0f ms after the signal", now_ms() - asked_ms)
        for front in self._fronts:
            front.close_listener()
        try:
            async with asyncio.timeout((self._stop_ms + STOP_MARGIN_MS / 2.0 - now_ms()) / 1000.0):
                await asyncio.gather(*(front.close_gracefully() for front in self._fronts))
        except TimeoutError:
            for front in self._fronts:
                front.abort()  # all is answered by now; what is left does not read
        if self.door is not None:
            self.door.close()
        if self.control is not None:
            await self.control.close()
        for part in self._parts:
            await part.close()
        self._discovery.close()
        self._upstream.close()
        if self.h3_front is not None:
            self.h3_front.close()

    def _free_sockets(self) -> int:
        fronts = sum(front.count() for front in self._fronts)
        door = self.door.count() if self.door is not None else 0
        parts = sum(part.count() for part in self._parts)
        return self._config.sockets - SPARE_SOCKETS - fronts - door - parts - self._upstream.count()

    # Requests

    def accept(self, message: Message, answer: Callable[[Reply], None]) -> PendingRequest:
        """Take a request; from now on it is owed exactly one call of `answer`."""
        if message.id in self._open_ids:
            raise RequestError("a request with this X-Call-Id is open")
        self._longest_ms = max(self._longest_ms, message.budget_ms)
        self._serial += 1
        now = now_ms()
        id = str(self._serial)
        flow = message.flow
        ends_ms = now + message.budget_ms
        coming = flow is not None and not flow.complete
        if flow is not None and coming:  # until it has come whole it may take as long as a flow may
            ends_ms += 1000.0 * ((flow.length or LONG_BODY) / SLOWEST_B_S + GRACE_S)
        live = PendingRequest(self, id, message, answer, min(ends_ms, self._stop_ms))
        if flow is not None:
            flow.on_complete = functools.partial(self._came_whole, live)
            self._watch_flow(flow)
        self._live[id] = live
        self._open_ids.add(message.id)
        self._watch(live)
        ttl_ms = max(0.0, live.ends_ms - now - MARGIN_MS)
        self._handle(
            api.Request(
                id,
                message.cls,
                ttl_ms,
                message.tenant,
                message.again,
                flow is not None,
                self.links.read(message) if self.links is not None else None,
                message.key.decode("latin-1") if message.key is not None else None,
            )
        )
        return live

    def _watch(self, live: PendingRequest) -> None:
        """Set the backstop to the request's end, as it is now."""
        self._timers.cancel(live.backstop)
        left_s = (live.ends_ms - now_ms()) / 1000.0
        live.backstop = self._timers.schedule(left_s, live.overdue)

    def client_disconnected(self, live: PendingRequest) -> None:
        """Nobody waits any more."""
        if self._drop(live):
            self._handle(api.ClientGone(live.id))

    def _drop(self, live: PendingRequest) -> bool:
        """Forget a request, if it is still owed: whoever gets True has its one answer to give."""
        if not live.owed:
            return False
        live.owed = False
        del self._live[live.id]
        self._open_ids.discard(live.message.id)
        self._timers.cancel(live.backstop)
        return True

    def finish(self, live: PendingRequest | None, reply: Reply) -> None:
        """Answer a request, if it is still owed that."""
        if live is not None and self._drop(live):
            if reply.flow is None:
                self.metrics.count_request(live.message.cls, reply.status)
            else:  # it ends with its last byte, and only then is known to be whole
                self._flowing += 1
                reply.flow.on_over = functools.partial(self._flowed, live.message.cls)
                self._watch_flow(reply.flow)
            live.answer(reply)

    def _flowed(self, cls: str, whole: bool) -> None:
        """An answer that flowed is over."""
        self._flowing -= 1
        self.metrics.count_request(cls, 200 if whole else 502)

    def _watch_flow(self, flow: Flow) -> None:
        """End a flow that stands still or crawls; looked at now and then, as there are few."""
        if flow.is_stalled(self._loop.time()):
            flow.abort()
        elif not flow.over:
            self._timers.schedule(FLOW_LOOK_S, functools.partial(self._watch_flow, flow))

    def uploaded(self, attempt: RequestAttempt) -> None:
        """A server has the whole of a long request."""
        self._handle(attempt.uploaded())

    def _came_whole(self, live: PendingRequest) -> None:
        """The last byte of a long request has come: its budget counts from here."""
        if live.owed:
            live.ends_ms = min(now_ms() + live.message.budget_ms, self._stop_ms)
            self._watch(live)

    def overdue(self, live: PendingRequest) -> None:
        """Fail a request that the module has not ended by its deadline, whatever the reason."""
        left_ms = live.ends_ms - now_ms()
        if left_ms > 0.0:  # the loop's clock may run ahead: failing early would be a broken promise
            live.backstop = self._timers.schedule(left_ms / 1000.0 + 0.001, live.overdue)
        elif self._drop(live):
            log.warning("request %s was not ended by its deadline", live.message.id)
            self.metrics.count_request(live.message.cls, 504)
            live.answer(Reply(504, b"no answer in time"))
            self._handle(api.ClientGone(live.id))

    # The module

    def _handle(self, event: api.Event) -> None:
        """Give the module an event and do what it says; events raised meanwhile wait their turn."""
        self._events.handle(event)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self._handle, api.TimerFired(action.token))
            case api.Fail():
                more = self.links.answer(action) if self.links is not None else ()
                self.finish(self._live.get(action.id), Reply(502, b"failed", more=more))
            case api.Refuse():
                more = self.links.answer(action) if self.links is not None else ()
                retry_after_s = action.retry_after_ms / 1000.0
                reply = Reply(503, b"refused", retry_after_s=retry_after_s, more=more)
                self.finish(self._live.get(action.id), reply)
            case api.Cancel():
                # An attempt that was moot before it began has no number here: the module counts it.
                for number in range(action.attempt, -1, -1):
                    if (attempt := self.attempts.get((action.id, number))) is not None:
                        attempt.abort(Result.CANCELLED)
                        break
            case api.CloseIdle():
                self._upstream.close_idle(action.server)
            case api.Subscribe():
                self._discovery.subscribe()
            case api.Log():
                log.info("%s", action.text)

    # Attempts

    def _send(self, action: api.Send) -> None:
        live = self._live.get(action.id)
        server = action.server
        sent_ms = now_ms()
        if live is None or server not in self._in_service:
            number = live.attempts if live is not None else 0
            return self._handle(api.AttemptEnded(action.id, number, server, Result.MOOT, 0.0, live is None))
        flow = live.message.flow
        if flow is not None and not flow.can_start():
            event = api.AttemptEnded(live.id, live.attempts, server, Result.MOOT, 0.0, False, spent=True)
            return self._handle(event)
        # Cut to what is left: an outcome must come before the answer is due.
        timeout_ms = max(0.0, min(action.timeout_ms, live.ends_ms - MARGIN_MS - sent_ms))
        attempt = RequestAttempt(self, live, server, self._addresses[server], timeout_ms, sent_ms)
        if action.carried is not None and self.links is not None:
            attempt.more = self.links.write(action.carried, timeout_ms)
        self._upstream.send(attempt, action.fresh)

    def serves(self, server: int) -> bool:
        """Whether a server may be sent to now."""
        return server in self._in_service

    def life(self, server: int) -> int:
        """Tells a server's lives in the list apart; 0 for one that is not in it."""
        return self._lives.get(server, 0)

    def attempt_ended(self, event: api.AttemptEnded) -> None:
        """One of the module's Sends is over."""
        self._handle(event)

    # Discovery

    def _on_news(self, listing: ServerListing | None, why: str) -> None:
        if listing is not None and self.control is not None and self.control.members.hear(listing):
            return
        if listing is not None:
            self.take_listing(listing, api.ListKind.FULL if listing.complete else api.ListKind.CHANGES)
            return
        log.info("discovery: %s", why)
        if self._config.settings.follow_list:
            self._handle(api.ServerList(api.ListKind.FAILED))
        else:
            self._loop.call_later(PUSHED_RETRY_S, self._discovery.subscribe)

    def take_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        """Take news at once; what the module is told of a long list it is told in steps.

        Here all of it counts from now on: what the module sends to a server that has left is sent nowhere.
        """
        gone = []
        if kind is not api.ListKind.CHANGES:
            gone = [server for server in self._addresses if server not in listing.addresses]
            for server in gone:
                self._forget(server)
        for entry in listing.entries:
            if entry.health is api.Health.GONE:
                self._forget(entry.server)
                continue
            if entry.server not in self._lives:
                self._came += 1
                self._lives[entry.server] = self._came
            self._addresses[entry.server] = listing.addresses[entry.server]
            if entry.server in listing.h3_addresses:
                self._h3[entry.server] = listing.h3_addresses[entry.server]
            else:
                self._h3.pop(entry.server, None)
            if entry.health is api.Health.IN_SERVICE:
                self._in_service.add(entry.server)
            else:
                self._in_service.discard(entry.server)
        long = kind is not api.ListKind.SAVED and len(listing.entries) > LIST_STEP
        if not long and not self._news:
            return self._handle(api.ServerList(kind, listing.index, listing.entries))
        # What drains or is gone goes first: the rest only adds to what the module may do.
        entries = [api.ServerEntry(server, health=api.Health.GONE) for server in gone]
        entries += sorted(listing.entries, key=lambda entry: entry.health is api.Health.IN_SERVICE)
        for at in range(0, len(entries), LIST_STEP):
            step = entries[at : at + LIST_STEP]
            self._news.append(api.ServerList(api.ListKind.CHANGES, listing.index, step))
        if not self._telling:
            self._telling = True
            self._tell_step()

    def _tell_step(self) -> None:
        """Tell the module the next step of a long list, and let requests come before the one after it."""
        if self._news:
            self._handle(self._news.popleft())
            self._loop.call_soon(self._tell_step)
        else:
            self._telling = False

    def _forget(self, server: int) -> None:
        self._in_service.discard(server)
        self._addresses.pop(server, None)
        self._lives.pop(server, None)
        self._h3.pop(server, None)
        self._upstream.server_removed(server)
