"""The plan and the report of an import of access logs."""

from __future__ import annotations

import secrets
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.traffic.classes import Classes, Shapes
from orchidferry.testkit.traffic.retries import WINDOW_S

REJECTED_SHARE = 0.05  # default of the fraction of lines that may be rejected
MAX_NOTES = 50  # notes in a report


class TooManyRejectedError(OrchidferryError):
    """Too many lines were rejected; the text tells how many, and the most frequent reasons."""


@dataclass(frozen=True, slots=True)
class Plan:
    """The files to import, and the settings of the import."""

    files: tuple[Path, ...]
    form: str  # log format, see `formats`; HARs are recognized by their content
    classes: Classes
    zone: str = "UTC"  # time zone of times without a zone
    seed: int = 0  # seed of the random fractions that are added to times in whole seconds
    shifts: tuple[tuple[str, float], ...] = ()  # name of a file, and seconds to add to its times
    window_s: float = WINDOW_S  # maximum time from the end of a failed request to its retry
    share: float = REJECTED_SHARE  # fraction of lines that may be rejected
    workers: int = 0  # number of worker processes; 0: one per core
    # Key of the hashes of clients and objects, which is kept only in memory
    key: bytes = field(default_factory=lambda: secrets.token_bytes(32))


@dataclass
class Report:
    """The counts and notes of an import."""

    read: int = 0  # uncompressed bytes that were read
    lines: int = 0  # lines of logs and entries of HARs that were read
    rows: int = 0  # imported requests
    rejects: Counter[str] = field(default_factory=Counter)  # rejected lines, by reason
    unmatched: Shapes = field(default_factory=Shapes)  # shapes of the requests that match no class
    mix: Counter[str] = field(default_factory=Counter)  # imported requests, by class
    notes: list[str] = field(default_factory=list)  # about gaps, clock jumps and damaged files
    seconds: float = 0.0  # time from the first request to the last
    matched_retries: int = 0
    false_matches: float = 0.0  # estimated number of matched retries that are no retries
    spread: int = 0  # requests logged in whole seconds, with a random fraction added to the time

    def note(self, text: str) -> None:
        """Add a note; notes after the first `MAX_NOTES` are dropped."""
        if len(self.notes) < MAX_NOTES:
            self.notes.append(text)
