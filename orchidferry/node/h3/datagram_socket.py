"""A UDP socket that also reports when each datagram arrived, and which peers' ports are closed.

Both come from the Linux kernel: receive timestamps, and the error queue with ICMP errors. Without timestamps
a datagram counts as having arrived when it is read; without the error queue no port is reported as closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from orchidferry.node.clock import now_ms
from orchidferry.node.h3.quic_transport import Endpoint

MAX_READS = 64  # datagrams that are read in one iteration of the event loop
DESCRIPTORS_PER_SOCKET = 2  # one `DatagramSocket` uses a socket, and an epoll instance that watches it
MAX_ERRORS = 64  # ICMP errors that are read in one iteration of the event loop
MAX_DATAGRAM = 2_048  # bytes; the library sends and receives datagrams of 1,200 to about 1,500 bytes
ANCILLARY_BYTES = 512  # buffer size for ancillary data

# Linux socket options that the standard library does not name
SO_TIMESTAMPNS = 35
IP_RECVERR = 11
IPV6_RECVERR = 25

TIMESTAMP = struct.Struct("@ll")  # `struct timespec`: seconds and nanoseconds of Unix time
EXTENDED_ERROR = struct.Struct("@IBBBxII")  # `struct sock_extended_err`: errno, origin, type, code, ...
ICMP_ORIGINS = (2, 3)  # SO_EE_ORIGIN_ICMP and SO_EE_ORIGIN_ICMP6

Ancillary = list[tuple[int, int, bytes]]
OnDatagram = Callable[[bytes, Endpoint, float], None]  # data, its sender, time of arrival by the node's clock
OnPortClosed = Callable[[bytes, Endpoint], None]  # the undelivered datagram, and the peer that it was sent to


def _ignore_port_closed(quoted: bytes, peer: Endpoint) -> None:
    """Do nothing: the time limits of its connection deal with an unreachable peer."""


class DatagramSocket:
    """A bound UDP socket that the event loop reads until it is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        family: int,
        address: Endpoint,
        on_datagram: OnDatagram,
        on_port_closed: OnPortClosed = _ignore_port_closed,
    ) -> None:
        """Bind the socket and begin to read it.

        :param family: the address family, such as `socket.AF_INET`.
        :param address: the local address.
        :param on_datagram: handles a received datagram.
        :param on_port_closed: handles an ICMP "port unreachable".
        :raises OSError: if the address can't be bound.
        """
        self._loop = loop
        self._on_datagram = on_datagram
        self._on_port_closed = on_port_closed
        self._emptied_ms = now_ms()  # when the socket was last empty: unread datagrams arrived after it
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._set_options()
            self._socket.bind(address)
            # The event loop stops watching a socket with an error. An epoll instance that watches the socket
            # only becomes readable.
            self._readiness = select.epoll()
        except OSError:
            self._socket.close()
            raise
        self._readiness.register(self._socket.fileno(), select.EPOLLIN)
        loop.add_reader(self._readiness.fileno(), self._on_readable)

    def _set_options(self) -> None:
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        with contextlib.suppress(OSError):
            if self._socket.family == socket.AF_INET:
                self._socket.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
            else:
                self._socket.setsockopt(socket.IPPROTO_IPV6, IPV6_RECVERR, 1)

    @property
    def address(self) -> Endpoint:
        """The local address that the socket is bound to."""
        address: Endpoint = self._socket.getsockname()
        return address

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self._socket.fileno() < 0

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram; if the kernel does not accept it, it counts as lost."""
        try:
            self._socket.sendto(data, peer)
        except ConnectionRefusedError:
            # A pending error of an earlier datagram to any peer; this datagram was not sent.
            with contextlib.suppress(OSError):
                self._socket.sendto(data, peer)
        except OSError:  # such as a full send buffer or no route
            return

    def close(self) -> None:
        """Stop reading and close the socket."""
        if not self.closed:
            self._loop.remove_reader(self._readiness.fileno())
            self._readiness.close()
            self._socket.close()

    def _on_readable(self) -> None:
        self._read_errors()
        for _ in range(MAX_READS):
            if self.closed:
                return
            read_ms = now_ms()
            try:
                data, ancillary, _, peer = self._socket.recvmsg(MAX_DATAGRAM, ANCILLARY_BYTES)
            except ConnectionRefusedError:
                continue  # a pending ICMP error, which is read from the error queue
            except OSError:  # the socket is empty
                self._emptied_ms = read_ms
                return
            self._on_datagram(data, peer, self._arrived_ms(ancillary))

    def _arrived_ms(self, ancillary: Ancillary) -> float:
        """Return when a datagram arrived, by the node's clock.

        The kernel's timestamp is in Unix time, and the system clock may be set at any moment. So the result
        is limited to the time between the last moment at which the socket was empty and now, by the monotonic
        clock.
        """
        now = now_ms()
        for level, kind, value in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(value) == TIMESTAMP.size:
                seconds, nanoseconds = TIMESTAMP.unpack(value)
                age_ms: float = (time.time() - seconds) * 1e3 - nanoseconds / 1e6
                return max(self._emptied_ms, now - max(0.0, age_ms))
        return now

    def _read_errors(self) -> None:
        for _ in range(MAX_ERRORS):
            if self.closed:
                return
            try:
                quoted, ancillary, _, peer = self._socket.recvmsg(
                    MAX_DATAGRAM, ANCILLARY_BYTES, socket.MSG_ERRQUEUE
                )
            except OSError:  # the error queue is empty
                return
            if _is_port_closed(ancillary):
                self._on_port_closed(quoted, peer)


def _is_port_closed(ancillary: Ancillary) -> bool:
    """Return whether an ICMP error means that a peer's port is closed; other errors may be temporary."""
    kinds: Any = ((socket.IPPROTO_IP, IP_RECVERR), (socket.IPPROTO_IPV6, IPV6_RECVERR))
    for level, kind, value in ancillary:
        if (level, kind) in kinds and len(value) >= EXTENDED_ERROR.size:
            code, origin, *_ = EXTENDED_ERROR.unpack_from(value)
            return code == errno.ECONNREFUSED and origin in ICMP_ORIGINS
    return False
