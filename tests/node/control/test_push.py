"""`orchidferry control serve`, `push` and `diff`: rollouts, rollbacks and comparisons."""

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
from tests.node.control.harness import POOL, RecordingAgent, endpoint, file_configuration, run
from tests.node.peers import LIMIT_S, until

NODES = 4


@pytest.fixture(autouse=True)
def short_ticks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_service, "TICK_MS", 20.0)


def version_json(version: str, *numbers: int, **changes: Any) -> Json:
    """Return a version in the format of the file."""
    settings = {"entrada": {"pool": POOL, "settings": peers.settings(**changes)}}
    return {"version": version, "pools": {POOL: [endpoint(n) for n in numbers]}, "settings": settings}


def write(directory: Path, version: Json) -> str:
    """Write a version to a file; return its path."""
    path = directory / f"{version['version']}.json"
    path.write_text(json.dumps(version))
    return str(path)


async def control(*args: str, ends: bool = True) -> Any:
    """Run the command in a process; return its exit status and what it printed to standard output and error.

    :param ends: whether to wait for the end of the command; if not, the process is returned.
    """
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
    """A stand-in service with its rollout service, agents with admin servers, and set metrics."""

    def __init__(self, service: Service, rollouts: RolloutService, agents: list[RecordingAgent]) -> None:
        self.service = service
        self.rollouts = rollouts
        self.agents = agents
        self.address = f"{service.address[0]}:{service.address[1]}"
        self.admin_addresses: list[str] = []
        self.admin_servers: list[AdminServer] = []
        self.failing: set[str] = set()  # versions with which nodes report failed answers
        self._requests = dict.fromkeys(range(len(agents)), 0)  # requests that each node reports, by index
        self._failed = dict.fromkeys(range(len(agents)), 0)  # failed requests among them, by index

    async def open(self) -> None:
        for index in range(len(self.agents)):
            server = AdminServer(
                {
                    b"/-/control": functools.partial(self._status, index),
                    b"/-/ready": lambda: (200, b"ready\n"),
                    b"/-/metrics": functools.partial(self._metrics, index),
                }
            )
            host, port = await server.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
            self.admin_servers.append(server)
            self.admin_addresses.append(f"{host}:{port}")

    def _status(self, index: int) -> tuple[int, bytes]:
        return 200, json.dumps(self.agents[index].status()).encode()

    def _metrics(self, index: int) -> tuple[int, bytes]:
        self._requests[index] += 40  # with each read of the metrics
        if self.agents[index].applied_version() in self.failing:
            self._failed[index] += 30
        good = self._requests[index] - self._failed[index]
        text = f"node.calls.a.success={good}\nnode.calls.a.busy={self._failed[index]}\nnode.inflight=3\n"
        return 200, text.encode()

    def versions(self) -> list[str]:
        """Return the version of the members that each agent has applied."""
        return [agent.applied_version() for agent in self.agents]

    async def push(self, path: str, *args: str) -> Any:
        """Run `control push` with a first wave of one node."""
        flags = (
            "--to",
            self.address,
            "--canary",
            "1",
            "--watch",
            "0.1",
            "--doors",
            *self.admin_addresses,
            *args,
        )
        return await control("push", path, *flags)


@contextlib.asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    """Run four agents that have applied the version `v1`."""
    service = Service()
    rollouts = RolloutService(service, version_from_json(version_json("v1", 1, 2)))
    await service.start()
    agents = [RecordingAgent(service, f"n{at}", None) for at in range(NODES)]
    fleet = Fleet(service, rollouts, agents)
    try:
        for agent in agents:
            agent.start()
        await fleet.open()
        await until(lambda: fleet.versions() == ["v1"] * NODES)
        yield fleet
    finally:
        for agent in agents:
            await agent.close()
        for server in fleet.admin_servers:
            server.close()
        await service.stop()


def test_a_good_version_reaches_all_nodes_and_one_with_failed_answers_is_rolled_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            v2 = write(tmp_path, version_json("v2", 1, 2, 3))
            code, out, err = await fleet.push(v2)
            assert code == 0, out + err
            assert "v2 is on all 4 nodes" in out and "wave 2 of 2" in out
            assert fleet.versions() == ["v2"] * NODES and fleet.rollouts.current.version == "v2"
            # The settings are unchanged, so they are not sent again.
            assert all(agent.applied_version(Part.SETTINGS) == "v1" for agent in fleet.agents)

            fleet.failing = {"v3"}
            code, out, _ = await fleet.push(write(tmp_path, version_json("v3", 4)))
            assert code == 1 and "answers failed" in out and "given back" in out
            assert fleet.versions() == ["v2"] * NODES and fleet.rollouts.current.version == "v2"
            assert (
                sum(
                    any(m.entry.server == fleet.agents[0].servers()[-1].entry.server for m in c.members())
                    for a in fleet.agents
                    for c in a.applied
                )
                >= NODES
            )

            code, _, err = await fleet.push(v2)
            assert code == 2 and "'v2' is the version that the service has" in err and err.count("\n") == 1
            late = RecordingAgent(fleet.service, "late", None)
            late.start()
            await until(lambda: late.applied_version() == "v2")
            await late.close()

    run(test())


