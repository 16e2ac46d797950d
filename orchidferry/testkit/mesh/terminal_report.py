"""Prints the report of a run on the mesh to the terminal."""

from __future__ import annotations

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.verdict import Verdict
from orchidferry.testkit.judge.mesh.verdict_json import as_json
from orchidferry.testkit.mesh.session import CompletedRun
from orchidferry.testkit.report.tables import CLASS_HEAD, percent

MAX_VIOLATIONS = 3
"""How many violations of one rule are printed."""

MAX_LOGGED_PROBLEMS = 5
"""How many log lines with an exception are printed."""


def show(console: Console, verdict: Verdict, completed: CompletedRun) -> None:
    """Print the complete report of a run."""
    record = verdict.record
    if not record.complete:
        console.print(f"[bold red]cut off[/]: {escape(record.why)}; what was seen until then:")
    if verdict.void:
        console.print(f"[bold red]void[/]: {verdict.void}: this run allows no conclusions about the mesh")
    console.print(_class_table(verdict))
    console.print(_summary(verdict, completed), highlight=False)
    for event in verdict.trace.events:
        console.print(f"{verdict.trace.elapsed(event.t):9.1f} s  {event.do}: {event.whom}", highlight=False)
    _show_versions(console, verdict)
    console.print(_rule_table(verdict))
    for name, finding in verdict.rules.items():
        _show_violations(console, name, finding)
    for problem in completed.logged_problems[:MAX_LOGGED_PROBLEMS]:
        console.print(f"logged by {problem}", markup=False, highlight=False)
    if verdict.passed:
        console.print("[bold green]no rule broken[/]")


def _class_table(verdict: Verdict) -> Table:
    record = verdict.record
    table = Table(title=f"{record.scenario}, seed {record.seed}", title_justify="left")
    for n, name in enumerate(CLASS_HEAD):
        table.add_column(name, justify="right" if n else "left")
    for name, row in verdict.classes.items():
        if row.asked:
            counts = (row.asked, row.served, row.refused, row.failed, row.unanswered)
            times = (f"{row.quantile_ms(q):.0f}" for q in (0.5, 0.99))
            table.add_row(name, *map(str, counts), *times, percent(row.service))
    return table


def _summary(verdict: Verdict, completed: CompletedRun) -> str:
    """A run in one sentence: service level, requests, answers, resource usage of the processes."""
    found = as_json(verdict)
    requests = found["requests"]
    answers = ", ".join(f"{name}: {count}" for name, count in found["mesh"]["answers"].items())
    usage = completed.usage
    sidecars_s = sum(use.cpu_s for name, use in usage.items() if name not in verdict.record.cores)
    cores_s = sum(use.cpu_s for use in usage.values()) - sidecars_s
    peak_mb = max((use.peak_memory_mb for use in usage.values()), default=0.0)
    return (
        f"service {percent(verdict.service)}; {requests['asked']} requests, {requests['tries']} attempts, "
        f"{found['attempts']['per_client_request']:.2f} arrivals per request; answers {answers}; "
        f"{sidecars_s:.1f} CPU s on sidecars, {cores_s:.1f} on controllers, {peak_mb:.0f} MB peak memory"
    )


def _show_versions(console: Console, verdict: Verdict) -> None:
    for put in as_json(verdict)["mesh"]["versions"]:
        took = "not acknowledged" if put["acked_ms"] is None else f"acknowledged in {put['acked_ms']:.0f} ms"
        valid = "" if put["valid"] else " (invalid)"
        console.print(f"version {put['revision']}{valid}: {took}, status {put['status']}", highlight=False)


def _rule_table(verdict: Verdict) -> Table:
    table = Table(title="rules", title_justify="left")
    table.add_column("rule", justify="left")
    table.add_column("verdict", justify="left")
    table.add_column("checked", justify="right")
    table.add_column("breaks", justify="right")
    for name, finding in verdict.rules.items():
        table.add_row(name, _rule_result(finding), str(finding.checked), str(finding.violation_count))
    return table


def _rule_result(finding: Finding) -> str:
    """The result of a rule; one without anything to check counts neither as kept nor as violated."""
    if not finding.passed:
        return "[bold red]FAIL[/]"
    return "[green]pass[/]" if finding.checked else "[yellow]nothing to check[/]"


def _show_violations(console: Console, rule: str, finding: Finding) -> None:
    for violation in finding.violations[:MAX_VIOLATIONS]:
        console.print(
            f"[bold red]{rule}[/]: {violation.request} at {violation.t:.3f} s: "
            f"{escape(violation.description)}",
            highlight=False,
        )
        for line in violation.history:
            console.print(f"    {line}", markup=False, highlight=False, soft_wrap=True)
    if finding.violation_count > MAX_VIOLATIONS:
        console.print(f"    and {finding.violation_count - MAX_VIOLATIONS} more")
