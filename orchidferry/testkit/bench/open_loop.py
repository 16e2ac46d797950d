"""An open-loop load generator: requests are sent at a fixed rate, independent of earlier responses.

The requests are of the rehearsals' default classes, and every response is checked.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidferry.testkit.exchange import encode_request, expected_body
from orchidferry.testkit.process import monotonic_at
from orchidferry.testkit.scenario import Scenario, read_scenario
from orchidferry.testkit.wire import Address, Outcome, Pool

BUDGET_S = 2.0
GRACE_S = 0.5  # wait for a response beyond the request's budget
BODY = b"x" * 100
READS = "ler-feed"
MIX = ((READS, 6), ("salvar-episodio", 3), ("repasse-socio", 1))  # requests of each class among ten

WriteRequest = Callable[[int, str], bytes]  # encodes a request, given its number and its id


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The results of a load. The names of the fields are keys of `--json`."""

    asked: int  # requests that were sent
    failed: int  # requests without a correct response in time
    why: dict[str, int]  # failures by HTTP status, or by the kind of failure without one
    late_p99_ms: float  # delay of the sending behind its schedule
    # times to the response; None if no request was answered
    p50_ms: float | None
    p99_ms: float | None
    most_ms: float | None


def scenario() -> Scenario:
    """Return a scenario with the default classes, rules and settings of rehearsals."""
    return read_scenario({"name": "forward"}, "forward")


def request_writer(mix: bool) -> WriteRequest:
    """Return an encoder of requests: of the default mix of classes, or of reads only."""
    classes = {cls.name: cls for cls in scenario().classes}
    names = [name for name, count in MIX for _ in range(count)] if mix else [READS]

    def write(number: int, id: str) -> bytes:
        cls = classes[names[number % len(names)]]
        return encode_request(cls, id, f"k-{id}", number, BUDGET_S, False, BODY)

    return write


async def offer_load(
    address: Address,
    rate: float,
    seconds: float,
    tag: str,
    write: WriteRequest | None = None,
    pool: Any = None,
) -> LoadReport:
    """Offer a load at a constant rate, and wait for all outcomes.

    :param rate: requests per second.
    :param seconds: duration of the load.
    :param tag: prefix of the request ids, which distinguishes them from those of other loads.
    :param write: encodes the requests; None for reads.
    :param pool: the connection pool, which is closed at the end; None for a new one of HTTP/1.1.
    """
    pool = Pool(lambda _: None) if pool is None else pool
    write = request_writer(False) if write is None else write
    try:
        return await _OpenLoop(address, tag, write, pool).run(rate, seconds)
    finally:
        pool.close()


class _OpenLoop:
    def __init__(self, address: Address, tag: str, write: WriteRequest, pool: Any) -> None:
        self._address = address
        self._tag = tag
        self._write = write
        self._pool = pool
        self._seed = scenario().seed
        self._latencies_s: list[float] = []
        self._failures: Counter[str] = Counter()

    async def run(self, rate: float, seconds: float) -> LoadReport:
        """Send each request at its scheduled time, and wait for the last outcome."""
        start_s = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()
        late_s: list[float] = []
        count = int(rate * seconds)
        for number in range(count):
            wait_s = monotonic_at(start_s, number / rate)
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            late_s.append(max(0.0, -monotonic_at(start_s, number / rate)))
            task = asyncio.create_task(self._send_request(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        return self._report(late_s)

    async def _send_request(self, number: int) -> None:
        id = f"{self._tag}{number}.0"
        started_s = time.monotonic()
        connection = await self._pool.connection(self._address)
        if isinstance(connection, Outcome):
            self._failures[connection.how] += 1
            return
        answer = connection.ask(id, self._write(number, id))
        await asyncio.wait({answer}, timeout=BUDGET_S + GRACE_S)
        outcome = answer.result() if answer.done() else Outcome("timeout", 0.0)
        if outcome.status == 200 and outcome.body == expected_body(self._seed, id):
            self._latencies_s.append(time.monotonic() - started_s)
            self._pool.put_back(self._address, connection)
        else:
            self._failures[str(outcome.status or outcome.how)] += 1
            connection.drop()

    def _report(self, late_s: list[float]) -> LoadReport:
        late_s.sort()
        latencies_s = sorted(self._latencies_s)
        return LoadReport(
            len(late_s),
            self._failures.total(),
            dict(self._failures),
            late_s[int(0.99 * len(late_s))] * 1e3,
            latencies_s[len(latencies_s) // 2] * 1e3 if latencies_s else None,
            latencies_s[int(0.99 * len(latencies_s))] * 1e3 if latencies_s else None,
            latencies_s[-1] * 1e3 if latencies_s else None,
        )
