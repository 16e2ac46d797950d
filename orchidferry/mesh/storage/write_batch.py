"""Pending writes, and committing a batch of them in smaller transactions if the memory map is nearly full."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import lmdb

from orchidferry.mesh.storage.record_format import RecordWrite

MAX_FAILED_COMMITS = 64  # transactions of one batch that may fail for lack of space in the memory map


@dataclass(slots=True)
class PendingWrite:
    """Records that are written in one transaction, and the callback for the result.

    :ivar records: the records to write or delete
    :ivar on_written: called with whether the records are on disk; None if the result is not needed
    :ivar requested_at_s: time of the request, in seconds of the loop's clock
    :ivar size: bytes that count against the limit on pending writes
    """

    records: list[RecordWrite]
    on_written: Callable[[bool], None] | None
    requested_at_s: float
    size: int

    @property
    def is_unawaited_delete(self) -> bool:
        """Whether this write only deletes records and no callback waits for its result."""
        return self.on_written is None and all(value is None for _, _, value in self.records)


class SplittingCommitter:
    """Commits one batch in one transaction or, if the memory map has too little space, in ever smaller parts.

    LMDB is copy-on-write: a transaction needs a free page for each page that it changes, even if it only
    deletes.
    """

    def __init__(self, transact: Callable[[list[PendingWrite]], list[bool]]) -> None:
        """:param transact: commits writes in one transaction; returns for each whether it is on disk"""
        self._transact = transact
        self._failures_left = MAX_FAILED_COMMITS

    def commit(self, writes: list[PendingWrite]) -> list[bool]:
        """Commit writes.

        :param writes: the writes to commit
        :returns: for each write whether it is on disk
        :raises lmdb.Error: if a commit fails for another reason than lack of space in the map
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
        """Commit one write in two transactions, if it need not be atomic; return whether it is on disk."""
        half = len(write.records) // 2
        if not write.is_unawaited_delete or not half:
            return False
        first = PendingWrite(write.records[:half], None, 0.0, 0)
        second = PendingWrite(write.records[half:], None, 0.0, 0)
        return all(self.commit([first]) + self.commit([second]))
