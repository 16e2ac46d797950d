"""One request to a node, with all of it in the record: what clients and stand-in servers share."""

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
from orchidferry.testkit.wire import Address, AskerSide, Outcome, Pool

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import Files
    from orchidferry.testkit.quic.client import AskerStream
    from orchidferry.testkit.quic.faults import Trouble
    from orchidferry.testkit.quic.pool import H3Pool


def body_of(seed: int, id: str) -> bytes:
    """What a server answers to this request, and no other: an answer mixed up or made up shows."""
    return f"{id} {seeded_random.integer(seed, 'body', id):016x}\n".encode()


def root_of(id: str) -> str:
    """What the draws of a request are named by: the same for every attempt at it and every retry."""
    return id.partition(".")[0]


def client_root(root: str) -> str:
    """The client's first try that a request of any tier belongs to."""
    return root.partition("-")[0]


HOST = "api.internal"
PROOF_S = 2.0  # for the answer to a nonce


class UnknownPeerError(OrchidferryError):
    """What answers at an address of the kit's is not the kit's own."""


def message(
    cls: Class,
    id: str,
    key: str,
    object: int,
    budget_s: float,
    again: bool,
    body: bytes,
    host: str = HOST,
    target: str = "",
    method: str = "",
    mark: str = "",
    more: Sequence[str] = (),
) -> bytes:
    """A request as callers write it; `target` and `method` where they are not the class's own."""
    method = method or ("GET" if cls.repeat == "safe" else "POST")
    lines = [
        f"{method} {target or f'/{cls.name}?obj={object:x}'} HTTP/1.1",
        f"Host: {host}",
        f"X-Call-Id: {id}",
        f"X-Budget: {max(budget_s, 0.001):.3f}",
        *more,
    ]
    if mark:
        lines.append(f"{MARK}: {mark}")
    if cls.repeat == "keyed":
        lines.append(f"Idempotency-Key: {key}")
    if again:
        lines.append("X-Again: 1")
    bodied = method not in ("GET", "HEAD")
    if bodied:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + (body if bodied else b"")


@dataclass(slots=True)
class Ask:
    """What is asked of a node."""

    tier: int
    id: str
    cls: Class
    number: int
    intended: float  # seconds since the run's zero, as is `ends`
    ends: float
    leaves: float | None = None  # an impatient client goes then


def trouble_of(scenario: Scenario) -> Trouble:
    """What datagrams meet on every path of a scenario."""
    from orchidferry.testkit.quic.faults import Trouble

    network = scenario.network
    return Trouble(network.loss, network.reorder, network.duplicate, network.delay_s)


