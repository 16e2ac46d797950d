"""Subsetting by difference, held to the cut of the whole as it was."""

from __future__ import annotations

import random
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing import subset
from orchidferry.balancing.subset import Slices


def cut(shares: dict[int, float], number: int, nodes: int, slices: int) -> dict[int, float]:
    """The model: every shuffle sorted whole, and the slice cut out of it."""
    if slices >= nodes:
        return dict(shares)
    size = sum(shares.values()) / nodes
    start = number * size
    end = (number + 1) * size
    taken = dict.fromkeys(shares, 0.0)
    for n in range(slices):
        factor = Random(n).getrandbits(32) | 1
        at = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            taken[member] += max(0.0, min(at + shares[member], end) - max(at, start))
            at += shares[member]
    return taken


def agrees(one: Slices, shares: dict[int, float], number: int, nodes: int, slices: int) -> None:
    model = cut(shares, number, nodes, slices)
    for member in model.keys() | one.parts.keys():
        assert one.parts.get(member, 0.0) == pytest.approx(model.get(member, 0.0), abs=1e-6)


CHANGES = st.lists(
    st.tuples(st.integers(0, 60), st.one_of(st.none(), st.sampled_from([0.0, 0.3, 1.0, 1.0, 1.0, 2.7]))),
    max_size=60,
)


@given(CHANGES, st.integers(1, 9), st.integers(0, 8), st.integers(1, 5), st.integers(1, 4))
@hypothesis_settings(max_examples=300)
def test_kept_up_by_difference_it_is_what_a_cut_of_the_whole_gives(
    changes: list[tuple[int, float | None]], nodes: int, number: int, slices: int, block: int
) -> None:
    small = pytest.MonkeyPatch()
    small.setattr(subset, "BLOCK", block)  # so that few members fill many blocks
    try:
        one = Slices(number, nodes)
        shares: dict[int, float] = {}
        parts: dict[int, float] = {}
        one.widen(slices)
        for member, share in changes:
            id = member * 7_919_113  # members are hashes: spread over the order
            if share is None:
                if id not in shares:
                    continue
                del shares[id]
            else:
                shares[id] = share
            changed = one.change(id, share)
            parts |= changed
            agrees(one, shares, number % nodes, nodes, slices)
            told = {m: part for m, part in parts.items() if part > subset.MIN_PART}
            assert told == pytest.approx(one.parts, abs=1e-6)  # what is told adds up to what is held
    finally:
        small.undo()


def test_all_copies_together_use_each_member_for_its_share() -> None:
    rng = random.Random(1)
    shares = {rng.getrandbits(64): rng.choice([1.0, 1.0, 2.0]) for _ in range(500)}
    used = dict.fromkeys(shares, 0.0)
    for number in range(20):
        one = Slices(number, 20)
        one.reset(shares, 4)
        for member, part in one.parts.items():
            used[member] += part
    for member, share in shares.items():
        assert used[member] == pytest.approx(4.0 * share, rel=1e-6)


def test_one_member_more_moves_few() -> None:
    rng = random.Random(2)
    shares = {rng.getrandbits(64): 1.0 for _ in range(10_000)}
    one = Slices(7, 50)
    one.reset(shares, 4)
    before = set(one.parts)
    assert 700 < len(before) <= 810
    moved = 0
    for _ in range(50):
        changed = one.change(rng.getrandbits(64), 1.0)
        assert len(changed) <= 14
        moved += len(set(one.parts) ^ before)
        before = set(one.parts)
    assert moved / 50 < 4.0


def test_wider_and_narrower_again_is_as_before() -> None:
    rng = random.Random(3)
    shares = {rng.getrandbits(64): 1.0 for _ in range(300)}
    one = Slices(2, 12)
    one.reset(shares, 4)
    before = dict(one.parts)
    one.widen(8)
    assert len(one.parts) > 1.5 * len(before)
    one.widen(12)
    assert one.parts == shares
    one.widen(4)
    assert one.parts == pytest.approx(before)


def test_copies_that_heard_of_members_in_another_order_agree() -> None:
    rng = random.Random(4)
    members = [rng.getrandbits(64) for _ in range(2_000)]
    one = Slices(3, 40)
    other = Slices(3, 40)
    one.reset(dict.fromkeys(members, 1.0), 4)
    other.widen(4)
    for member in reversed(members):
        other.change(member, 1.0)
    for _ in range(100):
        gone = members.pop(rng.randrange(len(members)))
        one.change(gone, None)
        other.change(gone, None)
    assert set(one.parts) == set(other.parts)
    assert one.parts == pytest.approx(other.parts)


def test_a_list_that_shrinks_to_one_and_to_none() -> None:
    one = Slices(0, 6)
    one.reset({5: 1.0, 9: 1.0}, 4)
    one.change(5, None)
    assert one.parts == {9: pytest.approx(4.0 / 6.0)}
    one.change(9, None)
    assert one.parts == {}
    one.change(11, 2.0)
    assert one.parts == {11: pytest.approx(8.0 / 6.0)}
