"""Rows of the propagation of changes."""

from __future__ import annotations

import pytest

from orchidferry.testkit.bench.mesh_propagation import propagation_rows


def test_a_change_that_a_node_missed_breaks_its_row() -> None:
    good = [1.0, 2.0]
    bad = [1.0]
    assert not any("broken" in row for row in propagation_rows("x", 2, [good]))
    row = propagation_rows("x", 2, [good, bad])[0]
    assert row["broken"] and row["unknown_at"] == 1
    with pytest.raises(ValueError, match="nothing was measured"):
        propagation_rows("x", 2, [bad])
