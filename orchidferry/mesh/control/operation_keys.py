"""The operation (idempotency) keys that one controller has granted, with their answers. No I/O.

This is the controller's half of running a keyed request at most once. A node claims a key at all controllers
of the shard's group. The request may run once a majority has granted the key to the same attempt, all under
one epoch of the group. A controller grants a key to one attempt only. The answer of a key is the response of
that attempt, stored so that later claims of the key get it. Only the holder may release a key, and only if
the request never ran; otherwise the record is removed when its retention ends.

A change must be on disk before the controller replies: `OperationKeys.claim`, `record_answer` and `release`
return what has to be written first.

Each change of a record gets a sequence number, valid until the process ends. A controller that has all
changes up to one number can therefore be sent only the later ones (`OperationKeys.changed_since`).

Records are dated by the controller's own age clock (`record_age`), and travel between controllers with their
ages. Restarts, handoffs and transfers may lengthen the retention of a record and never shorten it.
`OperationKeys.advance` must be called before a record is created or received: a record dated with an outdated
time would expire too early.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any

from orchidferry.mesh.control.record_age import (
    AGE_BUCKET_S,
    FIRST_BUCKET,
    AgeClock,
    bucket_of,
    end_of_bucket,
    pack_age,
    unpack_age,
)

UNKNOWN_HOLDER = ""  # holder of a key that different controllers granted to different attempts
MAX_KEYS = 200_000  # records in one table; a full table grants no further keys
MAX_RELEASES = 4_000  # remembered releases in one table; the oldest are forgotten first


class ClaimOutcome(StrEnum):
    """The outcome of a claim. The values are those of `KeyGrant.outcome` on the wire."""

    GRANTED = "yours"  # the attempt may run, and the caller gets its response
    # Another attempt holds the key: the caller gets its response, or 409 `key_at_work` while that is unknown.
    HELD_BY_OTHER = "held"
    RETRY = "wait"  # the controller can't decide yet: the node asks it again while the caller waits
    UNDECIDED = "none"  # set by nodes only: no majority in time, and the caller gets 503 `no_majority`


class ClaimStatus(Enum):
    """The result of a claim at one controller."""

    GRANTED = "granted"
    HELD_BY_OTHER = "held by another attempt"
    TABLE_FULL = "table full"
    ALREADY_RELEASED = "already released"  # a late claim: the same attempt has released the key before


@dataclass(slots=True)
class KeyRecord:
    """The record of one key.

    :param holder: id of the attempt that holds the key, or `UNKNOWN_HOLDER`
    :param age_bucket: number of the age bucket in which it was created, by the clock of its controller
    :param answer: response of the attempt that ran; None while it is unknown
    :param created_s: latest time at which the record may have been created, in seconds by the same clock
    """

    holder: str
    age_bucket: int
    answer: Any = None
    created_s: float = field(default=0.0, compare=False)

    def packed(self) -> list[Any]:
        """Return the record in the form in which it is stored."""
        return [self.holder, self.age_bucket, self.answer]


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of a claim, with the record of the key.

    :param record: the record of the key, if the key is granted or held by another attempt
    :param is_new: whether the record was created by this claim and must be written before the grant is sent
    """

    status: ClaimStatus
    record: KeyRecord | None = None
    is_new: bool = False


def max_retention_s(window_s: float) -> float:
    """Return the maximum retention of a record, in seconds.

    :param window_s: minimum retention of a record, in seconds

    >>> max_retention_s(60.0)
    140.0
    """
    return (int(window_s / AGE_BUCKET_S) + 4) * AGE_BUCKET_S


