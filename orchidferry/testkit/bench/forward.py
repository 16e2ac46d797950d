"""`orchidferry bench forward`: the whole node beside a bare forwarder, at the same offered rate, by turns.

Servers answer at once from a process of their own, so that what is measured is the forwarding. CPU is the
kernel's count for the process (`/proc/PID/schedstat`); its answers are checked, and a run in which the asking
side fell behind is said to be so.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from orchidferry.testkit.bench.open_loop import LoadReport, offer_load, request_writer, scenario
from orchidferry.testkit.exchange import expected_body
from orchidferry.testkit.wire import Address, Request, ServerSide, get
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.nodes import http3_text, settings

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import Files

SIZES = (10, 1_000)
WARM_S = 2.0  # of load before what counts: connections come up, the node learns
LATE_MS = 20.0  # an asker that was later than this at p99 measured itself
READY_S = 20.0


async def serve(addresses: list[Address], files: Files | None = None) -> None:
    """Answer at once at so many addresses, over HTTP/3 too with certificates; a process of its own."""
    loop = asyncio.get_running_loop()
    seed = scenario().seed

    def requested(connection: Any, request: Request) -> None:
        id = request.headers.get("attempt-id")
        more = f"Attempt-Id: {id}\r\nServer-Seal: {id}\r\n" if id is not None else ""  # a mesh wants both
        connection.answer(200, expected_body(seed, request.headers.get("x-call-id", "")), more)

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
    """CPU seconds that a process has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def rss_kb(pid: int) -> int:
    """Its resident memory."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])


class Bench:
    """The processes of one size: servers, and in turn the node and the bare forwarder."""

    def __init__(self, block: Block, folder: Path, servers: int) -> None:
        self.block = block
        self.folder = folder
        self.servers = [block.server(n) for n in range(servers)]
        self._running: list[asyncio.subprocess.Process] = []

    async def start_servers(self, files: Files | None = None) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidferry.testkit.bench.forward",
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
        files: Files | None = None,
        servers_h3: bool = False,
        control: Path | None = None,
    ) -> tuple[asyncio.subprocess.Process, Address]:
        """Start the node, or the bare forwarder."""
        number = len(self._running)
        address = self.block.front_node(number)
        env = dict(os.environ)
        if what == "bare":
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
        else:
            path = self.folder / f"node{number}.json"
            path.write_text(json.dumps(self._config(address, discovery, servers_h3)))
            if files is not None:
                http3 = self.folder / f"node{number}.toml"
                http3.write_text(http3_text(f"{address[0]}:{address[1]}", files))
                env["ORCHIDFERRY_HTTP3"] = str(http3)
            if control is not None:
                env["ORCHIDFERRY_CONTROL"] = str(control)
            env["NODE_CONFIG"] = str(path)
            if python_path is not None:
                env["PYTHONPATH"] = python_path
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "orchidferry",
                env=env,
                cwd=python_path,
                stderr=(self.folder / f"node{number}.log").open("wb"),
            )
        self._running.append(process)
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            outcome = await get(address, "/-/ready")
            if outcome.how == "answer" and (what == "bare" or outcome.status == 200):
                return process, address
            await asyncio.sleep(0.05)
        raise ValueError(f"the {what} did not become ready")

    def _config(self, address: Address, discovery: Address | None, h3: bool = False) -> dict[str, Any]:
        host, port = discovery or (address[0], 1)  # nobody answers there
        entries = [
            {
                "name": f"s{n}",
                "address": f"{host}:{port}",
                "zone": "sala-poa",
                "type": "standin-1c",
                "group": n // 8,
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
        """Offer a load of reads from a process of its own."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "orchidferry.testkit.bench.forward",
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
        if process.returncode is None:
            process.kill()
        await process.wait()
        self._running.remove(process)

    async def close(self) -> None:
        for process in list(self._running):
            await self.stop(process)


