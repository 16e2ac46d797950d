"""Hinted handoff: the keys that a silent controller misses, kept for it by the others. No I/O.

Each controller remembers which keys it wrote lately. While another one is silent, these and all that are
written meanwhile are kept for it as hints: by key, so that it is sent the record as it is when it is back,
and nothing that was released since. Pages go out one at a time, the next as soon as the last is acknowledged.
A controller that misses more than `MAX_HINTS_PER_PEER` is sent what is kept; it lacks the rest, which a
majority has.

Hinted handoff is described in DeCandia et al., *Dynamo* (2007), section 4.6.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RECENT_S = 4.0  # what was written so long before a controller was found silent may have missed it too
MAX_RECENT = 8_000
MAX_HINTS_PER_PEER = 40_000
RETRY_INTERVAL_S = 1.0  # after which a page that is not acknowledged goes out again


@dataclass(frozen=True, slots=True)
class HintPage:
    """Keys whose records are to be sent to a controller that is back.

    :param number: to be named in its acknowledgement
    """

    number: int
    keys: list[str]


@dataclass(slots=True)
class _PeerHints:
    """What is kept for one controller."""

    keys: dict[str, None] = field(default_factory=dict)
    page_number: int = 0  # of the page that was sent last
    page: list[str] = field(default_factory=list)  # the page in flight
    next_send_s: float = 0.0
    silent: bool = True


@dataclass
class Hints:
    """What one controller keeps for the others."""

    recent: deque[tuple[float, str]] = field(default_factory=deque)  # when each key was written
    kept: dict[str, _PeerHints] = field(default_factory=dict)  # by controller

    def record_write(self, key: str, now: float) -> None:
        """Remember that a key was claimed or answered here."""
        self.recent.append((now, key))
        while len(self.recent) > MAX_RECENT or self.recent[0][0] < now - RECENT_S:
            self.recent.popleft()
        for hints in self.kept.values():
            if hints.silent and len(hints.keys) < MAX_HINTS_PER_PEER:
                hints.keys[key] = None

    def mark_silent(self, controller: str, now: float) -> None:
        """Keep hints for a controller that is not heard."""
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
        """Return the page that a controller that is back is to be sent now, or None.

        :param max_keys: in one page
        :param fitting: returns how many of the first keys a page has room for
        """
        hints = self.kept.get(controller)
        if hints is None:
            return None
        if hints.silent:  # what was on its way to it when it came back may have missed it too
            hints.silent = False
            self._add_recent(hints, now)
        if hints.page and now < hints.next_send_s:
            return None
        if not hints.page:
            first_keys = [key for key, _ in zip(hints.keys, range(max_keys), strict=False)]
            hints.page = first_keys[: fitting(first_keys)]
            hints.page_number += 1
        if not hints.page:
            del self.kept[controller]
            return None
        hints.next_send_s = now + RETRY_INTERVAL_S
        return HintPage(hints.page_number, hints.page)

    def acknowledge(self, controller: str, page_number: int) -> None:
        """Drop the hints of a page that a controller has on disk."""
        hints = self.kept.get(controller)
        if hints is not None and hints.page and hints.page_number == page_number:
            for key in hints.page:
                hints.keys.pop(key, None)
            hints.page = []

    def retain(self, controllers: set[str]) -> None:
        """Drop the hints for all controllers but these."""
        for controller in self.kept.keys() - controllers:
            del self.kept[controller]

    def _add_recent(self, hints: _PeerHints, now: float) -> None:
        hints.keys |= dict.fromkeys(key for written_s, key in self.recent if written_s >= now - RECENT_S)
