"""The control helper of a node: `python -m orchidferry.node.control.helper`, started by `link.py`.

It holds the stream, checks versions and saves the last good one; what is to be applied it sends to the node
(see `pipe.py`). Standard input and output are the pipe; it ends when its input does. Signals to the whole
process group are left to the node.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration
from orchidferry.node.control.agent import Agent, NodeCalls, file_configuration
from orchidferry.node.control.pipe import (
    MAX_LINE,
    AppliedState,
    ChangeWriter,
    PipeDecodeError,
    Row,
    decode_line,
    encode_line,
)
from orchidferry.node.control.plain import MALFORMED_JSON_ERRORS, settings_from
from orchidferry.node.control.settings import Control
from orchidferry.node.control.store import StateLockedError, Store

EXIT_OK = 0
EXIT_USAGE = 2

NICE = 5  # on one core with the node, requests come first
APPLY_S = 30.0  # for the node to confirm a change; after that it is not known what the node has
STATUS_S = 0.05  # changes of the status within that time are sent as one
BEGIN_S = 10.0  # for the node to send what it has
MAX_UNSENT = 64 * 1024  # bytes that wait in the pipe before more of a change is written

# For the helper of a node that was killed to unlock the directory
LOCK_WAIT_S = 3.0
LOCK_RETRY_S = 0.05

log = logging.getLogger("orchidferry")


class Helper:
    """An agent, whose node is at the other end of the pipe."""

    def __init__(
        self,
        control: Control,
        own: api.Settings,
        applied: Configuration | None,
        store: Store | None,
        out: asyncio.StreamWriter,
    ) -> None:
        """Create a `Helper`.

        :param own: settings in the node's own file.
        :param applied: the configuration that the node has; None: that of its own file.
        :param out: to the node.
        """
        self._out = out
        self._writer = ChangeWriter()
        calls = NodeCalls(self._apply, self._drain, self._schedule_status)
        self.agent = Agent(control, file_configuration(control, own), calls, store=store, applied=applied)
        self._sending: asyncio.Task[None] | None = None
        self._apply_timer: asyncio.TimerHandle | None = None
        self._status_timer: asyncio.TimerHandle | None = None

    def _apply(self, configuration: Configuration, _: Any) -> None:
        """Send it to the node; `agent.node_applied` is called with its answer."""
        loop = asyncio.get_running_loop()
        self._sending = loop.create_task(self._send(configuration))
        self._apply_timer = loop.call_later(APPLY_S, self._on_apply_timeout)

    async def _send(self, configuration: Configuration) -> None:
        for data in self._writer.change(configuration):
            self._out.write(data)
            if self._out.transport.get_write_buffer_size() > MAX_UNSENT:
                await self._out.drain()

    def _on_apply_timeout(self) -> None:
        self._writer.give_up()
        self.agent.node_applied(f"the node did not say within {APPLY_S:g} s")

    def _drain(self, servers: tuple[int, ...]) -> None:
        self._out.write(self._writer.drain(servers))

    def _schedule_status(self) -> None:
        if self._status_timer is None:
            loop = asyncio.get_running_loop()
            self._status_timer = loop.call_later(STATUS_S, self._send_status)

    def _send_status(self) -> None:
        self._status_timer = None
        self._out.write(encode_line("status", status=self.agent.status()))

    def receive(self, message: dict[str, Any]) -> None:
        """Take a message of the node.

        :raises PipeDecodeError: if it is none.
        """
        if message["do"] != "applied":
            raise PipeDecodeError(f"{message['do']!r} is none of the node's")
        problem = str(message["problem"])
        if self._writer.applied(message["n"], problem):
            if self._apply_timer is not None:
                self._apply_timer.cancel()
            self.agent.node_applied(problem)


async def open_store(folder: Path | None, wait_s: float = LOCK_WAIT_S) -> Store | None:
    """Open the directory of the last good configuration.

    :param wait_s: for a process that has locked it, and may be about to end.
    :returns: None if there is no directory, or it can't be used; that is logged.
    """
    if folder is None:
        return None
    loop = asyncio.get_running_loop()
    until_s = loop.time() + wait_s
    while True:
        try:
            return Store(folder)
        except StateLockedError as problem:
            if loop.time() < until_s:
                await asyncio.sleep(LOCK_RETRY_S)
                continue
            log.error("the last good configuration is not kept: %s", problem)
        except OSError as problem:
            log.error("the last good configuration is not kept: %s", problem)
        return None


def control_from(values: dict[str, Any]) -> Control:
    """Return the settings that `link.plain_control` was given."""
    fields = dict(values)
    for name in ("state", "ca", "certificate", "key"):
        fields[name] = Path(fields[name]) if fields[name] is not None else None
    host, port = fields["service"]
    return Control(**fields | {"service": (str(host), int(port)), "pools": tuple(fields["pools"])})


@dataclass(frozen=True, slots=True)
class _Beginning:
    """What the node sends first."""

    control: Control
    own: api.Settings  # in the node's own file
    applied: Configuration | None


async def _read_beginning(reader: asyncio.StreamReader) -> _Beginning:
    begin = decode_line(await reader.readline())
    rows = list[Row]()
    while (message := decode_line(await reader.readline()))["do"] == "rows":
        rows += message["rows"]
    control = control_from(begin["control"])
    held = begin["held"]
    applied = None
    if held is not None and rows:  # without members discovery named the servers, and nothing is to be kept
        state = AppliedState(held["pool"], held["versions"], settings_from(held["settings"]))
        applied = state.configuration(rows)
    return _Beginning(control, settings_from(begin["own"]), applied)


async def _open_pipe() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    return reader, asyncio.StreamWriter(transport, protocol, None, loop)


async def run() -> int:
    """Serve the node until it ends.

    :returns: the exit status.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, lambda: None)
    reader, out = await _open_pipe()
    try:
        async with asyncio.timeout(BEGIN_S):
            begin = await _read_beginning(reader)
    except (*MALFORMED_JSON_ERRORS, PipeDecodeError, TimeoutError) as problem:
        if reader.at_eof():
            return EXIT_OK  # the node has ended
        print(f"orchidferry: the helper was told nothing that it can use: {problem}", file=sys.stderr)
        return EXIT_USAGE
    name = begin.control.node
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s {name} %(levelname)s %(message)s"
    )
    store = await open_store(begin.control.state)
    helper = Helper(begin.control, begin.own, begin.applied, store, out)
    helper.agent.start()
    with contextlib.suppress(ConnectionError):
        while data := await reader.readline():
            helper.receive(decode_line(data))
    await helper.agent.close()
    return EXIT_OK


def main() -> int:
    """Run the helper.

    :returns: the exit status: 0 when the node ends, 2 if its first messages can't be used.
    """
    with contextlib.suppress(OSError):
        os.nice(NICE)
    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit(main())
