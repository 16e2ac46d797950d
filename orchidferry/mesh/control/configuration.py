"""A parsed configuration with its routes, services and limits, and the lookup of a request's route.

The configuration is stored and distributed as the exact bytes that the operator sent. Controllers validate
the text before they commit it (`orchidferry.mesh.control.configuration_validation`); nodes parse committed
texts without the validation library.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

IDEMPOTENT_KINDS = frozenset(("idempotent", "download"))
NO_REVISION = -1  # the revision is unknown
DIGEST_BYTES = 16
DEFAULT_HEALTH_PATH = "/health"
DEFAULT_MAX_CONNECTIONS = 100


@dataclass(frozen=True, slots=True)
class Route:
    """The destination and the treatment of requests for one host and path prefix.

    :param id: identifier of the route, chosen by the operator.
    :param host: host name, compared without regard to case.
    :param prefix: path prefix; begins and ends with a slash.
    :param kind: one of `configuration_schema.ROUTE_KINDS`.
    :param latency_target_ms: response time up to which a response has its full value, in milliseconds.
    :param precedence: precedence of the requests; 0 is the highest.
    :param guard_timer_ms: maximum duration of a request, in milliseconds.
    :param max_attempts: maximum number of attempts per request.
    :param split: names of services, each with its weight in the split of the requests.
    """

    id: str
    host: str
    prefix: str
    kind: str
    latency_target_ms: float
    precedence: int
    guard_timer_ms: float
    max_attempts: int
    split: tuple[tuple[str, float], ...]

    @property
    def idempotent(self) -> bool:
        """Whether a request may safely be executed more than once."""
        return self.kind in IDEMPOTENT_KINDS


@dataclass(frozen=True, slots=True)
class Service:
    """The configuration of a service.

    :param health_path: path of the health check.
    :param max_connections: maximum number of connections to one server, from all nodes together.
    :param deduplicates: whether its servers detect a repeated operation key and don't run the request again.
    """

    name: str
    health_path: str = DEFAULT_HEALTH_PATH
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    deduplicates: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One revision of the configuration.

    :param services: services by name.
    :param limits: values of the limits by name.
    """

    revision: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)


class RouteTable:
    """Routes by host and path prefix; the route with the longest matching prefix is used.

    >>> route = Route("a", "h", "/x/", "idempotent", 1, 0, 1, 1, (("s", 1),))
    >>> RouteTable([route]).find("H:80", "/x/y").id, RouteTable([route]).find("h", "/xy/")
    ('a', None)
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None if there is none.

        :param host: host of the request, with or without a port.
        :param path: path of the request.
        """
        by_prefix = self._by_host.get(host.lower()) or self._by_host.get(host.lower().partition(":")[0])
        if by_prefix is None:
            return None
        slash = len(path)
        while slash >= 0:
            slash = path.rfind("/", 0, slash)
            if slash < 0:
                return None
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
        return None


def digest(raw: bytes) -> bytes:
    """Return the digest that identifies a configuration, of the exact bytes that the operator sent."""
    return hashlib.sha256(raw).digest()[:DIGEST_BYTES]


def parse(raw: bytes) -> Configuration:
    """Parse the text of a configuration that has been validated."""
    data = json.loads(raw)
    routes = []
    for point in data["access_points"]:
        for rule in point["rule_set"]:
            routes.append(_route(point["host_name"], rule))
    services = {service["identifier"]: _service(service) for service in data["trunk_groups"]}
    limits = {name: float(value) for name, value in data.get("limit_set", {}).items()}
    return Configuration(int(data["revision_number"]), tuple(routes), services, limits)


def _service(data: dict[str, Any]) -> Service:
    return Service(
        data["identifier"],
        data.get("health_path", DEFAULT_HEALTH_PATH),
        int(data.get("max_connections", DEFAULT_MAX_CONNECTIONS)),
        bool(data.get("deduplicates", False)),
    )


def _route(host: str, rule: dict[str, Any]) -> Route:
    treatment = rule["treatment"]
    weighted_split = treatment.get("weighted_split")
    if weighted_split:
        split = tuple((entry["service_name"], float(entry["share"])) for entry in weighted_split)
    else:
        split = ((treatment["service_name"], 1.0),)
    return Route(
        id=rule["identifier"],
        host=host,
        prefix=rule["criteria"]["path_prefix"],
        kind=rule["route_type"],
        latency_target_ms=float(rule["target_ms"]),
        precedence=int(rule.get("precedence", 0)),
        guard_timer_ms=float(treatment["guard_timer_ms"]),
        max_attempts=int(treatment["max_attempts"]),
        split=split,
    )
