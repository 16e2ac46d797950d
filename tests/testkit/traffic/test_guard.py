"""Which requests the guard lets through to which servers, and attempts to bypass it."""

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
LOOPBACK = read_target("http://127.0.0.1:9000")
REMOTE = read_target("http://10.1.2.3:9000")


@pytest.mark.parametrize(
    ("url", "message"),
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
def test_a_target_must_be_one_ip_address(url: str, message: str) -> None:
    with pytest.raises(TargetError, match=message):
        read_target(url)


@given(st.text(max_size=60))
def test_any_text_is_a_target_or_a_one_line_error(text: str) -> None:
    for url in (text, f"http://{text}"):
        try:
            found = read_target(url)
        except TargetError as problem:
            assert "\n" not in str(problem)
        else:
            assert read_target(str(found)) == found


def test_an_ipv4_mapped_address_is_the_ipv4_address() -> None:
    assert read_target("http://[::ffff:10.1.2.3]:9000") == REMOTE
    assert read_target("http://[::ffff:127.0.0.1]:9000").loopback and not REMOTE.loopback


@pytest.mark.parametrize(
    ("target", "named", "safe", "keyed", "unsafe"),
    [
        (None, (), Permission.SEND, Permission.SEND, Permission.PROVEN),
        (LOOPBACK, (), Permission.MARKED, Permission.MARKED, Permission.LEFT_OUT),
        (LOOPBACK, ("unsafe",), Permission.MARKED, Permission.MARKED, Permission.MARKED),
        (REMOTE, (), Permission.LEFT_OUT, Permission.LEFT_OUT, Permission.LEFT_OUT),
        (REMOTE, ("safe",), Permission.MARKED, Permission.LEFT_OUT, Permission.LEFT_OUT),
    ],
)
def test_permissions_by_target_and_class(
    target: Any, named: tuple[str, ...], safe: Permission, keyed: Permission, unsafe: Permission
) -> None:
    guard = Guard(target, frozenset(named))
    assert [guard.permission(kind, kind) for kind in ("safe", "keyed", "unsafe")] == [safe, keyed, unsafe]
    assert guard.permission("other", "no such word") is guard.permission("other", "unsafe")


@pytest.mark.parametrize(
    ("target", "names", "message"),
    [
        ("http://127.0.0.1:1", ["a@http://127.0.0.1:2"], "another target"),
        (None, ["a@http://127.0.0.1:2"], "there is none"),
        ("http://127.0.0.1:1", ["a"], "is not CLASS@URL"),
        ("http://127.0.0.1:1", ["@http://127.0.0.1:1"], "is not CLASS@URL"),
    ],
)
def test_the_option_send_names_both_class_and_target(
    target: str | None, names: list[str], message: str
) -> None:
    with pytest.raises(TargetError, match=message):
        read_guard(target, names)
    assert read_guard("http://localhost:1", ["a@http://127.0.0.1:1"]).named == {"a"}


@given(st.binary(max_size=80), st.text(max_size=40))
def test_only_a_holder_of_the_key_can_answer_a_nonce(answer: bytes, text: str) -> None:
    nonce = new_nonce()
    assert proven(KEY, nonce, proof(KEY, nonce))
    assert not proven(KEY, nonce, answer) and not proven(KEY, nonce, proof(new_key(), nonce))
    assert not proven(KEY, nonce, proof(KEY, new_nonce())) and not proven("", nonce, proof("", nonce))
    assert proof(KEY, text) == b"" and not proven(KEY, text, b"")


# Servers on sockets: which of them receive an unsafe request


class Peer:
    """A server on loopback.

    :param answer: returns status, body and header fields of the answer to a request; None for no answer.
    """

    def __init__(self, answer: Callable[[Request], tuple[int, bytes, str] | None]) -> None:
        self._answer = answer
        self.seen: list[str] = []  # method and path of each request
        self.requests: list[Request] = []
        self.connections: list[ServerSide] = []

    async def start(self, port: int = 0) -> Peer:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ServerSide(self._on_request, lambda _: None, self.connections.append), "127.0.0.1", port
        )
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return self

    def _on_request(self, connection: ServerSide, request: Request) -> None:
        self.seen.append(f"{request.method} {request.target.partition('?')[0]}")
        self.requests.append(request)
        found = self._answer(request)
        if found is not None:
            connection.answer(*found)

    async def stop(self) -> None:
        self.server.close()
        for connection in self.connections:
            connection.reset()
        await self.server.wait_closed()


