"""Which nodes and servers there are, as one controller or node knows it. Pure: no I/O, the clock handed in.

A node's record has one writer, the node itself: it holds a lease at each controller and sends its record
again when that changes. A record describes the node's process and the server on its machine. Of two records
of one process the one with the higher number is the newer; two incarnations of a server do not replace each
other, as each has an id of its own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

LEASE_S = 2.0  # a node that has not renewed its lease for so long is a member no more
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
    warmup_left_ms: float  # of the server's warm-up
    version: str = ""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What a node announces of itself."""

    name: str
    boot: int  # drawn at each start of its process
    number: int  # rises with each change
    zone: str
    ip: str
    inbound: int  # port
    server: Server | None


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """One process of a node, and where it runs.

    :param boot: the number drawn at the start of the process.
    """

    name: str
    boot: int
    zone: str


@dataclass(slots=True)
class _NodeLease:
    record: NodeRecord
    until_s: float


@dataclass
class MembershipTable:
    """The members that one controller knows, each while its lease lasts.

    :param lease_s: how long a lease lasts.
    :param leases: by node name.
    """

    lease_s: float = LEASE_S
    leases: dict[str, _NodeLease] = field(default_factory=dict)

    def update(self, record: NodeRecord, now_s: float) -> bool:
        """Take a node's record and renew its lease; older records and those beyond `MAX_NODES` are ignored.

        :returns: whether the record is new or has changed.
        """
        lease = self.leases.get(record.name)
        if lease is None and len(self.leases) >= MAX_NODES:
            return False
        if lease is not None and lease.record.boot == record.boot and lease.record.number > record.number:
            return False
        self.leases[record.name] = _NodeLease(record, now_s + self.lease_s)
        return lease is None or lease.record != record

    def renew(self, name: str, boot: int, number: int, now_s: float) -> bool:
        """Renew a lease.

        :returns: False if the record that the lease is for is not known here.
        """
        lease = self.leases.get(name)
        if lease is None or lease.record.boot != boot or lease.record.number != number:
            return False
        lease.until_s = now_s + self.lease_s
        return True

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove the nodes whose leases have expired.

        :returns: their names.
        """
        expired = [name for name, lease in self.leases.items() if lease.until_s <= now_s]
        for name in expired:
            del self.leases[name]
        return expired

    def records(self) -> list[NodeRecord]:
        """The records of all members."""
        return [lease.record for lease in self.leases.values()]


def group_by_service(members: dict[str, NodeRecord]) -> dict[str, dict[str, NodeRecord]]:
    """The records of nodes with a server, by its service and the node's name: one walk for all services.

    >>> server = Server("i", "s", "z", IN_SERVICE, 1, 0.0)
    >>> beside, alone = NodeRecord("a", 1, 1, "z", "", 0, server), NodeRecord("b", 1, 1, "z", "", 0, None)
    >>> group_by_service({"a": beside, "b": alone}) == {"s": {"a": beside}}
    True
    """
    by_service: dict[str, dict[str, NodeRecord]] = {}
    for name, record in members.items():
        if record.server is not None:
            by_service.setdefault(record.server.service, {})[name] = record
    return by_service


def merge_member_lists(
    member_lists: dict[str, dict[str, NodeRecord]], reachable: set[str]
) -> dict[str, NodeRecord]:
    """Every node's newest record by the member lists of several controllers.

    A node is a member while any reachable controller lists it: one controller that is cut off from the node
    removes nobody, and one that has just started knows nobody.

    :param member_lists: by controller.
    :param reachable: the controllers whose lists count; all of them if none is reachable.
    """
    merged: dict[str, NodeRecord] = {}
    for controller, members in member_lists.items():
        if reachable and controller not in reachable:
            continue
        if not merged:
            merged = dict(members)
            continue
        if members == merged:  # quick where both hold the same objects (`Subscriber` sees to that)
            continue
        for name, record in members.items():
            known = merged.get(name)
            if known is record:
                continue
            if known is None or (known.boot == record.boot and known.number < record.number):
                merged[name] = record
    return merged
