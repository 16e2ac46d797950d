"""`orchidferry control serve`, `push` and `diff`: a version taken to some nodes first, and on or back."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing.configuration import Part
from orchidferry.balancing.settings import Json
from orchidferry.node.admin_server import AdminServer
from orchidferry.node.control.store import Store
from orchidferry.testkit.control import rollout_service
from orchidferry.testkit.control.files import (
    VersionFileError,
    differences,
    read_comparable,
    read_version,
    version_from_json,
)
from orchidferry.testkit.control.rollout_service import RolloutService, read_admin_pages
from orchidferry.testkit.control.service import Service
from tests.balancing.test_wirehost import ROOT
from tests.node import peers
from tests.node.control.scene import POOL, Told, endpoint, file, run
from tests.node.peers import LIMIT_S, until

NODES = 4


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_service, "TICK_MS", 20.0)


def form(version: str, *numbers: int, **changes: Any) -> Json:
    """A version's file."""
    settings = {"entrada": {"pool": POOL, "settings": peers.settings(**changes)}}
    return {"version": version, "pools": {POOL: [endpoint(n) for n in numbers]}, "settings": settings}


def write(folder: Path, made: Json) -> str:
    path = folder / f"{made['version']}.json"
    path.write_text(json.dumps(made))
    return str(path)


