"""A fleet stops its processes and removes its files on exit."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from orchidferry.testkit.bench.mesh_fleet import Fleet
from orchidferry.testkit.bench.process_usage import cpu_time


def test_a_fleet_stops_its_processes_after_an_error() -> None:
    pids: list[int] = []
    folder = Path()

    async def run() -> None:
        nonlocal folder
        async with Fleet(1) as fleet:
            claimer = await fleet.claimer()
            folder = fleet.folder
            pids.extend((*fleet.pids(fleet.cores), claimer.pid))
            assert all(cpu_time(pid).cpu > 0.0 for pid in pids) and fleet.stored()[0] > 0
            raise KeyError("a failure within the context")

    with pytest.raises(KeyError):
        asyncio.run(run())
    assert len(pids) == 2 and not folder.exists()
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
