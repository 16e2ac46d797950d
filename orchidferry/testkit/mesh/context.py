"""Shared by the kit's parts during a run: seed, clock, record, and requests to the `outbound` ports."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Callable

from orchidferry.testkit.mesh.day import Machine, Ports
from orchidferry.testkit.mesh.facts import Answered, Extra, Fact, NoAnswer, Sent, digest
from orchidferry.testkit.wire import Outcome, Pool

MIN_REMAINING_S = 0.02
"""No attempt is begun with less than this until its deadline."""


class RunContext:
    """State and functions that all of the kit's parts share during a run."""

    def __init__(self, seed: int, ports: Ports, record: Callable[[Fact], None], zero: float) -> None:
        """Create the context of a run.

        :param record: called with each fact that is to be recorded
        :param zero: the time on the monotonic clock, in seconds, at which the run's clock is 0
        """
        self.seed = seed
        self.ports = ports
        self.record = record
        self.zero = zero
        self.arrival_numbers = itertools.count(1)  # numbers of arrivals of requests at servers, over the run
        self._pools: dict[str, Pool] = {}  # by the name of the machine, or of the machine and a number

    def now(self) -> float:
        """The run's clock, in seconds."""
        return time.monotonic() - self.zero

    def pool(self, machine: Machine) -> Pool:
        """The shared pool of connections whose source address is that of a machine."""
        if machine.name not in self._pools:
            self._pools[machine.name] = Pool(self._on_extra_bytes, machine.ip)
        return self._pools[machine.name]

    def _on_extra_bytes(self, request_id: str) -> None:
        self.record(Extra(self.now(), request_id))

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for pool in self._pools.values():
            pool.sweep()

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def separate_pool(self, machine: Machine, receive_buffer: int, read_pause_s: float) -> Pool:
        """Create another pool of connections from a machine, which is swept and closed with the others.

        :param receive_buffer: size of the sockets' receive buffers, in bytes
        :param read_pause_s: the pause between reading the first bytes of a response and the rest
        """
        pool = Pool(self._on_extra_bytes, machine.ip, receive_buffer, read_pause_s)
        self._pools[f"{machine.name} {len(self._pools)}"] = pool
        return pool

    async def send(
        self,
        machine: Machine,
        sent: Sent,
        body: bytes,
        chunked: bool,
        fresh: bool,
        pool: Pool | None = None,
    ) -> Outcome:
        """Make one attempt, wait for its outcome until its deadline at most, and record both.

        :param machine: the machine to whose `outbound` port the attempt is sent
        :param chunked: use chunked transfer encoding for the body
        :param fresh: use a new connection
        :param pool: the pool of connections to use; None: the shared one of the machine
        """
        outcome = await self._send(machine, sent, body, chunked, fresh, pool or self.pool(machine))
        if outcome.how == "answer":
            headers = outcome.headers
            self.record(
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
            self.record(NoAnswer(self.now(), sent.id, outcome.how))
        return outcome

    async def _send(
        self, machine: Machine, sent: Sent, body: bytes, chunked: bool, fresh: bool, pool: Pool
    ) -> Outcome:
        address = (machine.bind, self.ports.outbound)
        sent.t = self.now()
        self.record(sent)
        connection = await pool.connection(address, fresh)
        if isinstance(connection, Outcome):
            return connection
        sent.t = self.now()  # the attempt begins with its first byte, not with the wait for a connection
        answer = connection.ask(sent.id, encode_request(sent, self.now(), body, chunked))
        try:
            async with asyncio.timeout(max(0.0, sent.ends - self.now())):
                outcome = await answer
        except TimeoutError:
            connection.drop()
            return Outcome("timeout", time.monotonic())
        except asyncio.CancelledError:
            connection.drop()
            self.record(NoAnswer(self.now(), sent.id, "timeout"))
            raise
        if outcome.how == "answer":
            if "timeout=" in outcome.headers.get("keep-alive", ""):
                connection.drop()  # the server may close it at any time, also while the next request is sent
            pool.put_back(address, connection)
        return outcome


def encode_request(sent: Sent, now: float, body: bytes, chunked: bool) -> bytes:
    """Encode a request as HTTP/1.1.

    :param now: the current time on the run's clock, for the header Time-Remaining
    """
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
