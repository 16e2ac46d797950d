"""The report of a run as a self-contained HTML page with tables and SVG plots."""

from __future__ import annotations

import io
from html import escape
from typing import Any

import matplotlib
from matplotlib.figure import Figure

from orchidferry.testkit.judge.fleet_views import count_members
from orchidferry.testkit.judge.verdict import Verdict
from orchidferry.testkit.report.series import QUANTILES, Series, series
from orchidferry.testkit.report.tables import CLASS_HEAD, TITLES, class_rows, percent, result_text, summary

FAULT_COLOURS = ("#d9822b", "#a23b72", "#3b6ea2", "#5b8c3a", "#8c5b3a")
RESULT_CLASSES = {"pass": "pass", "FAIL": "fail", "nothing to check": "none"}
STYLE = """
:root { color-scheme: light; }
body { font: 15px/1.45 system-ui, sans-serif; color: #222; }
body { margin: 2rem auto; max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
table { border-collapse: collapse; }
th, td { padding: .25rem .7rem; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child, .words td, .words th { text-align: left; }
.pass { color: #1b7837; } .fail { color: #b2182b; font-weight: 600; } .none { color: #946200; }
.banner { background: #fdecea; border-left: 4px solid #b2182b; padding: .5rem 1rem; margin: 1rem 0; }
pre { background: #f6f6f6; padding: .6rem; overflow-x: auto; font-size: 13px; }
svg { max-width: 100%; height: auto; }
"""


def page(verdict: Verdict) -> str:
    """Return the HTML page of a run."""
    scenario = verdict.scenario
    elements = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(scenario.name)}</title>",
        f"<style>{STYLE}</style>",
        f"<h1>Rehearsal: {escape(scenario.name)}</h1>",
        f"<p>{escape(scenario.about)}. Seed {scenario.seed}, {scenario.length_s:g} s of arrivals, "
        f"{scenario.load.rate:g} first attempts per second.</p>",
    ]
    if not verdict.complete:
        elements.append(f"<div class=banner>Cut off: {escape(verdict.why)}. Results up to then:</div>")
    for why in verdict.lateness.void:
        elements.append(f"<div class=banner>Void: {escape(why)}. The machine was too slow.</div>")
    elements += [
        f"<p>{escape(summary(verdict))}.</p>",
        "<h2>Rules</h2>",
        _rules(verdict),
        "<h2>Classes</h2>",
        _classes(verdict),
        "<h2>Over time</h2>",
        _plots(verdict),
        "<h2>Incidents</h2>",
        _incidents(verdict),
        _traffic(verdict),
        _fleet(verdict),
    ]
    return "\n".join(elements) + "\n</html>\n"


