"""Servers' side over QUIC: one connection a server, many streams, and TCP wherever QUIC is not known to work.

`orchidferry.balancing.transports` decides which. Outcomes are drawn from the protocol:

- never ran: the connection never came up, the last byte of the request never went out, H3_REQUEST_REJECTED, a
  GOAWAY that leaves its stream out;
- may have run: whatever else ends it once that byte has gone out.

An attempt is given up by resetting its stream; the connection goes on. All connections share one UDP socket
for each address family. A connection belongs to its server and ends with it, after `idle_ms` without use,
or when the server says GOAWAY; a request on it ends with its attempt's time limit at the latest.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import logging
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aioquic.buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StreamReset,
)
from aioquic.quic.packet import pull_quic_header

from orchidferry.balancing.interface import Result
from orchidferry.balancing.transports import By, Transports
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.clock import now_ms
from orchidferry.node.h3 import settings
from orchidferry.node.h3.session import DataReceived, ErrorCode, GoAway, HeadersReceived, Malformed, Session
from orchidferry.node.h3.shell import (
    ALPN,
    CID_LENGTH,
    Endpoint,
    Ids,
    Shell,
    closed_by,
    is_over,
    new_stream,
    peer_tokens,
    sent_whole,
    streams_left,
)
from orchidferry.node.http1 import MAX_BODY, classify_response, read_report
from orchidferry.node.request import Message
from orchidferry.node.upstream import IDLE_LIMIT_FRACTION, Upstream

HANDSHAKE_S = 2.0  # beside the requests, which go by TCP meanwhile
SWEEP_S = 0.5
READS = 64  # datagrams taken in one turn of the loop
LARGEST = 2_048  # bytes of a datagram; the library sends and takes 1,200 to some 1,500
WINDOW = 1024 * 1024
STREAM_WINDOW = 128 * 1024
ORDERLY = (0, ErrorCode.H3_NO_ERROR)  # what an idle time-out and a planned end are closed with

log = logging.getLogger("orchidferry")


def request_headers(message: Message, authority: bytes, timeout_ms: float) -> list[tuple[bytes, bytes]]:
    """A request's head as it goes to a server; its budget is what is left for this attempt."""
    headers = [
        (b":method", message.method),
        (b":scheme", b"https"),
        (b":authority", authority),
        (b":path", message.target),
        (b"x-call-id", message.id.encode()),
        (b"x-budget", b"%.3f" % (timeout_ms / 1000.0)),
    ]
    if message.key is not None:
        headers.append((b"idempotency-key", message.key))
    if message.content_type is not None:
        headers.append((b"content-type", message.content_type))
    if message.body or message.method != b"GET":
        headers.append((b"content-length", b"%d" % len(message.body)))
    return headers


@dataclass(slots=True, eq=False)
class Flight:
    """An attempt on a stream."""

    attempt: Attempt
    stream: int
    sent_ms: float
    status: int = 0
    size: int = 0
    body: list[bytes] = field(default_factory=list)
    content_type: bytes | None = None
    rejected: bool = False
    report: dict[str, float] | None = None
    chain: bytes | None = None


