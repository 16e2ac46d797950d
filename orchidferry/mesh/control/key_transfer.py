"""Copying the operation keys of one controller to another, in pages bounded by bytes. No I/O.

A source numbers the changes of its records. A learner keeps a cursor for each source: the incarnation of that
source's process, and the change up to which it has all of that source's records on disk. So it may copy
everything before it is a voter of the group, and ask only for the difference once it is one. A learner that
has records already asks for pages without answers, and then for the complete records that it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control.operation_keys import OperationKeys
from orchidferry.mesh.wire.shard_messages import KeyRow

MAX_PAGE_BYTES = 128 * 1024  # of the rows of one page
ROW_OVERHEAD_BYTES = 24  # of a row beside its strings
RELEASED = -1  # in place of a row's age bucket: the holder released the key without running
MAX_RECORDS_REQUESTED = 256  # at once
MIN_KEYS_TO_OMIT_ANSWERS = 500  # that a learner has, from which on it asks for pages without answers
PAGE_TIMEOUT_S = 1.0  # after which a source is asked again
REFUSAL_BACKOFF_S = 0.15  # after a source had nothing to give, before it is asked again


@dataclass(frozen=True, slots=True)
class RowBatch:
    """Rows of some keys.

    :param covered: how many of the keys asked for, from the first on, these rows are all of
    """

    rows: list[KeyRow]
    covered: int


@dataclass(frozen=True, slots=True)
class TransferPage:
    """A page of a source's rows.

    :param sequence: the change up to which a learner with this page has all
    :param last: whether that is the source's newest change
    """

    rows: list[KeyRow]
    sequence: int
    last: bool


@dataclass(frozen=True, slots=True)
class Cursor:
    """How far a learner has copied a source.

    :param incarnation: of the source's process
    :param sequence: the change up to which all is on the learner's disk
    """

    incarnation: str
    sequence: int


NO_CURSOR = Cursor("", 0)


def approximate_size(value: Any) -> int:
    """Return about how many bytes a part of a row takes in a message."""
    if isinstance(value, bytes | str):
        return len(value)
    if isinstance(value, list | tuple):
        return sum(map(approximate_size, value))
    return 8


def collect_rows(
    keys: OperationKeys, names: list[str], omit_answers: bool = False, max_bytes: float = MAX_PAGE_BYTES
) -> RowBatch:
    """Return the rows of the first of some keys, as many as a page holds.

    :param names: of the keys
    :param omit_answers: whether answers are left out
    """
    rows: list[KeyRow] = []
    size = 0
    covered = 0
    for name in names:
        if size >= max_bytes:
            break
        covered += 1
        # Releases first: the claim that stands came after them.
        for holder in keys.released.get(name, ()):
            rows.append((name, (holder, RELEASED, None), False))
            size += ROW_OVERHEAD_BYTES + len(name) + len(holder)
        record = keys.records.get(name)
        if record is not None:
            answer = None if omit_answers else record.answer
            rows.append((name, (record.holder, record.age_bucket, answer), record.answer is not None))
            size += ROW_OVERHEAD_BYTES + len(name) + len(record.holder) + approximate_size(answer)
    return RowBatch(rows, covered)


def missing_answers(keys: OperationKeys, rows: list[KeyRow]) -> list[str]:
    """Return the keys whose answers a page left out and this controller does not have."""
    found: list[str] = []
    for key, (_, _, answer), answered in rows:
        existing = keys.records.get(key)
        if answered and answer is None and (existing is None or existing.answer is None):
            found.append(key)
    return found


@dataclass(slots=True)
class _Transfer:
    """The state of copying to one learner."""

    sequence: int  # the learner has been sent all up to this change
    until: int  # the source's newest change when these keys were listed
    keys: list[str]
    position: int = 0  # of the first key that was not sent


@dataclass
class KeySource:
    """The half of the controller that is copied from."""

    transfers: dict[str, _Transfer] = field(default_factory=dict)  # by learner

    def page(self, keys: OperationKeys, learner: str, sequence: int, omit_answers: bool) -> TransferPage:
        """Return the page that follows a change. A key that changes while pages go out is sent again.

        :param sequence: the change up to which the learner has all
        """
        transfer = self.transfers.get(learner)
        if transfer is None or transfer.sequence != sequence:
            transfer = _Transfer(sequence, keys.sequence, keys.changed_since(sequence))
            self.transfers[learner] = transfer
        end = transfer.position + MAX_PAGE_BYTES // ROW_OVERHEAD_BYTES
        batch = collect_rows(keys, transfer.keys[transfer.position : end], omit_answers)
        transfer.position += batch.covered
        if transfer.position < len(transfer.keys):
            transfer.sequence = self._covered_sequence(keys, transfer)
            return TransferPage(batch.rows, transfer.sequence, False)
        del self.transfers[learner]
        return TransferPage(batch.rows, transfer.until, transfer.until == keys.sequence)

    @staticmethod
    def _covered_sequence(keys: OperationKeys, transfer: _Transfer) -> int:
        """Return the change up to which all was sent; a key that changed since counts with that one."""
        for key in transfer.keys[transfer.position :]:
            sequence = keys.changes.get(key, transfer.until + 1)
            if sequence <= transfer.until:
                return max(transfer.sequence, sequence - 1)
        return transfer.until


@dataclass(slots=True)
class PageRequest:
    """A request to one source, with its page while that waits for records that the learner lacks."""

    number: int
    as_voter: bool  # made under the epoch of a group that this learner is a voter of
    deadline_s: float
    page: TransferPage | None = None
    incarnation: str = ""  # of the source's process that sent the page
    lacking: list[str] = field(default_factory=list)  # keys whose records are still to come


@dataclass
class KeyLearner:
    """The half of the controller that copies."""

    cursors: dict[str, Cursor] = field(default_factory=dict)  # by source
    copied: set[str] = field(default_factory=set)  # sources that have been copied to their end once
    requests: dict[str, PageRequest] = field(default_factory=dict)  # in flight, by source
    next_request_s: dict[str, float] = field(default_factory=dict)  # when a source may be asked again
    without_answers: set[str] = field(default_factory=set)  # sources that are copied without answers
    refused: set[str] = field(default_factory=set)  # sources that had nothing to give when asked last
    last_number: int = 0

    def reset_requests(self) -> None:
        """Forget what is in flight: the group has changed, and answers to it do not count any more."""
        self.requests.clear()
        self.next_request_s.clear()
        self.refused.clear()

    def expire_requests(self, now: float) -> None:
        """Give up on the requests that were not answered in time."""
        self.requests = {
            source: request for source, request in self.requests.items() if request.deadline_s > now
        }

    def may_ask(self, source: str, now: float) -> bool:
        """Return whether a source can be asked now.

        Only one source is copied from at a time; differences are asked of all at once.
        """
        if source in self.requests or now < self.next_request_s.get(source, 0.0):
            return False
        return source in self.copied or self.copied.issuperset(self.requests)

    def omits_answers(self, source: str, key_count: int) -> bool:
        """Return whether a source's pages should leave the answers out.

        :param key_count: keys that the learner has; with many of them it has most of the answers
        """
        if source not in self.cursors and (self.copied or key_count >= MIN_KEYS_TO_OMIT_ANSWERS):
            self.without_answers.add(source)
        return source in self.without_answers and source not in self.copied

    def begin_request(self, source: str, as_voter: bool, now: float) -> PageRequest:
        """Return a new request to a source, which is in flight from now on."""
        self.last_number += 1
        self.requests[source] = PageRequest(self.last_number, as_voter, now + PAGE_TIMEOUT_S)
        return self.requests[source]

    def handle_refusal(self, source: str, number: int, now: float) -> bool:
        """Take a source's word that it has nothing to give now.

        :returns: whether that answers a request in flight
        """
        if not self.pending_request(source, number):
            return False
        del self.requests[source]
        self.next_request_s[source] = now + REFUSAL_BACKOFF_S
        self.refused.add(source)
        return True

    def pending_request(self, source: str, number: int) -> PageRequest | None:
        """Return the request that a source answers, or None if it is not in flight any more."""
        request = self.requests.get(source)
        return request if request is not None and request.number == number else None

    def page_stored(self, source: str, request: PageRequest) -> None:
        """Advance the cursor: the page of a request is on disk."""
        assert request.page is not None
        if self.requests.get(source) is request:
            del self.requests[source]
        self.cursors[source] = Cursor(request.incarnation, request.page.sequence)
        self.refused.discard(source)
        if request.page.last:
            self.copied.add(source)
