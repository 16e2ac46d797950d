"""The delay controller, compared with the equations of the RTDC paper worked out by hand."""

import math

import pytest

from orchidferry.balancing.delay import (
    ADDED_PER_SERVER,
    INITIAL_PER_SERVER,
    PHASE_MARGIN,
    WINDOW_SHARE,
    DelayController,
)


def record_steady(controller: DelayController, delay_ms: float, count: int, gap_ms: float = 100.0) -> float:
    now = 0.0
    for _ in range(count):
        now += gap_ms
        controller.record_answer(delay_ms, 1000.0, now, True)
    return now


def test_gains_follow_equations_40_and_41() -> None:
    assert math.degrees(PHASE_MARGIN) == pytest.approx(45.0)
    controller = DelayController()
    # tan 45° = 1, so KP = KI = nu1 / sqrt 2
    assert controller._kp == pytest.approx(0.7071068)
    assert controller._ki == pytest.approx(0.7071068)


def test_delay_under_the_target_opens_retries() -> None:
    controller = DelayController()
    now = record_steady(controller, 100.0, 50)
    assert controller.retry_probability(now) == 1.0


def test_delay_over_the_target_closes_retries() -> None:
    controller = DelayController()
    now = record_steady(controller, 2000.0, 50)
    assert controller.retry_probability(now) == 0.0


def test_integral_and_rate_match_a_calculation_by_hand() -> None:
    """Answers of 100 and 1300 ms, one second apart: the target is 1 s, tau0 = 0.4 s, e = 0.3 and -0.9 s."""
    controller = DelayController()
    controller.record_answer(100.0, 1000.0, 1000.0, True)
    # nu1 = 1 / 1 s; a new controller starts with its integral at nu1, where r2' and the integral are clamped.
    assert controller.tuned_rate == pytest.approx(1.0)
    assert controller.integral == pytest.approx(1.0)
    assert controller.allowed_rate == pytest.approx(1.0)
    controller.record_answer(1300.0, 1000.0, 2000.0, True)
    # The older sample has decayed by exp(-1/5), and the error is divided by MIN_SAMPLES = 4:
    # e = (0.3 * 0.81873 - 0.9) / 4 = -0.16360. nu1 = 1 + exp(-1/5) = 1.8187 leaves its band (1.5), so the
    # gains are retuned and the integral is scaled with them.
    rate = 1.0 + math.exp(-0.2)
    error = (0.3 * math.exp(-0.2) - 0.9) / 4.0
    assert controller.tuned_rate == pytest.approx(rate)
    integral = rate + rate * math.sqrt(0.5) * error
    assert controller.integral == pytest.approx(integral)
    assert controller.allowed_rate == pytest.approx(rate * math.sqrt(0.5) * error + integral)


def test_reading_the_window_does_not_shorten_the_time_step_of_the_integral() -> None:
    """The window advanced the clock that the integral took its time step from."""
    plain = DelayController()
    with_window = DelayController()
    for controller in (plain, with_window):
        now = 1000.0
        for _ in range(30):
            now += 200.0
            if controller is with_window:
                controller.window(1.0, now - 10.0)
            controller.record_answer(700.0, 1000.0, now, True)
    assert with_window.integral == pytest.approx(plain.integral, rel=0.01)
    assert 0.0 < plain.shed_share(now) < 1.0


def test_the_shed_share_decays_without_new_samples() -> None:
    """Nodes shed 80% on samples ten seconds old, and so got no answers to correct them."""
    controller = DelayController()
    now = record_steady(controller, 2000.0, 50)
    shed = controller.shed_share(now)
    assert shed > 0.5
    assert controller.shed_share(now + 20_000.0) <= 0.2 * shed
    controller.record_answer(100.0, 1000.0, now + 20_000.0, True)
    assert controller.shed_share(now + 20_000.0) < 0.5 * shed


def test_gains_are_not_retuned_inside_the_retune_band() -> None:
    controller = DelayController()
    now = record_steady(controller, 100.0, 300)
    tuned = controller.tuned_rate
    for _ in range(20):  # at a rate that is ten per cent higher
        now += 90.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.tuned_rate == tuned


def test_integral_recovers_from_a_long_overload() -> None:
    """Anti-windup: however long the delay was over the target, retries are allowed again within seconds."""
    controller = DelayController()
    now = record_steady(controller, 3000.0, 3000)
    assert controller.retry_probability(now) == 0.0
    for _ in range(50):
        now += 100.0
        controller.record_answer(100.0, 1000.0, now, True)
    assert controller.retry_probability(now) == 1.0


def test_the_window_is_constant_until_answers_have_come_for_a_second() -> None:
    """Without any faults, requests were refused in the first seconds."""
    controller = DelayController()
    for k in range(20):
        assert controller.window(4.0, 100.0 * k) == INITIAL_PER_SERVER * 4.0
    now = 2000.0
    for _ in range(30):
        now += 50.0
        controller.record_answer(600.0, 4000.0, now, True)
    added = ADDED_PER_SERVER * 4.0
    assert controller.window(4.0, now) - added > 0.9 * 20 * WINDOW_SHARE * 4.0  # nu1 = 20/s, target 4 s


def test_the_window_does_not_spiral_down_where_the_normal_delay_is_over_the_target() -> None:
    """A smaller window lowered the answer rate, which shrank the window, with idle servers."""
    controller = DelayController()
    now = 0.0
    delay_s = 0.5  # with a latency target of 1 s
    outstanding = 20.0
    for _ in range(600):
        rate = outstanding / delay_s
        now += 1000.0 / rate
        controller.record_answer(1000.0 * delay_s, 1000.0, now, True)
        outstanding = controller.window(4.0, now)
    assert outstanding > 2.0 * 4.0
