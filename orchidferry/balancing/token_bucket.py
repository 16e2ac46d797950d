"""Token buckets. Times are milliseconds of one monotonic clock."""

from __future__ import annotations


class TokenBucket:
    """A token bucket; its rate and capacity may change and are passed to each call."""

    __slots__ = ("_refilled_ms", "tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self._refilled_ms = now

    def refill(self, tokens_per_ms: float, capacity: float, now: float) -> float:
        """Add the tokens since the last call, and return the number available."""
        self.tokens = min(capacity, self.tokens + tokens_per_ms * (now - self._refilled_ms))
        self._refilled_ms = now
        return self.tokens

    def take(self, tokens_per_ms: float, capacity: float, now: float) -> bool:
        """Take a token if one is available, and return whether there was one."""
        if self.refill(tokens_per_ms, capacity, now) < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RateLimiter:
    """A token bucket of fixed rate and capacity, initially full."""

    __slots__ = ("_bucket", "_capacity", "_tokens_per_ms")

    def __init__(self, per_s: float, capacity: float) -> None:
        """Allow `per_s` events per second on average, and `capacity` at once."""
        self._tokens_per_ms = per_s / 1000.0
        self._capacity = capacity
        self._bucket = TokenBucket(capacity, 0.0)

    def take(self, now: float) -> bool:
        """Take a token if one is available, and return whether there was one."""
        return self._bucket.take(self._tokens_per_ms, self._capacity, now)
