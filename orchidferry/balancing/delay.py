"""The PI delay controller, which limits outstanding calls, first attempts and retries.

RTDC (Hong, Huang and Yan, "Applying control theoretic approach to mitigate SIP overload", section V.B): a PI
controller C(s) = KP + KI / s keeps the round-trip delay at a target by limiting the rate of retransmissions.
tau0 is the target delay, tau2 the measured one, e = tau0 - tau2 the error, nu1 the rate of answers, r2' the
allowed rate of retransmissions, phi_m the phase margin. docs/design.md gives the changes and their reasons.
"""

from __future__ import annotations

import math

from orchidferry.balancing.averages import DecayingRate

TARGET_SHARE = 0.4  # tau0 as a share of the latency target of the calls answered
WINDOW_SHARE = 0.3  # delay, as a share of the latency target, that the window allows by Little's law
ADDED_PER_SERVER = 2.0  # calls added to the window per server of a node's slice, so that windows grow alike
MIN_WINDOW = 3.0  # calls that the window allows while retries are open, as the few calls of one node bunch
MAX_SHED_SHARE = 0.8  # largest share of first attempts that is shed: the rest keeps the measurement going
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when nu1 leaves this band, relative to its tuned value nu10
WINDOW_MS = 5_000.0  # time constant of the measured rates and of the delay
SAMPLES = 20.0  # answers over which the delay is averaged
MIN_SAMPLES = 4.0  # with fewer samples the error is scaled down, as a single one may be chance
INITIAL_PER_SERVER = 4.0  # outstanding calls per server before rates have been measured


class DelayController:
    """RTDC: keeps the delay under a target by limiting retries; a window limits first attempts."""

    def __init__(self, target_share: float = TARGET_SHARE) -> None:
        self._target_share = target_share
        self._kp = math.sin(PHASE_MARGIN)  # KP / nu1, equation 40
        self._ki = math.cos(PHASE_MARGIN)  # KI / nu1, equation 41
        self.answers = DecayingRate(WINDOW_MS)  # nu1
        self.failures = DecayingRate(WINDOW_MS)
        self._error_sum_s = 0.0  # decayed sum of e over the last samples
        self._target_sum_s = 0.0  # decayed sum of their latency targets
        self._sample_sum = 0.0  # decayed number of these samples
        self._last_ms = math.inf  # time of the last sample
        self.tuned_rate = 0.0  # nu10, the answer rate that the gains are tuned to, in answers per second
        self.integral = 0.0  # KI times the integral of e, in retries per second
        self.allowed_rate = 0.0  # r2', in retries per second
        self._shed_integral = 0.0  # integral term of the share of first attempts to shed
        self._shed_share = 0.0  # share of first attempts to shed, as of the last sample

    def record_answer(self, delay_ms: float, aim_ms: float, now: float, served: bool) -> None:
        """Add a delay sample and set r2' = KP e + KI * integral of e; r2' and the integral are both clamped.

        :param aim_ms: the latency target of the call
        :param served: whether the call was answered; if not, its delay counts but the answer rate does not
        """
        # The time step is not taken from `answers`, whose clock `window` advances as well: the integral then
        # got only the time since the last window.
        time_decay = math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)
        passed_s = max(0.0, min(now - self._last_ms, WINDOW_MS)) / 1000.0
        self._last_ms = now
        self.answers.add(served, now)
        self.failures.add(0.0, now)  # advances its clock
        # Old samples also decay with time: a node that sheds gets few new ones, and would go on shedding.
        decay = time_decay if time_decay < 1.0 - 1.0 / SAMPLES else 1.0 - 1.0 / SAMPLES
        self._sample_sum = self._sample_sum * decay + 1.0
        self._target_sum_s = self._target_sum_s * decay + aim_ms / 1000.0
        self._error_sum_s = self._error_sum_s * decay + (self._target_share * aim_ms - delay_ms) / 1000.0
        rate = self.answers.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A node starts with all retries allowed; a later retuning keeps the allowed share of retries.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate
        error_s = self._error_sum_s / max(self._sample_sum, MIN_SAMPLES)
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * passed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        # Equation 49: while the delay stays over the target, the same controller sheds first attempts too.
        shed_integral = self._shed_integral * time_decay - self._ki * error_s * passed_s
        self._shed_integral = min(max(shed_integral, 0.0), MAX_SHED_SHARE)
        self._shed_share = min(max(self._shed_integral - self._kp * error_s, 0.0), MAX_SHED_SHARE)

    def shed_share(self, now: float) -> float:
        """The share of first attempts to shed.

        It decays with time, as a node that sheds almost everything gets no answers that could lower it.
        """
        return self._shed_share * math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)

    def window(self, servers: float, now: float) -> float:
        """The number of calls that may be outstanding from this node.

        :param servers: the number of servers, possibly fractional, that one slice of the service amounts to
        """
        # Without a limit in the first second a tier was overloaded after 2 s.
        if self.answers.span_s < 1.0:
            return INITIAL_PER_SERVER * servers + self.answers.events
        self.answers.add(0.0, now)  # advances its clock
        # Without the added calls, a normal delay above WINDOW_SHARE of the target makes each
        # window smaller than the last.
        rate = self.answers.per_s()
        window = ADDED_PER_SERVER * servers + rate * WINDOW_SHARE * self._target_sum_s / self._sample_sum
        return window + max(0.0, MIN_WINDOW - window) * self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now: float) -> float:
        """Count a failure; the probability of its retry is r2' over the measured failure rate."""
        self.failures.add(1.0, now)
        return min(1.0, self.allowed_rate / self.failures.per_s()) if self.tuned_rate else 1.0
