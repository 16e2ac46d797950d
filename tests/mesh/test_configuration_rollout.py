"""How long a new configuration takes to all nodes while a controller is isolated and many nodes restart."""

from __future__ import annotations

from dataclasses import replace
from unittest import mock

import pytest

from orchidferry.testkit.model import configuration_rollout
from orchidferry.testkit.model.configuration_rollout import START_S, Day, Outcome, Rollout

APPLY_BOUND_S = 2.5  # the site's `config_apply_ms`
# As 20 s of it, but shorter: whatever piles up does so within some changes.
SHORT = Day(isolated_s=1.0, restarts_s=2.5, length_s=6.5, relays_first=True, mixed_names=True)


def play(day: Day) -> Outcome:
    """One run, in which all that restarted got ready and no node was left behind."""
    outcome = Rollout(1, day).play()
    assert len(outcome.ready_s) == day.restarts and not outcome.missed
    return outcome


@pytest.mark.parametrize("direction", ["both", "in", "out"])
def test_news_is_everywhere_long_before_the_bound(direction: str) -> None:
    outcome = play(replace(SHORT, direction=direction))
    assert len(outcome.spread_s) >= 9 and max(outcome.spread_s.values()) < APPLY_BOUND_S / 2.0
    assert max(outcome.ready_s.values()) < START_S + 0.5


def test_texts_that_are_not_compressed_miss_it_on_links_that_are_half_full() -> None:
    day = replace(SHORT, node_bits_per_s=1.75e6)
    with mock.patch.object(configuration_rollout, "compress", lambda text: text):
        outcome = Rollout(1, day).play()
    assert outcome.missed or max(outcome.spread_s.values()) > APPLY_BOUND_S
