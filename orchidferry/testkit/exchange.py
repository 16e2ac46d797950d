"""Requests to nodes, with all that happens in the record: what clients and stand-in servers share."""

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
"""For the answer to a nonce."""

MIN_BUDGET_S = 0.001
CLOSE_SLACK_S = 1.0
PROOF_UNAVAILABLE = (429, 500, 503, 504)
"""Answers to a nonce that a node of the kit may give while it is overloaded or has no server."""


class UnknownPeerError(OrchidferryError):
    """What answers at an address of the kit's is not the kit's own."""


def expected_body(seed: int, request_id: str) -> bytes:
    """What a server answers to this request and to no other, so that mixed up answers show."""
    return f"{request_id} {seeded_random.integer(seed, 'body', request_id):016x}\n".encode()


def request_root(request_id: str) -> str:
    """The name for random choices of a request: the same for all its attempts and retries."""
    return request_id.partition(".")[0]


def client_root(root: str) -> str:
    """The client's request that a request of any tier belongs to."""
    return root.partition("-")[0]


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """What a request has beside what its class says."""

    host: str = HOST
    target: str = ""  # empty: by the class and the object
    method: str = ""  # empty: the class's
    mark: str = ""  # for a target that the kit did not start
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
    """The bytes of a request as clients and servers write it.

    :param key: the idempotency key, for keyed classes
    :param object_number: of the object that the request is about
    :param budget_s: the time that remains
    :param again: it is a retry
    :param body: sent where the method has one
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
    """One attempt of a request at a node. Times are seconds since the run's zero."""

    tier: int
    id: str
    cls: Class
    number: int
    intended: float  # when it should be sent
    ends: float  # nobody waits any more
    leaves: float | None = None  # when an impatient client gives up, before that


def path_conditions(scenario: Scenario) -> PathConditions:
    """The conditions that datagrams meet on every path of a scenario."""
    from orchidferry.testkit.quic.faults import PathConditions

    network = scenario.network
    return PathConditions(network.loss, network.reorder, network.duplicate, network.delay_s)


class RequestSender:
    """Sends requests to nodes, and records what comes. Its owner sweeps and closes it."""

    def __init__(
        self,
        scenario: Scenario,
        recorder: Recorder,
        files: CertificateFiles | None = None,
        proof_key: str = "",
    ) -> None:
        """Create a sender without connections.

        :param files: certificates, with HTTP/3
        :param proof_key: if set, unsafe requests go only over connections to peers that are proven the kit's
        """
        self.scenario = scenario
        self.recorder = recorder
        self._files = files
        self._proof_key = proof_key
        self._proofs = 0
        self._pools: dict[str, Pool | H3Pool] = {}
        self._lingering: set[asyncio.Task[None]] = set()
        # An answer may come so much after the time is up (rule 1): the connection is watched till then.
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
        """Make one attempt, on a new connection if need be.

        :param encode: makes the request's bytes from the time that remains, in seconds
        :param fresh: on a new connection in any case
        :returns: what came of it; `timeout` if the time was up
        :raises UnknownPeerError: if something else than the kit answers at the address
        """
        pool = self._pool(node, attempt.tier)
        put = self.recorder.put
        now = self.recorder.now
        connection = await pool.connection(address, fresh)
        if isinstance(connection, Outcome):
            put(ConnectionClosed(now(), attempt.tier, attempt.id, node, connection.how, False))
            return connection
        if not await self._prove(connection, attempt):
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
                self._linger(self._wait_out_slack(waiting, connection.drop, attempt, node))
            return Outcome("timeout", time.monotonic())
        outcome = waiting.result()
        self._record_outcome(outcome, attempt, node)
        if outcome.how == "answer":
            pool.put_back(address, connection)  # type: ignore[arg-type]  # each pool's own kind
        elif outcome.how in ("closed", "reset") and outcome.reused:
            # The node may have closed it before it read this: the request goes once more, on a new one.
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

    async def _prove(self, connection: RequesterSide | RequesterStream, attempt: Attempt) -> bool:
        """Whether an attempt may go over a connection; its peer may have to prove that it is the kit's.

        With HTTP/3 the certificate has proven it: it is of an authority that lives as long as the run.
        """
        if not self._proof_key or attempt.cls.repeat in ("safe", "keyed"):
            return True
        if not isinstance(connection, RequesterSide) or connection.proven:
            return True
        nonce = new_nonce()
        left = attempt.ends - self.recorder.now()
        self._proofs += 1
        id = f"proof{self._proofs}-{nonce[:8]}.0"
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
            raise UnknownPeerError(f"what answers at a node's address is not the kit's own: {outcome.status}")
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

    def _linger(self, rest: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(rest)
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)

    async def _wait_out_slack(
        self, waiting: asyncio.Future[Outcome], drop: Callable[[], None], attempt: Attempt, node: str
    ) -> None:
        """Wait out the slack for an answer that may still come in time."""
        await asyncio.wait({waiting}, timeout=max(0.0, attempt.ends + self.linger_s - self.recorder.now()))
        if waiting.done():
            self._record_outcome(waiting.result(), attempt, node)
        else:
            self.recorder.put(RequestTimedOut(self.recorder.now(), attempt.tier, attempt.id, node, False))
        drop()

    def sweep(self) -> None:
        """Close connections that have idled for too long."""
        for pool in self._pools.values():
            pool.sweep()

    async def close(self) -> None:
        """Wait for answers that may still come in time, and close all connections."""
        if self._lingering:
            await asyncio.wait(set(self._lingering), timeout=self.linger_s + CLOSE_SLACK_S)
        for task in set(self._lingering):
            task.cancel()
        for pool in self._pools.values():
            pool.close()
