"""Pending writes, and committing a batch in smaller transactions if one transaction can't hold all of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import lmdb

from orchidferry.mesh.storage.record_format import RecordWrite

MAX_FAILED_COMMITS = 64  # transactions of one batch that may fail because of their content
# Errors for which the content of a transaction is the cause: it is too large, or a record can't be stored.
CONTENT_ERRORS = (lmdb.MapFullError, lmdb.TxnFullError, lmdb.BadValsizeError)


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
    """Commits one batch in one transaction or, if that fails because of its content, in ever smaller parts.

    A record that can't be stored fails no other write than its own. LMDB is copy-on-write: a transaction
    needs a free page for each page that it changes, even if it only deletes.
    """

    def __init__(self, transact: Callable[[list[PendingWrite]], list[bool]]) -> None:
        """:param transact: commits writes in one transaction; returns for each whether it is on disk"""
        self._transact = transact
        self._failures_left = MAX_FAILED_COMMITS

    def commit(self, writes: list[PendingWrite]) -> list[bool]:
        """Commit writes.

        :param writes: the writes to commit
        :returns: for each write whether it is on disk
        :raises lmdb.Error: if a commit fails for another reason than its content
        """
        try:
            return self._transact(writes)
        except CONTENT_ERRORS:
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
