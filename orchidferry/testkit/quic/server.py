"""The server side of HTTP/3, with the interface of `orchidferry.testkit.wire.ServerSide`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.asyncio.server import QuicServer
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionState
from aioquic.quic.events import (
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from orchidferry.testkit.quic.certs import CertificateFiles
from orchidferry.testkit.quic.faults import PathConditions, PathFaults
from orchidferry.testkit.quic.headers import Header
from orchidferry.testkit.quic.transport import IDLE_TIMEOUT_S, FaultyTransport, send_through
from orchidferry.testkit.wire import Address, Request


class ServerStream:
    """One request on a stream of its own, with the interface of `wire.ServerSide`."""

    def __init__(self, connection: ServerConnection, stream_id: int) -> None:
        self.connection = connection
        self.id = stream_id
        self.open = True
        self.transport = self  # `wire.ServerSide` has a transport, which is asked for `is_closing`
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.first_received = time.monotonic()

    def is_closing(self) -> bool:
        """Return whether nothing more can be sent on the stream."""
        return not self.open or self.connection.http is None

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """Send a complete response, unless the stream is closed.

        :param headers: further headers as lines of HTTP/1.1.
        """
        if self.is_closing():
            return
        self.open = False
        fields = [(b":status", b"%d" % status)]
        for line in headers.split("\r\n"):
            name, _, value = line.partition(":")
            if name:
                fields.append((name.strip().lower().encode(), value.strip().encode()))
        fields.append((b"content-length", b"%d" % len(body)))
        http = self.connection.http
        assert http is not None
        http.send_headers(self.id, fields, end_stream=not body)
        if body:
            http.send_data(self.id, body, end_stream=True)
        self.connection.on_finished(self)

    def reset(self, code: int = ErrorCode.H3_INTERNAL_ERROR) -> None:
        """Reset the stream; other requests on the connection continue."""
        if not self.is_closing():
            self.open = False
            self.connection.reset_stream(self.id, code)
            self.connection.on_finished(self)


class ServerConnection(QuicConnectionProtocol):
    """A client's connection to the server."""

    def __init__(self, quic: QuicConnection, stream_handler: Any = None) -> None:
        super().__init__(quic, stream_handler)
        self.http: H3Connection | None = (
            None  # None before the handshake, and after the end of the connection
        )
        self.server: H3Server
        self.streams: dict[int, ServerStream] = {}  # open requests by stream id

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""
        if isinstance(event, ProtocolNegotiated):
            self.http = H3Connection(self._quic)
            self.server.connections[self] = None
        elif isinstance(event, ConnectionTerminated):
            self.http = None
            self.server.connections.pop(self, None)
            for stream in list(self.streams.values()):
                self._discard(stream)
        elif isinstance(event, StreamReset | StopSendingReceived):
            reset = self.streams.get(event.stream_id)
            if reset is not None:
                self.server.resets += 1
                self._discard(reset)
        if self.http is not None:
            for h3_event in self.http.handle_event(event):
                self._on_h3_event(h3_event)

    def _discard(self, stream: ServerStream) -> None:
        stream.open = False
        self.streams.pop(stream.id, None)
        self.server.on_lost(stream)

    def _on_h3_event(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        stream_id = event.stream_id
        stream = self.streams.get(stream_id)
        if stream is None:
            if not isinstance(event, HeadersReceived):
                return  # data of a finished request
            stream = self.streams[stream_id] = ServerStream(self, stream_id)
            self.server.on_made(stream)
        if isinstance(event, HeadersReceived):
            stream.headers += event.headers
        else:
            stream.body.append(event.data)
        if event.stream_ended:
            self.server.on_request(stream, self._request(stream))

    def _request(self, stream: ServerStream) -> Request:
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in stream.headers}
        return Request(
            fields.pop(":method", ""),
            fields.pop(":path", ""),
            fields,
            b"".join(stream.body),
            stream.first_received,
            time.monotonic(),
        )

    def on_finished(self, stream: ServerStream) -> None:
        """Forget a stream that was answered or reset, and send pending datagrams."""
        self.streams.pop(stream.id, None)
        self.server.on_lost(stream)
        self.transmit()

    def reset_stream(self, stream_id: int, code: int) -> None:
        """Reset a stream in both directions."""
        self._quic.reset_stream(stream_id, code)
        if stream_id in self._quic._streams and not self._quic._streams[stream_id].receiver.is_finished:
            self._quic.stop_stream(stream_id, code)

    def send_goaway(self, stream_id: int) -> None:
        """Send a GOAWAY frame (RFC 9114, section 5.2), which the library can't."""
        assert self.http is not None and self.http._local_control_stream_id is not None
        payload = (stream_id | 3 << 62).to_bytes(8, "big")
        self._quic.send_stream_data(self.http._local_control_stream_id, b"\x07\x08" + payload)
        self.transmit()


