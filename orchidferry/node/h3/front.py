"""The callers' side over QUIC: requests on streams as `Message`, exactly one answer to each.

As with HTTP/1.1 a caller's bad input is its own matter, and requests that can't be served get errors, never
refusals. What is kept, and how it ends:

- a connection: at most `connections` of them; one for which there is no room takes the place of the one
  that has been idle longest. It has `HANDSHAKE_S` to come up and ends after `IDLE_S` without a packet.
- a request: at most `MAX_STREAMS` a connection, by the transport's limit; the rest wait at their caller.
  It has `READ_S` to come, its class's deadline to be answered, and `WRITE_S` to be read by its caller.
- session tickets: `MAX_TICKETS`, each good for one resumption, so that early data can't be replayed here.
"""

from __future__ import annotations

import asyncio
import hmac
import logging
import os
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, cast

from aioquic.buffer import Buffer
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamDataReceived,
    StreamReset,
)
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler
from aioquic.tls import SessionTicket

from orchidferry.balancing import interface as api
from orchidferry.balancing.floods import First, FirstPackets, Patience, Strays
from orchidferry.node.address import Address
from orchidferry.node.client_connection import LIMITS_S, Accept, RequestHandle, Stage
from orchidferry.node.clock import now_ms
from orchidferry.node.config import ConfigError
from orchidferry.node.frontend import NODE_PATHS
from orchidferry.node.h3 import settings
from orchidferry.node.h3.session import (
    LAST_STREAM,
    DataReceived,
    ErrorCode,
    HeadersReceived,
    Malformed,
    Session,
)
from orchidferry.node.h3.shell import (
    ALPN,
    CID_LENGTH,
    Endpoint,
    Ids,
    OwnTokens,
    Shell,
    closed_by,
    is_over,
    reset_token,
)
from orchidferry.node.http1 import MAX_BODY, MAX_HEAD
from orchidferry.node.reply import Reply
from orchidferry.node.request import SINGLE, RequestError, read_message

HANDSHAKE_S = LIMITS_S[Stage.NEW]  # the same limits as over HTTP/1.1
READ_S = LIMITS_S[Stage.READING]
WRITE_S = LIMITS_S[Stage.LEAVING]
IDLE_S = LIMITS_S[Stage.IDLE]
SWEEP_S = 0.2
MAX_STREAMS = 100  # requests of one connection that are open
MAX_TICKETS = 4_096
# flow control: a body, its frames and some air
WINDOW = 512 * 1024
STREAM_WINDOW = 128 * 1024
MIN_RESET = 43  # bytes of a stray packet that is answered: its reset has to be shorter, and look like one
TOO_EARLY = 425  # RFC 8470

log = logging.getLogger("orchidferry")


class Step(Enum):
    """What a request's stream waits for."""

    READING = "the rest of the request"
    SERVING = "an answer from the node"
    WRITING = "the caller, to take the answer"


@dataclass(slots=True, eq=False)
class Exchange:
    """One request's stream, until all of its answer is acknowledged."""

    connection: Connection
    id: int
    since: float  # when its step began
    early: bool  # it began before the handshake was done: it may be a replay
    step: Step = Step.READING
    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    headed: bool = False
    owed: RequestHandle | None = None

    def answer(self, reply: Reply) -> None:
        """The node's one answer."""
        self.owed = None
        self.connection.answered(self, reply)


