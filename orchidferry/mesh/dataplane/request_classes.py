"""Routes as classes of requests, which the decision module (`orchidferry.balancing`) knows."""

from __future__ import annotations

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Repeat
from orchidferry.mesh.control.configuration import Route

HIGHEST_VALUE = 4.0  # of a response in time, for rank 0; each further rank is worth half as much
MAX_VALUED_RANK = 8
LATE_VALUE = 0.3  # of a response after the latency target, over one in time


def class_name(route: Route) -> str:
    """The name of a route's class.

    Routes that are alike have one class, so a long table costs the decision module nothing.
    """
    timing = f"{route.latency_target_ms:g}-{route.guard_timer_ms:g}"
    return f"{route.kind}-{timing}-{route.precedence}-{route.max_attempts}"


def request_class(route: Route) -> api.RequestClass:
    """The class of a route's requests."""
    return api.RequestClass(
        class_name(route),
        max(1.0, route.latency_target_ms),
        max(1.0, route.guard_timer_ms),
        HIGHEST_VALUE / 2.0 ** min(route.precedence, MAX_VALUED_RANK),
        LATE_VALUE,
        Repeat.SAFE if route.idempotent else Repeat.UNSAFE,
    )
