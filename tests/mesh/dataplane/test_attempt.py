"""Which requests may have run, drawn at the first byte: an at-most-once request has one unproven sending."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidferry.balancing import logic
from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane import pending_request
from orchidferry.mesh.dataplane import service_client as module
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.http_connection import HttpConnection
from orchidferry.node.flow import MAX_BUFFERED_BODY, Flow
from orchidferry.node.reply import Reply
from orchidferry.node.timer_queue import TimerQueue
from tests.mesh.fakes import patch_clock, proxied_request, route, service_client
from tests.mesh.wire_fakes import Peer, Pool, Sent, close_all, pool

DEADLINE_TOLERANCE_MS = 1.0  # past a route's guard; the operators pay for 250
NOT_RUN_STATUSES = (408, 421, 429, 503)


def answer(id: str, status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\nServer-Seal: x\r\n%bContent-Length: 2\r\n\r\nok" % (
        status,
        id.encode(),
        more,
    )


PROOFS: tuple[Callable[[str], bytes], ...] = (
    lambda id: answer(id, b"503 Full", b"Not-Executed: 1\r\n"),
    lambda id: answer(id, b"421 Other"),
    lambda id: answer(id, b"503 No", b"Orchid-Gate: unrun\r\n"),
    lambda id: answer(id, b"503 No", b"Orchid-Gate: gone\r\n"),
)
NO_PROOFS: tuple[Callable[[str], bytes], ...] = (
    answer,
    lambda id: answer(id, b"500 Broken"),
    lambda id: answer(id, b"503 Full"),
    lambda id: answer(id, b"502 Lost", b"Orchid-Gate: lost\r\n"),
    lambda id: answer(id, b"504 Late", b"Orchid-Gate: late\r\n"),
    lambda id: answer(id, b"503 Full", b"Not-Executed: 1\r\n").replace(b"Attempt-Id: ", b"X: "),
    lambda id: answer("other", b"503 Full", b"Not-Executed: 1\r\n"),
    lambda id: b"noise\r\n\r\n",
)


class KernelPool(Pool):
    """A pool whose kernel takes as little as it is told, and whose dials fail when told."""

    takes: int | None = None
    refuses = False

    async def _dial(self, attempt: Any) -> None:
        if self.refuses:
            attempt.end(Result.UNREACHABLE)
            return
        connection = HttpConnection(self, attempt.server, attempt.address)
        peer = Peer(connection)
        peer.transport.takes = self.takes
        self.peers.append(peer)
        self._open.add(connection)
        connection.send_attempt(attempt)


@dataclass
class Sending:
    """One writing of a request on a connection."""

    id: str
    peer: Peer
    start: int
    proven: bool = False

    @property
    def possibly_sent(self) -> bool:
        return len(self.peer.transport.written) > self.start


class Scene:
    """The shipping service client over the shipping connections, to three gates that are played."""

    def __init__(self, patch: Any, seed: int) -> None:
        patch.setattr(module, "random", SimpleNamespace(Random=lambda: random.Random(seed)))
        self.loop, made = pool()
        self.pool = KernelPool(self.loop, 400.0, 14_000.0, lambda: 99, TimerQueue(self.loop), 500.0)
        self.pool.peers = made.peers
        patch_clock(patch, self.loop.now_ms)
        self.service = service_client(self.loop, self.pool)
        self.kinds = [route("idempotent", 3), route("non_idempotent", 3)]
        servers = [Server(id, "s", "z", IN_SERVICE, 4, 0.0) for id in "123"]
        self.service.update_servers({s.id: NodeRecord(s.id, 1, 1, "z", "127.0.0.1", 1, s) for s in servers})
        self.service.set_routes(self.kinds)
        self.replies: dict[str, list[Reply]] = {}
        self.asked_ms: dict[str, float] = {}
        self.at_most_once: set[str] = set()
        self.requests: dict[str, Any] = {}
        self.sendings: list[Sending] = []
        send_attempt = HttpConnection.send_attempt

        def noted(connection: HttpConnection, attempt: Any) -> None:
            [peer] = [p for p in self.pool.peers if p.connection is connection]
            self.sendings.append(Sending(attempt.message.id, peer, len(peer.transport.written)))
            send_attempt(connection, attempt)

        patch.setattr(HttpConnection, "send_attempt", noted)

    def ask(self, once: bool) -> str:
        id = f"t{len(self.replies)}"
        self.replies[id] = []
        self.asked_ms[id] = self.loop.now_ms()
        if once:
            self.at_most_once.add(id)
        self.requests[id] = self.service.take(
            proxied_request(id),
            self.kinds[once],
            self.loop.now_ms() + 1_000.0,
            lambda reply: self.answered(id, reply),
        )
        return id

    def answered(self, id: str, reply: Reply) -> None:
        assert self.loop.now_ms() <= self.asked_ms[id] + 1_000.0 + DEADLINE_TOLERANCE_MS, (
            "held past its guard"
        )
        self.replies[id].append(reply)

    def open_attempts(self) -> list[Sending]:
        """The last sending on each connection, where its attempt is out."""
        last = {id(sending.peer): sending for sending in self.sendings}
        return [sending for sending in last.values() if sending.peer.connection._attempt is not None]

    def check(self) -> None:
        for id in self.replies:
            begun = [s for s in self.sendings if s.id == id and s.possibly_sent]
            assert len(begun) <= 3
            unproven = [s for s in begun if not s.proven]
            if id in self.at_most_once:
                assert len(unproven) <= 1, "sent twice without a proof"
                assert not unproven or begun[-1] is unproven[0], "sent after what may have run"
                for reply in self.replies[id]:
                    assert reply.status not in NOT_RUN_STATUSES or not unproven, (
                        "a promise for what may have run"
                    )
            assert len(self.replies[id]) <= 1

    def step(self, rng: random.Random) -> None:
        dice = rng.random()
        out = self.open_attempts()
        self.pool.takes, self.pool.refuses = rng.choice((None, None, 0, 9)), rng.random() < 0.2
        if dice < 0.3 or not out:
            self.ask(rng.random() < 0.7)
        elif dice < 0.8:
            self.act(rng, rng.choice(out))
        elif dice < 0.95:
            self.loop.pass_ms(rng.choice((1.0, 40.0, 300.0, 1_000.0)))
        else:
            self.requests[rng.choice(sorted(self.requests))].client_disconnected()
        self.check()

    def act(self, rng: random.Random, sending: Sending) -> None:
        peer = sending.peer
        dice = rng.random()
        if peer.transport.held and dice < 0.7:
            peer.transport.drain(rng.choice((1, 9, 10_000)))
        elif dice < 0.2:
            if sending.possibly_sent and rng.random() < 0.5:  # a proof that is cut short is none
                peer.put(rng.choice(PROOFS)(sending.id)[:-1])
                peer.read()
            peer.lose(rng.choice((None, ConnectionResetError())))
        elif sending.possibly_sent:
            proof = rng.random() < 0.5 and not peer.transport.held
            data = rng.choice(PROOFS if proof else NO_PROOFS)(sending.id)
            sending.proven = proof
            cut = rng.randrange(len(data) + 1)
            peer.put(data[:cut])
            peer.read()
            peer.put(data[cut:])
            peer.read()


def play(seed: int) -> None:
    rng = random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        scene = Scene(patch, seed)
        try:
            for _ in range(60):
                scene.step(rng)
            scene.loop.pass_ms(3_000.0)
            scene.check()
            for id, replies in scene.replies.items():
                assert len(replies) == 1 or not scene.requests[id].awaited
        finally:
            close_all(scene.pool)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 2**40))
def test_an_at_most_once_request_is_never_sent_twice_without_a_proof(seed: int) -> None:
    play(seed)


UNSURE = logic.NEVER_RAN | {Result.RESET, Result.TIMEOUT}
BREAKS: dict[str, list[tuple[Any, str, Any]]] = {
    "sent-at-last-byte": [(TrackedAttempt, "possibly_sent", property(lambda self: self.written))],
    "retry-after-silence": [(logic, "NEVER_RAN", UNSURE), (pending_request, "NEVER_RAN", UNSURE)],
}


@pytest.mark.parametrize("name", BREAKS)
def test_a_break_is_detected(name: str) -> None:
    with pytest.MonkeyPatch.context() as patch:
        for owner, field, broken in BREAKS[name]:
            patch.setattr(owner, field, broken)
        with pytest.raises(AssertionError, match=r"sent|promise"):
            for seed in range(40):
                play(seed)


# One sending


@pytest.mark.parametrize(
    ("taken", "result"),
    [
        (None, Result.RESET),
        (1, Result.RESET),
        (0, Result.RESET),  # lost: what was in the buffer can't be told
    ],
)
def test_a_connection_reset(taken: int | None, result: Result) -> None:
    sent, peer = sending(taken)
    peer.lose(ConnectionResetError())
    assert [r for r, _ in sent.ends] == [result]


@pytest.mark.parametrize(
    ("taken", "later", "result"),
    [
        (None, 0, Result.TIMEOUT),
        (1, 0, Result.TIMEOUT),
        (0, 0, Result.UNREACHABLE),
        (0, 1, Result.TIMEOUT),
    ],
)
def test_a_timeout(taken: int | None, later: int, result: Result) -> None:
    """Only if the kernel took no byte of it, it is known never to run: its connection is closed with it."""
    sent, peer = sending(taken)
    if later:
        peer.transport.drain(later)
    sent.on_timeout()
    assert [r for r, _ in sent.ends] == [result] and peer.transport.closed


@pytest.mark.parametrize("cut", ["head", "body", "nothing"])
def test_a_connection_lost_within_the_response(cut: str) -> None:
    sent, peer = sending(None)
    peer.put({"head": answer("t1")[:30], "body": answer("t1")[:-1], "nothing": b""}[cut])
    peer.read()
    peer.lose()
    assert [r for r, _ in sent.ends] == [Result.RESET]


def test_a_streamed_request_is_possibly_sent_with_its_head() -> None:
    """The node in service would say that it never ran: its last byte is not written."""
    _, made = pool()
    sent = Sent(proxied_request("t1"), at_most_once=True)
    sent.message.flow = Flow(mock.Mock(), None, 0.0)
    made.send(sent)
    made.peers[0].lose()
    assert not sent.written and [r for r, _ in sent.ends] == [Result.RESET]
    close_all(made)


def test_a_streamed_request_is_timed_from_its_last_byte() -> None:
    """While the body moves only a standstill counts; then the server may work for as long as the rest."""
    loop, made = pool()
    sent = Sent(proxied_request("t1"))
    sent.timeout_ms = 6_000.0
    flow = sent.message.flow = Flow(mock.Mock(), None, loop.time())
    made.send(sent)
    for _ in range(8):
        loop.pass_ms(1_000.0)
        flow.push(b"x" * MAX_BUFFERED_BODY, loop.time())
    flow.finish()
    loop.pass_ms(5_900.0)
    assert sent.written and not sent.ends
    loop.pass_ms(200.0)
    assert [r for r, _ in sent.ends] == [Result.TIMEOUT]
    close_all(made)


def sending(taken: int | None) -> tuple[Sent, Peer]:
    _, made = pool()
    kernel = KernelPool(made._loop, 400.0, 14_000.0, lambda: 99, made.timers, 500.0)
    kernel.peers = made.peers
    kernel.takes = taken
    sent = Sent(proxied_request("t1"), at_most_once=True)
    kernel.send(sent)
    return sent, kernel.peers[0]


@pytest.mark.parametrize(
    "problem",
    [
        ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
        TimeoutError(),
        OSError(errno.EHOSTUNREACH, "no way"),
    ],
)
def test_a_failed_connect_proves_that_nothing_ran(problem: OSError) -> None:
    async def main() -> list[Result]:
        loop = asyncio.get_running_loop()
        connections = HttpConnectionPool(loop, 400.0, 14_000.0, lambda: 9, TimerQueue(loop), 500.0)
        with mock.patch.object(loop, "create_connection", side_effect=problem):
            sent = Sent(proxied_request("t1"), at_most_once=True)
            connections.send(sent)
            await asyncio.gather(*connections._dials)
        return [result for result, _ in sent.ends]

    assert asyncio.run(main()) == [Result.UNREACHABLE]
