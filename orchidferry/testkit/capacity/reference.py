"""Measures the speed of the machine during a measurement, with a fixed workload that runs beside it.

On cores that share execution units or change their clock rate, the CPU time of the same code varies by up to
a factor of two from one second to the next. CPU times are therefore scaled to a machine on which one run of
`work` takes `BURST_S`.
"""

from __future__ import annotations

import asyncio
import statistics
import time

import cbor2

BURST_S = 600e-6  # CPU time of one run of `work` on an otherwise idle machine
REPETITIONS = 30
BURST_INTERVAL_S = 0.03
MESSAGE = [
    "news",
    "controller",
    1,
    17,
    18,
    [[f"node-{n}", 900_719_925_474 + n, 3, "zone", "127.0.0.1", 8_080, None] for n in range(4)],
    [],
    7,
]


def work() -> int:
    """Encode, decode and store records, as the processes of the mesh do.

    :returns: the number of stored records
    """
    records: dict[object, object] = {}
    for repetition in range(REPETITIONS):
        for name, boot, number, *_ in cbor2.loads(cbor2.dumps(MESSAGE))[5]:
            records[name] = (name, boot, number + repetition)
        for at in range(20):
            records[at] = repetition + at
    return len(records)


class Speed:
    """Measures the machine's speed by bursts of the fixed workload."""

    def __init__(self) -> None:
        self._bursts: list[float] = []

    def burst(self) -> None:
        """Run the workload once and record its CPU time."""
        began = time.thread_time()
        work()
        self._bursts.append(time.thread_time() - began)

    async def run(self) -> None:
        """Run the workload periodically until cancelled."""
        while True:
            await asyncio.sleep(BURST_INTERVAL_S)
            self.burst()

    def slowness(self) -> float:
        """Return the mean CPU time of the bursts since the last call, relative to `BURST_S`.

        >>> speed = Speed()
        >>> speed.burst()
        >>> 0.1 < speed.slowness() < 100.0
        True
        """
        if not self._bursts:
            self.burst()
        mean_s = statistics.fmean(self._bursts)
        self._bursts = []
        return mean_s / BURST_S
