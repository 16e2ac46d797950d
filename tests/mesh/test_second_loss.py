"""Who gets a place in a group and when, what counts of what a learner is told, and when one that leaves may
end.
"""

from __future__ import annotations

import random

import pytest

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import SendMessage
from orchidferry.mesh.control.key_transfer import Cursor
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.write_completions import CaughtUpSaved
from orchidferry.mesh.wire.shard_messages import DecidedState, JoinRequest, RegisterMessage
from orchidferry.testkit.explore.controller import SEEDS, WINDOW_S

A, B, C, D = (Voter(name, shard_state.GENESIS) for name in "abcd")


def shard(name: str, caught_up: bool = True, size: int = 3) -> Shard:
    kept = AcceptorState(shard_state.GENESIS)
    parameters = ShardParameters(1, name, shard_state.genesis(SEEDS), size, WINDOW_S, 10)
    made = Shard(parameters, kept, caught_up, Peers(0.0), random.Random(1))
    know(made, Value(1, (A, B, C), shard_state.Body(3)))
    return made


def know(one: Shard, value: Value, now: float = 1.0) -> None:
    one.receive(None, DecidedState(shard_state.pack_value(value)), now)


def proposes(one: Shard, joiner: Voter, under: int, ready: bool, now: float) -> bool:
    done = one.receive(None, JoinRequest(joiner.name, joiner.disk_id, under, ready), now)
    return any(isinstance(a, SendMessage) and isinstance(a.message.body, RegisterMessage) for a in done)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_place_is_given_to_one_that_is_ready_instead_of_one_that_leaves(leaves: bool) -> None:
    first = shard_state.rank_controllers(1, ["a", "b", "c"])[0]
    one = shard(first)
    other = next(name for name in "abc" if name != first)
    one.peers.heard_s = dict.fromkeys("abcd", 1.0)
    one.peers.leaving |= {other} if leaves else set()
    assert bool(one.object_to(["replace", other])) is not leaves
    assert not proposes(one, D, 3, False, 1.0)  # it has not learned
    assert not proposes(one, D, 2, True, 1.0)  # it does not know this group
    assert proposes(one, D, 3, True, 1.0) is leaves


def test_the_others_wait_for_the_first_that_can() -> None:
    names = shard_state.rank_controllers(1, ["a", "b", "c"])
    one = shard(names[1])
    one.peers.heard_s = dict.fromkeys("abcd", 1.0)
    wiped = Voter(names[2], 77)
    assert not proposes(one, wiped, 3, False, 1.0)
    one.peers.heard_s = dict.fromkeys("abcd", 1.4)
    assert not proposes(one, wiped, 3, False, 1.4)
    assert proposes(one, wiped, 3, False, 1.5)
    other = shard(names[1])
    other.peers.heard_s = dict.fromkeys("abcd", 1.0)
    other.peers.learning[names[0]] = (1,)  # that one has not learned itself
    assert proposes(other, wiped, 3, False, 1.0)


def test_a_place_is_asked_for_on_top_of_the_newest_group_alone() -> None:
    before = Value(4, (A, B, C), shard_state.Body(3))
    assert shard_state.AdmitVoter(D, "c", 3, 2)(before) == shard_state.OTHER_GROUP
    after = shard_state.AdmitVoter(D, "c", 3, 3)(before)
    assert isinstance(after, Value) and after.voters == (A, B, D)
    assert shard_state.AdmitVoter(D, "c", 3, 3)(after) is after


def test_what_was_told_in_one_epoch_does_not_count_in_the_next() -> None:
    """A learner that was put out and is back must not lean on what it heard before."""
    one = shard("a", caught_up=False)
    one.standing.sources |= {"b": True, "c": True}
    one.learner.cursors["b"] = Cursor("life", 9)
    assert one.standing.enough(one.known)
    know(one, Value(2, (B, C, D), shard_state.Body(4)))
    know(one, Value(3, (A, B, D), shard_state.Body(5)))
    assert not one.standing.enough(one.known) and one.learner.cursors
    standing = Standing(False, {"x": True, "b": True})
    assert standing.told_all(one.known) == 1  # only voters count


def test_that_it_caught_up_is_void_if_the_group_changed_meanwhile() -> None:
    one = shard("a", caught_up=False)
    one.write_finished(CaughtUpSaved(2), True, 1.0)
    assert not one.standing.caught_up
    one.write_finished(CaughtUpSaved(3), True, 1.0)
    assert one.standing.caught_up


def test_one_that_leaves_stays_while_another_can_take_its_place_and_lacks_what_it_holds() -> None:
    one = shard("a")
    one.peers.stopping = True
    one.peers.heard_s = {"b": 1.0, "c": 1.0}
    assert not one.must_stay(1.1)  # nobody is there to take it
    one.peers.heard_s["d"] = 1.0
    assert one.must_stay(1.1) and not one.must_stay(9.0)
    one.peers.leaving.add("d")
    assert not one.must_stay(1.1)
    one.peers.learning["d"] = (1,)
    know(one, Value(2, (B, C, D), shard_state.Body(4)))
    assert one.must_stay(1.1)
    one.peers.learning["d"] = (2,)
    assert not one.must_stay(1.1)
    one.hints.mark_silent("c", 1.0)
    assert one.must_stay(1.1)
