"""The terminal report of a run: its progress, and tables and a timeline at its end."""

from __future__ import annotations

import asyncio
from collections import Counter

from rich.console import Console
from rich.live import Live
from rich.markup import escape
from rich.table import Table
from rich.text import Text

from orchidferry.testkit.judge.verdict import Verdict, attempts_during_fault, new_pool_load
from orchidferry.testkit.report.series import series
from orchidferry.testkit.report.tables import CLASS_HEAD, TITLES, class_rows, result_text, summary
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.world.director import Progress

BLOCKS = " ▁▂▃▄▅▆▇█"
LINE_INTERVAL_S = 5.0  # of progress lines, if the output is no terminal
LIVE_INTERVAL_S = 0.25  # of updates of the live line
TIMELINE_WIDTH = 60  # characters
COLOURS = {"pass": "green", "FAIL": "bold red", "nothing to check": "yellow"}
MAX_VIOLATIONS = 3  # of a rule that are printed with their history


def status_line(scenario: Scenario, progress: Progress) -> str:
    """Return one line about the progress of a run."""
    if progress.phase != "playing":
        return f"{scenario.name}: {progress.phase}"
    active = [what for start, end, what in progress.incidents if start <= progress.t <= max(end, start + 1.0)]
    done = min(1.0, max(0.0, progress.t) / scenario.length_s)
    bar = "█" * round(done * 20) + "·" * (20 - round(done * 20))
    line = (
        f"{scenario.name} {bar} {max(0.0, progress.t):5.1f} of {scenario.length_s:g} s  "
        f"asked {progress.asked}, served {progress.served}, open {progress.open}"
    )
    return line + (f"  !! {'; '.join(active)}" if active else "")


async def watch(console: Console, scenario: Scenario, progress: Progress) -> None:
    """Show the progress until cancelled: a live line on a terminal, else a line at intervals."""
    if not console.is_terminal:
        while True:
            await asyncio.sleep(LINE_INTERVAL_S)
            console.print(status_line(scenario, progress), markup=False, highlight=False, soft_wrap=True)
    with Live(console=console, auto_refresh=False, transient=True) as live:
        while True:
            live.update(
                Text(status_line(scenario, progress), no_wrap=True, overflow="ellipsis"), refresh=True
            )
            await asyncio.sleep(LIVE_INTERVAL_S)


def show(console: Console, verdict: Verdict) -> None:
    """Print the complete report of a run."""
    if not verdict.complete:
        console.print(f"[bold red]cut off[/]: {escape(verdict.why)}; what was seen until then:")
    for why in verdict.lateness.void:
        console.print(
            f"[bold red]void[/]: {escape(why)}: the machine was too slow; this run says nothing of the nodes"
        )
    console.print(_classes(verdict))
    console.print(summary(verdict), highlight=False)
    if (found := attempts_during_fault(verdict)) is not None and found.asked:
        tiers = zip(verdict.scenario.tiers, found.arrivals_by_tier, strict=True)
        shares = ", ".join(f"{tier.name} {count / found.asked:.2f}" for tier, count in tiers)
        console.print(
            f"in the {found.fault}, from 2 s on: {found.asked} first tries, "
            f"{found.per_client_request:.2f} attempts for each ({shares})",
            highlight=False,
        )
    console.print()
    _timeline(console, verdict)
    console.print()
    _rules(console, verdict)
    if verdict.unsafe_duplicates:
        roots = ", ".join(verdict.unsafe_duplicates[:5])
        console.print(
            f"{len(verdict.unsafe_duplicates)} unsafe first tries ran twice, as their clients asked again "
            f"after a failure, which no rule forbids: {roots}"
        )
    if (moved := new_pool_load(verdict)) is not None:
        last = "never" if moved.last_s is None else f"last at {moved.last_s:.1f} s"
        console.print(f"the new pool carried {moved.value_fraction:.2%} of worth, {last}", highlight=False)
    _control(console, verdict)
    _fleet(console, verdict)
    _traffic(console, verdict)
    if verdict.passed:
        console.print("[bold green]no rule broken[/]")


def _traffic(console: Console, verdict: Verdict) -> None:
    """Print what a replay sent beside what was recorded."""
    found = verdict.traffic
    if found is None:
        return
    table = Table("class", "recorded", "sent")
    for name, share in found["recorded_mix"].items():
        table.add_row(name, f"{share:.2%}", f"{found['mix'].get(name, 0.0):.2%}")
    console.print(table)
    lag = ", ".join(f"{name} {value:.2f}" for name, value in found["lag_ms"].items())
    console.print(f"{found['sent']} requests replayed; late by, ms: {lag}", highlight=False)
    both = ((name, found["recorded_gaps_ms"].get(name, 0.0)) for name in found["gaps_ms"])
    gaps = ", ".join(f"{name} {found['gaps_ms'][name]:.2f} ({value:.2f})" for name, value in both)
    console.print(f"between requests (as recorded), ms: {gaps}", highlight=False)
    for reason, count in found["skipped"].items():
        console.print(f"left out: {count} ({reason})", highlight=False)