class Link:
    """A connection to a server."""

    def __init__(self, routes: Routes, server: int, address: Address, peer: Endpoint) -> None:
        self.server = server
        self.address = address
        self.peer = peer
        self.routes = routes
        self.began = self.heard = self.used = time.monotonic()
        self.up = self.over = self.leaving = False
        self.flights: dict[int, Flight] = {}
        self.cids: set[bytes] = set()
        self.quic = QuicConnection(configuration=routes.configuration(address))
        self.shell = Shell(
            self.quic, routes.loop, routes.sendto, self._event, self._flushed, lambda: self._terminated(False)
        )
        self._session: Session | None = None
        self._authority = b"%b:%d" % (address[0].encode(), address[1])

    def connect(self) -> None:
        routes = self.routes
        routes.ids.add(self.quic.host_cid, self)
        self.quic.connect(self.peer, now=time.monotonic())
        self.shell.flush()

    def receive(self, data: bytes) -> None:
        self.heard = time.monotonic()
        self.routes.transports.heard(self.server, now_ms())
        self.shell.receive(data, self.peer)
        if not self.over and (code := closed_by(self.quic)) is not None:
            self._terminated(code in ORDERLY and self.up)  # at once, so that what it had can go elsewhere

    def takes(self) -> bool:
        """Whether a request may go on it now."""
        return self.up and not self.over and not self.leaving and streams_left(self.quic) > 0

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt's request on a stream of its own."""
        assert self._session is not None
        stream = new_stream(self.quic)
        flight = self.flights[stream] = Flight(attempt, stream, now_ms())
        attempt.set_cancel_io(lambda: self._give_up(flight))
        message = attempt.message
        self.used = time.monotonic()
        self._session.send_headers(
            stream,
            request_headers(message, self._authority, attempt.timeout_ms) + attempt.more,
            end_stream=not message.body,
        )
        if message.body:
            self._session.send_data(stream, message.body, end_stream=True)
        self.shell.flush()

    def _give_up(self, flight: Flight) -> None:
        """Nobody waits for the answer: the stream ends, the connection stays."""
        if self._take_off(flight.stream) is None:
            return
        if self.routes.transports.silent(self.server, flight.sent_ms, now_ms()):
            self.quic.send_ping(0)
        self._reset(flight.stream)
        self.shell.flush_soon()

    def _reset(self, stream: int) -> None:
        if not self.over and not is_over(self.quic, stream):
            self.quic.stop_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)
            self.quic.reset_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)
        if self._session is not None:
            self._session.done_with(stream)
            if not is_over(self.quic, stream):
                self._session.ignore(stream, False)

    def _take_off(self, stream: int) -> Flight | None:
        flight = self.flights.pop(stream, None)
        if self.leaving and not self.flights:
            self.routes.loop.call_soon(self.end)
        return flight

    def _end_flight(self, stream: int, result: Result, answer: UpstreamResponse | None = None) -> None:
        flight = self._take_off(stream)
        if flight is not None:
            flight.attempt.end(result, answer)

    def _broken(self, stream: int) -> None:
        """Its answer will not come: what that proves depends on whether the request went out whole."""
        flight = self.flights.get(stream)
        if flight is not None:
            written = flight.attempt.written or sent_whole(self.quic, stream)
            self._end_flight(stream, Result.RESET if written else Result.UNREACHABLE)

    # Events

    def _event(self, event: QuicEvent) -> None:
        match event:
            case HandshakeCompleted():
                self.up = True
                self._session = Session(self.quic)
                self.routes.transports.came_up(self.server, now_ms())
            case ConnectionIdIssued():
                self.routes.ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.routes.ids.retire(event.connection_id, self)
            case ConnectionTerminated():
                self._terminated(event.error_code in ORDERLY and self.up)
            case StreamReset():
                self._session_takes(event)
                flight = self.flights.get(event.stream_id)
                if flight is not None and event.error_code == ErrorCode.H3_REQUEST_REJECTED:
                    # It says that it did nothing with it. What it answered before says otherwise.
                    self._end_flight(event.stream_id, Result.RESET if flight.status else Result.REFUSED)
                elif flight is not None:
                    self._broken(event.stream_id)
                if not is_over(self.quic, event.stream_id):
                    self.quic.reset_stream(event.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            case _:
                self._session_takes(event)

    def _session_takes(self, event: QuicEvent) -> None:
        if self._session is None:
            return
        for found in self._session.take(event):
            if isinstance(found, GoAway):
                self._goaway(found.stream_id)
                continue
            flight = self.flights.get(getattr(found, "stream_id", -1))
            if flight is None:
                continue
            match found:
                case HeadersReceived():
                    self._headers(flight, found)
                case DataReceived():
                    flight.size += len(found.data)
                    flight.body.append(found.data)
                    if flight.size > MAX_BODY:
                        self._spoilt(flight)
                        continue
                case Malformed():
                    self._spoilt(flight)
                    continue
            if getattr(found, "stream_ended", False) and flight.stream in self.flights:
                self._answered(flight)

    def _headers(self, flight: Flight, found: HeadersReceived) -> None:
        if flight.status >= 200:
            return  # trailers
        flight.rejected = False
        flight.report = None
        flight.content_type = None
        flight.chain = None
        for name, value in found.headers:
            match name:
                case b":status":
                    flight.status = int(value)  # three digits, as the library checked
                case b"content-type":
                    flight.content_type = value
                case b"x-rejected":
                    flight.rejected = value.strip() == b"1"
                case b"x-load-report":
                    flight.report = read_report(value)
                case b"x-chain":
                    flight.chain = value

    def _answered(self, flight: Flight) -> None:
        if flight.status < 200:  # an end without an answer
            return self._spoilt(flight)
        body = b"".join(flight.body)
        answer = UpstreamResponse(flight.status, body, flight.content_type, flight.report, chain=flight.chain)
        if not flight.attempt.written:  # it was answered
            flight.attempt.on_sent()
        self._end_flight(flight.stream, classify_response(flight.status, flight.rejected), answer)

    def _spoilt(self, flight: Flight) -> None:
        self._reset(flight.stream)
        flight.body.clear()
        self._end_flight(flight.stream, Result.ERROR)

    def _goaway(self, first: int) -> None:
        """The server goes: what it leaves out never ran, the rest may still be answered."""
        self.leaving = True
        for stream in [stream for stream in self.flights if stream >= first]:
            self._reset(stream)
            self._end_flight(stream, Result.MOOT)
        self.routes.left(self)
        if not self.flights:
            self.routes.loop.call_soon(self.end)

    def _flushed(self) -> None:
        for flight in self.flights.values():
            if not flight.attempt.written and sent_whole(self.quic, flight.stream):
                flight.attempt.on_sent()

    # Its life

    def reset_by(self, data: bytes) -> bool:
        """Whether a stray datagram is the server's stateless reset of this (RFC 9000, section 10.3)."""
        return len(data) >= 21 and data[-16:] in peer_tokens(self.quic)

    def end(self, orderly: bool = True) -> None:
        """Close it, whatever is on it."""
        if not self.over:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self.shell.flush()
            self._terminated(orderly)

    def _terminated(self, orderly: bool) -> None:
        if self.over:
            return
        self.over = True
        self.shell.end()
        self.routes.closed(self, orderly)
        for stream in list(self.flights):
            self._broken(stream)


class Routes:
    """What the node sends attempts by: QUIC to servers where it works, else TCP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        tcp: Upstream,
        servers: settings.Servers,
        keepalive_ms: float,
        listed: Callable[[int], Address | None],
        seed: int,
    ) -> None:
        self.loop = loop
        self._tcp = tcp
        self._servers = servers
        self._listed = listed
        self.transports = Transports(random.Random(seed), servers.connections)
        self._idle_s = keepalive_ms * IDLE_LIMIT_FRACTION / 1000.0
        self._links: dict[int, Link] = {}  # the one that new requests to a server go on
        self._leaving: dict[Link, None] = {}  # those that only finish what they have
        self.ids: Ids[Link] = Ids()
        self._by_peer: dict[Endpoint, dict[Link, None]] = {}
        self._sockets: dict[int, socket.socket] = {}  # by address family
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def configuration(self, address: Address) -> QuicConfiguration:
        """The library's settings for a connection to a server."""
        name = self._servers.name or address[0]
        made = QuicConfiguration(
            is_client=True,
            alpn_protocols=[ALPN],
            server_name=name,
            max_data=WINDOW,
            max_stream_data=STREAM_WINDOW,
            idle_timeout=self._idle_s * 2.0,
            connection_id_length=CID_LENGTH,
        )
        if self._servers.ca is not None:
            made.load_verify_locations(str(self._servers.ca))
        return made

    # What the node asks of its way to servers

    def count(self) -> int:
        """Sockets in use."""
        return self._tcp.count() + len(self._sockets)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt; it may be over before this returns."""
        server = attempt.server
        address = self._listed(attempt.server)
        if address is None or attempt.message.flow is not None:  # bodies flow over TCP only
            return self._tcp.send(attempt, fresh)
        choice = self.transports.choose(server, now_ms(), careful=fresh)
        if choice.dial:
            self._dial(server, address)
        link = self._links.get(server)
        if choice.by is By.TCP or link is None or link.address != address or not link.takes():
            return self._tcp.send(attempt, fresh)
        if time.monotonic() - max(link.heard, link.used) > self._idle_s:  # the server may be closing it
            link.end()
            return self._tcp.send(attempt, fresh)
        attempt.set_timeout(self._tcp.timers, attempt.timeout_ms / 1000.0)
        link.send_attempt(attempt)

    def close_idle(self, server: int) -> None:
        """What has idled is not trusted: a connection is asked whether it is still there."""
        self._tcp.close_idle(server)
        link = self._links.get(server)
        if link is not None and self.transports.doubt(server, now_ms()):
            link.quic.send_ping(0)
            link.shell.flush_soon()

    def server_removed(self, server: int) -> None:
        """The server is listed no more."""
        self._tcp.server_removed(server)
        link = self._links.get(server)
        if link is not None:
            link.leaving = True
            self.left(link)
            if not link.flights:
                link.end()
        self.transports.forget(server)

    # Connections

    def _dial(self, server: int, address: Address) -> None:
        try:
            version = ipaddress.ip_address(address[0]).version
        except ValueError:  # a name: looking it up would hold up the loop
            return
        peer: Endpoint = address if version == 4 else (*address, 0, 0)
        try:
            self._socket(peer)
            link = Link(self, server, address, peer)
        except Exception as problem:  # a CA file that can't be read, no socket left
            log.warning("QUIC to servers: %s", problem)
            self.transports.lost(server, now_ms())
            return
        self._links[server] = link
        self._by_peer.setdefault(peer, {})[link] = None
        self.transports.dialled(server)
        link.connect()

    def _socket(self, peer: Endpoint) -> socket.socket:
        family = socket.AF_INET if len(peer) == 2 else socket.AF_INET6
        made = self._sockets.get(family)
        if made is None:
            made = socket.socket(family, socket.SOCK_DGRAM)
            made.setblocking(False)
            made.bind(("", 0))
            self._sockets[family] = made
            self.loop.add_reader(made.fileno(), self._readable, made)
        return made

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        with contextlib.suppress(OSError):  # no room, or no way there: to QUIC a packet that was lost
            self._socket(peer).sendto(data, peer)

    def _readable(self, sock: socket.socket) -> None:
        for _ in range(READS):
            try:
                data, peer = sock.recvfrom(LARGEST)
            except OSError:  # nothing more; or a peer's port is closed, which a handshake's time limit tells
                return
            try:
                header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
            except ValueError:
                continue
            link = self.ids.get(header.destination_cid)
            if link is not None and link.peer == peer:
                link.receive(data)
                continue
            for other in list(self._by_peer.get(peer, ())):
                if other.reset_by(data):
                    other._terminated(False)
                    break

    def left(self, link: Link) -> None:
        """A connection takes no new requests; another may be opened beside it."""
        if self._links.get(link.server) is link:
            del self._links[link.server]
            self._leaving[link] = None
            self.transports.lost(link.server, now_ms(), orderly=True)

    def closed(self, link: Link, orderly: bool) -> None:
        self.ids.end(link)
        others = self._by_peer.get(link.peer, {})
        others.pop(link, None)
        if not others:
            self._by_peer.pop(link.peer, None)
        self._leaving.pop(link, None)
        if self._links.get(link.server) is link:
            del self._links[link.server]
            self.transports.lost(link.server, now_ms(), orderly)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for link in [*self._links.values(), *self._leaving]:
            if not link.up and now - link.began > HANDSHAKE_S:
                link.end(orderly=False)
            elif link.up and not link.flights and now - link.used > self._idle_s:
                link.end()
            elif self.transports.given_up(link.server, now_ms()) and link not in self._leaving:
                link.end(orderly=False)

    def close(self) -> None:
        """End all connections, and give the sockets back."""
        self._tcp.close()
        self._timer.cancel()
        for link in [*self._links.values(), *self._leaving]:
            link.end()
        for sock in self._sockets.values():
            self.loop.remove_reader(sock.fileno())
            sock.close()
        self._sockets.clear()
