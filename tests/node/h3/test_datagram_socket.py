"""A UDP socket: when its datagrams arrived, and which peers' ports are closed."""

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

BLOCKED_S = 0.1
PROBE_WAIT_S = 0.002
LOCAL = ("127.0.0.1", 0)


class Receiver:
    """Notes what a socket reports."""

    def __init__(self) -> None:
        self.datagrams: list[tuple[bytes, float]] = []
        self.closed: list[tuple[bytes, Endpoint]] = []
        self.socket = DatagramSocket(
            asyncio.get_running_loop(),
            socket.AF_INET,
            LOCAL,
            lambda data, _, arrived_ms: self.datagrams.append((data, now_ms() - arrived_ms)),
            lambda quoted, peer: self.closed.append((quoted, peer)),
        )

    async def reports(self, count: int) -> None:
        """Wait until so many ports were reported as closed."""
        await until(lambda: len(self.closed) == count)


@contextlib.contextmanager
def receiver() -> Iterator[Receiver]:
    made = Receiver()
    try:
        yield made
    finally:
        made.socket.close()


@contextlib.contextmanager
def stamped_arrivals() -> Iterator[None]:
    """Wait until the kernel stamps datagrams when they arrive, and keep it at that.

    It begins some time after the first socket of the machine has asked for it; until then a datagram is
    stamped when it is read.
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
    ("clock_step_s", "least_ms", "most_ms"),
    [(0.0, 100.0, 10_000.0), (3600.0, 100.0, 10_000.0), (-3600.0, 0.0, 1.0)],
    ids=["clock runs on", "clock set forward", "clock set back"],
)
def test_the_age_of_a_datagram_is_known_whatever_the_time_of_day_does(
    monkeypatch: pytest.MonkeyPatch, clock_step_s: float, least_ms: float, most_ms: float
) -> None:
    """A step of the clock never makes it older than the time since the socket was empty."""

    async def test() -> None:
        with (
            stamped_arrivals(),
            receiver() as made,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            began_ms = now_ms()
            sender.sendto(b"late", made.socket.address)
            time.sleep(BLOCKED_S)  # in the event loop
            unix = time.time
            monkeypatch.setattr(time, "time", lambda: unix() + clock_step_s)
            await until(lambda: bool(made.datagrams))
            [(data, age_ms)] = made.datagrams
            assert data == b"late" and least_ms <= age_ms <= most_ms
            assert age_ms <= now_ms() - began_ms + 50.0 + BLOCKED_S  # since the socket was made

    run(test())


def test_a_closed_port_is_reported_with_the_datagram_and_reading_goes_on() -> None:
    async def test() -> None:
        with receiver() as made, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as gone:
                gone.bind(LOCAL)
                peer = gone.getsockname()
            for n in range(3):
                made.socket.sendto(b"to nobody %d" % n, peer)
                await made.reports(n + 1)
            assert made.closed == [(b"to nobody %d" % n, peer) for n in range(3)]
            sender.bind(LOCAL)
            sender.setblocking(False)
            made.socket.sendto(b"again", peer)  # its report must not cost the next datagram
            made.socket.sendto(b"hello", sender.getsockname())
            assert sender.recv(100) == b"hello"
            sender.sendto(b"answer", made.socket.address)
            await until(lambda: [data for data, _ in made.datagrams] == [b"answer"])

    run(test())


@pytest.mark.parametrize(
    ("code", "origin", "closed"),
    [(errno.ECONNREFUSED, 2, True), (errno.ECONNREFUSED, 1, False), (errno.EHOSTUNREACH, 2, False)],
    ids=["port unreachable", "not from the network", "host unreachable"],
)
def test_only_an_unreachable_port_counts(code: int, origin: int, closed: bool) -> None:
    error = EXTENDED_ERROR.pack(code, origin, 3, 3, 0, 0)
    ancillary = [(socket.IPPROTO_IP, datagram_socket.IP_RECVERR, error)]
    assert datagram_socket._is_port_closed(ancillary) is closed
