"""Statistics of a recording: totals by class and second, gaps between requests, and popularity."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from orchidferry.testkit.traffic.classes import mix
from orchidferry.testkit.traffic.recording import Header, Reader, Rows
from orchidferry.testkit.traffic.retries import failed

TOP_RANKS = (1, 10, 100, 1_000)  # the share of the most frequent 1, 10, ... hashes is reported
GAP_EDGES = np.logspace(0, 9, 1_801)  # bin edges of the histogram of gaps, in us: steps of 1.2 %
QUANTILES = {"p50": 0.5, "p90": 0.9, "p99": 0.99}
US_PER_S = 1_000_000
US_PER_MS = 1e3
MIN_DURATION_S = 1e-6  # avoids a division by zero if all requests have the same time


class HashCounter:
    """Counts occurrences of hashes, with 16 bytes per hash; 0 means unknown and is not counted."""

    def __init__(self) -> None:
        self._ids = np.zeros(0, np.uint64)
        self._counts = np.zeros(0, np.int64)

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, ids: Any) -> None:
        """Count an array of hashes."""
        new_ids, new_counts = np.unique(ids[ids != 0], return_counts=True)
        all_ids, positions = np.unique(np.concatenate([self._ids, new_ids]), return_inverse=True)
        merged = np.bincount(positions, np.concatenate([self._counts, new_counts]), len(all_ids))
        self._ids = all_ids
        self._counts = merged.astype(np.int64)

    def ranked(self) -> Any:
        """:returns: the counts, highest first."""
        return np.sort(self._counts)[::-1]

    def top_shares(self) -> dict[str, float]:
        """:returns: the fraction of all occurrences of the 1, 10, 100 and 1000 most frequent hashes."""
        ranked = self.ranked()
        total = max(1, int(ranked.sum()))
        return {str(rank): float(ranked[:rank].sum()) / total for rank in TOP_RANKS if rank <= len(ranked)}


@dataclass
class Totals:
    """Totals of a recording, summed block by block."""

    header: Header
    per_second: Any  # number of requests, by class and second
    retries_per_second: Any
    failed_per_second: Any
    gaps: Any  # histogram of the gaps between requests, with the bins of `GAP_EDGES`
    clients: HashCounter = field(default_factory=HashCounter)
    objects: HashCounter = field(default_factory=HashCounter)

    @property
    def names(self) -> list[str]:
        """The names of the classes, in the header's order."""
        return [row["name"] for row in self.header.classes]

    def add(self, rows: Rows, last_us: int | None) -> int:
        """Add a block of rows, which follows the rows added before.

        :param rows: in order of time.
        :param last_us: the time of the row before the block; None for the first block.
        :returns: the time of the block's last row, in microseconds.
        """
        times = rows["t"].astype(np.int64)
        for number in range(len(self.header.classes)):
            self.per_second[number] += self._by_second(times[rows["cls"] == number])
        self.retries_per_second += self._by_second(times[rows["number"] > 0])
        self.failed_per_second += self._by_second(times[failed(rows)])
        steps = np.diff(times, prepend=times[:1] if last_us is None else last_us)
        if last_us is None:
            steps = steps[1:]  # there is no gap before the first row
        self.gaps += np.bincount(np.digitize(steps, GAP_EDGES), minlength=len(GAP_EDGES) + 1)
        self.clients.add(rows["client"])
        self.objects.add(rows["object"])
        return int(times[-1])

    def _by_second(self, times: Any) -> Any:
        seconds = len(self.retries_per_second)
        return np.bincount(times // US_PER_S, minlength=seconds)[:seconds]


def read_totals(path: Path) -> Totals:
    """Compute the totals of a recording in one pass; memory use grows with the seconds, clients and objects.

    :param path: of the recording.
    :raises RecordingError: if the recording can't be read.
    """
    reader = Reader(path)
    seconds = int(reader.header.seconds) + 1
    totals = Totals(
        reader.header,
        per_second=np.zeros((len(reader.header.classes), seconds), np.int64),
        retries_per_second=np.zeros(seconds, np.int64),
        failed_per_second=np.zeros(seconds, np.int64),
        gaps=np.zeros(len(GAP_EDGES) + 1, np.int64),
    )
    last_us: int | None = None
    for rows in reader.blocks():
        last_us = totals.add(rows, last_us)
    return totals


def read_summary(path: Path) -> dict[str, Any]:
    """Summarize a recording, as `show --json` prints it.

    :param path: of the recording.
    :raises RecordingError: if the recording can't be read.
    """
    return summarize(read_totals(path))


def summarize(totals: Totals) -> dict[str, Any]:
    """:returns: the summary of a recording; its keys are those of `show --json`."""
    header = totals.header
    by_class = totals.per_second.sum(axis=1)
    by_second = totals.per_second.sum(axis=0)
    total = int(by_class.sum())
    return {
        "requests": total,
        "seconds": header.seconds,
        "began": header.began,
        "mix": mix({name: int(count) for name, count in zip(totals.names, by_class, strict=True) if count}),
        "failed": int(totals.failed_per_second.sum()),
        "retries": int(totals.retries_per_second.sum()),
        "gaps_ms": _gap_quantiles_ms(totals.gaps) if total > 1 else {},
        "clients": len(totals.clients),
        "objects": len(totals.objects),
        "popularity": totals.objects.top_shares(),
        "busiest_clients": totals.clients.top_shares(),
        "rate": {"mean": total / max(MIN_DURATION_S, header.seconds), "most": int(by_second.max(initial=0))},
        "per_second": by_second.tolist(),
        "notes": header.notes,
    }


def _gap_quantiles_ms(gaps: Any) -> dict[str, float]:
    cumulative = np.cumsum(gaps)
    quantiles = {}
    for name, quantile in QUANTILES.items():
        rank = int(np.searchsorted(cumulative, quantile * cumulative[-1]))
        quantiles[name] = float(GAP_EDGES[min(rank, len(GAP_EDGES) - 1)]) / US_PER_MS
    return quantiles
