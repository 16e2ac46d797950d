"""Scenarios: topology, load, seed and timeline as typed values, which are validated when a file is loaded.

`orchidferry.testkit.world.plan` and `orchidferry.testkit.clients.schedule` derive the events of servers and
clients from a scenario. The message of a `ScenarioError` is one line that names file and field. Attributes
hold times in seconds; files give them with a unit, such as "250ms", "8s" or "2m".
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