class Connection:
    """A caller's connection."""

    def __init__(self, listener: Listener, quic: OwnTokens) -> None:
        self.listener = listener
        self.quic = quic
        self.began = self.heard = time.monotonic()
        self.up = self.over = False
        self.cids: set[bytes] = set()  # that lead to it: some ten
        self.exchanges: dict[int, Exchange] = {}
        self._patience = Patience(now_ms())
        self._closing = False
        self._next = 0  # the least id that is greater than those seen
        self.shell = Shell(quic, listener.loop, listener.sendto, self._event, self._flushed, self._terminated)
        self._session: Session | None = None

    def receive(self, data: bytes, peer: Endpoint) -> None:
        self.heard = time.monotonic()
        self.shell.receive(data, peer)
        if not self.over and closed_by(self.quic) is not None:
            self._terminated()  # nobody waits any more: what it asked is not held for the close's after-time

    def _event(self, event: QuicEvent) -> None:
        match event:
            case StreamDataReceived():
                self._data(event)
            case StreamReset():
                self._http(event)
                self._taken_back(event.stream_id)
            case StopSendingReceived():
                self._taken_back(event.stream_id)
            case ConnectionIdIssued():
                self.listener.ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.listener.ids.retire(event.connection_id, self)
            case HandshakeCompleted():
                self.up = True
                if self._session is None:
                    self._session = Session(self.quic)  # with it go the settings
                self.listener.came_up(self)
            case ConnectionTerminated():
                self._terminated()

    def _http(self, event: QuicEvent) -> list[Any]:
        if self._session is None:
            self._session = Session(self.quic)
        return self._session.take(event)

    def _data(self, event: StreamDataReceived) -> None:
        id = event.stream_id
        if id % 4 == 0 and id not in self.exchanges and not self._is_dead(id):
            self._next = max(self._next, id + 4)  # streams may come out of their order
            if self._closing or len(self.exchanges) >= MAX_STREAMS:
                return self._reject(id, event.end_stream)
            self.exchanges[id] = Exchange(self, id, time.monotonic(), not self.up)
        for found in self._http(event):
            exchange = self.exchanges.get(getattr(found, "stream_id", -1))
            if exchange is None or exchange.step is not Step.READING:
                continue
            match found:
                case HeadersReceived():
                    self._headers(exchange, found)
                case DataReceived():
                    exchange.size += len(found.data)
                    if exchange.size > MAX_BODY:
                        self._reject_request(exchange, 413, "body over 64 KiB")
                    else:
                        exchange.body.append(found.data)
                case Malformed():
                    if not self._patience.malformed(now_ms()):
                        return self.abort(ErrorCode.H3_EXCESSIVE_LOAD)
                    self._reject_request(exchange, found.status, found.why)
            if getattr(found, "stream_ended", False) and exchange.step is Step.READING:
                self._complete(exchange)

    def _is_dead(self, id: int) -> bool:
        return self._session is not None and self._session.is_dead(id)

    def _reject(self, id: int, ended: bool) -> None:
        """It is not looked at, so the caller can send it elsewhere (RFC 9114, section 4.1.1)."""
        if self._session is None:
            self._session = Session(self.quic)
        self._session.ignore(id, ended)
        if not ended:
            self.quic.stop_stream(id, ErrorCode.H3_REQUEST_REJECTED)
        self.quic.reset_stream(id, ErrorCode.H3_REQUEST_REJECTED)
        if not self._closing and not self._patience.reset(now_ms()):
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    # Requests

    def _headers(self, exchange: Exchange, found: HeadersReceived) -> None:
        if exchange.headed:
            return  # trailers: nothing here asks for them
        exchange.headed = True
        size = 0
        for name, value in found.headers:
            size += len(name) + len(value)
            if name == b":method":
                exchange.method = value
            elif name == b":path":
                exchange.target = value
            elif name[:1] != b":":
                if name in SINGLE and name in exchange.headers:
                    return self._reject_request(exchange, 400, "a header came twice")
                exchange.headers[name] = value.strip()
        if size > MAX_HEAD:
            return self._reject_request(exchange, 431, "headers too large")
        if not exchange.target:
            return self._reject_request(exchange, 400, "no :path")
        length = exchange.headers.get(b"content-length", b"0")
        if not length.isdigit():
            self._reject_request(exchange, 400, "content-length is no number")
        elif int(length[:12]) > MAX_BODY:
            self._reject_request(exchange, 413, "body over 64 KiB")

    def _complete(self, exchange: Exchange) -> None:
        """The whole request has come."""
        listener = self.listener
        if exchange.target.startswith(NODE_PATHS):
            return self.answered(exchange, listener.node_page(exchange.target.partition(b"?")[0]))
        body = b"".join(exchange.body)
        exchange.body = []
        try:
            message = read_message(listener.classes, exchange.method, exchange.target, exchange.headers, body)
            if exchange.early and listener.classes[message.cls].repeat is not api.Repeat.SAFE:
                return self.answered(exchange, Reply(TOO_EARLY, b"ask again once the handshake is done"))
            self._step(exchange, Step.SERVING)
            owed = listener.accept(message, exchange.answer)
        except RequestError as problem:
            return self._reject_request(exchange, 400, str(problem))
        if exchange.step is Step.SERVING:  # it may have been answered at once
            exchange.owed = owed

    def answered(self, exchange: Exchange, reply: Reply) -> None:
        """Write an answer, whole; the node's, or one of this file's own."""
        if self.exchanges.get(exchange.id) is not exchange or self._session is None:
            return  # its caller took it back, or the connection is over
        self._step(exchange, Step.WRITING)
        headers = [(b":status", b"%d" % reply.status)]
        if reply.content_type is not None:
            headers.append((b"content-type", reply.content_type))
        if reply.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % reply.retry_after_s))
        headers.extend(reply.more)
        headers.append((b"content-length", b"%d" % len(reply.body)))
        try:
            self._session.send_headers(exchange.id, headers, end_stream=not reply.body)
            if reply.body:
                self._session.send_data(exchange.id, reply.body, end_stream=True)
        except Exception:  # the stream can't carry it any more
            log.exception("answering a request over QUIC")
            self._drop(exchange, ErrorCode.H3_INTERNAL_ERROR)
        self.shell.flush_soon()

    def _reject_request(self, exchange: Exchange, status: int, why: str) -> None:
        """Answer a request that can't be read, and read no more of it (RFC 9114, section 4.1.1)."""
        if self._session is not None and not is_over(self.quic, exchange.id):
            self._session.ignore(exchange.id, False)
            self.quic.stop_stream(exchange.id, ErrorCode.H3_NO_ERROR)
        exchange.body.clear()
        self.answered(exchange, Reply(status, why.encode()))

    def _taken_back(self, id: int) -> None:
        """The caller wants no answer any more. What the node has sent on goes its way."""
        exchange = self.exchanges.get(id)
        if exchange is None:
            return
        unanswered = exchange.step is not Step.WRITING
        self._drop(exchange, ErrorCode.H3_REQUEST_CANCELLED)
        if unanswered and not self._patience.reset(now_ms()):
            log.warning("a caller took back too many requests; its connection is closed")
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    def _drop(self, exchange: Exchange, code: int) -> None:
        """Forget a request; whoever has it is told that nobody waits."""
        if self.exchanges.pop(exchange.id, None) is None:
            return
        if not self.over and not is_over(self.quic, exchange.id):
            self.quic.reset_stream(exchange.id, code)
        if self._session is not None:
            self._session.done_with(exchange.id)
            if not self.over and not is_over(self.quic, exchange.id):
                self._session.ignore(exchange.id, False)
        owed = exchange.owed
        exchange.owed = None
        if owed is not None:
            owed.client_disconnected()

    def _step(self, exchange: Exchange, step: Step) -> None:
        exchange.step, exchange.since = step, time.monotonic()

    # Its life

    def _flushed(self) -> None:
        """After each flush: requests whose answer is acknowledged are done with."""
        done = [x for x in self.exchanges.values() if x.step is Step.WRITING and is_over(self.quic, x.id)]
        for exchange in done:
            del self.exchanges[exchange.id]
        if self._closing and not self.exchanges and not self.over:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self._closing = False  # said once
            self.shell.flush_soon()

    def sweep(self, now: float) -> None:
        """End what has waited too long."""
        if not self.up and now - self.began > HANDSHAKE_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        if self.up and not self.exchanges and now - self.heard > IDLE_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        for exchange in list(self.exchanges.values()):
            waited = now - exchange.since
            if exchange.step is Step.READING and waited > READ_S:
                self._reject_request(exchange, 408, "the request took too long to come")
            elif exchange.step is Step.WRITING and waited > WRITE_S:
                self._drop(exchange, ErrorCode.H3_INTERNAL_ERROR)
                self.shell.flush_soon()

    def set_not_ready(self) -> None:
        """Say that the node is going; requests are still taken (RFC 9114, section 5.2)."""
        if self._session is not None and not self.over:
            self._session.say_goaway(LAST_STREAM)
            self.shell.flush_soon()

    def close_gracefully(self) -> None:
        """Take no new requests; close once those there are have been answered."""
        if not self.over and not self._closing:
            self._closing = True
            if self._session is not None:
                self._session.say_goaway(self._next)
            self.shell.flush_soon()

    def abort(self, code: int) -> None:
        """End it now, whatever is on it."""
        if not self.over:
            self.quic.close(error_code=code)
            self.shell.flush()
            self._terminated()

    def _terminated(self) -> None:
        if self.over:
            return
        self.over = True
        for exchange in list(self.exchanges.values()):
            self._drop(exchange, ErrorCode.H3_REQUEST_CANCELLED)
        self.listener.closed(self)
        # Within the library it goes on for a while, to answer late packets with its close; here they are
        # strays.
        self.shell.end()


