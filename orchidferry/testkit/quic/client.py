"""The client's side of HTTP/3, with the interface of `orchidferry.testkit.wire.RequesterSide`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionState
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StreamReset,
)
from aioquic.tls import SessionTicket

from orchidferry.testkit.quic.certs import SERVER_NAME
from orchidferry.testkit.quic.faults import PathConditions, PathFaults
from orchidferry.testkit.quic.headers import Header, as_h3
from orchidferry.testkit.quic.transport import IDLE_S, FaultyTransport, along
from orchidferry.testkit.wire import CONNECT_S, Address, Outcome


@dataclass(eq=False)
class RequesterStream:
    """One request on a stream, with the face of `wire.RequesterSide`."""

    connection: RequesterConnection
    alive: bool = True
    used: int = 0
    last_id: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    stream: int = -1
    waiting: asyncio.Future[Outcome] | None = None

    def ask(self, id: str, message: bytes) -> asyncio.Future[Outcome]:
        """Send a request; its outcome. The caller gives it up by `drop`."""
        self.last_id = id
        self.used = self.used + 1
        self.waiting = asyncio.get_running_loop().create_future()
        headers, body = as_h3(message)
        connection = self.connection
        if connection.http is None:
            self.end("closed")
            return self.waiting
        self.stream = connection.begin(self, headers, body)
        return self.waiting

    def end(self, how: str, with_connection: bool = False) -> None:
        """Its outcome. Where a used connection ended as a whole, the request may not have been read."""
        self.alive = False
        self.connection.streams.pop(self.stream, None)
        if self.waiting is not None and not self.waiting.done():
            reused = with_connection and self.stream > 0
            body = b"".join(self.body)
            self.waiting.set_result(Outcome(how, time.monotonic(), self.status, self.headers, body, reused))

    def drop(self) -> None:
        """Take the request back, if it is not answered; its connection goes on."""
        if self.alive and self.stream >= 0:
            self.connection.cut(self.stream, ErrorCode.H3_REQUEST_CANCELLED)
        self.alive = False
        self.connection.streams.pop(self.stream, None)


class RequesterConnection(QuicConnectionProtocol):
    """A connection to a node."""

    def __init__(self, quic: QuicConnection, on_extra: Callable[[str], None]) -> None:
        super().__init__(quic)
        self.http: H3Connection | None = None
        self.streams: dict[int, RequesterStream] = {}
        self.path = PathFaults(0)
        self.back = PathFaults(1)
        self.up = False
        self.used = time.monotonic()
        self.unheard_since: float | None = None  # the first request since something was heard
        self.closed_by: ConnectionTerminated | None = None
        self._on_extra = on_extra

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        faulty = FaultyTransport(cast(asyncio.DatagramTransport, transport), self.path)
        super().connection_made(cast(asyncio.BaseTransport, faulty))

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Take a datagram."""
        along(self.back, self._deliver, data, addr)

    def _deliver(self, data: bytes | str, addr: Any) -> None:
        """Into the library, which passes over stateless resets (RFC 9000, section 10.3)."""
        assert isinstance(data, bytes)
        self.unheard_since = None
        quic = self._quic
        tokens = [id.stateless_reset_token for id in (quic._peer_cid, *quic._peer_cid_available)]
        # Not once it was told of a close: the library speaks of that only when it is sure to be over.
        short = len(data) >= 21 and not data[0] & 0x80 and quic._close_event is None
        if short and self.closed_by is None and data[-16:] in [token for token in tokens if token]:
            self.http, self.closed_by = None, ConnectionTerminated(0, None, "stateless reset")
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            quic._state = QuicConnectionState.TERMINATED
            self._all_end("reset")
        elif self.closed_by is None:
            super().datagram_received(data, addr)

    def _all_end(self, how: str) -> None:
        for requester in list(self.streams.values()):
            requester.end(how, True)
        if self._transport is not None:
            self._transport.close()

    def begin(self, requester: RequesterStream, headers: list[Header], body: bytes) -> int:
        """Send a request; returns the number of its stream."""
        assert self.http is not None
        self.used = time.monotonic()
        if self.unheard_since is None:
            self.unheard_since = self.used
        id = self._quic.get_next_available_stream_id()
        self.streams[id] = requester
        self.http.send_headers(id, headers, end_stream=not body)
        if body:
            self.http.send_data(id, body, end_stream=True)
        self.transmit()
        return id

    def cut(self, id: int, code: int) -> None:
        """Take back a request: RESET_STREAM and STOP_SENDING."""
        stream = self._quic._streams.get(id)
        if stream is not None:
            self._quic.reset_stream(id, code)
            if not stream.receiver.is_finished:
                self._quic.stop_stream(id, code)
            self.transmit()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Take an event of the connection."""
        if isinstance(event, ProtocolNegotiated) and self.http is None:
            self.http = H3Connection(self._quic)
        elif isinstance(event, HandshakeCompleted):
            self.up = True
        elif isinstance(event, ConnectionTerminated):
            self.http = None
            self.closed_by = event
            orderly = event.error_code in (0, ErrorCode.H3_NO_ERROR)
            self._all_end("closed" if orderly else "reset")
        elif isinstance(event, StreamReset):
            reset = self.streams.get(event.stream_id)
            if reset is not None:
                # Rejected: it was not looked at (RFC 9114, section 8.1), as a connection refused is.
                rejected = event.error_code == ErrorCode.H3_REQUEST_REJECTED
                reset.end("refused" if rejected else "reset")
        if self.http is None:
            return
        for found in self.http.handle_event(event):
            if not isinstance(found, HeadersReceived | DataReceived):
                continue
            one = self.streams.get(found.stream_id)
            if one is None:
                continue  # taken back
            if isinstance(found, DataReceived):
                one.body.append(found.data)
            else:
                fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in found.headers}
                status = int(fields.pop(":status", "0"))
                if one.status >= 200:
                    self._on_extra(one.last_id)
                one.status = status
                one.headers = fields
            if found.stream_ended:
                one.end("answer" if one.status >= 200 else "broken")

    async def move(self) -> None:
        """Go on from another address: a new socket, the same connection (RFC 9000, section 9)."""

        class Onward(asyncio.DatagramProtocol):
            def datagram_received(_, data: bytes, addr: Any) -> None:  # noqa: N805
                self.datagram_received(data, addr)

        old = self._transport
        transport, _ = await self._loop.create_datagram_endpoint(Onward, local_addr=("0.0.0.0", 0))
        self.connection_made(transport)
        if old is not None:
            old.close()
        self._quic.send_ping(0)
        self.transmit()

    def drop(self) -> None:
        """Close it, whatever is on it."""
        if self.closed_by is None:
            self.close(ErrorCode.H3_NO_ERROR)
            for requester in list(self.streams.values()):
                requester.end("closed")
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            if self._transport is not None:
                self._transport.close()
            self.http = None


async def connect(
    address: Address,
    ca: str,
    on_extra: Callable[[str], None] = lambda _: None,
    conditions: PathConditions | None = None,
    seed: int = 0,
    limit_s: float = CONNECT_S,
    ticket: SessionTicket | None = None,
    on_ticket: Callable[[SessionTicket], None] | None = None,
    wait: bool = True,
    **changes: Any,
) -> RequesterConnection:
    """A connection to a node; `TimeoutError` or `OSError` where none comes up."""
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        server_name=SERVER_NAME,
        session_ticket=ticket,
        **({"idle_timeout": IDLE_S} | changes),
    )
    configuration.load_verify_locations(ca)
    quic = QuicConnection(configuration=configuration, session_ticket_handler=on_ticket)
    made = RequesterConnection(quic, on_extra)
    if conditions is not None:
        made.path, made.back = PathFaults(2 * seed, conditions), PathFaults(2 * seed + 1, conditions)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: made, local_addr=("0.0.0.0", 0))
    made.connect(address)
    if ticket is not None:
        made.http = H3Connection(quic)  # what is asked now goes out as early data
    if wait:
        try:
            async with asyncio.timeout(limit_s):
                await made.wait_connected()
        except (TimeoutError, ConnectionError):
            made.drop()
            raise
    return made
