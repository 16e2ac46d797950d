"""Transfer of operation keys from one controller to another, in pages of bounded size. No I/O.

The source numbers the changes of its records. The learner, the controller that copies, keeps a cursor for
each source: the incarnation of the source's process, and the sequence number up to which all of the source's
changes are on the learner's disk. A learner can therefore copy everything before it becomes a voter of the
group, and needs only the later changes once it is one. A learner that already has many records requests pages
without answers first, and then the complete records of the keys whose answers it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control.operation_keys import OperationKeys
from orchidferry.mesh.control.record_age import RELEASED
from orchidferry.mesh.wire.shard_messages import KeyRow

MAX_PAGE_BYTES = 128 * 1024  # approximate size of the rows at which a page is full
ROW_OVERHEAD_BYTES = 24  # encoded size of a row without its strings
MAX_RECORDS_REQUESTED = 256  # complete records requested in one message
MIN_KEYS_TO_OMIT_ANSWERS = 500  # a learner with this many keys requests pages without answers
PAGE_TIMEOUT_S = 1.0  # time after which an unanswered request is abandoned and a new one may be sent
REFUSAL_BACKOFF_S = 0.15  # pause before a source that sent a rejection is asked again


@dataclass(frozen=True, slots=True)
class RowBatch:
    """The rows of a list of keys, as many as fit into a page.

    :param covered: number of keys, from the start of the list, of which all rows are included
    """

    rows: list[KeyRow]
    covered: int


@dataclass(frozen=True, slots=True)
class TransferPage:
    """A page of a source's rows.

    :param sequence: sequence number up to which a learner has all changes once it has this page
    :param last: whether that is the source's newest change
    """

    rows: list[KeyRow]
    sequence: int
    last: bool


@dataclass(frozen=True, slots=True)
class Cursor:
    """How far a learner has copied a source.

    :param incarnation: identifies the run of the source's process
    :param sequence: sequence number up to which all changes are on the learner's disk
    """

    incarnation: str
    sequence: int


NO_CURSOR = Cursor("", 0)


def approximate_size(value: Any) -> int:
    """Return the approximate size in a message of a value within a row, in bytes."""
    if isinstance(value, bytes | str):
        return len(value)
    if isinstance(value, list | tuple):
        return sum(map(approximate_size, value))
    return 8


def collect_rows(
    keys: OperationKeys, names: list[str], omit_answers: bool = False, max_bytes: float = MAX_PAGE_BYTES
) -> RowBatch:
    """Return the rows of a list of keys, from the first key on, as many as fit into a page.

    :param names: the keys
    :param omit_answers: whether the rows are returned without answers
    :param max_bytes: approximate size of the rows at which the page is full
    """
    rows: list[KeyRow] = []
    size = 0
    covered = 0
    for name in names:
        if size >= max_bytes:
            break
        covered += 1
        # Releases come first, as the current claim was made after them.
        for holder in keys.released.get(name, ()):
            rows.append((name, (holder, RELEASED, None), False))
            size += ROW_OVERHEAD_BYTES + len(name) + len(holder)
        record = keys.records.get(name)
        if record is not None:
            answer = None if omit_answers else record.answer
            rows.append((name, (record.holder, keys.packed_age(record), answer), record.answer is not None))
            size += ROW_OVERHEAD_BYTES + len(name) + len(record.holder) + approximate_size(answer)
    return RowBatch(rows, covered)


def missing_answers(keys: OperationKeys, rows: list[KeyRow]) -> list[str]:
    """Return the keys whose answers are omitted from the rows and not known to this controller."""
    found: list[str] = []
    for key, (_, _, answer), answered in rows:
        existing = keys.records.get(key)
        if answered and answer is None and (existing is None or existing.answer is None):
            found.append(key)
    return found


@dataclass(slots=True)
class _Transfer:
    """The state of the transfer to one learner.

    :param sequence: sequence number up to which all changes have been sent to the learner
    :param until: sequence number of the source's newest change when the keys were listed
    :param keys: the keys to send, oldest change first
    :param position: index in `keys` of the first key that has not been sent
    """

    sequence: int
    until: int
    keys: list[str]
    position: int = 0


@dataclass
class KeySource:
    """The source's half of all transfers from one controller.

    :param transfers: unfinished transfers, by learner
    """

    transfers: dict[str, _Transfer] = field(default_factory=dict)

    def page(self, keys: OperationKeys, learner: str, sequence: int, omit_answers: bool) -> TransferPage:
        """Return the next page for a learner. A key that changes during the transfer is sent again.

        :param learner: name of the learner
        :param sequence: sequence number up to which the learner has all changes
        :param omit_answers: whether the page is sent without answers
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
        """Return the sequence number up to which all changes were sent, given the keys still to be sent."""
        for key in transfer.keys[transfer.position :]:
            sequence = keys.changes.get(key, transfer.until + 1)
            if sequence <= transfer.until:
                return max(transfer.sequence, sequence - 1)
        return transfer.until


