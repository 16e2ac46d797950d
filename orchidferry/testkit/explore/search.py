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
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.testkit.explore import kept_search
from orchidferry.testkit.explore.breaks import broken
from orchidferry.testkit.explore.counterexample import describe
from orchidferry.testkit.explore.loop import LoopNeverRestsError
from orchidferry.testkit.explore.properties import Violation
from orchidferry.testkit.explore.search_totals import MAX_DEPTH, Totals
from orchidferry.testkit.explore.state import fingerprint
from orchidferry.testkit.explore.state_table import SLOTS, StateTable
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

MAX_OWN_PATHS = 24  # that a process keeps for itself; what is beyond goes to others that have none
IDLE_S = 0.05
REPORT_S = 2.0
JOIN_S = 5.0


@dataclass(frozen=True)
class _Order:
    """What is searched, for all processes of a search."""

    size: WorldSize
    seen: StateTable | None  # None: states are not told apart
    break_: str
    first_only: bool  # the first counterexample ends the search
    until_s: float  # by the steady clock


@dataclass(frozen=True)
class _Exchange:
    """What the processes of a search have in common."""

    jobs: Any  # lists of paths that a process without any may take
    results: Any  # pairs: whether it is a process's last, and its totals since the one before
    waiting: Any  # how many processes have nothing to do
    ends: Any  # set once all are to end


def walk(order: _Order, prefix: list[str], totals: Totals) -> list[list[str]]:
    """Play one run from a prefix on, to an end or a state that was seen; return the paths left for later."""
    later: list[list[str]] = []
    path = list(prefix)
    world: World | None = None
    try:
        world = World(order.size)
        for label in prefix:
            world.do(label)
        totals.runs += 1
        if _walk_on(order, world, path, later, totals):
            return later
    except LoopNeverRestsError as problem:
        if world is not None:
            world.violations.append(Violation("at-rest", str(problem)))
    if world is not None and world.violations:
        totals.violations.update(violation.name for violation in world.violations)
        totals.add_counterexample(describe(order.size, path, world, world.violations[0], order.break_))
        if order.first_only:
            return []
    return later


def _walk_on(order: _Order, world: World, path: list[str], later: list[list[str]], totals: Totals) -> bool:
    """Take the first choice of each state; return whether it came to a state that was seen before."""
    while True:
        totals.transitions += 1
        totals.depth = max(totals.depth, len(path))
        if world.violations:
            return False
        if path and order.seen is not None and not order.seen.add(fingerprint(world)):
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
        later += [[*path, label] for label, _ in actions[1:]]
        path.append(actions[0][0])
        world.do(path[-1])


def _take_job(exchange: _Exchange) -> list[list[str]] | None:
    """Wait for paths of another process; None if the search ends before."""
    with exchange.waiting.get_lock():
        exchange.waiting.value += 1
    while not exchange.ends.is_set():
        with contextlib.suppress(queue.Empty):
            paths: list[list[str]] = exchange.jobs.get(timeout=IDLE_S)
            with exchange.waiting.get_lock():
                exchange.waiting.value -= 1
            return paths
    return None


def _work(order: _Order, exchange: _Exchange) -> None:
    """Run one process: its own paths, depth first; some for others where they have none."""
    stack: list[list[str]] = []
    totals = Totals()
    reported_s = time.monotonic()
    with broken(order.break_):
        while not exchange.ends.is_set():
            if not stack:
                paths = _take_job(exchange)
                if paths is None:
                    break
                stack = paths
            stack += walk(order, stack.pop(), totals)
            if order.first_only and totals.counterexample is not None:
                stack.clear()
                exchange.ends.set()
            if len(stack) > MAX_OWN_PATHS and exchange.waiting.value > 0 and exchange.jobs.empty():
                half = len(stack) // 2
                exchange.jobs.put(stack[:half])  # the oldest: the largest parts of the tree
                del stack[:half]
            if time.monotonic() - reported_s > REPORT_S:
                exchange.results.put((False, totals))
                totals = Totals()
                reported_s = time.monotonic()
            if time.monotonic() > order.until_s:
                totals.why = "its time was over"
                exchange.ends.set()
    totals.rest = stack
    exchange.results.put((True, totals))


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
    """Walk all that a small world can do.

    :param workers: processes; 0: one a core.
    :param merge: tell states apart, and go on from each once.
    :param first_only: end at the first counterexample.
    :param slots: of the table of states.
    :param watch: is given the totals now and then.
    :param keep: a file that a search which is cut leaves what it has in, and the next one goes on from.
    :returns: the totals, `exhausted` only if nothing was cut.
    """
    workers = workers or len(os.sched_getaffinity(0))
    began_s = time.monotonic()
    seen = StateTable(slots) if merge else None
    total = Totals()
    first: list[list[str]] = [[]]
    if keep is not None and keep.exists():
        total, first = kept_search.load(keep, size, seen)
    context = multiprocessing.get_context("fork")
    exchange = _Exchange(context.Queue(), context.Queue(), context.Value("i", 0), context.Event())
    exchange.jobs.put(first)
    order = _Order(size, seen, break_, first_only, began_s + limit_s)
    processes = [context.Process(target=_work, args=(order, exchange), daemon=True) for _ in range(workers)]
    for process in processes:
        process.start()
    _collect(exchange, processes, total, began_s, watch)
    for process in processes:
        process.join(JOIN_S)
    total.seconds = time.monotonic() - began_s
    if merge and total.states > slots // 2:
        total.why = total.why or "the table of states is full"
    if total.rest and not total.why and total.counterexample is None:
        total.why = "it was ended"
    if keep is not None:
        kept_search.save(keep, size, seen, total)
    total.exhausted = not total.gap and total.counterexample is None
    return total


def _collect(
    exchange: _Exchange,
    processes: list[Any],
    total: Totals,
    began_s: float,
    watch: Callable[[Totals], None],
) -> None:
    """Add up what the processes report, and end them once nothing is left."""
    running = len(processes)
    while running:
        with contextlib.suppress(queue.Empty):
            is_last, part = exchange.results.get(timeout=4 * IDLE_S)
            total.add(part)
            total.why = total.why or part.why
            total.seconds = time.monotonic() - began_s
            running -= is_last
            watch(total)
        # All wait and nothing is under way: it is done. Looked at twice, as a job may be on its way.
        if _all_wait(exchange, len(processes)) and not exchange.ends.is_set():
            time.sleep(2 * IDLE_S)
            if _all_wait(exchange, len(processes)):
                exchange.ends.set()
        if running and not any(process.is_alive() for process in processes) and exchange.results.empty():
            total.why = total.why or "a process of the search died"
            return


def _all_wait(exchange: _Exchange, workers: int) -> bool:
    return bool(exchange.waiting.value == workers and exchange.jobs.empty())
