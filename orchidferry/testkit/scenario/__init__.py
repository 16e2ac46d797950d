"""A scenario: topology, load, seed and timeline as typed values, checked when a file is loaded.

What the values mean for each server and second is drawn in `orchidferry.testkit.world.plan` and
`orchidferry.testkit.clients.schedule`. `ScenarioError` says in one line what is wrong, by file and field.
Times are seconds inside; files write them with a unit: "250ms", "8s", "2m".
"""

from orchidferry.testkit.scenario.checks import MAX_SECONDS, ScenarioError
from orchidferry.testkit.scenario.model import Scenario
from orchidferry.testkit.scenario.reading import MAX_FILE, load_scenario, read_scenario, read_traffic, shipped
from orchidferry.testkit.scenario.tables import (
    MAX_SERVERS,
    ChainSide,
    Class,
    Clients,
    FleetSide,
    Limits,
    Rules,
    Tier,
    Traffic,
)
from orchidferry.testkit.scenario.timeline import FAULTS, Step

__all__ = [
    "FAULTS",
    "MAX_FILE",
    "MAX_SECONDS",
    "MAX_SERVERS",
    "ChainSide",
    "Class",
    "Clients",
    "FleetSide",
    "Limits",
    "Rules",
    "Scenario",
    "ScenarioError",
    "Step",
    "Tier",
    "Traffic",
    "load_scenario",
    "read_scenario",
    "read_traffic",
    "shipped",
]
