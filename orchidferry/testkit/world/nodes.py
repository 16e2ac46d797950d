"""Runs real nodes as processes: starts them, sends them signals and records their end."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import shutil
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.record import Lag, NodeDown, NodePaused, NodeUp, Recorder
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.wire import Address, get
from orchidferry.testkit.world.node_files import (
    chain_text,
    control_text,
    fleet_keys_text,
    http3_text,
    pools_text,
    settings,
)

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.03
TERM_TIMEOUT_S = 5.0  # time from SIGTERM to SIGKILL; longer than the longest time limit of an attempt
CPU_SAMPLE_S = 2.0  # interval over which a node's wait for a CPU core is measured
MIN_STARVED_FRACTION = 0.02  # shortest wait that is recorded, as a fraction of the interval
LOG_TAIL_BYTES = 256 * 1024  # number of bytes that are read from the end of a node's log
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def prepare_child(sockets: int) -> None:
    """Prepare a child process before its program starts, so that the kernel kills it when its parent ends.

    :param sockets: limit on the number of file descriptors of the child
    """
    resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """The identity and the addresses of a node.

    :param tier: index of the tier with the servers that the node uses
    :param number: the node's index among its siblings
    :param siblings: number of nodes that use the same tier, this node included
    :param address: the address at which the node listens for clients
    :param discovery: the address of service discovery for this node
    """

    name: str
    tier: int
    number: int
    siblings: int
    address: Address
    discovery: Address


class NodeProcess:
    """One node, over all its restarts.

    :param folder: the run's folder, which contains a folder for the node
    :param on_exit: called with the node and the reason if its process ends unexpectedly
    :param files: the certificates, with HTTP/3
    """

    def __init__(
        self,
        spec: NodeSpec,
        scenario: Scenario,
        folder: Path,
        recorder: Recorder,
        on_exit: Callable[[NodeProcess, str], None],
        files: CertificateFiles | None = None,
    ) -> None:
        self.spec = spec
        self.name = spec.name
        self._scenario = scenario
        self._recorder = recorder
        self._on_exit = on_exit
        self._files = files
        self._folder = folder / spec.name.replace("/", "_")
        self.control: Address | None = None  # address of the control service; None: the node has none
        self.fleet_text: Callable[[], str] | None = None  # returns the text of the fleet file; None: no fleet
        self.admin: Address | None = None  # address of the node's admin server; None: it has none
        self.paused_at: float | None = None  # on the record's clock; None: not paused
        self.incarnation = 0  # number of starts
        self.ready = False
        self._expected_end: str | None = None  # reason of an end that the test kit causes; otherwise None
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._waited_s = 0.0  # wait of this incarnation for a CPU core, up to the last sample
        self._cpu_before_s = 0.0  # CPU time of the earlier incarnations
        self._cpu_now_s = 0.0  # CPU time of this incarnation, up to the last sample

    @property
    def cpu_s(self) -> float:
        """The CPU time of all incarnations in seconds, up to the last sample of each."""
        return self._cpu_before_s + self._cpu_now_s

    @property
    def pid(self) -> int | None:
        """The id of the node's process; None if it does not run."""
        return self._process.pid if self._process is not None and self._process.returncode is None else None

    async def start(self, known: dict[str, Any]) -> bool:
        """Start the node and wait until it is ready.

        :param known: the server list for its configuration
        :returns: False if the node ended or did not become ready in time
        """
        self.incarnation += 1
        self._expected_end = None
        self.ready = False
        shutil.rmtree(self._folder / "tmp", ignore_errors=True)
        (self._folder / "tmp").mkdir(parents=True)
        command = self._scenario.node.command or (sys.executable, "-B", "-m", "orchidferry")
        env = os.environ | self._write_configuration(known) | self._write_optional_files()
        with (self._folder / "log").open("ab") as log:
            try:
                self._process = await asyncio.create_subprocess_exec(
                    *command,
                    env=env,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    preexec_fn=partial(prepare_child, self._scenario.node.sockets),
                    start_new_session=True,
                )
            except OSError as problem:
                log.write(f"can't start {command[0]}: {problem.strerror}\n".encode())
                log.flush()
                self._record_end("can't start")
                return False
        self._waited_s = 0.0
        self._cpu_before_s = self.cpu_s
        self._cpu_now_s = 0.0
        self._watcher = asyncio.get_running_loop().create_task(self._watch(self._process))
        return await self._until_ready(self._process)

    def _write_configuration(self, known: dict[str, Any]) -> dict[str, str]:
        """Write the node's configuration; return the environment variables that every node has."""
        spec = self.spec
        node = self._scenario.node
        listen = f"{spec.address[0]}:{spec.address[1]}"
        discovery = f"{spec.discovery[0]}:{spec.discovery[1]}"
        seed = seeded_random.integer(self._scenario.seed, "node", self.name, self.incarnation)
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": node.memory_mb, "sockets": node.sockets},
            "known": known,
            "settings": settings(self._scenario, spec.tier, spec.siblings, spec.number),
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        return {
            "NODE_NAME": self.name,
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self._folder / "tmp"),
        }

    def _write_optional_files(self) -> dict[str, str]:
        """Write the files of the enabled features; return the environment variables with their paths."""
        spec = self.spec
        scenario = self._scenario
        env: dict[str, str] = {}

        def write(variable: str, name: str, text: str) -> None:
            path = self._folder / name
            path.write_text(text)
            env[variable] = str(path)

        if self._files is not None:
            listen = f"{spec.address[0]}:{spec.address[1]}"
            write("ORCHIDFERRY_HTTP3", "http3.toml", http3_text(listen, self._files))
        if self.control is not None:
            pool = scenario.tiers[spec.tier].name
            write("ORCHIDFERRY_CONTROL", "control.toml", control_text(self.control, self.name, pool))
        if self.admin is not None:
            env["NODE_ADMIN_ADDR"] = f"{self.admin[0]}:{self.admin[1]}"
        if self.fleet_text is not None:
            keys = self._folder / "fleet.keys"
            keys.touch(mode=0o600)
            keys.write_text(fleet_keys_text(scenario))
            write("ORCHIDFERRY_FLEET", "fleet.toml", self.fleet_text())
        if scenario.chain.on:
            text = chain_text(scenario, self.name, spec.tier, spec.siblings)
            write("ORCHIDFERRY_CHAIN", "chain.toml", text)
        if scenario.pools.on and spec.tier == 0:
            write("ORCHIDFERRY_POOLS", "pools.toml", pools_text(scenario))
        return env

    async def _until_ready(self, process: asyncio.subprocess.Process) -> bool:
        deadline = self._recorder.now() + READY_TIMEOUT_S
        while self._recorder.now() < deadline and process.returncode is None and self._expected_end is None:
            outcome = await get(self.spec.address, "/-/ready")
            if outcome.how == "answer" and outcome.status == 200:
                self.ready = True
                self._recorder.put(NodeUp(self._recorder.now(), self.name, self.spec.tier))
                return True
            await asyncio.sleep(READY_POLL_S)
        return False

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if process is self._process:
            self._record_end(f"exit {status}")

    def _record_end(self, why: str) -> None:
        self.ready = False
        expected = self._expected_end
        self._recorder.put(NodeDown(self._recorder.now(), self.name, expected or why))
        if expected is None:
            self._on_exit(self, why)

    def kill(self, why: str = "killed") -> None:
        """Kill the node and its child processes.

        :param why: the reason to record
        """
        if self.pid is not None:
            self._expected_end = why
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    def pause(self) -> None:
        """Pause the node's process (SIGSTOP)."""
        if self.pid is not None:
            self.paused_at = self._recorder.now()
            os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the node's process (SIGCONT), and record the pause."""
        if self.pid is not None and self.paused_at is not None:
            os.kill(self.pid, signal.SIGCONT)
            self._recorder.put(NodePaused(self.paused_at, self._recorder.now(), self.name))
        self.paused_at = None

    def journal(self) -> list[str]:
        """Return the lines of the node's journal of fleet membership, over all incarnations."""
        found: list[str] = []
        for name in ("fleet.journal.1", "fleet.journal"):
            with contextlib.suppress(OSError):
                found += (self._folder / name).read_text(encoding="utf-8").splitlines()
        return found

    async def stop(self) -> None:
        """Terminate the node's process (SIGTERM), and kill it after a timeout."""
        process = self._process
        if process is None or self.pid is None:
            return
        self._expected_end = "ended"
        self._recorder.put(NodeDown(self._recorder.now(), self.name, "term"))
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), TERM_TIMEOUT_S)
        except TimeoutError:
            self.kill("ended late")

    async def wait_ended(self) -> None:
        """Wait until the node's process has ended and its end is recorded."""
        if self._watcher is not None:
            await self._watcher

    def sample_cpu(self, record: bool) -> None:
        """Read the node's CPU time and its wait for a CPU core from the kernel.

        :param record: whether to record a long wait since the last sample
        """
        if self.pid is None:
            return
        try:
            ran_ns, waited_ns, _ = (
                int(field) for field in Path(f"/proc/{self.pid}/schedstat").read_text().split()
            )
        except (OSError, ValueError):
            return  # the process has ended, or the kernel does not provide these statistics
        starved = (waited_ns / 1e9 - self._waited_s) / CPU_SAMPLE_S
        self._waited_s = waited_ns / 1e9
        self._cpu_now_s = ran_ns / 1e9
        if record and starved > MIN_STARVED_FRACTION:
            self._recorder.put(Lag(self._recorder.now(), self.name, "starved", starved))

    def log_lines(self) -> list[str]:
        """Return the last lines of the node's log, at most `LOG_TAIL_BYTES`."""
        try:
            data = (self._folder / "log").read_bytes()[-LOG_TAIL_BYTES:]
        except OSError:
            return []
        return data.decode("utf-8", "replace").splitlines()

    def log_tail(self, lines: int) -> list[str]:
        """Return the last lines of the node's log, which probably show the reason of its end.

        :param lines: maximum number of lines
        """
        return self.log_lines()[-lines:]
