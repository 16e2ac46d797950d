"""A scenario: topology, load, seed and timeline as typed values, checked when a file is loaded.

What the values mean for each server and second is drawn in `rehearsal.world.plan` and
`rehearsal.clients.schedule`. `BadScenario` says in one line what is wrong, by file and field. Times are
seconds inside; files write them with a unit: "250ms", "8s", "2m".
"""

from rehearsal.scenario.checks import MAX_SECONDS, BadScenario
from rehearsal.scenario.model import Scenario
from rehearsal.scenario.reading import MAX_FILE, load_scenario, read_scenario, read_traffic, shipped
from rehearsal.scenario.tables import (
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
from rehearsal.scenario.timeline import FAULTS, Step

__all__ = [
    "FAULTS", "MAX_FILE", "MAX_SECONDS", "MAX_SERVERS", "BadScenario", "ChainSide", "Class", "Clients",
    "FleetSide", "Limits", "Rules", "Scenario", "Step", "Tier", "Traffic", "load_scenario", "read_scenario",
    "read_traffic", "shipped",
]  # fmt: skip
