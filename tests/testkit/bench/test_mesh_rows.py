"""Rows of `bench mesh`, and quantiles."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from orchidferry.testkit.bench.mesh_rows import figure_row, quantile


@given(st.lists(st.integers(0, 9), min_size=1, max_size=30), st.integers(1, 100))
def test_a_quantile_is_the_smallest_value_that_the_fraction_does_not_exceed(
    values: list[int], percent: int
) -> None:
    candidates = [v for v in values if 100 * sum(w <= v for w in values) >= percent * len(values)]
    assert quantile(values, percent / 100) == min(candidates)


def test_a_row_has_the_minimum_median_and_maximum_of_its_repeats() -> None:
    row = figure_row("claims", "x", "ms", [3.0, 1.0, 2.00004], broken=True)
    assert (row["min"], row["median"], row["max"], row["of"]) == (1.0, 2.0, 3.0, 3)
    assert list(row) == ["what", "name", "unit", "min", "median", "max", "of", "broken"]
