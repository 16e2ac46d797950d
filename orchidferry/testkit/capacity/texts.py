"""Configurations for any number of services, as an operator sends them and as controllers store them."""

from __future__ import annotations

import json
import random
import string
from collections.abc import Sequence
from typing import Any

from orchidferry.mesh.control.configuration_text import compress
from orchidferry.testkit.bench.mesh_fleet import KEYED, Route, configuration

ROUTES_PER_SERVICE = 4  # routes of each service, half of them with operation keys
SEED = 1


def service_names(services: int) -> list[str]:
    """Return random service names.

    Like the names that operators choose they hardly repeat, so that the text does not compress better than
    theirs.
    """
    rng = random.Random(SEED)
    return [
        _random_letters(rng, 4) + str(rng.randrange(10, 100)) + _random_letters(rng, 1)
        for _ in range(services)
    ]


def _random_letters(rng: random.Random, letters: int) -> str:
    return "".join(rng.choices(string.ascii_lowercase, k=letters))


def configuration_for(revision: int, services: list[str], first: Sequence[Route] = ()) -> dict[str, Any]:
    """Return a configuration with the same number of routes for each service.

    :param revision: number of the revision
    :param services: names of the services
    :param first: routes that precede the generated ones
    """
    rng = random.Random(SEED)
    routes = list(first)
    for service in services:
        for number in range(ROUTES_PER_SERVICE):
            prefix = f"/{_random_letters(rng, 4)}{rng.randrange(100, 1_000)}/"
            routes.append((prefix, service, KEYED if number % 2 else "idempotent"))
    document = configuration(revision, routes, sorted({service for _, service, _ in routes}))
    for rule in document["access_points"][0]["rule_set"]:
        rule["identifier"] = f"r-{_random_letters(rng, 7)}"
        rule["target_ms"] = rng.choice((250, 300, 800))
    return document


def configuration_text(services: int, revision: int = 1) -> bytes:
    """Return the text of a configuration as the operator sends it.

    :param services: number of services
    :param revision: number of the revision

    >>> len(configuration_text(20)) > 15_000
    True
    """
    return json.dumps(configuration_for(revision, service_names(services)), separators=(",", ":")).encode()


def compressed_configuration(services: int, revision: int = 1) -> bytes:
    """Return the compressed text of a configuration, as controllers store it and nodes forward it."""
    return compress(configuration_text(services, revision))


def route_text(services: int) -> bytes:
    """Return the text of one route, which is the part that changes if one route does."""
    rule = configuration_for(1, service_names(services))["access_points"][0]["rule_set"][0]
    return json.dumps(rule, separators=(",", ":")).encode()