def test_a_refusal_rolls_the_version_back_and_reports_the_node_and_the_reason(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            for agent in fleet.agents:
                agent.problem = "no room"
            code, out, _ = await fleet.push(write(tmp_path, version_json("v2", 9)))
            text = " ".join(out.split())
            assert code == 1 and "refused it: it could not be applied: no room" in text
            for agent in fleet.agents:
                agent.problem = ""
            assert (
                not fleet.service.node_resources
                and fleet.rollouts.rollout is not None
                and fleet.rollouts.rollout.ended
            )

    run(test())


def test_a_version_is_rolled_back_when_its_push_command_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_fleet() as fleet:
            path = write(tmp_path, version_json("v2", 9))
            process = await control(
                "push",
                path,
                "--to",
                fleet.address,
                "--canary",
                "1",
                "--watch",
                "60",
                "--doors",
                *fleet.admin_addresses,
                ends=False,
            )
            await until(lambda: sorted(fleet.versions()) == ["v1"] * (NODES - 1) + ["v2"])
            code, _, err = await fleet.push(path)
            assert code == 2 and "a push of v2 is in progress" in err
            process.kill()
            await process.wait()
            await until(lambda: fleet.versions() == ["v1"] * NODES)
            assert fleet.rollouts.rollout is not None and "has gone" in fleet.rollouts.rollout.reason
            code, out, _ = await fleet.push(path)  # the next push is accepted
            assert code == 0, out

    run(test())


def test_unreadable_admin_pages_give_no_metrics() -> None:
    async def test() -> None:
        for page in (None, lambda: (200, b"x"), lambda: (200, b"[]"), lambda: (200, b'{"node":"n"}')):
            server = AdminServer({b"/-/control": page} if page is not None else {})
            address = await server.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))
            name, metrics = await read_admin_pages(address)
            assert metrics is None and name in ("", "n")
            server.close()

    run(test())


def test_control_serve_and_control_diff_against_a_file(tmp_path: Path) -> None:
    async def test() -> None:
        old = write(tmp_path, version_json("v1", 1))
        new = write(tmp_path, version_json("v2", 1, 2))
        process = await control("serve", old, "--seconds", "30", ends=False)
        try:
            line = (await asyncio.wait_for(process.stdout.readline(), LIMIT_S)).decode()
            address = line.split()[-1]
            assert "serving 'v1' on 127.0.0.1:" in line
            code, out, _ = await control("diff", address, new)
            assert code == 1 and [t[0] for t in out.splitlines()] == ["-", "+", "@", "+"] and '"s2"' in out
            assert (await control("diff", address, old))[:2] == (0, "v1 and v1 are equivalent\n")
            code, _, err = await control("serve", old, "--listen", address)
            assert code == 2 and "can't listen" in err and err.count("\n") == 1
        finally:
            process.terminate()
            assert await asyncio.wait_for(process.wait(), LIMIT_S) == 0

    run(test())


def test_a_last_good_file_can_be_compared_but_not_pushed(tmp_path: Path) -> None:
    store = Store(tmp_path / "state")
    assert store.save(file_configuration()) == ""
    store.close()
    path = str(tmp_path / "state" / "last-good")
    assert differences(read_comparable(path), read_comparable(path), ("a", "b")) == []
    assert differences(read_comparable(path), version_json("v", 1), ("a", "b"))
    with pytest.raises(VersionFileError, match="can be compared, not pushed"):
        read_version(path)
    (tmp_path / "state" / "last-good").write_bytes(Path(path).read_bytes()[:-5])
    with pytest.raises(VersionFileError, match="is cut off"):
        read_comparable(path)


def version_json_with(**changes: Any) -> Json:
    return version_json("v", 1) | changes


@pytest.mark.parametrize(
    ("version", "expected"),
    [
        ([], "must be an object"),
        ({}, "'version' is missing"),
        (version_json_with(version=""), "1 to 256 characters"),
        (version_json_with(colour=1), "'colour' is not known"),
        (version_json_with(pools={POOL: {}}), f"pools.{POOL}: must be a list"),
        (version_json_with(pools={POOL: [1]}), f"pools.{POOL}[0]: must be a table"),
        (
            version_json_with(pools={POOL: [endpoint(1, address="nowhere")]}),
            f"pools.{POOL}[0]: 'nowhere' is no address",
        ),
        (version_json_with(pools={POOL: [endpoint(1, status="odd")]}), "'status' is 'odd'"),
        (version_json_with(pools={POOL: [endpoint(1), endpoint(1)]}), "is there twice"),
        (version_json_with(pools={POOL: [endpoint(1, weight="x")]}), "can't be encoded as xDS messages"),
        (version_json_with(pools={POOL: [endpoint(1, status="leaving")]}), "names no live server"),
        (version_json_with(pools={"b": [endpoint(1)]}), f"pool: '{POOL}' is none of b"),
        (version_json_with(settings={"e": 1}), "settings.e: must be a table"),
        (version_json_with(settings={"e": {"pool": POOL}}), "settings.e: 'settings' is missing"),
        (version_json_with(settings={"e": {"pool": POOL, "settings": {}}}), "is missing"),
    ],
)
def test_the_error_for_an_invalid_version_names_the_file_and_the_field(
    version: Any, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "v.json"
    path.write_text(json.dumps(version))
    with pytest.raises(VersionFileError) as problem:
        read_version(str(path))
    assert expected in str(problem.value) and str(problem.value).startswith(str(path))


def test_unparsable_files_raise_an_error_and_toml_is_read(tmp_path: Path) -> None:
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
