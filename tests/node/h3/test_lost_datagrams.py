"""What of a request's time is set aside for lost datagrams."""

from __future__ import annotations

import pytest

from orchidferry.node.h3.lost_datagrams import resend_delay_ms


@pytest.mark.parametrize(
    ("lost", "budget_ms", "expected_ms"),
    [(0, 3_000.0, 0.0), (1, 3_000.0, 30.0), (2, 3_000.0, 90.0), (3, 3_000.0, 150.0), (10**6, 480.0, 24.0)],
)
def test_probe_timeouts_double_and_take_a_twentieth_of_the_time_at_most(
    lost: int, budget_ms: float, expected_ms: float
) -> None:
    assert resend_delay_ms(30.0, lost, budget_ms) == pytest.approx(expected_ms)
