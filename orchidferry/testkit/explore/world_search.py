"""Depth-first search through a small world of modules without I/O, in several processes.

A world says what may come next (`actions`; the first comes without a fault), applies it, and reports what it
violates. It is copied by pickling, so it holds no function that can't be pickled by name.
"""

from __future__ import annotations

import math
import multiprocessing
import os
import pickle
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from orchidferry.testkit.explore.state_table import SLOTS, StateTable, state_key

MIN_SHARED = 256  # worlds that are left, from which on the processes of a search go on by themselves


class ExploredWorld(Protocol):
    """A world that a search explores."""

    story: list[str]
    violations: list[str]

    @property
    def over(self) -> bool:
        """Whether there are no more choices: the rest is for `finish`."""

    def actions(self) -> list[str]:
        """Return what may come next."""

    def apply(self, label: str) -> None:
        """Have one of `actions` happen."""

    def finish(self) -> None:
        """Do what comes after the last choice."""

    def fingerprint(self) -> bytes:
        """Return the same bytes for worlds that have the same futures."""

    def succeeded(self) -> bool:
        """Return whether the run came to the end that one would wish for."""


BreakContext = Callable[[str], AbstractContextManager[None]]  # has the deliberate break of a name in force


@dataclass
class SearchResult:
    """What a search has found.

    :ivar runs: that came to their end
    :ivar succeeded: of these, those that came to the end that one would wish for
    :ivar exhausted: whether all was explored
    :ivar violations: how often each property was violated, by its name
    :ivar story: of the first violation
    """

    states: int = 0
    runs: int = 0
    succeeded: int = 0
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    story: list[str] = field(default_factory=list)
    seconds: float = 0.0

    def add(self, part: SearchResult) -> None:
        """Add what another part of the search has found."""
        self.states += part.states
        self.runs += part.runs
        self.succeeded += part.succeeded
        self.violations += part.violations
        self.story = self.story or part.story
        self.exhausted &= part.exhausted
        self.seconds += part.seconds


class _Branch(NamedTuple):
    """A pickled world, and the action to apply to it; "" for none."""

    world: bytes
    label: str


class _Job(NamedTuple):
    """A process's part of a search: all that follows from one branch."""

    branch: _Branch
    broken: BreakContext
    break_name: str
    until_s: float


_table: StateTable | None = None  # of the search that this process has a part in


def search(
    begin: Callable[[], ExploredWorld],
    broken: BreakContext,
    break_name: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all that a world can do; the search ends with the first violation.

    Its processes share the table of states, so what two of them reach is explored by the first one.

    :param begin: returns the world at its start
    :param break_name: of the deliberate break that is in force; "" for none
    :param limit_s: after which the search ends, in seconds
    :param watch: called with the result so far
    :param workers: processes; 0 for one a core
    """
    global _table
    result = SearchResult()
    began = time.monotonic()
    _table = StateTable()
    until_s = began + limit_s
    with broken(break_name):
        start = _Branch(pickle.dumps(begin()), "")
        branches = _explore([start], result, _table, until_s, MIN_SHARED)
    result.exhausted = not branches and not result.violations
    if branches and not result.violations:
        result.exhausted = True
        context = multiprocessing.get_context("fork")
        with context.Pool(workers or len(os.sched_getaffinity(0))) as pool:
            jobs = [_Job(branch, broken, break_name, until_s) for branch in branches]
            for part in pool.imap_unordered(_run_job, jobs):
                result.add(part)
                watch(result)
                if result.violations:
                    break
    if result.states > SLOTS // 2:
        result.exhausted = False  # the table may have been full
    result.seconds = time.monotonic() - began
    return result


def _run_job(job: _Job) -> SearchResult:
    """Explore all that follows from one branch, but what any process has explored before."""
    result = SearchResult()
    assert _table is not None
    with job.broken(job.break_name):
        left = _explore([job.branch], result, _table, job.until_s, math.inf)
    result.exhausted = not left and not result.violations
    return result


def _explore(
    branches: list[_Branch], result: SearchResult, table: StateTable, until_s: float, enough: float
) -> list[_Branch]:
    """Explore branches until none or enough are left, or a property is violated.

    It goes depth first. Where the rest is to be shared out, what branches off early comes first: its stories
    are the shortest.

    :param enough: branches that end it; infinite for none
    :returns: the branches that are left
    """
    while branches and len(branches) < enough and time.monotonic() < until_s:
        branch = branches.pop(0 if enough < math.inf else -1)
        world: ExploredWorld = pickle.loads(branch.world)
        if branch.label:
            world.apply(branch.label)
        branches += _run(world, result, table)
        if world.violations:
            result.violations.update(line.partition(":")[0] for line in world.violations)
            result.story = [*world.story, *world.violations]
            break
    return branches


def _run(world: ExploredWorld, result: SearchResult, table: StateTable) -> list[_Branch]:
    """Run a world by its first actions to its end, a violation or a state that was explored before.

    :returns: the branches that it has passed
    """
    passed: list[_Branch] = []
    while not world.violations:
        if not table.add(state_key(world.fingerprint())):
            break
        if world.over:
            world.finish()
            result.runs += 1
            result.succeeded += world.succeeded()
            break
        result.states += 1
        first, *others = world.actions()
        if others:
            pickled = pickle.dumps(world)
            passed += [_Branch(pickled, label) for label in others]
        world.apply(first)
    return passed
