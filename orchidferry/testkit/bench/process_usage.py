"""What processes use of the machine, by the kernel's accounts; how long a disk takes to sync."""

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
    """Seconds that a process has used, by all its threads."""

    cpu: float
    waited: float  # ready to run, with no core free


@dataclass(frozen=True, slots=True)
class Usage:
    """What some processes have used over a time."""

    cpu_s: list[float]  # of each process
    waited: float  # the largest fraction of the time that one of them waited for a core


def cpu_time(pid: int) -> CpuTime:
    """What a process has used so far, by all its threads: a controller's disk has one of its own."""
    accounts = [file.read_text().split() for file in Path(f"/proc/{pid}/task").glob("*/schedstat")]
    cpu, waited = (sum(int(account[field]) for account in accounts) / NANOSECONDS for field in (0, 1))
    return CpuTime(cpu, waited)


class CpuMeter:
    """What some processes use from now on."""

    def __init__(self, pids: list[int]) -> None:
        self._pids = pids
        self._started_s = time.monotonic()
        self._before = [cpu_time(pid) for pid in pids]

    def read(self) -> Usage:
        """What they have used since the meter was made."""
        now = [cpu_time(pid) for pid in self._pids]
        duration_s = time.monotonic() - self._started_s
        pairs = list(zip(now, self._before, strict=True))
        cpu_s = [after.cpu - before.cpu for after, before in pairs]
        return Usage(cpu_s, max(after.waited - before.waited for after, before in pairs) / duration_s)


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / KIB_PER_MIB


def written_bytes(pid: int) -> int:
    """What a process has caused to be written to disk."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("write_bytes")).split()[1])


def disk_sync_ms(folder: str, count: int = 40) -> list[float]:
    """How long one write of 4 KiB and its sync take in a folder, `count` times."""
    took_ms = []
    with tempfile.TemporaryFile(dir=folder) as file:
        for _ in range(count):
            started_s = time.monotonic()
            os.write(file.fileno(), b"x" * SYNCED_BYTES)
            os.fdatasync(file.fileno())
            took_ms.append((time.monotonic() - started_s) * 1e3)
    return took_ms
