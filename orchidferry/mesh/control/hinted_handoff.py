"""What a silent controller misses, kept for it by the others and handed over once it is back. Pure.

Each controller notes which keys it wrote of late. While another one is silent, these and all that are written
meanwhile are kept for it: by key, so that it is handed what stands when it is back and nothing that was given
back since. Pages go one at a time, the next as soon as the last is acknowledged. One that misses more than
`MOST` is handed what is noted; it lacks the rest, which a majority has.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RECENT_S = 4.0  # what was written so long before a controller was found silent may have missed it too
MAX_RECENT = 8_000
MOST = 40_000  # keys that are kept for one
AGAIN_S = 1.0  # a page that is not acknowledged goes out again


@dataclass(slots=True)
class _Kept:
    keys: dict[str, None] = field(default_factory=dict)
    number: int = 0  # of the page that is out
    page: list[str] = field(default_factory=list)
    again_s: float = 0.0
    silent: bool = True


@dataclass
class Hints:
    """What one controller keeps for the others."""

    recent: deque[tuple[float, str]] = field(default_factory=deque)
    kept: dict[str, _Kept] = field(default_factory=dict)

    def wrote(self, key: str, now: float) -> None:
        """A key was claimed or answered here."""
        self.recent.append((now, key))
        while len(self.recent) > MAX_RECENT or self.recent[0][0] < now - RECENT_S:
            self.recent.popleft()
        for one in self.kept.values():
            if one.silent and len(one.keys) < MOST:
                one.keys[key] = None

    def silent(self, name: str, now: float) -> None:
        """A controller is not heard."""
        one = self.kept.get(name)
        if one is not None and one.silent:
            return
        one = self.kept.setdefault(name, _Kept())
        one.silent = True
        one.page = []
        one.keys |= dict.fromkeys(key for at, key in self.recent if at >= now - RECENT_S)

    def page(
        self, name: str, now: float, most: int, fits: Callable[[list[str]], int] = len
    ) -> tuple[int, list[str]] | None:
        """The number and the keys of the page that a controller that is back is to be sent now, if one is.
        `fits`: how many of the first keys a page has room for.
        """
        one = self.kept.get(name)
        if one is None:
            return None
        if one.silent:  # what was on its way to it when it came back is late for it too
            one.silent = False
            one.keys |= dict.fromkeys(key for at, key in self.recent if at >= now - RECENT_S)
        if one.page and now < one.again_s:
            return None
        if not one.page:
            one.page = [key for key, _ in zip(one.keys, range(most), strict=False)]
            one.page = one.page[: fits(one.page)]
            one.number += 1
        if not one.page:
            del self.kept[name]
            return None
        one.again_s = now + AGAIN_S
        return one.number, one.page

    def taken(self, name: str, number: int) -> None:
        """A page has reached its disk."""
        one = self.kept.get(name)
        if one is not None and one.page and one.number == number:
            for key in one.page:
                one.keys.pop(key, None)
            one.page = []

    def keep_only(self, names: set[str]) -> None:
        """These are the group now."""
        for name in self.kept.keys() - names:
            del self.kept[name]
