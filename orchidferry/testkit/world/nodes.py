"""Real nodes as processes, started as the deployment starts them, and ended with everything they began."""

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
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.record import Lag, NodeDown, NodePaused, NodeUp, Recorder
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.traffic.guard import PROOF_CLASS
from orchidferry.testkit.wire import Address, get

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import Files

# how long a node may take to come up, and how often it is asked
READY_S = 20.0
READY_EVERY_S = 0.03
TERM_S = 5.0  # a node that was told to end is killed after this: the longest deadline and some
WINDOW_S = 2.0  # over which a node's wait for a core is measured
NOTED_SHARE = 0.02  # of it, from which that is kept
LOG_BYTES = 256 * 1024  # of a node's log that are looked through, from its end
NEW_KIND = "standin-new"  # of servers of the pool that traffic is moved to
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def in_child(sockets: int) -> None:
    """Before the node's program begins: its limit on descriptors, and its end with the director's.

    The kernel kills it when the director dies, however that happens.
    """
    resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def class_settings(cls: Class) -> dict[str, Any]:
    """A class as the node's settings have it."""
    return {
        "name": cls.name,
        "objective_ms": cls.wanted_s * 1000.0,
        "give_up_ms": cls.gives_up_s * 1000.0,
        "importance": cls.worth,
        "late_worth": cls.late_worth,
        "semantics": {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}[cls.repeat],
        "dedup_scope": cls.group,
        "window_ms": cls.window_s * 1000.0,
        "stream": False,
    }


def settings(scenario: Scenario, tier: int, siblings: int, number: int) -> dict[str, Any]:
    """A node's start-up settings; they hold nothing of the seed, the faults or the servers' speeds."""
    rules = scenario.rules
    figures = scenario.tiers[tier]
    classes = scenario.classes
    if tier and not scenario.chain.knows:
        classes = tuple(replace(cls, worth=1.0) for cls in classes)
    more = [Class(PROOF_CLASS, 0.0, 0.001, 1.0, 2.0, "safe", worth=0.0)] if scenario.traffic else []
    return {
        "classes": [class_settings(cls) for cls in (*classes, *more)],
        "clients": {"marks_retry": True},
        "dcs": [figures.zone],
        "locality": figures.zone,
        "host_types": ["standin-1c", NEW_KIND],
        "family": "chain",
        "family_info": {"passes_deadline": scenario.node.passes_deadline},
        "membership_mode": "on_request",
        "quantum_ms": 5.0,
        "siblings": siblings,
        "my_number": number,
        "over_share_worth": 1.0,
        "tenants": [],
        "permissions": {
            "connect_timeout_ms": 120.0,
            "keepalive_ms": 30_000.0,
            "max_attempts": scenario.node.attempts,
            "may_cancel": True,
            "parallel_tries": False,
            "peers": False,
            "probes": False,
            "retry_after": scenario.node.retry_after,
            "max_retry_after_ms": 2_000.0,
        },
        "prices": {},
        "score_parts": {"whole": 0.45, "worst_class": 0.2, "worst_window": 0.35},
        "rules": {
            "answer_slack_ms": rules.answer_slack_s * 1000.0,
            "ask_every_ms": 10_000.0,
            "overload_factor": rules.overload_factor,
            "overload_for_ms": rules.overload_for_s * 1000.0,
            "ramp_time_ms": figures.cold_for_s * 1000.0,
            "start_capacity": figures.cold_from,
            "stop_sending_within_ms": rules.drain_grace_s * 1000.0,
        },
        "stages": [t.name for t in scenario.tiers],
        "tier": tier,
        "stats": {"fields": [], "how": "silent"},
        "weight_kind": "silent",
        "worth_by": "request",
    }


def http3_text(listen: str, files: Files) -> str:
    """The operator's file that switches HTTP/3 on, both ways."""
    from orchidferry.testkit.quic.certs import NAME

    return (
        f'[front]\nlisten = "{listen}"\ncertificate = "{files.certificate}"\nkey = "{files.key}"\n'
        f'[servers]\nca = "{files.ca}"\nname = "{NAME}"\n'
    )