class _Listener(QuicServer):
    """The library's server, with scripted faults of the path in both directions."""

    def __init__(
        self, to_requesters: PathFaults, from_requesters: PathFaults, **library_options: Any
    ) -> None:
        super().__init__(**library_options)
        self._to = to_requesters
        self._from = from_requesters

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport, so that datagrams are sent through the path to the clients."""
        faulty = FaultyTransport(cast(asyncio.DatagramTransport, transport), self._to)
        super().connection_made(cast(asyncio.BaseTransport, faulty))

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Receive a datagram through the path from the clients."""
        send_through(self._from, super().datagram_received, data, addr)

    def crash(self) -> None:
        """Drop all connections without sending anything, like a process that crashes."""
        for protocol in set(self._protocols.values()):
            if protocol._timer is not None:
                protocol._timer.cancel()
            protocol._quic._state = QuicConnectionState.TERMINATED
        self._protocols.clear()
        if self._transport is not None:
            self._transport.close()


class H3Server:
    """An HTTP/3 server."""

    def __init__(
        self,
        files: CertificateFiles,
        on_request: Callable[[Any, Request], None],
        on_lost: Callable[[Any], None],
        on_made: Callable[[Any], None],
        conditions: PathConditions | None = None,
        seed: int = 0,
        **options: Any,
    ) -> None:
        """Create an `H3Server`.

        :param files: the server's certificate and key.
        :param on_request: called with a stream and its complete request.
        :param on_lost: called with a stream when it has ended.
        :param on_made: called with a stream when the headers of its request are received.
        :param conditions: the faults of the path in both directions; None for none.
        :param seed: of these faults.
        :param options: further arguments of `QuicConfiguration`.
        """
        self.on_request = on_request
        self.on_lost = on_lost
        self.on_made = on_made
        self.connections: dict[ServerConnection, None] = {}
        self.resets = 0  # requests that clients cancelled
        self.to_requesters = PathFaults(2 * seed, conditions or PathConditions())
        self.from_requesters = PathFaults(2 * seed + 1, conditions or PathConditions())
        self._options = options
        self._files = files
        self.listener: _Listener | None = None

    async def start(self, address: Address, retry: bool = False) -> Address:
        """Start to serve.

        :param retry: whether to validate the addresses of clients by Retry packets.
        :returns: the address, with the port that was chosen for port 0.
        """
        configuration = QuicConfiguration(
            is_client=False, alpn_protocols=["h3"], **({"idle_timeout": IDLE_TIMEOUT_S} | self._options)
        )
        configuration.load_cert_chain(str(self._files.certificate), str(self._files.key))

        def create(quic: QuicConnection, stream_handler: Any = None) -> ServerConnection:
            connection = ServerConnection(quic, stream_handler)
            connection.server = self
            return connection

        loop = asyncio.get_running_loop()
        transport, self.listener = await loop.create_datagram_endpoint(
            lambda: _Listener(
                self.to_requesters,
                self.from_requesters,
                configuration=configuration,
                create_protocol=create,
                retry=retry,
            ),
            local_addr=address,
        )
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def stop(self, abruptly: bool = False) -> None:
        """Stop the server.

        :param abruptly: without closing the connections, like a process that crashes.
        """
        listener = self.listener
        self.listener = None
        if listener is not None:
            listener.crash() if abruptly else listener.close()
