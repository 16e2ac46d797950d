"""SIGTERM to real processes of both roles at critical moments, and the watchdog of their exit."""

from __future__ import annotations

import contextlib
import fcntl
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from orchidferry.mesh.control.controller import MIN_STOP_S
from orchidferry.mesh.process_end import EXIT_MARGIN_S, MAX_EXIT_MARGIN_FRACTION
from orchidferry.mesh.storage.store import CLOSE_TIMEOUT_S
from orchidferry.testkit.mesh.day import DAYS, Machine, Ports, machines
from orchidferry.testkit.mesh.environment import free_ports
from orchidferry.testkit.mesh.processes import COMMANDS, ROOT
from orchidferry.testkit.mesh.settings_file import settings
from orchidferry.testkit.world.addresses import claim

DAY = DAYS["mesh-calm"]
GRACE_S = DAY.bounds.grace_s
# Timeouts of waits, far longer than the waits are expected to take.
START_S = 20.0
KILL_S = 5.0
SIGTERM_BIT = 1 << (signal.SIGTERM - 1)
STOPPED = b"stopped"
STOPPING = {"sidecar": b"proxy: draining", "core": b"controller: stopping"}  # log text when a role stops
SERVING = {"sidecar": b"proxy: serving", "core": b"controller: listening: shard=3"}  # log text when it serves