@dataclass
class OperationKeys:
    """The operation keys of one shard at one controller.

    :param window_s: minimum retention of a record, in seconds
    :param max_keys: maximum number of records; a full table grants no further keys
    :param records: records by key
    :param clock: the clock by which records are dated
    :param sequence: sequence number of the newest change
    :param changes: sequence number of the last change of each key, in ascending order
    :param released: holders that released a key recently, by key; the last released key is at the end
    """

    window_s: float
    max_keys: int = MAX_KEYS
    records: dict[str, KeyRecord] = field(default_factory=dict)
    clock: AgeClock = field(default_factory=AgeClock)
    sequence: int = 0
    changes: dict[str, int] = field(default_factory=dict)
    released: dict[str, dict[str, None]] = field(default_factory=dict)
    _release_count: int = 0
    _saved_bucket: int = FIRST_BUCKET - 1  # the newest bucket of the clock that is on disk or being written
    _undated: list[str] = field(default_factory=list)  # loaded keys whose records do not tell their age
    _keys_by_bucket: dict[int, dict[str, None]] = field(default_factory=dict)

    @property
    def max_retention_s(self) -> float:
        """The maximum retention of a record, in seconds."""
        return max_retention_s(self.window_s)

    @property
    def max_received_age_s(self) -> float:
        """The age from which on an unknown record of another controller is not taken, in seconds.

        Its window is over. It is less than the age at which records are removed, so that controllers do not
        return a removed record to each other.
        """
        return self.window_s + AGE_BUCKET_S

    def load(self, key: str, packed: list[Any]) -> None:
        """Load a record from disk, before any other call for its key.

        :param packed: the record as returned by `KeyRecord.packed`
        """
        holder, stored_bucket, answer = packed
        if answer is None and self.was_released_by(key, holder):
            return
        if stored_bucket >= 0:  # it does not tell the age
            self._undated.append(key)
            stored_bucket = FIRST_BUCKET
        self.clock.resume(stored_bucket)
        self._put(key, KeyRecord(holder, stored_bucket, answer, end_of_bucket(stored_bucket)))

    def resume_clock(self, stored_bucket: int) -> None:
        """Continue the clock from a bucket that `bucket_to_save` has returned in an earlier process."""
        self.clock.resume(stored_bucket)

    def bucket_to_save(self) -> int | None:
        """Return the clock's bucket if it has to be written, once for each bucket while there are records.

        Without it the clock would continue from the newest record after a restart: if that is an old one, all
        records would be kept for as long again.
        """
        bucket = self.clock.bucket
        if not self.records or bucket <= self._saved_bucket:
            return None
        self._saved_bucket = bucket
        return bucket

    def merge(self, key: str, packed: list[Any]) -> None:
        """Merge a record of another controller.

        A known answer is not overwritten within its window, and a claim that was released here is not
        restored by a controller that does not know of the release.

        :param packed: holder, packed age (`packed_age`) and answer of the record
        """
        holder, packed_age, answer = packed
        if answer is None and self.was_released_by(key, holder):
            return
        age_s = unpack_age(packed_age)
        created_s = self.clock.reading_s - age_s
        existing = self.records.get(key)
        if existing is None or self.is_outdated(key, holder, packed_age):
            if age_s < self.max_received_age_s:
                self._create(key, holder, answer, created_s)
            return
        if existing.answer is not None:
            return
        if answer is None:
            if existing.holder != holder:
                holder = UNKNOWN_HOLDER  # either attempt may have run; this controller can't tell which one
            elif created_s < existing.created_s + AGE_BUCKET_S:  # the same claim, or others of about its age
                return
        latest_s = max(created_s, existing.created_s)
        self._create(key, holder, answer, min(latest_s, self.clock.reading_s))

    def is_outdated(self, key: str, holder: str, packed_age: int) -> bool:
        """Return whether a record of another controller is of a later operation with the same key.

        The window of this controller's record is over, and that of the other one is not.

        :param holder: holder of the other record
        :param packed_age: its packed age
        """
        existing = self.records.get(key)
        if existing is None or existing.holder == holder:
            return False
        existing_age_s = self.clock.reading_s - existing.created_s
        return existing_age_s >= self.max_received_age_s and unpack_age(packed_age) < self.window_s

    def packed_age(self, record: KeyRecord) -> int:
        """Return the age of a record in the form in which it is sent to other controllers."""
        return pack_age(max(0.0, self.clock.reading_s - record.created_s))

    def changed_since(self, sequence: int) -> list[str]:
        """Return the keys that changed after a sequence number, oldest change first, with recent releases."""
        found: list[str] = []
        for key in reversed(self.changes):
            if self.changes[key] <= sequence:
                break
            found.append(key)
        found.reverse()
        return found

    def claim(self, key: str, holder: str) -> ClaimResult:
        """Grant a key to an attempt, or return the reason why it is not granted.

        :param holder: id of the attempt that claims the key
        :returns: the result; a new record has to be written before the grant is sent
        """
        existing = self.records.get(key)
        if existing is not None:
            granted = existing.holder == holder
            status = ClaimStatus.GRANTED if granted else ClaimStatus.HELD_BY_OTHER
            return ClaimResult(status, existing)
        if self.was_released_by(key, holder):
            return ClaimResult(ClaimStatus.ALREADY_RELEASED)
        if len(self.records) >= self.max_keys:
            return ClaimResult(ClaimStatus.TABLE_FULL)
        record = self._create(key, holder, None, self.clock.reading_s)
        return ClaimResult(ClaimStatus.GRANTED, record, is_new=True)

    def record_answer(self, key: str, holder: str, answer: Any) -> KeyRecord | None:
        """Store the response of the attempt that ran under a key.

        :param holder: id of the attempt
        :returns: the record to write, or None if nothing has changed
        """
        existing = self.records.get(key)
        if existing is None:  # the claim did not reach this controller, but a majority has granted it
            return self._create(key, holder, answer, self.clock.reading_s)
        if existing.holder not in (holder, UNKNOWN_HOLDER) or existing.answer is not None:
            return None
        existing.holder = holder
        existing.answer = answer
        self._number_change(key)
        return existing

    def release(self, key: str, holder: str) -> bool:
        """Release a key whose attempt never ran.

        The release of an unknown key is remembered too: the claim may still arrive, from the node or in a
        transfer from another controller.

        :param holder: id of the attempt
        :returns: whether a record was removed and has to be deleted on disk
        """
        existing = self.records.get(key)
        if existing is not None and (existing.holder != holder or existing.answer is not None):
            return False
        if existing is not None:
            del self.records[key]
            self._keys_by_bucket.get(existing.age_bucket, {}).pop(key, None)
        self._remember_release(key, holder)
        return existing is not None

    def was_released_by(self, key: str, holder: str) -> bool:
        """Return whether a recent release of a key by this holder is known."""
        return holder in self.released.get(key, ())

    def advance(self, now_s: float) -> None:
        """Advance the age clock, which dates new records, to a monotonic time in seconds."""
        self.clock.advance(now_s)
        for key in self._undated:
            record = self.records.get(key)
            if record is not None:
                self._create(key, record.holder, record.answer, self.clock.reading_s)
        self._undated.clear()

    def expire(self, now_s: float) -> list[str]:
        """Advance the age clock and remove the records whose retention has ended.

        :returns: the removed keys, to be deleted on disk
        """
        self.advance(now_s)
        # A bucket begins up to AGE_BUCKET_S before a record in it is created; one more bucket is added for an
        # attempt that was sent after its claim.
        last_expired = self.clock.bucket - int(self.window_s / AGE_BUCKET_S) - 3
        expired: list[str] = []
        for bucket in [bucket for bucket in self._keys_by_bucket if bucket <= last_expired]:
            keys = self._keys_by_bucket.pop(bucket)
            expired += keys
            for key in keys:
                del self.records[key]
                if key not in self.released:
                    del self.changes[key]
        return expired

    def _create(self, key: str, holder: str, answer: Any, created_s: float) -> KeyRecord:
        record = KeyRecord(holder, bucket_of(created_s), answer, created_s)
        self._put(key, record)
        return record

    def _put(self, key: str, record: KeyRecord) -> None:
        existing = self.records.get(key)
        if existing is not None:
            self._keys_by_bucket.get(existing.age_bucket, {}).pop(key, None)
        self.records[key] = record
        self._keys_by_bucket.setdefault(record.age_bucket, {})[key] = None
        self._number_change(key)

    def _number_change(self, key: str) -> None:
        self.sequence += 1
        self.changes.pop(key, None)
        self.changes[key] = self.sequence

    def _remember_release(self, key: str, holder: str) -> None:
        self._number_change(key)
        holders = self.released.pop(key, {})
        self._release_count += holder not in holders
        holders[holder] = None
        self.released[key] = holders
        while self._release_count > MAX_RELEASES:
            oldest = next(iter(self.released))
            self._release_count -= len(self.released.pop(oldest))
            if oldest not in self.records:
                del self.changes[oldest]
