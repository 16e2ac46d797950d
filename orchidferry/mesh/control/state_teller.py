"""Which replica a returning one is told the newest state by: one at a time, another after a time-out. Pure.

Beats say what each replica knows. Whoever knows less asks one of those that know more; if nothing newer comes
within `TELL_S` it asks another, or the same again if no other is there.

>>> teller = StateTeller()
>>> teller.asks("a", ["b"], 0.0), teller.asks("b", ["a"], 0.1), teller.asks("a", ["b"], 0.7)
(True, False, False)
>>> teller.asks("b", ["a"], 0.8), teller.answered(), teller.asks("a", ["b"], 0.9)
(True, None, True)
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

TELL_S = 0.6  # for a whole state: a round trip of 0.4 s where a link takes 200 ms one way, and its bytes


@dataclass(slots=True)
class StateTeller:
    """Whom a replica has asked, and until when it waits for the answer."""

    name: str = ""
    until_s: float = float("-inf")

    def asks(self, name: str, others: Iterable[str], now: float) -> bool:
        """Whether to ask this one, which knows more; `others`: the rest that could be asked."""
        if now < self.until_s or (name == self.name and any(True for _ in others)):
            return False
        self.name = name
        self.until_s = now + TELL_S
        return True

    def answered(self) -> None:
        """Something newer has come."""
        self.name, self.until_s = "", float("-inf")
