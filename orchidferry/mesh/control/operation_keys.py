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

The age of a record is counted in buckets of `AGE_BUCKET_S`. The number of the newest bucket rises with
monotonic time and is stored with each record, so a restart lengthens the retention of a record and never
shortens it. `OperationKeys.advance` must be called before a record is created: a record dated with an
outdated bucket would expire too early.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any

AGE_BUCKET_S = 20.0
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
    :param age_bucket: number of the age bucket in which the record was created
    :param answer: response of the attempt that ran; None while it is unknown
    """

    holder: str
    age_bucket: int
    answer: Any = None

    def packed(self) -> list[Any]:
        """Return the record in the form in which it is stored and sent."""
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
    :param newest_bucket: number of the current age bucket
    :param sequence: sequence number of the newest change
    :param changes: sequence number of the last change of each key, in ascending order
    :param released: holders that released a key recently, by key; the last released key is at the end
    """

    window_s: float
    max_keys: int = MAX_KEYS
    records: dict[str, KeyRecord] = field(default_factory=dict)
    newest_bucket: int = 0
    sequence: int = 0
    changes: dict[str, int] = field(default_factory=dict)
    released: dict[str, dict[str, None]] = field(default_factory=dict)
    _release_count: int = 0
    _bucket_began_s: float = 0.0
    _keys_by_bucket: dict[int, dict[str, None]] = field(default_factory=dict)

    @property
    def max_retention_s(self) -> float:
        """The maximum retention of a record, in seconds."""
        return max_retention_s(self.window_s)

    def merge(self, key: str, packed: list[Any]) -> None:
        """Merge a record that was read from disk or received from another controller.

        A known answer is never overwritten, and a claim that was released here is not restored by a
        controller that does not know of the release.

        :param packed: the record as returned by `KeyRecord.packed`
        """
        holder, age_bucket, answer = packed
        self.newest_bucket = max(self.newest_bucket, age_bucket)
        if answer is None and self.was_released_by(key, holder):
            return
        existing = self.records.get(key)
        if existing is not None and existing.answer is not None:
            return
        if existing is not None and answer is None:
            if existing.holder == holder:
                return
            holder = UNKNOWN_HOLDER  # either attempt may have run, and this controller can't tell which one
        self._put(key, KeyRecord(holder, self.newest_bucket, answer))

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
        record = KeyRecord(holder, self.newest_bucket)
        self._put(key, record)
        return ClaimResult(ClaimStatus.GRANTED, record, is_new=True)

    def record_answer(self, key: str, holder: str, answer: Any) -> KeyRecord | None:
        """Store the response of the attempt that ran under a key.

        :param holder: id of the attempt
        :returns: the record to write, or None if nothing has changed
        """
        existing = self.records.get(key)
        if existing is None:  # the claim did not reach this controller, but a majority has granted it
            record = KeyRecord(holder, self.newest_bucket, answer)
            self._put(key, record)
            return record
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
        """Advance the current age bucket, which dates new records, to a monotonic time."""
        if not self._bucket_began_s:
            self._bucket_began_s = now_s
        while now_s - self._bucket_began_s >= AGE_BUCKET_S:
            self._bucket_began_s += AGE_BUCKET_S
            self.newest_bucket += 1

    def expire(self, now_s: float) -> list[str]:
        """Advance the age bucket and remove the records whose retention has ended.

        :returns: the removed keys, to be deleted on disk
        """
        self.advance(now_s)
        # A bucket begins up to AGE_BUCKET_S before a record in it is created; one more bucket is added for an
        # attempt that was sent after its claim.
        last_expired = self.newest_bucket - int(self.window_s / AGE_BUCKET_S) - 3
        expired: list[str] = []
        for bucket in [bucket for bucket in self._keys_by_bucket if bucket <= last_expired]:
            keys = self._keys_by_bucket.pop(bucket)
            expired += keys
            for key in keys:
                del self.records[key]
                if key not in self.released:
                    del self.changes[key]
        return expired

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
