"""The JSON object of a verdict; its keys are documented for operators and must not change."""

from __future__ import annotations

from typing import Any

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.service import ClassService
from orchidferry.testkit.judge.verdict import Verdict, attempts_during_fault, new_pool_load

FORMAT = 1


def rounded(value: float | None, digits: int = 4) -> float | None:
    """A number rounded for output, or None."""
    return None if value is None else round(value, digits)


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The object of `--json`; its part under `run` is internal to the test kit and may change."""
    scenario = verdict.scenario
    trace = verdict.trace
    tiers = [tier.name for tier in scenario.tiers]
    optional = {
        "control": verdict.control,
        "traffic": verdict.traffic,
        "moves": new_pool_as_json(verdict),
        "fleet": verdict.fleet,
    }
    return {
        "format": FORMAT,
        "scenario": scenario.name,
        "seed": scenario.seed,
        "complete": verdict.complete,
        "service": rounded(verdict.service.overall),
        "classes": {name: _class_as_json(row) for name, row in verdict.service.classes.items()},
        "rules": {name: _rule_as_json(finding, tiers) for name, finding in verdict.rules.items()},
        "requests": {"asked": verdict.client_requests, "tries": verdict.client_attempts},
        "attempts": {
            "by_tier": verdict.arrivals_by_tier,
            "per_client_request": round(verdict.arrivals_per_client_request, 4),
            "during_fault": fault_as_json(verdict),
        },
        "timeline": [
            {
                "at_s": round(trace.elapsed(fact.t), 3),
                "until_s": round(trace.elapsed(fact.until), 3),
                "do": fact.do,
                "whom": fact.whom,
            }
            for fact in trace.incidents
        ],
        **{name: value for name, value in optional.items() if value is not None},
        "run": _run_as_json(verdict),
    }


def fault_as_json(verdict: Verdict) -> dict[str, Any] | None:
    """The attempts during the longest fault; None if there was no fault of sufficient length."""
    found = attempts_during_fault(verdict)
    if found is None:
        return None
    return {
        "fault": found.fault,
        "from_s": round(found.start_s, 3),
        "until_s": round(found.end_s, 3),
        "asked": found.asked,
        "by_tier": found.arrivals_by_tier,
        "per_client_request": found.per_client_request,
    }


def new_pool_as_json(verdict: Verdict) -> dict[str, Any] | None:
    """The load that a new pool received; None if there was no new pool."""
    found = new_pool_load(verdict)
    if found is None:
        return None
    return {
        "requests": found.requests,
        "worth": found.value_fraction,
        "last_s": found.last_s,
    }


def _class_as_json(row: ClassService) -> dict[str, Any]:
    return {
        "asked": row.asked,
        "served": row.served,
        "refused": row.refused,
        "failed": row.failed,
        "unanswered": row.unanswered,
        "p50_ms": round(row.quantile_ms(50.0), 3),
        "p99_ms": round(row.quantile_ms(99.0), 3),
        "service": rounded(row.service),
    }


def _rule_as_json(finding: Finding, tiers: list[str]) -> dict[str, Any]:
    return {
        "held": finding.passed,
        "checked": finding.checked,
        "breaks": finding.violation_count,
        "broken": [
            {
                "at_s": round(violation.t, 3),
                "request": violation.request,
                "tier": tiers[violation.tier],
                "what": violation.description,
                "story": violation.history,
            }
            for violation in finding.violations
        ],
    }


def _run_as_json(verdict: Verdict) -> dict[str, Any]:
    service = verdict.service
    lateness = verdict.lateness
    return {
        "why": verdict.why,
        "void": lateness.void,
        "worst_10s": {"service": rounded(service.worst_window), "from_s": service.worst_window_at},
        "worst_class": service.worst_class,
        "open_at_end": sum(row.open for row in service.classes.values()),
        "unsafe_run_twice_legally": verdict.unsafe_duplicates,
        "lag_ms": {
            "p99": round(lateness.p99_s * 1000, 2),
            "most": round(lateness.max_s * 1000, 2),
            "stall": round(lateness.stall_s * 1000, 2),
        },
        "starved": rounded(lateness.starved),
    }
