"""Outlier detection: judges servers by the outcomes of attempts, and ejects those that fail.

Delays and errors are compared with the baseline of all servers of this node. The concurrency limit of each
server and the trusted idle time of connections are learned too. Times are milliseconds of the node's
monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.records import Sent, Server

CONCURRENCY_DECREASE = 0.9  # multiplicative decrease of a server's limit when it rejects an attempt
SLOW_FACTOR = 1.5  # multiple of the baseline delay above which a server counts as slow
SLOWNESS_EXPONENT = 4.0  # a slow server's weight falls with this power, steeply enough to relieve it
REPORT_DECAY_MS = 5_000.0  # time constant of a reported queue; the weight falls with the cube of the queue
OVERDUE_FACTOR = 1.5  # the age of an outstanding call is divided by this, and then judged like a delay
DELAY_NOISE_MS = 1.0  # added to both delays of a comparison: where peers take 0.5 ms, 1 ms is not slow
MAX_SLOWNESS = 10.0  # cap on the slowness that a single answer shows, as a multiple of the baseline
SLOWNESS_SAMPLES = 3.0  # answers over which a server's slowness is averaged
SLOWNESS_DECAY_MS = 10_000.0  # time constant with which old evidence of slowness decays
BASELINE_SAMPLES = 100.0  # answers over which the baseline is averaged
BASE_EJECTION_MS = 1_000.0  # duration of the first ejection; doubles with each consecutive one
MAX_EJECTION_DOUBLINGS = 5
MAX_EJECTED_SHARE = 0.5  # servers are ejected for errors only while less than this share is ejected
EJECTION_LOG_ODDS = math.log(30.0)  # log odds of failure at which a server is ejected
SUSPECT_ERROR_RATE = 0.5  # error rate of a failing server, the alternative hypothesis of the test
MIN_ERROR_RATE = 0.01  # lower bound of the baseline error rate used in the test
IDLE_DECREASE = 0.5  # factor on the trusted idle time after a loss on an idle connection
IDLE_INCREASE = 1.03  # factor on the trusted idle time after an answer on an idle connection


class OutlierDetector:
    """Keeps the baseline of delays and errors, and compares each server with it."""

    def __init__(self, classes: Iterable[api.RequestClass], rng: random.Random) -> None:
        self._rng = rng
        self._targets_ms: dict[str, float] = {}  # latency targets by class, also of removed classes
        self.set_classes(classes)
        self.baseline_share = 0.0  # mean ratio of a delay to its latency target
        self.samples = 0.0  # number of answers in that mean, up to BASELINE_SAMPLES
        self._error_rate = 0.0  # recent error rate of all servers
        self.ejected_count = 0  # assigned servers that are ejected
        self.max_idle_ms = math.inf  # trusted idle time; connections idle for longer are closed before use
        self._lost_idle_ms = math.inf  # shortest idle time of a loss that no answer has contradicted since

    def set_classes(self, classes: Iterable[api.RequestClass]) -> None:
        """Set the classes; removed classes are kept for their open requests."""
        self._targets_ms |= {cls.name: cls.aim_ms for cls in classes}

    def baseline_ms(self, name: str) -> float:
        """The usual delay of a class, in ms."""
        return self.baseline_share * self._targets_ms[name]

    def _slowness(self, server: Server, now: float) -> float:
        return 1.0 + (server.slowness - 1.0) * math.exp((server.slowness_ms - now) / SLOWNESS_DECAY_MS)

    def health_factor(self, server: Server, now: float) -> float:
        """The factor on a server's weight: below 1 if it is slow, has an overdue call or reports a queue."""
        # The oldest outstanding call reveals a silent, hung or overloaded server long before a timeout. Calls
        # that later ones have overtaken are skipped: their connection died, or they alone are long.
        # Counting them made two dead connections keep two of four healthy servers idle for 6 s.
        # The drawback: a server that answers few calls and loses the rest is found only by their timeouts.
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
        """Eject a server for a time that doubles with each consecutive ejection, with jitter."""
        if now >= server.ejected_until_ms:
            backoff_ms = BASE_EJECTION_MS * 2.0 ** min(server.ejections, MAX_EJECTION_DOUBLINGS)
            server.ejected_until_ms = now + backoff_ms * (0.5 + self._rng.random())
            server.ejections += 1

    def record_delay(self, server: Server, sent: Sent, delay_ms: float, served: bool, now: float) -> None:
        """Update the baseline and the server's slowness with an attempt that was served or timed out."""
        sent_ms, aim_ms = sent
        share = delay_ms / aim_ms
        self.samples = min(self.samples + 1.0, BASELINE_SAMPLES)
        self.baseline_share += (share - self.baseline_share) / self.samples
        if self.baseline_share and (served or sent_ms >= server.latest_served_ms):
            noise = DELAY_NOISE_MS / aim_ms
            ratio = (share + noise) / (self.baseline_share + noise)
            slowness = self._slowness(server, now)
            server.slowness = slowness + (min(ratio, MAX_SLOWNESS) - slowness) / SLOWNESS_SAMPLES
            server.slowness_ms = now

    def record_idle_result(self, idle_ms: float, result: Result) -> None:
        """Update the trusted idle time with the result of an attempt on a connection that was idle.

        It is lowered after two losses without an answer on a connection idle for as long between them, as one
        loss may be chance.
        """
        if result in (Result.TIMEOUT, Result.RESET):
            self.max_idle_ms = min(self.max_idle_ms, IDLE_DECREASE * max(idle_ms, self._lost_idle_ms))
            self._lost_idle_ms = min(self._lost_idle_ms, idle_ms)
        elif result is Result.SERVED:
            self.max_idle_ms *= IDLE_INCREASE
            self._lost_idle_ms = math.inf if idle_ms >= self._lost_idle_ms else self._lost_idle_ms

    def record_result(self, server: Server, result: Result, assigned: int, now: float) -> None:
        """Adapt a server's concurrency limit, and eject it if it is down or fails too often.

        :param assigned: the number of servers assigned to this node
        """
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
        # A fast error looks like a low delay, so errors are judged on their own, by a sequential test:
        # does the server fail half of its calls, or as many as its peers?
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
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0  # after its return it takes less evidence
        elif not server.error_log_odds:
            server.ejections = 0
