"""What is known of one node of the fleet, and which of two words about it counts. Here stands nothing else.

Words about a node are ordered, and the greatest counts: whoever hears the same words, in whatever order and
however often, holds the same in the end (the merge is a join of a semilattice). A node alone raises its own
incarnation, so its own word beats all that was said of it before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

# characters; bytes of the rest
MAX_NAME = 64
MAX_ZONE = 32
MAX_VERSION = 64
MAX_HOST = 45
MAX_MORE = 128
# A node raises its incarnation when it refutes, when its phase changes and when it starts: a jump is a lie,
# and the most leaves room for one each second of a century.
MAX_INCARNATION = 2**32
MAX_JUMP = 2**16
MAX_LIFE = 2**64 - 1


class Status(IntEnum):
    """Of two words of one incarnation the higher counts."""

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
    """A word about a node."""

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
    more: bytes = b""  # fields of later formats, handed on as they came

    @property
    def here(self) -> bool:
        """Whether it counts as a member that may be asked something."""
        return self.status <= Status.SUSPECT


Order = tuple[int, int, int, str, int, str, str, str, bytes]


def order(entry: Entry) -> Order:
    """Of two words about one name the greater counts.

    Beyond incarnation, status and life no two honest words differ; the rest makes the order total, so that
    even a liar's words end in one view.
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
        entry.more,
    )


def problem_of(entry: Entry) -> str:
    """Why an entry can't be meant, or "". Types are the reader's to check."""
    for field, text, most in (
        ("name", entry.name, MAX_NAME),
        ("zone", entry.zone, MAX_ZONE),
        ("version", entry.version, MAX_VERSION),
        ("host", entry.host, MAX_HOST),
        ("by", entry.by, MAX_NAME),
    ):
        if len(text) > most or not text.isprintable():
            return f"{field}: {text!r:.40} is over {most} characters or not printable"
    if not entry.name or not entry.host:
        return "name and host must not be empty"
    if not 0 < entry.port < 65536:
        return f"port: {entry.port} is none"
    if not 0 < entry.life <= MAX_LIFE:
        return f"life: {entry.life} is none"
    if not 0 <= entry.incarnation <= MAX_INCARNATION:
        return f"incarnation: {entry.incarnation} is over {MAX_INCARNATION}"
    if len(entry.more) > MAX_MORE:
        return f"{len(entry.more)} bytes of unknown fields, {MAX_MORE} at most"
    return ""


FIXED_BYTES = 52  # of an entry as written: its keys, numbers and tags, at most


def size_of(entry: Entry) -> int:
    """Bytes of an entry in a message, at most, for text in ASCII."""
    text = len(entry.name) + len(entry.host) + len(entry.zone) + len(entry.version) + len(entry.by)
    return FIXED_BYTES + text + len(entry.more)
