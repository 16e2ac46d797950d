"""The open-loop load generator: which requests it sends, and the report of their outcomes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from orchidferry.testkit.bench.open_loop import LoadReport, offer_load, request_writer, scenario
from orchidferry.testkit.exchange import expected_body
from orchidferry.testkit.wire import Outcome

ADDRESS = ("127.0.0.1", 1)


class FakePool:
    """A connection pool whose n-th request gets the n-th status; a status of 0 is a failed connect."""

    def __init__(self, statuses: list[int]) -> None:
        self.statuses = statuses
        self.ids: list[str] = []
        self.put_back_count = 0
        self.dropped = 0
        self.closed = False

    async def connection(self, address: Any) -> Any:
        if not self.statuses[len(self.ids)]:
            self.ids.append("")
            return Outcome("refused", 0.0)
        return self

    def ask(self, id: str, request: bytes) -> asyncio.Future[Outcome]:
        status = self.statuses[len(self.ids)]
        self.ids.append(id)
        answer: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        body = expected_body(scenario().seed, id if status == 200 else "other")
        answer.set_result(Outcome("answer", 0.0, status, body=body))
        return answer

    def put_back(self, address: Any, connection: Any) -> None:
        self.put_back_count += 1

    def drop(self) -> None:
        self.dropped += 1

    def close(self) -> None:
        self.closed = True


def run(statuses: list[int]) -> tuple[LoadReport, FakePool]:
    """Offer one request per status, at 1,000 requests per second."""
    pool = FakePool(statuses)
    report = asyncio.run(offer_load(ADDRESS, 1_000.0, len(statuses) / 1_000.0, "t", pool=pool))
    return report, pool


def test_each_request_is_counted_once_and_its_connection_returned_or_dropped() -> None:
    report, pool = run([200, 503, 0, 200, 503])
    assert (report.asked, report.failed, report.why) == (5, 3, {"503": 2, "refused": 1})
    assert pool.ids == ["t0.0", "t1.0", "", "t3.0", "t4.0"]
    assert (pool.put_back_count, pool.dropped, pool.closed) == (2, 2, True)
    assert report.p50_ms is not None and report.p50_ms <= (report.most_ms or 0.0)


def test_a_load_without_a_successful_response_has_no_latencies() -> None:
    report, _ = run([503, 503])
    assert (report.p50_ms, report.p99_ms, report.most_ms) == (None, None, None)


@pytest.mark.parametrize(("mix", "targets"), [(False, {"ler-feed": 10}), (True, None)])
def test_requests_are_reads_or_the_default_mix(mix: bool, targets: dict[str, int] | None) -> None:
    write = request_writer(mix)
    found: dict[str, int] = {}
    for number in range(10):
        line = write(number, f"i{number}").split(b" ")[1].decode()
        name = line.split("/")[1].partition("?")[0]
        found[name] = found.get(name, 0) + 1
    assert found == (targets or {"ler-feed": 6, "salvar-episodio": 3, "repasse-socio": 1})
