"""Datagrams that come before the keys that open them, up to a bound. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.node.h3.quic_transport import Endpoint

MAX_HELD_BYTES = 14_720  # of one connection: a client's initial window (RFC 9002, section 7.2)


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram as it arrived."""

    data: bytes
    peer: Endpoint
    arrived_ms: float  # when it reached this machine, by the node's clock


class HeldDatagrams:
    """What a client sent that is done with the handshake, until this side is, too (RFC 9001, section 5.7).

    If its last datagram of the handshake is lost, what follows waits for that to come again. Kept with the
    time of its arrival it need not come again itself.
    """

    __slots__ = ("_bytes", "_datagrams")

    def __init__(self) -> None:
        self._bytes = 0
        self._datagrams: list[Datagram] = []

    def __len__(self) -> int:
        return len(self._datagrams)

    @property
    def bytes(self) -> int:
        """The size of all of them."""
        return self._bytes

    def hold(self, datagram: Datagram) -> None:
        """Keep a datagram if there is room; else it counts as lost."""
        if self._bytes + len(datagram.data) <= MAX_HELD_BYTES:
            self._datagrams.append(datagram)
            self._bytes += len(datagram.data)

    def take(self) -> list[Datagram]:
        """Return what is held, in its order, and hold nothing any more."""
        taken = self._datagrams
        self._datagrams = []
        self._bytes = 0
        return taken
