"""Sends requests to nodes and records their outcomes, for clients and for stand-in servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit import seeded_random
from orchidferry.testkit.record import (
    ConnectionClosed,
    ExtraBytes,
    Recorder,
    RequestSent,
    RequestTimedOut,
    ResponseReceived,
)
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.traffic.guard import MARK, PROOF_CLASS, new_nonce, proven
from orchidferry.testkit.wire import Address, Outcome, Pool, RequesterSide

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles
    from orchidferry.testkit.quic.client import RequesterStream
    from orchidferry.testkit.quic.faults import PathConditions
    from orchidferry.testkit.quic.pool import H3Pool


HOST = "api.internal"
PROOF_TIMEOUT_S = 2.0
"""Timeout for the response to a nonce, in seconds."""

MIN_BUDGET_S = 0.001  # least remaining time that a request carries
CLOSE_SLACK_S = 1.0  # time beyond `linger_s` that `RequestSender.close` waits for late responses
PROOF_UNAVAILABLE = (429, 500, 503, 504)
"""Statuses with which a node of the kit may answer a nonce while it is overloaded or has no server."""


class UnknownPeerError(OrchidferryError):
    """The peer at one of the kit's addresses is not a process of the kit."""


def expected_body(seed: int, request_id: str) -> bytes:
    """Return the response body for a request id, unique to the id so that misdirected responses show."""
    return f"{request_id} {seeded_random.integer(seed, 'body', request_id):016x}\n".encode()


def request_root(request_id: str) -> str:
    """Return the part of a request id that its attempts and retries share; random choices depend on it."""
    return request_id.partition(".")[0]


def client_root(root: str) -> str:
    """Return the id of the client request that caused a request of any tier."""
    return root.partition("-")[0]


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Properties of a request beyond those of its class."""

    host: str = HOST
    target: str = ""  # request target; empty: made from the class and the object
    method: str = ""  # HTTP method; empty: that of the class
    mark: str = ""  # value of the header X-Replayed, for a target that the kit did not start
    extra_headers: Sequence[str] = ()


DEFAULT_OPTIONS = RequestOptions()


def encode_request(
    cls: Class,
    request_id: str,
    key: str,
    object_number: int,
    budget_s: float,
    again: bool,
    body: bytes,
    options: RequestOptions = DEFAULT_OPTIONS,
) -> bytes:
    """Encode a request in HTTP/1.1, as clients and servers send it.

    :param key: the idempotency key, for classes with one
    :param object_number: number of the object that the request addresses
    :param budget_s: time until the request's deadline, in seconds
    :param again: whether the request is a client retry
    :param body: the body; left out if the method has none
    """
    method = options.method or ("GET" if cls.repeat == "safe" else "POST")
    lines = [
        f"{method} {options.target or f'/{cls.name}?obj={object_number:x}'} HTTP/1.1",
        f"Host: {options.host}",
        f"X-Call-Id: {request_id}",
        f"X-Budget: {max(budget_s, MIN_BUDGET_S):.3f}",
        *options.extra_headers,
    ]
    if options.mark:
        lines.append(f"{MARK}: {options.mark}")
    if cls.repeat == "keyed":
        lines.append(f"Idempotency-Key: {key}")
    if again:
        lines.append("X-Again: 1")
    has_body = method not in ("GET", "HEAD")
    if has_body:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + (body if has_body else b"")


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request through a node. Times are seconds since the run's zero."""

    tier: int
    id: str
    cls: Class
    number: int  # from 0
    intended: float  # scheduled send time
    ends: float  # deadline
    leaves: float | None = None  # when an impatient client gives up, before the deadline


def path_conditions(scenario: Scenario) -> PathConditions:
    """Return the network conditions that a scenario simulates for the datagrams of every path."""
    from orchidferry.testkit.quic.faults import PathConditions

    network = scenario.network
    return PathConditions(network.loss, network.reorder, network.duplicate, network.delay_s)


