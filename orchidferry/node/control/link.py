"""The node's side of the control channel: a helper process of its own, and what it has the node apply.

gRPC, its messages, the check of a version and the disk are the helper's (`helper.py`), so that none of them
holds up or ends a node that serves. A helper that ends is started again after a back-off with full jitter,
and told what the node holds; the node serves on with that.
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
from orchidferry.node.control.members import Home, Members
from orchidferry.node.control.pipe import MAX_LINE, Change, PipeDecodeError, Taker, line, read_line
from orchidferry.node.control.plain import plain
from orchidferry.node.control.settings import Control, read_tls

NEEDS = ("grpc", "envoy", "xds", "google.protobuf")  # what the helper imports, of the extra `control`
# full jitter; of starts, each of which takes half a second of CPU
BACK_OFF_S = 0.2
MAX_BACK_OFF_S = 10.0
STEADY_S = 30.0  # a helper that stood for so long begins the back-off anew
END_S = 0.4  # what it gets to finish a write at a planned end; a kill then leaves the old or the new one
ROOT = Path(__file__).parents[3]

log = logging.getLogger("orchidferry")


class Link:
    """Keeps a helper, and the node's configuration as it says."""

    def __init__(
        self,
        control: Control,
        settings: api.Settings,
        home: Home,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random | None = None,
    ) -> None:
        """`ConfigError` if a library is missing or a certificate can't be read."""
        for name in NEEDS:
            if importlib.util.find_spec(name.partition(".")[0]) is None:
                raise ConfigError(f"ORCHIDFERRY_CONTROL is set, and {name} is not installed")
        read_tls(control)
        self._control = control
        self._settings = settings
        self._loop = loop
        self._own = settings  # the node's file's
        self._rng = rng or random.Random()
        self.members = Members(home, loop)
        self.status: dict[str, Any] = {}  # the helper's newest word
        self._versions: dict[str, str] = {}
        self._pool = ""
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Keep a helper from now on."""
        self._task = self._loop.create_task(self._run())

    def page(self) -> bytes:
        """What `control status` shows of this node."""
        found = {"helper": "up" if self.process is not None else "down", "stream": "down"} | self.status
        if self.process is None:
            found |= {"helper": "down", "stream": "down"}
        found |= {"node": self._control.node, "now_ms": now_ms(), "helper_starts": self.starts}
        return json.dumps(found).encode() + b"\n"

    async def close(self) -> None:
        """Stop; what is applied stays so."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        tries = 0
        while True:
            began = self._loop.time()
            why = "it can't be started"
            try:
                why = await self._one()
            except OSError as problem:
                why = f"it can't be started: {problem.strerror}"
            except PipeDecodeError as problem:
                why = f"what it says can't be read: {problem}"
            except ValueError:
                why = f"a line of more than {MAX_LINE} bytes"
            except Exception as problem:  # whatever it did, the node serves on
                log.exception("the control channel's helper")
                why = type(problem).__name__
            finally:
                await self._end()
            tries = 0 if self._loop.time() - began > STEADY_S else tries + 1
            wait_s = self._rng.random() * min(MAX_BACK_OFF_S, BACK_OFF_S * 2.0 ** min(tries, 16))
            log.error("the control channel's helper has ended: %s; again in %.1f s", why, wait_s)
            await asyncio.sleep(wait_s)

    async def _end(self) -> None:
        """Let a helper finish what it writes, and see it gone."""
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

    async def _one(self) -> str:
        """One helper's life; why it ended."""
        await self.members.idle.wait()  # what its predecessor began is what this one is told of
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
        held = {"pool": self._pool, "versions": self._versions, "settings": plain(self._settings)}
        begin = {
            "control": plain_control(self._control),
            "own": plain(self._own),
            "held": held if self._versions else None,
        }
        process.stdin.write(line("begin", **begin))
        for rows in self.members.rows() if self._versions else ():
            process.stdin.write(line("rows", rows=rows))
            await process.stdin.drain()
            await asyncio.sleep(0)
        process.stdin.write(line("start"))
        await self.follow(process.stdout, self._say(process))
        return f"exit status {await process.wait()}"

    async def follow(self, reader: asyncio.StreamReader, say: Callable[[bytes], None]) -> None:
        """Do what a helper says, until it says no more; `PipeDecodeError` if it can't be meant."""
        taker = Taker()
        while data := await reader.readline():
            found = read_line(data)
            match found["do"]:
                case "drain":
                    self.members.drain([int(server) for server in found.get("servers", ())])
                case "status":
                    self.status = dict(found.get("status", {}))
                case _:
                    change = taker.take(found)
                    if change is not None:
                        self.members.apply(change, functools.partial(self._applied, change, say))
            await asyncio.sleep(0)  # requests come before the next line, also when it is there already

    def _applied(self, change: Change, say: Callable[[bytes], None], problem: str) -> None:
        if not problem:
            self._versions = change.versions
            self._pool = change.pool
            self._settings = change.settings or self._settings
        say(line("applied", n=change.number, problem=problem))

    def _say(self, process: asyncio.subprocess.Process) -> Callable[[bytes], None]:
        def say(data: bytes) -> None:
            if self.process is process and process.stdin is not None and not process.stdin.is_closing():
                process.stdin.write(data)

        return say


def plain_control(control: Control) -> dict[str, Any]:
    """The operator's file as plain values; `control_from` makes it again."""
    found: dict[str, Any] = {name: getattr(control, name) for name in Control.__slots__}
    return {name: str(value) if isinstance(value, Path) else value for name, value in found.items()}
