"""Consistency checks across the fields of a scenario."""

from __future__ import annotations

from orchidferry.testkit.scenario.errors import ScenarioValueError
from orchidferry.testkit.scenario.model import Scenario
from orchidferry.testkit.scenario.tables import MAX_NODES, MAX_SERVERS
from orchidferry.testkit.scenario.timeline import FAULT_TYPES, TimelineEntry
from orchidferry.testkit.scenario.values import shown

MAX_SECONDS = 3_600.0
"""Longest duration of a scenario's arrivals."""

MAX_RECORDINGS = 8
"""How many recordings can be replayed at the same time."""

SHARES_TOLERANCE = 0.01
"""How far the sum of the classes' shares may deviate from 1."""


def check_scenario(scenario: Scenario) -> None:
    """Check that the fields of a scenario are consistent.

    :raises ScenarioValueError: naming the field that is inconsistent with others
    """
    if not scenario.tiers:
        raise ScenarioValueError("tier: at least one is needed")
    _check_control(scenario)
    _check_classes(scenario)
    _check_size(scenario)
    _check_traffic(scenario)
    _check_pools(scenario)
    zones = {chr(ord("a") + n) for n in range(scenario.fleet.zones)}
    for n, step in enumerate(scenario.timeline):
        _check_step(scenario, step, f"timeline[{n}]", zones)


def _check_control(scenario: Scenario) -> None:
    control = scenario.control
    if (control.versions or control.cuts) and not control.service:
        raise ScenarioValueError("[control]: versions and cuts need service = true")
    if control.bad >= max(1, control.versions) and control.bad:
        raise ScenarioValueError(
            f"[control].bad: {control.bad} of {control.versions} versions; the last one must be valid"
        )


def _check_classes(scenario: Scenario) -> None:
    if not scenario.classes:
        raise ScenarioValueError("class: at least one is needed")
    _check_distinct("class", [one.name for one in scenario.classes])
    _check_distinct("tier", [one.name for one in scenario.tiers])
    total = sum(one.share for one in scenario.classes)
    if abs(total - 1.0) > SHARES_TOLERANCE:
        raise ScenarioValueError(f"class: the shares sum to {total:g}, not to 1")
    for n, one in enumerate(scenario.classes):
        if one.gives_up_s < one.wanted_s:
            raise ScenarioValueError(f"class[{n}].gives_up: is less than wanted")


def _check_distinct(table: str, names: list[str]) -> None:
    for n, name in enumerate(names):
        if name in names[:n]:
            raise ScenarioValueError(f"{table}[{n}].name: {name!r} is used twice")


def _check_size(scenario: Scenario) -> None:
    if scenario.length_s > MAX_SECONDS:
        raise ScenarioValueError(f"top level.length: over {MAX_SECONDS:g} s")
    if sum(tier.servers for tier in scenario.tiers) > MAX_SERVERS:
        raise ScenarioValueError(f"tier: over {MAX_SERVERS} servers in all")
    if scenario.fleet.on and scenario.front.nodes < 2:
        raise ScenarioValueError("[fleet].on: a fleet needs two nodes at least, see [front].nodes")
    nodes = scenario.front.nodes + sum(tier.servers for tier in scenario.tiers[:-1])
    if nodes > MAX_NODES:
        raise ScenarioValueError(
            f"tier: {nodes} nodes in all (each server has one, except in the last tier); {MAX_NODES} at most"
        )


def _check_traffic(scenario: Scenario) -> None:
    if len(scenario.traffic) > MAX_RECORDINGS:
        raise ScenarioValueError(f"traffic: over {MAX_RECORDINGS} recordings")
    for n, recording in enumerate(scenario.traffic):
        if recording.to_s <= recording.from_s:
            raise ScenarioValueError(f"traffic[{n}].to: is not after from")
        if recording.retries != scenario.traffic[0].retries:
            raise ScenarioValueError(
                f"traffic[{n}].retries: {recording.retries!r} differs from the other recordings"
            )
    if scenario.traffic and any(step.do == "burst" for step in scenario.timeline):
        raise ScenarioValueError(
            "timeline: burst needs generated arrivals; for recorded ones use speed or a second recording"
        )


def _check_pools(scenario: Scenario) -> None:
    for step in scenario.timeline:
        if step.new and (step.tier != scenario.tiers[0].name or not scenario.pools.on):
            raise ScenarioValueError("timeline: new = true is for the first tier of a scenario with pools")


def _check_step(scenario: Scenario, step: TimelineEntry, where: str, zones: set[str]) -> None:
    target = FAULT_TYPES[step.do].on
    if target == "links" and not scenario.fleet.on:
        raise ScenarioValueError(f"{where}.do: {step.do!r} affects links, but [fleet] is not on")
    if step.zone and step.zone not in zones:
        raise ScenarioValueError(
            f"{where}.zone: no zone {shown(step.zone)}; the fleet has {scenario.fleet.zones}"
        )
    if step.at_s >= scenario.length_s:
        raise ScenarioValueError(f"{where}.at: not before the end at {scenario.length_s:g} s")
    if step.count and target == "servers" and step.do != "add":
        servers = scenario.tiers[scenario.tier_number(step.tier)].servers
        if step.count > servers:
            raise ScenarioValueError(f"{where}.count: {step.tier} has {servers} servers")
