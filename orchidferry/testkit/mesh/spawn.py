"""Processes started beside the loop, and without a fork: eight at once stood the kit still for a second."""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

# Before the program: its limit on descriptors, and its end with the kit's, however that comes (PDEATHSIG).
LAUNCH = """import ctypes, os, resource, sys
most = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
ctypes.CDLL(None).prctl(1, 9, 0, 0, 0)
os.execv(sys.argv[2], sys.argv[2:])"""


class Child:
    """A process, and its end."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process, self.pid = process, process.pid
        self._loop = asyncio.get_running_loop()
        self._over: asyncio.Future[int] = self._loop.create_future()
        self._handle = os.pidfd_open(process.pid)
        self._loop.add_reader(self._handle, self._ended)

    def _ended(self) -> None:
        self._loop.remove_reader(self._handle)
        os.close(self._handle)
        status = self._process.wait()
        if not self._over.done():
            self._over.set_result(status)

    @property
    def returncode(self) -> int | None:
        """None while it runs; negative for a signal's number."""
        return self._over.result() if self._over.done() else None

    async def wait(self) -> int:
        """Its exit status."""
        return await asyncio.shield(self._over)

    def signal(self, number: int) -> None:
        """Send it a signal; nothing if it has gone."""
        if self.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)


async def spawn(
    command: Sequence[str], env: dict[str, str], cwd: Path, log: BinaryIO, descriptors: int
) -> Child:
    """Start a process in a session of its own, its output to `log`.

    The thread that starts it lives as long as the loop, and the process no longer than that thread.
    """
    launch = [sys.executable, "-S", "-E", "-c", LAUNCH, str(descriptors), *command]

    def start() -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            launch, env=env, cwd=cwd, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )

    begun = asyncio.get_running_loop().run_in_executor(None, start)
    try:
        return Child(await asyncio.shield(begun))
    except asyncio.CancelledError:
        begun.add_done_callback(lambda done: done.result().kill())
        raise
