"""What a scheduled action of a day does: planned work, and faults of processes, disks and links.

An action is a coroutine function of the environment and the line of the schedule. It returns in words what it
was done to. One that causes a fault ends it itself, also when it is cancelled.
"""

from __future__ import annotations

from orchidferry.testkit.mesh.actions.closing import CLOSING_ACTIONS
from orchidferry.testkit.mesh.actions.isolation import ISOLATION_ACTIONS
from orchidferry.testkit.mesh.actions.links import LINK_ACTIONS
from orchidferry.testkit.mesh.actions.planned import PLANNED_ACTIONS
from orchidferry.testkit.mesh.actions.processes import PROCESS_ACTIONS
from orchidferry.testkit.mesh.actions.rolling import ROLLING_ACTIONS
from orchidferry.testkit.mesh.actions.targets import Action

ACTIONS: dict[str, Action] = (
    PLANNED_ACTIONS | PROCESS_ACTIONS | LINK_ACTIONS | CLOSING_ACTIONS | ISOLATION_ACTIONS | ROLLING_ACTIONS
)
"""All actions, by their names in schedules and records."""
