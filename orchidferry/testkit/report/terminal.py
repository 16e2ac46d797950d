"""The terminal report of a run: its progress, and finally tables and a timeline."""

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
LINE_INTERVAL_S = 5.0  # interval between progress lines if the output is not a terminal
LIVE_INTERVAL_S = 0.25  # interval between updates of the live line
TIMELINE_WIDTH = 60  # characters
COLOURS = {"pass": "green", "FAIL": "bold red", "nothing to check": "yellow"}
MAX_VIOLATIONS = 3  # violations of a rule, or problems of another check, that are printed


def status_line(scenario: Scenario, progress: Progress) -> str:
    """Return a progress line of a run."""
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
    """Show the progress until cancelled: a live line on a terminal, otherwise a line at intervals."""
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
        console.print(f"[bold red]cut off[/]: {escape(verdict.why)}; results up to then:")
    for why in verdict.lateness.void:
        console.print(
            f"[bold red]void[/]: {escape(why)}: the machine was too slow; the run says nothing of the nodes"
        )
    console.print(_classes(verdict))
    console.print(summary(verdict), highlight=False)
    if (figures := attempts_during_fault(verdict)) is not None and figures.asked:
        tiers = zip(verdict.scenario.tiers, figures.arrivals_by_tier, strict=True)
        shares = ", ".join(f"{tier.name} {count / figures.asked:.2f}" for tier, count in tiers)
        console.print(
            f"in the {figures.fault}, from 2 s on: {figures.asked} first attempts, "
            f"{figures.per_client_request:.2f} attempts per request ({shares})",
            highlight=False,
        )
    console.print()
    _timeline(console, verdict)
    console.print()
    _rules(console, verdict)
    if verdict.unsafe_duplicates:
        roots = ", ".join(verdict.unsafe_duplicates[:5])
        console.print(
            f"{len(verdict.unsafe_duplicates)} unsafe requests ran twice because their clients retried "
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
    """Print a comparison of replayed with recorded traffic."""
    figures = verdict.traffic
    if figures is None:
        return
    table = Table("class", "recorded", "sent")
    for name, share in figures["recorded_mix"].items():
        table.add_row(name, f"{share:.2%}", f"{figures['mix'].get(name, 0.0):.2%}")
    console.print(table)
    lag = ", ".join(f"{name} {value:.2f}" for name, value in figures["lag_ms"].items())
    console.print(f"{figures['sent']} requests replayed; sending lag in ms: {lag}", highlight=False)
    both = ((name, figures["recorded_gaps_ms"].get(name, 0.0)) for name in figures["gaps_ms"])
    gaps = ", ".join(f"{name} {figures['gaps_ms'][name]:.2f} ({value:.2f})" for name, value in both)
    console.print(f"gaps between requests (as recorded) in ms: {gaps}", highlight=False)
    for reason, count in figures["skipped"].items():
        console.print(f"left out: {count} ({reason})", highlight=False)


def _fleet(console: Console, verdict: Verdict) -> None:
    """Print how well the nodes' member lists agreed with the nodes that were running."""
    figures = verdict.fleet
    if figures is None:
        return

    def seconds(value: float | None) -> str:
        return "-" if value is None else f"{value:.1f} s"

    agreed, longest = seconds(figures["views_agree_after_s"]), seconds(figures["false_longest_s"])
    p50, p99 = seconds(figures["known_dead_p50_s"]), seconds(figures["known_dead_p99_s"])
    console.print(
        f"fleet of {figures['nodes']}: views agreed {agreed} after {figures['heals']} heals; "
        f"{figures['false_deaths']} false deaths (longest {longest}); "
        f"deaths known after {p50}, p99 {p99} ({figures['deaths_known']}); "
        f"{figures['bytes_a_node_s']} bytes per node and second",
        highlight=False,
    )
    for problem in figures["problems"][:MAX_VIOLATIONS]:
        console.print(f"[bold red]fleet[/]: {escape(problem)}", highlight=False)


def _control(console: Console, verdict: Verdict) -> None:
    """Print which configuration versions the nodes have at the end."""
    figures = verdict.control
    if figures is None:
        return
    finals = Counter(tuple(sorted(versions.items())) for versions in figures["final_versions"].values())
    ends = "; ".join(
        f"{count} nodes on {', '.join(f'{name} {version}' for name, version in versions) or 'nothing'}"
        for versions, count in finals.most_common(MAX_VIOLATIONS)
    )
    console.print(
        f"{figures['sent']} versions, {figures['bad']} bad, {figures['refused']} rejections over "
        f"{len(figures['final_versions'])} nodes and {figures['streams']} streams; at the end {ends}",
        highlight=False,
    )
    for problem in figures["problems"][:MAX_VIOLATIONS]:
        console.print(f"[bold red]versions[/]: {escape(problem)}", highlight=False)


def _classes(verdict: Verdict) -> Table:
    table = Table(title=f"{verdict.scenario.name}, seed {verdict.scenario.seed}", title_justify="left")
    for n, name in enumerate(CLASS_HEAD):
        table.add_column(name, justify="right" if n else "left")
    for row in class_rows(verdict):
        table.add_row(*row)
    return table


def _timeline(console: Console, verdict: Verdict) -> None:
    """Print the service over time, and a bar for each incident below it."""
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
