"""HTTP/3 to servers: one QUIC connection for each server, and TCP wherever QUIC is not known to work.

`orchidferry.balancing.transports` chooses between the two. All connections of an address family share one UDP
socket. A connection is closed when its server is removed from the list, when it has been idle for too long,
or after the server has sent GOAWAY. An attempt ends at its own timeout at the latest.
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

from aioquic.buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import pull_quic_header

from orchidferry.balancing.transports import Transport, Transports
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt
from orchidferry.node.clock import now_ms
from orchidferry.node.h3 import settings
from orchidferry.node.h3.datagram_socket import DESCRIPTORS_PER_SOCKET, DatagramSocket
from orchidferry.node.h3.quic_transport import (
    ALPN,
    CID_LENGTH,
    ConnectionIdTable,
    Endpoint,
    was_sent_by,
)
from orchidferry.node.h3.server_connection import ServerConnection
from orchidferry.node.upstream import IDLE_LIMIT_FRACTION, Upstream

HANDSHAKE_TIMEOUT_S = 2.0  # attempts are sent over TCP during the handshake
SWEEP_S = 0.25  # interval at which the time limits of connections are checked
PROBE_AFTER_SILENCE_S = 0.25  # silence after which a connection with unanswered attempts is probed

# Flow-control windows in bytes
CONNECTION_WINDOW_BYTES = 1024 * 1024
STREAM_WINDOW_BYTES = 128 * 1024

log = logging.getLogger("orchidferry")


class Http3Upstream:
    """An `UpstreamTransport` that sends attempts over QUIC to servers where QUIC works, and else over TCP."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        tcp: Upstream,
        servers: settings.Servers,
        keepalive_ms: float,
        h3_address: Callable[[int], Address | None],
        seed: int,
    ) -> None:
        """Create an `Http3Upstream`.

        :param tcp: the connections over TCP.
        :param servers: the settings of HTTP/3 connections to servers.
        :param keepalive_ms: how long servers keep an idle connection.
        :param h3_address: returns the HTTP/3 address of a server by its id; None if it supports only TCP.
        :param seed: of the backoff's jitter.
        """
        self.loop = loop
        self._tcp = tcp
        self._servers = servers
        self._h3_address = h3_address
        self.transports = Transports(random.Random(seed), servers.connections)
        # Idle time after which a connection is closed, before its server closes it
        self._idle_s = keepalive_ms * IDLE_LIMIT_FRACTION / 1000.0
        self._connections: dict[int, ServerConnection] = {}  # by server id, open to new attempts
        self._shutting_down: dict[ServerConnection, None] = {}  # only finishing open attempts
        self.connection_ids: ConnectionIdTable[ServerConnection] = ConnectionIdTable()
        self._by_peer: dict[Endpoint, dict[ServerConnection, None]] = {}  # by a server's UDP address
        self._sockets: dict[int, DatagramSocket] = {}  # sockets by address family
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def configuration(self, address: Address) -> QuicConfiguration:
        """Return the QUIC configuration for a connection to a server."""
        name = self._servers.name or address[0]
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=[ALPN],
            server_name=name,
            max_data=CONNECTION_WINDOW_BYTES,
            max_stream_data=STREAM_WINDOW_BYTES,
            idle_timeout=self._idle_s * 2.0,
            connection_id_length=CID_LENGTH,
        )
        if self._servers.ca is not None:
            configuration.load_verify_locations(str(self._servers.ca))
        return configuration

    # The interface of `UpstreamTransport`

    def count(self) -> int:
        """Return the number of file descriptors in use."""
        return self._tcp.count() + DESCRIPTORS_PER_SOCKET * len(self._sockets)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt; it may have ended when this returns.

        :param fresh: the attempt must not be lost to a connection that has failed unnoticed: over TCP it is
            sent on a new connection, over QUIC only on one that has received something recently.
        """
        server = attempt.server
        address = self._h3_address(attempt.server)
        if address is None or attempt.message.flow is not None:  # long bodies are streamed over TCP only
            return self._tcp.send(attempt, fresh)
        choice = self.transports.choose(server, now_ms(), unrepeatable=fresh)
        if choice.connect:
            self._dial(server, address)
        connection = self._connections.get(server)
        if (
            choice.transport is Transport.TCP
            or connection is None
            or connection.address != address
            or not connection.can_send()
        ):
            return self._tcp.send(attempt, fresh)
        if (
            time.monotonic() - max(connection.last_received_s, connection.last_sent_s) > self._idle_s
        ):  # the server may be closing the idle connection at this moment
            connection.close()
            return self._tcp.send(attempt, fresh)
        attempt.set_timeout(self._tcp.timers, attempt.timeout_ms / 1000.0)
        connection.send_attempt(attempt)
        return None

    def close_idle(self, server: int) -> None:
        """Close the idle TCP connections to a server, and check its QUIC connection with a PING."""
        self._tcp.close_idle(server)
        connection = self._connections.get(server)
        if connection is not None and self.transports.idle_distrusted(server, now_ms()):
            connection.probe()

    def server_removed(self, server: int) -> None:
        """Forget a server that is no longer listed; its open attempts may still finish."""
        self._tcp.server_removed(server)
        connection = self._connections.get(server)
        if connection is not None:
            connection.shutting_down = True
            self.stop_using(connection)
            if not connection.attempts:
                connection.close()
        self.transports.forget(server)

    # Connections

    def _dial(self, server: int, address: Address) -> None:
        try:
            version = ipaddress.ip_address(address[0]).version
        except ValueError:  # a host name: resolving it would block the event loop
            return
        peer: Endpoint = address if version == 4 else (*address, 0, 0)
        try:
            self._socket_for(peer)
            connection = ServerConnection(self, server, address, peer)
        except Exception as problem:  # such as an unreadable CA file, or no file descriptor left
            log.warning("cannot open a QUIC connection to server %s:%d: %s", *address, problem)
            self.transports.closed(server, now_ms())
            return
        self._connections[server] = connection
        self._by_peer.setdefault(peer, {})[connection] = None
        self.transports.connecting(server)
        connection.connect()

    def _socket_for(self, peer: Endpoint) -> DatagramSocket:
        family = socket.AF_INET if len(peer) == 2 else socket.AF_INET6
        sock = self._sockets.get(family)
        if sock is None:
            sock = DatagramSocket(self.loop, family, ("", 0), self._on_datagram, self.port_unreachable)
            self._sockets[family] = sock
        return sock

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram."""
        with contextlib.suppress(OSError):  # no file descriptor left: to QUIC the datagram is lost
            self._socket_for(peer).sendto(data, peer)

    def _on_datagram(self, data: bytes, peer: Endpoint, _arrived_ms: float) -> None:
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
        except ValueError:
            return None
        connection = self.connection_ids.get(header.destination_cid)
        if connection is not None and connection.peer == peer:
            return connection.receive(data)
        for candidate in list(self._by_peer.get(peer, ())):
            if candidate.is_stateless_reset(data):
                return candidate.on_reset()
        return None

    def port_unreachable(self, quoted: bytes, peer: Endpoint) -> None:
        """Handle an ICMP "port unreachable": connections to that peer are lost, as with a TCP reset.

        :param quoted: the undelivered datagram that the ICMP message quotes. A connection is lost only if the
            datagram bears its connection id; a message without it may be forged (RFC 9000, section 14.2.1).
        :param peer: the address that the datagram was sent to.
        """
        for connection in list(self._by_peer.get(peer, ())):
            if was_sent_by(connection.quic, quoted):
                connection.on_reset()

    def stop_using(self, connection: ServerConnection) -> None:
        """Send no new attempts on a connection; another connection to its server may be opened meanwhile."""
        if self._connections.get(connection.server) is connection:
            del self._connections[connection.server]
            self._shutting_down[connection] = None
            self.transports.closed(connection.server, now_ms(), orderly=True)

    def connection_closed(self, connection: ServerConnection, orderly: bool) -> None:
        """Forget a connection.

        :param orderly: False if the connection failed: TCP is then used for the backoff time.
        """
        self.connection_ids.remove_all(connection)
        peer_connections = self._by_peer.get(connection.peer, {})
        peer_connections.pop(connection, None)
        if not peer_connections:
            self._by_peer.pop(connection.peer, None)
        self._shutting_down.pop(connection, None)
        if self._connections.get(connection.server) is connection:
            del self._connections[connection.server]
            self.transports.closed(connection.server, now_ms(), orderly)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for connection in [*self._connections.values(), *self._shutting_down]:
            if not connection.up and now - connection.created_s > HANDSHAKE_TIMEOUT_S:
                connection.close(orderly=False)
            elif connection.up and not connection.attempts and now - connection.last_sent_s > self._idle_s:
                connection.close()
            elif (
                self.transports.is_dead(connection.server, now_ms()) and connection not in self._shutting_down
            ):
                connection.close(orderly=False)
            elif connection.attempts and now - connection.last_received_s > PROBE_AFTER_SILENCE_S:
                connection.probe()  # as long as nothing is sent, a crashed server would go unnoticed

    def close(self) -> None:
        """Close all connections and sockets."""
        self._tcp.close()
        self._timer.cancel()
        for connection in [*self._connections.values(), *self._shutting_down]:
            connection.close()
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()
