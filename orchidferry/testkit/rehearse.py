"""The command `orchidferry rehearse`: runs a scenario and reports the verdict."""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import json
import math
import os
import secrets
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop
from rich.console import Console

from orchidferry.testkit.judge.fleet import judge_fleet
from orchidferry.testkit.judge.verdict import Verdict, judge
from orchidferry.testkit.judge.verdict_json import as_json
from orchidferry.testkit.mesh.command import main as rehearse_mesh
from orchidferry.testkit.mesh.day import DAYS
from orchidferry.testkit.record import Lag, RequestScheduled
from orchidferry.testkit.report import terminal
from orchidferry.testkit.scenario import (
    FAULT_TYPES,
    MAX_SECONDS,
    FleetSettings,
    Scenario,
    ScenarioError,
    Tier,
    Traffic,
    load_scenario,
    override,
    read_traffic,
    shipped,
)
from orchidferry.testkit.usage import UsageError, kept_folder
from orchidferry.testkit.world.addresses import NoFreeAddressesError
from orchidferry.testkit.world.director import Progress, Run, rehearse
from orchidferry.testkit.world.plan import draw

if TYPE_CHECKING:
    from orchidferry.testkit.traffic.replay import Preview

MIN_SECONDS = 1.0
PLAIN_WIDTH = 120  # characters per line, if the output is not a terminal
MAX_LOSS = 0.5  # fraction of datagrams
MAX_PRINTED_NOTES = 5  # log lines of nodes


def main(args: argparse.Namespace, command: str = "rehearse") -> int:
    """Run the command.

    :param args: the parsed command line
    :param command: the command's name in error lines
    :returns: the exit status
    """
    if args.scenario in DAYS and not args.list:
        return rehearse_mesh(args)
    try:
        if args.list:
            return _print_scenarios()
        if getattr(args, "seeds", None) is not None:
            raise UsageError("--seeds: only scenarios of the mesh take it")
        scenario, preview = _read_scenario(args)
        keep = None if args.keep is None else kept_folder(Path(args.keep))
        for path in (args.json, args.report):
            if path is not None:
                _check_writable(Path(path))
    except (ScenarioError, UsageError) as problem:
        print(f"orchidferry {command}: {problem}", file=sys.stderr)
        return 2
    console = Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)
    try:
        run = uvloop.run(_run_scenario(console, scenario, keep))
    except NoFreeAddressesError as problem:
        print(f"orchidferry {command}: {problem}", file=sys.stderr)
        return 2
    if run.start:
        console.print(
            f"{run.processes} processes, {run.nodes_cpu_s:.1f} CPU seconds of nodes", highlight=False
        )
    verdict = _judge_run(scenario, run, preview)
    terminal.show(console, verdict)
    for line in run.notes[:MAX_PRINTED_NOTES]:
        console.print(f"a node logged: {line}", markup=False, highlight=False)
    _write_reports(args, verdict)
    if run.interrupted:
        return 130
    return 0 if verdict.passed else 1


def _judge_run(scenario: Scenario, run: Run, preview: Preview | None) -> Verdict:
    """Judge a run, including its control service, fleet and replayed traffic, if any."""
    verdict = judge(scenario, run.facts, run.start, run.end, run.complete, run.why)
    verdict.control = run.control
    if scenario.fleet.on and run.start:
        verdict.fleet, verdict.views = judge_fleet(
            verdict.trace, run.facts, run.journals, run.zero, run.plan.links
        )
    if preview is not None:
        verdict.traffic = _replay_result(preview, run)
    return verdict


def _print_scenarios() -> int:
    for name in shipped():
        print(f"{name:22} {load_scenario(name).about}")
    for day in DAYS.values():
        print(f"{day.name:22} {day.about}")
    return 0


def _replay_result(preview: Preview, run: Run) -> dict[str, Any]:
    """Compare the requests that clients sent, from the run's record, with the preview of the replay."""
    from orchidferry.testkit.traffic.replay import measure

    sent = Counter(fact.cls for fact in run.facts if isinstance(fact, RequestScheduled))
    lags = [fact for fact in run.facts if isinstance(fact, Lag) and fact.kind == "late"]
    unsent = sum(preview.sent.values()) - sum(sent.values())
    return measure(preview, sent, [lag.amount for lag in lags], [lag.t for lag in lags], unsent)


def _recordings(args: argparse.Namespace) -> tuple[Traffic, ...]:
    """Return the recordings that the command line names; they are replayed together."""
    table = {
        name: value
        for name in ("speed", "from", "to", "loop", "scale", "retries")
        if (value := getattr(args, name.replace("from", "from_"))) is not None and value is not False
    }
    if table and not args.recording:
        raise UsageError(f"--{next(iter(table))}: needs a --recording")
    return tuple(read_traffic(table | {"recording": name}, "--") for name in args.recording)


