"""Child processes that are started in a thread and without a fork.

Eight forks at once in the event loop's thread stalled the kit for a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

LAUNCHER = """import ctypes, os, resource, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
ctypes.CDLL(None).prctl(1, 9, 0, 0, 0)
os.execv(sys.argv[2], sys.argv[2:])"""
"""Runs before the program: sets its limit of descriptors, and has it killed when the kit ends (PDEATHSIG)."""


class ChildProcess:
    """A process that was started, and its end."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        """Watch a process; must be called in the event loop."""
        self._process = process
        self.pid = process.pid
        self._loop = asyncio.get_running_loop()
        self._exit_status: asyncio.Future[int] = self._loop.create_future()
        self._pidfd = os.pidfd_open(process.pid)
        self._loop.add_reader(self._pidfd, self._on_exit)

    def _on_exit(self) -> None:
        self._loop.remove_reader(self._pidfd)
        os.close(self._pidfd)
        status = self._process.wait()
        if not self._exit_status.done():
            self._exit_status.set_result(status)

    @property
    def returncode(self) -> int | None:
        """The exit status; None while it runs; a negative number is that of a signal."""
        return self._exit_status.result() if self._exit_status.done() else None

    async def wait(self) -> int:
        """Wait for its end; returns its exit status."""
        return await asyncio.shield(self._exit_status)

    def send_signal(self, number: int) -> None:
        """Send a signal; does nothing if the process has ended."""
        if self.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)


async def spawn(
    command: Sequence[str], env: dict[str, str], cwd: Path, log: BinaryIO, max_descriptors: int
) -> ChildProcess:
    """Start a process in a session of its own.

    The thread that starts it lives as long as the loop, and the process no longer than that thread.

    :param log: takes its output
    :param max_descriptors: its limit of open files
    """
    launch = [sys.executable, "-S", "-E", "-c", LAUNCHER, str(max_descriptors), *command]

    def start() -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            launch, env=env, cwd=cwd, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )

    starting = asyncio.get_running_loop().run_in_executor(None, start)
    try:
        return ChildProcess(await asyncio.shield(starting))
    except asyncio.CancelledError:
        starting.add_done_callback(lambda done: done.result().kill())
        raise
