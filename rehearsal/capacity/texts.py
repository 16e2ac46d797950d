"""Configurations of any number of services, as an operator sends them."""

from __future__ import annotations

import json
from typing import Any

from rehearsal.bench.mesh_fleet import KEYED, configuration

ROUTES_EACH = 4  # routes of one service; a third of them keyed
REVISION = 1


def names(services: int) -> list[str]:
    """Names as long as the operators' own."""
    return [f"service-{number:04d}" for number in range(services)]


def whole(
    revision: int, services: list[str], first: list[tuple[str, str, str]] | None = None
) -> dict[str, Any]:
    """A configuration with the same number of routes for each service, after those of `first`."""
    routes = list(first or ())
    for service in services:
        for number in range(ROUTES_EACH):
            kind = KEYED if number % 3 == 0 else "idempotent"
            routes.append((f"/{service}/{number}/", service, kind))
    return configuration(revision, routes, sorted({service for _, service, _ in routes}))


def text(services: int) -> bytes:
    """Such a configuration as bytes.

    >>> len(text(20)) > 15_000
    True
    """
    return json.dumps(whole(REVISION, names(services)), separators=(",", ":")).encode()
