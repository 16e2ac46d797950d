"""The shape of the fan-out tree."""

from __future__ import annotations

import pytest

from orchidferry.mesh.control.endpoints import NodeIdentity
from orchidferry.mesh.control.fanout_tree import parent_candidates, tree_rank
from tests.mesh.control.fakes import record


@pytest.mark.parametrize(
    ("n", "heads", "fanout"), [(1, 1, 2), (2, 1, 1), (40, 2, 8), (100, 1, 3), (333, 2, 8)]
)
def test_parent_candidates(n: int, heads: int, fanout: int) -> None:
    """The parent of node i of the sorted zone is at (i - heads) // fanout, and so on up to a head."""
    zone = sorted((record(f"n{i}", boot=i) for i in range(n)), key=lambda r: tree_rank(r.name, r.boot))
    stale = [record(r.name, boot=r.boot + 1) for r in zone[:1]]  # another process of a node is not its parent
    children: dict[str, int] = {}
    for index, node in enumerate(zone):
        others = [*zone[:index], *zone[index + 1 :], *stale[: index == 0], record("far", zone="y")]
        ancestors = parent_candidates(others, NodeIdentity(node.name, node.boot, "z"), heads, fanout)
        positions = [zone.index(ancestor) for ancestor in ancestors]
        assert (not positions) is (index < heads)
        for child, parent in zip([index, *positions], positions, strict=False):
            assert parent == (child - heads) // fanout
        if positions:
            assert positions[-1] < heads
            children[ancestors[0].name] = children.get(ancestors[0].name, 0) + 1
    assert max(children.values(), default=0) <= fanout
