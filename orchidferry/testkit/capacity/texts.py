"""Configurations of any number of services, as an operator sends them and as controllers keep them."""

from __future__ import annotations

import json
import random
import string
from collections.abc import Sequence
from typing import Any

from orchidferry.mesh.control.configuration_text import compress
from orchidferry.testkit.bench.mesh_fleet import KEYED, Route, configuration

ROUTES_EACH = 4  # routes of one service; two of them keyed
SEED = 1


def names(services: int) -> list[str]:
    """Names like the operators' own, which hardly repeat: a text of them is not smaller than theirs."""
    rng = random.Random(SEED)
    return [_name(rng, 4) + str(rng.randrange(10, 100)) + _name(rng, 1) for _ in range(services)]


def _name(rng: random.Random, letters: int) -> str:
    return "".join(rng.choices(string.ascii_lowercase, k=letters))


def whole(revision: int, services: list[str], first: Sequence[Route] = ()) -> dict[str, Any]:
    """A configuration with the same number of routes for each service, after those of `first`."""
    rng = random.Random(SEED)
    routes = list(first)
    for service in services:
        for number in range(ROUTES_EACH):
            prefix = f"/{_name(rng, 4)}{rng.randrange(100, 1_000)}/"
            routes.append((prefix, service, KEYED if number % 2 else "idempotent"))
    made = configuration(revision, routes, sorted({service for _, service, _ in routes}))
    for rule in made["access_points"][0]["rule_set"]:
        rule["identifier"] = f"r-{_name(rng, 7)}"
        rule["target_ms"] = rng.choice((250, 300, 800))
    return made


def text(services: int, revision: int = 1) -> bytes:
    """Such a configuration as the operator sends it.

    >>> len(text(20)) > 15_000
    True
    """
    return json.dumps(whole(revision, names(services)), separators=(",", ":")).encode()


def kept(services: int, revision: int = 1) -> bytes:
    """The same as controllers keep it and nodes pass it on."""
    return compress(text(services, revision))


def one_route(services: int) -> bytes:
    """What changes if one route does, as text."""
    rule = whole(1, names(services))["access_points"][0]["rule_set"][0]
    return json.dumps(rule, separators=(",", ":")).encode()