async def measure(
    bench: Bench, what: str, rate: float, seconds: float, mix: bool, path: str | None
) -> dict[str, Any]:
    """One turn of one of them."""
    process, address = await bench.start(what, path)
    write = request_writer(mix)
    await offer_load(address, rate, WARM_S, "w", write)
    before = cpu_s(process.pid)
    began = time.monotonic()
    report = await offer_load(address, rate, seconds, "m", write)
    spent = cpu_s(process.pid) - before
    result = asdict(report) | {
        "what": what,
        "rate": rate,
        "cpu_us": spent / report.asked * 1e6,
        "cpu_share": spent / (time.monotonic() - began),
        "rss_kb": rss_kb(process.pid),
    }
    await bench.stop(process)
    return result


async def compare(
    servers: int, rate: float, seconds: float, turns: int, mix: bool, against: str | None
) -> list[dict[str, Any]]:
    """The node, the bare forwarder, and another checkout's node if one is named, by turns."""
    block, held = claim()
    found: dict[str, list[dict[str, Any]]] = {}
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        bench = Bench(block, Path(folder), servers)
        try:
            await bench.start_servers()
            whom = [("node", None), ("bare", None), *([("before", against)] if against else [])]
            for _ in range(turns):
                for what, path in whom:
                    row = await measure(bench, what, rate, seconds, mix, path)
                    found.setdefault(what, []).append(row)
        finally:
            await bench.close()
            held.close()
    rows = []
    bare = statistics.median(row["cpu_us"] for row in found["bare"])
    for what, some in found.items():
        cpu = statistics.median(row["cpu_us"] for row in some)
        late = max(row["late_p99_ms"] for row in some)
        row = {
            "what": what,
            "servers": servers,
            "rate": rate,
            "mix": mix,
            "turns": turns,
            "cpu_us": cpu,
            "ratio": cpu / bare,
            "p50_ms": statistics.median(row["p50_ms"] or 0.0 for row in some),
            "p99_ms": statistics.median(row["p99_ms"] or 0.0 for row in some),
            "failed": sum(row["failed"] for row in some),
            "late_p99_ms": late,
            "rss_kb": max(row["rss_kb"] for row in some),
            "most_per_s": 1e6 / cpu,
        }
        rows.append(row)
        print(
            f"{servers:6} servers, {rate:g}/s, {'mix' if mix else 'reads'}: {what:6} {cpu:7.1f} us of CPU a "
            f"request ({row['ratio']:.2f} times bare, {row['most_per_s']:.0f}/s a core), "
            f"p50 {row['p50_ms']:.2f} ms, p99 {row['p99_ms']:.2f} ms, {row['rss_kb'] / 1024:.1f} MB, "
            f"{row['failed']} failed"
            + (f"; the asking side was {late:.0f} ms late" if late > LATE_MS else ""),
            flush=True,
        )
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if not 1.0 <= args.rate <= 20_000.0 or not 0.5 <= args.seconds <= 600.0 or not 1 <= args.turns <= 50:
        raise ValueError("--rate must be within 1 to 20000, --seconds 0.5 to 600, --turns 1 to 50")
    if args.against is not None and not (Path(args.against) / "orchidferry" / "node" / "node.py").is_file():
        raise ValueError(f"--against {args.against}: holds no orchidferry/node/node.py")
    if args.protocol == "h3":
        from orchidferry.testkit.bench import quic

        return quic.main(args)
    rows: list[dict[str, Any]] = []
    for servers in SIZES if args.servers is None else (args.servers,):
        rows += uvloop.run(compare(servers, args.rate, args.seconds, args.turns, args.mix, args.against))
    return rows


if __name__ == "__main__":
    if sys.argv[1] == "serve":
        claimed = Block(int(sys.argv[2]))
        known = None
        if len(sys.argv) > 4:
            from orchidferry.testkit.quic.certs import Files

            where = Path(sys.argv[4])
            known = Files(where / "ca.pem", where / "server.pem", where / "server.key")
        uvloop.run(serve([claimed.server(n) for n in range(int(sys.argv[3]))], known))
    else:
        host, port, rate, seconds, tag = sys.argv[2:7]
        load = offer_load((host, int(port)), float(rate), float(seconds), tag)
        print(json.dumps(asdict(uvloop.run(load))))
