"""Which sources count for a learner, and when a stopping controller is still needed."""

from __future__ import annotations

from orchidferry.balancing.register import Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.key_transfer import Cursor
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.write_completions import CaughtUpSaved
from tests.mesh.control.shards import A, B, C, D, learn_state, make_shard


def test_sources_of_one_epoch_do_not_count_in_the_next() -> None:
    """A learner that was removed and admitted again must not rely on keys learned in an earlier epoch."""
    shard = make_shard("a", caught_up=False)
    shard.standing.sources |= {"b": True, "c": True}
    shard.learner.cursors["b"] = Cursor("incarnation", 9)
    assert shard.standing.has_enough_sources(shard.known)
    learn_state(shard, Value(2, (B, C, D), shard_state.Body(4)))
    learn_state(shard, Value(3, (A, B, D), shard_state.Body(5)))
    assert not shard.standing.has_enough_sources(shard.known) and shard.learner.cursors
    standing = Standing(False, {"x": True, "b": True})
    assert standing.count_sources(shard.known) == 1  # only voters count


def test_catching_up_is_void_if_the_group_changed_meanwhile() -> None:
    shard = make_shard("a", caught_up=False)
    shard.write_finished(CaughtUpSaved(2), True, 1.0)
    assert not shard.standing.caught_up
    shard.write_finished(CaughtUpSaved(3), True, 1.0)
    assert shard.standing.caught_up


def test_a_stopping_controller_stays_while_others_can_replace_it_or_lack_its_keys() -> None:
    shard = make_shard("a")
    shard.peers.stopping = True
    shard.peers.heard_s = {"b": 1.0, "c": 1.0}
    assert not shard.must_stay(1.1)  # no other controller could replace it
    shard.peers.heard_s["d"] = 1.0
    assert shard.must_stay(1.1) and not shard.must_stay(9.0)
    shard.peers.leaving.add("d")
    assert not shard.must_stay(1.1)
    shard.peers.learning["d"] = (1,)
    learn_state(shard, Value(2, (B, C, D), shard_state.Body(4)))
    assert shard.must_stay(1.1)
    shard.peers.learning["d"] = (2,)
    assert not shard.must_stay(1.1)
    shard.hints.mark_silent("c", 1.0)
    assert shard.must_stay(1.1)