class Listener(asyncio.DatagramProtocol):
    """The UDP socket and all callers' connections: a front beside the HTTP/1.1 one."""

    def __init__(
        self,
        front: settings.Front,
        classes: dict[str, api.RequestClass],
        accept: Accept,
        node_page: Callable[[bytes], Reply],
    ) -> None:
        self.classes = classes
        self.accept = accept
        self.node_page = node_page
        self._front = front
        self.loop: asyncio.AbstractEventLoop
        self._transport: asyncio.DatagramTransport | None = None
        self.ids: Ids[Connection] = Ids()
        self._connections: dict[Connection, None] = {}
        self._half_open: dict[Connection, None] = {}
        self._first, self._strays = FirstPackets(now_ms()), Strays(now_ms())
        self._retry = QuicRetryTokenHandler()
        self._reset_key = self._made_reset_key()
        self._tickets: OrderedDict[bytes, SessionTicket] = OrderedDict()
        self._taking_none = False
        self._empty = asyncio.Event()
        self._configuration = self._configured()

    def _made_reset_key(self) -> bytes:
        """From the private key and the address: a node that starts again can reset what its last life had.

        (RFC 9000, section 10.3.2: one static key. Nodes at other addresses have others.)
        """
        try:
            secret = self._front.key.read_bytes()
        except OSError as problem:
            raise ConfigError(f"front.key: can't be read: {problem.strerror}") from None
        return hmac.digest(secret, f"stateless reset {self._front.listen}".encode(), "sha256")

    def _configured(self) -> QuicConfiguration:
        """The library's settings, with the certificate as it is now; `ConfigError` if it can't be used."""
        made = QuicConfiguration(
            is_client=False,
            alpn_protocols=[ALPN],
            idle_timeout=IDLE_S + 2.0,
            max_data=WINDOW,
            max_stream_data=STREAM_WINDOW,
            connection_id_length=CID_LENGTH,
        )
        try:
            made.load_cert_chain(str(self._front.certificate), str(self._front.key))
        except Exception as problem:  # the library lets through whatever its parsers raise
            why = f"{type(problem).__name__}: {problem}".splitlines()[0][:120]
            raise ConfigError(f"front.certificate, front.key: can't be used: {why}") from None
        return made

    async def listen(self, loop: asyncio.AbstractEventLoop) -> Address:
        """Take datagrams from now on; the address, with the port that port 0 stands for."""
        self.loop = loop
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self._front.listen)
        self._sweep()
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def reread(self) -> None:
        """Take the certificate as it is on disk now, for new connections; `ConfigError` leaves the old
        one.
        """
        self._configuration = self._configured()

    def alt_svc(self, port: int) -> bytes | None:
        """What HTTP/1.1 answers tell callers of this listener (RFC 7838; RFC 9114, section 3.1.1)."""
        return b'h3=":%d"; ma=%d' % (port, self._front.alt_svc_s) if self._front.alt_svc_s else None

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, peer)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed, or the like: its connection ends by its own time limits."""

    def datagram_received(self, data: bytes, peer: Endpoint) -> None:
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
        except ValueError:
            return
        connection = self.ids.get(header.destination_cid)
        if connection is not None:
            return connection.receive(data, peer)
        now = now_ms()
        if header.version is None:  # short header: a connection that ended, or was another process's
            if len(data) >= MIN_RESET and self._strays.answered(now):
                noise = bytearray(os.urandom(min(len(data) - 1, MIN_RESET - 1) - 16))
                noise[0] = noise[0] & 0x3F | 0x40
                self.sendto(bytes(noise) + reset_token(self._reset_key, header.destination_cid), peer)
            return
        if header.packet_type is QuicPacketType.VERSION_NEGOTIATION or len(data) < SMALLEST_MAX_DATAGRAM_SIZE:
            return
        if header.version not in self._configuration.supported_versions:
            if self._strays.answered(now):
                self.sendto(
                    encode_quic_version_negotiation(
                        source_cid=header.destination_cid,
                        destination_cid=header.source_cid,
                        supported_versions=self._configuration.supported_versions,
                    ),
                    peer,
                )
            return
        if header.packet_type is QuicPacketType.INITIAL and not self._taking_none:
            self._first_packet(header, data, peer, now)

    def _first_packet(self, header: Any, data: bytes, peer: Endpoint, now: float) -> None:
        original = header.destination_cid
        retried = None
        if header.token:
            try:
                original = self._retry.validate_token(
                    address=peer,
                    destination_cid=header.destination_cid,
                    token=header.token,
                    now=time.monotonic(),
                )
                retried = header.destination_cid
            except ValueError:
                pass  # an old one, or from elsewhere: no proof
        match self._first.decide(len(self._half_open), retried is not None, now):
            case First.VALIDATE:
                cid = os.urandom(CID_LENGTH)
                token = self._retry.create_token(
                    address=peer,
                    original_destination_connection_id=header.destination_cid,
                    retry_source_connection_id=cid,
                    now=time.monotonic(),
                )
                return self.sendto(
                    encode_quic_retry(
                        version=header.version,
                        source_cid=cid,
                        destination_cid=header.source_cid,
                        original_destination_cid=header.destination_cid,
                        retry_token=token,
                    ),
                    peer,
                )
            case First.DROP:
                return
        if len(self._connections) >= self._front.connections and not self._make_room():
            return
        quic = OwnTokens(
            self._reset_key,
            MAX_STREAMS,
            configuration=self._configuration,
            original_destination_connection_id=original,
            retry_source_connection_id=retried,
            session_ticket_fetcher=self._fetch_ticket,
            session_ticket_handler=self._keep_ticket,
        )
        connection = Connection(self, quic)
        self._connections[connection] = None
        self._half_open[connection] = None
        self.ids.add(header.destination_cid, connection)
        self.ids.add(quic.host_cid, connection)
        connection.receive(data, peer)

    def _make_room(self) -> bool:
        """End the connection that has been idle longest, if any is idle."""
        idle = [c for c in self._connections if c.up and not c.exchanges]
        if idle:
            min(idle, key=lambda c: c.heard).abort(ErrorCode.H3_NO_ERROR)
        return bool(idle)

    # Tickets, for resumption and early data

    def _keep_ticket(self, ticket: SessionTicket) -> None:
        self._tickets[ticket.ticket] = ticket
        if len(self._tickets) > MAX_TICKETS:
            self._tickets.popitem(last=False)

    def _fetch_ticket(self, label: bytes) -> SessionTicket | None:
        return self._tickets.pop(label, None)  # once: a replay finds none, and its early data is not read

    # Connections

    def came_up(self, connection: Connection) -> None:
        self._half_open.pop(connection, None)
        # The id that the caller made up for its first packets is of no more use.
        self.ids.retire(connection.quic.original_destination_connection_id, connection)

    def closed(self, connection: Connection) -> None:
        self._connections.pop(connection, None)
        self._half_open.pop(connection, None)
        self.ids.end(connection)
        if not self._connections:
            self._empty.set()

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for connection in list(self._connections):
            connection.sweep(now)

    # What the node asks of a front

    def count(self) -> int:
        """Sockets in use: one, whatever the number of callers."""
        return 1 if self._transport is not None else 0

    def set_not_ready(self) -> None:
        """Tell callers to go elsewhere when they can."""
        for connection in list(self._connections):
            connection.set_not_ready()

    def close_listener(self) -> None:
        """Take no new connections; go on with those there are."""
        self._taking_none = True

    async def close_gracefully(self) -> None:
        """Answer all that is owed, take nothing new, and close."""
        for connection in list(self._connections):
            connection.close_gracefully()
        await self.wait_closed()

    async def wait_closed(self) -> None:
        """Wait until no caller is left."""
        while self._connections:
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """End all that is left."""
        for connection in list(self._connections):
            connection.abort(ErrorCode.H3_NO_ERROR)

    def close(self) -> None:
        """Give the socket back."""
        self.abort()
        if self._transport is not None:
            self._timer.cancel()
            self._transport.close()
            self._transport = None
