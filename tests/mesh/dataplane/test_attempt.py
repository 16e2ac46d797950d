"""Whether a request may have run, from its first byte on; at-most-once requests are not sent again then."""

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
from tests.mesh.wire_fakes import Peer, Pool, RecordedAttempt, close_all, loop_and_pool

DEADLINE_TOLERANCE_MS = 1.0  # after the guard timer of the route; the operators tolerate 250
NOT_RUN_STATUSES = (408, 421, 429, 503)


def answer(id: str, status: bytes = b"200 OK", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %b\r\nAttempt-Id: %b\r\nServer-Seal: x\r\n%bContent-Length: 2\r\n\r\nok" % (
        status,
        id.encode(),
        more,
    )


# Responses that prove that the request has not run.
PROOFS: tuple[Callable[[str], bytes], ...] = (
    lambda id: answer(id, b"503 Full", b"Not-Executed: 1\r\n"),
    lambda id: answer(id, b"421 Other"),
    lambda id: answer(id, b"503 No", b"Orchid-Gate: unrun\r\n"),
    lambda id: answer(id, b"503 No", b"Orchid-Gate: gone\r\n"),
)
# Responses that don't prove that.
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
    """A pool with a configurable kernel buffer, and with connects that fail on demand."""

    kernel_accepts: int | None = None
    refuses_connects = False

    async def _dial(self, attempt: Any) -> None:
        if self.refuses_connects:
            attempt.end(Result.UNREACHABLE)
            return
        connection = HttpConnection(self, attempt.server, attempt.address)
        peer = Peer(connection)
        peer.transport.kernel_accepts = self.kernel_accepts
        self.peers.append(peer)
        self._open.add(connection)
        connection.send_attempt(attempt)


@dataclass
class Transmission:
    """One transmission of a request on a connection."""

    id: str
    peer: Peer
    start: int  # bytes written on the connection before it
    proven: bool = False  # whether a response proved that it has not run

    @property
    def possibly_sent(self) -> bool:
        return len(self.peer.transport.written) > self.start


