"""The queue of events for a decision function, which must handle one event at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from orchidferry.balancing import interface as api
from orchidferry.node.clock import now_ms

Decide = Callable[[api.Event, float], Iterable[api.Action]]  # takes an event and the current time in ms


class EventQueue:
    """Passes events to a decision function one by one, and performs the actions that it returns.

    An event that occurs while an action is performed is queued until all actions of the current event are
    done.
    """

    __slots__ = ("_decide", "_events", "_handling", "_on_error", "_perform")

    def __init__(
        self,
        decide: Decide,
        perform: Callable[[api.Action], None],
        on_error: Callable[[api.Event], None],
    ) -> None:
        """Create an `EventQueue`.

        :param decide: returns the actions that follow from an event.
        :param perform: performs one action.
        :param on_error: called from an exception handler, with the event that caused the exception; a request
            that is lost because of it is answered by the backstop timer at its deadline.
        """
        self._decide = decide
        self._perform = perform
        self._on_error = on_error
        self._events: deque[api.Event] = deque()
        self._handling = False

    def handle(self, event: api.Event) -> None:
        """Handle an event now, or after the current one and those already queued."""
        if self._handling:
            self._events.append(event)
            return
        self._handling = True
        try:
            while True:
                try:
                    for action in self._decide(event, now_ms()):
                        self._perform(action)
                except Exception:
                    self._on_error(event)
                if not self._events:
                    break
                event = self._events.popleft()
        finally:
            self._handling = False
