"""The known nodes and servers, as one controller or node sees them. No I/O; times are passed in.

A node's record has one writer, the node itself: it holds a lease at each controller and sends its record
again after each change. A record describes the node's process and the server on its machine. Of two records
of the same process, the one with the higher number is newer. Two incarnations of a server have different ids,
so one does not replace the other.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

LEASE_S = 2.0  # a node that has not renewed its lease for this time is no longer a member
MAX_NODES = 4_096

IN_SERVICE = "in_service"
DRAINING = "draining"
GONE = "gone"


class Server(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A server, as described by the node on its machine.

    :param id: id of the server's incarnation.
    :param service: name of its service.
    :param zone: its zone.
    :param state: `IN_SERVICE`, `DRAINING` or `GONE`.
    :param capacity: number of requests that it can process at once.
    :param warmup_left_ms: remaining time of the server's warm-up, in milliseconds.
    :param version: the version that the server reported when it registered.
    """

    id: str
    service: str
    zone: str
    state: str
    capacity: int
    warmup_left_ms: float
    version: str = ""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The record that a node publishes about itself.

    :param boot: random number drawn at each start of the node's process.
    :param number: number of the record; rises with each change.
    :param ip: IP address of the node.
    :param inbound: port on which the node accepts requests for its server.
    :param server: the server on the node's machine; None if there is none.
    """

    name: str
    boot: int
    number: int
    zone: str
    ip: str
    inbound: int
    server: Server | None


@dataclass(frozen=True, slots=True)
class NodeIdentity:
    """One run of a node's process, and its zone.

    :param boot: random number drawn at the start of the process.
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
    """The members that one controller knows; a member is removed when its lease expires.

    :param lease_s: duration of a lease, in seconds.
    :param leases: leases by node name.
    """

    lease_s: float = LEASE_S
    leases: dict[str, _NodeLease] = field(default_factory=dict)

    def update(self, record: NodeRecord, now_s: float) -> bool:
        """Store a node's record and renew its lease.

        A record older than the stored one is ignored, and so is a new node beyond `MAX_NODES`.

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
        """Renew the lease of a node whose record is known.

        :param number: number of the node's current record.
        :returns: False if that record is not known here.
        """
        lease = self.leases.get(name)
        if lease is None or lease.record.boot != boot or lease.record.number != number:
            return False
        lease.until_s = now_s + self.lease_s
        return True

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove the nodes whose leases have expired.

        :returns: the names of these nodes.
        """
        expired = [name for name, lease in self.leases.items() if lease.until_s <= now_s]
        for name in expired:
            del self.leases[name]
        return expired

    def records(self) -> list[NodeRecord]:
        """Return the records of all members."""
        return [lease.record for lease in self.leases.values()]


def group_by_service(members: dict[str, NodeRecord]) -> dict[str, dict[str, NodeRecord]]:
    """Group the records of nodes that have a server by service and node name, in one pass.

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
    """Merge the member lists of several controllers into one with the newest record of each node.

    A node is a member while any reachable controller lists it, so that a controller which is partitioned from
    nodes, or has just started and knows none, does not remove members.

    :param member_lists: member lists by controller.
    :param reachable: names of the controllers whose lists count; if it is empty, all lists count.
    """
    merged: dict[str, NodeRecord] = {}
    for controller, members in member_lists.items():
        if reachable and controller not in reachable:
            continue
        if not merged:
            merged = dict(members)
            continue
        if members == merged:  # fast, as `Subscriber` makes equal records share one object
            continue
        for name, record in members.items():
            known = merged.get(name)
            if known is record:
                continue
            if known is None or (known.boot == record.boot and known.number < record.number):
                merged[name] = record
    return merged
