"""The processes of one measurement and their resource usage, for `bench forward` and its HTTP/3 variant.

The servers run in a separate process and answer at once, so that only the forwarding is measured.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from orchidferry.testkit.bench.open_loop import LoadReport, scenario
from orchidferry.testkit.exchange import expected_body
from orchidferry.testkit.wire import Address, Request, ServerSide, get
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.node_files import http3_text, settings

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles

WARM_S = 2.0  # load before a measurement: connections are opened, and the node learns about its servers
LATE_MS = 20.0  # a load generator that is later than this at p99 measures its own delays
READY_S = 20.0  # time limit for a process to become ready
READY_POLL_S = 0.05
NANOSECONDS = 1e9
SERVERS_A_GROUP = 8
ENTRY_POINT = "orchidferry.testkit.bench.forward"  # run with `python -m`: answers requests or offers a load


async def serve(addresses: list[Address], files: CertificateFiles | None = None) -> None:
    """Answer every request at once, until standard input ends; print `ready` once all addresses listen.

    :param addresses: the addresses to listen at.
    :param files: certificates, to answer over HTTP/3 at the same addresses too; None for HTTP/1.1 only.
    """
    loop = asyncio.get_running_loop()
    seed = scenario().seed

    def requested(connection: Any, request: Request) -> None:
        attempt_id = request.headers.get("attempt-id")
        headers = ""
        if attempt_id is not None:  # a mesh node requires both headers
            headers = f"Attempt-Id: {attempt_id}\r\nServer-Seal: {attempt_id}\r\n"
        connection.answer(200, expected_body(seed, request.headers.get("x-call-id", "")), headers)

    for host, port in addresses:
        await loop.create_server(
            lambda: ServerSide(requested, lambda _: None, lambda _: None), host, port, backlog=256
        )
        if files is not None:
            from orchidferry.testkit.quic.server import H3Server

            await H3Server(files, requested, lambda _: None, lambda _: None).start((host, port))
    print("ready", flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that the main thread of a process has used (`/proc/PID/schedstat`)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NANOSECONDS


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process, in KiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])


class Bench:
    """The processes of one measurement: servers, and the forwarders that are started one after another.

    :param block: the block of loopback addresses for servers and forwarders.
    :param folder: the folder for the nodes' settings and logs.
    :param servers: how many servers the nodes list.
    """

    def __init__(self, block: Block, folder: Path, servers: int) -> None:
        self.block = block
        self.folder = folder
        self.servers = [block.server(n) for n in range(servers)]
        self._running: list[asyncio.subprocess.Process] = []

    async def start_servers(self, files: CertificateFiles | None = None) -> None:
        """Start the process that answers for all servers, and wait until it is ready.

        :param files: certificates, if the servers answer over HTTP/3 too.
        :raises TimeoutError: if it is not ready in time.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            ENTRY_POINT,
            "serve",
            str(self.block.number),
            str(len(self.servers)),
            *([str(files.ca.parent)] if files is not None else []),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._running.append(process)
        assert process.stdout is not None
        await asyncio.wait_for(process.stdout.readline(), READY_S)

    async def start(
        self,
        what: str,
        python_path: str | None = None,
        discovery: Address | None = None,
        files: CertificateFiles | None = None,
        servers_h3: bool = False,
        control: Path | None = None,
    ) -> tuple[asyncio.subprocess.Process, Address]:
        """Start a forwarder, and wait until it is ready.

        :param what: `bare` for the bare forwarder; any other name starts a node, and appears in an error.
        :param python_path: the checkout whose node is started; None for this one.
        :param discovery: the address of the node's discovery service; None for one where nothing listens.
        :param files: certificates, for a node that speaks HTTP/3 to clients.
        :param servers_h3: whether the node's servers are listed with HTTP/3.
        :param control: the settings file of the node's control channel; None for a node without one.
        :returns: the process and the address at which it listens.
        :raises ValueError: if it does not become ready in time.
        """
        number = len(self._running)
        address = self.block.front_node(number)
        if what == "bare":
            process = await self._start_bare(address)
        else:
            path = self.folder / f"node{number}.json"
            path.write_text(json.dumps(self._config(address, discovery, servers_h3)))
            env = dict(os.environ)
            if files is not None:
                http3 = self.folder / f"node{number}.toml"
                http3.write_text(http3_text(f"{address[0]}:{address[1]}", files))
                env["ORCHIDFERRY_HTTP3"] = str(http3)
            if control is not None:
                env["ORCHIDFERRY_CONTROL"] = str(control)
            env["NODE_CONFIG"] = str(path)
            process = await self._start_node(number, env, python_path)
        self._running.append(process)
        await _wait_until_ready(what, address)
        return process, address

    async def _start_bare(self, address: Address) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidferry.testkit.bench.bare",
            f"{address[0]}:{address[1]}",
            stdin=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None
        process.stdin.write(" ".join(f"{host}:{port}" for host, port in self.servers).encode())
        process.stdin.close()
        return process

    async def _start_node(
        self, number: int, env: dict[str, str], python_path: str | None
    ) -> asyncio.subprocess.Process:
        if python_path is not None:
            env["PYTHONPATH"] = python_path
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            "-m",
            "orchidferry",
            env=env,
            cwd=python_path,
            stderr=(self.folder / f"node{number}.log").open("wb"),
        )

    def _config(self, address: Address, discovery: Address | None, h3: bool = False) -> dict[str, Any]:
        host, port = discovery or (address[0], 1)  # nothing listens at port 1
        entries = [
            {
                "name": f"s{n}",
                "address": f"{host}:{port}",
                "zone": "sala-poa",
                "type": "standin-1c",
                "group": n // SERVERS_A_GROUP,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
                **({"h3": f"{host}:{port}"} if h3 else {}),
            }
            for n, (host, port) in enumerate(self.servers)
        ]
        return {
            "name": "n0",
            "listen": f"{address[0]}:{address[1]}",
            "discovery": f"{host}:{port}",
            "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": settings(scenario(), 0, 1, 0),
        }

    async def offer_elsewhere(self, address: Address, rate: float, seconds: float, tag: str) -> LoadReport:
        """Offer a load of reads from a separate process.

        :param rate: requests per second.
        :param seconds: duration of the load.
        :param tag: prefix of the request ids, which distinguishes them from those of other loads.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            ENTRY_POINT,
            "ask",
            address[0],
            str(address[1]),
            str(rate),
            str(seconds),
            tag,
            stdout=asyncio.subprocess.PIPE,
        )
        self._running.append(process)
        out, _ = await process.communicate()
        self._running.remove(process)
        return LoadReport(**json.loads(out))

    async def stop(self, process: asyncio.subprocess.Process) -> None:
        """Kill a process that this object started, unless it has ended, and wait for its end."""
        if process.returncode is None:
            process.kill()
        await process.wait()
        self._running.remove(process)

    async def close(self) -> None:
        """Stop all processes that still run."""
        for process in list(self._running):
            await self.stop(process)


async def _wait_until_ready(what: str, address: Address) -> None:
    deadline_s = time.monotonic() + READY_S
    while time.monotonic() < deadline_s:
        outcome = await get(address, "/-/ready")
        if outcome.how == "answer" and (what == "bare" or outcome.status == 200):
            return
        await asyncio.sleep(READY_POLL_S)
    raise ValueError(f"the forwarder {what!r} did not become ready within {READY_S:g} s")


def lateness_text(late_ms: float) -> str:
    """Return the note of a printed row about a late load generator; empty if it was not late."""
    return f"; the load generator was {late_ms:.0f} ms late" if late_ms > LATE_MS else ""
