"""Outlier detection: what is learned of servers from the outcomes of attempts, and which are ejected.

Speed, errors, concurrency limits and idle connections are judged against the baseline of all servers of
this copy. Times are milliseconds of the node's monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.records import Sent, Server

CONCURRENCY_DECREASE = 0.9  # multiplicative decrease of a server's limit when it rejects an attempt
SLOW_FACTOR = 1.5  # times the baseline delay from which a server counts as slow
SLOWNESS_EXPONENT = 4.0  # its weight falls with this power, so steeply that it gets rest
REPORT_DECAY_MS = 5_000.0  # time constant of a reported queue, by whose cube the weight is divided
OVERDUE_FACTOR = 1.5  # an outstanding call this many baselines old makes its server look as slow as an answer
DELAY_NOISE_MS = 1.0  # of a delay says nothing: where peers take 0.5 ms, 1 ms is not slow
MAX_SLOWNESS = 10.0  # times the baseline that one answer counts for at most
SLOWNESS_SAMPLES = 3.0  # answers over which a server's slowness is averaged
SLOWNESS_DECAY_MS = 10_000.0  # time constant with which old evidence of slowness decays
BASELINE_SAMPLES = 100.0  # answers over which the baseline is averaged
BASE_EJECTION_MS = 1_000.0  # the first ejection; it doubles with each one in a row
MAX_EJECTION_DOUBLINGS = 5
MAX_EJECTED_SHARE = 0.5  # of the servers may be ejected at once
EJECTION_LOG_ODDS = math.log(30.0)  # from which a server is ejected for its errors
SUSPECT_ERROR_RATE = 0.5  # the alternative that a server's errors are tested for
MIN_ERROR_RATE = 0.01  # the baseline error rate is taken for at least this
IDLE_DECREASE = 0.5  # factor on the trusted idle time after losses on idle connections
IDLE_INCREASE = 1.03  # and after each answer


class OutlierDetector:
    """The baseline of delays and errors, and each server against it."""

    def __init__(self, classes: Iterable[api.RequestClass], rng: random.Random) -> None:
        self._rng = rng
        self._targets_ms: dict[str, float] = {}  # latency targets, also of classes that were removed
        self.set_classes(classes)
        self.baseline_share = 0.0  # mean delay over its latency target
        self.samples = 0.0  # of how many answers
        self._error_rate = 0.0  # of all servers, lately
        self.ejected_count = 0  # managed servers that are ejected
        self.idle_ms = math.inf  # idle time from which a connection is closed before use
        self._lost_idle_ms = math.inf  # idle time of the last loss

    def set_classes(self, classes: Iterable[api.RequestClass]) -> None:
        """Take new classes; removed ones are kept for their open requests."""
        self._targets_ms |= {cls.name: cls.aim_ms for cls in classes}

    def baseline_ms(self, name: str) -> float:
        """How long a call of a class usually takes."""
        return self.baseline_share * self._targets_ms[name]

    def _slowness(self, server: Server, now: float) -> float:
        return 1.0 + (server.slowness - 1.0) * math.exp((server.slowness_ms - now) / SLOWNESS_DECAY_MS)

    def health_factor(self, server: Server, now: float) -> float:
        """The factor on a server's weight: below 1 where it is slow, or keeps a call waiting."""
        # A silent, hung or choked server shows by its oldest outstanding call long before a timeout does. Not
        # by one that later ones overtook: it is the connection that died, or that call alone that is long.
        # sulcast-porto-alegre 3646: two dead connections kept two sound servers of four from work for 6 s. It
        # hides a server that answers few and loses the rest, until these time out.
        slowness = self._slowness(server, now) if server.slowness > SLOW_FACTOR else SLOW_FACTOR
        baseline = self.baseline_share
        if baseline:
            for sent_ms, aim_ms in server.outstanding.values():
                if sent_ms >= server.latest_served_ms:
                    waited = (now - sent_ms) / (baseline * aim_ms + DELAY_NOISE_MS)
                    slowness = max(slowness, waited / OVERDUE_FACTOR)
                    break
        factor = math.pow(SLOW_FACTOR / slowness, SLOWNESS_EXPONENT) if slowness > SLOW_FACTOR else 1.0
        if not server.reported_queue:
            return factor
        queue = server.reported_queue * math.exp((server.reported_ms - now) / REPORT_DECAY_MS)
        return factor / (1.0 + queue) ** 3

    def eject(self, server: Server, now: float) -> None:
        """Eject a server for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now >= server.ejected_until_ms:
            backoff_ms = BASE_EJECTION_MS * 2.0 ** min(server.ejections, MAX_EJECTION_DOUBLINGS)
            server.ejected_until_ms = now + backoff_ms * (0.5 + self._rng.random())
            server.ejections += 1

    def record_delay(self, server: Server, sent: Sent, ms: float, served: bool, now: float) -> None:
        """Take the delay of an attempt that was served, or timed out, into the baseline and the slowness."""
        sent_ms, aim_ms = sent
        share = ms / aim_ms
        self.samples = min(self.samples + 1.0, BASELINE_SAMPLES)
        self.baseline_share += (share - self.baseline_share) / self.samples
        if self.baseline_share and (served or sent_ms >= server.latest_served_ms):
            noise = DELAY_NOISE_MS / aim_ms
            ratio = (share + noise) / (self.baseline_share + noise)
            slowness = self._slowness(server, now)
            server.slowness = slowness + (min(ratio, MAX_SLOWNESS) - slowness) / SLOWNESS_SAMPLES
            server.slowness_ms = now

    def record_idle_result(self, idle_ms: float, result: Result) -> None:
        """Two losses on idle connections, none served that idled as long: close such before use."""
        if result in (Result.TIMEOUT, Result.RESET):
            self.idle_ms = min(self.idle_ms, IDLE_DECREASE * max(idle_ms, self._lost_idle_ms))
            self._lost_idle_ms = min(self._lost_idle_ms, idle_ms)
        elif result is Result.SERVED:
            self.idle_ms *= IDLE_INCREASE
            self._lost_idle_ms = math.inf if idle_ms >= self._lost_idle_ms else self._lost_idle_ms

    def record_result(self, server: Server, result: Result, assigned: int, now: float) -> None:
        """Adapt a server's concurrency limit, and eject it if it fails; `assigned` servers there are."""
        if result in (Result.REFUSED, Result.UNREACHABLE):
            limit = min(server.concurrency_limit, float(server.inflight)) * CONCURRENCY_DECREASE
            server.concurrency_limit = max(1.0, limit)
            if result is Result.UNREACHABLE and not server.inflight:  # down, or out of connections
                self.eject(server, now)
        elif result is Result.SERVED:
            server.concurrency_limit += 1.0 / server.concurrency_limit
        if result in (Result.SERVED, Result.ERROR, Result.RESET):
            self._record_error(server, result is not Result.SERVED, assigned, now)

    def _record_error(self, server: Server, failed: bool, assigned: int, now: float) -> None:
        # Fast errors look like low delay: weigh failing half its calls against failing like its peers.
        baseline = max(MIN_ERROR_RATE, min(self._error_rate, SUSPECT_ERROR_RATE))
        self._error_rate += (failed - self._error_rate) / BASELINE_SAMPLES
        if failed:
            step = math.log(SUSPECT_ERROR_RATE / baseline)
        else:
            step = math.log((1.0 - SUSPECT_ERROR_RATE) / (1.0 - baseline))
        server.error_log_odds = max(0.0, server.error_log_odds + step)
        if server.error_log_odds >= EJECTION_LOG_ODDS:
            if self.ejected_count < MAX_EJECTED_SHARE * assigned:
                self.eject(server, now)
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0  # on its return it is on probation
        elif not server.error_log_odds:
            server.ejections = 0
