"""Invalid settings are rejected with the name of the field; edge cases of valid ones work."""

from __future__ import annotations

from typing import Any

import pytest

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from tests.balancing.helpers import SAFE, Node, ends, entries, settings


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [SAFE, SAFE]}, "classes"),
        ({"classes": [api.RequestClass("a", 0.0, 100.0)]}, "aim_ms"),
        ({"classes": [api.RequestClass("a", 10.0, 100.0, late_worth=1.5)]}, "late_worth"),
        ({"tick_ms": -1.0}, "tick_ms"),
        ({"ramp_time_ms": float("nan")}, "ramp_time_ms"),
        ({"start_capacity": 1.1}, "start_capacity"),
        ({"repeat_ratio": -0.1}, "repeat_ratio"),
        ({"nodes": 0}, "nodes"),
        ({"tenants": [api.Tenant("t", 0.5, -1.0)]}, "quota_per_s"),
    ],
)
def test_invalid_settings_are_rejected(changes: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)


def test_edge_cases_no_servers_one_server_zero_weights_and_a_clock_that_stands_still() -> None:
    empty = Node(servers=0)
    assert not [a for a in empty.ask("a") if isinstance(a, api.Send)]
    for servers in ([api.ServerEntry(1)], entries(range(3), share=0.0)):
        node = Node(servers=0)
        node.list_all(servers)
        for n in range(30):
            node.ask(f"{n}")
            if f"{n}" in node.sent:
                node.end(f"{n}", [Result.SERVED, Result.ERROR, Result.TIMEOUT][n % 3], 0.0)
        assert node.sent or not any(s.share for s in servers)
        assert not ends(node.do(api.TimerFired(0)))
