"""The node's side of the control channel: keeps a helper process, and applies what it sends.

gRPC, its messages, the check of a version and the disk are the helper's (`helper.py`), so that none of them
delays or ends a node that serves. A helper that ends is started again after a backoff with full jitter, and
is sent what the node has; the node serves on with that.
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

NEEDS = ("grpc", "envoy", "xds", "google.protobuf")  # what the helper imports, of the extra `control`

# Backoff between starts, each of which takes half a second of CPU
BACK_OFF_S = 0.2
MAX_BACK_OFF_S = 10.0
MAX_DOUBLINGS = 16
STEADY_S = 30.0  # a helper that ran for so long resets the backoff

END_S = 0.4  # for a helper to finish a write at a planned end; a kill then leaves the old or the new state
ROOT = Path(__file__).parents[3]  # where the package is

Send = Callable[[bytes], None]

log = logging.getLogger("orchidferry")


class Link:
    """Keeps a helper, and the node's configuration as it sends it."""

    def __init__(
        self,
        control: Control,
        settings: api.Settings,
        node: NodeInterface,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random | None = None,
    ) -> None:
        """Create a `Link`.

        :param settings: in the node's own file.
        :raises ConfigError: if a library is missing or a certificate can't be read.
        """
        for name in NEEDS:
            if importlib.util.find_spec(name.partition(".")[0]) is None:
                raise ConfigError(f"ORCHIDFERRY_CONTROL is set, and {name} is not installed")
        read_tls(control)
        self._control = control
        self._settings = settings  # applied
        self._loop = loop
        self._own = settings
        self._rng = rng or random.Random()
        self.members = Members(node, loop)
        self.status: dict[str, Any] = {}  # as the helper sent it last
        self._versions: dict[str, str] = {}  # applied, by part
        self._pool = ""
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Keep a helper from now on."""
        self._task = self._loop.create_task(self._run())

    def page(self) -> bytes:
        """Return what `control status` shows of this node, as JSON."""
        status = {"helper": "up" if self.process is not None else "down", "stream": "down"} | self.status
        if self.process is None:
            status |= {"helper": "down", "stream": "down"}
        status |= {"node": self._control.node, "now_ms": now_ms(), "helper_starts": self.starts}
        return json.dumps(status).encode() + b"\n"

    async def close(self) -> None:
        """End the helper; what is applied stays so."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        failures = 0
        while True:
            began_s = self._loop.time()
            reason = "it can't be started"
            try:
                reason = await self._run_helper()
            except OSError as problem:
                reason = f"it can't be started: {problem.strerror}"
            except PipeDecodeError as problem:
                reason = f"what it says can't be read: {problem}"
            except ValueError:
                reason = f"a line of more than {MAX_LINE} bytes"
            except Exception as problem:  # whatever it did, the node serves on
                log.exception("the control channel's helper")
                reason = type(problem).__name__
            finally:
                await self._end_helper()
            failures = 0 if self._loop.time() - began_s > STEADY_S else failures + 1
            limit_s = min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))
            wait_s = self._rng.random() * limit_s
            log.error("the control channel's helper has ended: %s; again in %.1f s", reason, wait_s)
            await asyncio.sleep(wait_s)

    async def _end_helper(self) -> None:
        """Let a helper finish what it writes, and wait until it has ended."""
        process = self.process
        self.process = None
        if process is None:
            return
        with contextlib.suppress(OSError):
            assert process.stdin is not None
            process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def _run_helper(self) -> str:
        """Run one helper; return why it ended."""
        await self.members.idle.wait()  # the steps of its predecessor's last change
        self.starts += 1
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidferry.node.control.helper",
            cwd=ROOT,
            limit=MAX_LINE,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        await self._send_beginning(process.stdin)
        await self.follow(process.stdout, functools.partial(self._send, process))
        return f"exit status {await process.wait()}"

    async def _send_beginning(self, out: asyncio.StreamWriter) -> None:
        """Send a helper its settings and what the node has."""
        held = {"pool": self._pool, "versions": self._versions, "settings": plain(self._settings)}
        begin = {
            "control": plain_control(self._control),
            "own": plain(self._own),
            "held": held if self._versions else None,
        }
        out.write(encode_line("begin", **begin))
        for rows in self.members.rows() if self._versions else ():
            out.write(encode_line("rows", rows=rows))
            await out.drain()
            await asyncio.sleep(0)
        out.write(encode_line("start"))

    async def follow(self, reader: asyncio.StreamReader, send: Send) -> None:
        """Handle a helper's messages until they end.

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
            await asyncio.sleep(0)  # requests are handled before the next line, also if it is there already

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
    """Return the settings as plain values; `helper.control_from` is the inverse."""
    values: dict[str, Any] = {name: getattr(control, name) for name in Control.__slots__}
    return {name: str(value) if isinstance(value, Path) else value for name, value in values.items()}
