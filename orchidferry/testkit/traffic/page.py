"""Renders the statistics of a recording as an HTML page: rates, retries, failures, popularity, gaps."""

from __future__ import annotations

import io
from html import escape
from typing import Any

import matplotlib
import numpy as np
from matplotlib.figure import Figure

from orchidferry.testkit.report.page import STYLE
from orchidferry.testkit.traffic.totals import GAP_EDGES, US_PER_MS, Totals

MAX_POINTS = 600  # points of a line over time; more would not be visible
RANK_POINTS = 300  # points of a line over ranks
VISIBLE_FRACTION = 0.0005  # this fraction of the shortest and of the longest gaps is outside the plot


def _binned(values: Any) -> tuple[Any, Any]:
    """Average values by second over at most `MAX_POINTS` steps.

    :param values: one value for each second.
    :returns: start of each step in seconds, and the mean value in each step.
    """
    step = max(1, -(-len(values) // MAX_POINTS))
    steps = np.pad(values, (0, -len(values) % step)).reshape(-1, step)
    return np.arange(len(steps)) * step, steps.mean(axis=1)


def _plot_rates(axis: Any, totals: Totals) -> None:
    for number, name in enumerate(totals.names):
        if totals.per_second[number].any():
            axis.plot(*_binned(totals.per_second[number]), label=name, linewidth=1)
    axis.set_ylabel("requests per second")


def _plot_failures(axis: Any, totals: Totals) -> None:
    for values, name in ((totals.failed_per_second, "failed"), (totals.retries_per_second, "retries")):
        axis.plot(*_binned(values), label=name, linewidth=1)
    axis.set_ylabel("per second")
    axis.set_xlabel("seconds since the first request")


def _plot_ranks(axis: Any, totals: Totals) -> None:
    for counter, name in ((totals.objects, "objects"), (totals.clients, "clients")):
        ranked = counter.ranked()
        # Ranks are sampled evenly on the logarithmic axis: a plot of a million points would look the same.
        last = np.log10(max(1, len(ranked)))
        ranks = np.unique(np.logspace(0, last, RANK_POINTS).astype(np.int64)) - 1
        axis.plot(ranks + 1, ranked[ranks] if len(ranked) else ranks * 0, label=name)
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("rank")
    axis.set_ylabel("requests")


def _plot_gaps(axis: Any, totals: Totals) -> None:
    total = totals.gaps.sum()
    if not total:
        return
    shorter = np.cumsum(totals.gaps)[:-1] / total
    axis.plot(GAP_EDGES / US_PER_MS, 100.0 * shorter, color="#222")
    visible = np.flatnonzero((shorter > VISIBLE_FRACTION) & (shorter < 1.0 - VISIBLE_FRACTION))
    if len(visible) > 1:
        axis.set_xlim(GAP_EDGES[visible[0]] / US_PER_MS, GAP_EDGES[visible[-1]] / US_PER_MS)
    axis.set_xscale("log")
    axis.set_xlabel("gap between two requests, ms")
    axis.set_ylabel("shorter gaps, %")


def _plots(totals: Totals) -> str:
    """:returns: all plots as one SVG element."""
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": "traffic", "font.size": 9}):
        drawing = Figure(figsize=(10, 10), layout="constrained")
        axes: Any = drawing.subplot_mosaic([["rate", "rate"], ["wrong", "wrong"], ["rank", "gaps"]])
        _plot_rates(axes["rate"], totals)
        _plot_failures(axes["wrong"], totals)
        _plot_ranks(axes["rank"], totals)
        _plot_gaps(axes["gaps"], totals)
        for name, axis in axes.items():
            axis.grid(alpha=0.25)
            if name != "gaps":
                axis.legend(loc="best", fontsize=8, framealpha=0.8)
        out = io.StringIO()
        drawing.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def render_page(name: str, totals: Totals, summary: dict[str, Any]) -> str:
    """Render a self-contained page about a recording.

    :param name: of the recording, for the title.
    :param totals: of the recording, for the plots.
    :param summary: of the same totals, for the text.
    :returns: the page as HTML.
    """
    rows = "".join(
        f"<tr><td>{escape(row['name'])}</td><td>{summary['mix'].get(row['name'], 0.0):.2%}</td>"
        f"<td>{escape(row['repeat'])}</td></tr>"
        for row in totals.header.classes
    )
    notes = "".join(f"<li>{escape(note)}</li>" for note in summary["notes"]) or "<li>None.</li>"
    overview = (
        f"{summary['requests']} requests over {summary['seconds']:.0f} s from a {escape(summary['began'])}, "
        f"{summary['rate']['mean']:.1f} per second, {summary['rate']['most']} in the busiest second; "
        f"{summary['clients']} clients, {summary['objects']} objects, {summary['failed']} failed, "
        f"{summary['retries']} retries."
    )
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(name)}</title>",
        f"<style>{STYLE}</style><h1>Recording: {escape(name)}</h1><p>{overview}</p>",
        f"<h2>Classes</h2><table><tr><th>class</th><th>share</th><th>repeat</th></tr>{rows}</table>",
        f"<h2>Over time, popularity, gaps</h2>{_plots(totals)}",
        f"<h2>Notes of the import: gaps, clocks, damaged input</h2><ul>{notes}</ul></html>",
    ]
    return "\n".join(parts) + "\n"
