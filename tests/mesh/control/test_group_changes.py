"""Which joining controller is admitted to a group, which voter it replaces, and which voter proposes it."""

from __future__ import annotations

import pytest

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import SendMessage
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.wire.shard_messages import JoinRequest, RegisterMessage
from tests.mesh.control.shards import A, B, C, D, make_shard


def proposes(shard: Shard, joiner: Voter, joiner_epoch: int, ready: bool, now: float) -> bool:
    """Whether a voter's shard proposes a joining controller when it receives that one's request."""
    actions = shard.receive(None, JoinRequest(joiner.name, joiner.disk_id, joiner_epoch, ready), now)
    return any(isinstance(a, SendMessage) and isinstance(a.message.body, RegisterMessage) for a in actions)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_ready_joiner_replaces_a_leaving_voter(leaves: bool) -> None:
    first = shard_state.rank_controllers(1, ["a", "b", "c"])[0]
    shard = make_shard(first)
    other = next(name for name in "abc" if name != first)
    shard.peers.heard_s = dict.fromkeys("abcd", 1.0)
    shard.peers.leaving |= {other} if leaves else set()
    assert bool(shard.object_to(["replace", other])) is not leaves
    assert not proposes(shard, D, 3, False, 1.0)  # it is not ready
    assert not proposes(shard, D, 2, True, 1.0)  # it does not know the current group
    assert proposes(shard, D, 3, True, 1.0) is leaves


def test_voters_propose_a_joiner_in_the_order_of_their_rank() -> None:
    names = shard_state.rank_controllers(1, ["a", "b", "c"])
    shard = make_shard(names[1])
    shard.peers.heard_s = dict.fromkeys("abcd", 1.0)
    wiped = Voter(names[2], 77)
    assert not proposes(shard, wiped, 3, False, 1.0)
    shard.peers.heard_s = dict.fromkeys("abcd", 1.4)
    assert not proposes(shard, wiped, 3, False, 1.4)
    assert proposes(shard, wiped, 3, False, 1.5)
    other = make_shard(names[1])
    other.peers.heard_s = dict.fromkeys("abcd", 1.0)
    other.peers.learning[names[0]] = (1,)  # the first one has not caught up itself
    assert proposes(other, wiped, 3, False, 1.0)


def test_a_joiner_that_knows_an_older_group_is_refused() -> None:
    before = Value(4, (A, B, C), shard_state.Body(3))
    assert shard_state.AdmitVoter(D, "c", 3, 2)(before) == shard_state.GROUP_HAS_CHANGED
    after = shard_state.AdmitVoter(D, "c", 3, 3)(before)
    assert isinstance(after, Value) and after.voters == (A, B, D)
    assert shard_state.AdmitVoter(D, "c", 3, 3)(after) is after


def test_a_newcomer_copies_keys_before_it_has_missed_a_voter_for_as_long_as_the_others() -> None:
    """It starts after the voter's end, and may ask for the place once the others find the voter dead."""
    known = Value(1, (A, B, C), shard_state.Body(3))

    def prepares(peers: Peers, now: float) -> bool:
        return GroupView(1, "d", 3, known, peers, False, now).should_prepare_to_join()

    began_s = 10.0
    peers = Peers(began_s)
    assert not prepares(peers, began_s + 0.4)
    peers.heard_s = dict.fromkeys("ab", began_s + 0.9)
    assert prepares(peers, began_s + 0.9) and not peers.dead("c", began_s + 0.9)
    peers.heard_s["c"] = began_s + 0.9
    assert not prepares(peers, began_s + 1.0)
    assert prepares(peers, began_s + 1.8)
