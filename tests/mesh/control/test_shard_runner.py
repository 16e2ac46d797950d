"""Actions of shards are carried out in order, and each request is answered once."""

from __future__ import annotations

from typing import Any, cast

import pytest

from orchidferry.mesh.control.actions import Action, RequestEnded, SendMessage, SendReply, WriteRecords
from orchidferry.mesh.control.shard_runner import MIN_TICK_S, TICK_S, ShardRunner
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import DecidedStateRequest
from tests.mesh.control.fakes import RecordingLink
from tests.mesh.fakes import Loop

MESSAGE = ShardMessage(0, DecidedStateRequest(1))


class RecordingStore:
    """A fake store, which records writes and completes none by itself."""

    def __init__(self) -> None:
        self.writes: list[tuple[Any, Any]] = []

    def write(self, puts: Any, finished: Any = None) -> None:
        self.writes.append((puts, finished))


class RecordingShard:
    """A fake shard, which records events and returns fixed actions."""

    def __init__(self) -> None:
        self.number = 0
        self.due_s = float("inf")
        self.events: list[Any] = []
        self.actions: list[Action] = []

    def tick(self, now: float) -> list[Action]:
        self.events.append(("tick", now))
        return []

    def write_finished(self, completion: Any, ok: bool, now: float) -> list[Action]:
        self.events.append((completion, ok))
        return [SendMessage("c", MESSAGE)]

    def request_read(self, request: str, now: float) -> list[Action]:
        self.events.append(request)
        return []


class Scene:
    """A `ShardRunner` with one shard."""

    def __init__(self) -> None:
        self.loop = cast(Any, Loop())
        self.store = cast(Any, RecordingStore())
        self.shard = cast(Any, RecordingShard())
        self.sent: list[tuple[str, Any]] = []
        self.runner = ShardRunner(
            {0: self.shard},
            self.store,
            self.loop,
            lambda name, message: self.sent.append((name, message)),
            lambda shard, change: None,
        )


@pytest.mark.parametrize("ok", [False, True])
def test_the_result_of_a_write_is_handed_back_and_its_actions_carried_out(ok: bool) -> None:
    scene = Scene()
    link = RecordingLink()
    completion: Any = object()
    actions: list[Action] = [
        SendMessage("b", MESSAGE),
        WriteRecords([("about", b"key", b"value")], completion),
        WriteRecords([("about", b"other", None)]),
        SendReply(link, MESSAGE),
    ]
    scene.runner.carry_out(scene.shard, actions)
    assert scene.sent == [("b", MESSAGE)] and link.sent == [MESSAGE]
    (first, finished), (second, none) = scene.store.writes
    assert (first, second, none) == ([("about", b"key", b"value")], [("about", b"other", None)], None)
    finished(ok)
    assert scene.shard.events == [(completion, ok)] and scene.sent[1:] == [("c", MESSAGE)]


def test_a_request_is_answered_once() -> None:
    scene = Scene()
    ended: list[RequestEnded] = []
    scene.runner.read_configuration(ended.append)
    [request] = scene.shard.events
    end = RequestEnded(request, None, "")
    scene.runner.carry_out(scene.shard, [RequestEnded("another", None, ""), end, end])
    assert ended == [end]


@pytest.mark.parametrize(
    ("due_in_s", "ticks"), [(TICK_S * 2.0, 1), (TICK_S / 2.0, 2), (0.0, 2)], ids=["later", "sooner", "now"]
)
def test_work_due_before_the_next_regular_tick_gets_an_additional_one(due_in_s: float, ticks: int) -> None:
    scene = Scene()
    scene.shard.due_s = scene.loop.time() + due_in_s
    scene.runner.tick()
    scene.loop.pass_ms(1e3 * max(due_in_s, MIN_TICK_S) + 0.1)
    assert len(scene.shard.events) == ticks
