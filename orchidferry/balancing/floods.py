"""Rate limits against abuse by peers: handshakes, stray packets, reset and malformed requests.

This module does no I/O and reads no clock. See RFC 9000, sections 8.1 (address validation) and 21.1
(handshake denial of service), and CVE-2023-44487 (rapid reset).
"""

from __future__ import annotations

from enum import Enum

from orchidferry.balancing.token_bucket import TokenBucket

UNVALIDATED_HALF_OPEN = 32  # handshakes in progress from which the client's address must be validated
MAX_HALF_OPEN = 512  # handshakes in progress from which all first packets are dropped
# Handshakes that are started without a validated address
HANDSHAKES_PER_S = 200.0
HANDSHAKE_BURST = 64.0
# Requests per connection that the client may reset before they are answered
RESETS_PER_S = 20.0
RESETS_BURST = 100.0
# Malformed requests per connection
MALFORMED_PER_S = 5.0
MALFORMED_BURST = 20.0
# Replies to packets that belong to no connection
STRAY_PER_S = 100.0
STRAY_BURST = 100.0


class FirstPacketDecision(Enum):
    """What to do with the first packet of a connection."""

    ACCEPT = "start the handshake"
    VALIDATE = "send a Retry packet, so that the sender proves that the address is its own"
    DROP = "do not reply"


class FirstPacketLimiter:
    """Decides which handshakes to start: each costs a signature, which a forged address must not cause."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(HANDSHAKE_BURST, now)

    def decide(self, half_open: int, validated: bool, now: float) -> FirstPacketDecision:
        """Decide what to do with a first packet.

        :param half_open: the number of handshakes in progress
        :param validated: the packet has a valid token from a Retry packet
        """
        if half_open >= MAX_HALF_OPEN:
            return FirstPacketDecision.DROP
        if validated:
            return FirstPacketDecision.ACCEPT
        if half_open >= UNVALIDATED_HALF_OPEN or not self._bucket.take(
            HANDSHAKES_PER_S / 1000.0, HANDSHAKE_BURST, now
        ):
            return FirstPacketDecision.VALIDATE
        return FirstPacketDecision.ACCEPT


class StrayPacketLimiter:
    """Limits replies to packets that belong to no connection: stateless resets and version negotiation."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(STRAY_BURST, now)

    def allows_answer(self, now: float) -> bool:
        """Count a reply, and return whether it is within the limit."""
        return self._bucket.take(STRAY_PER_S / 1000.0, STRAY_BURST, now)


class ConnectionLimits:
    """Limits on wasted work for one connection."""

    def __init__(self, now: float) -> None:
        self._resets = TokenBucket(RESETS_BURST, now)
        self._malformed = TokenBucket(MALFORMED_BURST, now)

    def allows_reset(self, now: float) -> bool:
        """Count a request that was reset before its answer, and return whether that is within the limit."""
        return self._resets.take(RESETS_PER_S / 1000.0, RESETS_BURST, now)

    def allows_malformed(self, now: float) -> bool:
        """Count a malformed request, and return whether that is within the limit."""
        return self._malformed.take(MALFORMED_PER_S / 1000.0, MALFORMED_BURST, now)
