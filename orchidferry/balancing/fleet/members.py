"""The entry of one node of the fleet, and the order that decides which of two updates about it wins.

Updates about a node are totally ordered, and the greatest wins. Nodes that receive the same updates, in any
order and any number of times, therefore end with the same entries (the merge is a join of a semilattice).
Only a node itself raises its incarnation, so its own update wins over everything that was said about it
before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

# Greatest lengths of fields, in characters; MAX_UNKNOWN_FIELDS in bytes
MAX_NAME = 64
MAX_ZONE = 32
MAX_VERSION = 64
MAX_HOST = 45
MAX_UNKNOWN_FIELDS = 128
# A node raises its incarnation only when it refutes a claim, changes its phase or starts. An update that
# jumps further is therefore false. The maximum leaves room for one incarnation per second for a century.
MAX_INCARNATION = 2**32
MAX_JUMP = 2**16
MAX_LIFE = 2**64 - 1


class Status(IntEnum):
    """The status of a node. Of two updates with the same incarnation, the one with the higher status wins."""

    ALIVE = 0
    SUSPECT = 1  # a probe of the node failed; the node may refute the suspicion
    LOST = 2  # the node did not refute the suspicion in time
    LEFT = 3  # the node itself announced that it leaves


class Phase(Enum):
    """The phase that a node reports about itself."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Entry:
    """The information about a node; sent to other nodes, it is called an update."""

    name: str
    host: str  # the IP address at which its peers reach it
    port: int
    life: int  # random number drawn at the start of its process, to tell it from earlier ones
    incarnation: int = 0
    status: Status = Status.ALIVE
    phase: Phase = Phase.STARTING
    zone: str = ""
    version: str = ""  # version of program and settings, as named by the operators
    by: str = ""  # name of the node that suspects it or declared it lost; not part of the order
    unknown_fields: bytes = b""  # fields of later formats, passed on unchanged

    @property
    def present(self) -> bool:
        """Whether it is alive or suspected, so that messages may be sent to it."""
        return self.status <= Status.SUSPECT


Order = tuple[int, int, int, str, int, str, str, str, bytes]


def order(entry: Entry) -> Order:
    """The key by which updates about one node are ordered; the greatest wins.

    Honest updates never differ beyond incarnation, status and life. The remaining fields make the order
    total, so that even false updates lead to the same entries on all nodes.
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
    """The reason why an entry is invalid; "" if it is valid. The types are checked by the decoder."""
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
        return f"port: {entry.port} is out of range"
    if not 0 < entry.life <= MAX_LIFE:
        return f"life: {entry.life} is out of range"
    if not 0 <= entry.incarnation <= MAX_INCARNATION:
        return f"incarnation: {entry.incarnation} is over {MAX_INCARNATION}"
    if len(entry.unknown_fields) > MAX_UNKNOWN_FIELDS:
        return f"{len(entry.unknown_fields)} bytes of unknown fields, {MAX_UNKNOWN_FIELDS} at most"
    return ""


FIXED_BYTES = 52  # greatest size of the keys, numbers and tags of an encoded entry


def size_of(entry: Entry) -> int:
    """The greatest encoded size of an entry in bytes, for text in ASCII."""
    text = len(entry.name) + len(entry.host) + len(entry.zone) + len(entry.version) + len(entry.by)
    return FIXED_BYTES + text + len(entry.unknown_fields)
