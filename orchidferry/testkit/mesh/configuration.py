"""Configurations as the operator sends them, and the route that one has for a request."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import KINDS, Day, Kind, service_names

Config = dict[str, Any]
RETIRED_PATH = "/retired/"
ADDED_PATH = "/added/"
UNROUTED_PATH = "/never/"
# prefix of versions' own routes; how many of them a version has
VERSION_PREFIX = "/version-"
MAX_VERSION_ROUTES = 4
REVISIONS_PER_MOVE = 24  # in numbers of versions: how often routes move to other services and back


@dataclass(frozen=True, slots=True)
class Route:
    """A route of a configuration."""

    services: frozenset[str]
    route_type: str


def host_name(seed: int) -> str:
    """The host that all requests of a run name."""
    return f"h{seeded_random.integer(seed, 'host_name') & 0xFFFFFF:06x}.example"


def path_prefix(seed: int, kind: str) -> str:
    """The prefix of the paths of a kind of request."""
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
    """The day's first configuration, or the one after the change.

    The change moves the streams' route to the other service, splits the downloads' one, and adds and
    drops a route: each shows at servers or in an answer which of the two a node went by.
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
    """The prefixes of routes that show by name which version they came with, newest first."""
    rules = config["access_points"][0]["rule_set"]
    found = [rule["criteria"]["path_prefix"] for rule in rules]
    return [path for path in found if path.startswith(VERSION_PREFIX)]


def next_version(day: Day, seed: int, revision: int, before: Config, tag: str = "") -> Config:
    """A version on top of another.

    It has a route of its own, those of the versions before it for a while, and now and then the change of
    `build_configuration`.

    :param before: the version that it builds on
    :param tag: tells contents of one revision apart
    """
    config = build_configuration(day, seed, revision, revision // REVISIONS_PER_MOVE % 2 == 1)
    paths = [f"{VERSION_PREFIX}{revision}{tag}/", *version_routes(before)][:MAX_VERSION_ROUTES]
    point = config["access_points"][0]
    rules = [_route(path, KINDS[0], {"service_name": service_names(day, seed)[0]}) for path in paths]
    return config | {"access_points": [point | {"rule_set": [*point["rule_set"], *rules]}]}


def make_invalid(config: Config, revision: int) -> Config:
    """A copy that is invalid: a route names a service that does not exist."""
    rule = config["access_points"][0]["rule_set"][0]
    wrong = rule | {"treatment": rule["treatment"] | {"service_name": "no-such-service"}}
    point = config["access_points"][0]
    rules = [wrong, *point["rule_set"][1:]]
    return config | {"revision_number": revision, "access_points": [point | {"rule_set": rules}]}


class RouteTable:
    """The routes of one configuration, for many look-ups."""

    def __init__(self, config: Config) -> None:
        self._by_host: dict[str, list[tuple[str, Route]]] = {}
        for point in config["access_points"]:
            rules = self._by_host.setdefault(point["host_name"], [])
            rules += [(rule["criteria"]["path_prefix"], _rule(rule)) for rule in point["rule_set"]]
        for rules in self._by_host.values():
            rules.sort(key=lambda one: -len(one[0]))  # stable: of two alike the first counts

    def find(self, name: str, path: str) -> Route | None:
        """The route of a request: of that host, the longest prefix that begins its path."""
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
    """The route of one request in a configuration."""
    return RouteTable(config).find(name, path)


def content_digest(config: Config) -> str:
    """A digest of all that a configuration says.

    >>> content({"a": 1, "b": 2}) == content({"b": 2, "a": 1})
    True
    """
    return hashlib.blake2b(json.dumps(config, sort_keys=True).encode(), digest_size=8).hexdigest()


def route_count(config: Config) -> int:
    """How many routes a configuration has."""
    return sum(len(point["rule_set"]) for point in config["access_points"])
