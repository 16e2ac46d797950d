"""The search through a small world of pure modules: every choice that it offers, depth first, in some
processes.

A world tells what may come next (`actions`; the first comes without a fault), does it, and says what was
broken. It is copied by pickling, so it holds no function of its own that pickling can't name.
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
from typing import Protocol

from orchidferry.testkit.explore.seen import SLOTS, Seen
from orchidferry.testkit.explore.seen import fingerprint as state_key

SHARED = 256  # worlds from which on the processes of a search go on by themselves


class World(Protocol):
    """What is walked."""

    story: list[str]
    violations: list[str]

    @property
    def over(self) -> bool:
        """No more choices: the rest is for `finish`."""

    def actions(self) -> list[str]: ...
    def apply(self, label: str) -> None: ...
    def finish(self) -> None: ...
    def fingerprint(self) -> bytes:
        """Equal ones have the same futures."""

    def succeeded(self) -> bool:
        """Whether it came to the end that one would wish for."""


Broken = Callable[[str], AbstractContextManager[None]]  # with a deliberate break of that name in force


@dataclass
class SearchResult:
    """What a search has seen."""

    states: int = 0
    runs: int = 0  # to their end
    succeeded: int = 0  # of these, to the end that one would wish for
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    story: list[str] = field(default_factory=list)  # of the first violation
    seconds: float = 0.0

    def add(self, part: SearchResult) -> None:
        """What a share of it has seen too."""
        self.states += part.states
        self.runs += part.runs
        self.succeeded += part.succeeded
        self.violations += part.violations
        self.story = self.story or part.story
        self.exhausted &= part.exhausted
        self.seconds += part.seconds


_Todo = tuple[bytes, str]  # a world, and what is to come next in it; "" for nothing


def _go_on(stack: list[_Todo], found: SearchResult, seen: Seen, until_s: float, many: float) -> list[_Todo]:
    """Walk on from these until none or `many` are left, or something is broken; the rest. Depth first, but
    where the rest is to be shared out, what parts early comes first: its stories are the shortest."""
    while stack and len(stack) < many and time.monotonic() < until_s:
        whole, label = stack.pop(0 if many < math.inf else -1)
        world: World = pickle.loads(whole)
        if label:
            world.apply(label)
        while not world.violations:
            if not seen.add(state_key(world.fingerprint())):
                break
            if world.over:
                world.finish()
                found.runs += 1
                found.succeeded += world.succeeded()
                break
            found.states += 1
            actions = world.actions()
            if len(actions) > 1:
                whole = pickle.dumps(world)
                stack += [(whole, label) for label in actions[1:]]
            world.apply(actions[0])
        if world.violations:
            found.violations.update(one.partition(":")[0] for one in world.violations)
            found.story = [*world.story, *world.violations]
            break
    return stack


_seen: Seen | None = None  # of the search that this process has a share in


def _share(job: tuple[_Todo, Broken, str, float]) -> SearchResult:
    """One process's part: all that follows from one world, but what any process has walked before."""
    todo, broken, break_, until_s = job
    found = SearchResult()
    assert _seen is not None
    with broken(break_):
        found.exhausted = not _go_on([todo], found, _seen, until_s, math.inf) and not found.violations
    return found


def search(
    begin: Callable[[], World],
    broken: Broken,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Walk all that a world can do; ends with the first violation. Processes share the table of states, so
    what two of them reach is walked by the first one."""
    global _seen
    found, began = SearchResult(), time.monotonic()
    _seen = Seen()
    until_s = began + limit_s
    with broken(break_):
        stack = _go_on([(pickle.dumps(begin()), "")], found, _seen, until_s, SHARED)
    found.exhausted = not stack and not found.violations
    if stack and not found.violations:
        found.exhausted = True
        context = multiprocessing.get_context("fork")
        with context.Pool(workers or len(os.sched_getaffinity(0))) as pool:
            jobs = [(one, broken, break_, until_s) for one in stack]
            for part in pool.imap_unordered(_share, jobs):
                found.add(part)
                watch(found)
                if found.violations:
                    break
    if found.states > SLOTS // 2:
        found.exhausted = False  # the table may have been full
    found.seconds = time.monotonic() - began
    return found
