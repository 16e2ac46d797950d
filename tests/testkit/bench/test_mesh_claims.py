"""Rows of the claims benchmark, and a small measurement of a real controller."""

from __future__ import annotations

import asyncio

from orchidferry.testkit.bench.claim_load import ClaimReport
from orchidferry.testkit.bench.mesh_claims import (
    MEMORY_DISK,
    LoadResult,
    Options,
    claim_rows,
    measure_claims,
)


def result(asked: int, granted: int) -> LoadResult:
    """Make the result of a load of two seconds; the n-th granted claim took n milliseconds."""
    took_s = [0.001 * n for n in range(1, granted + 1)]
    return LoadResult(
        ClaimReport(asked, granted, seconds=2.0, took_s=took_s, late_s=[0.0], claimer_cpu_s=0.1),
        controller_us=[100.0, 200.0, 300.0],
        controller_busy=[0.1],
        waited=0.0,
        written=[0.0],
    )


def test_rows_of_claims_have_rates_and_the_number_of_ungranted_claims() -> None:
    rows = claim_rows("x", [result(100, 100), result(100, 90)])
    by = {row["name"].partition(": ")[2]: row for row in rows}
    granted = by["granted"]
    cpu = by["CPU of a controller"]
    p50 = by["p50"]
    assert (granted["min"], granted["median"], granted["max"]) == (45.0, 47.5, 50.0)
    assert granted["broken"] and granted["ungranted"] == 10
    assert cpu["median"] == 200.0 and cpu["core_machine"] == f"{0.645 / 200e-6:.0f}/s"
    assert (p50["min"], p50["max"]) == (45.0, 50.0)
    assert "written to disk" not in by and "broken" not in claim_rows("x", [result(9, 9)])[0]


def test_one_real_controller_is_measured() -> None:
    rows = asyncio.run(measure_claims(0.5, 1, Options((1,), (60.0,), (MEMORY_DISK,), False)))
    by = {row["name"].partition(": ")[2]: row for row in rows}
    assert 0.0 < by["granted"]["median"] <= 61.0
    assert by["CPU of a controller"]["min"] > 0.0 and 0.0 < by["p50"]["median"] <= by["p99"]["median"]
