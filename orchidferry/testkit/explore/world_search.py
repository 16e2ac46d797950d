"""Depth-first search over all runs of a small world of modules without I/O, in several processes.

A world lists the actions that may happen next (the first of them without a fault), applies them, and reports
the properties that it violates. Worlds are copied by pickling, so all functions that they hold must be
picklable by name.
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

MIN_SHARED = 256  # open branches from which on the search is shared out to several processes


class ExploredWorld(Protocol):
    """A world that a search explores.

    :ivar story: what has happened, in lines
    :ivar violations: the violated properties, each as its name, a colon, and what has happened
    """

    story: list[str]
    violations: list[str]

    @property
    def over(self) -> bool:
        """Whether no choices are left; only `finish` is left to do."""

    def actions(self) -> list[str]:
        """Return the actions that may happen next; at least one, the first without a fault."""

    def apply(self, label: str) -> None:
        """Play one of `actions`."""

    def finish(self) -> None:
        """Do what follows the last choice, and check the end."""

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""

    def succeeded(self) -> bool:
        """Return whether the run ended as in a run without faults."""


BreakContext = Callable[
    [str], AbstractContextManager[None]
]  # applies the deliberate break of a name; "" for none


@dataclass
class SearchResult:
    """The result of a search, or of a part of it.

    :ivar states: different states that were explored
    :ivar runs: runs that were played to their end
    :ivar succeeded: runs that ended as in a run without faults
    :ivar exhausted: whether all runs were explored
    :ivar violations: how often each property was violated, by its name
    :ivar story: of the first run that violated a property, with the violations
    :ivar seconds: that the search took
    """

    states: int = 0
    runs: int = 0
    succeeded: int = 0
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    story: list[str] = field(default_factory=list)
    seconds: float = 0.0

    def add(self, part: SearchResult) -> None:
        """Add the result of another part of the search."""
        self.states += part.states
        self.runs += part.runs
        self.succeeded += part.succeeded
        self.violations += part.violations
        self.story = self.story or part.story
        self.exhausted &= part.exhausted
        self.seconds += part.seconds


class _Branch(NamedTuple):
    """A pickled world, and the action to play next in it; "" for none."""

    world: bytes
    label: str


class _Job(NamedTuple):
    """A part of a search for one process: all runs that follow from one branch."""

    branch: _Branch
    broken: BreakContext
    break_name: str
    until_s: float


_table: StateTable | None = None  # of the running search; forked worker processes inherit it


def search(
    begin: Callable[[], ExploredWorld],
    broken: BreakContext,
    break_name: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all runs of a world; the search ends with the first violation.

    The processes share the table of states, so each state is explored only by the first that reaches it.

    :param begin: returns the world in its initial state
    :param broken: returns the context manager that applies a deliberate break
    :param break_name: the deliberate break that is in force; "" for none
    :param limit_s: the time limit in seconds
    :param watch: called with the result so far, whenever a part is explored
    :param workers: processes; 0 for one per core
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
    """Explore all runs that follow from one branch, except states that any process has explored before."""
    result = SearchResult()
    assert _table is not None
    with job.broken(job.break_name):
        left = _explore([job.branch], result, _table, job.until_s, math.inf)
    result.exhausted = not left and not result.violations
    return result


def _explore(
    branches: list[_Branch], result: SearchResult, table: StateTable, until_s: float, enough: float
) -> list[_Branch]:
    """Explore branches until none or enough are left, the time is over, or a property is violated.

    The order is depth first. While branches are collected for sharing out, the oldest is taken first, as
    early branches give the shortest stories.

    :param enough: the number of open branches that ends the exploration; infinite for no such limit
    :returns: the branches that were not explored
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
    """Play a world's first actions up to its end, a violation or a state that was explored before.

    :returns: the other branches on the way
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
