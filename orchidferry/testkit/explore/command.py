"""The command `orchidferry explore`: runs the explorations and reports their results."""

from __future__ import annotations

import argparse
import json
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import Progress, TextColumn

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.explore import counterexample, random_walk, search
from orchidferry.testkit.explore.breaks import BREAKS
from orchidferry.testkit.explore.properties import PROPERTIES
from orchidferry.testkit.explore.search_totals import Totals
from orchidferry.testkit.explore.world_search import SearchResult
from orchidferry.testkit.explore.world_size import WorldSize


class _UsageError(OrchidferryError):
    """A wrong use of the command; the message is one line."""


def main(args: argparse.Namespace) -> int:
    """Run the command and return its exit status."""
    if args.of.startswith("mesh-") or args.of == "worst-days":
        return _explore_mesh(args)
    if args.of != "node":
        return _explore_modules(args)
    if args.list_breaks:
        for name, (about, _) in BREAKS.items():
            print(f"{name:26} {about}")
        return 0
    console = Console(highlight=False)
    try:
        if args.break_ and args.break_ not in BREAKS:
            raise _UsageError(f"--break {args.break_}: no such break; --list-breaks lists them")
        if args.replay is not None:
            return _replay(console, Path(args.replay))
        kinds = tuple((args.kinds or "pay,save,read").split(","))
        size = WorldSize(args.clients, args.servers, args.events, kinds, args.attempts, args.cold)
        if unknown := [kind for kind in size.kinds if kind not in ("pay", "read", "save")]:
            raise _UsageError(f"--kinds: {unknown[0]!r} is none of pay, read, save")
        if args.seconds <= 0 or (args.walk is not None and args.walk <= 0):
            raise _UsageError("--seconds and --walk must be above 0")
        found = _explore_node(console, size, args)
    except (_UsageError, ValueError) as problem:
        print(f"orchidferry explore: {problem}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130
    return _report_node(console, size, found, args)


def _explore_modules(args: argparse.Namespace) -> int:
    """Explore a world of modules without I/O: a fleet or slots."""
    from orchidferry.testkit.explore import fleet, slots

    breaks = {
        name: about for name, (about, *_) in (fleet.BREAKS if args.of == "fleet" else slots.BREAKS).items()
    }
    if args.list_breaks:
        for name, about in breaks.items():
            print(f"{name:26} {about}")
        return 0
    if args.break_ and args.break_ not in breaks:
        print(f"orchidferry explore: --break {args.break_}: none of {', '.join(breaks)}", file=sys.stderr)
        return 2
    sizes = 2 <= args.nodes <= 5 and 0 <= args.faults <= 4 and 1 <= args.askers <= 3 and 1 <= args.bound <= 2
    if not sizes or args.seconds <= 0:
        print(
            "orchidferry explore: 2 to 5 --nodes, 0 to 4 --faults, 1 to 3 --askers, 1 or 2 --bound, "
            "--seconds above 0",
            file=sys.stderr,
        )
        return 2
    console = Console(highlight=False)
    with Progress(TextColumn("{task.description}"), console=console, transient=True) as progress:
        task = progress.add_task("exploring", total=None)

        def watch(found: SearchResult) -> None:
            progress.update(task, description=f"{found.states} states, {found.runs} complete runs")

        if args.of == "fleet":
            found = fleet.search(
                args.nodes, args.faults, args.break_, args.seconds, watch=watch, workers=args.workers
            )
        else:
            found = slots.search(
                args.askers,
                args.faults,
                args.bound,
                args.break_,
                args.seconds,
                watch=watch,
                workers=args.workers,
            )
    about = f", {found.succeeded} of them with every slot granted and returned" if args.of == "slots" else ""
    return _report_search(console, args, found, about)


def _report_search(console: Console, args: argparse.Namespace, found: SearchResult, about: str) -> int:
    """Report the result of a search and return the exit status."""
    if args.json is not None:
        obj = {
            "format": 1,
            "of": args.of,
            "faults": args.faults,
            "states": found.states,
            "runs": found.runs,
            "exhausted": found.exhausted,
            "violations": dict(found.violations),
            "story": found.story,
            "seconds": round(found.seconds, 1),
        }
        Path(args.json).write_text(json.dumps(obj, indent=1) + "\n", encoding="utf-8")
    summary = f"{found.states} states, {found.runs} complete runs{about}"
    console.print(f"{summary}, in {found.seconds:.1f} s")
    for line in found.story:
        console.print(f"  {line}", markup=False)
    if found.violations:
        return 1
    verdict = f"exhausted: every interleaving of up to {args.faults} faults; all properties hold"
    console.print(verdict if found.exhausted else "not exhausted: the time limit was reached")
    return 0


def _explore_mesh(args: argparse.Namespace) -> int:
    """Explore the controllers of one shard, scene by scene."""
    from orchidferry.testkit.explore import mesh, worst_days

    source: Any = worst_days if args.of == "worst-days" else mesh
    scenes = {name: scene for name, scene in source.SCENES.items() if scene.command == args.of}
    breaks = {name: one for name, one in source.BREAKS.items() if one.scene in scenes}
    if args.list_scenes or args.list_breaks:
        for name, one in (scenes if args.list_scenes else breaks).items():
            print(f"{name:26} {one.description}")
        return 0
    broken = breaks.get(args.break_)
    kinds = tuple(args.kinds.split(",")) if args.kinds else broken.kinds if broken else mesh.KINDS
    wanted = args.scene.split(",") if args.scene else [broken.scene] if broken else list(scenes)
    problem = ""
    if args.break_ and broken is None:
        problem = f"--break {args.break_}: none of {', '.join(breaks)}"
    elif unknown := [kind for kind in kinds if kind not in mesh.KINDS]:
        problem = f"--kinds: {unknown[0]!r} is none of {', '.join(mesh.KINDS)}"
    elif unknown := [name for name in wanted if name not in scenes]:
        problem = f"--scene: {unknown[0]!r} is none of {', '.join(scenes)}"
    elif not 0 <= args.faults <= 4 or args.seconds <= 0:
        problem = "0 to 4 --faults, --seconds above 0"
    if problem:
        print(f"orchidferry explore: {problem}", file=sys.stderr)
        return 2
    console, total = Console(highlight=False), SearchResult(exhausted=True)
    with Progress(TextColumn("{task.description}"), console=console, transient=True) as progress:
        task = progress.add_task("exploring", total=None)
        for name in wanted:

            def watch(found: SearchResult, name: str = name) -> None:
                progress_text = f"{name}: {found.states} states, {found.runs} complete runs"
                progress.update(task, description=progress_text)

            left_s = args.seconds - total.seconds
            found = source.search(name, args.faults, kinds, args.break_, left_s, watch, args.workers)
            console.print(
                f"{name:12} {found.states} states, {found.runs} runs, {found.succeeded} of them succeeded, "
                f"in {found.seconds:.1f} s{'' if found.exhausted or found.story else ', not exhausted'}"
            )
            total.add(found)
            if found.violations:
                break
    return _report_search(console, args, total, f", {total.succeeded} of them succeeded")


def _explore_node(console: Console, size: WorldSize, args: argparse.Namespace) -> Totals:
    began = time.monotonic()
    with Progress(TextColumn("{task.description}"), console=console, transient=True) as progress:
        task = progress.add_task("exploring", total=None)
        current_events = [size.events]

        def watch(totals: Totals) -> None:
            rate = totals.states / max(0.1, time.monotonic() - began)
            progress_text = f"{totals.states} states, {totals.transitions} transitions, depth {totals.depth}"
            progress.update(
                task, description=f"{current_events[0]} events: {progress_text}, {rate:.0f} states/s"
            )

        if args.walk is not None:
            return random_walk.random_walk(size, args.walk, args.seed, args.break_, watch)
        found = Totals()
        # Few disturbances come first, so that the first counterexample has the shortest story.
        for events in range(0 if args.keep is None else size.events, size.events + 1):
            current_events[0] = events
            one = replace(size, events=events)
            left_s = args.seconds - (time.monotonic() - began)
            keep = Path(args.keep) if args.keep is not None else None
            found = search.search(
                one,
                args.workers,
                not args.no_merge,
                args.break_,
                limit_s=left_s,
                watch=watch,
                resume_file=keep,
            )
            if found.counterexample is not None or found.cut_reason:
                break
            extent = "all explored" if found.exhausted else f"not all explored: {found.incomplete_reason}"
            console.print(f"{events} events: {found.states} states, {found.seconds:.1f} s, {extent}")
        found.seconds = time.monotonic() - began
        return found


def as_json(size: WorldSize, found: Totals) -> dict[str, Any]:
    """Return the result as the object that `--json` writes."""
    return {
        "format": 1,
        "clients": size.clients,
        "servers": size.servers,
        "events": size.events,
        "states": found.states,
        "transitions": found.transitions,
        "depth": found.depth,
        "runs": found.runs,
        "exhausted": found.exhausted,
        "why": found.incomplete_reason,
        "seconds": round(found.seconds, 1),
        "properties": {
            name: {"text": text, "held": not found.violations[name], "violations": found.violations[name]}
            for name, text in PROPERTIES.items()
        },
        "counterexample": found.counterexample,
        "outcomes": len(found.outcomes),
    }


def _report_node(console: Console, size: WorldSize, found: Totals, args: argparse.Namespace) -> int:
    obj = as_json(size, found)
    if args.json is not None:
        Path(args.json).write_text(json.dumps(obj, indent=1) + "\n", encoding="utf-8")
    console.print(
        f"{found.states} states, {found.transitions} transitions, {found.runs} runs, depth {found.depth}, "
        f"{len(found.outcomes)} different outcomes, in {found.seconds:.1f} s"
    )
    if found.counterexample is None:
        if args.walk is not None:
            console.print("no counterexample; random runs prove nothing more")
        elif found.exhausted:
            console.print(f"exhausted: every interleaving of up to {size.events} events; all properties hold")
        else:
            console.print(f"not exhausted: {found.incomplete_reason}")
        return 0
    _print_counterexample(console, found.counterexample)
    if args.out is not None:
        counterexample.write(Path(args.out), found.counterexample)
        console.print(f"written to {args.out}; to replay it: orchidferry explore --replay {args.out}")
    return 1


def _print_counterexample(console: Console, found: dict[str, Any]) -> None:
    violation = found["violation"]
    console.print(f"broken: {violation['name']}: {violation['what']}", markup=False)
    console.print(f"  ({PROPERTIES.get(violation['name'], '')})", markup=False)
    for line in found["story"]:
        console.print(f"  {line['at_s']:9.3f} s  {line['what']}", markup=False)
    console.print("as a test:")
    size = WorldSize(**found["small"] | {"kinds": tuple(found["small"]["kinds"])})
    console.print(f"  play({size!r}, {found['path']!r}, {found['break']!r}).violations == []", markup=False)


def _replay(console: Console, path: Path) -> int:
    """Replay a counterexample and print its story."""
    try:
        found = json.loads(path.read_text(encoding="utf-8"))
        size = WorldSize(**found["small"] | {"kinds": tuple(found["small"]["kinds"])})
        steps = [str(one) for one in found["path"]]
        break_ = str(found["break"])
    except OSError as problem:
        raise _UsageError(f"{path}: {problem.strerror}") from None
    except (ValueError, KeyError, TypeError) as problem:
        raise _UsageError(f"{path}: is no counterexample: {problem!s:.80}") from None
    if break_ and break_ not in BREAKS:
        raise _UsageError(f"{path}: no such break {break_!r:.40}")
    world = counterexample.play(size, steps, break_, to_end=True)
    for t, what in world.story:
        console.print(f"  {t - counterexample.START_S:9.3f} s  {what}", markup=False)
    for violation in world.violations:
        console.print(f"broken: {violation.name}: {violation.what}", markup=False)
    if not world.violations:
        console.print("no property is broken any more")
    return 1 if world.violations else 0
