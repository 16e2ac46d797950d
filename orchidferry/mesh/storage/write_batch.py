"""Writes that wait for the disk, and a batch of them committed in pieces where the map is nearly full."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import lmdb

from orchidferry.mesh.storage.record_format import RecordWrite

MAX_FAILED_COMMITS = 64  # transactions of one batch that may fail for want of room


@dataclass(slots=True)
class PendingWrite:
    """Records that are written together, and who hears whether they are on disk."""

    puts: list[RecordWrite]
    told: Callable[[bool], None] | None
    at_s: float  # when it was asked for, by the loop's clock
    size: int  # bytes, as counted against the bound of the queue

    @property
    def unawaited_delete(self) -> bool:
        """Whether it only deletes and nobody waits for it."""
        return self.told is None and all(value is None for _, _, value in self.puts)


class SplittingCommitter:
    """Commits one batch at once or, where the map has no room for that, in halves of it.

    A transaction needs a free page for each page that it changes, even if it only deletes.
    """

    def __init__(self, transact: Callable[[list[PendingWrite]], list[bool]]) -> None:
        self._transact = transact
        self._failures_left = MAX_FAILED_COMMITS

    def commit(self, jobs: list[PendingWrite]) -> list[bool]:
        """Which of these are on disk."""
        try:
            return self._transact(jobs)
        except lmdb.MapFullError:
            self._failures_left -= 1
        if self._failures_left <= 0 or not jobs:
            return [False] * len(jobs)
        if len(jobs) == 1:
            return [self._commit_split(jobs[0])]
        half = len(jobs) // 2
        return self.commit(jobs[:half]) + self.commit(jobs[half:])

    def _commit_split(self, job: PendingWrite) -> bool:
        """Write a job in two parts, if nobody relies on its being atomic."""
        half = len(job.puts) // 2
        if not job.unawaited_delete or not half:
            return False
        first, second = (PendingWrite(part, None, 0.0, 0) for part in (job.puts[:half], job.puts[half:]))
        return all(self.commit([first]) + self.commit([second]))
