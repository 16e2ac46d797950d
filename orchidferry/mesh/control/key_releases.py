"""Releases of operation keys, each sent to the controllers until they have acknowledged it. No I/O.

A node releases a key whose attempt has not run and never will. If the message is lost with its link, requests
with the key get 409 until its retention ends. Each release therefore has a number, unique in this process,
and is sent again over each new link, and at intervals, until every controller has deleted the key on its disk
or its retention has ended. A controller releases a key only for its holder, so a late release never frees the
key of another attempt.

>>> sent = []
>>> releases = KeyReleases(60.0, lambda name, message: sent.append((name, message.number)))
>>> releases.add("k", "t1", ("a", "b"), 0.0)
>>> releases.acknowledge("a", 1), releases.link_opened("b", 1.0), len(releases)
(None, None, 1)
>>> sent
[('a', 1), ('b', 1), ('b', 1)]
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from orchidferry.mesh.wire.messages import KeyRelease, Message

MAX_PENDING = 4_000  # pending releases; beyond this number the oldest is dropped
RETRY_INTERVAL_S = 1.0  # interval after which an unacknowledged release is sent again
MAX_BURST = 200  # releases sent again to one controller at a time


@dataclass(slots=True)
class PendingRelease:
    """A release that some controllers have not acknowledged.

    :param number: number of the release in this process
    :param holder: id of the attempt that releases the key
    :param deadline_s: time after which no controller keeps the key
    :param next_send_s: time at which it is sent again, for each controller that has not acknowledged it
    """

    number: int
    key: str
    holder: str
    deadline_s: float
    next_send_s: dict[str, float]

    def message(self) -> KeyRelease:
        """Return the message that is sent to each controller."""
        return KeyRelease(self.number, self.key, self.holder)


class KeyReleases:
    """The pending releases of one node's process."""

    def __init__(self, max_retention_s: float, send: Callable[[str, Message], None]) -> None:
        """Start without pending releases.

        :param max_retention_s: maximum time for which a controller keeps a key, in seconds
        :param send: sends a message to a controller by name; the message is lost if there is no link to it
        """
        self._max_retention_s = max_retention_s
        self._send = send
        self._pending: dict[int, PendingRelease] = {}  # by number, the oldest first
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of pending releases."""
        return len(self._pending)

    def add(self, key: str, holder: str, controllers: Iterable[str], now: float) -> None:
        """Release a key at the given controllers.

        :param holder: id of the attempt that releases the key
        """
        if len(self._pending) >= MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._last_number += 1
        receivers = tuple(controllers)
        next_send_s = dict.fromkeys(receivers, now + RETRY_INTERVAL_S)
        release = PendingRelease(self._last_number, key, holder, now + self._max_retention_s, next_send_s)
        self._pending[release.number] = release
        for controller in receivers:
            self._send(controller, release.message())

    def acknowledge(self, controller: str, number: int) -> None:
        """Handle a controller's acknowledgement that it has deleted the key on its disk."""
        release = self._pending.get(number)
        if release is not None:
            release.next_send_s.pop(controller, None)
            if not release.next_send_s:
                del self._pending[number]

    def link_opened(self, controller: str, now: float) -> None:
        """Send a controller its pending releases over a new link; the previous link may have lost them."""
        for release in self._pending.values():
            if controller in release.next_send_s:
                release.next_send_s[controller] = now
        self._send_due(controller, now)

    def tick(self, controllers: set[str], now: float) -> None:
        """Send due releases again, and drop those that are acknowledged or whose deadline has passed.

        :param controllers: all current controllers; acknowledgements of others are not awaited
        """
        for number, release in list(self._pending.items()):
            for gone in [name for name in release.next_send_s if name not in controllers]:
                del release.next_send_s[gone]
            if not release.next_send_s or now >= release.deadline_s:
                del self._pending[number]
        for controller in controllers:
            self._send_due(controller, now)

    def _send_due(self, controller: str, now: float) -> None:
        never = float("inf")
        due = [
            release for release in self._pending.values() if release.next_send_s.get(controller, never) <= now
        ]
        for release in due[:MAX_BURST]:
            release.next_send_s[controller] = now + RETRY_INTERVAL_S
            self._send(controller, release.message())
