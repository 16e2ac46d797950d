"""The client side of HTTP/3, with the interface of `orchidferry.testkit.wire.RequesterSide`."""

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
from orchidferry.testkit.quic.headers import Header, to_h3
from orchidferry.testkit.quic.transport import IDLE_TIMEOUT_S, FaultyTransport, send_through
from orchidferry.testkit.wire import CONNECT_S, Address, Outcome


@dataclass(eq=False)
class RequesterStream:
    """One request on a stream of its own, with the interface of `wire.RequesterSide`."""

    connection: RequesterConnection
    alive: bool = True  # whether the request is neither finished nor cancelled
    used: int = 0  # requests sent on it
    last_id: str = ""  # id of the request
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    stream_id: int = -1
    outcome: asyncio.Future[Outcome] | None = None

    def ask(self, id: str, message: bytes) -> asyncio.Future[Outcome]:
        """Send a request; the caller can cancel it by `drop`.

        :param id: for the record.
        :param message: the request in HTTP/1.1.
        :returns: a future with its outcome.
        """
        self.last_id = id
        self.used = self.used + 1
        self.outcome = asyncio.get_running_loop().create_future()
        headers, body = to_h3(message)
        connection = self.connection
        if connection.http is None:
            self.finish("closed")
            return self.outcome
        self.stream_id = connection.send_request(self, headers, body)
        return self.outcome

    def finish(self, how: str, with_connection: bool = False) -> None:
        """Set the outcome of the request.

        :param how: as in `wire.Outcome`.
        :param with_connection: whether the connection itself ended. If the connection had been used before,
            the node may not have read the request; the outcome then has `reused` set.
        """
        self.alive = False
        self.connection.streams.pop(self.stream_id, None)
        if self.outcome is not None and not self.outcome.done():
            reused = with_connection and self.stream_id > 0
            body = b"".join(self.body)
            self.outcome.set_result(Outcome(how, time.monotonic(), self.status, self.headers, body, reused))

    def drop(self) -> None:
        """Cancel the request if it is not finished; its connection stays open."""
        if self.alive and self.stream_id >= 0:
            self.connection.reset_stream(self.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self.alive = False
        self.connection.streams.pop(self.stream_id, None)


class RequesterConnection(QuicConnectionProtocol):
    """A client's connection to a node."""

    def __init__(self, quic: QuicConnection, on_extra: Callable[[str], None]) -> None:
        super().__init__(quic)
        self.http: H3Connection | None = None  # None: requests can't be sent yet, or not any more
        self.streams: dict[int, RequesterStream] = {}  # open requests by stream id
        self.outgoing_path = PathFaults(0)
        self.incoming_path = PathFaults(1)
        self.up = False  # whether the handshake is complete
        self.last_request = time.monotonic()
        # When the first request after the last received datagram was sent; None if there is none
        self.silent_since: float | None = None
        self.closed_by: ConnectionTerminated | None = None  # the event that closed the connection
        self._on_extra = on_extra

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport, so that datagrams are sent through `outgoing_path`."""
        faulty = FaultyTransport(cast(asyncio.DatagramTransport, transport), self.outgoing_path)
        super().connection_made(cast(asyncio.BaseTransport, faulty))

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Receive a datagram through `incoming_path`."""
        send_through(self.incoming_path, self._deliver, data, addr)

    def _deliver(self, data: bytes | str, addr: Any) -> None:
        """Handle a datagram; the library ignores stateless resets (RFC 9000, section 10.3)."""
        assert isinstance(data, bytes)
        self.silent_since = None
        quic = self._quic
        tokens = [id.stateless_reset_token for id in (quic._peer_cid, *quic._peer_cid_available)]
        # A stateless reset after the peer's CONNECTION_CLOSE is not handled: the library's event of the close
        # follows only after the draining period.
        short = len(data) >= 21 and not data[0] & 0x80 and quic._close_event is None
        if short and self.closed_by is None and data[-16:] in [token for token in tokens if token]:
            self.http, self.closed_by = None, ConnectionTerminated(0, None, "stateless reset")
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            quic._state = QuicConnectionState.TERMINATED
            self._finish_all("reset")
        elif self.closed_by is None:
            super().datagram_received(data, addr)

    def _finish_all(self, how: str) -> None:
        for stream in list(self.streams.values()):
            stream.finish(how, True)
        if self._transport is not None:
            self._transport.close()

    def send_request(self, stream: RequesterStream, headers: list[Header], body: bytes) -> int:
        """Send a request; return its stream id."""
        assert self.http is not None
        self.last_request = time.monotonic()
        if self.silent_since is None:
            self.silent_since = self.last_request
        stream_id = self._quic.get_next_available_stream_id()
        self.streams[stream_id] = stream
        self.http.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id

    def reset_stream(self, stream_id: int, code: int) -> None:
        """Cancel a request by RESET_STREAM and STOP_SENDING."""
        stream = self._quic._streams.get(stream_id)
        if stream is not None:
            self._quic.reset_stream(stream_id, code)
            if not stream.receiver.is_finished:
                self._quic.stop_stream(stream_id, code)
            self.transmit()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""
        if isinstance(event, ProtocolNegotiated) and self.http is None:
            self.http = H3Connection(self._quic)
        elif isinstance(event, HandshakeCompleted):
            self.up = True
        elif isinstance(event, ConnectionTerminated):
            self.http = None
            self.closed_by = event
            orderly = event.error_code in (0, ErrorCode.H3_NO_ERROR)
            self._finish_all("closed" if orderly else "reset")
        elif isinstance(event, StreamReset):
            reset = self.streams.get(event.stream_id)
            if reset is not None:
                # A rejected request was not processed (RFC 9114, section 8.1), as on a refused connection.
                rejected = event.error_code == ErrorCode.H3_REQUEST_REJECTED
                reset.finish("refused" if rejected else "reset")
        if self.http is None:
            return
        for h3_event in self.http.handle_event(event):
            if not isinstance(h3_event, HeadersReceived | DataReceived):
                continue
            stream = self.streams.get(h3_event.stream_id)
            if stream is None:
                continue  # cancelled
            if isinstance(h3_event, DataReceived):
                stream.body.append(h3_event.data)
            else:
                fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in h3_event.headers}
                status = int(fields.pop(":status", "0"))
                if stream.status >= 200:
                    self._on_extra(stream.last_id)
                stream.status = status
                stream.headers = fields
            if h3_event.stream_ended:
                stream.finish("answer" if stream.status >= 200 else "broken")

    async def migrate(self) -> None:
        """Continue the connection from another socket and address (RFC 9000, section 9)."""

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(_, data: bytes, addr: Any) -> None:  # noqa: N805
                self.datagram_received(data, addr)

        old = self._transport
        transport, _ = await self._loop.create_datagram_endpoint(Receiver, local_addr=("0.0.0.0", 0))
        self.connection_made(transport)
        if old is not None:
            old.close()
        self._quic.send_ping(0)
        self.transmit()

    def drop(self) -> None:
        """Close the connection; its open requests end as closed."""
        if self.closed_by is None:
            self.close(ErrorCode.H3_NO_ERROR)
            for stream in list(self.streams.values()):
                stream.finish("closed")
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
    **options: Any,
) -> RequesterConnection:
    """Open a connection to a node.

    :param ca: path of the PEM file with the CA certificate.
    :param on_extra: called with a request's id when a second response to it is received.
    :param conditions: the faults of the path in both directions; None for none.
    :param seed: of these faults.
    :param limit_s: time limit in seconds of the handshake.
    :param ticket: resume with this session ticket; requests before the end of the handshake are early data.
    :param on_ticket: called with each session ticket that the node issues.
    :param wait: whether to wait for the end of the handshake.
    :param options: further arguments of `QuicConfiguration`.
    :raises TimeoutError: if the handshake does not complete in time.
    :raises OSError: if the connection fails.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=["h3"],
        server_name=SERVER_NAME,
        session_ticket=ticket,
        **({"idle_timeout": IDLE_TIMEOUT_S} | options),
    )
    configuration.load_verify_locations(ca)
    quic = QuicConnection(configuration=configuration, session_ticket_handler=on_ticket)
    connection = RequesterConnection(quic, on_extra)
    if conditions is not None:
        connection.outgoing_path, connection.incoming_path = (
            PathFaults(2 * seed, conditions),
            PathFaults(2 * seed + 1, conditions),
        )
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: connection, local_addr=("0.0.0.0", 0))
    connection.connect(address)
    if ticket is not None:
        connection.http = H3Connection(quic)  # requests from now on are sent as early data
    if wait:
        try:
            async with asyncio.timeout(limit_s):
                await connection.wait_connected()
        except (TimeoutError, ConnectionError):
            connection.drop()
            raise
    return connection
