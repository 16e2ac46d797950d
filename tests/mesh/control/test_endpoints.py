"""Leases of nodes and merged member lists, beside slow plain models."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control.endpoints import (
    LEASE_S,
    MembershipTable,
    NodeRecord,
    merge_member_lists,
)


def record(name: str, boot: int, number: int) -> NodeRecord:
    return NodeRecord(name, boot, number, "z", "10.0.0.1", 1, None)


RENEWALS = st.tuples(
    st.booleans(), st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 3), st.floats(0.0, 1.5)
)


@settings(max_examples=200, deadline=None)
@given(st.lists(RENEWALS, max_size=30))
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
def test_a_node_is_a_member_while_any_controller_lists_it(
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


def merged_plainly(told: dict[str, dict[str, NodeRecord]], heard: set[str]) -> dict[str, NodeRecord]:
    """`merge_member_lists` without its short cuts."""
    found: dict[str, NodeRecord] = {}
    for controller, mine in told.items():
        for name, record in mine.items() if not heard or controller in heard else ():
            had = found.get(name)
            if had is None or (had.boot == record.boot and had.number < record.number):
                found[name] = record
    return found


@pytest.mark.parametrize("seed", range(40))
def test_merged_lists_are_what_a_plain_walk_finds(seed: int) -> None:
    rng = random.Random(seed)
    records = [
        NodeRecord(f"n{n}", boot, number, "z", "", 1, None)
        for n in range(4)
        for boot in (1, 2)
        for number in (1, 2)
    ]
    for _ in range(50):
        told = {f"k{k}": {r.name: r for r in rng.sample(records, rng.randrange(6))} for k in range(3)}
        if rng.random() < 0.5:  # other objects, the same records
            told["k2"] = {name: msgspec.structs.replace(record) for name, record in told["k0"].items()}
        heard = set(rng.sample(sorted(told), rng.randrange(4)))
        assert merge_member_lists(told, heard) == merged_plainly(told, heard)
        assert list(merge_member_lists(told, heard)) == list(merged_plainly(told, heard))
