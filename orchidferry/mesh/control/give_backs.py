"""Operation keys that a node gives back, each sent to its controllers until they have acknowledged it. Pure.

A node gives a key back where its try has not run and never will. A message may be lost with its link; the
key would then answer 409 for as long as it is kept. So each has a number of this process's life, and goes out
again on each new link, and now and then, until every controller has it off its disk, or would have forgotten
the key by itself. A controller frees a key for its holder only, so one that comes late frees nobody else's.

>>> sent = []
>>> backs = GiveBacks(60.0, lambda name, message: sent.append((name, message.number)))
>>> backs.add("k", "t1", ("a", "b"), 0.0)
>>> backs.acknowledged("a", 1), backs.linked("b", 1.0), len(backs)
(None, None, 1)
>>> sent
[('a', 1), ('b', 1), ('b', 1)]
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from orchidferry.mesh.wire.messages import KeyRelease, Message

MOST = 4_000  # that are kept; beyond these the oldest is sent no more
AGAIN_S = 1.0  # after an attempt that was not acknowledged
AT_ONCE = 200  # sent again to one controller at a time


@dataclass(slots=True)
class GiveBack:
    """One key and the try that gives it back."""

    number: int
    key: str
    holder: str
    until_s: float
    again_s: dict[str, float]  # by controller that has not acknowledged it: when it is sent again

    def message(self) -> KeyRelease:
        """As it goes out."""
        return KeyRelease(self.number, self.key, self.holder)


class GiveBacks:
    """All that one node's process has given back and that was not acknowledged yet."""

    def __init__(self, kept_s: float, send: Callable[[str, Message], None]) -> None:
        """`kept_s`: the longest that a controller keeps a key; `send`: put a message to a controller by name,
        lost if there is no link to it.
        """
        self._kept_s = kept_s
        self._send = send
        self._waiting: dict[int, GiveBack] = {}  # by number, the oldest first
        self._number = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: str, holder: str, names: Iterable[str], now: float) -> None:
        """Give a key back at these controllers."""
        if len(self._waiting) >= MOST:
            del self._waiting[next(iter(self._waiting))]
        self._number += 1
        asked = tuple(names)
        again_s = dict.fromkeys(asked, now + AGAIN_S)
        one = GiveBack(self._number, key, holder, now + self._kept_s, again_s)
        self._waiting[one.number] = one
        for name in asked:
            self._send(name, one.message())

    def acknowledged(self, name: str, number: int) -> None:
        """A controller has it off its disk."""
        one = self._waiting.get(number)
        if one is not None:
            one.again_s.pop(name, None)
            if not one.again_s:
                del self._waiting[number]

    def linked(self, name: str, now: float) -> None:
        """There is a new link to a controller: what was sent over the last one may be lost."""
        for one in self._waiting.values():
            if name in one.again_s:
                one.again_s[name] = now
        self._send_due(name, now)

    def tick(self, names: set[str], now: float) -> None:
        """Send again what is due. `names`: the controllers that there are; others are not waited for."""
        for number, one in list(self._waiting.items()):
            for name in [name for name in one.again_s if name not in names]:
                del one.again_s[name]
            if not one.again_s or now >= one.until_s:
                del self._waiting[number]
        for name in names:
            self._send_due(name, now)

    def _send_due(self, name: str, now: float) -> None:
        due = [one for one in self._waiting.values() if one.again_s.get(name, float("inf")) <= now]
        for one in due[:AT_ONCE]:
            one.again_s[name] = now + AGAIN_S
            self._send(name, one.message())
