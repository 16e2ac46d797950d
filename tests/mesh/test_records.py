"""Members, configurations and settings, beside slow plain models and tables of what is refused."""

from __future__ import annotations

import copy
import doctest
import importlib
import json
import pkgutil
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import orchidferry.mesh
from orchidferry.balancing.nested import TARGET, Nested
from orchidferry.mesh.control import configuration, configuration_validation, shard_state
from orchidferry.mesh.control.endpoints import LEASE_S, MembershipTable, NodeRecord, merge_member_lists
from orchidferry.mesh.errors import Rejection
from orchidferry.mesh.settings import MeshSettingsError, parse_settings

MODULES = [
    found.name
    for found in pkgutil.walk_packages(orchidferry.mesh.__path__, "orchidferry.mesh.")
    if not found.ispkg and found.name != "orchidferry.mesh.__main__"
]


@pytest.mark.parametrize("name", [*MODULES, "orchidferry.balancing.nested"])
def test_examples_in_docstrings(name: str) -> None:
    assert doctest.testmod(importlib.import_module(name)).failed == 0


# Members


def record(name: str, boot: int, number: int) -> NodeRecord:
    return NodeRecord(name, boot, number, "z", "10.0.0.1", 1, None)


NEWS = st.tuples(
    st.booleans(), st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 3), st.floats(0.0, 1.5)
)


@settings(max_examples=200, deadline=None)
@given(st.lists(NEWS, max_size=30))
def test_leases(news: list[tuple[bool, str, int, int, float]]) -> None:
    register = MembershipTable()
    now = 100.0
    told: list[tuple[float, NodeRecord]] = []  # all that counted, the newest last
    for whole, name, boot, number, passed in news:
        now += passed
        before = {r.name for r in register.records()}
        gone = register.remove_expired(now)
        live = {r.name: r for at, r in told if at + LEASE_S > now}
        assert set(gone) == before - live.keys()
        had = live.get(name)
        new = record(name, boot, number)
        if whole:
            older = had is not None and had.boot == boot and had.number > number
            assert register.update(new, now) is (not older and had != new)
            if not older:
                told.append((now, new))
        else:
            assert register.renew(name, boot, number, now) is (had == new)
            if had == new:
                told.append((now, new))
        live = {r.name: r for at, r in told if at + LEASE_S > now}
        assert {r.name: r for r in register.records()} == live


@given(
    st.lists(st.tuples(st.sampled_from("kl"), st.sampled_from("ab"), st.integers(0, 3)), max_size=12),
    st.sets(st.sampled_from("kl")),
)
def test_a_node_is_a_member_while_any_keeper_says_so(
    news: list[tuple[str, str, int]], heard: set[str]
) -> None:
    told: dict[str, dict[str, NodeRecord]] = {"k": {}, "l": {}}
    for controller, name, number in news:
        told[controller][name] = record(name, 1, number)
    counted = [r for k, mine in told.items() for r in mine.values() if not heard or k in heard]
    wanted = {
        name: record(name, 1, max(r.number for r in counted if r.name == name))
        for name in {r.name for r in counted}
    }
    assert merge_member_lists(told, heard) == wanted


# Configurations


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


def test_a_valid_configuration_is_taken_whole() -> None:
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


def spoil(path: str, value: Any) -> Callable[[dict[str, Any]], None]:
    def change(data: Any) -> None:
        *way, last = [int(part) if part.isdigit() else part for part in path.split("/")]
        for part in way:
            data = data[part]
        data[last] = value

    return change


FIRST = "access_points/0/rule_set/0"
TREATMENT = "access_points/0/rule_set/0/treatment"
SPOILT = [
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


@pytest.mark.parametrize(("path", "value", "named"), SPOILT)
def test_an_invalid_configuration_is_refused(path: str, value: Any, named: str) -> None:
    data = copy.deepcopy(example())
    spoil(path, value)(data)
    found = configuration_validation.validate(json.dumps(data).encode())
    assert isinstance(found, Rejection) and found.status == 400
    assert named in found.line and "\n" not in found.line


@pytest.mark.parametrize("raw", [json.dumps(example()).encode()[:-9], b"", b"[]", b"\xff", b"[" * 100_000])
def test_what_is_no_configuration_is_refused(raw: bytes) -> None:
    found = configuration_validation.validate(raw)
    assert isinstance(found, Rejection) and found.status == 400


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


PATHS = st.text("ab/", max_size=8).map(lambda text: "/" + text)


@given(st.sets(PATHS.map(lambda path: path if path.endswith("/") else path + "/"), max_size=6), PATHS)
def test_the_longest_prefix_wins(prefixes: set[str], path: str) -> None:
    routes = [configuration.Route(p, "Host", p, "keyed", 1, 0, 1, 1, (("s", 1),)) for p in prefixes]
    found = configuration.RouteTable(routes).find("hOST:80", path)
    wanted = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
    assert (found.id if found is not None else None) == wanted
    assert configuration.RouteTable(routes).find("other", path) is None


def test_a_long_configuration() -> None:
    data = example()
    data["access_points"][0]["rule_set"] = [rule(n) for n in range(400)]
    found = configuration_validation.validate(json.dumps(data).encode())
    assert isinstance(found, configuration.Configuration) and len(found.routes) == 400
    route = configuration.RouteTable(found.routes).find("h.example", "/p399/x/y")
    assert route is not None and route.id == "r399"


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
