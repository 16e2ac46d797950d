"""The shape of the fan-out tree through which updates reach the nodes of a zone. No I/O and no clock.

The nodes of a zone are ordered by a hash of their name and boot id. The first `HEADS` nodes, the heads, are
the roots of the tree and subscribe to the controllers. Each further node subscribes to a node before it in
the order, as in a complete tree with `FANOUT` children per node. Nodes with different member lists can't form
a cycle, as every parent has a lower rank than its children.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord

HEADS = 2  # nodes per zone that subscribe to the controllers
FANOUT = 8  # children per node in the tree
MAX_FOLLOWERS = FANOUT + 2  # followers of a relay; more than `FANOUT`, as nodes' views differ for a while


@lru_cache(maxsize=8_192)
def tree_rank(name: str, boot: int) -> bytes:
    """Return the sort key of a node's process in its zone: pseudo-random, and the same at every node.

    :param name: name of the node.
    :param boot: random number drawn at the start of the node's process.
    """
    return hashlib.blake2b(f"{boot} {name}".encode(), digest_size=8).digest() + name.encode()


def parent_candidates(
    members: Iterable[NodeRecord], node: NodeIdentity, heads: int = HEADS, fanout: int = FANOUT
) -> list[NodeRecord]:
    """Return the ancestors of a node in the tree, from its parent to a head of the zone.

    :param members: all known nodes; those of other zones are ignored.
    :param node: the node.
    :param heads: number of nodes in a zone that have no parent.
    :param fanout: children per node.
    :returns: the ancestors, nearest first; empty if the node is a head.

    >>> zone = [NodeRecord(f"n{n}", 1, 1, "z", "", 0, None) for n in range(40)]
    >>> zone.sort(key=lambda record: tree_rank(record.name, 1))
    >>> ancestors = parent_candidates(zone, NodeIdentity(zone[30].name, 1, "z"), heads=2, fanout=4)
    >>> [zone.index(record) for record in ancestors]
    [7, 1]
    >>> parent_candidates(zone, NodeIdentity(zone[1].name, 1, "z"))
    []
    """
    own_rank = tree_rank(node.name, node.boot)
    preceding: list[tuple[bytes, NodeRecord]] = []
    for member in members:
        if member.zone == node.zone and member.name != node.name:
            rank = tree_rank(member.name, member.boot)
            if rank < own_rank:
                preceding.append((rank, member))
    preceding.sort(key=lambda entry: entry[0])
    ancestors: list[NodeRecord] = []
    position = len(preceding)
    while position >= heads:
        position = (position - heads) // fanout
        ancestors.append(preceding[position][1])
    return ancestors
