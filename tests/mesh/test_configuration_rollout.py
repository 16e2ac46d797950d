"""The time until all nodes have a new configuration while a controller is isolated and many nodes restart."""

from __future__ import annotations

from dataclasses import replace
from unittest import mock

import pytest

from orchidferry.testkit.model import configuration_rollout
from orchidferry.testkit.model.configuration_rollout import START_S, Outcome, Rollout, Scenario

APPLY_BOUND_S = 2.5  # the site's `config_apply_ms`
# Shorter than the full 20 s: a backlog would build up within a few changes.
SHORT = Scenario(isolated_s=1.0, restarts_s=2.5, length_s=6.5, relays_first=True, mixed_names=True)


def play(day: Scenario) -> Outcome:
    """Run one rollout, in which all restarted nodes must get ready and all nodes the configuration."""
    outcome = Rollout(1, day).play()
    assert len(outcome.ready_s) == day.restarts and not outcome.missed
    return outcome


@pytest.mark.parametrize("direction", ["both", "in", "out"])
def test_a_configuration_reaches_all_nodes_well_before_the_bound(direction: str) -> None:
    outcome = play(replace(SHORT, direction=direction))
    assert len(outcome.spread_s) >= 9 and max(outcome.spread_s.values()) < APPLY_BOUND_S / 2.0
    assert max(outcome.ready_s.values()) < START_S + 0.5


def test_uncompressed_texts_miss_the_bound_on_half_full_links() -> None:
    day = replace(SHORT, node_bits_per_s=1.75e6)
    with mock.patch.object(configuration_rollout, "compress", lambda text: text):
        outcome = Rollout(1, day).play()
    assert outcome.missed or max(outcome.spread_s.values()) > APPLY_BOUND_S
