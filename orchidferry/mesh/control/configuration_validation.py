"""Validation of a configuration sent by an operator, before it is committed."""

from __future__ import annotations

import json
from collections.abc import Iterator
from functools import cache
from typing import Any

from orchidferry.mesh.control.configuration import Configuration, parse
from orchidferry.mesh.errors import Rejection, RejectionReason

# A latency target that exceeds the guard timer by this much must be a mistake.
MAX_TARGET_OVER_GUARD_MS = 60_000.0


@cache
def _schema() -> Any:
    from orchidferry.mesh.control.configuration_schema import ConfigurationSchema

    return ConfigurationSchema()


def validate(raw: bytes) -> Configuration | Rejection:
    """Parse and validate a configuration.

    :returns: the configuration, or a rejection that names the first invalid field.
    """
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError) as problem:
        return Rejection(RejectionReason.MALFORMED, f"configuration: {problem}")
    errors = _schema().validate(data)
    if errors:
        return _invalid(next(_flatten(errors)))
    try:
        configuration = parse(raw)
    except (KeyError, TypeError, ValueError) as problem:
        return _invalid(f"{problem!r}")
    if len(configuration.services) < len(data["trunk_groups"]):
        return _invalid("trunk_groups: an identifier is there twice")
    problem_line = _find_inconsistency(configuration)
    return configuration if problem_line is None else _invalid(problem_line)


def _invalid(problem: str) -> Rejection:
    return Rejection(RejectionReason.INVALID, f"configuration: {problem}")


def _flatten(errors: Any, path: str = "") -> Iterator[str]:
    """Yield one line for each error in marshmallow's nested error messages."""
    if isinstance(errors, dict):
        for name, inner in errors.items():
            yield from _flatten(inner, f"{path}.{name}" if path else str(name))
    else:
        yield f"{path}: {' '.join(map(str, errors))}"


def _find_inconsistency(configuration: Configuration) -> str | None:
    """Return the first contradiction between parts of a configuration; None if there is none."""
    ids = set()
    hosts_and_prefixes = set()
    for route in configuration.routes:
        where = f"route {route.id}"
        if route.id in ids:
            return f"{where}: its identifier is there twice"
        ids.add(route.id)
        for service, _ in route.split:
            if service not in configuration.services:
                return f"{where}: service {service} is not in trunk_groups"
        if sum(weight for _, weight in route.split) <= 0:
            return f"{where}: weighted_split has no share above 0"
        host_and_prefix = (route.host.lower(), route.prefix)
        if host_and_prefix in hosts_and_prefixes:
            return f"{where}: path_prefix {route.prefix} is there twice"
        hosts_and_prefixes.add(host_and_prefix)
        if route.latency_target_ms - route.guard_timer_ms >= MAX_TARGET_OVER_GUARD_MS:
            return f"{where}: target_ms lies a minute or more over guard_timer_ms"
    return None
