"""The rate limit for log lines of a recurring event."""

from __future__ import annotations

from orchidferry.mesh.log_limit import LogLimit


def test_a_window_begins_with_the_first_line_after_the_previous_window() -> None:
    limit = LogLimit(2, 10.0)
    assert [limit.allows(at) for at in (0.0, 1.0, 9.9)] == [True, True, False]
    assert [limit.allows(at) for at in (15.0, 24.9, 24.9)] == [True, True, False]
    assert limit.allows(25.0)
