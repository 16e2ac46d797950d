"""How the kit asks: tries at a machine's `outbound`, with all of it in the record, and calls of `control`."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from orchidferry.testkit.mesh.day import Machine, Ports
from orchidferry.testkit.mesh.facts import Answered, Cut, Extra, Fact, Sent, digest
from orchidferry.testkit.wire import Address, Outcome, Pool

MAX_REDIRECTS = 2
CALL_S = 1.0  # of silence, at `control`
MIN_LEFT_S = 0.02  # with less than that nobody begins a try


class Scene:
    """What all of the kit's parts in a run share."""

    def __init__(self, seed: int, places: Ports, note: Callable[[Fact], None], zero: float) -> None:
        self.seed = seed
        self.ports = places
        self.note = note
        self.zero = zero
        self.arrivals = itertools.count(1)
        self._pools: dict[str, Pool] = {}

    def now(self) -> float:
        """Seconds since the run's zero."""
        return time.monotonic() - self.zero

    def pool(self, machine: Machine) -> Pool:
        """Connections that come from a machine."""
        if machine.name not in self._pools:
            extra = self._extra
            self._pools[machine.name] = Pool(extra, machine.ip)
        return self._pools[machine.name]

    def _extra(self, id: str) -> None:
        self.note(Extra(self.now(), id))

    def sweep(self) -> None:
        for pool in self._pools.values():
            pool.sweep()

    def close(self) -> None:
        for pool in self._pools.values():
            pool.close()

    async def ask(self, machine: Machine, sent: Sent, body: bytes, chunked: bool, fresh: bool) -> Outcome:
        """One try, up to its client's time; what came of it is in the record."""
        outcome = await self._ask(machine, sent, body, chunked, fresh)
        if outcome.how == "answer":
            headers = outcome.headers
            self.note(
                Answered(
                    self.now(),
                    sent.id,
                    outcome.status,
                    headers.get("server-seal", ""),
                    digest(outcome.body),
                    headers.get("attempt-id", ""),
                    headers.get("retry-after", ""),
                )
            )
        else:
            self.note(Cut(self.now(), sent.id, outcome.how))
        return outcome

    async def _ask(self, machine: Machine, sent: Sent, body: bytes, chunked: bool, fresh: bool) -> Outcome:
        pool = self.pool(machine)
        address = (machine.bind, self.ports.outbound)
        sent.t = self.now()
        self.note(sent)
        connection = await pool.connection(address, fresh)
        if isinstance(connection, Outcome):
            return connection
        sent.t = self.now()  # its first byte is not written before
        asked = connection.ask(sent.id, message(sent, self.now(), body, chunked))
        try:
            async with asyncio.timeout(max(0.0, sent.ends - self.now())):
                outcome = await asked
        except TimeoutError:
            connection.drop()
            return Outcome("timeout", time.monotonic())
        except asyncio.CancelledError:
            connection.drop()
            self.note(Cut(self.now(), sent.id, "timeout"))
            raise
        if outcome.how == "answer":
            if "timeout=" in outcome.headers.get("keep-alive", ""):
                connection.drop()  # it may close at any time; not to be met halfway
            pool.put_back(address, connection)
        return outcome


def message(sent: Sent, now: float, body: bytes, chunked: bool) -> bytes:
    """A request as clients and servers write it."""
    lines = [
        f"{sent.method} {sent.path} HTTP/1.1",
        f"Host: {sent.host}",
        f"Attempt-Id: {sent.id}",
        f"Time-Remaining: {max(1, round((sent.ends - now) * 1000.0))}",
    ]
    if sent.key:
        lines.append(f"Operation-Key: {sent.key}")
    if sent.method != "GET":
        lines.append("Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}")
        if chunked:
            half = len(body) // 2
            parts = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]) if part)
            body = b"".join(parts) + b"0\r\n\r\n"
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    pool: Pool,
    where: Address,
    method: str,
    path: str,
    payload: Any = None,
    match: int | None = None,
    limit_s: float = CALL_S,
) -> tuple[Outcome, Address]:
    """A call of a server or of the operator, each on a connection of its own; follows 307 twice."""
    for hop in range(1 + MAX_REDIRECTS):
        outcome = await _call(pool, where, method, path, payload, match, limit_s)
        if outcome.how != "answer" or outcome.status != 307 or hop == MAX_REDIRECTS:
            break
        to = urlsplit(outcome.headers.get("location", ""))
        if to.hostname is None or to.port is None:
            break
        where = (to.hostname, to.port)
        path = to.path
    return outcome, where


async def _call(
    pool: Pool, where: Address, method: str, path: str, payload: Any, match: int | None, limit_s: float
) -> Outcome:
    connection = await pool.connection(where, fresh=True)
    if isinstance(connection, Outcome):
        return connection
    body = b"" if payload is None else json.dumps(payload).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {where[0]}:{where[1]}", "Connection: close"]
    if payload is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    if match is not None:
        lines.append(f"If-Match: {match}")
    try:
        return await asyncio.wait_for(
            connection.ask("", ("\r\n".join(lines) + "\r\n\r\n").encode() + body), limit_s
        )
    except TimeoutError:
        return Outcome("timeout", time.monotonic())
    finally:
        connection.drop()
