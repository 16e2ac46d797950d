"""An open loop of requests: sent at a fixed rate, whatever becomes of those before.

Requests are those of the rehearsals' usual classes; every answer is checked.
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
GRACE_S = 0.5  # beyond the budget, for the answer to come
BODY = b"x" * 100
READS = "ler-feed"
MIX = ((READS, 6), ("salvar-episodio", 3), ("repasse-socio", 1))  # classes of ten requests

WriteRequest = Callable[[int, str], bytes]  # renders the request of a number, with an id


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What came of a load. The names of the fields are keys of `--json`."""

    asked: int
    failed: int
    why: dict[str, int]  # failures by status, or by how they ended
    late_p99_ms: float  # by which requests were sent too late
    p50_ms: float | None  # None: none was answered
    p99_ms: float | None
    most_ms: float | None


def scenario() -> Scenario:
    """Its classes, rules and settings are the rehearsals' usual ones."""
    return read_scenario({"name": "forward"}, "forward")


def request_writer(mix: bool) -> WriteRequest:
    """Requests of the usual mix of classes, or reads alone."""
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
    """Offer a load at one rate, and wait for all outcomes.

    :param rate: requests a second.
    :param tag: tells the ids of this load from those of others.
    :param write: renders the requests; reads, if None.
    :param pool: of connections, which is closed in the end; of HTTP/1.1, if None.
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
        self._took_s: list[float] = []
        self._failures: Counter[str] = Counter()

    async def run(self, rate: float, seconds: float) -> LoadReport:
        """Send all requests at their time, and wait for the last outcome."""
        start_s = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()
        late_s: list[float] = []
        count = int(rate * seconds)
        for number in range(count):
            wait_s = monotonic_at(start_s, number / rate)
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            late_s.append(max(0.0, -monotonic_at(start_s, number / rate)))
            task = asyncio.create_task(self._ask(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        return self._report(late_s)

    async def _ask(self, number: int) -> None:
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
            self._took_s.append(time.monotonic() - started_s)
            self._pool.put_back(self._address, connection)
        else:
            self._failures[str(outcome.status or outcome.how)] += 1
            connection.drop()

    def _report(self, late_s: list[float]) -> LoadReport:
        late_s.sort()
        took_s = sorted(self._took_s)
        return LoadReport(
            len(late_s),
            self._failures.total(),
            dict(self._failures),
            late_s[int(0.99 * len(late_s))] * 1e3,
            took_s[len(took_s) // 2] * 1e3 if took_s else None,
            took_s[int(0.99 * len(took_s))] * 1e3 if took_s else None,
            took_s[-1] * 1e3 if took_s else None,
        )