async def control(*args: str, ends: bool = True) -> Any:
    """The command, as a process: its status and what it printed; or the process, if it is not to end."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidferry.testkit.cli",
        "control",
        *args,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    if not ends:
        return process
    out, err = await asyncio.wait_for(process.communicate(), LIMIT_S)
    return process.returncode, out.decode(), err.decode()


class Fleet:
    """A stand-in with its rollout service, agents with doors, and answers that nodes are made to count."""

    def __init__(self, service: Service, rollouts: RolloutService, agents: list[Told]) -> None:
        self.service = service
        self.rollouts = rollouts
        self.agents = agents
        self.where = f"{service.address[0]}:{service.address[1]}"
        self.doors: list[str] = []
        self.made: list[AdminServer] = []
        self.failing: set[str] = set()  # versions under which answers fail
        self._asked = dict.fromkeys(range(len(agents)), 0)
        self._failed = dict.fromkeys(range(len(agents)), 0)

    async def open(self) -> None:
        for at in range(len(self.agents)):
            door = AdminServer(
                {
                    b"/-/control": functools.partial(self._status, at),
                    b"/-/ready": lambda: (200, b"ready\n"),
                    b"/-/metrics": functools.partial(self._figures, at),
                }
            )
            host, port = await door.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
            self.made.append(door)
            self.doors.append(f"{host}:{port}")

    def _status(self, at: int) -> tuple[int, bytes]:
        return 200, json.dumps(self.agents[at].status()).encode()

    def _figures(self, at: int) -> tuple[int, bytes]:
        self._asked[at] += 40  # with each look
        if self.agents[at].held() in self.failing:
            self._failed[at] += 30
        good = self._asked[at] - self._failed[at]
        text = f"node.calls.a.success={good}\nnode.calls.a.busy={self._failed[at]}\nnode.inflight=3\n"
        return 200, text.encode()

    def held(self) -> list[str]:
        return [agent.held() for agent in self.agents]

    async def push(self, path: str, *args: str) -> Any:
        flags = ("--to", self.where, "--canary", "1", "--watch", "0.1", "--doors", *self.doors, *args)
        return await control("push", path, *flags)


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    """Four nodes that hold v1."""
    service = Service()
    rollouts = RolloutService(service, version_from_json(form("v1", 1, 2)))
    await service.start()
    agents = [Told(service, f"n{at}", None) for at in range(NODES)]
    made = Fleet(service, rollouts, agents)
    try:
        for agent in agents:
            agent.start()
        await made.open()
        await until(lambda: made.held() == ["v1"] * NODES)
        yield made
    finally:
        for agent in agents:
            await agent.close()
        for door in made.made:
            door.close()
        await service.stop()


def test_a_sound_version_comes_to_all_nodes_and_one_that_fails_goes_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet() as made:
            v2 = write(tmp_path, form("v2", 1, 2, 3))
            code, out, err = await made.push(v2)
            assert code == 0, out + err
            assert "v2 is on all 4 nodes" in out and "wave 2 of 2" in out
            assert made.held() == ["v2"] * NODES and made.rollouts.current.version == "v2"
            assert all(agent.held(Part.SETTINGS) == "v1" for agent in made.agents)  # as it was: not sent anew

            made.failing = {"v3"}
            code, out, _ = await made.push(write(tmp_path, form("v3", 4)))
            assert code == 1 and "answers failed" in out and "given back" in out
            assert made.held() == ["v2"] * NODES and made.rollouts.current.version == "v2"
            assert (
                sum(
                    any(m.entry.server == made.agents[0].servers()[-1].entry.server for m in c.members())
                    for a in made.agents
                    for c in a.applied
                )
                >= NODES
            )

            code, _, err = await made.push(v2)
            assert code == 2 and "'v2' is the version that the service has" in err and err.count("\n") == 1
            late = Told(made.service, "late", None)
            late.start()
            await until(lambda: late.held() == "v2")
            await late.close()

    run(test())


def test_a_refusal_takes_it_back_and_says_who_and_why(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet() as made:
            for agent in made.agents:
                agent.problem = "no room"
            code, out, _ = await made.push(write(tmp_path, form("v2", 9)))
            text = " ".join(out.split())
            assert code == 1 and "refused it: it could not be applied: no room" in text
            for agent in made.agents:
                agent.problem = ""
            assert (
                not made.service.node_resources
                and made.rollouts.rollout is not None
                and made.rollouts.rollout.ended
            )

    run(test())


def test_a_push_whose_command_is_killed_goes_back_by_itself(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet() as made:
            path = write(tmp_path, form("v2", 9))
            process = await control(
                "push",
                path,
                "--to",
                made.where,
                "--canary",
                "1",
                "--watch",
                "60",
                "--doors",
                *made.doors,
                ends=False,
            )
            await until(lambda: sorted(made.held()) == ["v1"] * (NODES - 1) + ["v2"])
            code, _, err = await made.push(path)
            assert code == 2 and "a push of v2 is in progress" in err
            process.kill()
            await process.wait()
            await until(lambda: made.held() == ["v1"] * NODES)
            assert made.rollouts.rollout is not None and "has gone" in made.rollouts.rollout.reason
            code, out, _ = await made.push(path)  # and the next one may come
            assert code == 0, out

    run(test())


def test_what_a_door_says_that_cannot_be_read_is_nothing() -> None:
    async def test() -> None:
        for page in (None, lambda: (200, b"x"), lambda: (200, b"[]"), lambda: (200, b'{"node":"n"}')):
            door = AdminServer({b"/-/control": page} if page is not None else {})
            where = await door.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
            name, reading = await read_admin_pages(where)
            assert reading is None and name in ("", "n")
            door.close()

    run(test())


def test_the_stand_in_is_served_by_a_command_and_compared_with_a_file(tmp_path: Path) -> None:
    async def test() -> None:
        old = write(tmp_path, form("v1", 1))
        new = write(tmp_path, form("v2", 1, 2))
        process = await control("serve", old, "--seconds", "30", ends=False)
        try:
            line = (await asyncio.wait_for(process.stdout.readline(), LIMIT_S)).decode()
            where = line.split()[-1]
            assert "serving 'v1' on 127.0.0.1:" in line
            code, out, _ = await control("diff", where, new)
            assert code == 1 and [t[0] for t in out.splitlines()] == ["-", "+", "@", "+"] and '"s2"' in out
            assert (await control("diff", where, old))[:2] == (0, "v1 and v1 are equivalent\n")
            code, _, err = await control("serve", old, "--listen", where)
            assert code == 2 and "can't listen" in err and err.count("\n") == 1
        finally:
            process.terminate()
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    run(test())


def test_a_nodes_last_good_can_be_compared_and_not_pushed(tmp_path: Path) -> None:
    store = Store(tmp_path / "state")
    assert store.save(file()) == ""
    store.close()
    path = str(tmp_path / "state" / "last-good")
    assert differences(read_comparable(path), read_comparable(path), ("a", "b")) == []
    assert differences(read_comparable(path), form("v", 1), ("a", "b"))
    with pytest.raises(VersionFileError, match="can be compared, not pushed"):
        read_version(path)
    (tmp_path / "state" / "last-good").write_bytes(Path(path).read_bytes()[:-5])
    with pytest.raises(VersionFileError, match="is cut off"):
        read_comparable(path)


def altered(**changes: Any) -> Json:
    return form("v", 1) | changes


@pytest.mark.parametrize(
    ("made", "words"),
    [
        ([], "must be an object"),
        ({}, "'version' is missing"),
        (altered(version=""), "1 to 256 characters"),
        (altered(colour=1), "'colour' is not known"),
        (altered(pools={POOL: {}}), f"pools.{POOL}: must be a list"),
        (altered(pools={POOL: [1]}), f"pools.{POOL}[0]: must be a table"),
        (
            altered(pools={POOL: [endpoint(1, address="nowhere")]}),
            f"pools.{POOL}[0]: 'nowhere' is no address",
        ),
        (altered(pools={POOL: [endpoint(1, status="odd")]}), "'status' is 'odd'"),
        (altered(pools={POOL: [endpoint(1), endpoint(1)]}), "is there twice"),
        (altered(pools={POOL: [endpoint(1, weight="x")]}), "can't be encoded as xDS messages"),
        (altered(pools={POOL: [endpoint(1, status="leaving")]}), "names no live server"),
        (altered(pools={"b": [endpoint(1)]}), f"pool: '{POOL}' is none of b"),
        (altered(settings={"e": 1}), "settings.e: must be a table"),
        (altered(settings={"e": {"pool": POOL}}), "settings.e: 'settings' is missing"),
        (altered(settings={"e": {"pool": POOL, "settings": {}}}), "is missing"),
    ],
)
def test_a_file_that_cannot_be_meant_is_one_line_that_names_it(made: Any, words: str, tmp_path: Path) -> None:
    path = tmp_path / "v.json"
    path.write_text(json.dumps(made))
    with pytest.raises(VersionFileError) as problem:
        read_version(str(path))
    assert words in str(problem.value) and str(problem.value).startswith(str(path))


def test_files_that_are_none_are_told_and_toml_is_read(tmp_path: Path) -> None:
    for name, data in (("a.toml", b"version ="), ("a.json", b"\xff"), ("b.json", b"{")):
        (tmp_path / name).write_bytes(data)
        with pytest.raises(VersionFileError, match="neither TOML"):
            read_version(str(tmp_path / name))
    with pytest.raises(VersionFileError, match="No such file"):
        read_version(str(tmp_path / "none"))
    (tmp_path / "v.toml").write_text(
        'version = "v"\n[[pools.a]]\nname = "s"\naddress = "10.0.0.5:1"\n[settings]\n'
    )
    assert read_version(str(tmp_path / "v.toml")).to_json()["pools"]["a"][0]["name"] == "s"
