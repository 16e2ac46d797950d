"""A controller that restarts, is removed from a group, grants keys over sockets, and stops."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import controller as module
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.controller import Controller
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.settings import Bounds
from orchidferry.mesh.storage.record_format import pack
from orchidferry.mesh.wire.shard_messages import DecidedState
from tests.mesh.control.fakes import make_controller
from tests.mesh.dataplane.test_proxy_stop import VirtualTimeLoop, run_and_close
from tests.mesh.storage.fakes import close, write


@pytest.mark.parametrize(("needed_s", "stop_s"), [(0.0, 1.0), (2.5, 2.5), (1e6, 5.0)])
def test_a_stopping_controller_stays_as_long_as_it_is_needed(
    monkeypatch: Any, needed_s: float, stop_s: float
) -> None:
    """At least 1 s, at most until 1 s before the platform's kill, in between as long as it is needed."""
    loop = VirtualTimeLoop()
    began_s = loop.now_s

    class NeededShard:
        def must_stay(self, now: float) -> bool:
            return now < began_s + needed_s

    async def run_until(self: Any, stopping: asyncio.Event, until_s: float) -> None:
        await asyncio.sleep(until_s - loop.time())

    monkeypatch.setattr(module.Controller, "_run_until", run_until)
    controller: Any = Controller.__new__(Controller)
    controller._loop, controller._shards = loop, {1: NeededShard()}
    controller._settings = type("Settings", (), {"bounds": Bounds(grace_s=6.0)})
    run_and_close(loop, controller._hand_over())
    assert loop.now_s - began_s == pytest.approx(stop_s, abs=0.12)


def test_incarnations_of_a_controller_have_the_same_disk_id_and_different_ballots(tmp_path: Path) -> None:
    """Different states that two incarnations propose under the same ballot would be taken for one state."""

    async def main() -> None:
        incarnations = []
        for _ in range(2):
            controller = make_controller(tmp_path)
            shard = controller._runner.configuration_shard
            incarnations.append((shard.voter, shard.register.proposer.name))
            close(controller._store)
        assert incarnations[0][0] == incarnations[1][0] and incarnations[0][1] != incarnations[1][1]

    asyncio.run(main())


def test_a_controller_removed_from_a_group_is_not_caught_up(tmp_path: Path) -> None:
    async def main() -> None:
        controller = make_controller(tmp_path)
        shard = controller._shards[1]
        assert shard.grants(0)
        state = Value(1, (Voter("127.0.0.2", 1),), shard_state.Body(1))
        decided = DecidedState(shard_state_codec.pack_value(state))
        controller._runner.carry_out(shard, shard.receive(None, decided, 0.0))
        controller._runner.carry_out(shard, shard.tick(10.0))
        assert await write(controller._store, [])  # waits until the earlier writes are on disk, too
        assert not shard.standing.caught_up and controller._store.read("about", b"caught/1") is None
        assert controller._shards[2].standing.caught_up
        close(controller._store)

    asyncio.run(main())


def test_a_key_is_granted_once_over_sockets(tmp_path: Path) -> None:
    async def main() -> None:
        loop, stopping = asyncio.get_running_loop(), asyncio.Event()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        controller = make_controller(tmp_path, port)
        serving = loop.create_task(controller.run(stopping))
        client = ControlClient(controller._settings, loop, lambda members: None, lambda revision, raw: None)
        client.start()

        async def claim(holder: str) -> tuple[ClaimOutcome, Any]:
            result = loop.create_future()
            client.claim("k", holder, 8.0, lambda outcome, answer: result.set_result((outcome, answer)))
            return await asyncio.wait_for(result, 10.0)

        assert await claim("t1") == (ClaimOutcome.GRANTED, None)
        assert await claim("t2") == (ClaimOutcome.HELD_BY_OTHER, None)
        client.claims.record_answer("k", "t1", [200, b"x", []])
        assert await claim("t3") == (ClaimOutcome.HELD_BY_OTHER, [200, b"x", []])
        stopping.set()
        await asyncio.wait_for(serving, 10.0)
        controller._store._env.close()

    asyncio.run(main())


def test_a_restarted_controller_dials_the_voters_that_only_its_vote_names(tmp_path: Path) -> None:
    """It dialled the founders and the seeds of its settings, which may all be gone."""
    voters = tuple(Voter(name, 2) for name in ("127.0.0.1", "127.0.0.7", "127.0.0.8"))
    former = (*voters[:2], Voter("127.0.0.6", 2))
    ballot = (5, "127.0.0.7 1")
    state = AcceptorState(2, ballot, ballot, Value(7, voters, shard_state.Body(3, 1, b""), former))

    async def main() -> None:
        controller = make_controller(tmp_path)
        shard = controller._runner.configuration_shard
        assert not controller._other_controllers()
        packed = pack(shard_state_codec.pack_acceptor_state(state))
        assert await write(controller._store, [shard.context.metadata("kept", packed)])
        close(controller._store)
        controller = make_controller(tmp_path)
        assert controller._other_controllers() == {"127.0.0.6", "127.0.0.7", "127.0.0.8"}
        assert not controller._runner.configuration_shard.known.version
        close(controller._store)

    asyncio.run(main())
