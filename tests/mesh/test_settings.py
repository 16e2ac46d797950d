"""The parsing of a process's settings, and the error for an invalid field."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from orchidferry.mesh.settings import MeshSettingsError, parse_settings
from tests.mesh.control.examples import spoil
from tests.mesh.examples import SETTINGS_TABLES


def test_settings_are_read_and_unknown_fields_are_ignored() -> None:
    settings = parse_settings(SETTINGS_TABLES)
    assert (settings.name, settings.seeds, settings.listen) == (
        "n",
        ("10.0.0.2",),
        {"control": ("10.0.0.1", 80)},
    )
    assert (settings.bounds.drain_ms, settings.bounds.key_window_s, settings.max_file_descriptors) == (
        1_500.0,
        60.0,
        1_024,
    )


@pytest.mark.parametrize(
    ("bind", "point", "bound"),
    [
        (None, "10.0.0.1", "10.0.0.1"),
        ("127.0.0.9", "10.0.0.1", "127.0.0.9"),
        ("127.0.0.9", "10.0.0.7", "10.0.0.7"),
    ],
)
def test_sockets_may_be_bound_to_another_address_than_the_advertised_one(
    bind: str | None, point: str, bound: str
) -> None:
    data = copy.deepcopy(SETTINGS_TABLES)
    data["network"]["listen_points"]["control"] = f"{point}:80"
    if bind is not None:
        data["own_node"]["bind_ip"] = bind
    settings = parse_settings(data)
    assert (settings.ip, settings.local_ip, settings.listen_address("control")) == (
        "10.0.0.1",
        bind or "10.0.0.1",
        (bound, 80),
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("own_node", 3),
        ("own_node/bind_ip", ""),
        ("own_node/bind_ip", 4),
        ("network", None),
        ("own_node/node_name", ""),
        ("own_node/ip", 4),
        ("own_node/application", "10.0.0.1"),
        ("own_node/limit_set", []),
        ("own_node/limit_set/memory_mb", "x"),
        ("network/internal_ports", []),
        ("network/internal_ports", [0]),
        ("network/internal_ports", [True]),
        ("platform_settings/beat_interval_ms", 0),
        ("network/seed_nodes", "a"),
        ("network/seed_nodes", ["a"]),
        ("network/listen_points", []),
        ("network/listen_points/control", "10.0.0.1:²"),
        ("network/listen_points/control", "10.0.0.1:70000"),
        ("term_settings/bound_set", [1]),
        ("term_settings/bound_set/drain_ms", True),
        ("term_settings/bound_set/drain_ms", float("nan")),
        ("term_settings/tolerance", "x"),
        ("platform_settings", 4),
    ],
)
def test_the_error_for_invalid_settings_is_one_line_with_the_field(path: str, value: Any) -> None:
    data = copy.deepcopy(SETTINGS_TABLES)
    spoil(path, value)(data)
    with pytest.raises(MeshSettingsError) as problem:
        parse_settings(data)
    assert path.replace("/", ".") in str(problem.value) and "\n" not in str(problem.value)
