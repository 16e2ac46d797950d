"""Computes when machines of the mesh were disconnected, from the faults that the test kit injected.

Rules with a time bound apply only to connected machines. The unexpected end of a process is no excuse: such a
process counts as running throughout, and its restart is ignored.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from orchidferry.testkit.mesh.facts import LinkFault, Process

Link = tuple[str, str]
"""A link in one direction: the sending machine and the receiving machine."""

SpansByMachine = dict[str, list[tuple[float, float]]]
"""By machine, the start and the end of each span, in seconds on the record's clock."""

ALL_MACHINES = "*"
"""The key of the spans in which the controllers were unsettled, which affects every machine."""


@dataclass(frozen=True, slots=True)
class FaultHistory:
    """The process events and link faults of a run."""

    processes: list[Process]
    link_faults: list[LinkFault]
    sidecars: frozenset[str]  # machines that run a sidecar; all others are controllers

    def controllers(self, t: float) -> set[str]:
        """The machines that are controllers at time `t`, whether or not their processes run."""
        removed = {fact.machine for fact in self.processes if fact.what == "removed" and fact.t <= t}
        started = {fact.machine for fact in self.processes if fact.what == "start" and fact.t <= t}
        return started - removed - self.sidecars

    def stopped(self, t: float) -> set[str]:
        """The machines with a process that the test kit has ended or paused by time `t`."""
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
        """The actions of the test kit on processes of controllers."""
        for fact in self.processes:
            if fact.machine not in self.sidecars and not fact.again and fact.what not in ("exit", "ended"):
                yield fact

    def controller_link_faults(self) -> Iterator[LinkFault]:
        """Faults of links between two controllers."""
        for fault in self.link_faults:
            if any({one, other}.isdisjoint(self.sidecars) for one, other in fault.links):
                yield fault

    def controller_states(self) -> Iterator[ControllerState]:
        """The states of the controllers, in order of time; a new one begins with each action or fault."""
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
    """The processes and links of the controllers from `t` to `until`."""

    t: float
    until: float
    controllers: set[str]
    stopped: set[str]  # machines with a process that the test kit has ended or paused
    broken_links: list[Link]  # cut links, and all links from stopped machines to controllers

    def without_majority(self) -> Iterator[str]:
        """Controllers that run but have no links in both directions to a majority."""
        for name in self.controllers - self.stopped:
            if not reaches_majority(name, self.controllers, self.broken_links):
                yield name

    def has_majority(self) -> bool:
        """Whether some running controller has links in both directions to a majority."""
        return any(
            reaches_majority(name, self.controllers, self.broken_links)
            for name in self.controllers - self.stopped
        )


def reaches_majority(name: str, controllers: set[str], broken_links: Iterable[Link]) -> bool:
    """Whether a controller, itself included, has links in both directions to over half of the controllers."""
    separated = {other for link in broken_links for one, other in (link, link[::-1]) if one == name}
    return 2 * len(controllers - separated) > len(controllers)


def disconnected_spans(history: FaultHistory, contact_s: float) -> SpansByMachine:
    """The spans in which each machine was disconnected.

    :param contact_s: seconds after a fault until a machine counts as connected again; included in the spans
    :returns: spans by machine; those of `ALL_MACHINES` are the times in which the controllers were unsettled
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
                # A cut counts only if it separates the machine from a controller that reaches a majority.
                if machine in history.sidecars and (fault.what != "cut" or other in controllers - isolated):
                    found[machine].append((fault.t, fault.until + contact_s))
    return found


def _add_stopped_spans(found: SpansByMachine, history: FaultHistory, contact_s: float) -> None:
    """Add the spans in which processes of sidecar machines were stopped or paused."""
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
    """The spans in which the controllers were unsettled.

    Controllers are unsettled for `contact_s` after each action on their processes and after the start and the
    end of each fault of a link between them, while one of these links is slow, and while no controller
    reaches a majority.
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
    """By controller, the spans in which it ran but had no links in both directions to a majority."""
    found: SpansByMachine = defaultdict(list)
    for state in history.controller_states():
        for name in state.without_majority():
            spans = found[name]
            if spans and spans[-1][1] == state.t:
                spans[-1] = (spans[-1][0], state.until)
            else:
                spans.append((state.t, state.until))
    return found
