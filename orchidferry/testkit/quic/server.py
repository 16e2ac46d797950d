"""The server's side of HTTP/3, with the interface of `orchidferry.testkit.wire.ServerSide`."""

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
from orchidferry.testkit.quic.transport import IDLE_S, FaultyTransport, along
from orchidferry.testkit.wire import Address, Request


class ServerStream:
    """One request on a stream, with the face of `wire.ServerSide`."""

    def __init__(self, connection: ServerConnection, stream_id: int) -> None:
        self.connection = connection
        self.id = stream_id
        self.open = True
        self.transport = self  # what a stand-in asks of one, it asks of this
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.first = time.monotonic()

    def is_closing(self) -> bool:
        """Whether nothing more can be sent on it."""
        return not self.open or self.connection.http is None

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """Write a whole answer; nothing if the stream has gone."""
        if self.is_closing():
            return
        self.open = False
        lines = [(b":status", b"%d" % status)]
        for line in headers.split("\r\n"):
            name, _, value = line.partition(":")
            if name:
                lines.append((name.strip().lower().encode(), value.strip().encode()))
        lines.append((b"content-length", b"%d" % len(body)))
        http = self.connection.http
        assert http is not None
        http.send_headers(self.id, lines, end_stream=not body)
        if body:
            http.send_data(self.id, body, end_stream=True)
        self.connection.finished(self)

    def reset(self, code: int = ErrorCode.H3_INTERNAL_ERROR) -> None:
        """End it as a process that dies does, this request alone."""
        if not self.is_closing():
            self.open = False
            self.connection.cut(self.id, code)
            self.connection.finished(self)


class ServerConnection(QuicConnectionProtocol):
    """A requester's connection at a server."""

    def __init__(self, quic: QuicConnection, stream_handler: Any = None) -> None:
        super().__init__(quic, stream_handler)
        self.http: H3Connection | None = None
        self.server: H3Server
        self.streams: dict[int, ServerStream] = {}

    def quic_event_received(self, event: QuicEvent) -> None:
        """Called by the library."""
        if isinstance(event, ProtocolNegotiated):
            self.http = H3Connection(self._quic)
            self.server.connections[self] = None
        elif isinstance(event, ConnectionTerminated):
            self.http = None
            self.server.connections.pop(self, None)
            for stream in list(self.streams.values()):
                self._gone(stream)
        elif isinstance(event, StreamReset | StopSendingReceived):
            reset = self.streams.get(event.stream_id)
            if reset is not None:
                self.server.resets += 1
                self._gone(reset)
        if self.http is not None:
            for found in self.http.handle_event(event):
                self._http(found)

    def _gone(self, stream: ServerStream) -> None:
        stream.open = False
        self.streams.pop(stream.id, None)
        self.server.lost(stream)

    def _http(self, found: H3Event) -> None:
        if not isinstance(found, HeadersReceived | DataReceived):
            return
        stream_id = found.stream_id
        stream = self.streams.get(stream_id)
        if stream is None:
            if not isinstance(found, HeadersReceived):
                return  # of one that is over
            stream = self.streams[stream_id] = ServerStream(self, stream_id)
            self.server.made(stream)
        if isinstance(found, HeadersReceived):
            stream.headers += found.headers
        else:
            stream.body.append(found.data)
        if found.stream_ended:
            self.server.requested(stream, self._request(stream))

    def _request(self, stream: ServerStream) -> Request:
        fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in stream.headers}
        return Request(
            fields.pop(":method", ""),
            fields.pop(":path", ""),
            fields,
            b"".join(stream.body),
            stream.first,
            time.monotonic(),
        )

    def finished(self, stream: ServerStream) -> None:
        """Forget a stream that was answered or reset, and send what waits."""
        self.streams.pop(stream.id, None)
        self.server.lost(stream)
        self.transmit()

    def cut(self, stream_id: int, code: int) -> None:
        """Reset a stream both ways."""
        self._quic.reset_stream(stream_id, code)
        if stream_id in self._quic._streams and not self._quic._streams[stream_id].receiver.is_finished:
            self._quic.stop_stream(stream_id, code)

    def send_goaway(self, stream_id: int) -> None:
        """GOAWAY, which the library does not send (RFC 9114, section 5.2)."""
        assert self.http is not None and self.http._local_control_stream_id is not None
        payload = (stream_id | 3 << 62).to_bytes(8, "big")
        self._quic.send_stream_data(self.http._local_control_stream_id, b"\x07\x08" + payload)
        self.transmit()


class _Listener(QuicServer):
    """The library's server behind a scripted path, both ways."""

    def __init__(self, to_requesters: PathFaults, from_requesters: PathFaults, **rest: Any) -> None:
        super().__init__(**rest)
        self._to = to_requesters
        self._from = from_requesters

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        faulty = FaultyTransport(cast(asyncio.DatagramTransport, transport), self._to)
        super().connection_made(cast(asyncio.BaseTransport, faulty))

    def datagram_received(self, data: bytes | str, addr: Any) -> None:
        """Called by the loop."""
        along(self._from, super().datagram_received, data, addr)

    def forget(self) -> None:
        """Drop all connections without a word, as a process that dies does."""
        for protocol in set(self._protocols.values()):
            if protocol._timer is not None:
                protocol._timer.cancel()
            protocol._quic._state = QuicConnectionState.TERMINATED
        self._protocols.clear()
        if self._transport is not None:
            self._transport.close()


class H3Server:
    """An HTTP/3 server on UDP; what is asked of it goes to `requested`."""

    def __init__(
        self,
        files: CertificateFiles,
        requested: Callable[[Any, Request], None],
        lost: Callable[[Any], None],
        made: Callable[[Any], None],
        conditions: PathConditions | None = None,
        seed: int = 0,
        **changes: Any,
    ) -> None:
        self.requested = requested
        self.lost = lost
        self.made = made
        self.connections: dict[ServerConnection, None] = {}
        self.resets = 0  # requests that their requesters took back
        self.to_requesters = PathFaults(2 * seed, conditions or PathConditions())
        self.from_requesters = PathFaults(2 * seed + 1, conditions or PathConditions())
        self._changes = changes
        self._files = files
        self.listener: _Listener | None = None

    async def start(self, address: Address, retry: bool = False) -> Address:
        """Serve; the address, with the port that port 0 stands for."""
        configuration = QuicConfiguration(
            is_client=False, alpn_protocols=["h3"], **({"idle_timeout": IDLE_S} | self._changes)
        )
        configuration.load_cert_chain(str(self._files.certificate), str(self._files.key))

        def create(quic: QuicConnection, stream_handler: Any = None) -> ServerConnection:
            made = ServerConnection(quic, stream_handler)
            made.server = self
            return made

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
        """End it; `abruptly`: without a word to anybody."""
        listener = self.listener
        self.listener = None
        if listener is not None:
            listener.forget() if abruptly else listener.close()
