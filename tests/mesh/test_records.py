"""Members, configurations and settings, beside slow plain models and tables of what is refused."""

from __future__ import annotations

import copy
import doctest
import importlib
import pkgutil
from typing import Any

import pytest

import orchidferry.mesh
from orchidferry.balancing.nested import TARGET, Nested
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.settings import MeshSettingsError, parse_settings
from tests.mesh.control.examples import spoil

MODULES = [
    found.name
    for found in pkgutil.walk_packages(orchidferry.mesh.__path__, "orchidferry.mesh.")
    if not found.ispkg and found.name != "orchidferry.mesh.__main__"
]


@pytest.mark.parametrize("name", [*MODULES, "orchidferry.balancing.nested"])
def test_examples_in_docstrings(name: str) -> None:
    assert doctest.testmod(importlib.import_module(name)).failed == 0


def test_a_configuration_goes_on_top_of_the_current_one_only() -> None:
    first = shard_state.genesis(("a", "b", "c"))
    taken = shard_state.PutConfiguration(b"x", 5, b"X", 0)(first)
    assert not isinstance(taken, str) and shard_state.body(taken).revision == 5
    assert shard_state.PutConfiguration(b"x", 5, b"X", 0)(taken) is taken  # asked for again
    assert shard_state.PutConfiguration(b"y", 6, b"Y", 0)(taken) == shard_state.OTHER_VERSION
    assert (
        shard_state.PutConfiguration(b"y", 5, b"Y", 5)(taken)
        == shard_state.PutConfiguration(b"y", 4, b"Y", 5)(taken)
        == shard_state.OLD_VERSION
    )


# Settings and beats

BOOT: dict[str, Any] = {
    "own_node": {"node_name": "n", "ip": "10.0.0.1", "zone": "z", "data_dir": "d", "limit_set": {"odd": 1}},
    "network": {
        "internal_ports": [7_000],
        "seed_nodes": ["10.0.0.2:7000", "10.0.0.2:7001"],
        "listen_points": {"control": "10.0.0.1:80"},
    },
    "term_settings": {"bound_set": {"drain_ms": 1_500, "odd": "x"}, "tolerance": {"machines": 1}},
    "platform_settings": {"beat_interval_ms": 1_500, "entry": "odd"},
    "odd": 3,
}


def test_settings_are_read_and_unknown_fields_skipped() -> None:
    boot = parse_settings(BOOT)
    assert (boot.name, boot.seeds, boot.listen) == ("n", ("10.0.0.2",), {"control": ("10.0.0.1", 80)})
    assert (boot.bounds.drain_ms, boot.bounds.key_window_s, boot.max_file_descriptors) == (
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
def test_an_address_may_be_bound_that_is_not_the_one_it_is_known_by(
    bind: str | None, point: str, bound: str
) -> None:
    data = copy.deepcopy(BOOT)
    data["network"]["listen_points"]["control"] = f"{point}:80"
    if bind is not None:
        data["own_node"]["bind_ip"] = bind
    boot = parse_settings(data)
    assert (boot.ip, boot.local_ip, boot.listen_address("control")) == (
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
def test_bad_settings_are_named_in_one_line(path: str, value: Any) -> None:
    data = copy.deepcopy(BOOT)
    spoil(path, value)(data)
    with pytest.raises(MeshSettingsError) as problem:
        parse_settings(data)
    assert path.replace("/", ".") in str(problem.value) and "\n" not in str(problem.value)


# Parents of calls that are turned away


@pytest.mark.parametrize("capacity", [40.0, 100.0, 1_000.0])
def test_parents_are_shed_to_near_the_target(capacity: float) -> None:
    """200 a second, each with two calls below, which has room for so many a second."""
    nested = Nested()
    now = 0.0
    admitted = 0.0
    failed = 0.0
    due = 0.0
    owed = 0.0
    for step in range(400):
        now += 100.0
        first = 20.0 * (1.0 - nested.shed("parents", now))
        share = 1.0 - min(1.0, capacity / 10.0 / (2.0 * first)) ** 2
        due += first
        while due >= 1.0:  # evenly mixed
            due -= 1.0
            owed += share
            nested.outcome("parents", owed >= 1.0, now)
            owed -= owed >= 1.0
            nested.outcome("others", False, now)
        if step >= 200:
            admitted = admitted + first
            failed = failed + first * share
    if capacity < 400.0:
        assert abs(failed / admitted - TARGET) < 0.03 and nested.shed("parents", now) > 0.3
    else:
        assert nested.shed("parents", now) == 0.0
    assert nested.shed("others", now) == 0.0
    assert nested.shed("parents", now + 20_000.0) < 0.01


def test_the_roles_are_subcommands_of_the_one_program(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from orchidferry.testkit import cli

    monkeypatch.delenv("ORCHIDFERRY_BOOT", raising=False)
    for words, status, said in (
        (["proxy", "--help"], 0, "example:"),
        (["controller", "--check"], 2, "ORCHIDFERRY_BOOT must name"),
        (["controller", "--no"], 2, "usage:"),
    ):
        monkeypatch.setattr("sys.argv", ["orchidferry", *words])
        assert cli.main() == status
        out, err = capsys.readouterr()
        assert said in out + err and err.count("\n") == (status == 2)
