"""A scenario: topology, load, seed and timeline as typed values, checked when a file is loaded.

What the values mean for each server and second is drawn in `orchidferry.testkit.world.plan` and
`orchidferry.testkit.clients.schedule`. `ScenarioError` says in one line what is wrong, by file and field.
Times are seconds inside; files write them with a unit: "250ms", "8s", "2m".
"""

from orchidferry.testkit.scenario.checks import MAX_SECONDS
from orchidferry.testkit.scenario.errors import ScenarioError
from orchidferry.testkit.scenario.model import Scenario
from orchidferry.testkit.scenario.overrides import override
from orchidferry.testkit.scenario.reading import MAX_FILE, load_scenario, read_scenario, read_traffic, shipped
from orchidferry.testkit.scenario.tables import (
    MAX_SERVERS,
    ChainSettings,
    Class,
    Clients,
    FleetSettings,
    Limits,
    Rules,
    Tier,
    Traffic,
)
from orchidferry.testkit.scenario.timeline import FAULT_TYPES, TimelineEntry

__all__ = [
    "FAULT_TYPES",
    "MAX_FILE",
    "MAX_SECONDS",
    "MAX_SERVERS",
    "ChainSettings",
    "Class",
    "Clients",
    "FleetSettings",
    "Limits",
    "Rules",
    "Scenario",
    "ScenarioError",
    "Tier",
    "TimelineEntry",
    "Traffic",
    "load_scenario",
    "override",
    "read_scenario",
    "read_traffic",
    "shipped",
]