def _table(head: list[str], rows: list[list[str]], kind: str = "") -> str:
    """Return a table.

    :param head: the header cells as HTML, like those of the rows
    :param kind: the CSS class of the table
    """
    head_cells = "".join(f"<th>{cell}</th>" for cell in head)
    body = "".join("<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table class='{kind}'><tr>{head_cells}</tr>{body}</table>"


def _rules(verdict: Verdict) -> str:
    rows = []
    histories = []
    for name, finding in verdict.rules.items():
        result = result_text(finding)
        cell = f"<span class={RESULT_CLASSES[result]}>{result}</span>"
        rows.append([TITLES[name], cell, str(finding.checked), str(finding.violation_count)])
        for violation in finding.violations:
            tier = verdict.scenario.tiers[violation.tier].name
            history = "\n".join(violation.history)
            histories.append(
                f"<p class=fail>{TITLES[name]}: {escape(violation.request)} to {escape(tier)} "
                f"at {violation.t:.3f} s: {escape(violation.description)}</p><pre>{escape(history)}</pre>"
            )
    return _table(["rule", "verdict", "checked", "breaks"], rows) + "".join(histories)


def _classes(verdict: Verdict) -> str:
    return _table(CLASS_HEAD, [[escape(cell) for cell in row] for row in class_rows(verdict)])


def _traffic(verdict: Verdict) -> str:
    """Return tables that compare replayed with recorded traffic; empty for other runs."""
    figures = verdict.traffic
    if figures is None:
        return ""
    mix = [
        [escape(name), percent(share), percent(figures["mix"].get(name, 0.0))]
        for name, share in figures["recorded_mix"].items()
    ]
    gaps = [
        [q, f"{figures['recorded_gaps_ms'].get(q, 0.0):.2f}", f"{value:.2f}", f"{figures['lag_ms'][q]:.2f}"]
        for q, value in figures["gaps_ms"].items()
    ]
    left = "".join(f"<li>{count} left out: {escape(why)}</li>" for why, count in figures["skipped"].items())
    return (
        f"<h2>Recorded traffic</h2>{_table(['class', 'recorded', 'sent'], mix)}<p></p>"
        f"{_table(['gap between requests, ms', 'recorded', 'sent', 'sending lag'], gaps)}<ul>{left}</ul>"
    )


def _fleet(verdict: Verdict) -> str:
    """Plot how many nodes each node believed to be present, and how many were running."""
    figures = verdict.fleet
    views = verdict.views
    if figures is None or views is None:
        return ""
    members = count_members(views)
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": "rehearsal", "font.size": 9}):
        figure = Figure(figsize=(10, 3.2), layout="constrained")
        axis: Any = figure.subplots()
        for n, (node, counts) in enumerate(members.believed.items()):
            values = [float("nan") if count is None else count + 0.02 * n for count in counts]
            axis.step(members.times, values, where="post", linewidth=0.9, label=node)
        axis.step(
            members.times,
            members.running,
            where="post",
            color="#222",
            linewidth=2.0,
            alpha=0.35,
            label="running",
        )
        axis.set_ylim(0, len(members.believed) + 1)
        axis.set_ylabel("nodes believed present")
        axis.set_xlabel("seconds since the start of the load")
        axis.legend(loc="lower right", fontsize=7, ncols=5, framealpha=0.8)
        _shade_incidents(verdict, [axis])
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    rows = [
        [escape(name.replace("_", " ")), escape(str(value))]
        for name, value in figures.items()
        if name != "problems"
    ]
    problems = "".join(f"<p class=fail>{escape(one)}</p>" for one in figures["problems"])
    return f"<h2>Fleet</h2>{problems}{text[text.index('<svg') :]}{_table(['', ''], rows)}"


def _incidents(verdict: Verdict) -> str:
    trace = verdict.trace
    if not trace.incidents:
        return "<p>None.</p>"
    rows = [
        [
            escape(fact.do),
            f"{trace.elapsed(fact.t):.1f} s",
            f"{trace.elapsed(fact.until):.1f} s",
            escape(fact.whom),
        ]
        for fact in trace.incidents
    ]
    return _table(["what", "from", "to", "whom"], rows, "words")


def _plots(verdict: Verdict) -> str:
    """Plot latency, service, requests in flight and attempts by tier, below a timeline of the incidents."""
    run_series = series(verdict)
    rows = max(1, len(verdict.trace.incidents))
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": "rehearsal", "font.size": 9}):
        figure = Figure(figsize=(10, 10 + 0.2 * rows), layout="constrained")
        heights = [0.35 + 0.2 * rows, 2.4, 2.4, 2.4, 2.4]
        axes: Any = figure.subplots(5, 1, sharex=True, height_ratios=heights)
        timeline, latency, service, flight, attempts = axes
        _plot_clients(run_series, latency, service, flight)
        _plot_attempts(verdict, run_series, attempts)
        _draw_incidents(verdict, timeline, axes[1:])
        for axis in (latency, flight, attempts):
            axis.legend(loc="upper right", fontsize=8, framealpha=0.8)
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def _plot_clients(run_series: Series, latency: Any, service: Any, flight: Any) -> None:
    """Plot latency, service and requests in flight, each on its axis."""
    nan = float("nan")
    for q in QUANTILES:
        values = [nan if v is None else v for v in run_series.latency_ms[q]]
        latency.plot(run_series.times, values, label=f"p{100 * q:g}")
    latency.set_ylabel("response time, ms")
    latency.set_yscale("log")
    latency.yaxis.set_major_formatter("{x:g}")
    latency.yaxis.set_minor_formatter("{x:g}")
    values = [nan if v is None else 100.0 * v for v in run_series.service]
    service.step(run_series.times, values, where="post", color="#222")
    service.set_ylim(-3, 103)
    service.set_ylabel("service, %")
    flight.step(run_series.times, run_series.in_flight, where="post", label="in flight")
    flight.step(run_series.times, run_series.asked, where="post", label="first attempts per second")
    flight.set_ylabel("clients' requests")


def _plot_attempts(verdict: Verdict, run_series: Series, attempts: Any) -> None:
    """Plot the attempts that arrive at each tier, and those that it rejects."""
    for tier, sent, rejected in zip(
        verdict.scenario.tiers, run_series.attempts, run_series.rejected, strict=True
    ):
        (line,) = attempts.step(run_series.times, sent, where="post", label=tier.name)
        if any(rejected):
            label = f"{tier.name}, rejected"
            colour = line.get_color()
            attempts.step(run_series.times, rejected, where="post", linestyle=":", color=colour, label=label)
    attempts.set_ylabel("attempts per second")
    attempts.set_xlabel("seconds since the start of the load")


def _draw_incidents(verdict: Verdict, timeline: Any, axes: Any) -> None:
    """Draw each incident as a bar with its name, and shade it in the other plots."""
    trace = verdict.trace
    for n, fact in enumerate(trace.incidents):
        start = trace.elapsed(fact.t)
        end = max(trace.elapsed(fact.until), trace.elapsed(fact.t) + 0.1)
        colour = FAULT_COLOURS[n % len(FAULT_COLOURS)]
        timeline.barh(n, end - start, left=start, height=0.7, color=colour, alpha=0.6)
        timeline.text(start, n, f"{fact.do} ", fontsize=8, ha="right", va="center")
    timeline.set_ylim(len(trace.incidents) - 0.4, -0.6)
    timeline.set_yticks([])
    timeline.set_frame_on(False)
    timeline.set_ylabel("faults")
    _shade_incidents(verdict, axes)


def _shade_incidents(verdict: Verdict, axes: Any) -> None:
    """Draw each incident as a shaded span with a line at its start."""
    trace = verdict.trace
    for n, fact in enumerate(trace.incidents):
        start = trace.elapsed(fact.t)
        end = max(trace.elapsed(fact.until), trace.elapsed(fact.t) + 0.1)
        colour = FAULT_COLOURS[n % len(FAULT_COLOURS)]
        for axis in axes:
            axis.axvspan(start, end, color=colour, alpha=0.05, linewidth=0)
            axis.axvline(start, color=colour, linewidth=0.8)
    for axis in axes:
        axis.grid(alpha=0.25)
