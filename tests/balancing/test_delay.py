"""The controller's arithmetic against the paper's equations, worked out by hand."""

import math

import pytest

from orchidferry.balancing.delay import (
    ADDED_PER_SERVER,
    INITIAL_PER_SERVER,
    PHASE_MARGIN,
    WINDOW_SHARE,
    DelayController,
)


def steady(controller: DelayController, delay_ms: float, count: int, gap_ms: float = 100.0) -> float:
    now = 0.0
    for _ in range(count):
        now += gap_ms
        controller.record_answer(delay_ms, 1000.0, now, True)
    return now


def test_gains_follow_equations_40_and_41() -> None:
    assert math.degrees(PHASE_MARGIN) == pytest.approx(45.0)
    controller = DelayController()
    # tan 45 = 1: KP = KI = nu1 / sqrt 2
    assert controller._kp == pytest.approx(0.7071068)
    assert controller._ki == pytest.approx(0.7071068)


def test_delay_under_the_target_opens_retries() -> None:
    controller = DelayController()
    now = steady(controller, 100.0, 50)
    assert controller.retry_probability(now) == 1.0


def test_delay_over_the_target_closes_retries() -> None:
    controller = DelayController()
    now = steady(controller, 2000.0, 50)
    assert controller.retry_probability(now) == 0.0


def test_integral_and_rate_by_hand() -> None:
    """Two answers of 100 ms, aim 1 s, one second apart: tau0 = 0.4 s, e = 0.3 s."""
    controller = DelayController()
    controller.record_answer(100.0, 1000.0, 1000.0, True)
    # nu1 = 1 / 1 s; a fresh copy starts with its integral at nu1, where both are clamped.
    assert controller.tuned_rate == pytest.approx(1.0)
    assert controller.integral == pytest.approx(1.0)
    assert controller.allowed_rate == pytest.approx(1.0)
    controller.record_answer(1300.0, 1000.0, 2000.0, True)
    # The older sample has faded by exp(-1/5), and two show their error as two of FEW_SAMPLES = 4:
    # e = (0.3 * 0.81873 - 0.9) / 4 = -0.16360. nu1 leaves its band (1 + exp(-1/5) = 1.8187 > 1.5:
    # retuned, the integral scaled along).
    rate = 1.0 + math.exp(-0.2)
    error = (0.3 * math.exp(-0.2) - 0.9) / 4.0
    assert controller.tuned_rate == pytest.approx(rate)
    integral = rate + rate * math.sqrt(0.5) * error
    assert controller.integral == pytest.approx(integral)
    assert controller.allowed_rate == pytest.approx(rate * math.sqrt(0.5) * error + integral)


def test_the_integral_gets_the_whole_time_between_answers() -> None:
    """i45f18d: the window reads the rate for every request, and took the integral's time away."""
    plain = DelayController()
    watched = DelayController()
    for controller in (plain, watched):
        now = 1000.0
        for _ in range(30):
            now += 200.0
            if controller is watched:
                controller.window(1.0, now - 10.0)
            controller.record_answer(700.0, 1000.0, now, True)
    assert watched.integral == pytest.approx(plain.integral, rel=0.01)
    assert 0.0 < plain.shed_share(now) < 1.0


def test_what_is_shed_fades_with_its_evidence() -> None:
    """i45f18d: copies shed 80% on samples ten seconds old, and so saw no answers that could tell."""
    controller = DelayController()
    now = steady(controller, 2000.0, 50)
    shed = controller.shed_share(now)
    assert shed > 0.5
    assert controller.shed_share(now + 20_000.0) <= 0.2 * shed
    controller.record_answer(100.0, 1000.0, now + 20_000.0, True)
    assert controller.shed_share(now + 20_000.0) < 0.5 * shed


def test_gains_are_kept_inside_the_retune_band() -> None:
    controller = DelayController()
    now = steady(controller, 100.0, 300)
    tuned = controller.tuned_rate
    for _ in range(20):  # ten per cent faster
        now += 90.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.tuned_rate == tuned


def test_integral_recovers_from_a_long_overload() -> None:
    """Anti-windup: however long the delay was over the target, retries open within seconds."""
    controller = DelayController()
    now = steady(controller, 3000.0, 3000)
    assert controller.retry_probability(now) == 0.0
    for _ in range(50):
        now += 100.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.retry_probability(now) == 1.0


def test_the_first_window_is_not_measured_before_answers_can_come() -> None:
    """Pohjola's quiet day: requests were refused in the first seconds."""
    controller = DelayController()
    for k in range(20):
        assert controller.window(4.0, 100.0 * k) == INITIAL_PER_SERVER * 4.0
    now = 2000.0
    for _ in range(30):
        now += 50.0
        controller.record_answer(600.0, 4000.0, now, True)
    added = ADDED_PER_SERVER * 4.0
    assert controller.window(4.0, now) - added > 0.9 * 20 * WINDOW_SHARE * 4.0  # nu1 20 a second, aim 4 s


def test_the_window_does_not_spiral_down_where_the_normal_delay_is_over_the_target() -> None:
    """i35d8eb: each answer rate set a smaller window, and that a smaller answer rate, with idle servers."""
    # of an aim of one second
    controller = DelayController()
    now = 0.0
    delay_s = 0.5
    outstanding = 20.0
    for _ in range(600):
        rate = outstanding / delay_s
        now += 1000.0 / rate
        controller.record_answer(1000.0 * delay_s, 1000.0, now, True)
        outstanding = controller.window(4.0, now)
    assert outstanding > 2.0 * 4.0
