"""The shape of the fan-out tree by which updates reach the nodes of a zone. Pure: no I/O, no clock.

The nodes of a zone are ordered by a hash of their name and boot id. The first `HEADS` of them subscribe to
the controllers; each further node subscribes to one that stands before it in the order, as in a complete tree
with `FANOUT` children a node. Nodes that disagree about who is a member can't form a cycle, as every parent
has a lower rank than its children.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord

HEADS = 2  # nodes of a zone that subscribe to the controllers themselves
FANOUT = 8  # children of a node in the tree
MAX_FOLLOWERS = FANOUT + 2  # of a relay: the nodes' views of the tree differ for a while


@lru_cache(maxsize=8_192)
def tree_rank(name: str, boot: int) -> bytes:
    """Sort key of a node's process in the order of its zone: pseudo-random, and the same at every node.

    :param name: the node's name.
    :param boot: the number drawn at the start of the node's process.
    """
    return hashlib.blake2b(f"{boot} {name}".encode(), digest_size=8).digest() + name.encode()


def parent_candidates(
    members: Iterable[NodeRecord], node: NodeIdentity, heads: int = HEADS, fanout: int = FANOUT
) -> list[NodeRecord]:
    """The ancestors of a node in the tree: its parent first, a head of the zone last.

    :param members: all known nodes; those of other zones are ignored.
    :param node: whose ancestors are wanted.
    :param heads: how many nodes of the zone have no parent.
    :param fanout: children of a node.
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
