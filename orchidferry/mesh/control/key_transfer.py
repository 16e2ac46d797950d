"""Copying the operation keys of one controller to another: pages bounded by bytes, from a cursor on. Pure.

A source numbers the changes of its records; a learner notes, for each source, up to which change of which
life of that source's process it holds all on disk. So it may copy everything before it has a place in the
group, and ask for the difference alone once it has one. A learner that holds records already asks for pages
without answers, and then for the whole records that it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control.operation_keys import OperationKeys
from orchidferry.mesh.wire.shard_messages import KeyRow

PAGE_BYTES = 128 * 1024  # of the rows of one page
ROW_BYTES = 24  # of a row beside its strings
GIVEN_BACK = -1  # in place of a shelf: the holder gave the key back unrun
MAX_ASKED = 256  # records asked for at once
BRIEF_FROM = 500  # keys that a learner holds, from which on it asks for pages without answers
WAIT_S = 1.0  # for a page, before its source is asked again
DECLINED_S = 0.15  # after a source had nothing to give, before it is asked again


def weight(value: Any) -> int:
    """About how many bytes a part of a row has in a message."""
    if isinstance(value, bytes | str):
        return len(value)
    if isinstance(value, list | tuple):
        return sum(map(weight, value))
    return 8


def bounded(
    keys: OperationKeys, names: list[str], brief: bool = False, most: float = PAGE_BYTES
) -> tuple[list[KeyRow], int]:
    """Rows of the first of these keys, as many as a page holds; and how many keys that covers."""
    rows: list[KeyRow] = []
    size = covered = 0
    for key in names:
        if size >= most:
            break
        covered += 1
        record = keys.records.get(key)
        if record is not None:
            answer = None if brief else record.answer
            rows.append((key, (record.holder, record.age_bucket, answer), record.answer is not None))
            size += ROW_BYTES + len(key) + len(record.holder) + weight(answer)
        elif key in keys.released:
            rows.append((key, (keys.released[key], GIVEN_BACK, None), False))
            size += ROW_BYTES + len(key)
    return rows, covered


@dataclass(frozen=True, slots=True)
class Page:
    """Rows of a source; after them its learner holds all up to the change `sequence`. `last`: it is the
    source's newest.
    """

    rows: list[KeyRow]
    sequence: int
    last: bool


@dataclass(slots=True)
class _Copy:
    """What one learner is being given."""

    sequence: int  # it has been given all up to this change
    until: int  # the source's newest change when these keys were listed
    keys: list[str]
    at: int = 0


@dataclass
class KeySource:
    """A source's half."""

    copies: dict[str, _Copy] = field(default_factory=dict)

    def page(self, keys: OperationKeys, learner: str, sequence: int, brief: bool) -> Page:
        """The page after a change. What changes again while pages go out comes with its new number."""
        copy = self.copies.get(learner)
        if copy is None or copy.sequence != sequence:
            copy = _Copy(sequence, keys.sequence, keys.changed_since(sequence))
            self.copies[learner] = copy
        names = copy.keys[copy.at : copy.at + PAGE_BYTES // ROW_BYTES]
        rows, covered = bounded(keys, names, brief)
        copy.at += covered
        if copy.at < len(copy.keys):
            copy.sequence = self._before(keys, copy)
            return Page(rows, copy.sequence, False)
        del self.copies[learner]
        return Page(rows, copy.until, copy.until == keys.sequence)

    @staticmethod
    def _before(keys: OperationKeys, copy: _Copy) -> int:
        """The change up to which all was given; a key that has changed again since counts with the next."""
        for key in copy.keys[copy.at :]:
            sequence = keys.changes.get(key, copy.until + 1)
            if sequence <= copy.until:
                return max(copy.sequence, sequence - 1)
        return copy.until


@dataclass(slots=True)
class Request:
    """What one source was asked for, and the page that waits for records it lacked."""

    number: int
    counted: bool  # under the epoch of a group that this learner is a voter of
    until_s: float
    page: Page | None = None
    life: str = ""
    lacking: list[str] = field(default_factory=list)


@dataclass
class KeyLearner:
    """A learner's half."""

    cursors: dict[str, tuple[str, int]] = field(default_factory=dict)  # by source: its life, the change
    copied: set[str] = field(default_factory=set)  # sources that have been copied to their end once
    requests: dict[str, Request] = field(default_factory=dict)
    again_s: dict[str, float] = field(default_factory=dict)  # when a source may be asked again
    briefly: set[str] = field(default_factory=set)  # sources that are copied without answers
    refused: set[str] = field(default_factory=set)  # sources that had nothing to give when asked last
    number: int = 0

    def regrouped(self) -> None:
        """Another group: what is under way does not count in it."""
        self.requests.clear()
        self.again_s.clear()
        self.refused.clear()

    def give_up(self, now: float) -> None:
        """Sources that did not answer in time may be asked again."""
        self.requests = {name: one for name, one in self.requests.items() if one.until_s > now}

    def may_ask(self, name: str, now: float) -> bool:
        """Whether a source can be asked now. One at a time is copied from; a difference is asked of all."""
        if name in self.requests or now < self.again_s.get(name, 0.0):
            return False
        return name in self.copied or self.copied.issuperset(self.requests)

    def brief(self, name: str, held: int) -> bool:
        """Whether a source's pages should leave the answers out: a learner with so many keys has most."""
        if name not in self.cursors and (self.copied or held >= BRIEF_FROM):
            self.briefly.add(name)
        return name in self.briefly and name not in self.copied

    def ask(self, name: str, counted: bool, now: float) -> Request:
        """A new request to a source."""
        self.number += 1
        self.requests[name] = Request(self.number, counted, now + WAIT_S)
        return self.requests[name]

    def declined(self, name: str, number: int, now: float) -> bool:
        """The source has nothing to give now; whether it was asked."""
        if not self.waits(name, number):
            return False
        del self.requests[name]
        self.again_s[name] = now + DECLINED_S
        self.refused.add(name)
        return True

    def waits(self, name: str, number: int) -> Request | None:
        """The request that a source answers, if it is still wanted."""
        request = self.requests.get(name)
        return request if request is not None and request.number == number else None

    def on_disk(self, name: str, request: Request) -> None:
        """A page is on disk."""
        assert request.page is not None
        if self.requests.get(name) is request:
            del self.requests[name]
        self.cursors[name] = (request.life, request.page.sequence)
        self.refused.discard(name)
        if request.page.last:
            self.copied.add(name)


def lacking(keys: OperationKeys, rows: list[KeyRow]) -> list[str]:
    """The keys whose answers a brief page left out and this controller does not have."""
    found: list[str] = []
    for key, (_, _, answer), answered in rows:
        had = keys.records.get(key)
        if answered and answer is None and (had is None or had.answer is None):
            found.append(key)
    return found
