"""Which replica is asked for the newest state: one at a time, another one after a timeout.

Heartbeats say which version each replica knows. A replica that knows an older one asks one of those that know
more; if nothing newer comes within `STATE_TIMEOUT_S` it asks another, or the same again if there is no other.

>>> request = StateRequest()
>>> request.begin("a", ["b"], 0.0), request.begin("b", ["a"], 0.1), request.begin("a", ["b"], 0.7)
(True, False, False)
>>> request.begin("b", ["a"], 0.8), request.end(), request.begin("a", ["b"], 0.9)
(True, None, True)
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# For a complete state: a round trip of 0.4 s where a link takes 200 ms one way, and its bytes.
STATE_TIMEOUT_S = 0.6


@dataclass(slots=True)
class StateRequest:
    """The request for the newest state that a replica has sent.

    :param name: the replica that was asked last; "" for none.
    :param until_s: until when its answer is waited for.
    """

    name: str = ""
    until_s: float = float("-inf")

    def begin(self, name: str, others: Iterable[str], now: float) -> bool:
        """Decide whether to ask a replica, which knows more than this one.

        :param others: the other replicas that could be asked.
        :returns: whether to ask it; it counts as asked then.
        """
        if now < self.until_s or (name == self.name and any(True for _ in others)):
            return False
        self.name = name
        self.until_s = now + STATE_TIMEOUT_S
        return True

    def end(self) -> None:
        """A newer state has come."""
        self.name = ""
        self.until_s = float("-inf")