class Process:
    """A process of one role, with its log and methods to signal it."""

    def __init__(self, folder: Path, places: Ports, machine: Machine, seeds: list[Machine]) -> None:
        self.machine = machine
        self.places = places
        self._log = folder / "log"
        self.data = folder / "data"
        self.data.mkdir()
        boot = folder / "local.toml"
        boot.write_text(settings(DAY, places, machine, seeds, True, self.data))
        self._environment = os.environ | {"ORCHIDFERRY_BOOT": str(boot), "PYTHONPATH": str(ROOT)}
        self._child: subprocess.Popen[bytes]

    def start(self, command: tuple[str, ...] = ()) -> None:
        with self._log.open("wb") as log:
            self._child = subprocess.Popen(
                command or COMMANDS[self.machine.role],
                env=self._environment,
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def log(self) -> bytes:
        return self._log.read_bytes()

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true; fail if the process ends or the wait times out."""
        deadline_s = time.monotonic() + START_S
        while not condition():
            assert self._child.poll() is None, self.log()
            assert time.monotonic() < deadline_s, self.log()
            time.sleep(0.002)

    def catches_sigterm(self) -> bool:
        """Whether its SIGTERM handler is installed, according to the kernel."""
        status = Path(f"/proc/{self._child.pid}/status").read_text()
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) & SIGTERM_BIT)

    def serves(self) -> bool:
        return SERVING[self.machine.role] in self.log()

    def stops(self) -> bool:
        return STOPPING[self.machine.role] in self.log()

    def signal(self, *numbers: int) -> None:
        for number in numbers:
            self._child.send_signal(number)

    def ended(self) -> tuple[int, float]:
        """Wait for its end within the grace time; return its exit status and the time waited, in seconds."""
        began = time.monotonic()
        status = self._child.wait(GRACE_S)
        return status, time.monotonic() - began

    def kill(self) -> None:
        self._child.send_signal(signal.SIGCONT)
        self._child.kill()
        self._child.wait(KILL_S)


@pytest.fixture(params=["sidecar", "core"])
def process(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Process]:
    """A process of each role that was just started."""
    block, held = claim()
    with contextlib.closing(held):
        cores, sidecars = machines(DAY, block.number, 7)
        places = free_ports([ip for machine in (*cores, *sidecars) for ip in (machine.ip, machine.bind)])
        machine = (sidecars if request.param == "sidecar" else cores)[0]
        one = Process(tmp_path, places, machine, cores)
        one.start()
        try:
            yield one
        finally:
            one.kill()


def test_sigterm_before_the_program_runs(process: Process) -> None:
    """The default action of SIGTERM ends the process, which has done nothing yet."""
    process.signal(signal.SIGTERM)
    assert process.ended()[0] == -signal.SIGTERM


def test_sigterm_while_it_is_imported(process: Process) -> None:
    maps = Path(f"/proc/{process._child.pid}/maps")
    process.wait_until(lambda: "/uvloop/" in maps.read_text() or process.catches_sigterm())
    process.signal(signal.SIGTERM)
    assert process.ended()[0] in (-signal.SIGTERM, 0)


def test_sigterm_as_soon_as_its_handler_is_installed(process: Process) -> None:
    process.wait_until(process.catches_sigterm)
    process.signal(signal.SIGTERM)
    assert process.ended()[0] == 0
    assert STOPPED in process.log()


@pytest.mark.parametrize(
    "numbers",
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
        (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT),
    ],
    ids=["once", "three times", "between SIGHUPs", "while frozen"],
)
def test_sigterm_while_it_serves(process: Process, numbers: tuple[int, ...]) -> None:
    process.wait_until(process.serves)
    process.signal(*numbers)
    status, _ = process.ended()
    assert status == 0
    assert STOPPED in process.log() and b"Traceback" not in process.log()


def test_sigterm_again_while_it_stops(process: Process) -> None:
    process.wait_until(process.serves)
    process.signal(signal.SIGTERM)
    process.wait_until(process.stops)
    process.signal(signal.SIGTERM)
    assert process.ended()[0] == 0


def test_sigterm_while_callers_stay_connected(process: Process) -> None:
    """Open connections, idle or with an incomplete request, don't delay the end."""
    process.wait_until(process.serves)
    name = "outbound" if process.machine.role == "sidecar" else "control"
    where = process.machine.bind, getattr(process.places, name)
    with contextlib.ExitStack() as stack:
        for sent in (b"", b"GET /a", b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"):
            caller = stack.enter_context(socket.create_connection(where, 2.0))
            caller.sendall(sent)
        process.signal(signal.SIGTERM)
        assert process.ended()[0] == 0


def test_sigterm_on_a_slow_processor_while_callers_stay_connected(process: Process) -> None:
    """With a tenth of a core, the process ends within the grace time."""
    process.wait_until(process.serves)
    name = "outbound" if process.machine.role == "sidecar" else "control"
    with socket.create_connection((process.machine.bind, getattr(process.places, name)), 2.0) as caller:
        caller.sendall(b"GET /a")
        process.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while process._child.poll() is None and time.monotonic() < until:
            process.signal(signal.SIGSTOP)
            time.sleep(0.045)
            process.signal(signal.SIGCONT)
            time.sleep(0.005)
        assert process._child.poll() == 0, process.log()


@pytest.fixture
def controller(tmp_path: Path) -> Iterator[Process]:
    """A controller process that is not started yet."""
    block, held = claim()
    with contextlib.closing(held):
        cores, _ = machines(DAY, block.number, 7)
        one = Process(tmp_path, free_ports([cores[0].ip, cores[0].bind]), cores[0], cores)
        yield one
        one.kill()


def test_sigterm_while_another_process_holds_its_store(controller: Process) -> None:
    """A controller that waits for its store ends on SIGTERM."""
    with (controller.data / "lock").open("ab") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        controller.start()
        controller.wait_until(lambda: b"another process" in controller.log())
        controller.signal(signal.SIGTERM)
        assert controller.ended()[0] == 0


def test_sigterm_while_its_disk_hangs(controller: Process) -> None:
    """Pending writes are not waited for beyond the grace time; none of them was acknowledged."""
    controller.start((sys.executable, "-B", "-m", "orchidferry.testkit.bench.mesh_load", "slow", "60000"))
    controller.wait_until(controller.serves)
    controller.signal(signal.SIGTERM)
    status, took_s = controller.ended()
    assert status == 0 and took_s < MIN_STOP_S + CLOSE_TIMEOUT_S + 1.0


# The watchdog

LOCK = "the interpreter lock is never released"
# Code that delays the end of the interpreter, by its description.
DELAYS = {
    LOCK: "import ctypes; ctypes.PyDLL(None).sleep(60)",
    "the interpreter is being finalized": """
import time
class Last:
    sleep = staticmethod(time.sleep)
    def __del__(self):
        self.sleep(60)
sys.modules["kept to the end"] = Last()""",
    "an exit handler": "import atexit, time; atexit.register(time.sleep, 60)",
    "a thread that is joined at exit": (
        "import threading, time; threading.Thread(target=time.sleep, args=(60,)).start()"
    ),
}


@pytest.mark.parametrize("what", DELAYS)
def test_a_hanging_process_prints_its_stacks_and_ends(what: str) -> None:
    program = (
        f"import sys\nfrom orchidferry.mesh.process_end import exit_within\nexit_within(0.3)\n{DELAYS[what]}"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, timeout=20.0, check=False
    )
    assert done.returncode == 1
    assert b"Timeout (0:00:00.300000)!" in done.stderr and b"Thread 0x" in done.stderr


@pytest.mark.parametrize(
    "what", [what for what in DELAYS if what != LOCK]
)  # the lock would block `exit_now` too
def test_exit_now_skips_the_shutdown_of_the_interpreter(what: str) -> None:
    """Nothing that would delay the end of the interpreter is waited for."""
    program = f"import sys\nfrom orchidferry.mesh.process_end import exit_now\n{DELAYS[what]}\nexit_now()"
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, timeout=20.0, check=False
    )
    assert done.returncode == 0


def test_a_second_sigterm_does_not_extend_the_grace_time() -> None:
    """A role that does not stop is ended within the grace time after the first SIGTERM."""
    program = """
import asyncio, os, signal, time
from orchidferry.mesh.process_end import stop_on_sigterm
async def main():
    stopping = asyncio.Event()
    stop_on_sigterm(asyncio.get_running_loop(), stopping, 1.0)
    while True:
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.1)
asyncio.run(main())"""
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, timeout=20.0, check=False
    )
    margin_s = min(EXIT_MARGIN_S, MAX_EXIT_MARGIN_FRACTION * 1.0)
    assert done.returncode == 1 and 0.0 < margin_s < 1.0
    assert f"Timeout (0:00:{1.0 - margin_s:09.6f})!".encode() in done.stderr
