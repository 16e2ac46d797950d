"""`orchidferry bench peers`.

Memory and CPU of one real node in a large fleet. The other members run in this process: each is an instance
of the production membership protocol with a loopback address of its own.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import resource
import socket
import sys
import tempfile
from pathlib import Path
from typing import Any

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry, Phase
from orchidferry.balancing.fleet.membership import Membership
from orchidferry.node.clock import now_ms
from orchidferry.node.fleet import wire
from orchidferry.node.fleet.settings import scaled_timing
from orchidferry.node.fleet.shell import LENGTH
from orchidferry.node.fleet.wire import DatagramError, Sealer
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.world.node_files import settings

# The first two bytes of the loopback addresses, below the blocks that rehearsals use.
ADDRESS_PREFIX = "127.60"
PORT = 9100
KEY = "k1=" + "0123456789abcdef" * 2
SETTLE_S = 10.0  # time for the node to join the fleet before it is measured


class SimulatedPeers:
    """All other members of the fleet, each with its own sockets.

    :param count: number of members.
    :param probe_ms: interval of their probes.
    """

    def __init__(self, count: int, probe_ms: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._sealer = Sealer((("k1", KEY.partition("=")[2].encode()),))
        self._fleets: list[Membership] = []
        self._udp: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        self._timers: dict[int, asyncio.TimerHandle] = {}
        for n in range(count):
            host = f"{ADDRESS_PREFIX}.{1 + n // 250}.{1 + n % 250}"
            me = Entry(f"m{n}", host, PORT, 1_000 + n, phase=Phase.SERVING, zone="abc"[n % 3], version="1")
            self._fleets.append(Membership(me, [], random.Random(n), scaled_timing(probe_ms), count + 2))
        entries = [fleet.me for fleet in self._fleets]
        for n, fleet in enumerate(self._fleets):
            fleet.load(entries)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind((fleet.me.host, PORT))
            self._udp.append(udp)
            self._loop.add_reader(udp, self._receive_datagrams, n)

    async def start(self) -> None:
        """Listen for TCP connections of all members, and start their membership protocol."""
        for n, fleet in enumerate(self._fleets):

            def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: int = n) -> Any:
                return self._loop.create_task(self._serve(reader, writer, to))

            self._servers.append(await asyncio.start_server(serve, fleet.me.host, PORT))
            self._handle(n, api.Start())
            fleet._outbox.gossip.drop(fleet.me.name)

    def _handle(self, n: int, event: api.Event) -> list[bytes]:
        answers = []
        for action in self._fleets[n].handle(event, now_ms()):
            match action:
                case api.SendDatagram():
                    with contextlib.suppress(OSError):
                        self._udp[n].sendto(self._sealer.seal(wire.encode(action.message)), action.to)
                case api.Reply():
                    answers.append(self._sealer.seal(wire.encode(action.message)))
        if n in self._timers:
            self._timers[n].cancel()
        wait_s = max(0.0, self._fleets[n].due_ms - now_ms()) / 1000.0
        self._timers[n] = self._loop.call_later(wait_s, self._handle, n, api.Tick())
        return answers

    def _receive_datagrams(self, n: int) -> None:
        with contextlib.suppress(OSError, DatagramError):
            while data := self._udp[n].recv(4_096):
                self._handle(n, api.MessageReceived(wire.decode(self._sealer.open(data)[0])))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, n: int) -> None:
        with contextlib.suppress(OSError, DatagramError, asyncio.IncompleteReadError):
            (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            data = await reader.readexactly(length)
            for answer in self._handle(n, api.MessageReceived(wire.decode(self._sealer.open(data)[0]))):
                writer.write(LENGTH.pack(len(answer)) + answer)
        writer.close()

    def close(self) -> None:
        """Close all sockets and cancel all timers."""
        for timer in self._timers.values():
            timer.cancel()
        for udp in self._udp:
            self._loop.remove_reader(udp)
            udp.close()
        for server in self._servers:
            server.close()


def _write_node_files(folder: Path, peers: int, probe_ms: float) -> dict[str, str]:
    """Write the files of the measured node.

    :returns: the environment variables that name them.
    """
    config = {
        "name": "measured",
        "listen": f"{ADDRESS_PREFIX}.250.1:9000",
        "discovery": f"{ADDRESS_PREFIX}.250.1:8500",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(Scenario("x"), 0, 1, 0),
    }
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "keys").touch(0o600)
    (folder / "keys").write_text(KEY)
    (folder / "fleet.toml").write_text(
        f'listen = "{ADDRESS_PREFIX}.250.1:{PORT}"\nseeds = ["{ADDRESS_PREFIX}.1.1:{PORT}"]\nkeys = "keys"\n'
        f"probe_ms = {probe_ms}\nmost = {peers + 2}\n"
    )
    return {"NODE_CONFIG": str(folder / "config.json"), "ORCHIDFERRY_FLEET": str(folder / "fleet.toml")}


def _process_usage(pid: int) -> tuple[float, float]:
    """Return the CPU seconds and the resident MiB of a process."""
    cpu_ns, _, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return int(cpu_ns) / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 1024.0**2


async def _measure(peers: int, seconds: float, probe_ms: float, on: bool) -> dict[str, Any]:
    """Measure one node among `peers` members, or, if `on` is false, a node without fleet membership."""
    with tempfile.TemporaryDirectory() as name:
        env = _write_node_files(Path(name), peers, probe_ms)
        if not on:
            del env["ORCHIDFERRY_FLEET"]
        simulated_peers = SimulatedPeers(peers if on else 0, probe_ms)
        process = None
        try:
            await simulated_peers.start()
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "orchidferry",
                env=os.environ | env,
                stderr=asyncio.subprocess.DEVNULL,
            )
            await asyncio.sleep(SETTLE_S)
            before, _ = _process_usage(process.pid)
            await asyncio.sleep(seconds)
            after, mib = _process_usage(process.pid)
            known = {
                fleet.members["measured"].present
                for fleet in simulated_peers._fleets
                if "measured" in fleet.members
            }
            return {
                "peers": peers if on else None,
                "resident_mib": round(mib, 1),
                "cpu_share": round((after - before) / seconds, 5),
                "known": known == {True} if on else None,
            }
        finally:
            simulated_peers.close()
            if process is not None:
                process.kill()
                await process.wait()


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 2 <= args.peers <= 5_000:
        raise ValueError("--peers must be 2 to 5000")
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4 * args.peers + 1_024), hard))
    rows = []
    for on in (False, True):
        rows.append(asyncio.run(_measure(args.peers, args.seconds, 1_000.0, on)))
        print(json.dumps(rows[-1]), flush=True)
    return rows
