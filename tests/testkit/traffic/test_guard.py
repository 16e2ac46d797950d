"""What may be sent where, and ways round it."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.testkit.exchange import Attempt, RequestSender, UnknownPeerError, encode_request
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.traffic.guard import (
    PROOF_CLASS,
    Guard,
    Permission,
    TargetError,
    new_key,
    new_nonce,
    proof,
    proven,
    read_guard,
    read_target,
)
from orchidferry.testkit.wire import Outcome, Request, ServerSide

KEY = new_key()
HERE = read_target("http://127.0.0.1:9000")
THERE = read_target("http://10.1.2.3:9000")


@pytest.mark.parametrize(
    ("url", "words"),
    [
        ("http://front.example:80", "names are not looked up"),
        ("http://127.0.0.1.front.example", "names are not looked up"),
        ("http://0x7f000001", "names are not looked up"),
        ("http://2130706433", "names are not looked up"),
        ("https://127.0.0.1", "is not http://"),
        ("127.0.0.1:80", "is not http://"),
        ("http://127.0.0.1@10.0.0.1", "is not http://"),
        ("http://127.0.0.1/path", "more than an address"),
        ("http://127.0.0.1?to=10.0.0.1", "more than an address"),
        ("http://127.0.0.1:99999", "no URL"),
        ("http://0.0.0.0", "not the address of one machine"),
        ("http://[::]", "not the address of one machine"),
        ("http://224.0.0.1", "not the address of one machine"),
        ("http://[fe80::1%25eth0]", "not the address of one machine"),
        ("", "is not http://"),
    ],
)
def test_a_target_is_one_address_and_nothing_else(url: str, words: str) -> None:
    with pytest.raises(TargetError, match=words):
        read_target(url)


@given(st.text(max_size=60))
def test_any_text_is_a_target_or_a_clean_refusal(text: str) -> None:
    for url in (text, f"http://{text}"):
        try:
            found = read_target(url)
        except TargetError as problem:
            assert "\n" not in str(problem)
        else:
            assert read_target(str(found)) == found


def test_an_address_within_an_address_is_what_it_stands_for() -> None:
    assert read_target("http://[::ffff:10.1.2.3]:9000") == THERE
    assert read_target("http://[::ffff:127.0.0.1]:9000").loopback and not THERE.loopback


@pytest.mark.parametrize(
    ("target", "named", "safe", "keyed", "unsafe"),
    [
        (None, (), Permission.SEND, Permission.SEND, Permission.PROVEN),
        (HERE, (), Permission.MARKED, Permission.MARKED, Permission.LEFT_OUT),
        (HERE, ("unsafe",), Permission.MARKED, Permission.MARKED, Permission.MARKED),
        (THERE, (), Permission.LEFT_OUT, Permission.LEFT_OUT, Permission.LEFT_OUT),
        (THERE, ("safe",), Permission.MARKED, Permission.LEFT_OUT, Permission.LEFT_OUT),
    ],
)
def test_what_may_go_where(
    target: Any, named: tuple[str, ...], safe: Permission, keyed: Permission, unsafe: Permission
) -> None:
    guard = Guard(target, frozenset(named))
    assert [guard.permission(kind, kind) for kind in ("safe", "keyed", "unsafe")] == [safe, keyed, unsafe]
    assert guard.permission("other", "no such word") is guard.permission("other", "unsafe")


@pytest.mark.parametrize(
    ("target", "names", "words"),
    [
        ("http://127.0.0.1:1", ["a@http://127.0.0.1:2"], "another target"),
        (None, ["a@http://127.0.0.1:2"], "there is none"),
        ("http://127.0.0.1:1", ["a"], "is not CLASS@URL"),
        ("http://127.0.0.1:1", ["@http://127.0.0.1:1"], "is not CLASS@URL"),
    ],
)
def test_class_and_target_are_both_named(target: str | None, names: list[str], words: str) -> None:
    with pytest.raises(TargetError, match=words):
        read_guard(target, names)
    assert read_guard("http://localhost:1", ["a@http://127.0.0.1:1"]).named == {"a"}


@given(st.binary(max_size=80), st.text(max_size=40))
def test_nothing_but_the_keys_holder_answers_a_nonce(answer: bytes, text: str) -> None:
    nonce = new_nonce()
    assert proven(KEY, nonce, proof(KEY, nonce))
    assert not proven(KEY, nonce, answer) and not proven(KEY, nonce, proof(new_key(), nonce))
    assert not proven(KEY, nonce, proof(KEY, new_nonce())) and not proven("", nonce, proof("", nonce))
    assert proof(KEY, text) == b"" and not proven(KEY, text, b"")


# Peers on sockets: who gets to see an unsafe request?


class Peer:
    """Listens on loopback and answers as it is told; `seen` are methods and paths."""

    def __init__(self, answer: Callable[[Request], tuple[int, bytes, str] | None]) -> None:
        self._answer = answer
        self.seen: list[str] = []
        self.requests: list[Request] = []
        self.connections: list[ServerSide] = []

    async def up(self, port: int = 0) -> Peer:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerSide(self._came, lambda _: None, self.connections.append), "127.0.0.1", port
        )
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return self

    def _came(self, connection: ServerSide, request: Request) -> None:
        self.seen.append(f"{request.method} {request.target.partition('?')[0]}")
        self.requests.append(request)
        found = self._answer(request)
        if found is not None:
            connection.answer(*found)

    async def down(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.reset()
        await self.server.wait_closed()


def holder(request: Request) -> tuple[int, bytes, str]:
    """The kit's own."""
    return 200, proof(KEY, request.target.partition("nonce=")[2]) or b"done", ""


