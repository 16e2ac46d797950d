"""`--seeds N`: runs a scenario of the mesh once for each of N seeds; prints a line for each and a summary."""

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
"""Exit status after SIGINT or SIGTERM."""

PlayDay = Callable[[int], tuple[Verdict, CompletedRun]]
"""Runs a scenario with a seed, and judges the run."""

Report = Callable[[Verdict, CompletedRun], None]
"""Prints the complete report of a run that did not pass."""


def result_word(verdict: Verdict) -> str:
    """The result of a run in a word or two; broken rules take precedence over a void run."""
    if verdict.broken_rules:
        return "BROKEN " + " ".join(verdict.broken_rules) + (" (void)" if verdict.void else "")
    if not verdict.record.complete:
        return "cut off"
    if verdict.void:
        return "void"
    return "held" if verdict.passed else "nothing served"


@dataclass(frozen=True, slots=True)
class RunSummary:
    """The part of a verdict that is kept after its run; the record itself may be large."""

    seed: int
    result: str  # see `result_word`
    passed: bool
    broken_rules: list[str]
    service: float  # the service level, from 0 to 1
    checked: dict[str, int]  # number of checks by rule
    actions: list[str]  # names of the executed actions


def summarize(verdict: Verdict) -> RunSummary:
    """Extract the part of a verdict that is kept after its run."""
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
    """The line that is printed for a run."""
    record = verdict.record
    puts = verdict.trace.puts
    acknowledged = sum(put.acked is not None for put in puts)
    return (
        f"seed {run.seed}: {run.result}; service {percent(run.service)}, "
        f"{len(verdict.trace.requests)} attempts, "
        f"{acknowledged} of {len(puts)} versions acknowledged, "
        f"{run.checked['twice']} checks of rule twice, "
        f"stall {record.stall_s * 1000.0:.0f} ms, starved {record.starved:.2f}"
        f"{_control_calls(verdict.trace)}; {', '.join(run.actions)}"
    )


def _control_calls(trace: MeshTrace) -> str:
    """The answers of isolated controllers, and the number of resent changes; empty if there were neither."""
    found = control_call_statistics(trace)
    text = ""
    if found["alone"]:
        answers = ", ".join(f"{count} {name}" for name, count in found["alone_answers"].items())
        text += f"; isolated: {answers}, {found['alone_slowest_ms']:.0f} ms at most"
    if found["sent_again"]:
        others = found["sent_again_after_most"]
        text += f"; {found['sent_again']} changes resent, after up to {others} others"
    return text


def summary_lines(runs: list[RunSummary]) -> list[str]:
    """The lines of the summary over all runs."""
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
        f"service {percent(service[0])} to {percent(service[-1])}, median {median}",
        "checked: " + ", ".join(f"{name} {count}" for name, count in checked.items()),
        "actions: " + ", ".join(f"{name} {count}" for name, count in actions.most_common()),
        "rules broken: " + (", ".join(f"{name} in {n}" for name, n in rules.items()) or "none"),
    ]


def run(console: Console, seeds: range, play: PlayDay, report: Report) -> tuple[list[dict[str, Any]], int]:
    """Run a scenario once for each seed.

    :param play: runs the scenario with a seed
    :param report: prints the report of a run that did not pass
    :returns: the objects for `--json`, one for each run, and the exit status
    """
    runs: list[RunSummary] = []
    objects: list[dict[str, Any]] = []
    interrupted = False
    for seed in seeds:
        gc.unfreeze()  # each run freezes the existing objects; those of the previous run must be collected
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
