"""Measures service, the share of requested value that was served, and the outcome of each client request.

Service is the value of requests answered within their latency target, divided by the value of all requests,
from the first second of the load on. An answer that comes later, but before the client gives up, earns the
fraction `late_worth` of its class. A client's retries belong to its first attempt, and latency counts from
when the first attempt was due. Latency percentiles come from an HdrHistogram.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from orchidferry.testkit.judge.rules import REFUSALS
from orchidferry.testkit.judge.trace import RequesterEvent, RequestKey, RunTrace
from orchidferry.testkit.record import RequestSent, RequestTimedOut, ResponseReceived
from orchidferry.testkit.scenario import Class

WINDOW_S = 10.0
WINDOW_STEP_S = 1.0
MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
LATENCY_DIGITS = 3


class Outcome(StrEnum):
    """The outcome of a client request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    OPEN = "open"  # undecided: the record ends before the client would have given up


@dataclass(slots=True)
class ClientRequest:
    """A client request: its first attempt and all retries of it."""

    root: str  # id that the ids of all its attempts begin with
    cls: Class
    t: float  # when the first attempt was due, in seconds since the load began
    outcome: Outcome
    took_s: float  # latency from `t` until the request was served, in seconds; 0 if it was not
    attempts: int  # number of attempts, retries included

    @property
    def earned(self) -> float:
        """The value earned by the answer, reduced if it was late."""
        if self.outcome is not Outcome.SERVED or self.took_s > self.cls.gives_up_s:
            return 0.0
        return self.cls.worth * (1.0 if self.took_s <= self.cls.wanted_s else self.cls.late_worth)


@dataclass(slots=True)
class ClassService:
    """Counts, value and latencies of the client requests of one class."""

    asked: int = 0  # all client requests except the open ones
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    open: int = 0
    value: float = 0.0  # sum over all requests
    earned: float = 0.0  # the part of `value` that answers earned
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_DIGITS)
    )

    def add(self, request: ClientRequest) -> None:
        """Count a request; an open request counts only in `open`."""
        if request.outcome is Outcome.OPEN:
            self.open += 1
            return
        self.asked += 1
        self.value += request.cls.worth
        self.earned += request.earned
        match request.outcome:
            case Outcome.SERVED:
                self.served += 1
                latency_us = int(request.took_s * 1e6)
                self.latency_us.record_value(max(MIN_LATENCY_US, min(latency_us, MAX_LATENCY_US)))
            case Outcome.REFUSED:
                self.refused += 1
            case Outcome.FAILED:
                self.failed += 1
            case Outcome.UNANSWERED:
                self.unanswered += 1

    @property
    def service(self) -> float | None:
        """The fraction of the value that was earned; None if there was no request."""
        return self.earned / self.value if self.value else None

    def quantile_ms(self, percent: float) -> float:
        """A percentile of the latency of served requests, in milliseconds; 0 if none was served."""
        return self.latency_us.get_value_at_percentile(percent) / 1000.0 if self.served else 0.0


@dataclass(slots=True)
class Service:
    """The service of a run."""

    overall: float | None  # None if there was no request
    worst_window: float | None  # lowest service within any window of `WINDOW_S`
    worst_window_at: float  # start of that window, in seconds since the load began
    worst_class: str | None  # name of the class with the lowest service
    classes: dict[str, ClassService]  # by name
    requests: list[ClientRequest]  # in order of their due time


def client_requests(trace: RunTrace) -> list[ClientRequest]:
    """All client requests with their outcomes, in order of their due time."""
    attempts: dict[str, list[RequestKey]] = defaultdict(list)
    for request in trace.requester_events:
        if request.tier == 0:
            attempts[request.id.partition(".")[0]].append(request)
    result = []
    for scheduled in trace.scheduled:
        cls = trace.classes[scheduled.cls]
        keys = sorted(attempts.get(scheduled.root, ()), key=lambda key: trace.requester_events[key][0].t)
        outcome = Outcome.FAILED
        took_s = 0.0
        for key in keys:
            for event in trace.requester_events[key]:
                if outcome is Outcome.SERVED:
                    break
                outcome = _outcome(event)
                if outcome is Outcome.SERVED:
                    took_s = event.t - scheduled.t
        if outcome is not Outcome.SERVED and not trace.complete and scheduled.t + cls.gives_up_s > trace.end:
            outcome = Outcome.OPEN
        result.append(
            ClientRequest(scheduled.root, cls, trace.elapsed(scheduled.t), outcome, took_s, len(keys))
        )
    return result


def _outcome(event: RequesterEvent) -> Outcome:
    """The outcome of a client request if this event is its last one."""
    if isinstance(event, ResponseReceived):
        if event.status == 200 and event.sound:
            return Outcome.SERVED
        return Outcome.REFUSED if event.status in REFUSALS else Outcome.FAILED
    return Outcome.UNANSWERED if isinstance(event, RequestSent | RequestTimedOut) else Outcome.FAILED


def service_of(requests: list[ClientRequest]) -> float | None:
    """The fraction of these requests' value that was earned; None if their total value is 0."""
    value = sum(one.cls.worth for one in requests if one.outcome is not Outcome.OPEN)
    return sum(one.earned for one in requests) / value if value else None


def measure(trace: RunTrace) -> Service:
    """Measure the service of a run."""
    requests = client_requests(trace)
    classes = {cls.name: ClassService() for cls in trace.scenario.classes}
    for request in requests:
        classes[request.cls.name].add(request)
    worst, worst_at = _worst_window(requests, trace.scenario.length_s)
    by_class = {name: row.service for name, row in classes.items() if row.service is not None}
    worst_class = min(by_class, key=lambda name: by_class[name] or 0.0, default=None)
    return Service(service_of(requests), worst, worst_at, worst_class, classes, requests)


def _worst_window(requests: list[ClientRequest], length_s: float) -> tuple[float | None, float]:
    """The lowest service of the requests due in any window of `WINDOW_S`, and the start of that window."""
    worst = None
    worst_at = 0.0
    at = 0.0
    while at == 0.0 or at + WINDOW_S <= length_s:
        value = service_of([one for one in requests if at <= one.t < at + WINDOW_S])
        if value is not None and (worst is None or value < worst):
            worst = value
            worst_at = at
        at += WINDOW_STEP_S
    return worst, worst_at
