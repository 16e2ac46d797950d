"""Writes that wait for the disk, and a batch of them committed in pieces if the map is nearly full."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import lmdb

from orchidferry.mesh.storage.record_format import RecordWrite

MAX_FAILED_COMMITS = 64  # transactions of one batch that may fail for want of space


@dataclass(slots=True)
class PendingWrite:
    """Records that are written together, and the callback for the result.

    :ivar records: what is written
    :ivar on_written: called with whether the records are on disk; None if nobody waits for that
    :ivar requested_at_s: when the write was requested, by the loop's clock
    :ivar size: bytes, as counted against the limit of the queue
    """

    records: list[RecordWrite]
    on_written: Callable[[bool], None] | None
    requested_at_s: float
    size: int

    @property
    def is_unawaited_delete(self) -> bool:
        """Whether it only deletes and nobody waits for it."""
        return self.on_written is None and all(value is None for _, _, value in self.records)


class SplittingCommitter:
    """Commits one batch at once or, if the map has no space for that, in halves of it.

    A transaction needs a free page for each page that it changes, even if it only deletes.
    """

    def __init__(self, transact: Callable[[list[PendingWrite]], list[bool]]) -> None:
        """:param transact: commits writes in one transaction and returns which of them it took"""
        self._transact = transact
        self._failures_left = MAX_FAILED_COMMITS

    def commit(self, writes: list[PendingWrite]) -> list[bool]:
        """Commit these writes.

        :returns: for each of them whether it is on disk
        :raises lmdb.Error: if the disk takes nothing
        """
        try:
            return self._transact(writes)
        except lmdb.MapFullError:
            self._failures_left -= 1
        if self._failures_left <= 0 or not writes:
            return [False] * len(writes)
        if len(writes) == 1:
            return [self._commit_split(writes[0])]
        half = len(writes) // 2
        return self.commit(writes[:half]) + self.commit(writes[half:])

    def _commit_split(self, write: PendingWrite) -> bool:
        """Commit one write in two transactions, if nobody relies on its being atomic."""
        half = len(write.records) // 2
        if not write.is_unawaited_delete or not half:
            return False
        first = PendingWrite(write.records[:half], None, 0.0, 0)
        second = PendingWrite(write.records[half:], None, 0.0, 0)
        return all(self.commit([first]) + self.commit([second]))
