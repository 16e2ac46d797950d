"""The configurations that operators send, and the look-up of a request's route in them."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import KINDS, Day, Kind, service_names

Config = dict[str, Any]
RETIRED_PATH = "/retired/"
"""Prefix of a route that only unchanged configurations have; see `build_configuration`."""

ADDED_PATH = "/added/"
"""Prefix of a route that only changed configurations have."""

UNROUTED_PATH = "/never/"
"""Prefix for which no configuration has a route."""

VERSION_PREFIX = "/version-"
"""Prefix of the routes that identify versions; see `next_version`."""

MAX_VERSION_ROUTES = 4
"""How many such routes a version has at most: its own and those of earlier versions."""

REVISIONS_PER_MOVE = 24
"""After how many revisions the routes change as in `build_configuration`, or change back."""


@dataclass(frozen=True, slots=True)
class Route:
    """A route of a configuration."""

    services: frozenset[str]  # names of the services among which its requests are split
    route_type: str


def host_name(seed: int) -> str:
    """The host name of all requests of a run, derived from the seed."""
    return f"h{seeded_random.integer(seed, 'host_name') & 0xFFFFFF:06x}.example"


def path_prefix(seed: int, kind: str) -> str:
    """The path prefix of a kind of request, derived from the seed."""
    return f"/p{seeded_random.integer(seed, 'path', kind) & 0xFFFFFF:06x}/"


def _route(path: str, kind: Kind, to: dict[str, Any]) -> dict[str, Any]:
    return {
        "identifier": f"r-{kind.name}-{path.strip('/')}",
        "route_type": kind.route_type,
        "target_ms": int(kind.aim_ms),
        "precedence": 1 if kind.worth > 1.0 else 2,
        "criteria": {"path_prefix": path},
        "treatment": {**to, "guard_timer_ms": int(kind.deadline_ms), "max_attempts": 2},
    }


def build_configuration(day: Day, seed: int, revision: int, changed: bool) -> Config:
    """Build the first configuration of a run, or the one after the planned change.

    The change moves the route of `stream-read` to the other service, splits the traffic of `audio-download`
    between both, removes one route and adds another. Each of these differences shows, at the servers or in
    the response, which of the two configurations a node has applied.

    :param changed: whether to build the one after the change
    """
    first, second = service_names(day, seed)[:2]
    rules = []
    for kind in KINDS:
        to: dict[str, Any] = {"service_name": (first, second)[kind.service]}
        if changed and kind.name == "stream-read":
            to = {"service_name": first}
        if changed and kind.name == "audio-download":
            to = {
                "weighted_split": [
                    {"service_name": second, "share": 80},
                    {"service_name": first, "share": 20},
                ]
            }
        rules.append(_route(path_prefix(seed, kind.name), kind, to))
    rules.append(_route(ADDED_PATH if changed else RETIRED_PATH, KINDS[0], {"service_name": first}))
    return {
        "revision_number": revision,
        "limit_set": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 67_108_864,
            "header_timer_ms": 3_000,
            "idle_timer_ms": 15_000,
        },
        "access_points": [{"host_name": host_name(seed), "rule_set": rules}],
        "trunk_groups": [
            {
                "identifier": name,
                "health_path": "/health",
                "max_connections": day.max_connections,
                "protocol": "h1",
                "tls": False,
                "deduplicates": False,
            }
            for name in (first, second)
        ],
    }


def version_routes(config: Config) -> list[str]:
    """The prefixes of a configuration's routes that identify versions, newest first."""
    rules = config["access_points"][0]["rule_set"]
    found = [rule["criteria"]["path_prefix"] for rule in rules]
    return [path for path in found if path.startswith(VERSION_PREFIX)]


def next_version(day: Day, seed: int, revision: int, before: Config, tag: str = "") -> Config:
    """Build a version based on another one.

    It has a route that identifies it and those of the last versions before it, so that a response shows which
    version a node has applied. The change of `build_configuration` comes and goes every `REVISIONS_PER_MOVE`
    revisions.

    :param before: the version on which it is based
    :param tag: tells different contents of the same revision apart
    """
    config = build_configuration(day, seed, revision, revision // REVISIONS_PER_MOVE % 2 == 1)
    paths = [f"{VERSION_PREFIX}{revision}{tag}/", *version_routes(before)][:MAX_VERSION_ROUTES]
    point = config["access_points"][0]
    rules = [_route(path, KINDS[0], {"service_name": service_names(day, seed)[0]}) for path in paths]
    return config | {"access_points": [point | {"rule_set": [*point["rule_set"], *rules]}]}


def make_invalid(config: Config, revision: int) -> Config:
    """Make an invalid copy of a configuration, in which a route names a service that does not exist."""
    rule = config["access_points"][0]["rule_set"][0]
    wrong = rule | {"treatment": rule["treatment"] | {"service_name": "no-such-service"}}
    point = config["access_points"][0]
    rules = [wrong, *point["rule_set"][1:]]
    return config | {"revision_number": revision, "access_points": [point | {"rule_set": rules}]}


class RouteTable:
    """The routes of one configuration, prepared for many look-ups."""

    def __init__(self, config: Config) -> None:
        self._by_host: dict[str, list[tuple[str, Route]]] = {}
        for point in config["access_points"]:
            rules = self._by_host.setdefault(point["host_name"], [])
            rules += [(rule["criteria"]["path_prefix"], _rule(rule)) for rule in point["rule_set"]]
        for rules in self._by_host.values():
            rules.sort(key=lambda one: -len(one[0]))  # stable: of equal prefixes the first one wins

    def find(self, name: str, path: str) -> Route | None:
        """The route of a request: the one of its host with the longest matching path prefix.

        :param name: the host name of the request
        """
        for path_prefix, rule in self._by_host.get(name, ()):
            if path.startswith(path_prefix):
                return rule
        return None


def _rule(rule: dict[str, Any]) -> Route:
    to = rule["treatment"]
    split = to.get("weighted_split")
    services = [part["service_name"] for part in split] if split else [to["service_name"]]
    return Route(frozenset(services), rule["route_type"])


def find_route(config: Config, name: str, path: str) -> Route | None:
    """Look up the route of one request in a configuration; see `RouteTable.find`."""
    return RouteTable(config).find(name, path)


def content_digest(config: Config) -> str:
    """A digest of the content of a configuration, which does not depend on the order of keys.

    >>> content_digest({"a": 1, "b": 2}) == content_digest({"b": 2, "a": 1})
    True
    """
    return hashlib.blake2b(json.dumps(config, sort_keys=True).encode(), digest_size=8).hexdigest()


def route_count(config: Config) -> int:
    """The number of routes in a configuration."""
    return sum(len(point["rule_set"]) for point in config["access_points"])
