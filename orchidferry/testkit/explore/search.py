"""Depth-first over all choices of a small world, in several processes that share what they have seen.

A path is a list of actions from the start; each is played again from there, as a node can't be copied. A
state that was seen before is not gone on from: its futures are those of the first time. Without that (`merge`
off) the tree is walked whole, which shows for a smaller world that nothing is lost by it.
"""

from __future__ import annotations

import contextlib
import json
import multiprocessing
import os
import queue
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from orchidferry.testkit.explore.breaks import broken
from orchidferry.testkit.explore.loop import LoopNeverRestsError
from orchidferry.testkit.explore.properties import Violation
from orchidferry.testkit.explore.state import fingerprint
from orchidferry.testkit.explore.state_table import SLOTS, StateTable
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

MAX_DEPTH = 60
GIVE = 24  # paths that a process keeps for itself; what is beyond goes to others that have none
IDLE_S = 0.05
TELL_S = 2.0
COUNTED = ("states", "transitions", "runs", "depth", "too_long")


@dataclass
class Totals:
    """What a search has done."""

    states: int = 0
    transitions: int = 0
    runs: int = 0
    depth: int = 0
    too_long: int = 0  # runs that were left after `MAX_DEPTH` choices
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    counterexample: dict[str, Any] | None = None  # the shortest
    outcomes: set[str] = field(default_factory=set)
    seconds: float = 0.0
    why: str = ""  # the whole search was cut
    rest: list[list[str]] = field(default_factory=list)  # paths that were left then

    @property
    def gap(self) -> str:
        """Why not all was walked; empty if it was."""
        return self.why or (f"a run of over {MAX_DEPTH} choices" if self.too_long else "")

    def take(self, other: Totals) -> None:
        """Add the totals of another part of the search."""
        self.states += other.states
        self.transitions += other.transitions
        self.runs += other.runs
        self.depth = max(self.depth, other.depth)
        self.too_long += other.too_long
        self.violations += other.violations
        self.outcomes |= other.outcomes
        self.rest += other.rest
        found = other.counterexample
        mine = self.counterexample
        if found is not None and (mine is None or len(found["path"]) < len(mine["path"])):
            self.counterexample = found


def play(size: WorldSize, path: list[str], break_: str = "", to_end: bool = False) -> World:
    """A run by its path, to its end if nothing more can come; `to_end`: whatever could, unless broken."""
    with broken(break_):
        world = World(size)
        for label in path:
            world.do(label)
        if world.over or not world.actions() or (to_end and not world.violations):
            world.finish()
    return world


def story(
    size: WorldSize, path: list[str], world: World, violation: Violation, break_: str
) -> dict[str, Any]:
    """A counterexample, for people and for `--replay`."""
    return {
        "format": 1,
        "small": asdict(size),
        "break": break_,
        "path": path,
        "violation": asdict(violation),
        "story": [{"at_s": round(t - 1_000.0, 6), "what": what} for t, what in world.story],
    }


def walk(
    size: WorldSize,
    prefix: list[str],
    seen: StateTable | None,
    totals: Totals,
    break_: str,
    first_only: bool,
) -> list[list[str]]:
    """One run from a prefix on to an end or a state that was seen; the paths that it leaves for later."""
    later: list[list[str]] = []
    path = list(prefix)
    world: World | None = None
    try:
        world = World(size)
        for label in prefix:
            world.do(label)
        totals.runs += 1
        while True:
            totals.transitions += 1
            totals.depth = max(totals.depth, len(path))
            if world.violations:
                break
            if path and seen is not None and not seen.add(fingerprint(world)):
                return later
            totals.states += 1
            actions = [] if world.over else world.actions()
            if not actions:
                world.finish()
                totals.outcomes.add(json.dumps(world.outcome()))
                break
            if len(path) >= MAX_DEPTH:
                totals.too_long += 1
                break
            later += [[*path, label] for label, _ in actions[1:]]
            path.append(actions[0][0])
            world.do(path[-1])
    except LoopNeverRestsError as problem:
        if world is not None:
            world.violations.append(Violation("at-rest", str(problem)))
    if world is not None and world.violations:
        totals.violations.update(v.name for v in world.violations)
        found = story(size, path, world, world.violations[0], break_)
        one = Totals(counterexample=found)
        totals.take(one)
        if first_only:
            return []
    return later


