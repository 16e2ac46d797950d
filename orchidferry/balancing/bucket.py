"""A token bucket; what its rate and size are is the caller's to decide."""

from __future__ import annotations


class Bucket:
    """Tokens that come in at a rate, up to a most."""

    __slots__ = ("_since_ms", "tokens")

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self._since_ms = now

    def refill(self, per_ms: float, most: float, now: float) -> float:
        """Add what has come in since last time; the tokens there are."""
        self.tokens = min(most, self.tokens + per_ms * (now - self._since_ms))
        self._since_ms = now
        return self.tokens

    def take(self, per_ms: float, most: float, now: float) -> bool:
        """Take a token, if there is one."""
        if self.refill(per_ms, most, now) < 1.0:
            return False
        self.tokens -= 1.0
        return True
