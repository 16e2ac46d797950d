"""Facts that `RequestSender` records about an exchange with a scripted node."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from orchidferry.testkit.exchange import Attempt, RequestSender, encode_request, expected_body
from orchidferry.testkit.record import (
    ConnectionClosed,
    ExtraBytes,
    Fact,
    Recorder,
    RequestSent,
    RequestTimedOut,
    ResponseReceived,
    read_folder,
)
from orchidferry.testkit.scenario import read_scenario
from orchidferry.testkit.wire import Address, Outcome
from tests.node.peers import CLOSE, HANG, RESET, Peer, Seen, answer, run, until

SCENARIO = read_scenario({"name": "x"}, "x")
SAFE = SCENARIO.classes[0]


class Scripted(Peer):
    """Answers requests from a list of responses; `SOUND` stands for the correct response to the request."""

    def __init__(self, *script: bytes) -> None:
        super().__init__()
        self.responses = list(script)

    async def script(self, message: Seen) -> bytes:
        data = self.responses.pop(0) if self.responses else SOUND
        return data.replace(SOUND, answer(200, expected_body(SCENARIO.seed, message.id)))


SOUND = b"SOUND"
Send = Callable[..., Coroutine[Any, Any, Outcome]]


def play(tmp_path: Path, peer: Scripted, work: Callable[[Send], Coroutine[Any, Any, None]]) -> list[Fact]:
    async def test() -> None:
        await peer.start()
        host, _, port = peer.address.partition(":")
        address: Address = (host, int(port))
        recorder = Recorder(tmp_path / "x.facts", 0.0)
        sender = RequestSender(SCENARIO, recorder)

        async def send(id: str, ends_s: float = 20.0, leaves_s: float | None = None) -> Outcome:
            now = recorder.now()
            leaves = None if leaves_s is None else now + leaves_s
            attempt = Attempt(0, id, SAFE, 0, now, now + ends_s, leaves)
            return await sender.send(
                attempt, "n0", address, lambda budget_s: encode_request(SAFE, id, "", 1, budget_s, False, b"")
            )

        await work(send)
        await sender.close()
        recorder.close()
        await peer.stop()

    run(test())
    return read_folder(tmp_path)


def tags(facts: list[Fact]) -> list[str]:
    return [fact.tag for fact in facts]


def test_a_response_is_recorded_as_sound_only_with_the_expected_body(tmp_path: Path) -> None:
    async def work(send: Send) -> None:
        assert (await send("a")).status == 200
        assert (await send("b")).status == 200

    facts = play(tmp_path, Scripted(SOUND, answer(200, b"made up")), work)
    assert [fact.sound for fact in facts if isinstance(fact, ResponseReceived)] == [True, False]


def test_connections_are_reused(tmp_path: Path) -> None:
    peer = Scripted()

    async def work(send: Send) -> None:
        for n in range(5):
            await send(f"r{n}")

    play(tmp_path, peer, work)
    assert peer.connections == 1


def test_a_request_that_races_with_an_idle_close_is_resent_on_a_new_connection(
    tmp_path: Path,
) -> None:
    peer = Scripted(SOUND, CLOSE, SOUND)

    async def work(send: Send) -> None:
        await send("a")
        assert (await send("b")).status == 200

    facts = play(tmp_path, peer, work)
    assert tags(facts) == ["asked", "answered", "asked", "cut", "asked", "answered"]
    assert peer.connections == 2


def test_a_close_on_a_new_connection_is_not_retried(tmp_path: Path) -> None:
    async def work(send: Send) -> None:
        assert (await send("a")).how == "closed"
        assert (await send("b")).how == "reset"

    facts = play(tmp_path, Scripted(CLOSE, RESET), work)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["closed", "reset"]


def test_a_truncated_response_is_recorded_as_broken(tmp_path: Path) -> None:
    async def work(send: Send) -> None:
        assert (await send("a")).how == "broken"

    facts = play(tmp_path, Scripted(answer(200, b"long")[:-2] + CLOSE), work)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["broken"]


def test_bytes_after_the_response_are_recorded_once_and_the_connection_is_dropped(tmp_path: Path) -> None:
    peer = Scripted(SOUND + SOUND, SOUND)

    async def work(send: Send) -> None:
        await send("a")
        await asyncio.sleep(0.05)  # the extra bytes may arrive with the response or after it
        await send("b")

    facts = play(tmp_path, peer, work)
    assert [fact.id for fact in facts if isinstance(fact, ExtraBytes)] == ["a"]
    assert peer.connections == 2


def test_a_response_shortly_after_the_deadline_is_still_recorded(tmp_path: Path) -> None:
    class Late(Scripted):
        async def script(self, message: Seen) -> bytes:
            await asyncio.sleep(0.12)
            return await super().script(message)

    async def work(send: Send) -> None:
        # The slack is 70 ms. On a busy machine the response may miss it, but exactly one fact is recorded.
        assert (await send("a", ends_s=0.1)).how == "timeout"

    facts = play(tmp_path, Late(), work)
    assert len([f for f in facts if isinstance(f, ResponseReceived | RequestTimedOut)]) == 1


def test_no_response_until_the_deadline_is_recorded_as_unanswered(tmp_path: Path) -> None:
    peer = Scripted(HANG, HANG)

    async def work(send: Send) -> None:
        assert (await send("a", ends_s=0.05)).how == "timeout"
        assert (await send("b", leaves_s=0.05)).how == "timeout"
        await until(lambda: peer.lost == 2)  # both connections were closed

    facts = play(tmp_path, peer, work)
    gave_up_early = {fact.id: fact.left for fact in facts if isinstance(fact, RequestTimedOut)}
    assert gave_up_early == {"a": False, "b": True}


def test_a_refused_connection_records_no_sent_request(tmp_path: Path) -> None:
    peer = Scripted()

    async def work(send: Send) -> None:
        await peer.stop()
        assert (await send("a")).how == "refused"

    facts = play(tmp_path, peer, work)
    assert not any(isinstance(fact, RequestSent) for fact in facts)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["refused"]


def test_reading_a_record_skips_an_incomplete_last_line(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "x.facts", 0.0)
    recorder.put(ConnectionClosed(1.0, 0, "a", "n0", "closed", False))
    recorder.put(ConnectionClosed(2.0, 0, "b", "n0", "closed", False))
    recorder.close()
    path = tmp_path / "x.facts"
    path.write_text(path.read_text()[:-5])
    assert [fact.t for fact in read_folder(tmp_path)] == [1.0]
