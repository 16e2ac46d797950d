"""The list of tests that fail because of a known, unfixed fault: `KNOWN-RED.txt`.

Each line holds the full name of one test, the command and observation, and the issue. The option
`--known-red FILE` of pytest deselects exactly these tests. The list should be short, but every fault that is
found is entered, however many there are. A line that does not name exactly one test is an error, as it would
deselect nothing, or tests that pass.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

LINE = re.compile(r"(?P<name>(?P<file>[^:,\s]+\.py)::[^\[,\s]+(\[.+?\])?), (?P<cause>.+), issue \d+")


class KnownFailuresError(Exception):
    """The list is invalid; the message names the line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that fails because of a known fault."""

    name: str  # node id in pytest, with its parameters
    file: str
    cause: str


def parse(text: str) -> list[KnownFailure]:
    """Read the list.

    :raises KnownFailuresError: if a line is not "test, cause, issue N", or a test is listed twice.
    """
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        match = LINE.fullmatch(line)
        if match is None:
            raise KnownFailuresError(
                f'line {number} is not "test, cause, issue N" with a whole test: {line:.80}'
            )
        found.append(KnownFailure(match["name"], match["file"], match["cause"]))
    counts = Counter(failure.name for failure in found)
    for name, count in counts.items():
        if count > 1:
            raise KnownFailuresError(f"{name} is listed {count} times")
    return found


def names_to_deselect(known: Sequence[KnownFailure], collected: Iterable[str]) -> set[str]:
    """Return the collected tests that are known to fail.

    :param known: the entries of the list.
    :param collected: node ids of all tests of the run; a file is collected completely or not at all.
    :raises KnownFailuresError: if a line names no test of a file that was collected.
    """
    names = set(collected)
    files = {name.partition("::")[0] for name in names}
    for failure in known:
        if failure.file in files and failure.name not in names:
            raise KnownFailuresError(f"no test is named {failure.name}")
    return {failure.name for failure in known if failure.name in names}
