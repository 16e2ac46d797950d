"""When machines of the mesh were out of touch, from what the kit did to processes and links. Pure.

Rules with a time bound bind machines in touch alone. A process that ends by itself counts as running all the
time, and its new start as nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator

from orchidferry.testkit.mesh.facts import Harm, Process

Spans = dict[str, list[tuple[float, float]]]
ALL = "*"  # all machines: the core was unsettled


def out_of_touch(
    processes: list[Process], harms: list[Harm], sidecars: Iterable[str], contact_s: float
) -> Spans:
    """Spans by machine, each with the time of contact after it; `ALL`: the core was unsettled.

    The core is unsettled from each thing that is done to it for the time of contact, while one of its links
    is slow, and while no more than half of it runs and is connected.
    """
    found: Spans = defaultdict(list)
    mine = set(sidecars)
    found[ALL] += _unsettled(processes, harms, mine, contact_s)
    down: dict[str, float] = {}
    for fact in processes:
        if fact.machine not in mine or fact.again:
            continue
        if fact.what in ("term", "killed", "paused"):
            down.setdefault(fact.machine, fact.t)
        elif fact.what in ("start", "resumed"):
            found[fact.machine].append((down.pop(fact.machine, fact.t), fact.t + contact_s))
    for machine, since in down.items():
        found[machine].append((since, math.inf))
    for harm in harms:
        core = _core(processes, mine, harm.t)
        apart = {
            name for name in core if harm.what == "cut" and 2 * _reach(name, core, harm.links) <= len(core)
        }
        for pair in harm.links:
            for machine, other in (pair, pair[::-1]):
                # A cut counts where it is from a controller that reaches over half of the core.
                if machine in mine and (harm.what != "cut" or other in core - apart):
                    found[machine].append((harm.t, harm.until + contact_s))
    return found


def _core(processes: list[Process], sidecars: set[str], t: float) -> set[str]:
    """The core's machines at a time."""
    removed = {fact.machine for fact in processes if fact.what == "removed" and fact.t <= t}
    began = {fact.machine for fact in processes if fact.what == "start" and fact.t <= t}
    return began - removed - sidecars


def _reach(name: str, core: set[str], cut: Iterable[tuple[str, str]]) -> int:
    """How many of the core a machine has a path to and from, itself too."""
    parted = {other for pair in cut for one, other in (pair, pair[::-1]) if one == name}
    return len(core - parted)


def without_majority(processes: list[Process], harms: list[Harm], sidecars: Iterable[str]) -> Spans:
    """Spans in which a controller that runs has no path both ways to a majority of those that there are."""
    found: Spans = defaultdict(list)
    for t, until, core, down, cut in _states(processes, harms, set(sidecars)):
        for name in core - down:
            if 2 * _reach(name, core, cut) > len(core):
                continue
            if found[name] and found[name][-1][1] == t:
                found[name][-1] = (found[name][-1][0], until)
            else:
                found[name].append((t, until))
    return found


def _unsettled(
    processes: list[Process], harms: list[Harm], sidecars: set[str], contact_s: float
) -> list[tuple[float, float]]:
    found: list[tuple[float, float]] = []
    for fact in processes:
        if _of_core(fact, sidecars):
            found.append((fact.t, fact.t + contact_s))
    for harm in harms:
        if not _within_core(harm, sidecars):
            continue
        if harm.what == "slow":
            found.append((harm.t, harm.until + contact_s))
        else:
            found += [(t, t + contact_s) for t in (harm.t, harm.until)]
    for t, until, core, down, cut in _states(processes, harms, sidecars):
        if not any(2 * _reach(name, core, cut) > len(core) for name in core - down):
            found.append((t, until))
    return found


def _of_core(fact: Process, sidecars: set[str]) -> bool:
    return fact.machine not in sidecars and not fact.again and fact.what not in ("exit", "ended")


def _within_core(harm: Harm, sidecars: set[str]) -> bool:
    return any({one, other}.isdisjoint(sidecars) for one, other in harm.links)


def _states(
    processes: list[Process], harms: list[Harm], sidecars: set[str]
) -> Iterator[tuple[float, float, set[str], set[str], list[tuple[str, str]]]]:
    """From when to when: the core's machines, those of them that are down, links that lead nowhere."""
    moments = {fact.t for fact in processes if _of_core(fact, sidecars)}
    for harm in harms:
        if _within_core(harm, sidecars):
            moments |= {harm.t, harm.until}
    ordered = sorted(moments)
    for t, until in zip(ordered, [*ordered[1:], math.inf], strict=True):
        core = _core(processes, sidecars, t)
        down = _down(processes, t)
        cut = [
            pair for harm in harms if harm.what == "cut" and harm.t <= t < harm.until for pair in harm.links
        ]
        cut += [(name, other) for name in down for other in core]
        yield t, until, core, down, cut


def _down(processes: list[Process], t: float) -> set[str]:
    """Machines whose process was ended or stopped by the kit, at a time."""
    found: set[str] = set()
    for fact in processes:
        if fact.t > t or fact.again:
            continue
        if fact.what in ("term", "killed", "paused"):
            found.add(fact.machine)
        elif fact.what in ("start", "resumed"):
            found.discard(fact.machine)
    return found
