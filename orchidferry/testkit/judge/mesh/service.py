"""Measures the service of a run of the mesh: the share of the requested value that was served."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.testkit.judge.mesh.request_rules import REFUSALS
from orchidferry.testkit.judge.mesh.service_rules import client_attempts
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.judge.quantiles import quantile
from orchidferry.testkit.mesh.day import Kind
from orchidferry.testkit.mesh.facts import Answered, NoAnswer, Sent


@dataclass(slots=True)
class KindService:
    """Counts, value and latencies of the requests of one kind; retries count with their first attempt."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    earned: float = 0.0  # the part of `value` that answers earned
    value: float = 0.0  # sum over all requests
    latencies_ms: list[float] = field(default_factory=list)  # of served requests, from when each was due

    @property
    def service(self) -> float | None:
        """The fraction of the value that was earned; None if the value is 0."""
        return self.earned / self.value if self.value else None

    def quantile_ms(self, q: float) -> float:
        """A quantile of the latency of served requests, in milliseconds; 0 if none was served.

        :param q: from 0 to 1
        """
        return quantile(sorted(self.latencies_ms), q) or 0.0


def measure(trace: MeshTrace) -> dict[str, KindService]:
    """Measure the service by kind of request; a request is served if any of its attempts was."""
    rows = {name: KindService() for name in trace.record.kinds}
    for attempts in client_attempts(trace):
        name = attempts[0].kind
        _add_request(rows[name], trace.record.kinds[name], attempts, trace)
    return rows


def _add_request(row: KindService, kind: Kind, attempts: list[Sent], trace: MeshTrace) -> None:
    ends = [trace.ends.get(sent.id) for sent in attempts]
    row.asked += 1
    row.value += kind.worth
    success = next((end for end in ends if isinstance(end, Answered) and 200 <= end.status < 300), None)
    last = ends[-1]
    if success is not None:
        latency_ms = (success.t - attempts[0].first) * 1000.0
        row.served += 1
        row.latencies_ms.append(latency_ms)
        row.earned += kind.worth if latency_ms <= kind.aim_ms else kind.late
    elif last is None or (isinstance(last, NoAnswer) and last.how == "timeout"):
        row.unanswered += 1
    elif isinstance(last, Answered) and last.status in REFUSALS:
        row.refused += 1
    else:
        row.failed += 1
