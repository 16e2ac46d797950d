"""Example configurations as an operator sends them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


def rule(n: int = 0, **treatment: Any) -> dict[str, Any]:
    return {
        "identifier": f"r{n}",
        "route_type": "keyed",
        "target_ms": 300,
        "precedence": 1,
        "criteria": {"path_prefix": f"/p{n}/"},
        "treatment": {"service_name": "s", "guard_timer_ms": 2_000, "max_attempts": 2, **treatment},
    }


def example() -> dict[str, Any]:
    split = [{"service_name": "s", "share": 90}, {"service_name": "t", "share": 10}]
    return {
        "revision_number": 7,
        "limit_set": {"idle_timer_ms": 15_000},
        "service_table": [],
        "access_points": [{"host_name": "H.example", "rule_set": [rule(0), rule(1, weighted_split=split)]}],
        "trunk_groups": [
            {
                "identifier": "s",
                "health_path": "/up",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
                "deduplicates": True,
            },
            {"identifier": "t"},
        ],
    }


def spoil(path: str, value: Any) -> Callable[[dict[str, Any]], None]:
    """Return a function that replaces the value at a path in a configuration.

    :param path: keys and list indexes, separated by "/".
    """

    def change(data: Any) -> None:
        *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
        for part in parents:
            data = data[part]
        data[last] = value

    return change
