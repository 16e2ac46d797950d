"""Sorts rows by time on disk: sorted runs are spilled to files, and merged slice by slice."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import numpy as np

from orchidferry.testkit.traffic.recording import ROW, Rows

RUN_ROWS = 250_000  # rows of a run, which are sorted in memory: 12 MB
MIN_STEP = 256  # minimum number of rows of a run that are read at once


class SortedRuns:
    """External merge sort of rows by time.

    :param folder: for the files of the sorted runs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._buffered: list[Rows] = []
        self._buffered_count = 0  # number of buffered rows
        self._files: list[Path] = []
        self.total = 0  # number of all rows
        self.first = 0  # earliest time of all rows, in microseconds since 1970
        self.last = 0  # latest time of all rows

    def put(self, rows: Rows) -> None:
        """Add rows.

        :param rows: in order of time.
        """
        if not len(rows):
            return
        self.first = min(self.first or int(rows["t"][0]), int(rows["t"][0]))
        self.last = max(self.last, int(rows["t"][-1]))
        self._buffered.append(rows)
        self._buffered_count += len(rows)
        self.total += len(rows)
        if self._buffered_count >= RUN_ROWS:
            self._spill()

    def _spill(self) -> None:
        """Write the buffered rows to a file as a sorted run."""
        rows = np.concatenate(self._buffered)
        rows = rows[np.argsort(rows["t"], kind="stable")]
        path = self._folder / f"run{len(self._files)}"
        rows.tofile(path)
        self._files.append(path)
        self._buffered = []
        self._buffered_count = 0

    def slices(self) -> Iterator[Rows]:
        """Merge all rows.

        :returns: slices of some hundred thousand rows, in order of time.
        """
        if self._buffered:
            self._spill()
        step = max(MIN_STEP, RUN_ROWS // max(1, len(self._files)))
        files = [path.open("rb") for path in self._files]  # not mapped: mapped pages count as memory use
        try:
            heads = [np.fromfile(file, ROW, step) for file in files]
            while any(map(len, heads)):
                # Rows up to the earliest last time of a head can be merged: no unread row is earlier.
                until = min(int(head["t"][-1]) for head in heads if len(head))
                parts = []
                for at, head in enumerate(heads):
                    end = int(np.searchsorted(head["t"], until, "right"))
                    parts.append(head[:end])
                    # Each head is refilled at once: a short head would limit the next slice for all runs.
                    more = np.fromfile(files[at], ROW, end)
                    heads[at] = np.concatenate([head[end:], more]) if len(more) else head[end:]
                rows = np.concatenate(parts)
                yield rows[np.argsort(rows["t"], kind="stable")]
        finally:
            for file in files:
                file.close()
