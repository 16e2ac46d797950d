"""`--seeds N`: a day of the mesh under one seed after another, a line each, and a summary of them."""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rich.console import Console

from orchidferry.testkit.judge.mesh.control_call_rules import control_call_statistics
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.judge.mesh.verdict import Verdict
from orchidferry.testkit.judge.mesh.verdict_json import as_json
from orchidferry.testkit.mesh.session import CompletedRun
from orchidferry.testkit.report.tables import percent

MAX_SEEDS = 1_000
INTERRUPTED = 130
PlayDay = Callable[[int], tuple[Verdict, CompletedRun]]
"""Plays and judges a day under a seed."""

Report = Callable[[Verdict, CompletedRun], None]
"""Shows the whole report of a run that did not pass."""


def result_word(verdict: Verdict) -> str:
    """How a run ended, in a word or two; a broken rule says more than that the run is void."""
    if verdict.broken_rules:
        return "BROKEN " + " ".join(verdict.broken_rules) + (" (void)" if verdict.void else "")
    if not verdict.record.complete:
        return "cut off"
    if verdict.void:
        return "void"
    return "held" if verdict.passed else "nothing served"


@dataclass(frozen=True, slots=True)
class RunSummary:
    """What is kept of a run, whose record may be large."""

    seed: int
    result: str
    passed: bool
    broken_rules: list[str]
    service: float
    checked: dict[str, int]  # by rule
    actions: list[str]


def summarize(verdict: Verdict) -> RunSummary:
    """What is kept of a run."""
    return RunSummary(
        verdict.record.seed,
        result_word(verdict),
        verdict.passed,
        verdict.broken_rules,
        verdict.service or 0.0,
        {name: finding.checked for name, finding in verdict.rules.items()},
        [event.do for event in verdict.trace.events],
    )


def run_line(run: RunSummary, verdict: Verdict) -> str:
    """A run in one line."""
    record = verdict.record
    puts = verdict.trace.puts
    acknowledged = sum(put.acked is not None for put in puts)
    return (
        f"seed {run.seed}: {run.result}; service {percent(run.service)}, "
        f"{len(verdict.trace.requests)} tries, "
        f"{acknowledged} of {len(puts)} versions acknowledged, "
        f"{run.checked['twice']} runs of what may run once, "
        f"stall {record.stall_s * 1000.0:.0f} ms, starved {record.starved:.2f}"
        f"{_control_calls(verdict.trace)}; {', '.join(run.actions)}"
    )


def _control_calls(trace: MeshTrace) -> str:
    """Calls at isolated controllers by their answers, and changes sent again; empty if there were none."""
    found = control_call_statistics(trace)
    text = ""
    if found["alone"]:
        answers = ", ".join(f"{count} {name}" for name, count in found["alone_answers"].items())
        text += f"; isolated: {answers}, {found['alone_slowest_ms']:.0f} ms at most"
    if found["sent_again"]:
        others = found["sent_again_after_most"]
        text += f"; {found['sent_again']} orders sent again, after up to {others} others"
    return text


def summary_lines(runs: list[RunSummary]) -> list[str]:
    """What all runs come to, a line each."""
    results = Counter(run.result.split()[0] for run in runs)
    rules = Counter(name for run in runs for name in run.broken_rules)
    service = sorted(run.service for run in runs)
    actions = Counter(action for run in runs for action in run.actions)
    checked = Counter[str]()
    for run in runs:
        checked.update(run.checked)
    median = percent(service[len(service) // 2])
    return [
        f"{len(runs)} seeds: " + ", ".join(f"{count} {name}" for name, count in sorted(results.items())),
        f"service {percent(service[0])} to {percent(service[-1])}, {median} in the middle",
        "checked: " + ", ".join(f"{name} {count}" for name, count in checked.items()),
        "played: " + ", ".join(f"{name} {count}" for name, count in actions.most_common()),
        "rules broken: " + (", ".join(f"{name} in {n}" for name, n in rules.items()) or "none"),
    ]


def run(console: Console, seeds: range, play: PlayDay, report: Report) -> tuple[list[dict[str, Any]], int]:
    """Play a day under each seed.

    :returns: the JSON objects of the runs, and the exit status
    """
    runs: list[RunSummary] = []
    objects: list[dict[str, Any]] = []
    interrupted = False
    for seed in seeds:
        gc.unfreeze()  # each run freezes what it finds: the one before must not stay
        gc.collect()
        verdict, completed = play(seed)
        summary = summarize(verdict)
        runs.append(summary)
        objects.append(as_json(verdict))
        console.print(run_line(summary, verdict), highlight=False, markup=False)
        if verdict.broken_rules or not verdict.record.complete:
            report(verdict, completed)
        if completed.interrupted:
            interrupted = True
            break
    for line in summary_lines(runs):
        console.print(line, highlight=False, markup=False)
    if interrupted:
        return objects, INTERRUPTED
    return objects, int(any(not one.passed for one in runs))
