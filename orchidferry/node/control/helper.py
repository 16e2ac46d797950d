"""The control helper of a node: `python -m orchidferry.node.control.helper`, started by `link.py`.

The helper keeps the stream to the control service, checks versions, saves the last good configuration, and
sends the node the changes to apply. It talks to the node over its standard input and output (see `pipe.py`),
and exits when its input ends. It ignores SIGTERM, SIGINT and SIGHUP: where they are sent to the whole process
group, handling them is up to the node.
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
from orchidferry.node.control.agent import Agent, NodeCallbacks, file_configuration
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

NICE = 5  # a lower priority than the node's, so that requests come first if both share a CPU core
APPLY_TIMEOUT_S = 30.0  # time for the node to confirm a change; after that, its configuration is unknown
STATUS_INTERVAL_S = 0.05  # status changes within this time are sent as one
INITIAL_STATE_TIMEOUT_S = 10.0  # time for the node to send its settings and its applied configuration
MAX_UNSENT = 64 * 1024  # bytes that may be buffered for the pipe before the sending of a change pauses

LOCK_WAIT_S = 3.0  # time for the helper of a killed node to unlock the state directory
LOCK_RETRY_S = 0.05  # interval between attempts to lock the state directory

log = logging.getLogger("orchidferry")


class Helper:
    """An agent whose node is at the other end of the pipe."""

    def __init__(
        self,
        control: Control,
        file_settings: api.Settings,
        applied: Configuration | None,
        store: Store | None,
        out: asyncio.StreamWriter,
    ) -> None:
        """Create a `Helper`.

        :param control: the settings of the control channel.
        :param file_settings: the node's settings in its own file.
        :param applied: the configuration that the node has applied; None: that of its own file.
        :param store: stores the last good configuration; None: it is not saved.
        :param out: the pipe to the node.
        """
        self._out = out
        self._writer = ChangeWriter()
        callbacks = NodeCallbacks(self._apply, self._drain, self._schedule_status)
        self.agent = Agent(
            control, file_configuration(control, file_settings), callbacks, store=store, applied=applied
        )
        self._sending: asyncio.Task[None] | None = None
        self._apply_timer: asyncio.TimerHandle | None = None
        self._status_timer: asyncio.TimerHandle | None = None

    def _apply(self, configuration: Configuration, _: Any) -> None:
        """Send a configuration to the node; `agent.node_applied` is called with the node's answer."""
        loop = asyncio.get_running_loop()
        self._sending = loop.create_task(self._send(configuration))
        self._apply_timer = loop.call_later(APPLY_TIMEOUT_S, self._on_apply_timeout)

    async def _send(self, configuration: Configuration) -> None:
        for data in self._writer.change(configuration):
            self._out.write(data)
            if self._out.transport.get_write_buffer_size() > MAX_UNSENT:
                await self._out.drain()

    def _on_apply_timeout(self) -> None:
        self._writer.forget()
        self.agent.node_applied(f"the node did not confirm the change within {APPLY_TIMEOUT_S:g} s")

    def _drain(self, servers: tuple[int, ...]) -> None:
        self._out.write(self._writer.drain(servers))

    def _schedule_status(self) -> None:
        if self._status_timer is None:
            loop = asyncio.get_running_loop()
            self._status_timer = loop.call_later(STATUS_INTERVAL_S, self._send_status)

    def _send_status(self) -> None:
        self._status_timer = None
        self._out.write(encode_line("status", status=self.agent.status()))

    def receive(self, message: dict[str, Any]) -> None:
        """Handle a message of the node.

        :raises PipeDecodeError: if it is not a message that a node sends.
        """
        if message["do"] != "applied":
            raise PipeDecodeError(f"{message['do']!r} is not a message of the node")
        problem = str(message["problem"])
        if self._writer.applied(message["n"], problem):
            if self._apply_timer is not None:
                self._apply_timer.cancel()
            self.agent.node_applied(problem)


async def open_store(directory: Path | None, wait_s: float = LOCK_WAIT_S) -> Store | None:
    """Open the state directory, which contains the last good configuration.

    :param wait_s: how long to wait, in seconds, for a process that has locked the directory and may be
        about to end.
    :returns: None if no directory is set, or if it can't be used, which is logged.
    """
    if directory is None:
        return None
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + wait_s
    while True:
        try:
            return Store(directory)
        except StateLockedError as problem:
            if loop.time() < deadline_s:
                await asyncio.sleep(LOCK_RETRY_S)
                continue
            log.error("the last good configuration is not kept: %s", problem)
        except OSError as problem:
            log.error("the last good configuration is not kept: %s", problem)
        return None


def control_from(values: dict[str, Any]) -> Control:
    """Return the settings that `link.plain_control` returned as JSON values."""
    fields = dict(values)
    for name in ("state", "ca", "certificate", "key"):
        fields[name] = Path(fields[name]) if fields[name] is not None else None
    host, port = fields["service"]
    return Control(**fields | {"service": (str(host), int(port)), "pools": tuple(fields["pools"])})


@dataclass(frozen=True, slots=True)
class _InitialState:
    """The settings and the applied configuration, which the node sends first."""

    control: Control
    file_settings: api.Settings  # the node's settings in its own file
    applied: Configuration | None  # None: the configuration of the node's own file


async def _read_initial_state(reader: asyncio.StreamReader) -> _InitialState:
    begin = decode_line(await reader.readline())
    rows = list[Row]()
    while (message := decode_line(await reader.readline()))["do"] == "rows":
        rows += message["rows"]
    control = control_from(begin["control"])
    held = begin["held"]
    applied = None
    if held is not None and rows:  # without members discovery lists the servers: there is nothing to restore
        state = AppliedState(held["pool"], held["versions"], settings_from(held["settings"]))
        applied = state.configuration(rows)
    return _InitialState(control, settings_from(begin["own"]), applied)


async def _open_pipe() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    return reader, asyncio.StreamWriter(transport, protocol, None, loop)


async def run() -> int:
    """Serve the node until the node ends.

    :returns: the exit status.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, lambda: None)
    reader, out = await _open_pipe()
    try:
        async with asyncio.timeout(INITIAL_STATE_TIMEOUT_S):
            begin = await _read_initial_state(reader)
    except (*MALFORMED_JSON_ERRORS, PipeDecodeError, TimeoutError) as problem:
        if reader.at_eof():
            return EXIT_OK  # the node has ended
        print(f"orchidferry: control helper: can't use the node's first messages: {problem}", file=sys.stderr)
        return EXIT_USAGE
    name = begin.control.node
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s {name} %(levelname)s %(message)s"
    )
    store = await open_store(begin.control.state)
    helper = Helper(begin.control, begin.file_settings, begin.applied, store, out)
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
