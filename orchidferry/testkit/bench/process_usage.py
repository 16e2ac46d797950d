"""Resource usage of processes from the kernel's accounting, and the sync time of a disk."""

from __future__ import annotations

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

NANOSECONDS = 1e9
KIB_PER_MIB = 1024.0
SYNCED_BYTES = 4096


@dataclass(frozen=True, slots=True)
class CpuTime:
    """CPU time of a process, summed over its threads, in seconds."""

    cpu: float  # running
    waited: float  # runnable, but waiting for a free CPU core


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU usage of some processes over an interval."""

    cpu_s: list[float]  # CPU time of each process, in seconds
    waited: float  # the largest fraction of the interval for which a process waited for a CPU core


def cpu_time(pid: int) -> CpuTime:
    """Return the CPU time of a process so far.

    All threads count, because a controller writes to its disk in a separate thread.
    """
    schedstats = [file.read_text().split() for file in Path(f"/proc/{pid}/task").glob("*/schedstat")]
    cpu, waited = (sum(int(values[field]) for values in schedstats) / NANOSECONDS for field in (0, 1))
    return CpuTime(cpu, waited)


class CpuMeter:
    """Measures the CPU usage of some processes from its creation on."""

    def __init__(self, pids: list[int]) -> None:
        self._pids = pids
        self._started_s = time.monotonic()
        self._before = [cpu_time(pid) for pid in pids]

    def read(self) -> Usage:
        """Return the usage since the meter was created."""
        now = [cpu_time(pid) for pid in self._pids]
        duration_s = time.monotonic() - self._started_s
        pairs = list(zip(now, self._before, strict=True))
        cpu_s = [after.cpu - before.cpu for after, before in pairs]
        return Usage(cpu_s, max(after.waited - before.waited for after, before in pairs) / duration_s)


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KIB_PER_MIB


def written_bytes(pid: int) -> int:
    """Return the bytes that a process has caused to be written to disk."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("write_bytes")).split()[1])


def disk_sync_ms(folder: str, count: int = 40) -> list[float]:
    """Measure `count` times how long a write of 4 KiB and its sync take in a folder.

    :returns: the durations in milliseconds.
    """
    took_ms = []
    with tempfile.TemporaryFile(dir=folder) as file:
        for _ in range(count):
            started_s = time.monotonic()
            os.write(file.fileno(), b"x" * SYNCED_BYTES)
            os.fdatasync(file.fileno())
            took_ms.append((time.monotonic() - started_s) * 1e3)
    return took_ms
