"""Faults of links between machines: cuts, delays, resets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.targets import Action, live_sidecars, random_index, target_machine
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import LinkFault
from orchidferry.testkit.mesh.relay import HEALTHY, Direction, LinkCondition

MIN_DELAY_S = 0.02
"""The shortest one-way delay of slow links."""

MAX_DELAY_S = 0.4
RESETS = 3
"""How many times in a row connections are reset."""

RESET_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class LinkSelection:
    """The links that a fault affects."""

    directions: list[Direction]
    description: str  # description of the links for the record


def _links_of_one_machine(env: Environment, scheduled: ScheduledAction) -> LinkSelection:
    """The directions from one machine to all others, to all controllers, or to one controller.

    Cutting them isolates at most one controller from the other controllers. For a machine that the schedule
    names they are always those to all others.
    """
    machine = target_machine(env, scheduled)
    others = [m for m in (*env.cores, *live_sidecars(env)) if m.name != machine.name]
    controllers = [m for m in env.cores if m.name != machine.name]
    shape = 0 if scheduled.target else random_index(env, scheduled, 3, "shape")
    if shape == 2:
        controllers = [controllers[random_index(env, scheduled, len(controllers), "other")]]
    far = others if shape == 0 else controllers
    far_names = "all" if shape == 0 else " ".join(m.name for m in far)
    return LinkSelection([(machine.name, m.name) for m in far], f"{machine.name} from {far_names}")


def reversed_directions(directions: list[Direction]) -> list[Direction]:
    """The same links in the other direction."""
    return [(receiver, sender) for sender, receiver in directions]


def both_ways(directions: list[Direction]) -> list[Direction]:
    """The same links in both directions."""
    return [*directions, *reversed_directions(directions)]


async def impose_fault(
    env: Environment, kind: str, directions: list[Direction], condition: LinkCondition, for_s: float
) -> None:
    """Set the condition of links for a while, and record the fault.

    :param kind: `LinkFault.what` in the record: cut, slow or reset
    :param for_s: duration of the fault
    """
    now = env.context.now()
    fault = LinkFault(now, now + for_s, kind, directions)
    env.context.record(fault)
    env.links.set_condition(directions, condition)
    try:
        await asyncio.sleep(for_s)
    finally:
        env.links.set_condition(directions, HEALTHY)
        fault.until = env.context.now()


async def _cut(env: Environment, scheduled: ScheduledAction) -> str:
    """Cut links in both directions."""
    links = _links_of_one_machine(env, scheduled)
    await impose_fault(env, "cut", both_ways(links.directions), LinkCondition(cut=True), scheduled.for_s)
    return links.description


async def _cut_one_way(env: Environment, scheduled: ScheduledAction) -> str:
    """Cut links in one direction: to or from the machine, chosen by the seed."""
    links = _links_of_one_machine(env, scheduled)
    inwards = random_index(env, scheduled, 2, "way") == 0
    directions = reversed_directions(links.directions) if inwards else links.directions
    await impose_fault(env, "cut", directions, LinkCondition(cut=True), scheduled.for_s)
    return f"{links.description}, {'to' if inwards else 'from'} it"


async def _slow_links(env: Environment, scheduled: ScheduledAction) -> str:
    """Delay data on links in both directions."""
    links = _links_of_one_machine(env, scheduled)
    time = f"{scheduled.at:.4f}"
    delay_s = seeded_random.uniform(env.seed, "late", time, low=MIN_DELAY_S, high=MAX_DELAY_S)
    condition = LinkCondition(delay_s=delay_s)
    await impose_fault(env, "slow", both_ways(links.directions), condition, scheduled.for_s)
    return f"{links.description}, {delay_s * 1000.0:.0f} ms"


async def _reset_links(env: Environment, scheduled: ScheduledAction) -> str:
    """Reset all connections on links, `RESETS` times."""
    links = _links_of_one_machine(env, scheduled)
    for n in range(RESETS):
        now = env.context.now()
        env.context.record(LinkFault(now, now, "reset", both_ways(links.directions)))
        env.links.reset(links.directions)
        if n < RESETS - 1:
            await asyncio.sleep(RESET_INTERVAL_S)
    return links.description


LINK_ACTIONS: dict[str, Action] = {
    "cut": _cut,
    "cut-one-way": _cut_one_way,
    "slow-link": _slow_links,
    "reset-links": _reset_links,
}
