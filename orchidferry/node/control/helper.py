"""The helper of a node with a control service: `python -m orchidferry.node.control.helper`, started by
`link.py`.

It holds the stream, checks versions, and keeps the last good one; what is to be applied it tells the node,
a line of JSON at a time (`pipe.py`). Standard input and output are the node's; its end is the end of input.
A signal to the whole group is the node's to deal with.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
from pathlib import Path
from typing import Any

from orchidferry.balancing.configuration import Configuration
from orchidferry.node.control.agent import Agent, own_file
from orchidferry.node.control.pipe import MAX_LINE, Held, PipeDecodeError, Row, Teller, line, read_line
from orchidferry.node.control.plain import MALFORMED_JSON_ERRORS, settings_from
from orchidferry.node.control.settings import Control
from orchidferry.node.control.store import StateLockedError, Store

NICE = 5  # beside the node on one core, requests come first
APPLY_S = 30.0  # for the node's word of a change; past that nothing is known of the node any more
STATUS_S = 0.05  # changes of the status within that time are told as one
# for the helper of a node that was killed to let the folder go
TAKEN_S = 3.0
TAKEN_STEP_S = 0.05
BEGIN_S = 10.0  # for the node to say what it holds
MAX_OUT = 64 * 1024  # bytes that wait to be read before more of a change is made

log = logging.getLogger("orchidferry")


class Helper:
    """An agent, and the node at the other end of the pipe."""

    def __init__(
        self,
        control: Control,
        own: Any,
        held: Configuration | None,
        store: Store | None,
        out: asyncio.StreamWriter,
    ) -> None:
        self._out, self._teller = out, Teller()
        self.agent = Agent(
            control, own_file(control, own), self._apply, self._drain, store=store, held=held, said=self._note
        )
        self._telling: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._noting: asyncio.TimerHandle | None = None

    def _apply(self, whole: Configuration, _: Any) -> None:
        """Have it applied; `agent.node_applied` says how that went."""
        loop = asyncio.get_running_loop()
        self._telling = loop.create_task(self._tell(whole))
        self._timer = loop.call_later(APPLY_S, self._late)

    async def _tell(self, whole: Configuration) -> None:
        for data in self._teller.change(whole):
            self._out.write(data)
            if self._out.transport.get_write_buffer_size() > MAX_OUT:
                await self._out.drain()

    def _late(self) -> None:
        self._teller.give_up()
        self.agent.node_applied(f"the node did not say within {APPLY_S:g} s")

    def _drain(self, servers: tuple[int, ...]) -> None:
        self._out.write(self._teller.drain(servers))

    def _note(self) -> None:
        """Something has happened: tell the status soon."""
        if self._noting is None:
            self._noting = asyncio.get_running_loop().call_later(STATUS_S, self._tell_status)

    def _tell_status(self) -> None:
        self._noting = None
        self._out.write(line("status", status=self.agent.status()))

    def hear(self, found: dict[str, Any]) -> None:
        """The node's word."""
        if found["do"] != "applied":
            raise PipeDecodeError(f"{found['do']!r} is none of the node's")
        if self._teller.applied(found["n"], str(found["problem"])):
            if self._timer is not None:
                self._timer.cancel()
            self.agent.node_applied(str(found["problem"]))


async def open_store(folder: Path | None, wait_s: float = TAKEN_S) -> Store | None:
    """The folder; one that is another's is waited for, as that may be about to end."""
    if folder is None:
        return None
    loop = asyncio.get_running_loop()
    until = loop.time() + wait_s
    while True:
        try:
            return Store(folder)
        except StateLockedError as problem:
            if loop.time() < until:
                await asyncio.sleep(TAKEN_STEP_S)
                continue
            log.error("the last good configuration is not kept: %s", problem)
        except OSError as problem:
            log.error("the last good configuration is not kept: %s", problem)
        return None


def control_from(found: dict[str, Any]) -> Control:
    """The operator's file, from what the node says of it."""
    fields = dict(found)
    for name in ("state", "ca", "certificate", "key"):
        fields[name] = Path(fields[name]) if fields[name] is not None else None
    host, port = fields["service"]
    return Control(**fields | {"service": (str(host), int(port)), "pools": tuple(fields["pools"])})


async def _read_begin(reader: asyncio.StreamReader) -> tuple[Control, Any, Configuration | None]:
    begin = read_line(await reader.readline())
    rows = list[Row]()
    while (found := read_line(await reader.readline()))["do"] == "rows":
        rows += found["rows"]
    control = control_from(begin["control"])
    held = begin["held"]
    whole = None
    if held is not None and rows:  # without members discovery had the say, and nothing is to be kept
        whole = Held(held["pool"], held["versions"], settings_from(held["settings"])).configuration(rows)
    return control, settings_from(begin["own"]), whole


async def run() -> int:
    """Serve the node until it is gone."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, lambda: None)
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    transport, protocol = await loop.connect_write_pipe(asyncio.streams.FlowControlMixin, sys.stdout)
    out = asyncio.StreamWriter(transport, protocol, None, loop)
    try:
        async with asyncio.timeout(BEGIN_S):
            control, own, held = await _read_begin(reader)
    except (*MALFORMED_JSON_ERRORS, PipeDecodeError, TimeoutError) as problem:
        if reader.at_eof():
            return 0  # the node has gone again
        print(f"orchidferry: the helper was told nothing that it can use: {problem}", file=sys.stderr)
        return 2
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format=f"%(asctime)s {control.node} %(levelname)s %(message)s"
    )
    store = await open_store(control.state)
    helper = Helper(control, own, held, store, out)
    helper.agent.start()
    with contextlib.suppress(ConnectionError):
        while data := await reader.readline():
            helper.hear(read_line(data))
    await helper.agent.close()
    return 0


def main() -> int:
    """The program."""
    with contextlib.suppress(OSError):
        os.nice(NICE)
    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit(main())
