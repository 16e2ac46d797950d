"""The listener for clients in HTTP/3: one UDP socket, and what is kept for the connections on it.

- connections: at most `connections` of them; at the limit a new one replaces the one that is idle for the
  longest time. One has `HANDSHAKE_S` for its handshake and ends after `IDLE_S` without a packet.
- requests: at most `MAX_STREAMS` a connection, by the transport's limit; the others wait at the client.
- session tickets: `MAX_TICKETS`, each good for one resumption, so that early data can't be replayed here.
"""

from __future__ import annotations

import asyncio
import hmac
import os
import socket
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from aioquic.buffer import Buffer
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler
from aioquic.tls import SessionTicket

from orchidferry.balancing import interface as api
from orchidferry.balancing.floods import FirstPacketDecision, FirstPacketLimiter, StrayPacketLimiter
from orchidferry.node.address import Address
from orchidferry.node.client_connection import Accept
from orchidferry.node.clock import now_ms
from orchidferry.node.config import ConfigError
from orchidferry.node.h3 import settings
from orchidferry.node.h3.client_connection import IDLE_S, MAX_STREAMS, Connection
from orchidferry.node.h3.datagram_socket import DESCRIPTORS, DatagramSocket
from orchidferry.node.h3.quic_transport import (
    ALPN,
    CID_LENGTH,
    RESET_TOKEN_BYTES,
    ConnectionIdTable,
    Endpoint,
    ServerQuicConnection,
    reset_token,
)
from orchidferry.node.h3.session import (
    ErrorCode,
)
from orchidferry.node.reply import Reply

SWEEP_S = 0.2  # how often time limits are checked
MAX_TICKETS = 4_096

# Flow control, in bytes: a body, its frames and a reserve
WINDOW = 512 * 1024
STREAM_WINDOW = 128 * 1024

MIN_RESET = (
    43  # bytes of a stray packet that is answered: its reset has to be shorter, and look like a packet
)


