"""Which nodes and servers there are, as one controller or node knows it. Pure: no I/O, the clock handed in.

A node's record has one writer, the node itself: it holds a lease at each controller and sends its record
again when that changes. A record tells of the node's process and of the server on its machine. Of two
records of one process the one with the higher number counts; of two lives of a server neither replaces the
other, as each has an id of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

LEASE_S = 2.0  # a node that has renewed nothing for so long is a member no more
MAX_NODES = 4_096

IN_SERVICE = "in_service"
DRAINING = "draining"
GONE = "gone"


class Server(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A server as the node beside it knows it."""

    id: str
    service: str
    zone: str
    state: str
    capacity: int
    cold_left_ms: float
    version: str = ""


class Record(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A node's own word of itself."""

    name: str
    boot: int  # drawn at each start of its process
    number: int  # rises with each change
    zone: str
    ip: str
    inbound: int  # port
    server: Server | None


@dataclass(slots=True)
class _Lease:
    record: Record
    until_s: float


@dataclass
class Register:
    """The members that one controller knows."""

    lease_s: float = LEASE_S
    leases: dict[str, _Lease] = field(default_factory=dict)

    def hear(self, record: Record, now_s: float) -> bool:
        """Take a node's record; whether it tells anything new."""
        had = self.leases.get(record.name)
        if had is None and len(self.leases) >= MAX_NODES:
            return False
        if had is not None and had.record.boot == record.boot and had.record.number > record.number:
            return False
        self.leases[record.name] = _Lease(record, now_s + self.lease_s)
        return had is None or had.record != record

    def renew(self, name: str, boot: int, number: int, now_s: float) -> bool:
        """Renew a lease; False if the record that it is for is not known here."""
        had = self.leases.get(name)
        if had is None or had.record.boot != boot or had.record.number != number:
            return False
        had.until_s = now_s + self.lease_s
        return True

    def lapse(self, now_s: float) -> list[str]:
        """The nodes whose leases have run out; they are members no more."""
        late = [name for name, lease in self.leases.items() if lease.until_s <= now_s]
        for name in late:
            del self.leases[name]
        return late

    def records(self) -> list[Record]:
        """All members' records."""
        return [lease.record for lease in self.leases.values()]


def by_service(members: dict[str, Record]) -> dict[str, dict[str, Record]]:
    """Records of nodes with a server, by its service: one walk for all services together.

    >>> server = Server("i", "s", "z", IN_SERVICE, 1, 0.0)
    >>> beside, alone = Record("a", 1, 1, "z", "", 0, server), Record("b", 1, 1, "z", "", 0, None)
    >>> by_service({"a": beside, "b": alone}) == {"s": {"a": beside}}
    True
    """
    found: dict[str, dict[str, Record]] = {}
    for name, record in members.items():
        if record.server is not None:
            found.setdefault(record.server.service, {})[name] = record
    return found


def everyone(told: dict[str, dict[str, Record]], heard: set[str]) -> dict[str, Record]:
    """Every node's newest record, of what controllers say by name: those that are heard; all, if none is.

    A node is a member while any controller that is heard says so: one controller that is cut off from it
    takes nobody out, and one that has just started knows nobody.
    """
    found: dict[str, Record] = {}
    for controller, mine in told.items():
        if heard and controller not in heard:
            continue
        if not found:
            found = dict(mine)
            continue
        if mine == found:  # quick where both hold the same objects (`Subscriber` sees to that)
            continue
        for name, record in mine.items():
            had = found.get(name)
            if had is record:
                continue
            if had is None or (had.boot == record.boot and had.number < record.number):
                found[name] = record
    return found
