"""Checks of command lines that the commands for rehearsals share."""

from __future__ import annotations

from pathlib import Path

from orchidferry.errors import OrchidferryError


class UsageError(OrchidferryError):
    """An argument is invalid; the message is one line that names it."""


def kept_folder(path: Path) -> Path:
    """Return the empty folder for `--keep`, created if it does not exist.

    :raises UsageError: if the folder is not empty or can't be created
    """
    try:
        path.mkdir(parents=True, exist_ok=True)
        if any(path.iterdir()):
            raise UsageError(f"--keep {path}: is not empty")
    except OSError as problem:
        raise UsageError(f"--keep {path}: {problem.strerror}") from None
    return path
