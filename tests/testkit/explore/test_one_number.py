"""Exploration of conflicting and repeated orders: all interleavings, each break, and contention."""

from __future__ import annotations

from typing import Any

import pytest

from orchidferry.balancing.proposer import Proposer
from orchidferry.testkit.bench import order_duels
from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days import one_number


@pytest.mark.parametrize("scene", one_number.SCENES)
def test_every_interleaving_without_a_fault_succeeds(scene: str) -> None:
    result = worst_days.search(scene, 0, workers=1)
    assert result.exhausted and not result.violations, result.story
    assert result.runs == result.succeeded > 0


@pytest.mark.parametrize("scene", ["two-contents", "minority", "same-twice"])
def test_every_interleaving_of_one_cut_or_kill_is_safe(scene: str) -> None:
    result = worst_days.search(scene, 1, ("cut", "kill"), limit_s=60.0, workers=2)
    assert result.exhausted and not result.violations, result.story
    assert result.runs > 5


@pytest.mark.parametrize("name", one_number.BREAKS)
def test_each_break_is_detected_by_its_scene(name: str) -> None:
    break_ = one_number.BREAKS[name]
    result = worst_days.search(break_.scene, break_.faults, break_.kinds, name, 60.0, workers=2)
    assert result.violations and result.story


CONDITIONS = {conditions.name: conditions for conditions in order_duels.CONDITIONS}


@pytest.mark.parametrize("name", CONDITIONS)
def test_conflicting_orders_are_decided_within_the_bound(name: str) -> None:
    """Of eight concurrent orders one is acknowledged and all others are refused, well within `ack_ms`."""
    for seed in range(5):
        run = order_duels.ConcurrentOrders(CONDITIONS[name], seed)
        run.play()
        assert run.is_consistent and run.last_ms < order_duels.ACK_MS / 2


def test_rounds_that_are_abandoned_too_early_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proposer that restarts rounds at the time to resend never ends a round that takes longer."""
    resend = Proposer._resend

    def restart_round(self: Any, round_: Any, now: float) -> list[Any]:
        resend(self, round_, now)
        self._back_off(round_, now)
        return []

    monkeypatch.setattr(Proposer, "_resend", restart_round)
    run = order_duels.ConcurrentOrders(CONDITIONS["links of 200 ms one way, 3 controllers"], 0)
    run.play()
    assert not run.is_consistent


def test_copies_of_one_order_at_one_controller_share_one_round() -> None:
    """Eight concurrent copies of an order share one proposal, and all are acknowledged."""
    run = order_duels.ConcurrentOrders(order_duels.Conditions("copies", same=True, at_owner=True), 1)
    run.play()
    assert run.is_consistent and all(operator.acknowledged for operator in run.operators)
    assert len(run.ballots) == 1
