"""Validation of configurations: all fields of valid ones are parsed, and invalid ones are rejected."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from orchidferry.mesh.control import configuration, configuration_validation
from orchidferry.mesh.errors import Rejection
from tests.mesh.control.examples import example, rule, spoil


def test_all_fields_of_a_valid_configuration_are_parsed() -> None:
    raw = json.dumps(example()).encode()
    found = configuration_validation.validate(raw)
    assert found == configuration.parse(raw) and isinstance(found, configuration.Configuration)
    first, second = found.routes
    assert first == configuration.Route(
        "r0", "H.example", "/p0/", "keyed", 300.0, 1, 2_000.0, 2, (("s", 1.0),)
    )
    assert second.split == (("s", 90.0), ("t", 10.0)) and not second.idempotent
    assert found.services == {
        "s": configuration.Service("s", "/up", 110, True),
        "t": configuration.Service("t"),
    }
    assert (found.revision, found.limits) == (7, {"idle_timer_ms": 15_000.0})


FIRST = "access_points/0/rule_set/0"


TREATMENT = "access_points/0/rule_set/0/treatment"


# Path of the field, its invalid value, and a text that the rejection must contain.
INVALID = [
    (f"{TREATMENT}/service_name", "u", "service u"),
    (f"{TREATMENT}/max_attempts", 0, "max_attempts"),
    (f"{TREATMENT}/max_attempts", 1e400, "max_attempts"),
    (f"{TREATMENT}/weighted_split", [{"service_name": "s", "share": 0}], "weighted_split"),
    (f"{TREATMENT}/weighted_split", [{"service_name": "u", "share": 1}], "service u"),
    (f"{FIRST}/route_type", "odd", "route_type"),
    (f"{FIRST}/criteria/path_prefix", "/p1/", "/p1/ is there twice"),
    (f"{FIRST}/criteria/path_prefix", "p0/", "path_prefix"),
    (f"{FIRST}/target_ms", 62_000, "target_ms"),
    (f"{FIRST}/target_ms", float("nan"), "target_ms"),
    (f"{FIRST}/treatment", {"service_name": "s", "max_attempts": 1}, "guard_timer_ms"),
    (f"{FIRST}/treatment", {"guard_timer_ms": 1, "max_attempts": 1}, "service_name"),
    (f"{FIRST}/identifier", "r1", "r1: its identifier is there twice"),
    (f"{TREATMENT}/guard_timer_ms", 0, "guard_timer_ms"),
    (f"{TREATMENT}/max_attempts", -1, "max_attempts"),
    ("trunk_groups/1/identifier", "s", "trunk_groups: an identifier"),
    ("revision_number", "7", "revision_number"),
    ("revision_number", 0, "revision_number"),
    ("access_points", {}, "access_points"),
    ("trunk_groups/0", 3, "trunk_groups"),
]


@pytest.mark.parametrize(("path", "value", "detail"), INVALID)
def test_an_invalid_configuration_is_rejected(path: str, value: Any, detail: str) -> None:
    data = copy.deepcopy(example())
    spoil(path, value)(data)
    found = configuration_validation.validate(json.dumps(data).encode())
    assert isinstance(found, Rejection) and found.status == 400
    assert detail in found.line and "\n" not in found.line


@pytest.mark.parametrize("raw", [json.dumps(example()).encode()[:-9], b"", b"[]", b"\xff", b"[" * 100_000])
def test_malformed_json_is_rejected(raw: bytes) -> None:
    found = configuration_validation.validate(raw)
    assert isinstance(found, Rejection) and found.status == 400


def test_a_configuration_may_have_many_routes() -> None:
    data = example()
    data["access_points"][0]["rule_set"] = [rule(n) for n in range(400)]
    found = configuration_validation.validate(json.dumps(data).encode())
    assert isinstance(found, configuration.Configuration) and len(found.routes) == 400
    route = configuration.RouteTable(found.routes).find("h.example", "/p399/x/y")
    assert route is not None and route.id == "r399"
