"""Operation keys: each is claimed before its first run, and kept with its answer for the window. No I/O.

One controller's half. A node claims a key at all controllers of the group and may run its request once a
majority granted it to that try, all under one epoch of the group. A controller grants a key once: whoever
asks later is told who holds it, and the answer, where that is known. Only the holder gives a key back, and
only if it never ran. Nothing else ends a claim but its age.

What is granted must be on disk before the grant leaves: `claim` and its kin return what to write.

Each change of a record has a number of this process's life, so that another controller that holds all up to
one number can be given what came after it: `changed_since`.

Ages are counted in shelves of `SHELF_S`: the number of the newest rises with steady time and is kept with
each record, so a restart lengthens a window and never cuts it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

SHELF_S = 20.0
NOBODY = ""  # holds a key that controllers gave to more than one try
MOST = 200_000  # keys at once; beyond these none is granted
MAX_GIVEN_BACK = 4_000  # keys given back that are remembered as such


@dataclass(slots=True)
class KeyRecord:
    """One key: the try that holds it, when it was claimed, and what it was answered."""

    holder: str
    shelf: int
    answer: Any = None

    def packed(self) -> list[Any]:
        """As it is written to disk and handed to other controllers."""
        return [self.holder, self.shelf, self.answer]


@dataclass(frozen=True, slots=True)
class Granted:
    """The key is this try's."""


@dataclass(frozen=True, slots=True)
class Held:
    """It is another try's; `answer`: what that was answered, if it is known."""

    holder: str
    answer: Any


@dataclass(frozen=True, slots=True)
class Full:
    """There is no room for another key."""


@dataclass(frozen=True, slots=True)
class GivenBack:
    """This try has given the key back: its claim has come late."""


Outcome = Granted | Held | Full | GivenBack


def longest_kept_s(window_s: float) -> float:
    """The longest that a record is kept.

    >>> longest_kept_s(60.0)
    140.0
    """
    return (int(window_s / SHELF_S) + 4) * SHELF_S


@dataclass
class OperationKeys:
    """All keys that one controller knows."""

    window_s: float
    most: int = MOST
    records: dict[str, KeyRecord] = field(default_factory=dict)
    shelf: int = 0  # the newest
    sequence: int = 0  # number of the newest change
    changes: dict[str, int] = field(default_factory=dict)  # the last change of each key, the newest last
    given_back: dict[str, str] = field(default_factory=dict)  # keys given back of late, and who held them
    _turned_s: float = 0.0
    _shelves: dict[int, dict[str, None]] = field(default_factory=dict)

    @property
    def kept_s(self) -> float:
        """The longest that a record is kept."""
        return longest_kept_s(self.window_s)

    def load(self, key: str, packed: list[Any]) -> None:
        """Take a record as another controller or the disk has it; an answer is never lost by it, and what was
        given back here does not return by one who has not heard of that.
        """
        holder, shelf, answer = packed
        self.shelf = max(self.shelf, shelf)
        if answer is None and self.given_back.get(key) == holder:
            return
        had = self.records.get(key)
        if had is not None and had.answer is not None:
            return
        if had is not None and answer is None:
            if had.holder == holder:
                return
            holder = NOBODY  # one of the two may have run, and which one is not to be told from here
        self._put(key, KeyRecord(holder, self.shelf, answer))

    def _put(self, key: str, record: KeyRecord) -> None:
        had = self.records.get(key)
        if had is not None:
            self._shelves.get(had.shelf, {}).pop(key, None)
        self.records[key] = record
        self.given_back.pop(key, None)
        self._shelves.setdefault(record.shelf, {})[key] = None
        self._changed(key)

    def _changed(self, key: str) -> None:
        self.sequence += 1
        self.changes.pop(key, None)
        self.changes[key] = self.sequence

    def changed_since(self, sequence: int) -> list[str]:
        """The keys that changed after a change, the oldest first; those given back of late among them."""
        found: list[str] = []
        for key in reversed(self.changes):
            if self.changes[key] <= sequence:
                break
            found.append(key)
        found.reverse()
        return found

    def claim(self, key: str, holder: str) -> tuple[Outcome, KeyRecord | None]:
        """Grant a key, or say who has it; with it the record to write first, if one is new."""
        had = self.records.get(key)
        if had is not None:
            return (Granted() if had.holder == holder else Held(had.holder, had.answer)), None
        if self.given_back.get(key) == holder:
            return GivenBack(), None
        if len(self.records) >= self.most:
            return Full(), None
        record = KeyRecord(holder, self.shelf)
        self._put(key, record)
        return Granted(), record

    def done(self, key: str, holder: str, answer: Any) -> KeyRecord | None:
        """Keep the answer of a key's first run; the record to write, if that is new."""
        had = self.records.get(key)
        if had is None:  # this controller missed the claim: a majority of others has it
            record = KeyRecord(holder, self.shelf, answer)
            self._put(key, record)
            return record
        if had.holder not in (holder, NOBODY) or had.answer is not None:
            return None
        had.holder = holder
        had.answer = answer
        self._changed(key)
        return had

    def drop(self, key: str, holder: str) -> bool:
        """Give a key back that never ran; whether there is a record to delete. One that is not known here is
        noted all the same: its claim may come late, from the node or with another controller's keys.
        """
        had = self.records.get(key)
        if had is not None and (had.holder != holder or had.answer is not None):
            return False
        if had is not None:
            del self.records[key]
            self._shelves.get(had.shelf, {}).pop(key, None)
        self._note_given_back(key, holder)
        return had is not None

    def _note_given_back(self, key: str, holder: str) -> None:
        self._changed(key)
        self.given_back.pop(key, None)
        self.given_back[key] = holder
        if len(self.given_back) > MAX_GIVEN_BACK:
            oldest = next(iter(self.given_back))
            del self.given_back[oldest], self.changes[oldest]

    def turn(self, now_s: float) -> list[str]:
        """Let time pass; the keys whose window is over, to be deleted on disk."""
        if not self._turned_s:
            self._turned_s = now_s
        while now_s - self._turned_s >= SHELF_S:
            self._turned_s += SHELF_S
            self.shelf += 1
        # A record's shelf began SHELF_S before it at most; one more for a try that was sent later.
        last = self.shelf - int(self.window_s / SHELF_S) - 3
        over: list[str] = []
        for number in [number for number in self._shelves if number <= last]:
            keys = self._shelves.pop(number)
            over += keys
            for key in keys:
                del self.records[key], self.changes[key]
        return over
