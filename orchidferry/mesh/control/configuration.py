"""A configuration: read and checked whole, and its routes as a table to look a request up in.

What is kept and spread is the very text that the operator sent. Controllers check it before it is taken;
nodes read what controllers took, without the library for checking.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.errors import Rejection, RejectionReason

REPEATABLE = frozenset(("idempotent", "download"))
KINDS = ("idempotent", "non_idempotent", "keyed", "download")
AIM_OVER_MS = 60_000.0  # so far, at least, a target over its guard timer can't be meant


@dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes."""

    id: str
    host: str
    prefix: str
    kind: str
    aim_ms: float
    rank: int  # 0 is highest
    guard_ms: float
    attempts: int
    split: tuple[tuple[str, float], ...]  # services and their shares

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in REPEATABLE


@dataclass(frozen=True, slots=True)
class Service:
    """What the operator says of a service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    deduplicates: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version."""

    revision: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)


class Table:
    """Routes by host and prefix; the longest prefix that begins a path wins.

    >>> r = Route("a", "h", "/x/", "idempotent", 1, 0, 1, 1, (("s", 1),))
    >>> Table([r]).find("H:80", "/x/y").id, Table([r]).find("h", "/xy/")
    ('a', None)
    """

    def __init__(self, routes: tuple[Route, ...] | list[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """The route of a request; None where there is none."""
        prefixes = self._hosts.get(host.lower()) or self._hosts.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        at = len(path)
        while at >= 0:
            at = path.rfind("/", 0, at)
            if at < 0:
                return None
            found = prefixes.get(path[: at + 1])
            if found is not None:
                return found
        return None


def digest(raw: bytes) -> bytes:
    """What tells two configurations apart: the very bytes that were sent."""
    return hashlib.sha256(raw).digest()[:16]


def parse(raw: bytes) -> Configuration:
    """Read a configuration that was checked before."""
    data = json.loads(raw)
    routes = []
    for point in data["access_points"]:
        for rule in point["rule_set"]:
            routes.append(_route(point["host_name"], rule))
    services = {
        s["identifier"]: Service(
            s["identifier"],
            s.get("health_path", "/health"),
            int(s.get("max_connections", 100)),
            bool(s.get("deduplicates", False)),
        )
        for s in data["trunk_groups"]
    }
    limits = {name: float(value) for name, value in data.get("limit_set", {}).items()}
    return Configuration(int(data["revision_number"]), tuple(routes), services, limits)


def _route(host: str, rule: dict[str, Any]) -> Route:
    treatment = rule["treatment"]
    split = treatment.get("weighted_split")
    pairs = (
        tuple((s["service_name"], float(s["share"])) for s in split)
        if split
        else ((treatment["service_name"], 1.0),)
    )
    return Route(
        rule["identifier"],
        host,
        rule["criteria"]["path_prefix"],
        rule["route_type"],
        float(rule["target_ms"]),
        int(rule.get("precedence", 0)),
        float(treatment["guard_timer_ms"]),
        int(treatment["max_attempts"]),
        pairs,
    )


def _flat(errors: Any, path: str = "") -> Iterator[str]:
    if isinstance(errors, dict):
        for name, inner in errors.items():
            yield from _flat(inner, f"{path}.{name}" if path else str(name))
    else:
        yield f"{path}: {' '.join(map(str, errors))}"


_SCHEMA: Any = None


def _schema() -> Any:
    """Made at the first check: the library takes a while to load on a small machine."""
    global _SCHEMA
    if _SCHEMA is None:
        from marshmallow import EXCLUDE, Schema, fields, validate

        above = validate.Range(min=1)
        least = validate.Range(min=0)

        class Open(Schema):
            class Meta:
                unknown = EXCLUDE

        class Split(Open):
            service_name = fields.String(required=True)
            share = fields.Float(required=True, validate=least)

        class Criteria(Open):
            path_prefix = fields.String(
                required=True, validate=validate.Regexp(r"\A/", error="must begin with a slash")
            )

        class Treatment(Open):
            service_name = fields.String()
            weighted_split = fields.List(fields.Nested(Split), validate=validate.Length(min=1))
            guard_timer_ms = fields.Float(required=True, validate=validate.Range(min=0, min_inclusive=False))
            max_attempts = fields.Integer(required=True, validate=above)

        class Rule(Open):
            identifier = fields.String(required=True)
            route_type = fields.String(required=True, validate=validate.OneOf(KINDS))
            target_ms = fields.Float(required=True, validate=least)
            precedence = fields.Integer(validate=least)
            criteria = fields.Nested(Criteria, required=True)
            treatment = fields.Nested(Treatment, required=True)

        class Point(Open):
            host_name = fields.String(required=True)
            rule_set = fields.List(fields.Nested(Rule), required=True)

        class Trunk(Open):
            identifier = fields.String(required=True)
            health_path = fields.String()
            max_connections = fields.Integer(validate=above)
            protocol = fields.String()
            tls = fields.Boolean()
            deduplicates = fields.Boolean()

        class Whole(Open):
            revision_number = fields.Integer(required=True, strict=True, validate=above)
            limit_set = fields.Dict(keys=fields.String(), values=fields.Float(validate=least))
            access_points = fields.List(fields.Nested(Point), required=True)
            trunk_groups = fields.List(fields.Nested(Trunk), required=True)

        _SCHEMA = Whole()
    return _SCHEMA


def check(raw: bytes) -> Configuration | Rejection:
    """Read a configuration and check it whole; the fault names the field."""
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError) as problem:
        return Rejection(RejectionReason.MALFORMED, f"configuration: {problem}")
    errors = _schema().validate(data)
    if errors:
        return Rejection(RejectionReason.INVALID, f"configuration: {next(_flat(errors))}")
    try:
        configuration = parse(raw)
    except (KeyError, TypeError, ValueError) as problem:
        return Rejection(RejectionReason.INVALID, f"configuration: {problem!r}")
    if len(configuration.services) < len(data["trunk_groups"]):
        return Rejection(RejectionReason.INVALID, "configuration: trunk_groups: an identifier is there twice")
    return _whole(configuration) or configuration


def _whole(configuration: Configuration) -> Rejection | None:
    """What holds between the parts of a configuration."""
    identifiers = set()
    places = set()
    for route in configuration.routes:
        where = f"configuration: route {route.id}"
        if route.id in identifiers:
            return Rejection(RejectionReason.INVALID, f"{where}: its identifier is there twice")
        identifiers.add(route.id)
        for service, _ in route.split:
            if service not in configuration.services:
                return Rejection(
                    RejectionReason.INVALID, f"{where}: service {service} is not in trunk_groups"
                )
        if sum(share for _, share in route.split) <= 0:
            return Rejection(RejectionReason.INVALID, f"{where}: weighted_split has no share above 0")
        place = (route.host.lower(), route.prefix)
        if place in places:
            return Rejection(RejectionReason.INVALID, f"{where}: path_prefix {route.prefix} is there twice")
        places.add(place)
        if route.aim_ms - route.guard_ms >= AIM_OVER_MS:
            return Rejection(
                RejectionReason.INVALID, f"{where}: target_ms lies a minute or more over guard_timer_ms"
            )
    return None
