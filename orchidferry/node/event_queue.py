"""Events for something that decides, one at a time: what an action raises waits its turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from orchidferry.balancing import interface as api
from orchidferry.node.config import now_ms

Decide = Callable[[api.Event, float], Iterable[api.Action]]


class EventQueue:
    """`decide` has one event at a time, and `do` its actions in their order; `failed` hears, inside the
    exception, which event it was. Such a request is ended by its backstop.
    """

    __slots__ = ("_decide", "_do", "_events", "_failed", "_handling")

    def __init__(
        self, decide: Decide, do: Callable[[api.Action], None], failed: Callable[[api.Event], None]
    ) -> None:
        self._decide = decide
        self._do = do
        self._failed = failed
        self._events: deque[api.Event] = deque()
        self._handling = False

    def handle(self, event: api.Event) -> None:
        """Give it an event and do what it says; events raised meanwhile wait their turn."""
        if self._handling:
            self._events.append(event)
            return
        self._handling = True
        try:
            while True:
                try:
                    for action in self._decide(event, now_ms()):
                        self._do(action)
                except Exception:
                    self._failed(event)
                if not self._events:
                    break
                event = self._events.popleft()
        finally:
            self._handling = False
