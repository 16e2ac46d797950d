"""The node's side of the control channel: supervises a helper process, and applies the changes that it sends.

The helper (`helper.py`) handles gRPC, decodes and checks versions, and writes to disk, so that none of this
can delay or crash a node that serves requests. A helper that ends is restarted after a backoff with full
jitter, and is sent the configuration that the node has applied. Meanwhile the node keeps serving with it.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import importlib.util
import json
import logging
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.node.clock import now_ms
from orchidferry.node.config import ConfigError
from orchidferry.node.control.members import Members, NodeInterface
from orchidferry.node.control.pipe import (
    MAX_LINE,
    Change,
    ChangeReader,
    PipeDecodeError,
    decode_line,
    encode_line,
)
from orchidferry.node.control.plain import plain
from orchidferry.node.control.settings import Control, read_tls

REQUIRED_MODULES = (
    "grpc",
    "envoy",
    "xds",
    "google.protobuf",
)  # imported by the helper; installed by the extra `control`

# Backoff between starts of a helper, each of which takes half a second of CPU
BACK_OFF_S = 0.2
MAX_BACK_OFF_S = 10.0
MAX_DOUBLINGS = 16
RESET_BACK_OFF_AFTER_S = 30.0  # a helper that ran for longer than this resets the backoff

# Time for a helper to finish a write before it is killed. A kill leaves either the old or the new saved file.
SHUTDOWN_TIMEOUT_S = 0.4
PACKAGE_PARENT = Path(__file__).parents[3]  # the directory that contains the package

Send = Callable[[bytes], None]

log = logging.getLogger("orchidferry")


class Link:
    """Supervises the helper process, and applies the configuration that it sends."""

    def __init__(
        self,
        control: Control,
        settings: api.Settings,
        node: NodeInterface,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random | None = None,
    ) -> None:
        """Create a `Link`.

        :param control: the settings of the control channel.
        :param settings: the node's settings in its own file.
        :param node: the node to which changes are applied.
        :param rng: draws the jitter of the backoff.
        :raises ConfigError: if a library is missing or a certificate can't be read.
        """
        for name in REQUIRED_MODULES:
            if importlib.util.find_spec(name.partition(".")[0]) is None:
                raise ConfigError(f"ORCHIDFERRY_CONTROL is set, and {name} is not installed")
        read_tls(control)
        self._control = control
        self._settings = settings  # the settings that are applied
        self._loop = loop
        self._file_settings = settings
        self._rng = rng or random.Random()
        self.members = Members(node, loop)
        self.status: dict[str, Any] = {}  # the newest status that a helper sent
        self._versions: dict[str, str] = {}  # the applied version of each part
        self._pool = ""  # the name of the applied pool
        self.process: asyncio.subprocess.Process | None = None  # the helper that runs
        self.starts = 0  # helpers started so far
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a helper, and restart it whenever it ends."""
        self._task = self._loop.create_task(self._run())

    def page(self) -> bytes:
        """Return the status that `orchidferry control status` shows of this node, as JSON."""
        status = {"helper": "up" if self.process is not None else "down", "stream": "down"} | self.status
        if self.process is None:
            status |= {"helper": "down", "stream": "down"}
        status |= {"node": self._control.node, "now_ms": now_ms(), "helper_starts": self.starts}
        return json.dumps(status).encode() + b"\n"

    async def close(self) -> None:
        """End the helper. The node keeps the configuration that it has applied."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        failures = 0
        while True:
            started_s = self._loop.time()
            reason = "can't be started"
            try:
                reason = await self._run_helper()
            except OSError as problem:
                reason = f"can't be started: {problem.strerror}"
            except PipeDecodeError as problem:
                reason = f"its output can't be read: {problem}"
            except ValueError:
                reason = f"it sent a line of more than {MAX_LINE} bytes"
            except Exception as problem:  # no fault of a helper may stop the node from serving
                log.exception("the control channel's helper failed unexpectedly")
                reason = type(problem).__name__
            finally:
                await self._end_helper()
            failures = 0 if self._loop.time() - started_s > RESET_BACK_OFF_AFTER_S else failures + 1
            limit_s = min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))
            wait_s = self._rng.random() * limit_s
            log.error("the control channel's helper has ended: %s; restarting in %.1f s", reason, wait_s)
            await asyncio.sleep(wait_s)

    async def _end_helper(self) -> None:
        """Let a helper finish its writes, kill it if that takes too long, and wait until it has ended."""
        process = self.process
        self.process = None
        if process is None:
            return
        with contextlib.suppress(OSError):
            assert process.stdin is not None
            process.stdin.close()
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def _run_helper(self) -> str:
        """Run one helper until it ends; return the reason why it ended."""
        await self.members.idle.wait()  # until the last change of the helper before it is applied
        self.starts += 1
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidferry.node.control.helper",
            cwd=PACKAGE_PARENT,
            limit=MAX_LINE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        await self._send_initial_state(process.stdin)
        await self.follow(process.stdout, functools.partial(self._send, process))
        return f"exit status {await process.wait()}"

    async def _send_initial_state(self, out: asyncio.StreamWriter) -> None:
        """Send a helper its settings and the configuration that the node has applied."""
        held = {"pool": self._pool, "versions": self._versions, "settings": plain(self._settings)}
        begin = {
            "control": plain_control(self._control),
            "own": plain(self._file_settings),
            "held": held if self._versions else None,
        }
        out.write(encode_line("begin", **begin))
        for rows in self.members.rows() if self._versions else ():
            out.write(encode_line("rows", rows=rows))
            await out.drain()
            await asyncio.sleep(0)
        out.write(encode_line("start"))

    async def follow(self, reader: asyncio.StreamReader, send: Send) -> None:
        """Handle a helper's messages until its output ends.

        :param reader: the helper's standard output.
        :param send: sends a line to the helper.
        :raises PipeDecodeError: if a message can't be understood.
        """
        changes = ChangeReader()
        while data := await reader.readline():
            message = decode_line(data)
            match message["do"]:
                case "drain":
                    self.members.drain([int(server) for server in message.get("servers", ())])
                case "status":
                    self.status = dict(message.get("status", {}))
                case _:
                    change = changes.read(message)
                    if change is not None:
                        self.members.apply(change, functools.partial(self._applied, change, send))
            await asyncio.sleep(0)  # lets the node handle requests between lines that have arrived already

    def _applied(self, change: Change, send: Send, problem: str) -> None:
        if not problem:
            self._versions = change.versions
            self._pool = change.pool
            self._settings = change.settings or self._settings
        send(encode_line("applied", n=change.number, problem=problem))

    def _send(self, process: asyncio.subprocess.Process, data: bytes) -> None:
        if self.process is process and process.stdin is not None and not process.stdin.is_closing():
            process.stdin.write(data)


def plain_control(control: Control) -> dict[str, Any]:
    """Return the settings as JSON values; `helper.control_from` is the inverse."""
    values: dict[str, Any] = {name: getattr(control, name) for name in Control.__slots__}
    return {name: str(value) if isinstance(value, Path) else value for name, value in values.items()}
