"""The mesh's own processes: how they are started, signalled and ended, and their resource usage."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import os
import resource
import shutil
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import orchidferry
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.day import Day, Machine
from orchidferry.testkit.mesh.facts import Process
from orchidferry.testkit.mesh.settings_file import limits, settings
from orchidferry.testkit.mesh.spawn import ChildProcess, spawn

COMMANDS = {
    "core": (sys.executable, "-B", "-m", "orchidferry.mesh", "controller"),
    "sidecar": (sys.executable, "-B", "-m", "orchidferry.mesh", "proxy"),
}
"""The command line of a process, by the class of its machine."""

ROOT = Path(orchidferry.__file__).parents[1]
"""The folder that contains the package; the processes' working directory."""

KILL_TIMEOUT_S = 10.0
"""How long a killed process may take to end; long enough for a slow machine."""

USAGE_WINDOW_S = 2.0
"""The shortest window over which a process's wait for a CPU core is measured, and the delay from the start of
the process to the first window."""

MAX_SEEDS = 3
"""How many seed controllers a settings file names at most."""

MAX_HANDLER_WAIT_S = 10.0
"""The time after its start from which a process is sent SIGHUP even if it has never installed a handler."""

RESTART_DELAY_S = 0.5
"""The time from the unexpected end of a process to its restart."""

MAX_STARTS = 20
"""How often one machine's process may be started in a run; if it then ends by itself, the run is aborted."""

LIBRARIES = ("cbor2", "lmdb", "loguru", "marshmallow")
"""Third-party libraries that the mesh's processes import."""

BUILT_DEPENDENCIES = "target/deps"
"""Where the deployment's build puts these libraries; without this folder the extra `mesh` is needed."""

PASSED_ENVIRONMENT = ("PATH", "HOME", "LANG")
"""Environment variables that the processes inherit."""

LOG_TAIL_BYTES = 8192
"""How many bytes at the end of a log are read."""


def missing_library() -> str:
    """The name of a library that the mesh's processes need and that is not installed; empty if all are."""
    if (ROOT / BUILT_DEPENDENCIES).is_dir():
        return ""
    return next((name for name in LIBRARIES if importlib.util.find_spec(name) is None), "")


