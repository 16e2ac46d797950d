"""A process that carries what the nodes of a fleet send each other, over links that lose, delay and cut.

Each node is reached at an address of the hub's, and has an IP address of its own to send from, so the hub
knows who sends and to whom. What is held back is bounded; all of it ends with the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import sys
from collections import Counter

from orchidferry.testkit.process import Order, SendReport, WorkerScript, run_worker
from orchidferry.testkit.record import LinkBytes, Recorder
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.links import Links

MAX_DATAGRAM = 65_536
MAX_HELD = 50_000  # datagrams that are under way at once; more are lost, as in a full queue
PIECE = 16 * 1024  # of a stream that is passed on at once
LOOK_S = 0.05  # how often a piece that a cut holds up is tried again
STREAM_S = 60.0  # after which a connection is ended, whatever it does


class Hub:
    """All links of one run."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, say: SendReport, index: int
    ) -> None:
        plan = script.plan
        self._recorder = recorder
        self._start = math.inf
        self._links = Links(plan.links, plan.scenario.seed)
        self._nodes = list(plan.nodes)
        self._name_at = {block.fleet_node(n)[0]: name for n, name in enumerate(self._nodes)}
        self._real = {name: block.fleet_node(n) for n, name in enumerate(self._nodes)}
        self._loop = asyncio.get_running_loop()
        self._bytes: Counter[str] = Counter()
        self._messages: Counter[str] = Counter()
        self._held = 0
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        for n, name in enumerate(self._nodes):
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind(block.fleet_hub(n))
            self._loop.add_reader(udp, self._readable, udp, name)
            self._sockets.append(udp)
        self._opening = self._loop.create_task(self._listen(block))

    async def _listen(self, block: Block) -> None:
        for n, name in enumerate(self._nodes):

            def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: str = name
            ) -> asyncio.Task[None]:
                return self._loop.create_task(self._stream(reader, writer, to))

            self._servers.append(await asyncio.start_server(serve, *block.fleet_hub(n)))

    def _t(self) -> float:
        """Seconds since the load began; before that only what holds all the time is in force."""
        return self._recorder.now() - self._start if self._start < math.inf else -1.0

    def _readable(self, udp: socket.socket, to: str) -> None:
        for _ in range(64):
            try:
                data, source = udp.recvfrom(MAX_DATAGRAM)
            except OSError:
                return
            sender = self._name_at.get(source[0])
            if sender is None:
                continue
            self._bytes[sender] += len(data)
            self._messages[sender] += 1
            for wait in self._links.datagram(sender, to, len(data), self._t()):
                if self._held < MAX_HELD:
                    self._held += 1
                    self._loop.call_later(wait, self._deliver, udp, data, to)

    def _deliver(self, udp: socket.socket, data: bytes, to: str) -> None:
        self._held -= 1
        with contextlib.suppress(OSError):
            udp.sendto(data, self._real[to])

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: str) -> None:
        sender = self._name_at.get(writer.get_extra_info("peername")[0])
        try:
            if sender is None:
                return
            async with asyncio.timeout(STREAM_S):
                other_reader, other_writer = await asyncio.open_connection(*self._real[to])
                try:
                    await asyncio.gather(
                        self._pipe(reader, other_writer, sender, to),
                        self._pipe(other_reader, writer, to, sender),
                    )
                finally:
                    other_writer.close()
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, to: str
    ) -> None:
        while data := await reader.read(PIECE):
            self._bytes[sender] += len(data)
            while (wait := self._links.stream(sender, to, len(data), self._t())) is None:
                await asyncio.sleep(LOOK_S)
            await asyncio.sleep(wait)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def handle_order(self, order: Order) -> None:
        if order["do"] == "play":
            self._start = float(order["at"])

    def on_second(self) -> None:
        now = self._recorder.now()
        for name, count in self._bytes.items():
            self._recorder.put(LinkBytes(now, name, count, self._messages[name]))
        self._bytes.clear()
        self._messages.clear()

    async def close(self) -> None:
        self.on_second()
        self._opening.cancel()
        for udp in self._sockets:
            self._loop.remove_reader(udp)
            udp.close()
        for server in self._servers:
            server.close()


if __name__ == "__main__":
    sys.exit(run_worker(Hub))
