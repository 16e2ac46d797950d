"""What an import of access logs is to do, and what it has done."""

from __future__ import annotations

import secrets
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.traffic.classes import Classes, Shapes
from orchidferry.testkit.traffic.retries import WINDOW_S

REJECTED_SHARE = 0.05  # of what was read that may be rejected
MAX_NOTES = 50


class TooManyRejectedError(OrchidferryError):
    """More was rejected than may be; the text says how much, and for which reasons."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What to import, and how. `key` is that of the hashes, and is kept in memory alone."""

    files: tuple[Path, ...]
    form: str  # of logs; HARs are recognized by their content
    classes: Classes
    zone: str = "UTC"
    seed: int = 0  # of times spread within a second
    shifts: tuple[tuple[str, float], ...] = ()  # seconds that a file's clock is put on, by name
    window_s: float = WINDOW_S
    share: float = REJECTED_SHARE
    workers: int = 0  # 0: as many as there are cores
    key: bytes = field(default_factory=lambda: secrets.token_bytes(32))


@dataclass
class Report:
    """What an import did."""

    read: int = 0  # bytes, uncompressed
    lines: int = 0
    rows: int = 0
    rejects: Counter[str] = field(default_factory=Counter)
    unmatched: Shapes = field(default_factory=Shapes)
    mix: Counter[str] = field(default_factory=Counter)
    notes: list[str] = field(default_factory=list)
    seconds: float = 0.0
    matched_retries: int = 0
    false_matches: float = 0.0  # estimated number of matched retries that are no retries
    spread: int = 0  # rows whose time was spread within a second

    def note(self, text: str) -> None:
        """Add a remark for the reader of the report; those after the first `MAX_NOTES` are dropped."""
        if len(self.notes) < MAX_NOTES:
            self.notes.append(text)
