"""Token buckets. Times are milliseconds of one monotonic clock."""

from __future__ import annotations


class TokenBucket:
    """Tokens that arrive at a rate, up to a capacity; both are given with each call, as they may change."""

    __slots__ = ("_refilled_ms", "tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self._refilled_ms = now

    def refill(self, tokens_per_ms: float, capacity: float, now: float) -> float:
        """Add what has arrived since the last call; the tokens that there are."""
        self.tokens = min(capacity, self.tokens + tokens_per_ms * (now - self._refilled_ms))
        self._refilled_ms = now
        return self.tokens

    def take(self, tokens_per_ms: float, capacity: float, now: float) -> bool:
        """Take a token, if there is one."""
        if self.refill(tokens_per_ms, capacity, now) < 1.0:
            return False
        self.tokens -= 1.0
        return True
