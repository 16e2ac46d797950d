"""`bench mesh`, requests: CPU per request of a mesh node, the bare forwarder and the standalone node."""

from __future__ import annotations

import statistics
from collections import Counter
from dataclasses import dataclass

from orchidferry.testkit.bench import forward_bench
from orchidferry.testkit.bench.mesh_claims import MIN_GRANTED, SYNC_MS
from orchidferry.testkit.bench.mesh_fleet import FEED, HOST, SAVE, Fleet
from orchidferry.testkit.bench.mesh_rows import Row, figure_row
from orchidferry.testkit.bench.open_loop import BODY, BUDGET_S, LoadReport, WriteRequest, offer_load, scenario
from orchidferry.testkit.bench.process_usage import CpuMeter
from orchidferry.testkit.exchange import RequestOptions, encode_request
from orchidferry.testkit.wire import Address

RATE = 300.0  # requests per second offered to a forwarder
WARM_UP_S = 0.6
REPORTED_WAIT = 0.02  # a row reports the fraction of time for which a process waited for a core above this
BASELINE = "bare forwarder, reads"  # the row that the ratios of all rows refer to


def request_writer(class_name: str, prefix: str, keyed: bool) -> WriteRequest:
    """Return an encoder of requests that the standalone node and a mesh node both understand.

    All forwarders receive the same bytes.

    :param class_name: class of the requests.
    :param prefix: path prefix of the route.
    :param keyed: whether each request has an operation key.
    """
    cls = next(cls for cls in scenario().classes if cls.name == class_name)

    def write(number: int, id: str) -> bytes:
        headers = [f"Attempt-Id: {id}", f"Time-Remaining: {BUDGET_S * 1e3:.0f}"]
        if keyed:
            headers.append(f"Operation-Key: k-{id}")
        target = f"{prefix}x?obj={number:x}"
        return encode_request(
            cls,
            id,
            f"k-{id}",
            number,
            BUDGET_S,
            False,
            BODY,
            RequestOptions(HOST, target, extra_headers=headers),
        )

    return write


READS = request_writer("ler-feed", FEED, False)
SAVES = request_writer("salvar-episodio", SAVE, True)


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The results of one load of requests, and its resource usage."""

    report: LoadReport
    cpu_us: list[float]  # CPU per request, of each process on the path
    controller_us: list[float]  # CPU per request, of each controller
    waited: float  # largest fraction of time for which a process on the path waited for a CPU core


class RequestBench:
    """Offers loads to forwarders, and measures the forwarding processes.

    :ivar results: the results of each forwarder, by its name in the rows.
    """

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._loads = 0
        self.results: dict[str, list[LoadResult]] = {}

    async def offer(self, name: str, address: Address, pids: list[int], write: WriteRequest) -> None:
        """Offer a load at an address, after a warm-up.

        :param name: of the forwarder, in the rows.
        :param pids: the processes on the path of the requests.
        """
        self._loads += 1
        await offer_load(address, RATE, WARM_UP_S, f"w{self._loads}-", write)
        controllers = self._fleet.meter(self._fleet.cores)
        meter = CpuMeter(pids)
        report = await offer_load(address, RATE, self._seconds, f"m{self._loads}-", write)
        usage = meter.read()
        result = LoadResult(
            report,
            [cpu_s / report.asked * 1e6 for cpu_s in usage.cpu_s],
            [cpu_s / report.asked * 1e6 for cpu_s in controllers.read().cpu_s],
            usage.waited,
        )
        self.results.setdefault(name, []).append(result)


async def measure_requests(seconds: float, turns: int) -> list[Row]:
    """Measure the CPU per request of each forwarder, alternating."""
    async with Fleet(3, (1, 1), SYNC_MS) as fleet:
        bench = RequestBench(fleet, seconds)
        other_forwarders = forward_bench.Bench(fleet.block, fleet.folder, 0)
        other_forwarders.servers = [(fleet.sidecars[0].ip, fleet.ports.application)]
        try:
            for _ in range(turns):
                await _offer_to_other_forwarders(bench, other_forwarders)
                await _offer_to_mesh(bench, fleet)
        finally:
            await other_forwarders.close()
    return request_rows(bench.results)


async def _offer_to_other_forwarders(bench: RequestBench, other_forwarders: forward_bench.Bench) -> None:
    process, address = await other_forwarders.start("bare")
    await bench.offer(BASELINE, address, [process.pid], READS)
    await other_forwarders.stop(process)
    process, address = await other_forwarders.start("node")
    await bench.offer("present node, reads", address, [process.pid], READS)
    await bench.offer("present node, keyed", address, [process.pid], SAVES)
    await other_forwarders.stop(process)


async def _offer_to_mesh(bench: RequestBench, fleet: Fleet) -> None:
    near, far = fleet.sidecars  # the server of all requests runs beside the first sidecar
    near_pid, far_pid = (fleet.pids([machine])[0] for machine in (near, far))
    for kind, write in (("reads", READS), ("keyed", SAVES)):
        address = (near.ip, fleet.ports.outbound)
        await bench.offer(f"proxy, one machine, {kind}", address, [near_pid], write)
        address = (far.ip, fleet.ports.outbound)
        await bench.offer(f"proxy, two machines, {kind}", address, [far_pid, near_pid], write)


def request_rows(results: dict[str, list[LoadResult]]) -> list[Row]:
    """Make the rows of all forwarders from their repeats."""
    baseline_us = statistics.median(sum(result.cpu_us) for result in results[BASELINE])
    rows = []
    for name, repeats in results.items():
        total_us = [sum(result.cpu_us) for result in repeats]
        ratio = round(statistics.median(total_us) / baseline_us, 2)
        details = _details(name, repeats)
        rows.append(figure_row("requests", f"{name}: CPU", "us a request", total_us, ratio=ratio, **details))
        rows.append(
            figure_row("requests", f"{name}: p50", "ms", [result.report.p50_ms or 0.0 for result in repeats])
        )
        rows.append(
            figure_row("requests", f"{name}: p99", "ms", [result.report.p99_ms or 0.0 for result in repeats])
        )
    return rows


def _details(name: str, results: list[LoadResult]) -> Row:
    details: Row = {}
    failed = sum(result.report.failed for result in results)
    if failed:
        asked = sum(result.report.asked for result in results)
        failures = sum((Counter(result.report.why) for result in results), Counter[str]())
        details = {"failed": f"{failed} of {asked}", "why": " ".join(sorted(failures))}
        if failed > (1.0 - MIN_GRANTED) * asked:
            details["broken"] = True
    processes = range(len(results[0].cpu_us))
    cpu_us = [statistics.median(result.cpu_us[process] for result in results) for process in processes]
    if len(cpu_us) > 1:
        details["outbound_us"], details["inbound_us"] = (round(us, 1) for us in cpu_us)
    late_ms = max(result.report.late_p99_ms for result in results)
    if late_ms > forward_bench.LATE_MS:
        details["asked_late_p99_ms"] = round(late_ms, 1)
    waited = max(result.waited for result in results)
    if waited > REPORTED_WAIT:
        details["waited_for_a_core"] = f"{waited:.0%}"
    if name.startswith("proxy") and name.endswith("keyed"):
        controller_us = statistics.median(us for result in results for us in result.controller_us)
        details["each_controller_us"] = round(controller_us, 1)
    return details
