"""The operation keys that one controller has granted, with the answers of their first runs. No I/O.

This is the controller's half of running a keyed request at most once. A node claims a key at all controllers
of the shard's group and may run the request once a majority has granted the key to its attempt, all under one
epoch of the group. A controller grants a key once: whoever claims it later learns of the attempt that holds
it and of its answer, where that is known. Only the holder may release a key, and only if it never ran.
Nothing else ends a claim but its age.

A grant must be on disk before it leaves: `OperationKeys.claim`, `record_answer` and `release` return what has
to be written first.

Each change of a record has a number of this process's run, so that another controller that has all changes up
to one number can be sent what came after it: `OperationKeys.changed_since`.

The age of a record is counted in buckets of `AGE_BUCKET_S`. The number of the newest bucket rises with
monotonic time and is stored with each record, so a restart lengthens a record's retention and never cuts it.
Time has to be brought up to date by `OperationKeys.advance` before a record is made: dated by an earlier
moment it would expire too early.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any

AGE_BUCKET_S = 20.0
UNKNOWN_HOLDER = ""  # of a key that controllers granted to more than one attempt
MAX_KEYS = 200_000  # at once; beyond these none is granted
MAX_RELEASES = 4_000  # that are remembered


class ClaimOutcome(StrEnum):
    """What a claim came to, in the words of `KeyGrant.outcome` on the wire."""

    GRANTED = "yours"  # the attempt may run: the caller hears its answer
    # Another attempt has the key: the caller hears its answer, or 409 `key_at_work` while that is unknown.
    HELD_BY_OTHER = "held"
    RETRY = "wait"  # the controller can't say yet: the node asks it again, and the caller waits
    UNDECIDED = "none"  # at a node only: no majority answered in time, the caller hears 503 `no_majority`


class ClaimStatus(Enum):
    """How one controller's table answers a claim."""

    GRANTED = "granted"
    HELD_BY_OTHER = "held by another attempt"
    TABLE_FULL = "table full"
    ALREADY_RELEASED = "already released"  # the attempt has released the key: its claim came late


@dataclass(slots=True)
class KeyRecord:
    """One key: the attempt that holds it, the age bucket of its claim, and the answer of its first run."""

    holder: str
    age_bucket: int
    answer: Any = None

    def packed(self) -> list[Any]:
        """Return the record as it is written to disk."""
        return [self.holder, self.age_bucket, self.answer]


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The answer of one controller's table to a claim."""

    status: ClaimStatus
    record: KeyRecord | None = None  # of the key, where it is granted or held by another attempt
    is_new: bool = False  # whether the record has to be written before the grant leaves


def max_retention_s(window_s: float) -> float:
    """Return the longest that a record is kept.

    :param window_s: how long a record is kept at least, in seconds

    >>> max_retention_s(60.0)
    140.0
    """
    return (int(window_s / AGE_BUCKET_S) + 4) * AGE_BUCKET_S


@dataclass
class OperationKeys:
    """The operation keys of one shard at one controller.

    :param window_s: how long a record is kept at least, in seconds
    :param max_keys: keys at once; beyond these none is granted
    """

    window_s: float
    max_keys: int = MAX_KEYS
    records: dict[str, KeyRecord] = field(default_factory=dict)
    newest_bucket: int = 0
    sequence: int = 0  # number of the newest change
    changes: dict[str, int] = field(default_factory=dict)  # the last change of each key, the newest last
    # Keys released lately, the last one at the end, and the holders that released each.
    released: dict[str, dict[str, None]] = field(default_factory=dict)
    _release_count: int = 0
    _bucket_began_s: float = 0.0
    _keys_by_bucket: dict[int, dict[str, None]] = field(default_factory=dict)

    @property
    def max_retention_s(self) -> float:
        """The longest that a record is kept, in seconds."""
        return max_retention_s(self.window_s)

    def merge(self, key: str, packed: list[Any]) -> None:
        """Take a record as the disk or another controller has it.

        An answer is never lost by it, and a claim that was released here is not restored by a controller that
        has not heard of the release.

        :param packed: the record as `KeyRecord.packed` makes it
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
            holder = UNKNOWN_HOLDER  # one of the two may have run, and this controller can't tell which
        self._put(key, KeyRecord(holder, self.newest_bucket, answer))

    def changed_since(self, sequence: int) -> list[str]:
        """Return the keys that changed after a change, the oldest first; those released lately among them."""
        found: list[str] = []
        for key in reversed(self.changes):
            if self.changes[key] <= sequence:
                break
            found.append(key)
        found.reverse()
        return found

    def claim(self, key: str, holder: str) -> ClaimResult:
        """Grant a key to an attempt, or say why not.

        :param holder: the attempt that claims the key
        :returns: the outcome; a record that is new has to be written before the grant leaves
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
        """Keep the answer of a key's first run.

        :returns: the record to write, or None if there is nothing new
        """
        existing = self.records.get(key)
        if existing is None:  # this controller missed the claim: a majority of the others has it
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

        A release of an unknown key is remembered all the same: the claim may come late, from the node or with
        another controller's keys.

        :returns: whether there is a record to delete on disk
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
        """Whether a holder is known to have released a key lately."""
        return holder in self.released.get(key, ())

    def advance(self, now_s: float) -> None:
        """Let time pass. Records that are made from now on count from this moment."""
        if not self._bucket_began_s:
            self._bucket_began_s = now_s
        while now_s - self._bucket_began_s >= AGE_BUCKET_S:
            self._bucket_began_s += AGE_BUCKET_S
            self.newest_bucket += 1

    def expire(self, now_s: float) -> list[str]:
        """Let time pass, and remove what is too old.

        :returns: the keys whose retention is over, to be deleted on disk
        """
        self.advance(now_s)
        # A record's bucket began AGE_BUCKET_S before it at most; one more for an attempt that was sent later.
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
