"""Which sources count for a learner, and when a stopping controller is still needed."""

from __future__ import annotations

import pytest

from orchidferry.balancing.register import Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import Action, SendMessage, SendReply, WriteRecords
from orchidferry.mesh.control.key_transfer import Cursor
from orchidferry.mesh.control.membership import Standing, epoch
from orchidferry.mesh.control.record_age import RELEASED, pack_age
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.write_completions import CaughtUpSaved
from orchidferry.mesh.storage.environment import KEYS_DB
from orchidferry.mesh.wire.messages import KeyClaim, ShardMessage
from orchidferry.mesh.wire.shard_messages import (
    Handoff,
    HandoffAck,
    JoinRequest,
    KeyPage,
    KeyPageRequest,
    KeyRow,
)
from tests.mesh.control.shards import A, B, C, D, accept_known_state, learn_state, make_shard


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


def test_a_void_record_of_having_caught_up_is_deleted_before_the_controller_asks_to_join() -> None:
    """The disk refused the deletion, the group granted keys without this controller and admitted it again.

    After a restart it would have taken itself for caught up and granted these keys once more.
    """
    shard = make_shard("a", caught_up=False)
    learn_state(shard, Value(2, (B, C, D), shard_state.Body(4)))
    actions = shard.write_finished(CaughtUpSaved(3), True, 2.0)
    for now in (3.0, 4.0, 5.0):
        [deletion] = [action for action in actions if isinstance(action, WriteRecords)]
        assert deletion.puts == [("about", b"caught/1", None)] and deletion.completion is not None
        assert not shard.write_finished(deletion.completion, False, now)
        shard.peers.heard_s |= dict.fromkeys("bcd", now)
        actions = shard.tick(now)
        assert not [action for action in actions if isinstance(action, SendMessage) and is_join(action)]
    [deletion] = [action for action in actions if isinstance(action, WriteRecords)]
    assert deletion.completion is not None
    shard.write_finished(deletion.completion, True, 5.5)
    shard.peers.heard_s |= dict.fromkeys("bcd", 6.0)
    actions = shard.tick(6.0)
    assert [action for action in actions if isinstance(action, SendMessage) and is_join(action)]
    assert not [action for action in actions if isinstance(action, WriteRecords)]


def is_join(action: SendMessage) -> bool:
    """Return whether an action sends a request to join the group."""
    return isinstance(action.message, ShardMessage) and isinstance(action.message.body, JoinRequest)


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


KEY = "k"
AGE = pack_age(2.0)
# Rows of a key with the holder "t1"
ROWS = [
    pytest.param((KEY, ("t1", AGE, None), False), id="claim"),
    pytest.param((KEY, ("t1", AGE, "answer"), True), id="answer"),
    pytest.param((KEY, ("t1", RELEASED, None), False), id="release"),
]


def writes_of_key(actions: list[Action]) -> list[WriteRecords]:
    """Return the writes among actions that concern `KEY`."""
    found = [action for action in actions if isinstance(action, WriteRecords)]
    return [write for write in found if any(put[:2] == (KEYS_DB, KEY.encode()) for put in write.puts)]


def acknowledgements(actions: list[Action]) -> list[int]:
    """Return the numbers of the pages of a handoff that are acknowledged by actions."""
    replies = [action.message for action in actions if isinstance(action, SendReply)]
    bodies = [message.body for message in replies if isinstance(message, ShardMessage)]
    return [body.number for body in bodies if isinstance(body, HandoffAck)]


def hand_over(shard: Shard, row: KeyRow, now: float) -> list[Action]:
    """Have a shard receive the first page of a handoff, with one row."""
    return shard.receive("link", Handoff("b", epoch(shard.known), 1, [row]), now)


@pytest.mark.parametrize("row", ROWS)
def test_a_page_of_a_handoff_is_acknowledged_only_once_it_is_on_disk(row: KeyRow) -> None:
    """After a write that had failed the page came again, changed nothing, and was acknowledged unwritten."""
    shard = make_shard("a")
    if row[1][1] == RELEASED:
        shard.load_key(KEY, ["t1", 0, None])
    for now in (2.0, 3.0, 4.0):
        actions = hand_over(shard, row, now)
        [write] = writes_of_key(actions)
        assert not acknowledgements(actions) and write.completion is not None
        assert not acknowledgements(shard.write_finished(write.completion, False, now))
    [write] = writes_of_key(hand_over(shard, row, 5.0))
    assert write.completion is not None
    assert acknowledgements(shard.write_finished(write.completion, True, 5.0)) == [1]
    if row[1][1] != RELEASED:
        assert acknowledgements(hand_over(shard, row, 6.0)) == [1] and not shard.key_writes.unsaved


def test_a_handoff_of_a_key_whose_own_grant_is_not_on_disk_writes_the_grant() -> None:
    """The page was acknowledged, and its sender dropped the hint, though the disk had refused the grant."""
    shard = make_shard("a")
    accept_known_state(shard)
    [write] = writes_of_key(shard.claim_key("node", KeyClaim(1, epoch(shard.known), KEY, "t2"), True, 2.0))
    assert write.completion is not None
    shard.write_finished(write.completion, False, 2.0)
    [again] = writes_of_key(hand_over(shard, (KEY, ("t1", AGE, None), False), 3.0))
    assert again.puts == write.puts  # its own grant stays as it is
    shard.tick(2.0 + shard.operation_keys.max_retention_s)
    assert not shard.key_writes.unsaved


def test_a_handoff_of_a_later_operation_replaces_a_record_whose_window_is_over() -> None:
    """The page changed nothing and was acknowledged, though no record of the later claim was on disk."""
    shard = make_shard("a")
    accept_known_state(shard)
    shard.claim_key("node", KeyClaim(1, epoch(shard.known), KEY, "t1"), True, 2.0)
    [write] = writes_of_key(hand_over(shard, (KEY, ("t2", AGE, None), False), 90.0))
    assert shard.operation_keys.records[KEY].holder == "t2" and write.completion is not None
    assert acknowledgements(shard.write_finished(write.completion, True, 90.0)) == [1]


def test_a_page_of_a_transfer_is_written_again_after_a_write_that_failed() -> None:
    """The page was asked for again, changed nothing, and the learner took itself for complete without it."""
    shard = make_shard("a", caught_up=False)
    accept_known_state(shard)
    for now, ok in ((2.0, False), (3.0, True)):
        shard.peers.heard_s["b"] = now
        sent = [action for action in shard.tick(now) if isinstance(action, SendMessage)]
        requests = [action.message.body for action in sent if action.to == "b"]
        [number] = [body.number for body in requests if isinstance(body, KeyPageRequest)]
        page = KeyPage("b", number, 1, [(KEY, ("t1", AGE, None), False)], True, "life", True)
        [write] = writes_of_key(shard.receive("link", page, now))
        assert write.completion is not None
        shard.write_finished(write.completion, ok, now)
        assert shard.standing.sources.get("b", False) is ok
    assert not shard.key_writes.unsaved
