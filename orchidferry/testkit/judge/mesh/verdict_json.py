"""The JSON object of a verdict on the mesh; its keys are documented for operators and must not change."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.control_call_rules import control_call_statistics
from orchidferry.testkit.judge.mesh.service import KindService
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.judge.mesh.verdict import Verdict
from orchidferry.testkit.mesh.day import PROBE
from orchidferry.testkit.mesh.facts import Answered

FORMAT = 1


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The object of `--json`; its parts `mesh` and `run` are internal to the test kit and may change."""
    record = verdict.record
    trace = verdict.trace
    asked = sum(row.asked for row in verdict.classes.values())
    services = list(dict.fromkeys(record.services.values()))
    arrivals = [sum(run.arrived.service == name for run in trace.runs.values()) for name in services]
    return {
        "format": FORMAT,
        "scenario": record.scenario,
        "seed": record.seed,
        "complete": record.complete,
        "service": None if verdict.service is None else round(verdict.service, 4),
        "classes": {name: _class_as_json(row) for name, row in verdict.classes.items()},
        "rules": {name: _rule_as_json(finding) for name, finding in verdict.rules.items()},
        "requests": {
            "asked": asked,
            "tries": sum(sent.kind != PROBE for sent in trace.requests.values()),
        },
        "attempts": {
            "by_tier": arrivals,
            "per_client_request": round(sum(arrivals) / asked, 4) if asked else 0.0,
        },
        "timeline": [
            {
                "at_s": round(trace.elapsed(event.t), 3),
                "until_s": round(trace.elapsed(event.until), 3),
                "do": event.do,
                "whom": event.whom,
            }
            for event in trace.events
        ],
        "mesh": mesh_statistics(trace),
        "run": {
            "why": record.why,
            "void": [verdict.void] if verdict.void else [],
            "lag_ms": {"stall": round(record.stall_s * 1000.0, 2)},
            "starved": round(record.starved, 4),
        },
    }


def mesh_statistics(trace: MeshTrace) -> dict[str, Any]:
    """The object under `mesh`: acknowledgement times of versions and drain notices, and counts of answers."""
    drains = [notice for notice in trace.notices if notice.state == "draining" and notice.acked is not None]
    answers: dict[str, int] = defaultdict(int)
    for request_id, end in trace.ends.items():
        if trace.requests[request_id].kind != PROBE:
            answers[str(end.status) if isinstance(end, Answered) else end.how] += 1
    return {
        "processes": sum(fact.what == "start" for fact in trace.processes),
        "versions": [
            {
                "revision": put.revision,
                "valid": put.valid,
                "status": put.status,
                "acked_ms": None if put.acked is None else round((put.acked - put.t) * 1000.0, 1),
            }
            for put in trace.puts
        ],
        "control_calls": control_call_statistics(trace),
        "leaves_acked_ms": [round(((drain.acked or drain.t) - drain.t) * 1000.0, 1) for drain in drains],
        "answers": dict(sorted(answers.items())),
        "turned_away": sum(run.rejected is not None for run in trace.runs.values()),
    }


def _class_as_json(row: KindService) -> dict[str, Any]:
    return {
        "asked": row.asked,
        "served": row.served,
        "refused": row.refused,
        "failed": row.failed,
        "unanswered": row.unanswered,
        "p50_ms": round(row.quantile_ms(0.5), 3),
        "p99_ms": round(row.quantile_ms(0.99), 3),
        "service": None if row.service is None else round(row.service, 4),
    }


def _rule_as_json(finding: Finding) -> dict[str, Any]:
    return {
        "held": finding.passed,
        "checked": finding.checked,
        "breaks": finding.violation_count,
        "broken": [
            {
                "at_s": round(violation.t, 3),
                "request": violation.request,
                "what": violation.description,
                "story": violation.history,
            }
            for violation in finding.violations
        ],
    }
