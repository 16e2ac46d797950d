"""When machines of the mesh were disconnected, from what the kit did to processes and links.

Rules with a time bound apply to connected machines alone. A process that ends by itself counts as running all
the time, and its restart as nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from orchidferry.testkit.mesh.facts import LinkFault, Process

Link = tuple[str, str]
"""The machine that sends and the one that receives."""

SpansByMachine = dict[str, list[tuple[float, float]]]

ALL_MACHINES = "*"
"""The key of spans in which the controllers were unsettled, which concerns every machine."""


@dataclass(frozen=True, slots=True)
class FaultHistory:
    """All that the kit did to processes and links in a run."""

    processes: list[Process]
    link_faults: list[LinkFault]
    sidecars: frozenset[str]  # machines that are no controllers

    def controllers(self, t: float) -> set[str]:
        """The machines that are controllers at a time, whether they run or not."""
        removed = {fact.machine for fact in self.processes if fact.what == "removed" and fact.t <= t}
        started = {fact.machine for fact in self.processes if fact.what == "start" and fact.t <= t}
        return started - removed - self.sidecars

    def stopped(self, t: float) -> set[str]:
        """Machines whose process was ended or paused by the kit, at a time."""
        found: set[str] = set()
        for fact in self.processes:
            if fact.t > t or fact.again:
                continue
            if fact.what in ("term", "killed", "paused"):
                found.add(fact.machine)
            elif fact.what in ("start", "resumed"):
                found.discard(fact.machine)
        return found

    def controller_processes(self) -> Iterator[Process]:
        """What the kit did to processes of controllers."""
        for fact in self.processes:
            if fact.machine not in self.sidecars and not fact.again and fact.what not in ("exit", "ended"):
                yield fact

    def controller_link_faults(self) -> Iterator[LinkFault]:
        """Faults of links between two controllers."""
        for fault in self.link_faults:
            if any({one, other}.isdisjoint(self.sidecars) for one, other in fault.links):
                yield fault

    def controller_states(self) -> Iterator[ControllerState]:
        """The states of the controllers, one after another."""
        moments = {fact.t for fact in self.controller_processes()}
        for fault in self.controller_link_faults():
            moments |= {fault.t, fault.until}
        ordered = sorted(moments)
        for t, until in zip(ordered, [*ordered[1:], math.inf], strict=True):
            controllers = self.controllers(t)
            stopped = self.stopped(t)
            broken_links = [
                link
                for fault in self.link_faults
                if fault.what == "cut" and fault.t <= t < fault.until
                for link in fault.links
            ]
            broken_links += [(name, other) for name in stopped for other in controllers]
            yield ControllerState(t, until, controllers, stopped, broken_links)


@dataclass(frozen=True, slots=True)
class ControllerState:
    """What the controllers were able to do from `t` to `until`."""

    t: float
    until: float
    controllers: set[str]
    stopped: set[str]
    broken_links: list[Link]

    def without_majority(self) -> Iterator[str]:
        """Controllers that run, and have no path both ways to a majority."""
        for name in self.controllers - self.stopped:
            if not reaches_majority(name, self.controllers, self.broken_links):
                yield name

    def has_majority(self) -> bool:
        """Whether some controller runs and has a path both ways to a majority."""
        return any(
            reaches_majority(name, self.controllers, self.broken_links)
            for name in self.controllers - self.stopped
        )


def reaches_majority(name: str, controllers: set[str], broken_links: Iterable[Link]) -> bool:
    """Whether a controller has a path both ways to over half of them, itself included."""
    separated = {other for link in broken_links for one, other in (link, link[::-1]) if one == name}
    return 2 * len(controllers - separated) > len(controllers)


def disconnected_spans(history: FaultHistory, contact_s: float) -> SpansByMachine:
    """When each machine was disconnected.

    :param contact_s: seconds after a fault until a machine counts as connected again; included in the spans
    :returns: spans by machine; those of `ALL_MACHINES` are when the controllers were unsettled
    """
    found: SpansByMachine = defaultdict(list)
    found[ALL_MACHINES] += _unsettled_spans(history, contact_s)
    _add_stopped_spans(found, history, contact_s)
    for fault in history.link_faults:
        controllers = history.controllers(fault.t)
        isolated = {
            name
            for name in controllers
            if fault.what == "cut" and not reaches_majority(name, controllers, fault.links)
        }
        for link in fault.links:
            for machine, other in (link, link[::-1]):
                # A cut counts where it is from a controller that reaches over half of them.
                if machine in history.sidecars and (fault.what != "cut" or other in controllers - isolated):
                    found[machine].append((fault.t, fault.until + contact_s))
    return found


def _add_stopped_spans(found: SpansByMachine, history: FaultHistory, contact_s: float) -> None:
    """Add when processes of sidecar machines were stopped or paused."""
    stopped_at: dict[str, float] = {}
    for fact in history.processes:
        if fact.machine not in history.sidecars or fact.again:
            continue
        if fact.what in ("term", "killed", "paused"):
            stopped_at.setdefault(fact.machine, fact.t)
        elif fact.what in ("start", "resumed"):
            found[fact.machine].append((stopped_at.pop(fact.machine, fact.t), fact.t + contact_s))
    for machine, since in stopped_at.items():
        found[machine].append((since, math.inf))


def _unsettled_spans(history: FaultHistory, contact_s: float) -> list[tuple[float, float]]:
    """When the controllers were unsettled.

    They are from each thing that is done to them for the time of contact, while one of their links is slow,
    and while none of them reaches a majority.
    """
    found = [(fact.t, fact.t + contact_s) for fact in history.controller_processes()]
    for fault in history.controller_link_faults():
        if fault.what == "slow":
            found.append((fault.t, fault.until + contact_s))
        else:
            found += [(t, t + contact_s) for t in (fault.t, fault.until)]
    found += [(state.t, state.until) for state in history.controller_states() if not state.has_majority()]
    return found


def spans_without_majority(history: FaultHistory) -> SpansByMachine:
    """When each controller ran, but had no path both ways to a majority of them."""
    found: SpansByMachine = defaultdict(list)
    for state in history.controller_states():
        for name in state.without_majority():
            spans = found[name]
            if spans and spans[-1][1] == state.t:
                spans[-1] = (spans[-1][0], state.until)
            else:
                spans.append((state.t, state.until))
    return found
