"""A recording as one HTML page: rate by class, retries and failures, popularity, gaps, clients."""

from __future__ import annotations

import io
from html import escape
from typing import TYPE_CHECKING, Any

import matplotlib
import numpy as np
from matplotlib.figure import Figure

from orchidferry.testkit.report.page import STYLE

if TYPE_CHECKING:
    from orchidferry.testkit.traffic.command import Totals

POINTS = 600  # of a line over time: more are not seen


def _binned(values: Any, seconds: int) -> tuple[Any, Any]:
    """Values by second as a rate in at most `POINTS` steps: times and rates."""
    step = max(1, -(-seconds // POINTS))
    whole = np.pad(values, (0, -len(values) % step)).reshape(-1, step)
    return np.arange(len(whole)) * step, whole.mean(axis=1)


def _gaps(axis: Any, found: Totals, edges: Any) -> None:
    total = found.gaps.sum()
    if not total:
        return
    share = np.cumsum(found.gaps)[:-1] / total
    axis.plot(edges / 1e3, 100.0 * share, color="#222")
    inside = np.flatnonzero((share > 0.0005) & (share < 0.9995))
    if len(inside) > 1:
        axis.set_xlim(edges[inside[0]] / 1e3, edges[inside[-1]] / 1e3)
    axis.set_xscale("log")
    axis.set_xlabel("between two requests, ms")
    axis.set_ylabel("shorter than that, %")


def _plots(found: Totals, edges: Any) -> str:
    seconds = found.per_second.shape[1]
    with matplotlib.rc_context({"svg.fonttype": "none", "svg.hashsalt": "traffic", "font.size": 9}):
        drawing = Figure(figsize=(10, 10), layout="constrained")
        axes: Any = drawing.subplot_mosaic([["rate", "rate"], ["wrong", "wrong"], ["rank", "gaps"]])
        for number, name in enumerate(found.names):
            if found.per_second[number].any():
                axes["rate"].plot(*_binned(found.per_second[number], seconds), label=name, linewidth=1)
        axes["rate"].set_ylabel("requests a second")
        for values, name in ((found.failed_per_second, "failed"), (found.retries_per_second, "retries")):
            axes["wrong"].plot(*_binned(values, seconds), label=name, linewidth=1)
        axes["wrong"].set_ylabel("a second")
        axes["wrong"].set_xlabel("seconds since the first request")
        for counts, name in ((found.objects, "objects"), (found.clients, "clients")):
            ranked = counts.ranked()
            # Ranks at even steps of their logarithm: a million of them look the same.
            at = np.unique(np.logspace(0, np.log10(max(1, len(ranked))), 300).astype(np.int64)) - 1
            axes["rank"].plot(at + 1, ranked[at] if len(ranked) else at * 0, label=name)
        axes["rank"].set_xscale("log")
        axes["rank"].set_yscale("log")
        axes["rank"].set_xlabel("rank")
        axes["rank"].set_ylabel("requests")
        _gaps(axes["gaps"], found, edges)
        for name, axis in axes.items():
            axis.grid(alpha=0.25)
            if name != "gaps":
                axis.legend(loc="best", fontsize=8, framealpha=0.8)
        out = io.StringIO()
        drawing.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def page(name: str, found: Totals, figures: dict[str, Any], edges: Any) -> str:
    """The whole page; it needs nothing else."""
    rows = "".join(
        f"<tr><td>{escape(row['name'])}</td><td>{figures['mix'].get(row['name'], 0.0):.2%}</td>"
        f"<td>{escape(row['repeat'])}</td></tr>"
        for row in found.header.classes
    )
    notes = "".join(f"<li>{escape(note)}</li>" for note in figures["notes"]) or "<li>None.</li>"
    told = (
        f"{figures['requests']} requests over {figures['seconds']:.0f} s from a {escape(figures['began'])}, "
        f"{figures['rate']['mean']:.1f} a second, {figures['rate']['most']} in the busiest; "
        f"{figures['clients']} clients, {figures['objects']} objects, {figures['failed']} failed, "
        f"{figures['retries']} retries."
    )
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(name)}</title>",
        f"<style>{STYLE}</style><h1>Recording: {escape(name)}</h1><p>{told}</p>",
        f"<h2>Mix</h2><table><tr><th>class</th><th>share</th><th>repeat</th></tr>{rows}</table>",
        f"<h2>Over time, popularity, gaps</h2>{_plots(found, edges)}",
        f"<h2>Gaps, clocks and what was left out</h2><ul>{notes}</ul></html>",
    ]
    return "\n".join(parts) + "\n"
