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
    """Of every node: first the one at (i - heads) // fanout of its zone's row, and so on up to a head."""
    row = sorted((record(f"n{i}", boot=i) for i in range(n)), key=lambda r: tree_rank(r.name, r.boot))
    stale = [record(r.name, boot=r.boot + 1) for r in row[:1]]  # a node is never its own parent
    children: dict[str, int] = {}
    for at, one in enumerate(row):
        others = [*row[:at], *row[at + 1 :], *stale[: at == 0], record("far", zone="y")]
        chain = parent_candidates(others, NodeIdentity(one.name, one.boot, "z"), heads, fanout)
        places = [row.index(above) for above in chain]
        assert (not places) is (at < heads)
        for below, above in zip([at, *places], places, strict=False):
            assert above == (below - heads) // fanout
        if places:
            assert places[-1] < heads
            children[chain[0].name] = children.get(chain[0].name, 0) + 1
    assert max(children.values(), default=0) <= fanout
