"""Which sources count for a controller that learns, and when one that ends is still needed."""

from __future__ import annotations

from orchidferry.balancing.register import Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.key_transfer import Cursor
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.write_completions import CaughtUpSaved
from tests.mesh.control.shards import A, B, C, D, learn_state, make_shard


def test_sources_of_one_epoch_do_not_count_in_the_next() -> None:
    """A learner that was put out and is back must not lean on what it heard before."""
    one = make_shard("a", caught_up=False)
    one.standing.sources |= {"b": True, "c": True}
    one.learner.cursors["b"] = Cursor("life", 9)
    assert one.standing.has_enough_sources(one.known)
    learn_state(one, Value(2, (B, C, D), shard_state.Body(4)))
    learn_state(one, Value(3, (A, B, D), shard_state.Body(5)))
    assert not one.standing.has_enough_sources(one.known) and one.learner.cursors
    standing = Standing(False, {"x": True, "b": True})
    assert standing.count_sources(one.known) == 1  # only voters count


def test_catching_up_is_void_if_the_group_changed_meanwhile() -> None:
    one = make_shard("a", caught_up=False)
    one.write_finished(CaughtUpSaved(2), True, 1.0)
    assert not one.standing.caught_up
    one.write_finished(CaughtUpSaved(3), True, 1.0)
    assert one.standing.caught_up


def test_a_controller_that_ends_stays_while_others_can_take_its_place_or_lack_its_keys() -> None:
    one = make_shard("a")
    one.peers.stopping = True
    one.peers.heard_s = {"b": 1.0, "c": 1.0}
    assert not one.must_stay(1.1)  # nobody is there to take it
    one.peers.heard_s["d"] = 1.0
    assert one.must_stay(1.1) and not one.must_stay(9.0)
    one.peers.leaving.add("d")
    assert not one.must_stay(1.1)
    one.peers.learning["d"] = (1,)
    learn_state(one, Value(2, (B, C, D), shard_state.Body(4)))
    assert one.must_stay(1.1)
    one.peers.learning["d"] = (2,)
    assert not one.must_stay(1.1)
    one.hints.mark_silent("c", 1.0)
    assert one.must_stay(1.1)
