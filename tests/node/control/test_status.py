"""`orchidferry control status` of nodes with equal versions, with different ones, and without an answer."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from orchidferry.node.admin_server import AdminServer
from tests.balancing.test_wirehost import ROOT
from tests.node.control.harness import members, node, run, service_and_agents
from tests.node.peers import LIMIT_S, until


async def start_admin_server(page: Any) -> tuple[AdminServer, str]:
    """Start an admin server with a status page, or with none; return it and its HOST:PORT."""
    server = AdminServer({b"/-/control": page} if page is not None else {})
    host, port = await server.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
    return server, f"{host}:{port}"


async def status(*args: str) -> tuple[int, str, str]:
    """Run the command; return its exit status and what it printed to standard output and error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidferry.testkit.cli",
        "control",
        "status",
        *args,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await asyncio.wait_for(process.communicate(), LIMIT_S)
    return process.returncode or 0, out.decode(), err.decode()


def test_exit_status_0_for_equal_versions_and_1_if_a_node_lags_behind(tmp_path: Path) -> None:
    async def test() -> None:
        async with service_and_agents({"state": tmp_path}, {}) as (service, agents):
            admin_servers = [
                await start_admin_server(lambda a=a: (200, json.dumps(a.status()).encode())) for a in agents
            ]
            addresses = [address for _, address in admin_servers]
            service.push("bad", members(1, status="leaving"))
            await until(lambda: all(a.versions.refusals for a in agents))
            code, out, _ = await status(*addresses)
            assert code == 0
            assert out.count("v0") == 4 and "bad: pool 'catalogo': names no live server" in " ".join(
                out.split()
            )
            assert "n0 (" in out and "saved: yes" in out and "saved: off" in out

            agents[1].problem = "no room"
            service.push("v1", members(1, 2, 3), node())
            await until(lambda: agents[0].applied_version() == "v1")
            code, out, _ = await status("--json", *addresses)
            found = list(json.loads(out).values())
            assert code == 1
            assert [one["versions"]["members"] for one in found] == ["v1", "v0"]
            assert "no room" in found[1]["refused"][-1]["reason"]
            for server, _ in admin_servers:
                server.close()

    run(test())


def test_the_reason_for_a_missing_status_is_shown() -> None:
    async def test() -> None:
        no_page, no_page_address = await start_admin_server(None)
        no_json, no_json_address = await start_admin_server(lambda: (200, b"hello"))
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        silent_address = f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        closed, closed_address = await start_admin_server(None)
        closed.close()
        code, out, _ = await status(no_page_address, no_json_address, silent_address, closed_address)
        text = " ".join(out.replace("│", " ").split())
        assert code == 1
        for expected in (
            "has no control service",
            "status 200, expected 200 with a JSON object",
            "no answer: timeout",
            "no answer: refused",
        ):
            assert expected in text, expected
        no_page.close()
        no_json.close()
        silent.close()

    run(test())


def test_bad_usage_prints_one_line() -> None:
    async def test() -> None:
        code, _, err = await status("nowhere")
        assert code == 2 and err.count("\n") == 1 and "'nowhere' is no address" in err
        assert (await status())[0] == 2

    run(test())
