"""Hinted handoff: keys whose writes a silent controller missed, kept for it by the others. Performs no I/O.

Each controller remembers the keys that it wrote recently. While another controller is silent, these keys and
all keys written in the meantime are kept for it as hints. A hint is only the key, so that the returning
controller gets the record as it is by then, and no record that was released since. Pages of hints are sent
one at a time, the next one as soon as the previous one is acknowledged. If a controller misses more than
`MAX_HINTS_PER_PEER` keys, the excess is not kept; it lacks those records, which a majority has.

Hinted handoff is described in DeCandia et al., *Dynamo* (2007), section 4.6.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RECENT_S = 4.0  # a controller found silent may have missed writes of this last period, too
MAX_RECENT = 8_000  # recently written keys that are remembered
MAX_HINTS_PER_PEER = 40_000  # keys kept for one silent controller
RETRY_INTERVAL_S = 1.0  # interval after which an unacknowledged page is sent again


@dataclass(frozen=True, slots=True)
class HintPage:
    """Keys whose records must be sent to a controller that has returned.

    :param number: number of the page, unique in this process; its acknowledgement names it.
    :param keys: the keys of the page.
    """

    number: int
    keys: list[str]


@dataclass(slots=True)
class _PeerHints:
    """The hints that are kept for one controller.

    :param keys: the keys of the hints, in the order of their first writes.
    :param page_number: number of the page that was sent last.
    :param page: keys of the page that waits for its acknowledgement; empty if there is none.
    :param next_send_s: time at which that page is sent again, in seconds on the event loop's clock.
    :param silent: whether the controller is still silent.
    """

    keys: dict[str, None] = field(default_factory=dict)
    page_number: int = 0
    page: list[str] = field(default_factory=list)
    next_send_s: float = 0.0
    silent: bool = True


@dataclass
class Hints:
    """The hints that one controller keeps for the others.

    :param recent: the recently written keys with the time of each write, oldest first.
    :param kept: the hints for each controller, by name.
    :param last_page_number: number of the newest page for any controller. Numbers don't come again, as the
        acknowledgement of a page that was sent twice may arrive when another page is awaited.
    """

    recent: deque[tuple[float, str]] = field(default_factory=deque)
    kept: dict[str, _PeerHints] = field(default_factory=dict)
    last_page_number: int = 0

    def record_write(self, key: str, now: float) -> None:
        """Record that a key was claimed or answered at this controller."""
        self.recent.append((now, key))
        while len(self.recent) > MAX_RECENT or self.recent[0][0] < now - RECENT_S:
            self.recent.popleft()
        for hints in self.kept.values():
            if hints.silent and len(hints.keys) < MAX_HINTS_PER_PEER:
                hints.keys[key] = None

    def mark_silent(self, controller: str, now: float) -> None:
        """Begin to keep hints for a controller that is silent."""
        hints = self.kept.get(controller)
        if hints is not None and hints.silent:
            return
        hints = self.kept.setdefault(controller, _PeerHints())
        hints.silent = True
        hints.page = []
        self._add_recent(hints, now)

    def next_page(
        self, controller: str, now: float, max_keys: int, fitting: Callable[[list[str]], int] = len
    ) -> HintPage | None:
        """Return the page of hints that is due to be sent to a controller that has returned, or None.

        :param controller: name of the controller.
        :param now: current time, in seconds on the event loop's clock.
        :param max_keys: maximum number of keys in one page.
        :param fitting: returns how many of the given keys, from the first on, fit into one page.
        """
        hints = self.kept.get(controller)
        if hints is None:
            return None
        if hints.silent:  # it may also have missed messages that were in transit when it returned
            hints.silent = False
            self._add_recent(hints, now)
        if hints.page and now < hints.next_send_s:
            return None
        if not hints.page:
            first_keys = [key for key, _ in zip(hints.keys, range(max_keys), strict=False)]
            hints.page = first_keys[: fitting(first_keys)]
            self.last_page_number += 1
            hints.page_number = self.last_page_number
        if not hints.page:
            del self.kept[controller]
            return None
        hints.next_send_s = now + RETRY_INTERVAL_S
        return HintPage(hints.page_number, hints.page)

    def acknowledge(self, controller: str, page_number: int) -> None:
        """Drop the hints of a page that a controller has acknowledged, having it on disk."""
        hints = self.kept.get(controller)
        if hints is not None and hints.page and hints.page_number == page_number:
            for key in hints.page:
                hints.keys.pop(key, None)
            hints.page = []

    def retain(self, controllers: set[str]) -> None:
        """Drop the hints for all controllers except these."""
        for controller in self.kept.keys() - controllers:
            del self.kept[controller]

    def _add_recent(self, hints: _PeerHints, now: float) -> None:
        hints.keys |= dict.fromkeys(key for written_s, key in self.recent if written_s >= now - RECENT_S)
