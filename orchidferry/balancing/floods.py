"""What a peer may cost before it is turned away: first packets, and requests taken back. No I/O, no clock.

RFC 9000 section 8.1 (address validation), 21.1 (handshake denial of service); CVE-2023-44487 (rapid reset).
"""

from __future__ import annotations

from enum import Enum

from orchidferry.balancing.token_bucket import TokenBucket

HALF_OPEN_FREE = 32  # handshakes under way up to which an address is believed without proof
MAX_HALF_OPEN = 512  # and past which first packets are dropped, proof or not
# handshakes a second that are begun without proof, and so many at once
PER_S = 200.0
BURST = 64.0
# requests that a connection may take back unanswered
RESETS_PER_S = 20.0
RESETS_BURST = 100.0
# and that may be malformed
MALFORMED_PER_S = 5.0
MALFORMED_BURST = 20.0
# answers to packets that belong to no connection
STRAY_PER_S = 100.0
STRAY_BURST = 100.0


class First(Enum):
    """What becomes of a first packet."""

    TAKE = "begin the handshake"
    VALIDATE = "send a Retry: its sender has to show that the address is its own"
    DROP = "say nothing"


class FirstPackets:
    """Whether handshakes are begun. A handshake costs a signature; whoever can't be reached gets none."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(BURST, now)

    def decide(self, half_open: int, validated: bool, now: float) -> First:
        """For a first packet, with so many handshakes under way; `validated`: it bears a good token."""
        if half_open >= MAX_HALF_OPEN:
            return First.DROP
        if validated:
            return First.TAKE
        if half_open >= HALF_OPEN_FREE or not self._bucket.take(PER_S / 1000.0, BURST, now):
            return First.VALIDATE
        return First.TAKE


class Strays:
    """Whether a packet of no connection is answered (a stateless reset, a version negotiation)."""

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(STRAY_BURST, now)

    def answered(self, now: float) -> bool:
        return self._bucket.take(STRAY_PER_S / 1000.0, STRAY_BURST, now)


class Patience:
    """What one connection may do to waste work; False once it has done so too often."""

    def __init__(self, now: float) -> None:
        self._resets, self._malformed = TokenBucket(RESETS_BURST, now), TokenBucket(MALFORMED_BURST, now)

    def reset(self, now: float) -> bool:
        """It took back a request that was not answered."""
        return self._resets.take(RESETS_PER_S / 1000.0, RESETS_BURST, now)

    def malformed(self, now: float) -> bool:
        """It sent one that can't be read."""
        return self._malformed.take(MALFORMED_PER_S / 1000.0, MALFORMED_BURST, now)
