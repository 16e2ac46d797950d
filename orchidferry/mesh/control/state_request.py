"""Choice of the replica that is asked for the newest state: one at a time, another one after a timeout.

Heartbeats report the version that each replica knows. A replica that knows an older version asks one of those
that know a newer one. If no newer state arrives within `STATE_TIMEOUT_S`, it asks another replica, or the
same one again if there is no other.

>>> request = StateRequest()
>>> request.begin("a", ["b"], 0.0), request.begin("b", ["a"], 0.1), request.begin("a", ["b"], 0.7)
(True, False, False)
>>> request.begin("b", ["a"], 0.8), request.end(), request.begin("a", ["b"], 0.9)
(True, None, True)
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Time for a complete state to arrive: a round trip of 0.4 s on a link with 200 ms one way, plus the
# transmission of the state.
STATE_TIMEOUT_S = 0.6


@dataclass(slots=True)
class StateRequest:
    """A replica's pending request for the newest state.

    :param name: name of the replica that was asked last; "" for none.
    :param until_s: time at which the request times out, in seconds on the event loop's clock.
    """

    name: str = ""
    until_s: float = float("-inf")

    def begin(self, name: str, others: Iterable[str], now: float) -> bool:
        """Decide whether to ask a replica that knows a newer version; if so, record that it was asked.

        :param name: name of that replica.
        :param others: names of the other replicas that could be asked.
        :param now: current time, in seconds on the event loop's clock.
        :returns: whether to ask the replica.
        """
        if now < self.until_s or (name == self.name and any(True for _ in others)):
            return False
        self.name = name
        self.until_s = now + STATE_TIMEOUT_S
        return True

    def end(self) -> None:
        """End the request because a newer state has arrived."""
        self.name = ""
        self.until_s = float("-inf")
