"""The actions that a schedule can name: planned operations, and faults of processes, disks and links.

An action is a coroutine function that takes the environment and the entry of the schedule. It returns a text
that describes its targets. An action that causes a fault also ends it, even when it is cancelled.
"""

from __future__ import annotations

from orchidferry.testkit.mesh.actions.closing import CLOSING_ACTIONS
from orchidferry.testkit.mesh.actions.isolation import ISOLATION_ACTIONS
from orchidferry.testkit.mesh.actions.links import LINK_ACTIONS
from orchidferry.testkit.mesh.actions.planned import PLANNED_ACTIONS
from orchidferry.testkit.mesh.actions.processes import PROCESS_ACTIONS
from orchidferry.testkit.mesh.actions.rolling import ROLLING_ACTIONS
from orchidferry.testkit.mesh.actions.series import SERIES_ACTIONS
from orchidferry.testkit.mesh.actions.targets import Action

ACTIONS: dict[str, Action] = (
    PLANNED_ACTIONS
    | PROCESS_ACTIONS
    | LINK_ACTIONS
    | CLOSING_ACTIONS
    | ISOLATION_ACTIONS
    | ROLLING_ACTIONS
    | SERIES_ACTIONS
)
"""All actions by the names that schedules and records use."""