class Harness:
    """The production service client and connections, with three simulated gates."""

    def __init__(self, patch: Any, seed: int) -> None:
        patch.setattr(module, "random", SimpleNamespace(Random=lambda: random.Random(seed)))
        self.loop, pool = loop_and_pool()
        self.pool = KernelPool(self.loop, 400.0, 14_000.0, lambda: 99, TimerQueue(self.loop), 500.0)
        self.pool.peers = pool.peers
        patch_clock(patch, self.loop.now_ms)
        self.service = service_client(self.loop, self.pool)
        self.routes = [route("idempotent", 3), route("non_idempotent", 3)]
        servers = [Server(id, "s", "z", IN_SERVICE, 4, 0.0) for id in "123"]
        self.service.update_servers({s.id: NodeRecord(s.id, 1, 1, "z", "127.0.0.1", 1, s) for s in servers})
        self.service.set_routes(self.routes)
        self.replies: dict[str, list[Reply]] = {}
        self.asked_ms: dict[str, float] = {}
        self.at_most_once: set[str] = set()
        self.requests: dict[str, Any] = {}
        self.transmissions: list[Transmission] = []
        send_attempt = HttpConnection.send_attempt

        def recorded(connection: HttpConnection, attempt: Any) -> None:
            [peer] = [p for p in self.pool.peers if p.connection is connection]
            self.transmissions.append(Transmission(attempt.message.id, peer, len(peer.transport.written)))
            send_attempt(connection, attempt)

        patch.setattr(HttpConnection, "send_attempt", recorded)

    def ask(self, at_most_once: bool) -> str:
        id = f"t{len(self.replies)}"
        self.replies[id] = []
        self.asked_ms[id] = self.loop.now_ms()
        if at_most_once:
            self.at_most_once.add(id)
        self.requests[id] = self.service.accept(
            proxied_request(id),
            self.routes[at_most_once],
            self.loop.now_ms() + 1_000.0,
            lambda reply: self.answered(id, reply),
        )
        return id

    def answered(self, id: str, reply: Reply) -> None:
        assert self.loop.now_ms() <= self.asked_ms[id] + 1_000.0 + DEADLINE_TOLERANCE_MS, (
            "answered after the guard timer"
        )
        self.replies[id].append(reply)

    def open_attempts(self) -> list[Transmission]:
        """The last transmission on each connection with an attempt in progress."""
        last = {id(transmission.peer): transmission for transmission in self.transmissions}
        return [
            transmission
            for transmission in last.values()
            if transmission.peer.connection._attempt is not None
        ]

    def check(self) -> None:
        """Assert the invariants of attempts and replies."""
        for id in self.replies:
            begun = [t for t in self.transmissions if t.id == id and t.possibly_sent]
            assert len(begun) <= 3
            unproven = [t for t in begun if not t.proven]
            if id in self.at_most_once:
                assert len(unproven) <= 1, "sent twice without a proof that the first did not run"
                assert not unproven or begun[-1] is unproven[0], "sent again, though it may have run"
                for reply in self.replies[id]:
                    assert reply.status not in NOT_RUN_STATUSES or not unproven, (
                        "the status promises that the request has not run, but it may have"
                    )
            assert len(self.replies[id]) <= 1

    def step(self, rng: random.Random) -> None:
        draw = rng.random()
        open_attempts = self.open_attempts()
        self.pool.kernel_accepts, self.pool.refuses_connects = (
            rng.choice((None, None, 0, 9)),
            rng.random() < 0.2,
        )
        if draw < 0.3 or not open_attempts:
            self.ask(rng.random() < 0.7)
        elif draw < 0.8:
            self.act(rng, rng.choice(open_attempts))
        elif draw < 0.95:
            self.loop.pass_ms(rng.choice((1.0, 40.0, 300.0, 1_000.0)))
        else:
            self.requests[rng.choice(sorted(self.requests))].client_disconnected()
        self.check()

    def act(self, rng: random.Random, transmission: Transmission) -> None:
        peer = transmission.peer
        draw = rng.random()
        if peer.transport.buffered and draw < 0.7:
            peer.transport.drain(rng.choice((1, 9, 10_000)))
        elif draw < 0.2:
            if transmission.possibly_sent and rng.random() < 0.5:  # a truncated proof proves nothing
                peer.send_bytes(rng.choice(PROOFS)(transmission.id)[:-1])
                peer.read()
            peer.lose(rng.choice((None, ConnectionResetError())))
        elif transmission.possibly_sent:
            proof = rng.random() < 0.5 and not peer.transport.buffered
            data = rng.choice(PROOFS if proof else NO_PROOFS)(transmission.id)
            transmission.proven = proof
            cut = rng.randrange(len(data) + 1)
            peer.send_bytes(data[:cut])
            peer.read()
            peer.send_bytes(data[cut:])
            peer.read()


def run_random_steps(seed: int) -> None:
    rng = random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        harness = Harness(patch, seed)
        try:
            for _ in range(60):
                harness.step(rng)
            harness.loop.pass_ms(3_000.0)
            harness.check()
            for id, replies in harness.replies.items():
                assert len(replies) == 1 or not harness.requests[id].awaited
        finally:
            close_all(harness.pool)


@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 2**40))
def test_an_at_most_once_request_is_never_sent_twice_without_a_proof(seed: int) -> None:
    run_random_steps(seed)


UNSURE = logic.NEVER_RAN | {Result.RESET, Result.TIMEOUT}
# Deliberate faults that the property test must detect: the owner of a name, the name and its faulty value.
BREAKS: dict[str, list[tuple[Any, str, Any]]] = {
    "sent-at-last-byte": [(TrackedAttempt, "possibly_sent", property(lambda self: self.written))],
    "retry-after-silence": [(logic, "NEVER_RAN", UNSURE), (pending_request, "NEVER_RAN", UNSURE)],
}


