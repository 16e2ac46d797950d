"""Who gets a place in a group, in whose place, and which voter proposes it."""

from __future__ import annotations

import pytest

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import SendMessage
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.wire.shard_messages import JoinRequest, RegisterMessage
from tests.mesh.control.shards import A, B, C, D, make_shard


def proposes(one: Shard, joiner: Voter, under: int, ready: bool, now: float) -> bool:
    done = one.receive(None, JoinRequest(joiner.name, joiner.disk_id, under, ready), now)
    return any(isinstance(a, SendMessage) and isinstance(a.message.body, RegisterMessage) for a in done)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_ready_newcomer_replaces_a_leaving_voter(leaves: bool) -> None:
    first = shard_state.rank_controllers(1, ["a", "b", "c"])[0]
    one = make_shard(first)
    other = next(name for name in "abc" if name != first)
    one.peers.heard_s = dict.fromkeys("abcd", 1.0)
    one.peers.leaving |= {other} if leaves else set()
    assert bool(one.object_to(["replace", other])) is not leaves
    assert not proposes(one, D, 3, False, 1.0)  # it has not learned
    assert not proposes(one, D, 2, True, 1.0)  # it does not know this group
    assert proposes(one, D, 3, True, 1.0) is leaves


def test_voters_propose_a_newcomer_in_the_order_of_their_rank() -> None:
    names = shard_state.rank_controllers(1, ["a", "b", "c"])
    one = make_shard(names[1])
    one.peers.heard_s = dict.fromkeys("abcd", 1.0)
    wiped = Voter(names[2], 77)
    assert not proposes(one, wiped, 3, False, 1.0)
    one.peers.heard_s = dict.fromkeys("abcd", 1.4)
    assert not proposes(one, wiped, 3, False, 1.4)
    assert proposes(one, wiped, 3, False, 1.5)
    other = make_shard(names[1])
    other.peers.heard_s = dict.fromkeys("abcd", 1.0)
    other.peers.learning[names[0]] = (1,)  # that one has not learned itself
    assert proposes(other, wiped, 3, False, 1.0)


def test_a_newcomer_that_knows_an_older_group_is_refused() -> None:
    before = Value(4, (A, B, C), shard_state.Body(3))
    assert shard_state.AdmitVoter(D, "c", 3, 2)(before) == shard_state.GROUP_HAS_CHANGED
    after = shard_state.AdmitVoter(D, "c", 3, 3)(before)
    assert isinstance(after, Value) and after.voters == (A, B, D)
    assert shard_state.AdmitVoter(D, "c", 3, 3)(after) is after