def _work(
    size: WorldSize,
    seen: StateTable | None,
    break_: str,
    first_only: bool,
    until_s: float,
    jobs: Any,
    results: Any,
    waiting: Any,
    ends: Any,
) -> None:
    """One process: its own paths, depth first; some for others where they have none."""
    stack: list[list[str]] = []
    totals = Totals()
    told = time.monotonic()
    with broken(break_):
        while not ends.is_set():
            if not stack:
                with waiting.get_lock():
                    waiting.value += 1
                got = None
                while got is None and not ends.is_set():
                    with contextlib.suppress(queue.Empty):
                        got = jobs.get(timeout=IDLE_S)
                if got is None:
                    break
                with waiting.get_lock():
                    waiting.value -= 1
                stack = got
            stack += walk(size, stack.pop(), seen, totals, break_, first_only)
            if first_only and totals.counterexample is not None:
                stack.clear()
                ends.set()
            if len(stack) > GIVE and waiting.value > 0 and jobs.empty():
                half = len(stack) // 2
                jobs.put(stack[:half])  # the oldest: the largest parts of the tree
                del stack[:half]
            if time.monotonic() - told > TELL_S:
                results.put(("so far", totals))
                totals = Totals()
                told = time.monotonic()
            if time.monotonic() > until_s:
                totals.why = "its time was over"
                ends.set()
    totals.rest = stack
    results.put(("end", totals))


def search(
    size: WorldSize,
    workers: int = 0,
    merge: bool = True,
    break_: str = "",
    first_only: bool = True,
    limit_s: float = 3_600.0,
    slots: int = SLOTS,
    watch: Callable[[Totals], None] = lambda _: None,
    keep: Path | None = None,
) -> Totals:
    """Walk all that a small world can do. `exhausted` only if nothing was cut.

    `keep`: a file that a search which is cut leaves what it has in, and the next one goes on from.
    """
    workers = workers or len(os.sched_getaffinity(0))
    began = time.monotonic()
    seen = StateTable(slots) if merge else None
    total, first = Totals(), list[list[str]]([[]])
    if keep is not None and keep.exists():
        total, first = _load(keep, size, seen)
    context = multiprocessing.get_context("fork")
    jobs, results = context.Queue(), context.Queue()
    waiting, ends = context.Value("i", 0), context.Event()
    jobs.put(first)
    args = (size, seen, break_, first_only, began + limit_s, jobs, results, waiting, ends)
    processes = [context.Process(target=_work, args=args, daemon=True) for _ in range(workers)]
    for process in processes:
        process.start()
    left = workers
    while left:
        with contextlib.suppress(queue.Empty):
            kind, part = results.get(timeout=4 * IDLE_S)
            total.take(part)
            total.why = total.why or part.why
            total.seconds = time.monotonic() - began
            left -= kind == "end"
            watch(total)
        # All wait and nothing is under way: it is done. Looked at twice, as a job may be on its way.
        if waiting.value == workers and jobs.empty() and not ends.is_set():
            time.sleep(2 * IDLE_S)
            if waiting.value == workers and jobs.empty():
                ends.set()
        if left and not any(process.is_alive() for process in processes) and results.empty():
            total.why = total.why or "a process of the search died"
            break
    for process in processes:
        process.join(5.0)
    total.seconds = time.monotonic() - began
    if merge and total.states > slots // 2:
        total.why = total.why or "the table of states is full"
    if total.rest and not total.why and total.counterexample is None:
        total.why = "it was ended"
    if keep is not None:
        _keep(keep, size, seen, total)
    total.exhausted = not total.gap and total.counterexample is None
    return total