@pytest.mark.parametrize("name", BREAKS)
def test_a_deliberate_fault_is_detected(name: str) -> None:
    with pytest.MonkeyPatch.context() as patch:
        for owner, field, broken in BREAKS[name]:
            patch.setattr(owner, field, broken)
        with pytest.raises(AssertionError, match=r"sent|promise"):
            for seed in range(40):
                run_random_steps(seed)


# One transmission


@pytest.mark.parametrize(
    ("accepted_bytes", "result"),
    [
        (None, Result.RESET),
        (1, Result.RESET),
        (0, Result.RESET),  # the connection is lost, so the state of its write buffer is unknown
    ],
)
def test_a_connection_reset(accepted_bytes: int | None, result: Result) -> None:
    sent, peer = transmit(accepted_bytes)
    peer.lose(ConnectionResetError())
    assert [r for r, _ in sent.ends] == [result]


@pytest.mark.parametrize(
    ("accepted_bytes", "later", "result"),
    [
        (None, 0, Result.TIMEOUT),
        (1, 0, Result.TIMEOUT),
        (0, 0, Result.UNREACHABLE),
        (0, 1, Result.TIMEOUT),
    ],
)
def test_a_timeout(accepted_bytes: int | None, later: int, result: Result) -> None:
    """A request is known not to run only if the kernel accepted no byte; the connection is then closed."""
    sent, peer = transmit(accepted_bytes)
    if later:
        peer.transport.drain(later)
    sent.on_timeout()
    assert [r for r, _ in sent.ends] == [result] and peer.transport.closed


@pytest.mark.parametrize("cut", ["head", "body", "nothing"])
def test_a_connection_lost_within_the_response(cut: str) -> None:
    sent, peer = transmit(None)
    peer.send_bytes({"head": answer("t1")[:30], "body": answer("t1")[:-1], "nothing": b""}[cut])
    peer.read()
    peer.lose()
    assert [r for r, _ in sent.ends] == [Result.RESET]


def test_a_streamed_request_is_possibly_sent_with_its_head() -> None:
    """`orchidferry.node` would report that it never ran, as its last byte is not written."""
    _, pool = loop_and_pool()
    sent = RecordedAttempt(proxied_request("t1"), at_most_once=True)
    sent.message.flow = Flow(mock.Mock(), None, 0.0)
    pool.send(sent)
    pool.peers[0].lose()
    assert not sent.written and [r for r, _ in sent.ends] == [Result.RESET]
    close_all(pool)


def test_a_streamed_request_is_timed_from_its_last_byte() -> None:
    """While the body is sent only a stall times out; the server's timeout starts after the last byte."""
    loop, pool = loop_and_pool()
    sent = RecordedAttempt(proxied_request("t1"))
    sent.timeout_ms = 6_000.0
    flow = sent.message.flow = Flow(mock.Mock(), None, loop.time())
    pool.send(sent)
    for _ in range(8):
        loop.pass_ms(1_000.0)
        flow.push(b"x" * MAX_BUFFERED_BODY, loop.time())
    flow.finish()
    loop.pass_ms(5_900.0)
    assert sent.written and not sent.ends
    loop.pass_ms(200.0)
    assert [r for r, _ in sent.ends] == [Result.TIMEOUT]
    close_all(pool)


def transmit(accepted_bytes: int | None) -> tuple[RecordedAttempt, Peer]:
    _, pool = loop_and_pool()
    kernel_pool = KernelPool(pool._loop, 400.0, 14_000.0, lambda: 99, pool.timers, 500.0)
    kernel_pool.peers = pool.peers
    kernel_pool.kernel_accepts = accepted_bytes
    sent = RecordedAttempt(proxied_request("t1"), at_most_once=True)
    kernel_pool.send(sent)
    return sent, kernel_pool.peers[0]


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
            sent = RecordedAttempt(proxied_request("t1"), at_most_once=True)
            connections.send(sent)
            await asyncio.gather(*connections._dials)
        return [result for result, _ in sent.ends]

    assert asyncio.run(main()) == [Result.UNREACHABLE]
