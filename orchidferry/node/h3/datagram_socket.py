"""A UDP socket that also tells when a datagram arrived, and which peer's port is closed.

Both come from the kernel (Linux): receive time stamps, and the queue of ICMP errors. Where it does not offer
one, datagrams count as just arrived, or no port is ever reported as closed.
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

READS = 64  # datagrams that are read in one iteration of the event loop
DESCRIPTORS = 2  # of one `DatagramSocket`: the socket, and the epoll descriptor around it
ERRORS = 64  # ICMP errors, likewise
MAX_DATAGRAM = 2_048  # bytes; the library sends and takes 1,200 to some 1,500
ANCILLARY_BYTES = 512

# Numbers of Linux that the standard library does not name
SO_TIMESTAMPNS = 35
IP_RECVERR = 11
IPV6_RECVERR = 25

TIMESTAMP = struct.Struct("@ll")  # `struct timespec`: seconds and nanoseconds of Unix time
EXTENDED_ERROR = struct.Struct("@IBBBxII")  # `struct sock_extended_err`: errno, origin, type, code, ...
ICMP_ORIGINS = (2, 3)  # ICMP and ICMPv6

Ancillary = list[tuple[int, int, bytes]]
OnDatagram = Callable[[bytes, Endpoint, float], None]  # data, peer, when it arrived by the node's clock
OnPortClosed = Callable[[bytes, Endpoint], None]  # the datagram that was not delivered, and where it was sent


def _ignore_port_closed(quoted: bytes, peer: Endpoint) -> None:
    """Leave a peer that can't be reached to the time limits of its connection."""


class DatagramSocket:
    """A bound socket that is read by the event loop until it is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        family: int,
        address: Endpoint,
        on_datagram: OnDatagram,
        on_port_closed: OnPortClosed = _ignore_port_closed,
    ) -> None:
        """:raises OSError: if the address can't be used."""
        self._loop = loop
        self._on_datagram = on_datagram
        self._on_port_closed = on_port_closed
        self._emptied_ms = now_ms()  # what is read now arrived later than this
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._set_options()
            self._socket.bind(address)
            # The event loop stops watching a socket that reports an error. An epoll descriptor around it only
            # becomes readable.
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
        """The address that it is bound to."""
        address: Endpoint = self._socket.getsockname()
        return address

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self._socket.fileno() < 0

    def sendto(self, data: bytes, peer: Endpoint) -> None:
        """Send a datagram; one that the kernel does not take counts as lost."""
        try:
            self._socket.sendto(data, peer)
        except (
            ConnectionRefusedError
        ):  # the report on an earlier datagram, of any peer: this one was not sent
            with contextlib.suppress(OSError):
                self._socket.sendto(data, peer)
        except OSError:  # a full buffer, or no route
            return

    def close(self) -> None:
        """Stop reading, and close the socket."""
        if not self.closed:
            self._loop.remove_reader(self._readiness.fileno())
            self._readiness.close()
            self._socket.close()

    def _on_readable(self) -> None:
        self._read_errors()
        for _ in range(READS):
            if self.closed:
                return
            asked_ms = now_ms()
            try:
                data, ancillary, _, peer = self._socket.recvmsg(MAX_DATAGRAM, ANCILLARY_BYTES)
            except ConnectionRefusedError:
                continue  # of a report; it is in the queue of errors
            except OSError:  # nothing more
                self._emptied_ms = asked_ms
                return
            self._on_datagram(data, peer, self._arrived_ms(ancillary))

    def _arrived_ms(self, ancillary: Ancillary) -> float:
        """Return when a datagram arrived, by the node's clock.

        The kernel's stamp is in Unix time, which may be set at any moment, so it only decides within what the
        steady clock allows.
        """
        now = now_ms()
        for level, kind, value in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS) and len(value) == TIMESTAMP.size:
                seconds, nanoseconds = TIMESTAMP.unpack(value)
                age_ms: float = (time.time() - seconds) * 1e3 - nanoseconds / 1e6
                return max(self._emptied_ms, now - max(0.0, age_ms))
        return now

    def _read_errors(self) -> None:
        for _ in range(ERRORS):
            if self.closed:
                return
            try:
                quoted, ancillary, _, peer = self._socket.recvmsg(
                    MAX_DATAGRAM, ANCILLARY_BYTES, socket.MSG_ERRQUEUE
                )
            except OSError:  # no more of them
                return
            if _is_port_closed(ancillary):
                self._on_port_closed(quoted, peer)


def _is_port_closed(ancillary: Ancillary) -> bool:
    """Return whether an error says that nobody listens at a peer's port; other ones may pass."""
    kinds: Any = ((socket.IPPROTO_IP, IP_RECVERR), (socket.IPPROTO_IPV6, IPV6_RECVERR))
    for level, kind, value in ancillary:
        if (level, kind) in kinds and len(value) >= EXTENDED_ERROR.size:
            code, origin, *_ = EXTENDED_ERROR.unpack_from(value)
            return code == errno.ECONNREFUSED and origin in ICMP_ORIGINS
    return False