def _fleet(console: Console, verdict: Verdict) -> None:
    """Print how well the nodes knew each other."""
    found = verdict.fleet
    if found is None:
        return

    def seconds(value: float | None) -> str:
        return "-" if value is None else f"{value:.1f} s"

    agreed, longest = seconds(found["views_agree_after_s"]), seconds(found["false_longest_s"])
    p50, p99 = seconds(found["known_dead_p50_s"]), seconds(found["known_dead_p99_s"])
    console.print(
        f"fleet of {found['nodes']}: views agreed {agreed} after {found['heals']} heals; "
        f"{found['false_deaths']} held for gone though there (longest {longest}); "
        f"deaths known after {p50}, p99 {p99} ({found['deaths_known']}); "
        f"{found['bytes_a_node_s']} bytes a node a second",
        highlight=False,
    )
    for problem in found["problems"][:MAX_VIOLATIONS]:
        console.print(f"[bold red]fleet[/]: {escape(problem)}", highlight=False)


def _control(console: Console, verdict: Verdict) -> None:
    """Print which versions of a control service the nodes have."""
    found = verdict.control
    if found is None:
        return
    finals = Counter(tuple(sorted(versions.items())) for versions in found["final_versions"].values())
    ends = "; ".join(
        f"{count} nodes on {', '.join(f'{name} {version}' for name, version in versions) or 'nothing'}"
        for versions, count in finals.most_common(MAX_VIOLATIONS)
    )
    console.print(
        f"{found['sent']} versions, {found['bad']} bad, {found['refused']} refusals over "
        f"{len(found['final_versions'])} nodes and {found['streams']} streams; at the end {ends}",
        highlight=False,
    )
    for problem in found["problems"][:MAX_VIOLATIONS]:
        console.print(f"[bold red]versions[/]: {escape(problem)}", highlight=False)


def _classes(verdict: Verdict) -> Table:
    table = Table(title=f"{verdict.scenario.name}, seed {verdict.scenario.seed}", title_justify="left")
    for n, name in enumerate(CLASS_HEAD):
        table.add_column(name, justify="right" if n else "left")
    for row in class_rows(verdict):
        table.add_row(*row)
    return table


def _timeline(console: Console, verdict: Verdict) -> None:
    """Print the service over time, with a bar below for each incident."""
    length = max(verdict.trace.end - verdict.trace.start, 0.1)
    run_series = series(verdict, length / TIMELINE_WIDTH)
    bars = "".join(
        " " if v is None else BLOCKS[round(max(0.0, v) * 8)] for v in run_series.service[:TIMELINE_WIDTH]
    )
    console.print(f"service   {bars}", highlight=False, markup=False)
    for fact in verdict.trace.incidents:
        start = verdict.trace.elapsed(fact.t)
        first = min(TIMELINE_WIDTH - 1, max(0, int(start / length * TIMELINE_WIDTH)))
        last = min(
            TIMELINE_WIDTH, max(first + 1, round(verdict.trace.elapsed(fact.until) / length * TIMELINE_WIDTH))
        )
        bar = " " * first + "─" * (last - first)
        label = f"{start:g} s {fact.do}: {fact.whom}"
        console.print(
            f"          {bar:<{TIMELINE_WIDTH}}  {label}", highlight=False, markup=False, soft_wrap=True
        )
    console.print(f"          0 s{f'{length:.0f} s':>{TIMELINE_WIDTH - 3}}", highlight=False)


def _rules(console: Console, verdict: Verdict) -> None:
    table = Table(title="rules", title_justify="left")
    table.add_column("rule")
    table.add_column("verdict")
    table.add_column("checked", justify="right")
    table.add_column("breaks", justify="right")
    for name, finding in verdict.rules.items():
        result = result_text(finding)
        colour = COLOURS[result]
        table.add_row(
            TITLES[name], f"[{colour}]{result}[/]", str(finding.checked), str(finding.violation_count)
        )
    console.print(table)
    for name, finding in verdict.rules.items():
        for violation in finding.violations[:MAX_VIOLATIONS]:
            tier = verdict.scenario.tiers[violation.tier].name
            console.print(
                f"[bold red]{TITLES[name]}[/]: request {escape(violation.request)} to {tier}, at "
                f"{violation.t:.3f} s: {escape(violation.description)}",
                highlight=False,
            )
            for line in violation.history:
                console.print(f"    {line}", markup=False, highlight=False, soft_wrap=True)
        if finding.violation_count > MAX_VIOLATIONS:
            console.print(f"    and {finding.violation_count - MAX_VIOLATIONS} more")
