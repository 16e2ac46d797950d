"""The HTTP/3 listener for clients: one UDP socket, the connections on it, and their session tickets.

Limits:

- Connections: at most the setting `connections`. Beyond it, a new connection replaces the one that has been
  idle for the longest time. A connection has `HANDSHAKE_TIMEOUT_S` for its handshake; without open requests
  it is closed after `IDLE_TIMEOUT_S` without a packet.
- Requests: at most `MAX_STREAMS` open ones on each connection. QUIC's stream limit makes further ones wait at
  the client.
- Session tickets: at most `MAX_TICKETS`. Each is valid for one resumption, so early data can't be replayed
  here.
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
from orchidferry.node.h3.client_connection import IDLE_TIMEOUT_S, MAX_STREAMS, Connection
from orchidferry.node.h3.datagram_socket import DESCRIPTORS_PER_SOCKET, DatagramSocket
from orchidferry.node.h3.quic_transport import (
    ALPN,
    CID_LENGTH,
    RESET_TOKEN_BYTES,
    ConnectionIdTable,
    Endpoint,
    ServerQuicConnection,
    reset_token,
)
from orchidferry.node.h3.session import ErrorCode
from orchidferry.node.reply import Reply

SWEEP_S = 0.2  # interval at which the time limits of connections and requests are checked
MAX_TICKETS = 4_096

# Flow-control windows in bytes. That of a stream has room for the largest body, its frames and a reserve.
CONNECTION_WINDOW_BYTES = 512 * 1024
STREAM_WINDOW_BYTES = 128 * 1024

# The smallest stray packet that is answered with a stateless reset. The reset has to be shorter than the
# packet and long enough to look like a packet.
MIN_STRAY_BYTES = 43


class Listener:
    """The UDP socket and the connections of all clients; a `FrontendTransport` beside that of HTTP/1.1."""

    def __init__(
        self,
        front: settings.Front,
        classes: dict[str, api.RequestClass],
        accept: Accept,
        node_page: Callable[[bytes], Reply],
    ) -> None:
        """Create a `Listener`.

        :param front: the settings of the listener.
        :param classes: request classes by name.
        :param accept: passes a request to the node.
        :param node_page: returns the node's own page at a path.
        :raises ConfigError: if the certificate or the key can't be used.
        """
        self.classes = classes
        self.accept = accept
        self.node_page = node_page
        self._front = front
        self.loop: asyncio.AbstractEventLoop
        self._socket: DatagramSocket | None = None
        self.connection_ids: ConnectionIdTable[Connection] = ConnectionIdTable()
        self._connections: dict[Connection, None] = {}
        self._half_open: dict[Connection, None] = {}
        self._first_packet_limiter = FirstPacketLimiter(now_ms())
        self._stray_packet_limiter = StrayPacketLimiter(now_ms())
        self._retry_tokens = QuicRetryTokenHandler()
        self._reset_key = self._derive_reset_key()
        self._tickets: OrderedDict[bytes, SessionTicket] = OrderedDict()
        self._not_accepting = False
        self._no_connections = asyncio.Event()
        self._configuration = self._load_configuration()

    def _derive_reset_key(self) -> bytes:
        """Derive the key of stateless reset tokens from the private key and the listener's address.

        With the same key after a restart, a node can reset the connections of its previous process (RFC 9000,
        section 10.3.2: a single static key). Nodes at other addresses have other keys.
        """
        try:
            secret = self._front.key.read_bytes()
        except OSError as problem:
            raise ConfigError(f"front.key: can't be read: {problem.strerror}") from None
        return hmac.digest(secret, f"stateless reset {self._front.listen}".encode(), "sha256")

    def _load_configuration(self) -> QuicConfiguration:
        """Return the QUIC configuration, with the certificate and key that are on disk now.

        :raises ConfigError: if the certificate or the key can't be used.
        """
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=[ALPN],
            idle_timeout=IDLE_TIMEOUT_S + 2.0,
            max_data=CONNECTION_WINDOW_BYTES,
            max_stream_data=STREAM_WINDOW_BYTES,
            connection_id_length=CID_LENGTH,
        )
        try:
            configuration.load_cert_chain(str(self._front.certificate), str(self._front.key))
        except Exception as problem:  # the library lets any exception of its parsers through
            reason = f"{type(problem).__name__}: {problem}".splitlines()[0][:120]
            raise ConfigError(f"front.certificate, front.key: can't be used: {reason}") from None
        return configuration

    async def listen(self, loop: asyncio.AbstractEventLoop) -> Address:
        """Bind the socket and begin to receive datagrams.

        :returns: the address, with the port that was chosen for port 0.
        :raises OSError: if the address can't be bound.
        """
        self.loop = loop
        [(family, _, _, _, address), *_] = await loop.getaddrinfo(*self._front.listen, type=socket.SOCK_DGRAM)
        self._socket = DatagramSocket(loop, family, address, self._on_datagram)
        self._sweep()
        host, port = self._socket.address[:2]
        return host, port

    def reload_certificate(self) -> None:
        """Load the certificate and key again; new connections use them.

        :raises ConfigError: if they can't be used; the old ones stay in use.
        """
        self._configuration = self._load_configuration()

    def alt_svc(self, port: int) -> bytes | None:
        """Return the `Alt-Svc` header value by which HTTP/1.1 responses announce this listener (RFC 7838).

        :param port: the UDP port of the listener.
        :returns: None if the settings disable the announcement.
        """
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
        connection = self.connection_ids.get(header.destination_cid)
        if connection is not None:
            return connection.receive(data, peer, arrived_ms)
        now = now_ms()
        if header.version is None:  # a short header: of a closed connection, or of a previous process
            return self._send_stateless_reset(header, len(data), peer, now)
        if header.packet_type is QuicPacketType.VERSION_NEGOTIATION or len(data) < SMALLEST_MAX_DATAGRAM_SIZE:
            return None
        if header.version not in self._configuration.supported_versions:
            return self._send_version_negotiation(header, peer, now)
        if header.packet_type is QuicPacketType.INITIAL and not self._not_accepting:
            self._on_first_packet(header, data, peer, arrived_ms, now)
        return None

    def _send_stateless_reset(self, header: Any, size: int, peer: Endpoint, now: float) -> None:
        """Answer a stray packet with a stateless reset (RFC 9000, section 10.3).

        :param size: size of the packet in bytes; the reset is shorter, so that two endpoints can't exchange
            resets forever.
        """
        if size >= MIN_STRAY_BYTES and self._stray_packet_limiter.allows_answer(now):
            packet = bytearray(os.urandom(min(size - 1, MIN_STRAY_BYTES - 1) - RESET_TOKEN_BYTES))
            packet[0] = packet[0] & 0x3F | 0x40
            self.sendto(bytes(packet) + reset_token(self._reset_key, header.destination_cid), peer)

    def _send_version_negotiation(self, header: Any, peer: Endpoint, now: float) -> None:
        """Answer a packet of an unknown QUIC version with the supported versions (RFC 9000, section 6)."""
        if self._stray_packet_limiter.allows_answer(now):
            self.sendto(
                encode_quic_version_negotiation(
                    source_cid=header.destination_cid,
                    destination_cid=header.source_cid,
                    supported_versions=self._configuration.supported_versions,
                ),
                peer,
            )

    def _on_first_packet(
        self, header: Any, data: bytes, peer: Endpoint, arrived_ms: float, now: float
    ) -> None:
        """Handle a client's first packet: open a connection, validate the address, or drop the packet."""
        original_id = self._original_id(header, peer)
        match self._first_packet_limiter.decide(len(self._half_open), original_id is not None, now):
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
            original_destination_connection_id=original_id or header.destination_cid,
            retry_source_connection_id=header.destination_cid if original_id is not None else None,
            session_ticket_fetcher=self._fetch_ticket,
            session_ticket_handler=self._store_ticket,
        )
        connection = Connection(self, quic)
        self._connections[connection] = None
        self._half_open[connection] = None
        self.connection_ids.add(header.destination_cid, connection)
        self.connection_ids.add(quic.host_cid, connection)
        connection.receive(data, peer, arrived_ms)
        return None

    def _original_id(self, header: Any, peer: Endpoint) -> bytes | None:
        """Check the token that the client received in a Retry packet (RFC 9000, section 8.1.2).

        :returns: the destination connection id of the client's first packet, before the Retry; None without a
            valid token.
        """
        if not header.token:
            return None
        try:
            original_id: bytes = self._retry_tokens.validate_token(
                address=peer,
                destination_cid=header.destination_cid,
                token=header.token,
                now=time.monotonic(),
            )
        except ValueError:  # an expired token, or one issued to another address or by another process
            return None
        return original_id

    def _send_retry(self, header: Any, peer: Endpoint) -> None:
        """Send a Retry packet, so that the client proves that it receives packets at its address."""
        cid = os.urandom(CID_LENGTH)
        token = self._retry_tokens.create_token(
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
        """Close the connection that has been idle for the longest time; return whether there was one."""
        idle = [c for c in self._connections if c.up and not c.streams]
        if idle:
            min(idle, key=lambda c: c.last_received_s).abort(ErrorCode.H3_NO_ERROR)
        return bool(idle)

    # Session tickets, for resumption and early data

    def _store_ticket(self, ticket: SessionTicket) -> None:
        self._tickets[ticket.ticket] = ticket
        if len(self._tickets) > MAX_TICKETS:
            self._tickets.popitem(last=False)

    def _fetch_ticket(self, label: bytes) -> SessionTicket | None:
        return self._tickets.pop(label, None)  # valid once, so that replayed early data is not read

    # Connections

    def handshake_completed(self, connection: Connection) -> None:
        """Note that the handshake of a connection is complete."""
        self._half_open.pop(connection, None)
        # The client no longer uses the connection id that it chose for its first packets.
        self.connection_ids.retire(connection.quic.original_destination_connection_id, connection)

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)
        self._half_open.pop(connection, None)
        self.connection_ids.remove_all(connection)
        if not self._connections:
            self._no_connections.set()

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for connection in list(self._connections):
            connection.sweep(now)

    # The interface of `FrontendTransport`

    def count(self) -> int:
        """Return the number of file descriptors in use, which does not depend on the number of clients."""
        return DESCRIPTORS_PER_SOCKET if self._socket is not None else 0

    def set_not_ready(self) -> None:
        """Announce to all clients that the node is shutting down."""
        for connection in list(self._connections):
            connection.set_not_ready()

    def close_listener(self) -> None:
        """Accept no more connections."""
        self._not_accepting = True

    async def close_gracefully(self) -> None:
        """Answer the open requests, accept no new ones, and wait until all connections are closed."""
        for connection in list(self._connections):
            connection.close_gracefully()
        await self.wait_closed()

    async def wait_closed(self) -> None:
        """Wait until no client is connected."""
        while self._connections:
            self._no_connections.clear()
            await self._no_connections.wait()

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
