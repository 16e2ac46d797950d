"""The PI delay controller: how many calls may be outstanding, and which share of retries is let through.

RTDC (Hong, Huang and Yan, "Applying control theoretic approach to mitigate SIP overload", section V.B): a PI
controller C(s) = KP + KI / s holds the round trip delay at a target by the rate of retransmissions. tau0 is
the target delay, tau2 the measured one, e = tau0 - tau2 the error, nu1 the rate of answers, r2' the allowed
rate of retransmissions, phi_m the phase margin. docs/design.md says what is changed here and why.
"""

from __future__ import annotations

import math

from orchidferry.balancing.averages import DecayingRate

TARGET_SHARE = 0.4  # tau0 as a share of the latency target of what was answered
WINDOW_SHARE = 0.3  # of the latency target: the delay that first attempts may reach, by Little's law,
ADDED_PER_SERVER = 2.0  # with so many calls a server of this copy's part added: copies' windows grow alike
MIN_WINDOW = 3.0  # while retries are allowed a window opens to so many calls, as a copy's few calls bunch
MAX_SHED_SHARE = 0.8  # of first attempts may be shed for delay: the rest keeps the measurement going
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when nu1 leaves this band around its tuned value nu10
WINDOW_MS = 5_000.0  # time constant of the measured rates and of the delay
SAMPLES = 20.0  # answers over which the delay is averaged
MIN_SAMPLES = 4.0  # fewer show their error in part, as one may be chance
INITIAL_PER_SERVER = 4.0  # outstanding calls a server, at first


class DelayController:
    """RTDC: holds the delay under a target by the rate of retries, and bounds first attempts by a window."""

    def __init__(self, target_share: float = TARGET_SHARE) -> None:
        self._target_share = target_share
        self._kp = math.sin(PHASE_MARGIN)  # KP / nu1, equation 40
        self._ki = math.cos(PHASE_MARGIN)  # KI / nu1, equation 41
        self.answers = DecayingRate(WINDOW_MS)  # nu1
        self.failures = DecayingRate(WINDOW_MS)
        self._error_sum_s = 0.0  # of e, over the last samples,
        self._target_sum_s = 0.0  # of their latency targets,
        self._sample_sum = 0.0  # and how many they are
        self._last_ms = math.inf  # when the last sample was taken
        self.tuned_rate = 0.0  # nu10, the answer rate that the gains are tuned to
        self.integral = 0.0  # KI times the integral of e, a rate
        self.allowed_rate = 0.0  # r2'
        self._shed_integral = 0.0  # the integral for first attempts, over nu1
        self._shed_share = 0.0  # of first attempts

    def record_answer(self, delay_ms: float, aim_ms: float, now: float, served: bool) -> None:
        """Take a delay sample and set r2' = KP e + KI * integral of e, clamped together with its integral.

        `aim_ms` is the call's latency target; a call that was not `served` shows a delay, and is no answer.
        """
        # Its own clock: the window reads the rate too, and the integral once ran on what time was left.
        time_decay = math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)
        passed_s = max(0.0, min(now - self._last_ms, WINDOW_MS)) / 1000.0
        self._last_ms = now
        self.answers.add(served, now)
        self.failures.add(0.0, now)  # so that its clock runs too
        # Old samples decay with time too: a copy that sheds gets few new ones, and went on shedding.
        decay = time_decay if time_decay < 1.0 - 1.0 / SAMPLES else 1.0 - 1.0 / SAMPLES
        self._sample_sum = self._sample_sum * decay + 1.0
        self._target_sum_s = self._target_sum_s * decay + aim_ms / 1000.0
        self._error_sum_s = self._error_sum_s * decay + (self._target_share * aim_ms - delay_ms) / 1000.0
        rate = self.answers.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A copy starts with its retries open; later a retune keeps the share of retries it allows.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate
        error_s = self._error_sum_s / max(self._sample_sum, MIN_SAMPLES)
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * passed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        # Equation 49: while the delay stays over the target, the same loop takes from first attempts too.
        shed_integral = self._shed_integral * time_decay - self._ki * error_s * passed_s
        self._shed_integral = min(max(shed_integral, 0.0), MAX_SHED_SHARE)
        self._shed_share = min(max(self._shed_integral - self._kp * error_s, 0.0), MAX_SHED_SHARE)

    def shed_share(self, now: float) -> float:
        """The share of first attempts to shed; it decays, as a copy that sheds all sees no more answers."""
        return self._shed_share * math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)

    def window(self, part: float, now: float) -> float:
        """How many calls may be outstanding from a copy whose part of the service is so many servers."""
        if self.answers.span_s < 1.0:  # sulcast-later overload: unbounded at first, a tier choked at 2 s
            return INITIAL_PER_SERVER * part + self.answers.events
        self.answers.add(0.0, now)
        # i35d8eb: with nothing added it spirals down where the normal delay is over its share of the target.
        rate = self.answers.per_s()
        window = ADDED_PER_SERVER * part + rate * WINDOW_SHARE * self._target_sum_s / self._sample_sum
        return window + max(0.0, MIN_WINDOW - window) * self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now: float) -> float:
        """Count a failure; its retry's probability is r2' over the measured failure rate."""
        self.failures.add(1.0, now)
        return min(1.0, self.allowed_rate / self.failures.per_s()) if self.tuned_rate else 1.0
