"""What the commands that rehearse say of their words."""

from __future__ import annotations

from pathlib import Path

from orchidferry.errors import OrchidferryError


class UsageError(OrchidferryError):
    """A word that can't be meant; one line that names it."""


def kept_folder(path: Path) -> Path:
    """An empty folder for `--keep`, made where there is none; `UsageError` if that can't be."""
    try:
        path.mkdir(parents=True, exist_ok=True)
        if any(path.iterdir()):
            raise UsageError(f"--keep {path}: is not empty")
    except OSError as problem:
        raise UsageError(f"--keep {path}: {problem.strerror}") from None
    return path