class Node:
    """The processes that run on one machine, one after another."""

    def __init__(
        self,
        context: RunContext,
        day: Day,
        machine: Machine,
        seeds: list[Machine],
        folder: Path,
        on_died: Callable[[Node, int], None],
        on_ended: Callable[[Machine], None],
        first_start: bool = True,
    ) -> None:
        """Create a node without starting its process.

        :param seeds: the controllers; the list may change during the run
        :param folder: the folder of the run; the node's files go to a subfolder with the machine's name
        :param on_died: called with the node and the exit status when a process ends by itself
        :param on_ended: called whenever a process has ended, for whatever reason
        :param first_start: the node's first process takes part in bootstrapping the cluster
        """
        self.machine = machine
        self.command: tuple[str, ...] = COMMANDS[machine.role]
        self._context = context
        self._day = day
        self._seeds = seeds
        self._on_died = on_died
        self._on_ended = on_ended
        self._first_start = first_start
        self.first_seed: Machine | None = None  # listed before the other seeds in the settings file
        self._home = folder / machine.name
        self._process: ChildProcess | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._end_expected = False  # the kit has ended the process
        self.stopping = False  # the process was sent SIGTERM, and no other was started since
        self.paused = False  # the process is suspended
        self._has_handled_reload = False  # the process was seen with a handler for SIGHUP
        self.starts = 0  # how many processes were started so far
        self.cpu_s = 0.0  # CPU time of all processes of this node
        self.peak_memory_mb = 0.0  # largest resident set size of these processes
        self.starved = 0.0  # fraction of the last window for which the process waited for a CPU core
        self._last_sample: tuple[float, float] | None = None  # time of the sample; seconds waited until then
        self._started_at = 0.0  # start of the process, on the run's clock
        self._past_cpu_s = 0.0  # CPU time of this node's earlier processes

    @property
    def pid(self) -> int | None:
        """The id of the running process; None if there is none."""
        process = self._process
        return process.pid if process is not None and process.returncode is None else None

    def _record(self, what: str, again: bool = False) -> None:
        self._context.record(Process(self._context.now(), self.machine.name, what, again))

    def write_settings(self) -> Path:
        """Write the settings file, with the current list of controllers as seeds; returns its path."""
        data = self._home / "data"
        data.mkdir(parents=True, exist_ok=True)
        path = self._home / "local.toml"
        part = self._home / "local.toml.part"
        seeds = sorted(self._seeds, key=lambda seed: seed is not self.first_seed)[:MAX_SEEDS]
        ports = self._context.ports
        part.write_text(settings(self._day, ports, self.machine, seeds, self._first_start, data))
        part.replace(path)
        return path

    def wipe(self) -> None:
        """Delete the stored data of the machine; its process must have ended."""
        shutil.rmtree(self._home / "data", ignore_errors=True)

    async def start(self, again: bool = False) -> None:
        """Start the process unless it is running.

        :param again: whether the previous process ended by itself, for the record
        """
        if self.pid is not None:
            return
        path = self.write_settings()
        self._first_start = False
        self.starts += 1
        self._end_expected = False
        self.stopping = False
        self._has_handled_reload = False
        env = {name: os.environ[name] for name in PASSED_ENVIRONMENT if name in os.environ}
        if (built := ROOT / BUILT_DEPENDENCIES).is_dir():
            env["PYTHONPATH"] = str(built)
        env["ORCHIDFERRY_BOOT"] = str(path)
        max_descriptors = int(limits(self._day, self.machine.role)["file_descriptors"])
        with (self._home / "log").open("ab") as log:
            self._process = await spawn(self.command, env, ROOT, log, max_descriptors)
        self._record("start", again)
        self._past_cpu_s = self.cpu_s
        self._last_sample = None  # usage during start-up, before it is connected, is not representative
        self._started_at = self._context.now()
        self._watcher = asyncio.get_running_loop().create_task(self._watch(self._process))

    async def _watch(self, process: ChildProcess) -> None:
        status = await process.wait()
        self._on_ended(self.machine)
        if self._end_expected:
            return
        self._record("exit")
        self._on_died(self, status)

    def read_usage(self) -> None:
        """Sample the CPU time, wait for a core and peak memory of the process from /proc."""
        if self.pid is None:
            return
        with contextlib.suppress(OSError, ValueError, IndexError):
            schedstat = Path(f"/proc/{self.pid}/schedstat").read_text()
            ran_ns, waited_ns, _ = map(int, schedstat.split())
            self._sample_waiting(waited_ns / 1e9)
            self.cpu_s = self._past_cpu_s + ran_ns / 1e9
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM:"):
                    self.peak_memory_mb = max(self.peak_memory_mb, int(line.split()[1]) / 1024.0)

    def _sample_waiting(self, waited_s: float) -> None:
        """At the end of a window, compute the fraction of it for which the process waited for a CPU core.

        :param waited_s: how long the process has waited for a core since its start
        """
        now = self._context.now()
        if self._last_sample is None:
            if now - self._started_at >= USAGE_WINDOW_S:
                self._last_sample = now, waited_s
            return
        sampled_at, waited_before_s = self._last_sample
        if now - sampled_at >= USAGE_WINDOW_S:
            self.starved = (waited_s - waited_before_s) / (now - sampled_at)
            self._last_sample = now, waited_s

    def kill(self, what: str = "killed") -> None:
        """Kill the process group of the process with SIGKILL.

        :param what: the value of `Process.what` in the record
        """
        self.read_usage()
        if self.pid is not None:
            self._end_expected = True
            self._record(what)
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    async def wait_ended(self) -> None:
        """Wait until a process that was killed has ended."""
        if self._process is not None:
            await asyncio.wait_for(self._process.wait(), KILL_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self.paused = True
        self._signal(signal.SIGSTOP, "paused")

    def resume(self) -> None:
        """Resume the suspended process (SIGCONT)."""
        self.paused = False
        self._signal(signal.SIGCONT, "resumed")

    def fill_disk(self) -> None:
        """Have every write of the process to a file fail, also to its log, as a full disk does."""
        self._limit_file_size(0)

    def free_disk(self) -> None:
        """Let the process write again."""
        self._limit_file_size(resource.RLIM_INFINITY)

    def _limit_file_size(self, limit: int) -> None:
        """Set the limit (`RLIMIT_FSIZE`, soft) of the running process, in bytes."""
        if self.pid is not None:
            _, hard = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (limit, hard))

    def reload(self) -> None:
        """Rewrite the settings file, and have the process reload it (SIGHUP).

        A process that has not installed a handler yet is not signalled: SIGHUP would end it, as no Python
        program can handle signals while its interpreter starts. One that had a handler before is.
        """
        self.write_settings()
        self._has_handled_reload = self._has_handled_reload or self._handles_reload()
        is_overdue = self._context.now() - self._started_at >= MAX_HANDLER_WAIT_S
        if self._has_handled_reload or is_overdue:
            self._signal(signal.SIGHUP, "reloaded")

    def _handles_reload(self) -> bool:
        """Whether the process has installed a handler for SIGHUP, according to /proc."""
        with contextlib.suppress(OSError, ValueError):
            for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
                if line.startswith("SigCgt:"):
                    return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
        return False

    def _signal(self, number: signal.Signals, what: str) -> None:
        if self.pid is not None:
            os.kill(self.pid, number)
            self._record(what)

    async def stop(self) -> None:
        """Terminate the process (SIGTERM), and kill it if it has not ended after the grace time."""
        self.read_usage()
        process = self._process
        if process is None or self.pid is None:
            return
        self._end_expected = True
        self.stopping = True
        self._record("term")
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), self._day.bounds.grace_s)
            self._record("ended")
        except TimeoutError:
            self.kill("late")
            await process.wait()

    def tail(self, lines: int) -> list[str]:
        """The last lines of the process's log.

        :param lines: how many at most
        """
        try:
            text = (self._home / "log").read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")
        except OSError:
            return []
        return text.splitlines()[-lines:]
