"""How many lines of a recurring event are written."""

from __future__ import annotations

from orchidferry.mesh.log_limit import LogLimit


def test_a_window_allows_so_many_lines_and_begins_with_the_first_after_the_last() -> None:
    limit = LogLimit(2, 10.0)
    assert [limit.allows(at) for at in (0.0, 1.0, 9.9)] == [True, True, False]
    assert [limit.allows(at) for at in (15.0, 24.9, 24.9)] == [True, True, False]
    assert limit.allows(25.0)
