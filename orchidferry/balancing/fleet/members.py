"""The record of one node of the fleet, and which of two updates about it wins.

Updates about a node are ordered, and the greatest wins: nodes that receive the same updates, in any order and
any number of times, end with the same entries (the merge is a join of a semilattice). A node alone raises its
own incarnation, so its own update wins over all that was said of it before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

# In characters, the last in bytes
MAX_NAME = 64
MAX_ZONE = 32
MAX_VERSION = 64
MAX_HOST = 45
MAX_UNKNOWN_FIELDS = 128
# A node raises its incarnation when it refutes, when its phase changes and when it starts: a jump is a lie,
# and the most leaves room for one each second of a century.
MAX_INCARNATION = 2**32
MAX_JUMP = 2**16
MAX_LIFE = 2**64 - 1


class Status(IntEnum):
    """Of two updates of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1  # a probe of it failed; it may refute that
    LOST = 2  # it did not, in time
    LEFT = 3  # it said itself that it goes


class Phase(Enum):
    """What a node says of itself."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Entry:
    """What is said of a node: an update, when it is sent."""

    name: str
    host: str  # where its peers reach it: an IP address
    port: int
    life: int  # drawn when its process started: tells it from the one before it, with or without a disk
    incarnation: int = 0
    status: Status = Status.ALIVE
    phase: Phase = Phase.STARTING
    zone: str = ""
    version: str = ""  # of program and settings, as its operators name them
    by: str = ""  # who suspects or lost it; not part of the order
    unknown_fields: bytes = b""  # of later formats, passed on as they came

    @property
    def present(self) -> bool:
        """Whether it is alive or suspected: it may be sent something."""
        return self.status <= Status.SUSPECT


Order = tuple[int, int, int, str, int, str, str, str, bytes]


def order(entry: Entry) -> Order:
    """The key by which updates about one name are ordered; the greatest wins.

    Beyond incarnation, status and life no two honest updates differ; the rest makes the order total, so that
    even a liar's updates end in the same entries everywhere.
    """
    return (
        entry.incarnation,
        entry.status,
        entry.life,
        entry.host,
        entry.port,
        entry.phase.value,
        entry.zone,
        entry.version,
        entry.unknown_fields,
    )


def problem_of(entry: Entry) -> str:
    """Why an entry is invalid, or "". Types are the reader's to check."""
    for field, text, limit in (
        ("name", entry.name, MAX_NAME),
        ("zone", entry.zone, MAX_ZONE),
        ("version", entry.version, MAX_VERSION),
        ("host", entry.host, MAX_HOST),
        ("by", entry.by, MAX_NAME),
    ):
        if len(text) > limit or not text.isprintable():
            return f"{field}: {text!r:.40} is over {limit} characters or not printable"
    if not entry.name or not entry.host:
        return "name and host must not be empty"
    if not 0 < entry.port < 65536:
        return f"port: {entry.port} is none"
    if not 0 < entry.life <= MAX_LIFE:
        return f"life: {entry.life} is none"
    if not 0 <= entry.incarnation <= MAX_INCARNATION:
        return f"incarnation: {entry.incarnation} is over {MAX_INCARNATION}"
    if len(entry.unknown_fields) > MAX_UNKNOWN_FIELDS:
        return f"{len(entry.unknown_fields)} bytes of unknown fields, {MAX_UNKNOWN_FIELDS} at most"
    return ""


FIXED_BYTES = 52  # of an entry as written: its keys, numbers and tags, at most


def size_of(entry: Entry) -> int:
    """Bytes of an entry in a message, at most, for text in ASCII."""
    text = len(entry.name) + len(entry.host) + len(entry.zone) + len(entry.version) + len(entry.by)
    return FIXED_BYTES + text + len(entry.unknown_fields)