def prove(request: Request) -> tuple[int, bytes, str]:
    """Answers as a server of the kit does, which has the key."""
    return 200, proof(KEY, request.target.partition("nonce=")[2]) or b"done", ""


SCENARIO = Scenario("guarded")
UNSAFE = SCENARIO.classes[2]


async def send(sender: RequestSender, peer: Peer, number: int, limit_s: float = 0.4) -> Outcome:
    now = sender.recorder.now()
    attempt = Attempt(0, f"r{number}.0", UNSAFE, 0, now, now + limit_s)
    text = encode_request(UNSAFE, attempt.id, "", 1, limit_s, False, b"pay")
    return await sender.send(attempt, "n0", peer.address, lambda _: text)


def run(
    test: Callable[[RequestSender], Coroutine[Any, Any, None]], folder: Path, guard: Guard | None = None
) -> None:
    async def run_test() -> None:
        recorder = Recorder(folder / "a.facts", 0.0)
        scenario = replace(SCENARIO, guard=guard or Guard())
        sender = RequestSender(scenario, recorder, None, "" if guard else KEY)
        try:
            async with asyncio.timeout(10.0):
                await test(sender)
        finally:
            await sender.close()
            recorder.close()

    asyncio.run(run_test())


POST = f"POST /{UNSAFE.name}"
PROOF = f"GET /{PROOF_CLASS}"


def test_a_server_of_the_kit_proves_itself_once_per_connection(tmp_path: Path) -> None:
    async def test(sender: RequestSender) -> None:
        peer = await Peer(prove).start()
        for number in range(3):
            assert (await send(sender, peer, number)).status == 200
        assert peer.seen == [PROOF, POST, POST, POST]
        await peer.stop()

    run(test, tmp_path)


OLD_ANSWER = proof(KEY, new_nonce())


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (lambda _: (200, b"ok", ""), UnknownPeerError),
        (lambda _: (404, b"", ""), UnknownPeerError),
        (lambda _: (200, OLD_ANSWER, ""), UnknownPeerError),  # an answer to an earlier nonce
        (lambda r: (200, r.target.partition("nonce=")[2].encode(), ""), UnknownPeerError),
        (lambda r: (200, proof("00" * 32, r.target.partition("nonce=")[2]), ""), UnknownPeerError),
        (lambda r: (302, b"", "Location: http://127.0.0.1:1/\r\n"), UnknownPeerError),
        (lambda r: (503, proof(KEY, r.target.partition("nonce=")[2]), ""), "silent"),
        (lambda _: None, "silent"),
    ],
)
def test_a_foreign_server_at_a_nodes_address_gets_no_unsafe_request(
    answer: Any, outcome: Any, tmp_path: Path
) -> None:
    async def test(sender: RequestSender) -> None:
        peer = await Peer(answer).start()
        if outcome is UnknownPeerError:
            with pytest.raises(UnknownPeerError, match="is not the kit's own"):
                await send(sender, peer, 0)
        else:
            assert (await send(sender, peer, 0)).how == outcome
        assert peer.seen == [PROOF]
        await peer.stop()

    run(test, tmp_path)


def test_a_server_that_takes_over_an_address_must_prove_itself_again(tmp_path: Path) -> None:
    async def test(sender: RequestSender) -> None:
        peer = await Peer(prove).start()
        assert (await send(sender, peer, 0)).status == 200
        await peer.stop()
        other = await Peer(lambda _: (200, b"done", "")).start(peer.address[1])
        with pytest.raises(UnknownPeerError):
            await send(sender, other, 1)
        assert POST not in other.seen
        await other.stop()

    run(test, tmp_path)


def test_redirects_are_not_followed_and_proxies_are_not_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test(sender: RequestSender) -> None:
        other = await Peer(lambda _: (200, b"", "")).start()
        where = f"http://127.0.0.1:{other.address[1]}"
        for name in ("HTTP_PROXY", "http_proxy", "ALL_PROXY", "all_proxy"):
            monkeypatch.setenv(name, where)
        assert os.environ["http_proxy"] == where
        peer = await Peer(lambda _: (307, b"", f"Location: {where}/{UNSAFE.name}\r\n")).start()
        assert (await send(sender, peer, 0)).status == 307
        assert (peer.seen, other.seen) == ([POST], [])
        await peer.stop()
        await other.stop()

    run(test, tmp_path, Guard(LOOPBACK, frozenset({UNSAFE.name})))
