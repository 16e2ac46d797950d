"""Rows of the request benchmark."""

from __future__ import annotations

from dataclasses import replace

from orchidferry.testkit.bench.mesh_requests import LoadResult, request_rows
from orchidferry.testkit.bench.open_loop import LoadReport


def result(*cpu_us: float) -> LoadResult:
    """Make the result of a hundred successful requests.

    :param cpu_us: CPU per request of each process on the path.
    """
    report = LoadReport(asked=100, failed=0, why={}, late_p99_ms=1.0, p50_ms=1.0, p99_ms=2.0, most_ms=3.0)
    return LoadResult(report, list(cpu_us), controller_us=[7.0], waited=0.0)


def test_rows_of_requests_sum_machines_and_compare_with_the_bare_forwarder() -> None:
    two_machines = result(300.0, 200.0)
    two_machines = replace(two_machines, report=replace(two_machines.report, failed=2, why={"503": 2}))
    results = {
        "bare forwarder, reads": [result(cpu_us) for cpu_us in (80.0, 100.0, 900.0)],
        "proxy, two machines, keyed": [two_machines],
    }
    bare, _, _, both, _, _ = request_rows(results)
    assert (bare["median"], bare["ratio"]) == (100.0, 1.0) and "broken" not in bare
    assert (both["median"], both["ratio"]) == (500.0, 5.0) and both["broken"]
    assert (both["failed"], both["why"]) == ("2 of 100", "503")
    assert (both["outbound_us"], both["inbound_us"], both["each_controller_us"]) == (300.0, 200.0, 7.0)
