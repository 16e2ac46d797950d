"""A bounded buffer for datagrams that arrive before the keys that decrypt them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.node.h3.quic_transport import Endpoint

MAX_HELD_BYTES = 14_720  # limit per connection: a client's initial congestion window (RFC 9002, section 7.2)


@dataclass(frozen=True, slots=True)
class Datagram:
    """A received datagram."""

    data: bytes
    peer: Endpoint
    arrived_ms: float  # when it reached this machine, by the node's clock


class HeldDatagrams:
    """1-RTT datagrams of a client, held until the server's handshake is complete (RFC 9001, section 5.7).

    If the client's last datagram of the handshake is lost, the following ones can be decrypted only after it
    has been resent. As they are held, with their times of arrival, the client need not resend them too.
    """

    __slots__ = ("_bytes", "_datagrams")

    def __init__(self) -> None:
        self._bytes = 0
        self._datagrams: list[Datagram] = []

    def __len__(self) -> int:
        return len(self._datagrams)

    @property
    def bytes(self) -> int:
        """The total size of the held datagrams."""
        return self._bytes

    def hold(self, datagram: Datagram) -> None:
        """Hold a datagram if there is room; else drop it, so that it counts as lost."""
        if self._bytes + len(datagram.data) <= MAX_HELD_BYTES:
            self._datagrams.append(datagram)
            self._bytes += len(datagram.data)

    def take(self) -> list[Datagram]:
        """Remove and return the held datagrams, in order of arrival."""
        taken = self._datagrams
        self._datagrams = []
        self._bytes = 0
        return taken
