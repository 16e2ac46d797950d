"""A returning replica receives the complete state from only one of the others."""

from __future__ import annotations

import pytest

from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.configuration import digest
from orchidferry.mesh.control.configuration_text import compress
from orchidferry.mesh.control.state_request import STATE_TIMEOUT_S
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import DecidedState, tag_of
from orchidferry.testkit.explore.controller import ControllerCall
from orchidferry.testkit.model.replica_group import HEARTBEAT_INTERVAL_S, ReplicaGroup, example_configuration

RETURNING = "e"  # the returning replica


def missed_changes(replicas: int) -> ReplicaGroup:
    """Return a group in which one replica was isolated during three changes."""
    group = ReplicaGroup(replicas)
    group.run(3.0)
    group.isolated.add(RETURNING)
    for revision in (1, 2, 3):
        text = example_configuration(revision)
        group.request_change(
            "a",
            str(revision),
            shard_state.PutConfiguration(compress(text), revision, digest(text), revision - 1),
        )
        group.run_until(lambda revision=revision: str(revision) in group.ended_requests, 5.0)  # type: ignore[misc]
    group.run(3.0)
    return group


def returned(group: ReplicaGroup) -> bool:
    """Whether the returning replica knows the newest revision."""
    return group.controllers[RETURNING].shard.body.revision == 3


@pytest.mark.parametrize("replicas", [5, 11])
def test_one_replica_sends_the_state(replicas: int) -> None:
    """Each of the other replicas used to send it."""
    group = missed_changes(replicas)
    state = DecidedState(shard_state_codec.pack_value(group.controllers["a"].shard.known))
    state_bytes = len(encode(ShardMessage(0, state)))
    before = group.bytes_by_type[tag_of(DecidedState)]
    group.isolated.clear()
    group.run_until(lambda: returned(group), HEARTBEAT_INTERVAL_S + 0.1)
    group.run(3.0)
    assert group.bytes_by_type[tag_of(DecidedState)] - before < 1.5 * state_bytes


def test_another_replica_is_asked_after_a_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    group = missed_changes(5)
    send, senders = group.send, list[str]()

    def lossy(sender: str, to: str, kind: str, *message: object) -> None:
        if to == RETURNING and kind == ControllerCall.RECEIVE and isinstance(message[1], DecidedState):
            senders.append(sender)
            if sender == senders[0]:
                return
        send(sender, to, kind, *message)

    monkeypatch.setattr(group, "send", lossy)
    group.isolated.clear()
    took_s = group.run_until(lambda: returned(group), 3.0)
    assert len(set(senders)) == 2 and took_s < STATE_TIMEOUT_S + 2.0 * HEARTBEAT_INTERVAL_S