@dataclass(slots=True)
class PageRequest:
    """A request to one source, with the received page until all of its records are complete and stored.

    :param number: number of the request, unique at the learner
    :param as_voter: whether the request was sent under the epoch of a group in which the learner is a voter
    :param deadline_s: time after which the request is abandoned
    :param page: the received page; None until it arrives
    :param incarnation: incarnation of the source's process that sent the page
    :param lacking: keys of the page whose complete records have not arrived yet
    """

    number: int
    as_voter: bool
    deadline_s: float
    page: TransferPage | None = None
    incarnation: str = ""
    lacking: list[str] = field(default_factory=list)


@dataclass
class KeyLearner:
    """The learner's half of all transfers to one controller.

    :param cursors: cursors by source
    :param copied: sources that have been copied completely at least once
    :param requests: pending requests by source
    :param next_request_s: time from which on a source may be asked again, by source
    :param without_answers: sources from which the learner requests pages without answers
    :param refused: sources that replied to the last request with a rejection
    :param last_number: number of the last request
    """

    cursors: dict[str, Cursor] = field(default_factory=dict)
    copied: set[str] = field(default_factory=set)
    requests: dict[str, PageRequest] = field(default_factory=dict)
    next_request_s: dict[str, float] = field(default_factory=dict)
    without_answers: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    last_number: int = 0

    def reset_requests(self) -> None:
        """Discard all pending requests after a change of the group; replies to them are ignored."""
        self.requests.clear()
        self.next_request_s.clear()
        self.refused.clear()

    def expire_requests(self, now: float) -> None:
        """Discard the requests whose deadline has passed."""
        self.requests = {
            source: request for source, request in self.requests.items() if request.deadline_s > now
        }

    def may_ask(self, source: str, now: float) -> bool:
        """Return whether a request may be sent to a source now.

        Full copies are made from one source at a time; later changes are requested from all sources at once.
        """
        if source in self.requests or now < self.next_request_s.get(source, 0.0):
            return False
        return source in self.copied or self.copied.issuperset(self.requests)

    def omits_answers(self, source: str, key_count: int) -> bool:
        """Return whether to request pages without answers from a source.

        :param key_count: number of keys that the learner has; with many keys it has most of the answers
        """
        if source not in self.cursors and (self.copied or key_count >= MIN_KEYS_TO_OMIT_ANSWERS):
            self.without_answers.add(source)
        return source in self.without_answers and source not in self.copied

    def begin_request(self, source: str, as_voter: bool, now: float) -> PageRequest:
        """Create a pending request to a source and return it."""
        self.last_number += 1
        self.requests[source] = PageRequest(self.last_number, as_voter, now + PAGE_TIMEOUT_S)
        return self.requests[source]

    def handle_refusal(self, source: str, number: int, now: float) -> bool:
        """Handle a source's rejection of a request.

        :returns: whether the rejected request was still pending
        """
        if not self.pending_request(source, number):
            return False
        del self.requests[source]
        self.next_request_s[source] = now + REFUSAL_BACKOFF_S
        self.refused.add(source)
        return True

    def pending_request(self, source: str, number: int) -> PageRequest | None:
        """Return the request to a source with this number, or None if it is no longer pending."""
        request = self.requests.get(source)
        return request if request is not None and request.number == number else None

    def page_stored(self, source: str, request: PageRequest) -> None:
        """Advance the cursor of a source after the page of a request has been written to disk."""
        assert request.page is not None
        if self.requests.get(source) is request:
            del self.requests[source]
        self.cursors[source] = Cursor(request.incarnation, request.page.sequence)
        self.refused.discard(source)
        if request.page.last:
            self.copied.add(source)