class Listener:
    """The UDP socket and all clients' connections; a `FrontendTransport` beside that of HTTP/1.1."""

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
        self._socket: DatagramSocket | None = None
        self.ids: ConnectionIdTable[Connection] = ConnectionIdTable()
        self._connections: dict[Connection, None] = {}
        self._half_open: dict[Connection, None] = {}
        self._first = FirstPacketLimiter(now_ms())
        self._strays = StrayPacketLimiter(now_ms())
        self._retry = QuicRetryTokenHandler()
        self._reset_key = self._derive_reset_key()
        self._tickets: OrderedDict[bytes, SessionTicket] = OrderedDict()
        self._not_accepting = False
        self._empty = asyncio.Event()
        self._configuration = self._load_configuration()

    def _derive_reset_key(self) -> bytes:
        """Derive the key of stateless resets from the private key and the address.

        A node that starts again can so reset the connections of its last incarnation (RFC 9000, section
        10.3.2: one static key). Nodes at other addresses have other keys.
        """
        try:
            secret = self._front.key.read_bytes()
        except OSError as problem:
            raise ConfigError(f"front.key: can't be read: {problem.strerror}") from None
        return hmac.digest(secret, f"stateless reset {self._front.listen}".encode(), "sha256")

    def _load_configuration(self) -> QuicConfiguration:
        """Return the library's settings, with the certificate as it is now.

        :raises ConfigError: if it can't be used.
        """
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=[ALPN],
            idle_timeout=IDLE_S + 2.0,
            max_data=WINDOW,
            max_stream_data=STREAM_WINDOW,
            connection_id_length=CID_LENGTH,
        )
        try:
            configuration.load_cert_chain(str(self._front.certificate), str(self._front.key))
        except Exception as problem:  # the library passes on whatever its parsers raise
            reason = f"{type(problem).__name__}: {problem}".splitlines()[0][:120]
            raise ConfigError(f"front.certificate, front.key: can't be used: {reason}") from None
        return configuration

    async def listen(self, loop: asyncio.AbstractEventLoop) -> Address:
        """Receive datagrams from now on.

        :returns: the address, with the port that was chosen for port 0.
        :raises OSError: if the address can't be used.
        """
        self.loop = loop
        [(family, _, _, _, address), *_] = await loop.getaddrinfo(*self._front.listen, type=socket.SOCK_DGRAM)
        self._socket = DatagramSocket(loop, family, address, self._on_datagram)
        self._sweep()
        host, port = self._socket.address[:2]
        return host, port

    def reload_certificate(self) -> None:
        """Use the certificate as it is on disk now for new connections.

        :raises ConfigError: if it can't be used; the old one is kept.
        """
        self._configuration = self._load_configuration()

    def alt_svc(self, port: int) -> bytes | None:
        """Return the header by which answers in HTTP/1.1 announce this listener (RFC 7838), if they do."""
        return b'h3=":%d"; ma=%d' % (port, self._front.alt_svc_s) if self._front.alt_svc_s else None

    # Datagrams

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram."""
        if self._socket is not None:
            self._socket.sendto(data, peer)

    def _on_datagram(self, data: bytes, peer: Endpoint, arrived_ms: float) -> None:
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
        except ValueError:
            return None
        connection = self.ids.get(header.destination_cid)
        if connection is not None:
            return connection.receive(data, peer, arrived_ms)
        now = now_ms()
        if header.version is None:  # short header: a connection that ended, or was another process's
            return self._answer_stray(header, len(data), peer, now)
        if header.packet_type is QuicPacketType.VERSION_NEGOTIATION or len(data) < SMALLEST_MAX_DATAGRAM_SIZE:
            return None
        if header.version not in self._configuration.supported_versions:
            return self._send_versions(header, peer, now)
        if header.packet_type is QuicPacketType.INITIAL and not self._not_accepting:
            self._first_packet(header, data, peer, arrived_ms, now)
        return None

    def _answer_stray(self, header: Any, size: int, peer: Endpoint, now: float) -> None:
        """Send a stateless reset (RFC 9000, section 10.3).

        :param size: of the datagram, in bytes; the reset is shorter, so that two ends never answer forever.
        """
        if size >= MIN_RESET and self._strays.allows_answer(now):
            noise = bytearray(os.urandom(min(size - 1, MIN_RESET - 1) - RESET_TOKEN_BYTES))
            noise[0] = noise[0] & 0x3F | 0x40
            self.sendto(bytes(noise) + reset_token(self._reset_key, header.destination_cid), peer)

    def _send_versions(self, header: Any, peer: Endpoint, now: float) -> None:
        """Answer a packet of an unknown version with the supported ones (RFC 9000, section 6)."""
        if self._strays.allows_answer(now):
            self.sendto(
                encode_quic_version_negotiation(
                    source_cid=header.destination_cid,
                    destination_cid=header.source_cid,
                    supported_versions=self._configuration.supported_versions,
                ),
                peer,
            )

    def _first_packet(self, header: Any, data: bytes, peer: Endpoint, arrived_ms: float, now: float) -> None:
        """Handle the first packet of a connection: open it, have its address validated, or drop it."""
        original = self._validated_id(header, peer)
        match self._first.decide(len(self._half_open), original is not None, now):
            case FirstPacketDecision.VALIDATE:
                return self._send_retry(header, peer)
            case FirstPacketDecision.DROP:
                return None
        if len(self._connections) >= self._front.connections and not self._evict_idle():
            return None
        quic = ServerQuicConnection(
            self._reset_key,
            MAX_STREAMS,
            configuration=self._configuration,
            original_destination_connection_id=original or header.destination_cid,
            retry_source_connection_id=header.destination_cid if original is not None else None,
            session_ticket_fetcher=self._fetch_ticket,
            session_ticket_handler=self._keep_ticket,
        )
        connection = Connection(self, quic)
        self._connections[connection] = None
        self._half_open[connection] = None
        self.ids.add(header.destination_cid, connection)
        self.ids.add(quic.host_cid, connection)
        connection.receive(data, peer, arrived_ms)
        return None

    def _validated_id(self, header: Any, peer: Endpoint) -> bytes | None:
        """Check the token of a Retry packet (RFC 9000, section 8.1.2).

        :returns: the id that the client used before the retry; None without a valid token.
        """
        if not header.token:
            return None
        try:
            original: bytes = self._retry.validate_token(
                address=peer,
                destination_cid=header.destination_cid,
                token=header.token,
                now=time.monotonic(),
            )
        except ValueError:  # an old one, or one from elsewhere
            return None
        return original

    def _send_retry(self, header: Any, peer: Endpoint) -> None:
        """Have a client prove its address."""
        cid = os.urandom(CID_LENGTH)
        token = self._retry.create_token(
            address=peer,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=cid,
            now=time.monotonic(),
        )
        self.sendto(
            encode_quic_retry(
                version=header.version,
                source_cid=cid,
                destination_cid=header.source_cid,
                original_destination_cid=header.destination_cid,
                retry_token=token,
            ),
            peer,
        )

    def _evict_idle(self) -> bool:
        """Close the connection that is idle for the longest time; return whether there was one."""
        idle = [c for c in self._connections if c.up and not c.streams]
        if idle:
            min(idle, key=lambda c: c.last_received_s).abort(ErrorCode.H3_NO_ERROR)
        return bool(idle)

    # Tickets, for resumption and early data

    def _keep_ticket(self, ticket: SessionTicket) -> None:
        self._tickets[ticket.ticket] = ticket
        if len(self._tickets) > MAX_TICKETS:
            self._tickets.popitem(last=False)

    def _fetch_ticket(self, label: bytes) -> SessionTicket | None:
        return self._tickets.pop(label, None)  # once, so that replayed early data is not read

    # Connections

    def handshake_completed(self, connection: Connection) -> None:
        """Learn that a connection's handshake is done."""
        self._half_open.pop(connection, None)
        # The id that the client chose for its first packets is not used any more.
        self.ids.retire(connection.quic.original_destination_connection_id, connection)

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection."""
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

    # For the node

    def count(self) -> int:
        """Return the number of file descriptors in use, the same for any number of clients."""
        return DESCRIPTORS if self._socket is not None else 0

    def set_not_ready(self) -> None:
        """Announce the node's end to all clients."""
        for connection in list(self._connections):
            connection.set_not_ready()

    def close_listener(self) -> None:
        """Accept no more connections."""
        self._not_accepting = True

    async def close_gracefully(self) -> None:
        """Answer the open requests, accept no more, and close."""
        for connection in list(self._connections):
            connection.close_gracefully()
        await self.wait_closed()

    async def wait_closed(self) -> None:
        """Wait until no client is connected."""
        while self._connections:
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.abort(ErrorCode.H3_NO_ERROR)

    def close(self) -> None:
        """Close all connections and the socket."""
        self.abort()
        if self._socket is not None:
            self._timer.cancel()
            self._socket.close()
            self._socket = None
