"""`orchidferry control status`: nodes that agree, nodes that don't, and those that say nothing."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from orchidferry.node.admin_server import AdminServer
from tests.balancing.test_wirehost import ROOT
from tests.node.control.scene import members, node, run, scene
from tests.node.peers import LIMIT_S, until


async def door(page: Any) -> tuple[AdminServer, str]:
    made = AdminServer({b"/-/control": page} if page is not None else {})
    host, port = await made.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
    return made, f"{host}:{port}"


async def status(*args: str) -> tuple[int, str, str]:
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


def test_nodes_that_hold_the_same_and_one_that_lags_behind(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene({"state": tmp_path}, {}) as (service, agents):
            doors = [await door(lambda a=a: (200, json.dumps(a.status()).encode())) for a in agents]
            where = [at for _, at in doors]
            service.push("bad", members(1, status="leaving"))
            await until(lambda: all(a.versions.refusals for a in agents))
            code, out, _ = await status(*where)
            assert code == 0
            assert out.count("v0") == 4 and "bad: pool 'catalogo': names no live server" in " ".join(
                out.split()
            )
            assert "n0 (" in out and "saved: yes" in out and "saved: off" in out

            agents[1].problem = "no room"
            service.push("v1", members(1, 2, 3), node())
            await until(lambda: agents[0].held() == "v1")
            code, out, _ = await status("--json", *where)
            found = list(json.loads(out).values())
            assert code == 1
            assert [one["versions"]["members"] for one in found] == ["v1", "v0"]
            assert "no room" in found[1]["refused"][-1]["reason"]
            for made, _ in doors:
                made.close()

    run(test())


def test_nodes_that_say_nothing_are_told_apart() -> None:
    async def test() -> None:
        plain, at_plain = await door(None)
        odd, at_odd = await door(lambda: (200, b"hello"))
        silent = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        at_silent = f"127.0.0.1:{silent.sockets[0].getsockname()[1]}"
        gone, at_gone = await door(None)
        gone.close()
        code, out, _ = await status(at_plain, at_odd, at_silent, at_gone)
        text = " ".join(out.replace("│", " ").split())
        assert code == 1
        for words in (
            "has no control service",
            "not what a node says",
            "no answer: timeout",
            "no answer: refused",
        ):
            assert words in text, words
        plain.close()
        odd.close()
        silent.close()

    run(test())


def test_bad_usage_is_one_line() -> None:
    async def test() -> None:
        code, _, err = await status("nowhere")
        assert code == 2 and err.count("\n") == 1 and "'nowhere' is no address" in err
        assert (await status())[0] == 2

    run(test())
