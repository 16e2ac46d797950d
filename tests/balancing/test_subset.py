"""Incremental subsetting, compared with a full computation of the slices."""

from __future__ import annotations

import random
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing import subset
from orchidferry.balancing.subset import Slices


def full_computation(shares: dict[int, float], number: int, nodes: int, slices: int) -> dict[int, float]:
    """The reference: sort each order completely, and compute the node's slice of it."""
    if slices >= nodes:
        return dict(shares)
    size = sum(shares.values()) / nodes
    start = number * size
    end = (number + 1) * size
    assigned = dict.fromkeys(shares, 0.0)
    for n in range(slices):
        factor = Random(n).getrandbits(32) | 1
        at = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            assigned[member] += max(0.0, min(at + shares[member], end) - max(at, start))
            at += shares[member]
    return assigned


def assert_agrees(
    slices_of_node: Slices, shares: dict[int, float], number: int, nodes: int, slices: int
) -> None:
    expected = full_computation(shares, number, nodes, slices)
    for member in expected.keys() | slices_of_node.assigned_shares.keys():
        assert slices_of_node.assigned_shares.get(member, 0.0) == pytest.approx(
            expected.get(member, 0.0), abs=1e-6
        )


CHANGES = st.lists(
    st.tuples(st.integers(0, 60), st.one_of(st.none(), st.sampled_from([0.0, 0.3, 1.0, 1.0, 1.0, 2.7]))),
    max_size=60,
)


@given(CHANGES, st.integers(1, 9), st.integers(0, 8), st.integers(1, 5), st.integers(1, 4))
@hypothesis_settings(max_examples=300)
def test_incremental_changes_give_the_same_slices_as_a_full_computation(
    changes: list[tuple[int, float | None]], nodes: int, number: int, slices: int, block: int
) -> None:
    patch = pytest.MonkeyPatch()
    patch.setattr(subset, "BLOCK", block)  # so that few members fill many blocks
    try:
        slices_of_node = Slices(number, nodes)
        shares: dict[int, float] = {}
        reported_shares: dict[int, float] = {}  # accumulated from the changes that were returned
        slices_of_node.widen(slices)
        for member, share in changes:
            id = member * 7_919_113  # spreads the ids over the order
            if share is None:
                if id not in shares:
                    continue
                del shares[id]
            else:
                shares[id] = share
            changed = slices_of_node.change(id, share)
            reported_shares |= changed
            assert_agrees(slices_of_node, shares, number % nodes, nodes, slices)
            reported = {m: share for m, share in reported_shares.items() if share > subset.MIN_ASSIGNED_SHARE}
            assert reported == pytest.approx(slices_of_node.assigned_shares, abs=1e-6)
    finally:
        patch.undo()


def test_all_nodes_together_use_each_member_by_its_share() -> None:
    rng = random.Random(1)
    shares = {rng.getrandbits(64): rng.choice([1.0, 1.0, 2.0]) for _ in range(500)}
    used = dict.fromkeys(shares, 0.0)
    for number in range(20):
        slices_of_node = Slices(number, 20)
        slices_of_node.reset(shares, 4)
        for member, assigned in slices_of_node.assigned_shares.items():
            used[member] += assigned
    for member, share in shares.items():
        assert used[member] == pytest.approx(4.0 * share, rel=1e-6)


def test_adding_a_member_changes_few_assignments() -> None:
    rng = random.Random(2)
    shares = {rng.getrandbits(64): 1.0 for _ in range(10_000)}
    slices_of_node = Slices(7, 50)
    slices_of_node.reset(shares, 4)
    before = set(slices_of_node.assigned_shares)
    assert 700 < len(before) <= 810
    moved = 0
    for _ in range(50):
        changed = slices_of_node.change(rng.getrandbits(64), 1.0)
        assert len(changed) <= 14
        moved += len(set(slices_of_node.assigned_shares) ^ before)
        before = set(slices_of_node.assigned_shares)
    assert moved / 50 < 4.0


def test_widening_and_narrowing_restores_the_shares() -> None:
    rng = random.Random(3)
    shares = {rng.getrandbits(64): 1.0 for _ in range(300)}
    slices_of_node = Slices(2, 12)
    slices_of_node.reset(shares, 4)
    before = dict(slices_of_node.assigned_shares)
    slices_of_node.widen(8)
    assert len(slices_of_node.assigned_shares) > 1.5 * len(before)
    slices_of_node.widen(12)
    assert slices_of_node.assigned_shares == shares
    slices_of_node.widen(4)
    assert slices_of_node.assigned_shares == pytest.approx(before)


def test_the_order_in_which_members_are_added_does_not_matter() -> None:
    rng = random.Random(4)
    members = [rng.getrandbits(64) for _ in range(2_000)]
    slices_of_node = Slices(3, 40)
    other = Slices(3, 40)
    slices_of_node.reset(dict.fromkeys(members, 1.0), 4)
    other.widen(4)
    for member in reversed(members):
        other.change(member, 1.0)
    for _ in range(100):
        gone = members.pop(rng.randrange(len(members)))
        slices_of_node.change(gone, None)
        other.change(gone, None)
    assert set(slices_of_node.assigned_shares) == set(other.assigned_shares)
    assert slices_of_node.assigned_shares == pytest.approx(other.assigned_shares)


def test_members_can_shrink_to_one_and_to_none() -> None:
    slices_of_node = Slices(0, 6)
    slices_of_node.reset({5: 1.0, 9: 1.0}, 4)
    slices_of_node.change(5, None)
    assert slices_of_node.assigned_shares == {9: pytest.approx(4.0 / 6.0)}
    slices_of_node.change(9, None)
    assert slices_of_node.assigned_shares == {}
    slices_of_node.change(11, 2.0)
    assert slices_of_node.assigned_shares == {11: pytest.approx(8.0 / 6.0)}
