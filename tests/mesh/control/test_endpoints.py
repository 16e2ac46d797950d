"""Leases of nodes and merged member lists, compared with slow but simple models."""

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
def test_leases(renewals: list[tuple[bool, str, int, int, float]]) -> None:
    table = MembershipTable()
    now = 100.0
    accepted: list[tuple[float, NodeRecord]] = []  # accepted renewals with their times, the newest last
    for has_record, name, boot, number, passed_s in renewals:
        now += passed_s
        before = {r.name for r in table.records()}
        expired = table.remove_expired(now)
        live = {r.name: r for at, r in accepted if at + LEASE_S > now}
        assert set(expired) == before - live.keys()
        known = live.get(name)
        new = record(name, boot, number)
        if has_record:
            older = known is not None and known.boot == boot and known.number > number
            assert table.update(new, now) is (not older and known != new)
            if not older:
                accepted.append((now, new))
        else:
            assert table.renew(name, boot, number, now) is (known == new)
            if known == new:
                accepted.append((now, new))
        live = {r.name: r for at, r in accepted if at + LEASE_S > now}
        assert {r.name: r for r in table.records()} == live


@given(
    st.lists(st.tuples(st.sampled_from("kl"), st.sampled_from("ab"), st.integers(0, 3)), max_size=12),
    st.sets(st.sampled_from("kl")),
)
def test_a_node_is_a_member_while_any_controller_lists_it(
    updates: list[tuple[str, str, int]], reachable: set[str]
) -> None:
    lists: dict[str, dict[str, NodeRecord]] = {"k": {}, "l": {}}
    for controller, name, number in updates:
        lists[controller][name] = record(name, 1, number)
    counted = [r for k, one in lists.items() for r in one.values() if not reachable or k in reachable]
    expected = {
        name: record(name, 1, max(r.number for r in counted if r.name == name))
        for name in {r.name for r in counted}
    }
    assert merge_member_lists(lists, reachable) == expected


def merge_simply(lists: dict[str, dict[str, NodeRecord]], reachable: set[str]) -> dict[str, NodeRecord]:
    """Return the result of `merge_member_lists`, without its optimisations."""
    merged: dict[str, NodeRecord] = {}
    for controller, members in lists.items():
        for name, record in members.items() if not reachable or controller in reachable else ():
            known = merged.get(name)
            if known is None or (known.boot == record.boot and known.number < record.number):
                merged[name] = record
    return merged


@pytest.mark.parametrize("seed", range(40))
def test_merged_lists_equal_those_of_a_simple_merge(seed: int) -> None:
    rng = random.Random(seed)
    records = [
        NodeRecord(f"n{n}", boot, number, "z", "", 1, None)
        for n in range(4)
        for boot in (1, 2)
        for number in (1, 2)
    ]
    for _ in range(50):
        lists = {f"k{k}": {r.name: r for r in rng.sample(records, rng.randrange(6))} for k in range(3)}
        if rng.random() < 0.5:  # equal records in different objects
            lists["k2"] = {name: msgspec.structs.replace(record) for name, record in lists["k0"].items()}
        reachable = set(rng.sample(sorted(lists), rng.randrange(4)))
        assert merge_member_lists(lists, reachable) == merge_simply(lists, reachable)
        assert list(merge_member_lists(lists, reachable)) == list(merge_simply(lists, reachable))
