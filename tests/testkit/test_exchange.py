"""What an asker books of an exchange, with a scripted node at the other end."""

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
    """Answers by a list; `SOUND` is the right answer to whatever was asked."""

    def __init__(self, *script: bytes) -> None:
        super().__init__()
        self.left = list(script)

    async def script(self, encode_request: Seen) -> bytes:
        data = self.left.pop(0) if self.left else SOUND
        return data.replace(SOUND, answer(200, expected_body(SCENARIO.seed, encode_request.id)))


SOUND = b"SOUND"
Asker = Callable[..., Coroutine[Any, Any, Outcome]]


def play(tmp_path: Path, peer: Scripted, work: Callable[[Asker], Coroutine[Any, Any, None]]) -> list[Fact]:
    async def test() -> None:
        await peer.start()
        host, _, port = peer.address.partition(":")
        address: Address = (host, int(port))
        recorder = Recorder(tmp_path / "x.facts", 0.0)
        exchanges = RequestSender(SCENARIO, recorder)

        async def ask(id: str, ends_s: float = 20.0, leaves_s: float | None = None) -> Outcome:
            now = recorder.now()
            leaves = None if leaves_s is None else now + leaves_s
            one = Attempt(0, id, SAFE, 0, now, now + ends_s, leaves)
            return await exchanges.send(
                one, "n0", address, lambda left: encode_request(SAFE, id, "", 1, left, False, b"")
            )

        await work(ask)
        await exchanges.close()
        recorder.close()
        await peer.stop()

    run(test())
    return read_folder(tmp_path)


def tags(facts: list[Fact]) -> list[str]:
    return [fact.tag for fact in facts]


def test_an_answer_is_booked_with_whether_a_server_made_it(tmp_path: Path) -> None:
    async def work(ask: Asker) -> None:
        assert (await ask("a")).status == 200
        assert (await ask("b")).status == 200

    facts = play(tmp_path, Scripted(SOUND, answer(200, b"made up")), work)
    assert [fact.sound for fact in facts if isinstance(fact, ResponseReceived)] == [True, False]


def test_connections_are_kept_and_used_again(tmp_path: Path) -> None:
    peer = Scripted()

    async def work(ask: Asker) -> None:
        for n in range(5):
            await ask(f"r{n}")

    play(tmp_path, peer, work)
    assert peer.connections == 1


def test_a_close_that_crosses_a_request_is_followed_by_one_more_try_on_a_new_connection(
    tmp_path: Path,
) -> None:
    peer = Scripted(SOUND, CLOSE, SOUND)

    async def work(ask: Asker) -> None:
        await ask("a")
        assert (await ask("b")).status == 200

    facts = play(tmp_path, peer, work)
    assert tags(facts) == ["asked", "answered", "asked", "cut", "asked", "answered"]
    assert peer.connections == 2


def test_a_close_on_a_new_connection_is_not_tried_again(tmp_path: Path) -> None:
    async def work(ask: Asker) -> None:
        assert (await ask("a")).how == "closed"
        assert (await ask("b")).how == "reset"

    facts = play(tmp_path, Scripted(CLOSE, RESET), work)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["closed", "reset"]


def test_half_an_answer_is_told_from_a_whole_one(tmp_path: Path) -> None:
    async def work(ask: Asker) -> None:
        assert (await ask("a")).how == "broken"

    facts = play(tmp_path, Scripted(answer(200, b"long")[:-2] + CLOSE), work)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["broken"]


def test_what_comes_after_the_answer_is_booked_once_and_the_connection_dropped(tmp_path: Path) -> None:
    peer = Scripted(SOUND + SOUND, SOUND)

    async def work(ask: Asker) -> None:
        await ask("a")
        await asyncio.sleep(0.05)  # it may come with the answer, or after it
        await ask("b")

    facts = play(tmp_path, peer, work)
    assert [fact.id for fact in facts if isinstance(fact, ExtraBytes)] == ["a"]
    assert peer.connections == 2


def test_an_answer_within_the_slack_after_the_time_is_up_is_still_seen(tmp_path: Path) -> None:
    class Late(Scripted):
        async def script(self, encode_request: Seen) -> bytes:
            await asyncio.sleep(0.12)
            return await super().script(encode_request)

    async def work(ask: Asker) -> None:
        # The slack is 70 ms: whichever way a busy machine decides, it is booked once.
        assert (await ask("a", ends_s=0.1)).how == "timeout"

    facts = play(tmp_path, Late(), work)
    assert len([f for f in facts if isinstance(f, ResponseReceived | RequestTimedOut)]) == 1


def test_silence_until_the_time_is_up_is_booked_as_unanswered(tmp_path: Path) -> None:
    peer = Scripted(HANG, HANG)

    async def work(ask: Asker) -> None:
        assert (await ask("a", ends_s=0.05)).how == "timeout"
        assert (await ask("b", leaves_s=0.05)).how == "timeout"
        await until(lambda: peer.lost == 2)  # it gave up both connections

    facts = play(tmp_path, peer, work)
    booked = {fact.id: fact.left for fact in facts if isinstance(fact, RequestTimedOut)}
    assert booked == {"a": False, "b": True}


def test_a_node_that_is_not_there_has_taken_nothing(tmp_path: Path) -> None:
    peer = Scripted()

    async def work(ask: Asker) -> None:
        await peer.stop()
        assert (await ask("a")).how == "refused"

    facts = play(tmp_path, peer, work)
    assert not any(isinstance(fact, RequestSent) for fact in facts)
    assert [fact.how for fact in facts if isinstance(fact, ConnectionClosed)] == ["refused"]


def test_a_record_cut_in_the_middle_of_a_line_keeps_the_rest(tmp_path: Path) -> None:
    recorder = Recorder(tmp_path / "x.facts", 0.0)
    recorder.put(ConnectionClosed(1.0, 0, "a", "n0", "closed", False))
    recorder.put(ConnectionClosed(2.0, 0, "b", "n0", "closed", False))
    recorder.close()
    path = tmp_path / "x.facts"
    path.write_text(path.read_text()[:-5])
    assert [fact.t for fact in read_folder(tmp_path)] == [1.0]
