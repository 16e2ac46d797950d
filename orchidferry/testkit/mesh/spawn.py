"""Starts child processes in a worker thread, without a `preexec_fn` that would force a fork.

Eight forks at once in the event loop's thread stalled the test kit for one second.
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
"""Runs in the child before the program: sets the limit of file descriptors, and has the kernel kill the child
when the kit ends (PR_SET_PDEATHSIG with SIGKILL)."""


class ChildProcess:
    """A child process whose end can be awaited."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        """Watch a running process; must be called in the event loop."""
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
        """The exit status; None while the process runs; -N if signal N ended it."""
        return self._exit_status.result() if self._exit_status.done() else None

    async def wait(self) -> int:
        """Wait for the end of the process; returns its exit status."""
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

    PR_SET_PDEATHSIG ends the process with the thread that started it. That is a thread of the event loop's
    default executor, which lives as long as the loop.

    :param env: the environment variables of the process
    :param cwd: its working directory
    :param log: the file for its output and errors
    :param max_descriptors: its limit of open file descriptors
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