def chain_text(scenario: Scenario, name: str, tier: int, siblings: int) -> str:
    """The operator's file that has a node take part in a chain; one key for all, as their operators share."""
    side = scenario.chain
    key = "".join(f"{seeded_random.integer(scenario.seed, 'chain', n):016x}" for n in range(2))
    return (
        f'tier = "{scenario.tiers[tier].name}"\nnode = "{name.replace("/", ".")}"\n'
        f"first = {str(tier == 0).lower()}\nextra = {side.extra}\nshare = {side.share}\n"
        f"shed = {str(side.shed).lower()}\n"
        f'floor_per_s = {side.floor}\nnodes = {siblings}\nkeys = ["k1={key}"]\n'
    )


class NodeProcess:
    """One node, over all its lives."""

    def __init__(
        self,
        name: str,
        tier: int,
        address: Address,
        discovery: Address,
        scenario: Scenario,
        siblings: int,
        number: int,
        folder: Path,
        recorder: Recorder,
        died: Callable[[NodeProcess, str], None],
        files: Files | None = None,
    ) -> None:
        self.name = name
        self.tier = tier
        self.address = address
        self.discovery = discovery
        self._scenario = scenario
        self._siblings = siblings
        self._number = number
        self._recorder = recorder
        self._died = died
        self._files = files
        self._home = folder / name.replace("/", "_")
        self.control: Address | None = None  # where its control service is
        self.fleet: Callable[[], str] | None = None  # the text of its file for a fleet
        self.admin: Address | None = None  # where its admin server listens
        self.paused_at: float | None = None
        self.lives = 0
        self._expected: str | None = None  # why its process will end, once that is meant
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: asyncio.Task[None] | None = None
        self._waited = 0.0  # for a core, up to the last look
        self._cpu_before_s = 0.0  # of its lives before this one
        self._cpu_now_s = 0.0  # of this one, up to the last look
        self.ready = False

    @property
    def cpu_s(self) -> float:
        """CPU seconds of all its lives, up to the last look at each."""
        return self._cpu_before_s + self._cpu_now_s

    @property
    def pid(self) -> int | None:
        return self._process.pid if self._process is not None and self._process.returncode is None else None

    async def start(self, known: dict[str, Any]) -> bool:
        """Start it and wait until it is ready; False if it ended or took too long."""
        self.lives += 1
        self._expected = None
        self.ready = False
        shutil.rmtree(self._home / "tmp", ignore_errors=True)
        (self._home / "tmp").mkdir(parents=True)
        listen = f"{self.address[0]}:{self.address[1]}"
        discovery = f"{self.discovery[0]}:{self.discovery[1]}"
        config = {
            "name": self.name,
            "listen": listen,
            "discovery": discovery,
            "seed": f"{seeded_random.integer(self._scenario.seed, 'node', self.name, self.lives):016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self._scenario.node.memory_mb,
                "sockets": self._scenario.node.sockets,
            },
            "known": known,
            "settings": settings(self._scenario, self.tier, self._siblings, self._number),
        }
        path = self._home / "config.json"
        path.write_text(json.dumps(config))
        command = self._scenario.node.command or (sys.executable, "-B", "-m", "orchidferry")
        env = os.environ | {
            "NODE_NAME": self.name,
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(path),
            "TMPDIR": str(self._home / "tmp"),
        }
        if self._files is not None:
            http3 = self._home / "http3.toml"
            http3.write_text(http3_text(listen, self._files))
            env["ORCHIDFERRY_HTTP3"] = str(http3)
        if self.control is not None:
            control = self._home / "control.toml"
            control.write_text(
                f'service = "{self.control[0]}:{self.control[1]}"\nnode = "{self.name}"\n'
                f'pools = ["{self._scenario.tiers[self.tier].name}"]\nsettings = "{self.name}"\n'
                'state = "state"\n'  # beside it, and kept over its lives
            )
            env["ORCHIDFERRY_CONTROL"] = str(control)
        if self.admin is not None:
            env["NODE_ADMIN_ADDR"] = f"{self.admin[0]}:{self.admin[1]}"
        if self.fleet is not None:
            fleet = self._home / "fleet.toml"
            keys = self._home / "fleet.keys"
            keys.touch(mode=0o600)
            keys.write_text(f"k1={seeded_random.integer(self._scenario.seed, 'fleet'):032x}\n")
            fleet.write_text(self.fleet())
            env["ORCHIDFERRY_FLEET"] = str(fleet)
        if self._scenario.chain.on:
            chain = self._home / "chain.toml"
            chain.write_text(chain_text(self._scenario, self.name, self.tier, self._siblings))
            env["ORCHIDFERRY_CHAIN"] = str(chain)
        if self._scenario.pools.on and self.tier == 0:
            side = self._scenario.pools
            pools = self._home / "pools.toml"
            pools.write_text(
                f'[[pool]]\nname = "old"\n[[pool]]\nname = "new"\nkinds = ["{NEW_KIND}"]\n'
                '[move]\nto = "new"\n'
                f"steps = {[side.first, *(step for step in (0.1, 0.25, 0.5, 1.0) if step > side.first)]}\n"
                f'step_ms = {side.step_s * 1_000.0}\nrare = "{side.rare}"\n'
            )
            env["ORCHIDFERRY_POOLS"] = str(pools)
        with (self._home / "log").open("ab") as log:
            try:
                self._process = await asyncio.create_subprocess_exec(
                    *command,
                    env=env,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    preexec_fn=partial(in_child, self._scenario.node.sockets),
                    start_new_session=True,
                )
            except OSError as problem:
                log.write(f"can't start {command[0]}: {problem.strerror}\n".encode())
                log.flush()
                self._note_end("can't start")
                return False
        self._waited = 0.0
        self._cpu_before_s = self.cpu_s
        self._cpu_now_s = 0.0
        self._watcher = asyncio.get_running_loop().create_task(self._watch(self._process))
        return await self._until_ready(self._process)

    async def _until_ready(self, process: asyncio.subprocess.Process) -> bool:
        deadline = self._recorder.now() + READY_S
        while self._recorder.now() < deadline and process.returncode is None and self._expected is None:
            outcome = await get(self.address, "/-/ready")
            if outcome.how == "answer" and outcome.status == 200:
                self.ready = True
                self._recorder.put(NodeUp(self._recorder.now(), self.name, self.tier))
                return True
            await asyncio.sleep(READY_EVERY_S)
        return False

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if process is self._process:
            self._note_end(f"exit {status}")

    def _note_end(self, why: str) -> None:
        self.ready = False
        expected = self._expected
        self._recorder.put(NodeDown(self._recorder.now(), self.name, expected or why))
        if expected is None:
            self._died(self, why)

    def kill(self, why: str = "killed") -> None:
        """End it outright, with whatever it started."""
        if self.pid is not None:
            self._expected = why
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.pid, signal.SIGKILL)

    def pause(self) -> None:
        """Stop it where it is."""
        if self.pid is not None:
            self.paused_at = self._recorder.now()
            os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        if self.pid is not None and self.paused_at is not None:
            os.kill(self.pid, signal.SIGCONT)
            self._recorder.put(NodePaused(self.paused_at, self._recorder.now(), self.name))
        self.paused_at = None

    def journal(self) -> list[str]:
        """What it wrote down of its view of the fleet, all of its lives."""
        found: list[str] = []
        for name in ("fleet.journal.1", "fleet.journal"):
            with contextlib.suppress(OSError):
                found += (self._home / name).read_text(encoding="utf-8").splitlines()
        return found

    async def stop(self) -> None:
        """Tell it to end, and kill it if it does not in time."""
        process = self._process
        if process is None or self.pid is None:
            return
        self._expected = "ended"
        self._recorder.put(NodeDown(self._recorder.now(), self.name, "term"))
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), TERM_S)
        except TimeoutError:
            self.kill("ended late")

    async def gone(self) -> None:
        """Wait until its process has ended and that is in the record."""
        if self._watcher is not None:
            await self._watcher

    def look(self, note: bool) -> None:
        """Read how long it has waited for a core, from the kernel's books; `note`: since the last look."""
        if self.pid is None:
            return
        try:
            ran, waited, _ = (int(n) for n in Path(f"/proc/{self.pid}/schedstat").read_text().split())
        except (OSError, ValueError):
            return  # ended just now, or a kernel that does not tell
        share = (waited / 1e9 - self._waited) / WINDOW_S
        self._waited = waited / 1e9
        self._cpu_now_s = ran / 1e9
        if note and share > NOTED_SHARE:
            self._recorder.put(Lag(self._recorder.now(), self.name, "starved", share))

    def log_lines(self) -> list[str]:
        """The end of its log."""
        try:
            data = (self._home / "log").read_bytes()[-LOG_BYTES:]
        except OSError:
            return []
        return data.decode("utf-8", "replace").splitlines()

    def log_tail(self, lines: int) -> list[str]:
        """Its last lines, for whoever asks why it died."""
        return self.log_lines()[-lines:]
