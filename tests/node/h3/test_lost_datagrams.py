"""How much of a request's budget is set aside for the resending of lost datagrams."""

from __future__ import annotations

import math

import pytest

from orchidferry.node.h3.lost_datagrams import Loss, resend_delay_ms, time_in_transit_ms


@pytest.mark.parametrize(
    ("lost", "budget_ms", "expected_ms"),
    [(0, 3_000.0, 0.0), (1, 3_000.0, 30.0), (2, 3_000.0, 90.0), (3, 3_000.0, 150.0), (10**6, 480.0, 24.0)],
)
def test_probe_timeouts_double_and_take_at_most_a_twentieth_of_the_budget(
    lost: int, budget_ms: float, expected_ms: float
) -> None:
    assert resend_delay_ms(30.0, lost, budget_ms) == pytest.approx(expected_ms)


@pytest.mark.parametrize(
    ("packets", "age_ms", "budget_ms", "expected_ms"),
    [
        (0, math.inf, 3_000.0, 0.0),
        (1, 0.0, 3_000.0, 30.0),
        (1, 40.0, 3_000.0, 40.0),  # the client's probe timeout is longer than this side's
        (2, 40.0, 3_000.0, 90.0),
        (1, 89.0, 3_000.0, 89.0),
        (1, 90.0, 3_000.0, 0.0),
        (1, 40.0, 480.0, 24.0),
    ],
)
def test_a_request_was_sent_before_a_recent_loss_was_noticed(
    packets: int, age_ms: float, budget_ms: float, expected_ms: float
) -> None:
    assert time_in_transit_ms(30.0, Loss(packets, age_ms), budget_ms) == pytest.approx(expected_ms)
