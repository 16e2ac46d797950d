"""The UDP socket of HTTP/3: times of arrival of datagrams, and reports of closed ports."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Iterator

import pytest

from orchidferry.node.clock import now_ms
from orchidferry.node.h3 import datagram_socket
from orchidferry.node.h3.datagram_socket import EXTENDED_ERROR, DatagramSocket
from orchidferry.node.h3.quic_transport import Endpoint
from tests.node.peers import LIMIT_S, run, until

BLOCKED_S = 0.1  # time for which the event loop is blocked while a datagram waits in the socket
PROBE_WAIT_S = (
    0.002  # time for which a datagram waits before it is read, to see whether its timestamp is older
)
LOCAL = ("127.0.0.1", 0)


class Receiver:
    """A socket that records its datagrams and the closed ports that it reports."""

    def __init__(self) -> None:
        self.datagrams: list[tuple[bytes, float]] = []  # data, and age in milliseconds when handled
        self.closed_ports: list[tuple[bytes, Endpoint]] = []  # undelivered datagram, and its destination
        self.socket = DatagramSocket(
            asyncio.get_running_loop(),
            socket.AF_INET,
            LOCAL,
            lambda data, _, arrived_ms: self.datagrams.append((data, now_ms() - arrived_ms)),
            lambda quoted, peer: self.closed_ports.append((quoted, peer)),
        )

    async def wait_for_reports(self, count: int) -> None:
        """Wait until the number of reports of closed ports is `count`."""
        await until(lambda: len(self.closed_ports) == count)


@contextlib.contextmanager
def open_receiver() -> Iterator[Receiver]:
    receiver = Receiver()
    try:
        yield receiver
    finally:
        receiver.socket.close()


@contextlib.contextmanager
def arrival_timestamps() -> Iterator[None]:
    """Wait until the kernel timestamps datagrams on arrival, and keep that enabled.

    The kernel begins some time after the first socket of the machine has requested timestamps; until then it
    timestamps a datagram when it is read.
    """
    with contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as probe:
        probe.setsockopt(socket.SOL_SOCKET, datagram_socket.SO_TIMESTAMPNS, 1)
        probe.bind(LOCAL)
        age_s = 0.0
        began_s = time.monotonic()
        while age_s < PROBE_WAIT_S:
            assert time.monotonic() - began_s < LIMIT_S
            probe.sendto(b"probe", probe.getsockname())
            time.sleep(PROBE_WAIT_S)
            [(_, _, stamp)] = probe.recvmsg(100, datagram_socket.ANCILLARY_BYTES)[1]
            seconds, nanoseconds = datagram_socket.TIMESTAMP.unpack(stamp)
            age_s = time.time() - seconds - nanoseconds / 1e9
        yield


@pytest.mark.parametrize(
    ("clock_step_s", "min_age_ms", "max_age_ms"),
    [(0.0, 100.0, 10_000.0), (3600.0, 100.0, 10_000.0), (-3600.0, 0.0, 1.0)],
    ids=["clock not set", "clock set forward", "clock set back"],
)
def test_the_age_of_a_datagram_does_not_depend_on_changes_of_the_system_clock(
    monkeypatch: pytest.MonkeyPatch, clock_step_s: float, min_age_ms: float, max_age_ms: float
) -> None:
    """Setting the system clock never makes a datagram older than the time since the socket was last empty."""

    async def test() -> None:
        with (
            arrival_timestamps(),
            open_receiver() as receiver,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            began_ms = now_ms()
            sender.sendto(b"late", receiver.socket.address)
            time.sleep(BLOCKED_S)  # blocks the event loop
            unix_time = time.time
            monkeypatch.setattr(time, "time", lambda: unix_time() + clock_step_s)
            await until(lambda: bool(receiver.datagrams))
            [(data, age_ms)] = receiver.datagrams
            assert data == b"late" and min_age_ms <= age_ms <= max_age_ms
            assert age_ms <= now_ms() - began_ms + 50.0 + BLOCKED_S  # at most the age of the socket

    run(test())


def test_a_closed_port_is_reported_with_the_undelivered_datagram_and_reading_continues() -> None:
    async def test() -> None:
        with open_receiver() as receiver, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as closed:
                closed.bind(LOCAL)
                peer = closed.getsockname()
            for n in range(3):
                receiver.socket.sendto(b"to nobody %d" % n, peer)
                await receiver.wait_for_reports(n + 1)
            assert receiver.closed_ports == [(b"to nobody %d" % n, peer) for n in range(3)]
            sender.bind(LOCAL)
            sender.setblocking(False)
            receiver.socket.sendto(b"again", peer)  # the ICMP error for it must not prevent the next datagram
            receiver.socket.sendto(b"hello", sender.getsockname())
            assert sender.recv(100) == b"hello"
            sender.sendto(b"answer", receiver.socket.address)
            await until(lambda: [data for data, _ in receiver.datagrams] == [b"answer"])

    run(test())


@pytest.mark.parametrize(
    ("code", "origin", "closed"),
    [(errno.ECONNREFUSED, 2, True), (errno.ECONNREFUSED, 1, False), (errno.EHOSTUNREACH, 2, False)],
    ids=["port unreachable", "not from the network", "host unreachable"],
)
def test_only_an_unreachable_port_is_reported_as_closed(code: int, origin: int, closed: bool) -> None:
    error = EXTENDED_ERROR.pack(code, origin, 3, 3, 0, 0)
    ancillary = [(socket.IPPROTO_IP, datagram_socket.IP_RECVERR, error)]
    assert datagram_socket._is_port_closed(ancillary) is closed
