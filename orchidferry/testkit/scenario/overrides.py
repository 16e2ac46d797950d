"""Replaces values of a scenario by options of the command line."""

from __future__ import annotations

from dataclasses import replace

from orchidferry.testkit.scenario.checks import check_scenario
from orchidferry.testkit.scenario.errors import ScenarioError, ScenarioValueError
from orchidferry.testkit.scenario.model import Scenario


def override(
    scenario: Scenario,
    seed: int | None = None,
    length_s: float | None = None,
    protocol: str | None = None,
    loss: float | None = None,
) -> Scenario:
    """Replace the values that are given, and validate the scenario again.

    :param length_s: duration of the arrivals in seconds
    :param protocol: h1 or h3
    :param loss: fraction of datagrams that are lost
    :raises ScenarioError: if the values are inconsistent, such as a timeline that exceeds the duration
    """
    changed = scenario if seed is None else replace(scenario, seed=seed)
    if protocol is not None:
        changed = replace(changed, network=replace(changed.network, protocol=protocol))
    if loss is not None:
        changed = replace(changed, network=replace(changed.network, loss=loss))
    if length_s is not None:
        changed = replace(changed, length_s=length_s)
    try:
        check_scenario(changed)
    except ScenarioValueError as problem:
        raise ScenarioError(f"{scenario.name}: {problem}") from None
    return changed