class RequestSender:
    """Sends requests to nodes and records their outcomes; the owner calls `sweep` and `close`."""

    def __init__(
        self,
        scenario: Scenario,
        recorder: Recorder,
        files: CertificateFiles | None = None,
        proof_key: str = "",
    ) -> None:
        """Create a sender without connections.

        :param files: certificates, with HTTP/3
        :param proof_key: if set, unsafe requests are sent only to peers that have proven to be the kit's own
        """
        self.scenario = scenario
        self.recorder = recorder
        self._files = files
        self._proof_key = proof_key
        self._challenge_count = 0
        self._pools: dict[str, Pool | H3Pool] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        # Rule 1 allows a response this long after the deadline, so the connection stays open until then.
        self.linger_s = scenario.rules.answer_slack_s + scenario.rules.slack_s

    def _pool(self, node: str, tier: int) -> Pool | H3Pool:
        def on_extra_bytes(request_id: str) -> None:
            self.recorder.put(ExtraBytes(self.recorder.now(), tier, request_id, node))

        if node not in self._pools:
            self._pools[node] = (
                Pool(on_extra_bytes) if self._files is None else self._h3_pool(on_extra_bytes, node)
            )
        return self._pools[node]

    def _h3_pool(self, on_extra_bytes: Callable[[str], None], node: str) -> H3Pool:
        from orchidferry.testkit.quic.pool import H3Pool

        assert self._files is not None
        seed = seeded_random.integer(self.scenario.seed, "path", node, self.recorder.path.stem)
        return H3Pool(on_extra_bytes, str(self._files.ca), path_conditions(self.scenario), seed)

    async def send(
        self,
        attempt: Attempt,
        node: str,
        address: Address,
        encode: Callable[[float], bytes],
        fresh: bool = False,
    ) -> Outcome:
        """Make one attempt, on an idle connection if there is one.

        :param encode: encodes the request, given the time until its deadline in seconds
        :param fresh: whether to open a new connection even if there is an idle one
        :returns: the outcome; `timeout` if the deadline passed or the client gave up
        :raises UnknownPeerError: if the peer at the address is not a process of the kit
        """
        pool = self._pool(node, attempt.tier)
        put = self.recorder.put
        now = self.recorder.now
        connection = await pool.connection(address, fresh)
        if isinstance(connection, Outcome):
            put(ConnectionClosed(now(), attempt.tier, attempt.id, node, connection.how, False))
            return connection
        if not await self._verify_peer(connection, attempt):
            connection.drop()
            put(ConnectionClosed(now(), attempt.tier, attempt.id, node, "silent", False))
            return Outcome("silent", time.monotonic())
        waiting = connection.ask(attempt.id, encode(attempt.ends - now()))
        self._record_sent(attempt, node)
        until = attempt.ends if attempt.leaves is None else min(attempt.ends, attempt.leaves)
        await asyncio.wait({waiting}, timeout=max(0.0, until - now()))
        if not waiting.done():
            if until < attempt.ends:
                connection.drop()
                put(RequestTimedOut(now(), attempt.tier, attempt.id, node, True))
            else:
                self._run_in_background(self._await_late_response(waiting, connection.drop, attempt, node))
            return Outcome("timeout", time.monotonic())
        outcome = waiting.result()
        self._record_outcome(outcome, attempt, node)
        if outcome.how == "answer":
            pool.put_back(address, connection)  # type: ignore[arg-type]  # each pool has its own type
        elif outcome.how in ("closed", "reset") and outcome.reused:
            # The node may have closed the idle connection before it read the request: send it on a new one.
            return await self.send(attempt, node, address, encode, fresh=True)
        return outcome

    def _record_sent(self, attempt: Attempt, node: str) -> None:
        self.recorder.put(
            RequestSent(
                self.recorder.now(),
                attempt.tier,
                attempt.id,
                attempt.cls.name,
                node,
                client_root(request_root(attempt.id)),
                attempt.number,
                attempt.intended,
                attempt.ends,
            )
        )

    async def _verify_peer(self, connection: RequesterSide | RequesterStream, attempt: Attempt) -> bool:
        """Return whether an attempt may use a connection, after a challenge to the peer where one is needed.

        The peer answers a nonce to prove that it is a process of the kit. With HTTP/3 its certificate has
        proven this already: the certificate authority exists for this run only.
        """
        if not self._proof_key or attempt.cls.repeat in ("safe", "keyed"):
            return True
        if not isinstance(connection, RequesterSide) or connection.proven:
            return True
        nonce = new_nonce()
        left = attempt.ends - self.recorder.now()
        self._challenge_count += 1
        id = f"proof{self._challenge_count}-{nonce[:8]}.0"
        text = (
            f"GET /{PROOF_CLASS}?nonce={nonce} HTTP/1.1\r\nHost: {HOST}\r\nX-Call-Id: {id}\r\n"
            f"X-Budget: {min(max(left, MIN_BUDGET_S), PROOF_TIMEOUT_S):.3f}\r\n\r\n"
        )
        waiting = connection.ask(id, text.encode())
        until = min(attempt.ends, attempt.leaves or attempt.ends) - self.recorder.now()
        await asyncio.wait({waiting}, timeout=max(0.0, min(until, PROOF_TIMEOUT_S)))
        if not waiting.done() or waiting.result().how != "answer" or not connection.alive:
            return False
        outcome = waiting.result()
        connection.proven = outcome.status == 200 and proven(self._proof_key, nonce, outcome.body)
        if not connection.proven and outcome.status not in PROOF_UNAVAILABLE:
            raise UnknownPeerError(
                f"the peer at a node's address is not the kit's own: status {outcome.status}"
            )
        return connection.proven

    def _record_outcome(self, outcome: Outcome, attempt: Attempt, node: str) -> None:
        t = outcome.t - self.recorder.zero
        if outcome.how == "answer":
            sound = (
                outcome.status != 200
                or self.scenario.guard.target is not None
                or outcome.body == expected_body(self.scenario.seed, attempt.id)
            )
            self.recorder.put(ResponseReceived(t, attempt.tier, attempt.id, node, outcome.status, sound))
        else:
            self.recorder.put(
                ConnectionClosed(t, attempt.tier, attempt.id, node, outcome.how, outcome.reused)
            )

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _await_late_response(
        self, waiting: asyncio.Future[Outcome], drop: Callable[[], None], attempt: Attempt, node: str
    ) -> None:
        """Wait for a late response that the rules still accept, and record it or the timeout."""
        await asyncio.wait({waiting}, timeout=max(0.0, attempt.ends + self.linger_s - self.recorder.now()))
        if waiting.done():
            self._record_outcome(waiting.result(), attempt, node)
        else:
            self.recorder.put(RequestTimedOut(self.recorder.now(), attempt.tier, attempt.id, node, False))
        drop()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.sweep()

    async def close(self) -> None:
        """Wait for late responses that the rules still accept, and close all connections."""
        if self._background_tasks:
            await asyncio.wait(set(self._background_tasks), timeout=self.linger_s + CLOSE_SLACK_S)
        for task in set(self._background_tasks):
            task.cancel()
        for pool in self._pools.values():
            pool.close()
