"""Worker process that relays the traffic between the nodes of a fleet and applies link faults to it.

The hub has one address per node, at which the node's peers reach that node, and each node sends from its own
IP address. The hub therefore knows sender and receiver. The number of delayed datagrams is bounded.
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

MAX_DATAGRAM = 65_536  # bytes
MAX_DELAYED_DATAGRAMS = 50_000  # further datagrams are dropped, as by a full queue
READS_PER_EVENT = 64  # maximum number of datagrams read from a socket at once
STREAM_CHUNK_BYTES = 16 * 1024
PARTITION_POLL_S = 0.05  # interval at which a stream is retried during a partition
MAX_STREAM_S = 60.0  # age at which a TCP connection is closed


class Hub:
    """Relays datagrams and TCP streams between the nodes of a run."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, send_report: SendReport, index: int
    ) -> None:
        plan = script.plan
        self._recorder = recorder
        self._start = math.inf
        self._links = Links(plan.links, plan.scenario.seed)
        self._nodes = list(plan.nodes)
        self._node_by_ip = {block.fleet_node(n)[0]: name for n, name in enumerate(self._nodes)}
        self._node_addresses = {name: block.fleet_node(n) for n, name in enumerate(self._nodes)}
        self._loop = asyncio.get_running_loop()
        self._bytes: Counter[str] = Counter()
        self._messages: Counter[str] = Counter()
        self._delayed_count = 0
        self._sockets: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        for n, name in enumerate(self._nodes):
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind(block.fleet_hub(n))
            self._loop.add_reader(udp, self._on_readable, udp, name)
            self._sockets.append(udp)
        self._opening = self._loop.create_task(self._listen(block))

    async def _listen(self, block: Block) -> None:
        for n, name in enumerate(self._nodes):

            def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: str = name
            ) -> asyncio.Task[None]:
                return self._loop.create_task(self._relay_stream(reader, writer, to))

            self._servers.append(await asyncio.start_server(serve, *block.fleet_hub(n)))

    def _elapsed_s(self) -> float:
        """Return the seconds since the load began; -1 before that, when only permanent faults are active."""
        return self._recorder.now() - self._start if self._start < math.inf else -1.0

    def _on_readable(self, udp: socket.socket, to: str) -> None:
        for _ in range(READS_PER_EVENT):
            try:
                data, source = udp.recvfrom(MAX_DATAGRAM)
            except OSError:
                return
            sender = self._node_by_ip.get(source[0])
            if sender is None:
                continue
            self._bytes[sender] += len(data)
            self._messages[sender] += 1
            for wait in self._links.datagram(sender, to, len(data), self._elapsed_s()):
                if self._delayed_count < MAX_DELAYED_DATAGRAMS:
                    self._delayed_count += 1
                    self._loop.call_later(wait, self._deliver, udp, data, to)

    def _deliver(self, udp: socket.socket, data: bytes, to: str) -> None:
        self._delayed_count -= 1
        with contextlib.suppress(OSError):
            udp.sendto(data, self._node_addresses[to])

    async def _relay_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: str
    ) -> None:
        sender = self._node_by_ip.get(writer.get_extra_info("peername")[0])
        try:
            if sender is None:
                return
            async with asyncio.timeout(MAX_STREAM_S):
                other_reader, other_writer = await asyncio.open_connection(*self._node_addresses[to])
                try:
                    await asyncio.gather(
                        self._copy_stream(reader, other_writer, sender, to),
                        self._copy_stream(other_reader, writer, to, sender),
                    )
                finally:
                    other_writer.close()
        except (OSError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _copy_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, to: str
    ) -> None:
        while data := await reader.read(STREAM_CHUNK_BYTES):
            self._bytes[sender] += len(data)
            while (wait := self._links.stream(sender, to, len(data), self._elapsed_s())) is None:
                await asyncio.sleep(PARTITION_POLL_S)
            await asyncio.sleep(wait)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director: `play` gives the start time of the load."""
        if order["do"] == "play":
            self._start = float(order["at"])

    def on_second(self) -> None:
        """Record the traffic that each node has sent since the last call."""
        now = self._recorder.now()
        for name, count in self._bytes.items():
            self._recorder.put(LinkBytes(now, name, count, self._messages[name]))
        self._bytes.clear()
        self._messages.clear()

    async def close(self) -> None:
        """Record the last counts and close all sockets."""
        self.on_second()
        self._opening.cancel()
        for udp in self._sockets:
            self._loop.remove_reader(udp)
            udp.close()
        for server in self._servers:
            server.close()


if __name__ == "__main__":
    sys.exit(run_worker(Hub))
