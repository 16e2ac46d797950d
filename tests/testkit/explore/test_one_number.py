"""Orders under one number in all interleavings of small scenes; each break caught by its own."""

from __future__ import annotations

from typing import Any

import pytest

from orchidferry.balancing.proposer import Proposer
from orchidferry.testkit.bench import order_duels
from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days import one_number


@pytest.mark.parametrize("scene", one_number.SCENES)
def test_every_interleaving_without_a_fault_ends_as_wished(scene: str) -> None:
    found = worst_days.search(scene, 0, workers=1)
    assert found.exhausted and not found.violations, found.story
    assert found.runs == found.succeeded > 0


@pytest.mark.parametrize("scene", ["two-contents", "minority", "same-twice"])
def test_every_interleaving_of_one_cut_or_kill_is_safe(scene: str) -> None:
    found = worst_days.search(scene, 1, ("cut", "kill"), limit_s=60.0, workers=2)
    assert found.exhausted and not found.violations, found.story
    assert found.runs > 5


@pytest.mark.parametrize("name", one_number.BREAKS)
def test_each_break_is_caught_by_its_scene(name: str) -> None:
    one = one_number.BREAKS[name]
    found = worst_days.search(one.scene, one.faults, one.kinds, name, 60.0, workers=2)
    assert found.violations and found.story


CONDITIONS = {conditions.name: conditions for conditions in order_duels.CONDITIONS}


@pytest.mark.parametrize("name", CONDITIONS)
def test_orders_that_meet_end_inside_the_bound(name: str) -> None:
    """Eight at once: one is acknowledged, all others know that they lost, well inside `ack_ms`."""
    for seed in range(5):
        run = order_duels.ConcurrentOrders(CONDITIONS[name], seed)
        run.play()
        assert run.is_consistent and run.last_ms < order_duels.ACK_MS / 2


def test_rounds_that_are_given_up_too_early_are_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The break: a round that takes longer than the time to send again is begun anew, and never ends."""
    resend = Proposer._resend

    def give_up(self: Any, round_: Any, now: float) -> list[Any]:
        resend(self, round_, now)
        self._back_off(round_, now)
        return []

    monkeypatch.setattr(Proposer, "_resend", give_up)
    run = order_duels.ConcurrentOrders(CONDITIONS["links of 200 ms one way, 3 controllers"], 0)
    run.play()
    assert not run.is_consistent


def test_copies_of_one_order_at_one_controller_take_one_round() -> None:
    """Eight at once share one proposal, and all are told the same."""
    run = order_duels.ConcurrentOrders(order_duels.Conditions("copies", same=True, at_owner=True), 1)
    run.play()
    assert run.is_consistent and all(operator.acknowledged for operator in run.operators)
    assert len(run.ballots) == 1
