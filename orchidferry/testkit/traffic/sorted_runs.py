"""Rows sorted by time on disk: runs of them are spilled, and merged slice by slice."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import numpy as np

from orchidferry.testkit.traffic.recording import ROW, Rows

RUN_ROWS = 250_000  # that are sorted at once: 12 MB
MIN_STEP = 256  # rows of a run that are read at once


class SortedRuns:
    """External merge sort of rows by time.

    :param folder: for the sorted runs.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._buffered: list[Rows] = []
        self._count = 0  # of buffered rows
        self._files: list[Path] = []
        self.total = 0
        self.first = 0
        self.last = 0

    def put(self, rows: Rows) -> None:
        """Add rows.

        :param rows: in order of time.
        """
        if not len(rows):
            return
        self.first = min(self.first or int(rows["t"][0]), int(rows["t"][0]))
        self.last = max(self.last, int(rows["t"][-1]))
        self._buffered.append(rows)
        self._count += len(rows)
        self.total += len(rows)
        if self._count >= RUN_ROWS:
            self._spill()

    def _spill(self) -> None:
        rows = np.concatenate(self._buffered)
        rows = rows[np.argsort(rows["t"], kind="stable")]
        path = self._folder / f"run{len(self._files)}"
        rows.tofile(path)
        self._files.append(path)
        self._buffered = []
        self._count = 0

    def slices(self) -> Iterator[Rows]:
        """Merge all rows.

        :returns: slices of some hundred thousand rows, in order of time.
        """
        if self._buffered:
            self._spill()
        step = max(MIN_STEP, RUN_ROWS // max(1, len(self._files)))
        files = [path.open("rb") for path in self._files]  # read, not mapped: what is mapped counts as memory
        try:
            heads = [np.fromfile(file, ROW, step) for file in files]
            while any(map(len, heads)):
                # Up to the earliest of the times that each one's head ends with: none of them is passed.
                until = min(int(head["t"][-1]) for head in heads if len(head))
                parts = []
                for at, head in enumerate(heads):
                    end = int(np.searchsorted(head["t"], until, "right"))
                    parts.append(head[:end])
                    # Filled up again: of a short head the next step would be a short one for all.
                    more = np.fromfile(files[at], ROW, end)
                    heads[at] = np.concatenate([head[end:], more]) if len(more) else head[end:]
                rows = np.concatenate(parts)
                yield rows[np.argsort(rows["t"], kind="stable")]
        finally:
            for file in files:
                file.close()
