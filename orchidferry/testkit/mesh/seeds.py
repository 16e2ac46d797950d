"""`--seeds N`: a day of the mesh under one seed after another, a line each, and what they come to."""

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
from orchidferry.testkit.mesh.session import Played
from orchidferry.testkit.report.tables import percent

MOST = 1_000
Tell = Callable[[Verdict, Played], None]  # the whole report of a run that did not pass


def word(verdict: Verdict) -> str:
    """How a run ended, in one word or two: a broken rule tells more than a run that is void."""
    if verdict.broken_rules:
        return "BROKEN " + " ".join(verdict.broken_rules) + (" (void)" if verdict.void else "")
    if not verdict.record.complete:
        return "cut off"
    if verdict.void:
        return "void"
    return "held" if verdict.passed else "nothing served"


@dataclass(frozen=True, slots=True)
class Ended:
    """What is kept of a run: its record may be large."""

    seed: int
    word: str
    passed: bool
    broken: list[str]
    service: float
    checked: dict[str, int]
    actions: list[str]


def ended(verdict: Verdict) -> Ended:
    checked = {name: finding.checked for name, finding in verdict.rules.items()}
    actions = [event.do for event in verdict.trace.events]
    return Ended(
        verdict.record.seed,
        word(verdict),
        verdict.passed,
        verdict.broken_rules,
        verdict.service or 0.0,
        checked,
        actions,
    )


def line(one: Ended, verdict: Verdict) -> str:
    """A run in one line."""
    record = verdict.record
    puts = verdict.trace.puts
    acked = sum(put.acked is not None for put in puts)
    return (
        f"seed {one.seed}: {one.word}; service {percent(one.service)}, {len(verdict.trace.requests)} tries, "
        f"{acked} of {len(puts)} versions acknowledged, {one.checked['twice']} runs of what may run once, "
        f"stall {record.stall_s * 1000.0:.0f} ms, starved {record.starved:.2f}{_control(verdict.trace)}; "
        f"{', '.join(one.actions)}"
    )


def _control(trace: MeshTrace) -> str:
    """Calls at isolated controllers by their answers, and orders sent again; empty: there were none."""
    found = control_call_statistics(trace)
    told = ""
    if found["alone"]:
        answers = ", ".join(f"{count} {name}" for name, count in found["alone_answers"].items())
        told += f"; isolated: {answers}, {found['alone_slowest_ms']:.0f} ms at most"
    if found["sent_again"]:
        told += (
            f"; {found['sent_again']} orders sent again, after up to {found['sent_again_after_most']} others"
        )
    return told


def summary(runs: list[Ended]) -> list[str]:
    """What all of them come to."""
    words = Counter(one.word.split()[0] for one in runs)
    rules = Counter(name for one in runs for name in one.broken)
    service = sorted(one.service for one in runs)
    actions = Counter(action for one in runs for action in one.actions)
    checked = Counter[str]()
    for one in runs:
        checked.update(one.checked)
    middle = percent(service[len(service) // 2])
    return [
        f"{len(runs)} seeds: " + ", ".join(f"{count} {name}" for name, count in sorted(words.items())),
        f"service {percent(service[0])} to {percent(service[-1])}, {middle} in the middle",
        "checked: " + ", ".join(f"{name} {count}" for name, count in checked.items()),
        "played: " + ", ".join(f"{name} {count}" for name, count in actions.most_common()),
        "rules broken: " + (", ".join(f"{name} in {n}" for name, n in rules.items()) or "none"),
    ]


def run(
    console: Console, seeds: range, play: Callable[[int], tuple[Verdict, Played]], tell: Tell
) -> tuple[list[dict[str, Any]], int]:
    """Play all of them; the agreed objects and the exit status."""
    runs: list[Ended] = []
    objects: list[dict[str, Any]] = []
    status = 0
    for seed in seeds:
        gc.unfreeze()  # each run freezes what it finds: the one before must not stay
        gc.collect()
        verdict, played = play(seed)
        one = ended(verdict)
        runs.append(one)
        objects.append(as_json(verdict))
        console.print(line(one, verdict), highlight=False, markup=False)
        if verdict.broken_rules or not verdict.record.complete:
            tell(verdict, played)
        if played.interrupted:
            status = 130
            break
    for text in summary(runs):
        console.print(text, highlight=False, markup=False)
    return objects, status or int(any(not one.passed for one in runs))
