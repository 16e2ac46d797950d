"""The delay loop: how many calls may be out and how many retries are let through, by the measured delay.

RTDC's PI loop (Hong, Huang and Yan, section V.B); docs/design.md says what is kept, changed and why."""

from __future__ import annotations

import math

from orchidferry.balancing.averages import Rate

TARGET_SHARE = 0.4  # tau0, the target round trip delay, as a share of the aim of what was answered
WINDOW_SHARE = 0.3  # of the aim: the delay that first sends may reach, by Little's law,
ADDED = 2.0  # with so many calls a server of this copy's part added, so that copies' windows grow alike
FEW = 3.0  # while the loop allows retries a window opens to so many calls, as a copy's few calls bunch
MAX_SHED = 0.8  # of first sends may be shed for delay: the rest keeps the measurement going
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when the answer rate leaves this band around its tuned value
WINDOW_MS = 5_000.0  # time constant of the measured rates and delay
# answers measured; fewer show their error in part, as one may be chance
SAMPLES = 20.0
FEW_SAMPLES = 4.0
START = 4.0  # calls a server, at first


class DelayController:
    """RTDC: holds the delay under the target by the rate of retries, and bounds first sends to a window."""

    def __init__(self, target_share: float = TARGET_SHARE) -> None:
        self._target_share = target_share
        self._kp, self._ki = math.sin(PHASE_MARGIN), math.cos(PHASE_MARGIN)  # equations 40, 41 over nu1
        self.answers, self.failures = Rate(WINDOW_MS), Rate(WINDOW_MS)  # nu1, in answers a second
        self._excess_s = self._aim_s = self._samples = 0.0  # sums over the last samples,
        self._last_ms = math.inf  # and when the last was taken
        # nu10, the answer rate that the gains are tuned to; KI times the integral of the error, a rate; r
        self.tuned_rate = self.integral = self.allowed_rate = 0.0
        self._excess = self._shed = 0.0  # integral for first sends, by nu1; the share of them to shed

    def answered(self, delay_ms: float, aim_ms: float, now: float, served: bool) -> None:
        """Take a delay sample and set r = KP e + KI * integral of e, clamped with its integral."""
        # Its own clock: the window reads the rate too, and the integral once ran on what time was left.
        faded = math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)
        passed_s = max(0.0, min(now - self._last_ms, WINDOW_MS)) / 1000.0
        self._last_ms = now
        self.answers.count(served, now)
        self.failures.count(0.0, now)  # so that its clock runs too
        # Old samples fade with time too: a copy that sheds gets few new ones, and went on shedding for these.
        kept = faded if faded < 1.0 - 1.0 / SAMPLES else 1.0 - 1.0 / SAMPLES
        self._samples = self._samples * kept + 1.0
        self._aim_s = self._aim_s * kept + aim_ms / 1000.0
        self._excess_s = self._excess_s * kept + (self._target_share * aim_ms - delay_ms) / 1000.0
        rate = self.answers.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A copy starts with its retries open; later a retune keeps the share of retries it allows.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate
        error_s = self._excess_s / max(self._samples, FEW_SAMPLES)  # tau0 - tau2
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * passed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        # Equation 49: while the delay stays over the target, the same loop takes from first sends too.
        self._excess = min(max(self._excess * faded - self._ki * error_s * passed_s, 0.0), MAX_SHED)
        self._shed = min(max(self._excess - self._kp * error_s, 0.0), MAX_SHED)

    def shed(self, now: float) -> float:
        """The share of first sends to shed; it fades, as a copy that sheds all sees no answers any more."""
        return self._shed * math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)

    def window(self, part: float, now: float) -> float:
        """How many calls may be outstanding from a copy whose part of the fleet is so many servers."""
        if self.answers.span_s < 1.0:  # sulcast-later overload: unbounded at first, a tier choked at 2 s
            return START * part + self.answers.events
        self.answers.count(0.0, now)
        # i35d8eb: with nothing added it spirals down where the normal delay is over its share of the aim.
        usual = ADDED * part + self.answers.per_s() * WINDOW_SHARE * self._aim_s / self._samples
        return usual + max(0.0, FEW - usual) * self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now: float) -> float:
        """Count a failure; its retry's probability is r over the measured failure rate."""
        self.failures.count(1.0, now)
        return min(1.0, self.allowed_rate / self.failures.per_s()) if self.tuned_rate else 1.0