def _keep(path: Path, size: WorldSize, seen: StateTable | None, total: Totals) -> None:
    """Leave a cut search for the next one; a whole one leaves nothing."""
    if not total.rest or total.counterexample is not None:
        path.unlink(missing_ok=True)
        return
    head = {
        "format": 1,
        "small": asdict(size),
        "rest": total.rest,
        "outcomes": sorted(total.outcomes),
        **{name: getattr(total, name) for name in COUNTED},
    }
    states = np.array(list(seen.keys()) if seen is not None else [], np.uint64)
    part = path.with_name(path.name + ".part")
    with part.open("wb") as out:
        np.savez_compressed(out, head=np.array(json.dumps(head)), states=states)
    part.replace(path)


def _load(path: Path, size: WorldSize, seen: StateTable | None) -> tuple[Totals, list[list[str]]]:
    """`ValueError` if it is another world's, or none."""
    try:
        with np.load(path) as data:
            head = json.loads(str(data["head"]))
            states = data["states"]
    except (OSError, KeyError, ValueError) as problem:
        raise ValueError(f"{path}: no search that can be gone on with: {problem!s:.80}") from None
    if head.get("format") != 1 or head["small"] != json.loads(json.dumps(asdict(size))):
        raise ValueError(f"{path}: is of another world")
    for print_ in states.tolist() if seen is not None else ():
        seen.add(print_)  # type: ignore[union-attr]
    total = Totals(**{name: head.get(name, 0) for name in COUNTED}, outcomes=set(head["outcomes"]))
    return total, head["rest"]


def wander(
    size: WorldSize,
    seconds: float,
    seed: int,
    break_: str = "",
    watch: Callable[[Totals], None] = lambda _: None,
) -> Totals:
    """Random runs for a while, by PCT's priorities (Burckhardt et al., 2010).

    Each kind of action has one, and a few times in a run the first of them falls to the last.
    """
    totals, began, number = Totals(), time.monotonic(), 0
    with broken(break_):
        while time.monotonic() - began < seconds and totals.counterexample is None:
            rng = random.Random(f"{seed}/{number}")
            number += 1
            path: list[str] = []
            world = World(size)
            ranks: dict[str, float] = {}
            changes = {rng.randrange(MAX_DEPTH // 2) for _ in range(size.events)}
            while not world.over and not world.violations and (actions := world.actions()):
                for label, cost in actions:
                    ranks.setdefault(label, rng.random() - 0.3 * cost)
                label = max((label for label, _ in actions), key=ranks.__getitem__)
                if len(path) in changes:
                    ranks[label] = -1.0
                    label = max((label for label, _ in actions), key=ranks.__getitem__)
                path.append(label)
                world.do(label)
                totals.transitions += 1
                if len(path) >= MAX_DEPTH:
                    break
            else:
                if not world.violations:
                    world.finish()
            totals.runs += 1
            totals.depth = max(totals.depth, len(path))
            if world.violations:
                totals.violations.update(v.name for v in world.violations)
                short = shrink(size, path, world.violations[0].name, break_)
                again = play(size, short, break_, to_end=True)
                totals.counterexample = story(size, short, again, again.violations[0], break_)
            totals.seconds = time.monotonic() - began
            if number % 50 == 0:
                watch(totals)
    return totals


def shrink(size: WorldSize, path: list[str], name: str, break_: str) -> list[str]:
    """A shorter path to the same violation.

    Parts left out while it stays one, halves first (ddmin of Zeller and Hildebrandt, 2002).
    """

    def fails(some: list[str]) -> bool:
        try:
            world = play(size, some, break_, to_end=True)
        except (ValueError, IndexError, StopIteration, LoopNeverRestsError):
            return False
        return any(v.name == name for v in world.violations)

    part_length = max(1, len(path) // 2)
    while part_length:
        at = 0
        while at < len(path):
            some = path[:at] + path[at + part_length :]
            if fails(some):
                path = some
            else:
                at += part_length
        part_length //= 2
    return path


def write(path: Path, found: dict[str, Any]) -> None:
    """A counterexample to a file, whole."""
    part = path.with_name(path.name + ".part")
    part.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    part.replace(path)
