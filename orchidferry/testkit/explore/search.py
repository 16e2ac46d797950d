"""Depth-first search over all choices of a small world, in several processes that share the visited states.

A path is a list of actions from the start. Each path is replayed from the start, as a running node can't be
copied. A state that was visited before is not explored again, since its futures are the same. Without that
(`merge` off) the complete tree is explored; on smaller worlds this shows that merging states loses nothing.
"""

from __future__ import annotations

import contextlib
import json
import multiprocessing
import os
import queue
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.testkit.explore import saved_search
from orchidferry.testkit.explore.breaks import broken
from orchidferry.testkit.explore.counterexample import describe
from orchidferry.testkit.explore.loop import LoopNeverIdleError
from orchidferry.testkit.explore.properties import Violation
from orchidferry.testkit.explore.search_totals import MAX_DEPTH, Totals
from orchidferry.testkit.explore.state import fingerprint
from orchidferry.testkit.explore.state_table import SLOTS, StateTable
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

MAX_OWN_PATHS = 24  # paths that a process keeps while others are idle; with more it gives half away
IDLE_S = 0.05  # polling interval of idle processes
REPORT_S = 2.0  # interval between reports of a process's totals
JOIN_S = 5.0  # time limit for a process to end


@dataclass(frozen=True)
class _SearchParameters:
    """The parameters of a search, for all its processes."""

    size: WorldSize
    seen: StateTable | None  # the states that were visited; None without merging
    break_: str
    first_only: bool  # whether the first counterexample ends the search
    until_s: float  # the time limit, by the monotonic clock


@dataclass(frozen=True)
class _SharedState:
    """The queues and counters that the processes of a search share."""

    jobs: Any  # lists of paths that an idle process may take
    results: Any  # pairs: whether this is a process's last report, and its totals since the previous report
    idle_workers: Any  # how many processes have no paths
    stop: Any  # set when all processes are to end


def explore_path(parameters: _SearchParameters, prefix: list[str], totals: Totals) -> list[list[str]]:
    """Replay a prefix, go on to the run's end or a visited state, and return the branches on the way."""
    deferred: list[list[str]] = []
    path = list(prefix)
    world: World | None = None
    try:
        world = World(parameters.size)
        for label in prefix:
            world.apply(label)
        totals.runs += 1
        if _take_first_choices(parameters, world, path, deferred, totals):
            return deferred
    except LoopNeverIdleError as problem:
        if world is not None:
            world.violations.append(Violation("at-rest", str(problem)))
    if world is not None and world.violations:
        totals.violations.update(violation.name for violation in world.violations)
        totals.add_counterexample(
            describe(parameters.size, path, world, world.violations[0], parameters.break_)
        )
        if parameters.first_only:
            return []
    return deferred


def _take_first_choices(
    parameters: _SearchParameters, world: World, path: list[str], deferred: list[list[str]], totals: Totals
) -> bool:
    """Take the first choice in each state; return whether the run came to a state that was visited before."""
    while True:
        totals.transitions += 1
        totals.depth = max(totals.depth, len(path))
        if world.violations:
            return False
        if path and parameters.seen is not None and not parameters.seen.add(fingerprint(world)):
            return True
        totals.states += 1
        actions = [] if world.over else world.actions()
        if not actions:
            world.finish()
            totals.outcomes.add(json.dumps(world.outcome()))
            return False
        if len(path) >= MAX_DEPTH:
            totals.too_long += 1
            return False
        deferred += [[*path, label] for label, _ in actions[1:]]
        path.append(actions[0][0])
        world.apply(path[-1])


def _take_job(shared: _SharedState) -> list[list[str]] | None:
    """Wait for paths from another process; return None if the search ends first."""
    with shared.idle_workers.get_lock():
        shared.idle_workers.value += 1
    while not shared.stop.is_set():
        with contextlib.suppress(queue.Empty):
            paths: list[list[str]] = shared.jobs.get(timeout=IDLE_S)
            with shared.idle_workers.get_lock():
                shared.idle_workers.value -= 1
            return paths
    return None


