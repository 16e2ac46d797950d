"""Rows of the propagation benchmark."""

from __future__ import annotations

import pytest

from orchidferry.testkit.bench.mesh_propagation import propagation_rows


def test_a_row_is_broken_if_a_node_missed_a_change() -> None:
    good = [1.0, 2.0]
    bad = [1.0]
    assert not any("broken" in row for row in propagation_rows("x", 2, [good]))
    row = propagation_rows("x", 2, [good, bad])[0]
    assert row["broken"] and row["unknown_at"] == 1
    with pytest.raises(ValueError, match="nothing was measured"):
        propagation_rows("x", 2, [bad])
