"""The checks of a store that did not complete, and how many of them crashed the process.

LMDB aborts the process on some kinds of damage. Such a store would crash the process at each start, so
crashes are counted across starts. A check that is cut short from outside, by a kill, a stop or a loss of
power, shows nothing about the store and is not a crash.

The attempts file holds one byte for each check that has begun, and a report of the interpreter's fault
handler for each fatal signal (such as SIGABRT, SIGBUS or SIGSEGV) during a check.
"""

from __future__ import annotations

import contextlib
import faulthandler
import os
from collections.abc import Iterator

from orchidferry.mesh.storage.environment import remove_if_exists

ATTEMPTS_FILE = "opening"  # name of the attempts file in the data directory
ATTEMPT = b"x"
CRASH_REPORT = b"Fatal Python error"  # each report of the fault handler begins with this text
STDERR_DESCRIPTOR = 2


def count_crashes(directory: str) -> int:
    """Return how many checks have crashed the process since the last one that completed.

    :param directory: the controller's data directory
    :raises OSError: if the attempts file exists and can't be read
    """
    try:
        with open(os.path.join(directory, ATTEMPTS_FILE), "rb") as attempts_file:
            return attempts_file.read().count(CRASH_REPORT)
    except FileNotFoundError:
        return 0


def forget_attempts(directory: str) -> None:
    """Remove the attempts file, as the store that it is about is gone.

    :param directory: the controller's data directory
    """
    remove_if_exists(os.path.join(directory, ATTEMPTS_FILE))


@contextlib.contextmanager
def recorded_attempt(directory: str) -> Iterator[None]:
    """Record a check of the store while it runs; the attempts file is removed once the check has completed.

    A disk that rejects the record is no reason not to check the store, which may still be readable.

    :param directory: the controller's data directory
    """
    path = os.path.join(directory, ATTEMPTS_FILE)
    with contextlib.ExitStack() as cleaning:
        cleaning.callback(forget_attempts, directory)
        with contextlib.suppress(OSError):
            attempts_file = cleaning.enter_context(open(path, "ab", buffering=0))
            cleaning.enter_context(_crashes_reported_to(attempts_file.fileno()))
            attempts_file.write(ATTEMPT)
        yield


@contextlib.contextmanager
def _crashes_reported_to(descriptor: int) -> Iterator[None]:
    was_enabled = faulthandler.is_enabled()
    faulthandler.enable(descriptor, all_threads=False)
    try:
        yield
    finally:
        faulthandler.disable()
        if was_enabled:
            faulthandler.enable(STDERR_DESCRIPTOR)
