"""The schedule, compared with smooth weighted round robin and with the shares that members must get."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing import schedule
from orchidferry.balancing.schedule import Member, RotationState, Schedule

WEIGHTS = st.lists(st.floats(0.01, 10.0), min_size=1, max_size=12)


def new_schedule(weights: list[float], seed: int | None = None) -> tuple[Schedule[int], list[Member[int]]]:
    """A schedule with members of these weights; with a seed each starts at a random point of its turn."""
    result: Schedule[int] = Schedule()
    rng = random.Random(seed)
    members = []
    for n, weight in enumerate(weights):
        member = Member(n, n)
        member.weight = weight
        member.deadline = 1.0 if seed is None else rng.random()
        result.set_state(member, RotationState.ACTIVE)
        members.append(member)
    return result, members


def pick(rotation: Schedule[int]) -> int:
    member = rotation.peek()
    assert member is not None
    rotation.advance(member)
    return member.item


def round_robin_picks(weights: list[float], picks: int) -> list[int]:
    """The picks of smooth weighted round robin, which iterates over all members.

    All members gain their weight; the one with the highest value is picked, and loses the total weight.
    """
    turns, total, result = [0.0] * len(weights), sum(weights), []
    for _ in range(picks):
        turns = [turn + weight for turn, weight in zip(turns, weights, strict=True)]
        best = max(range(len(weights)), key=lambda n: (turns[n], -n))
        turns[best] -= total
        result.append(best)
    return result


@given(WEIGHTS, st.integers(1, 400))
def test_each_member_gets_its_share_within_one_pick(weights: list[float], picks: int) -> None:
    rotation, _ = new_schedule(weights)
    total = sum(weights)
    counts = [0] * len(weights)
    for n in range(1, picks + 1):
        counts[pick(rotation)] += 1
        for count, weight in zip(counts, weights, strict=True):
            assert abs(count - n * weight / total) < 1.0 + 1e-6


@given(WEIGHTS, st.integers(0, 2**32), st.integers(0, 200), st.integers(1, 200))
def test_shares_over_any_window_are_within_two_picks_wherever_turns_started(
    weights: list[float], seed: int, before: int, picks: int
) -> None:
    rotation, _ = new_schedule(weights, seed)
    for _ in range(before):
        pick(rotation)
    counts = Counter(pick(rotation) for _ in range(picks))
    total = sum(weights)
    for n, weight in enumerate(weights):
        assert abs(counts[n] - picks * weight / total) < 2.0 + 1e-6


@given(WEIGHTS)
def test_picks_are_close_to_smooth_weighted_round_robin(weights: list[float]) -> None:
    """With many members round robin lets one fall behind by more than one pick, but only by a few."""
    rotation, _ = new_schedule(weights)
    new = Counter(pick(rotation) for _ in range(300))
    old = Counter(round_robin_picks(weights, 300))
    for n in range(len(weights)):
        assert abs(new[n] - old[n]) <= 2 + len(weights) // 4


def test_members_of_equal_weight_are_picked_in_rotation() -> None:
    rotation, _ = new_schedule([1.0] * 5, seed=3)
    first = [pick(rotation) for _ in range(5)]
    assert sorted(first) == [0, 1, 2, 3, 4]
    assert [pick(rotation) for _ in range(50)] == first * 10


def test_picks_of_a_heavy_member_are_evenly_spaced() -> None:
    rotation, _ = new_schedule([5.0, 1.0, 1.0, 1.0, 1.0, 1.0])
    picked = [pick(rotation) for _ in range(100)]
    gaps = [
        b - a
        for a, b in zip(*(lambda at: (at, at[1:]))([n for n, p in enumerate(picked) if p == 0]), strict=False)
    ]
    assert set(gaps) <= {1, 2, 3}
    assert picked.count(0) == 50


@given(WEIGHTS, st.integers(0, 2**32), st.data())
@hypothesis_settings(max_examples=50)
def test_after_random_changes_sums_are_right_and_only_active_members_are_picked(
    weights: list[float], seed: int, data: st.DataObject
) -> None:
    rotation, members = new_schedule(weights, seed)
    rng = random.Random(seed)
    for _ in range(200):
        member = rng.choice(members)
        match rng.randrange(6):
            case 0:
                rotation.set_state(member, RotationState.REMOVED)
            case 1:
                rotation.set_state(member, RotationState.ACTIVE)
            case 2:
                rotation.set_state(member, RotationState.FALLBACK)
            case 3:
                rotation.set_weight(member, rng.choice([0.0, 0.001, 1.0, 30.0]))
            case _:
                first = rotation.peek()
                if first is not None:
                    assert first.state is RotationState.ACTIVE
                    rotation.advance(first)
                fallback = rotation.peek_fallback()
                if fallback is not None:
                    assert fallback.state is RotationState.FALLBACK
        active = [m for m in members if m.state is RotationState.ACTIVE]
        assert rotation.active_count == len(active)
        assert rotation.total_weight == pytest.approx(sum(m.weight for m in active), abs=1e-9)
        assert rotation.fallback_count == sum(m.state is RotationState.FALLBACK for m in members)
        assert (rotation.peek() is None) == (not active)
        assert (
            len(rotation._started) + len(rotation._waiting)
            <= 2 * len(active) + schedule.MAX_STALE_ENTRIES + 2
        )
        assert len(rotation._fallback) <= 2 * rotation.fallback_count + schedule.MAX_STALE_ENTRIES + 2


def test_a_weight_changed_within_a_turn_takes_effect_at_once() -> None:
    rotation, members = new_schedule([1.0, 1.0, 1.0, 1.0], seed=1)
    for _ in range(8):
        pick(rotation)
    rotation.set_weight(members[0], 0.1)
    picked = [pick(rotation) for _ in range(310)]
    assert picked.count(0) == pytest.approx(10, abs=1)
    rotation.set_weight(members[0], 1.0)
    assert 0 in [pick(rotation) for _ in range(5)]  # at once, not after a turn ten times as long
    picked = [pick(rotation) for _ in range(400)]
    assert picked.count(0) == pytest.approx(100, abs=1)


def test_a_member_that_was_removed_for_a_while_does_not_catch_up() -> None:
    rotation, members = new_schedule([1.0] * 4, seed=1)
    rotation.set_state(members[2], RotationState.REMOVED)
    for _ in range(300):
        assert pick(rotation) != 2
    rotation.set_state(members[2], RotationState.ACTIVE)
    picked = [pick(rotation) for _ in range(40)]
    assert picked.count(2) == pytest.approx(10, abs=1)


def test_fallback_members_are_picked_by_weight_and_return_without_a_penalty() -> None:
    rotation, members = new_schedule([2.0, 1.0, 1.0])
    for member in members:
        rotation.set_state(member, RotationState.FALLBACK)
    assert rotation.peek() is None
    picked = []
    for _ in range(400):
        first = rotation.peek_fallback()
        assert first is not None
        rotation.advance(first)
        picked.append(first.item)
    assert picked.count(0) == pytest.approx(200, abs=2)
    for member in members:
        rotation.set_state(member, RotationState.ACTIVE)
    assert Counter(pick(rotation) for _ in range(8)) == {0: 4, 1: 2, 2: 2}


def test_a_member_of_weight_0_can_be_in_the_fallback_but_not_in_the_rotation() -> None:
    rotation, members = new_schedule([1.0])
    empty = Member(9, 9)
    rotation.set_state(empty, RotationState.ACTIVE)
    assert empty.state is RotationState.REMOVED
    rotation.set_state(members[0], RotationState.REMOVED)
    rotation.set_state(empty, RotationState.FALLBACK)
    assert rotation.peek() is None and rotation.peek_fallback() is empty
    rotation.advance(empty)
    assert rotation.peek_fallback() is empty


def test_resetting_virtual_time_changes_no_picks(monkeypatch: pytest.MonkeyPatch) -> None:
    weights = [3.0, 1.0, 0.5]
    plain, _ = new_schedule(weights, seed=5)
    expected = [pick(plain) for _ in range(500)]
    monkeypatch.setattr(schedule, "REBASE_AT", 2.0)
    rebased, _ = new_schedule(weights, seed=5)
    assert [pick(rebased) for _ in range(500)] == expected


def test_ties_between_equal_members_are_broken_by_order() -> None:
    assert [pick(new_schedule([1.0] * 6)[0]) for _ in range(3)] == [0, 0, 0]
    rotation, _ = new_schedule([1.0] * 6)
    assert [pick(rotation) for _ in range(6)] == [0, 1, 2, 3, 4, 5]