class Exchanges:
    """Asks nodes and records what comes. Its owner sweeps and closes it."""

    def __init__(
        self, scenario: Scenario, recorder: Recorder, files: Files | None = None, proof_key: str = ""
    ) -> None:
        self.scenario = scenario
        self.recorder = recorder
        self._files = files
        self._proof_key = proof_key  # set: unsafe requests go over proven connections alone
        self._proofs = 0
        self._pools: dict[str, Pool | H3Pool] = {}
        self._lingering: set[asyncio.Task[None]] = set()
        # An answer may come so much after the time is up (rule 1): the connection is watched till then.
        self.linger_s = scenario.rules.answer_slack_s + scenario.rules.slack_s

    def _pool(self, node: str, tier: int) -> Pool | H3Pool:
        def extra(id: str) -> None:
            self.recorder.put(ExtraBytes(self.recorder.now(), tier, id, node))

        if node not in self._pools:
            self._pools[node] = Pool(extra) if self._files is None else self._h3_pool(extra, node)
        return self._pools[node]

    def _h3_pool(self, extra: Callable[[str], None], node: str) -> H3Pool:
        from orchidferry.testkit.quic.pool import H3Pool

        assert self._files is not None
        seed = seeded_random.integer(self.scenario.seed, "path", node, self.recorder.path.stem)
        return H3Pool(extra, str(self._files.ca), trouble_of(self.scenario), seed)

    async def ask(
        self, ask: Ask, node: str, address: Address, make: Callable[[float], bytes], fresh: bool = False
    ) -> Outcome:
        """Ask once; its outcome, `timeout` when the time was up. `make` gets the time left, in seconds."""
        pool = self._pool(node, ask.tier)
        put = self.recorder.put
        now = self.recorder.now
        connection = await pool.connection(address, fresh)
        if isinstance(connection, Outcome):
            put(ConnectionClosed(now(), ask.tier, ask.id, node, connection.how, False))
            return connection
        if not await self._prove(connection, ask):
            connection.drop()
            put(ConnectionClosed(now(), ask.tier, ask.id, node, "silent", False))
            return Outcome("silent", time.monotonic())
        waiting = connection.ask(ask.id, make(ask.ends - now()))
        put(
            RequestSent(
                now(),
                ask.tier,
                ask.id,
                ask.cls.name,
                node,
                client_root(root_of(ask.id)),
                ask.number,
                ask.intended,
                ask.ends,
            )
        )
        until = ask.ends if ask.leaves is None else min(ask.ends, ask.leaves)
        await asyncio.wait({waiting}, timeout=max(0.0, until - now()))
        if not waiting.done():
            if until < ask.ends:
                connection.drop()
                put(RequestTimedOut(now(), ask.tier, ask.id, node, True))
            else:
                self._linger(self._last(waiting, connection.drop, ask, node))
            return Outcome("timeout", time.monotonic())
        outcome = waiting.result()
        self._book(outcome, ask, node)
        if outcome.how == "answer":
            pool.put_back(address, connection)  # type: ignore[arg-type]  # each pool's own kind
        elif outcome.how in ("closed", "reset") and outcome.reused:
            # The node may have closed it before it read this: the request goes once more, on a new one.
            return await self.ask(ask, node, address, make, fresh=True)
        return outcome

    async def _prove(self, connection: AskerSide | AskerStream, ask: Ask) -> bool:
        """Whether this may go over that connection. `UnknownPeerError` if something else answers at its end.

        With HTTP/3 the certificate has proven it: it is of an authority that lives as long as the run.
        """
        if not self._proof_key or ask.cls.repeat in ("safe", "keyed"):
            return True
        if not isinstance(connection, AskerSide) or connection.proven:
            return True
        nonce = new_nonce()
        left = ask.ends - self.recorder.now()
        self._proofs += 1
        id = f"proof{self._proofs}-{nonce[:8]}.0"
        text = (
            f"GET /{PROOF_CLASS}?nonce={nonce} HTTP/1.1\r\nHost: {HOST}\r\nX-Call-Id: {id}\r\n"
            f"X-Budget: {min(max(left, 0.001), PROOF_S):.3f}\r\n\r\n"
        )
        waiting = connection.ask(id, text.encode())
        until = min(ask.ends, ask.leaves or ask.ends) - self.recorder.now()
        await asyncio.wait({waiting}, timeout=max(0.0, min(until, PROOF_S)))
        if not waiting.done() or waiting.result().how != "answer" or not connection.alive:
            return False
        outcome = waiting.result()
        connection.proven = outcome.status == 200 and proven(self._proof_key, nonce, outcome.body)
        if not connection.proven and outcome.status not in (429, 500, 503, 504):
            raise UnknownPeerError(f"what answers at a node's address is not the kit's own: {outcome.status}")
        return connection.proven

    def _book(self, outcome: Outcome, ask: Ask, node: str) -> None:
        t = outcome.t - self.recorder.zero
        if outcome.how == "answer":
            sound = (
                outcome.status != 200
                or self.scenario.guard.target is not None
                or outcome.body == body_of(self.scenario.seed, ask.id)
            )
            self.recorder.put(ResponseReceived(t, ask.tier, ask.id, node, outcome.status, sound))
        else:
            self.recorder.put(ConnectionClosed(t, ask.tier, ask.id, node, outcome.how, outcome.reused))

    def _linger(self, rest: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(rest)
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)

    async def _last(
        self, waiting: asyncio.Future[Outcome], drop: Callable[[], None], ask: Ask, node: str
    ) -> None:
        """Wait out the slack for an answer that may still come in time."""
        await asyncio.wait({waiting}, timeout=max(0.0, ask.ends + self.linger_s - self.recorder.now()))
        if waiting.done():
            self._book(waiting.result(), ask, node)
        else:
            self.recorder.put(RequestTimedOut(self.recorder.now(), ask.tier, ask.id, node, False))
        drop()

    def sweep(self) -> None:
        for pool in self._pools.values():
            pool.sweep()

    async def close(self) -> None:
        """End what still lingers, and all connections."""
        if self._lingering:
            await asyncio.wait(set(self._lingering), timeout=self.linger_s + 1.0)
        for task in set(self._lingering):
            task.cancel()
        for pool in self._pools.values():
            pool.close()
