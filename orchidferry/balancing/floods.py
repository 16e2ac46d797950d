"""Limits on what peers may cost: handshakes, stray packets, reset and malformed requests. No I/O, no clock.

RFC 9000 section 8.1 (address validation), 21.1 (handshake denial of service); CVE-2023-44487 (rapid reset).
"""

from __future__ import annotations

from enum import Enum

from orchidferry.balancing.token_bucket import TokenBucket

UNVALIDATED_HALF_OPEN = 32  # handshakes under way up to which an address need not be validated
MAX_HALF_OPEN = 512  # and from which first packets are dropped in any case
# Handshakes that are begun without a validated address
HANDSHAKES_PER_S = 200.0
HANDSHAKE_BURST = 64.0
# Requests that a connection may reset before they are answered
RESETS_PER_S = 20.0
RESETS_BURST = 100.0
# Malformed requests of a connection
MALFORMED_PER_S = 5.0
MALFORMED_BURST = 20.0
# Answers to packets that belong to no connection
STRAY_PER_S = 100.0
STRAY_BURST = 100.0


class FirstPacketDecision(Enum):
    """What to do with the first packet of a connection."""

    ACCEPT = "begin the handshake"
    VALIDATE = "send a Retry: its sender has to show that the address is its own"
    DROP = "say nothing"


class FirstPacketLimiter:
    """Decides which handshakes are begun: each costs a signature, so a forged address must get none."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(HANDSHAKE_BURST, now)

    def decide(self, half_open: int, validated: bool, now: float) -> FirstPacketDecision:
        """What to do with a first packet.

        :param half_open: handshakes under way
        :param validated: the packet bears a valid token of a Retry
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
    """Limits answers to packets of no connection: stateless resets and version negotiations."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(STRAY_BURST, now)

    def allows_answer(self, now: float) -> bool:
        """Count an answer; whether it is within the limit."""
        return self._bucket.take(STRAY_PER_S / 1000.0, STRAY_BURST, now)


class ConnectionLimits:
    """What one connection may do to waste work."""

    def __init__(self, now: float) -> None:
        self._resets = TokenBucket(RESETS_BURST, now)
        self._malformed = TokenBucket(MALFORMED_BURST, now)

    def allows_reset(self, now: float) -> bool:
        """Count a request that was reset unanswered; whether that is within the limit."""
        return self._resets.take(RESETS_PER_S / 1000.0, RESETS_BURST, now)

    def allows_malformed(self, now: float) -> bool:
        """Count a malformed request; whether that is within the limit."""
        return self._malformed.take(MALFORMED_PER_S / 1000.0, MALFORMED_BURST, now)
