"""Texts and table rows that the terminal report and the HTML page share. Does no I/O."""

from __future__ import annotations

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.verdict import Verdict

TITLES = {
    "no_request_lost": "no request lost",
    "no_effect_twice": "no effect twice",
    "drains_kept": "drains kept",
    "cold_servers_spared": "cold servers spared",
}
CLASS_HEAD = ["class", "asked", "served", "refused", "failed", "unanswered", "p50 ms", "p99 ms", "service"]


def percent(value: float | None) -> str:
    """Return a fraction in percent, or "-" for None."""
    return "-" if value is None else f"{100.0 * value:.1f}%"


def class_rows(verdict: Verdict) -> list[list[str]]:
    """Return a row of cells for each class, in the columns of `CLASS_HEAD`."""
    rows = []
    for name, row in verdict.service.classes.items():
        counts = (row.asked, row.served, row.refused, row.failed, row.unanswered)
        times = (row.quantile_ms(50.0), row.quantile_ms(99.0))
        rows.append([name, *map(str, counts), *(f"{t:.0f}" for t in times), percent(row.service)])
    return rows


def result_text(finding: Finding) -> str:
    """Return the result of a rule; a rule with nothing to check neither passes nor fails."""
    if not finding.passed:
        return "FAIL"
    return "pass" if finding.checked else "nothing to check"


def summary(verdict: Verdict) -> str:
    """Return a one-sentence summary of a run."""
    service = verdict.service
    scenario = verdict.scenario
    tiers = ", ".join(
        f"{tier.name} {count}" for tier, count in zip(scenario.tiers, verdict.arrivals_by_tier, strict=True)
    )
    return (
        f"service {percent(service.overall)}, worst 10 s {percent(service.worst_window)} (from "
        f"{service.worst_window_at:g} s), worst class {service.worst_class or '-'}; "
        f"{verdict.client_requests} first attempts, {verdict.client_attempts} with retries, "
        f"{verdict.arrivals_per_client_request:.2f} attempts per request ({tiers})"
    )
