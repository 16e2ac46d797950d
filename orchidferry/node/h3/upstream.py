"""Connections to servers in HTTP/3: one a server, and TCP wherever QUIC is not known to work.

`orchidferry.balancing.transports` decides which is used. All connections share one UDP socket for each
address family. A connection ends with its server, after an idle time, or when the server sends GOAWAY; an
attempt on it ends with its own timeout at the latest.
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
from orchidferry.node.h3.datagram_socket import DESCRIPTORS, DatagramSocket
from orchidferry.node.h3.quic_transport import (
    ALPN,
    CID_LENGTH,
    ConnectionIdTable,
    Endpoint,
    is_from,
)
from orchidferry.node.h3.server_connection import ServerConnection
from orchidferry.node.upstream import IDLE_LIMIT_FRACTION, Upstream

HANDSHAKE_S = 2.0  # attempts are sent over TCP meanwhile
SWEEP_S = 0.25  # how often time limits are checked
SILENCE_S = 0.25  # after which a connection is probed while attempts wait on it

# Flow control, in bytes
WINDOW = 1024 * 1024
STREAM_WINDOW = 128 * 1024

log = logging.getLogger("orchidferry")


class Http3Upstream:
    """Sends attempts over QUIC to servers where that works, else over TCP; an `UpstreamTransport`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        tcp: Upstream,
        servers: settings.Servers,
        keepalive_ms: float,
        h3_address: Callable[[int], Address | None],
        seed: int,
    ) -> None:
        self.loop = loop
        self._tcp = tcp
        self._servers = servers
        self._h3_address = h3_address
        self.transports = Transports(random.Random(seed), servers.connections)
        self._idle_s = keepalive_ms * IDLE_LIMIT_FRACTION / 1000.0
        self._connections: dict[int, ServerConnection] = {}  # by server, for new attempts
        self._leaving: dict[ServerConnection, None] = {}  # those that take no more attempts
        self.ids: ConnectionIdTable[ServerConnection] = ConnectionIdTable()
        self._by_peer: dict[Endpoint, dict[ServerConnection, None]] = {}
        self._sockets: dict[int, DatagramSocket] = {}  # by address family
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def configuration(self, address: Address) -> QuicConfiguration:
        """Return the library's settings for a connection to a server."""
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

    # For the node

    def count(self) -> int:
        """Return the number of file descriptors in use."""
        return self._tcp.count() + DESCRIPTORS * len(self._sockets)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt; it may have ended when this returns."""
        server = attempt.server
        address = self._h3_address(attempt.server)
        if address is None or attempt.message.flow is not None:  # long bodies are sent over TCP only
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
        ):  # the server may close it just now
            connection.end()
            return self._tcp.send(attempt, fresh)
        attempt.set_timeout(self._tcp.timers, attempt.timeout_ms / 1000.0)
        connection.send_attempt(attempt)
        return None

    def close_idle(self, server: int) -> None:
        """Close idle connections over TCP, and check one over QUIC with a ping."""
        self._tcp.close_idle(server)
        connection = self._connections.get(server)
        if connection is not None and self.transports.idle_distrusted(server, now_ms()):
            connection.probe()

    def server_removed(self, server: int) -> None:
        """Forget a server that is not listed any more."""
        self._tcp.server_removed(server)
        connection = self._connections.get(server)
        if connection is not None:
            connection.leaving = True
            self.stop_using(connection)
            if not connection.attempts:
                connection.end()
        self.transports.forget(server)

    # Connections

    def _dial(self, server: int, address: Address) -> None:
        try:
            version = ipaddress.ip_address(address[0]).version
        except ValueError:  # a name: looking it up would block the loop
            return
        peer: Endpoint = address if version == 4 else (*address, 0, 0)
        try:
            self._socket(peer)
            connection = ServerConnection(self, server, address, peer)
        except Exception as problem:  # a CA file that can't be read, no socket left
            log.warning("QUIC to servers: %s", problem)
            self.transports.closed(server, now_ms())
            return
        self._connections[server] = connection
        self._by_peer.setdefault(peer, {})[connection] = None
        self.transports.connecting(server)
        connection.connect()

    def _socket(self, peer: Endpoint) -> DatagramSocket:
        family = socket.AF_INET if len(peer) == 2 else socket.AF_INET6
        made = self._sockets.get(family)
        if made is None:
            made = DatagramSocket(self.loop, family, ("", 0), self._on_datagram, self.port_unreachable)
            self._sockets[family] = made
        return made

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram."""
        with contextlib.suppress(OSError):  # no socket left: for QUIC a lost packet
            self._socket(peer).sendto(data, peer)

    def _on_datagram(self, data: bytes, peer: Endpoint, _arrived_ms: float) -> None:
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=CID_LENGTH)
        except ValueError:
            return None
        connection = self.ids.get(header.destination_cid)
        if connection is not None and connection.peer == peer:
            return connection.receive(data)
        for other in list(self._by_peer.get(peer, ())):
            if other.reset_by(data):
                return other.reset()
        return None

    def port_unreachable(self, quoted: bytes, peer: Endpoint) -> None:
        """Learn that nobody listens at a peer's port: connections there are lost, as by a reset of TCP.

        :param quoted: the datagram that was not delivered; one with another connection's id proves nothing
            (RFC 9000, section 14.2.1).
        """
        for connection in list(self._by_peer.get(peer, ())):
            if is_from(connection.quic, quoted):
                connection.reset()

    def stop_using(self, connection: ServerConnection) -> None:
        """Send no more attempts on a connection; another one may be opened beside it."""
        if self._connections.get(connection.server) is connection:
            del self._connections[connection.server]
            self._leaving[connection] = None
            self.transports.closed(connection.server, now_ms(), orderly=True)

    def connection_closed(self, connection: ServerConnection, orderly: bool) -> None:
        """Forget a connection.

        :param orderly: False if it did not work, so that TCP is used for a while.
        """
        self.ids.end(connection)
        others = self._by_peer.get(connection.peer, {})
        others.pop(connection, None)
        if not others:
            self._by_peer.pop(connection.peer, None)
        self._leaving.pop(connection, None)
        if self._connections.get(connection.server) is connection:
            del self._connections[connection.server]
            self.transports.closed(connection.server, now_ms(), orderly)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for connection in [*self._connections.values(), *self._leaving]:
            if not connection.up and now - connection.began_s > HANDSHAKE_S:
                connection.end(orderly=False)
            elif connection.up and not connection.attempts and now - connection.last_sent_s > self._idle_s:
                connection.end()
            elif self.transports.is_dead(connection.server, now_ms()) and connection not in self._leaving:
                connection.end(orderly=False)
            elif connection.attempts and now - connection.last_received_s > SILENCE_S:
                connection.probe()  # a server that has gone would never be noticed while nothing is sent

    def close(self) -> None:
        """Close all connections and sockets."""
        self._tcp.close()
        self._timer.cancel()
        for connection in [*self._connections.values(), *self._leaving]:
            connection.end()
        for sock in self._sockets.values():
            sock.close()
        self._sockets.clear()