def _work(parameters: _SearchParameters, shared: _SharedState) -> None:
    """Run one process: explore its own paths depth first, and give some to idle processes."""
    stack: list[list[str]] = []
    totals = Totals()
    reported_s = time.monotonic()
    with broken(parameters.break_):
        while not shared.stop.is_set():
            if not stack:
                paths = _take_job(shared)
                if paths is None:
                    break
                stack = paths
            stack += explore_path(parameters, stack.pop(), totals)
            if parameters.first_only and totals.counterexample is not None:
                stack.clear()
                shared.stop.set()
            if len(stack) > MAX_OWN_PATHS and shared.idle_workers.value > 0 and shared.jobs.empty():
                half = len(stack) // 2
                shared.jobs.put(stack[:half])  # the oldest paths have the largest subtrees
                del stack[:half]
            if time.monotonic() - reported_s > REPORT_S:
                shared.results.put((False, totals))
                totals = Totals()
                reported_s = time.monotonic()
            if time.monotonic() > parameters.until_s:
                totals.cut_reason = "the time limit was reached"
                shared.stop.set()
    totals.remaining_paths = stack
    shared.results.put((True, totals))


def search(
    size: WorldSize,
    workers: int = 0,
    merge: bool = True,
    break_: str = "",
    first_only: bool = True,
    limit_s: float = 3_600.0,
    slots: int = SLOTS,
    watch: Callable[[Totals], None] = lambda _: None,
    resume_file: Path | None = None,
) -> Totals:
    """Explore all runs of a small world.

    :param workers: processes; 0 for one per core.
    :param merge: explore each state only once.
    :param break_: the deliberate break that is in force; "" for none.
    :param first_only: end the search at the first counterexample.
    :param limit_s: the time limit in seconds.
    :param slots: the size of the table of states.
    :param watch: called with the totals from time to time.
    :param resume_file: an interrupted search is saved there, and resumed from there if the file exists.
    :returns: the totals, `exhausted` only if all runs were explored to their end.
    """
    workers = workers or len(os.sched_getaffinity(0))
    began_s = time.monotonic()
    seen = StateTable(slots) if merge else None
    total = Totals()
    first: list[list[str]] = [[]]
    if resume_file is not None and resume_file.exists():
        total, first = saved_search.load(resume_file, size, seen)
    context = multiprocessing.get_context("fork")
    shared = _SharedState(context.Queue(), context.Queue(), context.Value("i", 0), context.Event())
    shared.jobs.put(first)
    parameters = _SearchParameters(size, seen, break_, first_only, began_s + limit_s)
    processes = [
        context.Process(target=_work, args=(parameters, shared), daemon=True) for _ in range(workers)
    ]
    for process in processes:
        process.start()
    _collect(shared, processes, total, began_s, watch)
    for process in processes:
        process.join(JOIN_S)
    total.seconds = time.monotonic() - began_s
    if merge and total.states > slots // 2:
        total.cut_reason = total.cut_reason or "the table of states is more than half full"
    if total.remaining_paths and not total.cut_reason and total.counterexample is None:
        total.cut_reason = "the search was stopped"
    if resume_file is not None:
        saved_search.save(resume_file, size, seen, total)
    total.exhausted = not total.incomplete_reason and total.counterexample is None
    return total


def _collect(
    shared: _SharedState,
    processes: list[Any],
    total: Totals,
    began_s: float,
    watch: Callable[[Totals], None],
) -> None:
    """Add up the processes' reports, and stop the processes when no paths are left."""
    running = len(processes)
    while running:
        with contextlib.suppress(queue.Empty):
            is_last, part = shared.results.get(timeout=4 * IDLE_S)
            total.add(part)
            total.cut_reason = total.cut_reason or part.cut_reason
            total.seconds = time.monotonic() - began_s
            running -= is_last
            watch(total)
        # The search is done when all processes are idle and no job is queued: checked twice, as a job
        # may be in transit.
        if _all_idle(shared, len(processes)) and not shared.stop.is_set():
            time.sleep(2 * IDLE_S)
            if _all_idle(shared, len(processes)):
                shared.stop.set()
        if running and not any(process.is_alive() for process in processes) and shared.results.empty():
            total.cut_reason = total.cut_reason or "a process of the search ended unexpectedly"
            return


def _all_idle(shared: _SharedState, workers: int) -> bool:
    return bool(shared.idle_workers.value == workers and shared.jobs.empty())
