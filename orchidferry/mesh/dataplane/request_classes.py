"""Maps routes to the request classes of the balancer (`orchidferry.balancing`)."""

from __future__ import annotations

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Repeat
from orchidferry.mesh.control.configuration import Route

HIGHEST_VALUE = 4.0  # value of a response within the latency target for rank 0; it halves with each rank
MAX_VALUED_RANK = 8  # the value does not fall further for ranks above this
LATE_VALUE = 0.3  # value of a response after the latency target, relative to one within it


def class_name(route: Route) -> str:
    """Return the name of a route's request class.

    Routes with the same properties share a class, so that a long route table costs the balancer nothing.
    """
    timing = f"{route.latency_target_ms:g}-{route.guard_timer_ms:g}"
    return f"{route.kind}-{timing}-{route.precedence}-{route.max_attempts}"


def request_class(route: Route) -> api.RequestClass:
    """Return the request class of a route."""
    return api.RequestClass(
        class_name(route),
        max(1.0, route.latency_target_ms),
        max(1.0, route.guard_timer_ms),
        HIGHEST_VALUE / 2.0 ** min(route.precedence, MAX_VALUED_RANK),
        LATE_VALUE,
        Repeat.SAFE if route.idempotent else Repeat.UNSAFE,
    )
