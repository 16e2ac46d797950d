"""Releases of operation keys, each sent to its controllers until they have acknowledged it. No I/O.

A node releases a key whose attempt has not run and never will. A message may be lost with its link; the key
would then answer 409 for as long as it is kept. So each release has a number of this process's run, and goes
out again on each new link, and at intervals, until every controller has deleted the key on its disk or would
have forgotten it by itself. A controller releases a key for its holder only, so a release that comes late
never frees the key of another attempt.

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

MAX_PENDING = 4_000  # releases that are kept; beyond these the oldest is sent no more
RETRY_INTERVAL_S = 1.0  # after an attempt that was not acknowledged
MAX_BURST = 200  # releases sent again to one controller at a time


@dataclass(slots=True)
class PendingRelease:
    """A release that some controllers have not acknowledged."""

    number: int
    key: str
    holder: str
    deadline_s: float
    next_send_s: dict[str, float]  # by controller that has not acknowledged it

    def message(self) -> KeyRelease:
        """Return the message that goes to each controller."""
        return KeyRelease(self.number, self.key, self.holder)


class KeyReleases:
    """All releases of one node's process that were not acknowledged yet."""

    def __init__(self, max_retention_s: float, send: Callable[[str, Message], None]) -> None:
        """Create a `KeyReleases`.

        :param max_retention_s: the longest that a controller keeps a key, in seconds
        :param send: sends a message to a controller by name; it is lost if there is no link to it
        """
        self._max_retention_s = max_retention_s
        self._send = send
        self._pending: dict[int, PendingRelease] = {}  # by number, the oldest first
        self._last_number = 0

    def __len__(self) -> int:
        """Return how many releases are pending."""
        return len(self._pending)

    def add(self, key: str, holder: str, controllers: Iterable[str], now: float) -> None:
        """Release a key at these controllers."""
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
        """Take a controller's word that it has deleted the key on its disk."""
        release = self._pending.get(number)
        if release is not None:
            release.next_send_s.pop(controller, None)
            if not release.next_send_s:
                del self._pending[number]

    def link_opened(self, controller: str, now: float) -> None:
        """Send again to a controller with a new link: what was sent over the last one may be lost."""
        for release in self._pending.values():
            if controller in release.next_send_s:
                release.next_send_s[controller] = now
        self._send_due(controller, now)

    def tick(self, controllers: set[str], now: float) -> None:
        """Send again what is due, and drop what is over.

        :param controllers: all controllers that there are; others are not waited for
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