def _read_scenario(args: argparse.Namespace) -> tuple[Scenario, Preview | None]:
    """Return the scenario with the overrides of the command line, and the preview of a replay.

    :raises ScenarioError: if the scenario is invalid
    :raises UsageError: if the command line is invalid
    """
    if args.scenario is None:
        raise UsageError("no scenario is given: --list shows those that are shipped")
    scenario = load_scenario(args.scenario)
    if recordings := _recordings(args):
        scenario = replace(scenario, traffic=recordings)
    _check_numbers(args)
    scenario = override(scenario, args.seed, args.seconds, args.protocol, args.loss)
    if getattr(args, "no_fleet", False):
        steps = tuple(step for step in scenario.timeline if FAULT_TYPES[step.do].on != "links")
        scenario = replace(scenario, fleet=FleetSettings(), timeline=steps)
    preview: Preview | None = None
    if scenario.traffic or scenario.name == "replay":
        scenario, preview = _resolve_recordings(scenario, args)
    _check_extras(args, scenario)
    if scenario.network.protocol == "h1" and scenario.network.loss:
        raise UsageError("--loss: only datagrams can be dropped, and h1 uses none")
    try:
        draw(scenario)
    except ValueError as problem:
        raise UsageError(f"{args.scenario}: {problem}") from None
    return scenario, preview


def _check_numbers(args: argparse.Namespace) -> None:
    """Raise `UsageError` if a number of the command line is out of range."""
    if args.seed is not None and not 0 <= args.seed < 2**63:
        raise UsageError(f"--seed {args.seed}: not within 0 to 2^63 - 1")
    if args.seconds is not None and not (
        math.isfinite(args.seconds) and MIN_SECONDS <= args.seconds <= MAX_SECONDS
    ):
        raise UsageError(f"--seconds {args.seconds:g}: not within {MIN_SECONDS:g} to {MAX_SECONDS:g}")
    if args.loss is not None and not 0.0 <= args.loss <= MAX_LOSS:
        raise UsageError(f"--loss {args.loss:g}: not within 0 to 0.5")


def _check_extras(args: argparse.Namespace, scenario: Scenario) -> None:
    """Raise `UsageError` if a library that the scenario needs is not installed."""
    if scenario.network.protocol == "h3" and importlib.util.find_spec("aioquic") is None:
        raise UsageError("--protocol h3: aioquic is not installed; it is in the extra h3")
    if scenario.fleet.on and importlib.util.find_spec("msgpack") is None:
        raise UsageError(f"{args.scenario}: msgpack is not installed; it is in the extra fleet")
    if scenario.control.service and importlib.util.find_spec("grpc") is None:
        raise UsageError(f"{args.scenario}: grpcio is not installed; it is in the extra control")


def _resolve_recordings(scenario: Scenario, args: argparse.Namespace) -> tuple[Scenario, Preview]:
    """Resolve a scenario's recordings, and the target of requests if it is not the kit's stand-in servers."""
    from orchidferry.testkit.traffic.classes import ClassesFileError, read_classes
    from orchidferry.testkit.traffic.guard import TargetError, read_guard
    from orchidferry.testkit.traffic.recording import RecordingError
    from orchidferry.testkit.traffic.replay import paths_of, resolve

    try:
        guard = read_guard(getattr(args, "target", None), getattr(args, "send", ()))
        if guard.target is not None:
            if scenario.timeline or scenario.control.service:
                raise UsageError(
                    f"{args.scenario}: has a timeline or a control service, which --target does not allow"
                )
            if scenario.network.protocol != "h1":
                raise UsageError("--target: supports HTTP/1.1 only")
            target_tier = Tier("target", 1, 1.0)
            scenario = replace(scenario, guard=guard, tiers=(target_tier,), run=secrets.token_hex(4))
        if getattr(args, "classes", None) is not None:
            try:
                paths = paths_of(read_classes(Path(args.classes).read_bytes()))
            except ClassesFileError as problem:
                raise UsageError(f"{args.classes}: {problem}") from None
            scenario = replace(scenario, paths=paths)
        return resolve(scenario)
    except (TargetError, RecordingError) as problem:
        raise UsageError(str(problem)) from None
    except OSError as problem:
        raise UsageError(f"{problem.filename}: {problem.strerror}") from None


def _check_writable(path: Path) -> None:
    """Raise `UsageError` before the run if a report could not be written after it."""
    if path.is_dir() or not os.access(path if path.exists() else path.parent, os.W_OK):
        raise UsageError(f"{path}: can't be written")


async def _run_scenario(console: Console, scenario: Scenario, keep: Path | None) -> Run:
    progress = Progress()
    watcher = asyncio.get_running_loop().create_task(terminal.watch(console, scenario, progress))
    try:
        return await rehearse(scenario, progress, keep)
    finally:
        watcher.cancel()
        await asyncio.gather(watcher, return_exceptions=True)


def _write_reports(args: argparse.Namespace, verdict: Verdict) -> None:
    if args.json is not None:
        _replace_file(Path(args.json), json.dumps(as_json(verdict), indent=1) + "\n")
    if args.report is not None:
        from orchidferry.testkit.report.page import page

        _replace_file(Path(args.report), page(verdict))


def _replace_file(path: Path, text: str) -> None:
    """Write a file atomically."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)