SCENARIO = Scenario("guarded")
UNSAFE = SCENARIO.classes[2]


async def ask(exchanges: RequestSender, peer: Peer, number: int, limit_s: float = 0.4) -> Outcome:
    now = exchanges.recorder.now()
    one = Attempt(0, f"r{number}.0", UNSAFE, 0, now, now + limit_s)
    text = encode_request(UNSAFE, one.id, "", 1, limit_s, False, b"pay")
    return await exchanges.send(one, "n0", peer.address, lambda _: text)


def run(
    work: Callable[[RequestSender], Coroutine[Any, Any, None]], folder: Path, guard: Guard | None = None
) -> None:
    async def whole() -> None:
        recorder = Recorder(folder / "a.facts", 0.0)
        scenario = replace(SCENARIO, guard=guard or Guard())
        exchanges = RequestSender(scenario, recorder, None, "" if guard else KEY)
        try:
            async with asyncio.timeout(10.0):
                await work(exchanges)
        finally:
            await exchanges.close()
            recorder.close()

    asyncio.run(whole())


POST = f"POST /{UNSAFE.name}"
PROOF = f"GET /{PROOF_CLASS}"


def test_the_kits_own_proves_itself_once_for_each_connection(tmp_path: Path) -> None:
    async def work(exchanges: RequestSender) -> None:
        peer = await Peer(holder).up()
        for number in range(3):
            assert (await ask(exchanges, peer, number)).status == 200
        assert peer.seen == [PROOF, POST, POST, POST]
        await peer.down()

    run(work, tmp_path)


old = proof(KEY, new_nonce())


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (lambda _: (200, b"ok", ""), UnknownPeerError),
        (lambda _: (404, b"", ""), UnknownPeerError),
        (lambda _: (200, old, ""), UnknownPeerError),  # it has heard an answer once
        (lambda r: (200, r.target.partition("nonce=")[2].encode(), ""), UnknownPeerError),
        (lambda r: (200, proof("00" * 32, r.target.partition("nonce=")[2]), ""), UnknownPeerError),
        (lambda r: (302, b"", "Location: http://127.0.0.1:1/\r\n"), UnknownPeerError),
        (lambda r: (503, proof(KEY, r.target.partition("nonce=")[2]), ""), "silent"),
        (lambda _: None, "silent"),
    ],
)
def test_a_stranger_at_a_nodes_address_sees_no_unsafe_request(
    answer: Any, outcome: Any, tmp_path: Path
) -> None:
    async def work(exchanges: RequestSender) -> None:
        peer = await Peer(answer).up()
        if outcome is UnknownPeerError:
            with pytest.raises(UnknownPeerError, match="is not the kit's own"):
                await ask(exchanges, peer, 0)
        else:
            assert (await ask(exchanges, peer, 0)).how == outcome
        assert peer.seen == [PROOF]
        await peer.down()

    run(work, tmp_path)


def test_who_takes_over_an_address_must_prove_it_anew(tmp_path: Path) -> None:
    async def work(exchanges: RequestSender) -> None:
        peer = await Peer(holder).up()
        assert (await ask(exchanges, peer, 0)).status == 200
        await peer.down()
        other = await Peer(lambda _: (200, b"done", "")).up(peer.address[1])
        with pytest.raises(UnknownPeerError):
            await ask(exchanges, other, 1)
        assert POST not in other.seen
        await other.down()

    run(work, tmp_path)


def test_a_redirect_is_an_answer_and_a_proxy_is_not_asked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work(exchanges: RequestSender) -> None:
        other = await Peer(lambda _: (200, b"", "")).up()
        where = f"http://127.0.0.1:{other.address[1]}"
        for name in ("HTTP_PROXY", "http_proxy", "ALL_PROXY", "all_proxy"):
            monkeypatch.setenv(name, where)
        assert os.environ["http_proxy"] == where
        peer = await Peer(lambda _: (307, b"", f"Location: {where}/{UNSAFE.name}\r\n")).up()
        assert (await ask(exchanges, peer, 0)).status == 307
        assert (peer.seen, other.seen) == ([POST], [])
        await peer.down()
        await other.down()

    run(work, tmp_path, Guard(HERE, frozenset({UNSAFE.name})))
