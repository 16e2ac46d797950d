"""The schedule against the rotation as it was, and against the shares that it owes."""

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


def made(weights: list[float], seed: int | None = None) -> tuple[Schedule[int], list[Member[int]]]:
    """A schedule of so many; with a seed each begins at a random place in its turn."""
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


def pick(one: Schedule[int]) -> int:
    member = one.peek()
    assert member is not None
    one.advance(member)
    return member.item


def walked(weights: list[float], picks: int) -> list[int]:
    """The rotation as it was: all gain their weight, the one furthest ahead is picked and pays."""
    turns, total, result = [0.0] * len(weights), sum(weights), []
    for _ in range(picks):
        turns = [turn + weight for turn, weight in zip(turns, weights, strict=True)]
        best = max(range(len(weights)), key=lambda n: (turns[n], -n))
        turns[best] -= total
        result.append(best)
    return result


@given(WEIGHTS, st.integers(1, 400))
def test_each_gets_its_share_within_one_send(weights: list[float], picks: int) -> None:
    one, _ = made(weights)
    total = sum(weights)
    counts = [0] * len(weights)
    for n in range(1, picks + 1):
        counts[pick(one)] += 1
        for count, weight in zip(counts, weights, strict=True):
            assert abs(count - n * weight / total) < 1.0 + 1e-6


@given(WEIGHTS, st.integers(0, 2**32), st.integers(0, 200), st.integers(1, 200))
def test_over_any_window_shares_are_within_two_sends_wherever_each_began(
    weights: list[float], seed: int, before: int, picks: int
) -> None:
    one, _ = made(weights, seed)
    for _ in range(before):
        pick(one)
    counts = Counter(pick(one) for _ in range(picks))
    total = sum(weights)
    for n, weight in enumerate(weights):
        assert abs(counts[n] - picks * weight / total) < 2.0 + 1e-6


@given(WEIGHTS)
def test_it_and_the_walk_send_alike(weights: list[float]) -> None:
    """The walk lets one fall behind by more than a send where there are many; never by more than a few."""
    one, _ = made(weights)
    new = Counter(pick(one) for _ in range(300))
    old = Counter(walked(weights, 300))
    for n in range(len(weights)):
        assert abs(new[n] - old[n]) <= 2 + len(weights) // 4


def test_equal_weights_go_round() -> None:
    one, _ = made([1.0] * 5, seed=3)
    first = [pick(one) for _ in range(5)]
    assert sorted(first) == [0, 1, 2, 3, 4]
    assert [pick(one) for _ in range(50)] == first * 10


def test_a_heavy_one_is_evenly_spaced() -> None:
    one, _ = made([5.0, 1.0, 1.0, 1.0, 1.0, 1.0])
    picked = [pick(one) for _ in range(100)]
    gaps = [
        b - a
        for a, b in zip(*(lambda at: (at, at[1:]))([n for n, p in enumerate(picked) if p == 0]), strict=False)
    ]
    assert set(gaps) <= {1, 2, 3}
    assert picked.count(0) == 50


@given(WEIGHTS, st.integers(0, 2**32), st.data())
@hypothesis_settings(max_examples=50)
def test_whatever_comes_and_goes_sums_hold_and_only_those_on_are_picked(
    weights: list[float], seed: int, data: st.DataObject
) -> None:
    one, members = made(weights, seed)
    rng = random.Random(seed)
    for _ in range(200):
        member = rng.choice(members)
        match rng.randrange(6):
            case 0:
                one.set_state(member, RotationState.REMOVED)
            case 1:
                one.set_state(member, RotationState.ACTIVE)
            case 2:
                one.set_state(member, RotationState.FALLBACK)
            case 3:
                one.set_weight(member, rng.choice([0.0, 0.001, 1.0, 30.0]))
            case _:
                first = one.peek()
                if first is not None:
                    assert first.state is RotationState.ACTIVE
                    one.advance(first)
                aside = one.peek_fallback()
                if aside is not None:
                    assert aside.state is RotationState.FALLBACK
        on = [m for m in members if m.state is RotationState.ACTIVE]
        assert one.active_count == len(on)
        assert one.total_weight == pytest.approx(sum(m.weight for m in on), abs=1e-9)
        assert one.fallback_count == sum(m.state is RotationState.FALLBACK for m in members)
        assert (one.peek() is None) == (not on)
        assert len(one._started) + len(one._waiting) <= 2 * len(on) + schedule.MAX_DEAD_ENTRIES + 2
        assert len(one._fallback) <= 2 * one.fallback_count + schedule.MAX_DEAD_ENTRIES + 2


def test_a_weight_that_falls_in_mid_turn_waits_longer_and_one_that_rises_comes_sooner() -> None:
    one, members = made([1.0, 1.0, 1.0, 1.0], seed=1)
    for _ in range(8):
        pick(one)
    one.set_weight(members[0], 0.1)
    picked = [pick(one) for _ in range(310)]
    assert picked.count(0) == pytest.approx(10, abs=1)
    one.set_weight(members[0], 1.0)
    assert 0 in [pick(one) for _ in range(5)]  # at once, not after the turn ten times as long
    picked = [pick(one) for _ in range(400)]
    assert picked.count(0) == pytest.approx(100, abs=1)


def test_one_that_was_away_comes_back_to_its_place_and_makes_up_for_nothing() -> None:
    one, members = made([1.0] * 4, seed=1)
    one.set_state(members[2], RotationState.REMOVED)
    for _ in range(300):
        assert pick(one) != 2
    one.set_state(members[2], RotationState.ACTIVE)
    picked = [pick(one) for _ in range(40)]
    assert picked.count(2) == pytest.approx(10, abs=1)


def test_those_aside_are_picked_in_turn_by_weight_and_return_without_a_debt() -> None:
    one, members = made([2.0, 1.0, 1.0])
    for member in members:
        one.set_state(member, RotationState.FALLBACK)
    assert one.peek() is None
    picked = []
    for _ in range(400):
        first = one.peek_fallback()
        assert first is not None
        one.advance(first)
        picked.append(first.item)
    assert picked.count(0) == pytest.approx(200, abs=2)
    for member in members:
        one.set_state(member, RotationState.ACTIVE)
    assert Counter(pick(one) for _ in range(8)) == {0: 4, 1: 2, 2: 2}


def test_weight_0_is_never_in_the_rotation_and_may_be_aside() -> None:
    one, members = made([1.0])
    empty = Member(9, 9)
    one.set_state(empty, RotationState.ACTIVE)
    assert empty.state is RotationState.REMOVED
    one.set_state(members[0], RotationState.REMOVED)
    one.set_state(empty, RotationState.FALLBACK)
    assert one.peek() is None and one.peek_fallback() is empty
    one.advance(empty)
    assert one.peek_fallback() is empty


def test_virtual_time_that_is_moved_back_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    weights = [3.0, 1.0, 0.5]
    plain, _ = made(weights, seed=5)
    expected = [pick(plain) for _ in range(500)]
    monkeypatch.setattr(schedule, "REBASE_AT", 2.0)
    moved, _ = made(weights, seed=5)
    assert [pick(moved) for _ in range(500)] == expected


def test_the_same_calls_give_the_same_picks_where_all_are_alike() -> None:
    assert [pick(made([1.0] * 6)[0]) for _ in range(3)] == [0, 0, 0]
    one, _ = made([1.0] * 6)
    assert [pick(one) for _ in range(6)] == [0, 1, 2, 3, 4, 5]
