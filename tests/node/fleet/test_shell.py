"""Fleet members with real sockets on the loopback interface.

Covers joining and leaving, key rotation, floods, the encoding of messages, settings files and a node process.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.fleet.members import MAX_INCARNATION, Entry, Phase, Status
from orchidferry.balancing.fleet.messages import Kind, Message
from orchidferry.node.config import ConfigError
from orchidferry.node.fleet import shell, wire
from orchidferry.node.fleet.settings import read_fleet, read_key_file
from orchidferry.node.fleet.shell import FleetMember
from orchidferry.testkit.fleet import status
from tests.balancing.test_wirehost import ROOT
from tests.node.peers import LIMIT_S, Server, run, until, world
from tests.node.test_node import Program

KEY_1, KEY_2, KEY_3 = (f"k{n}={str(n) * 32}" for n in (1, 2, 3))
ENTRY = Entry("me", "127.0.0.1", 9, 2**63 + 5, 7, Status.SUSPECT, Phase.DRAINING, "z", "v1", "by")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def write_fleet_file(folder: Path, name: str, port: int, seeds: list[int], *keys: str, **fields: Any) -> Path:
    home = folder / name
    home.mkdir(exist_ok=True)
    (home / "keys").touch(0o600)
    (home / "keys").write_text("\n".join(keys or (KEY_1,)))
    defaults: dict[str, Any] = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seeds": [f"127.0.0.1:{seed}" for seed in seeds],
        "keys": "keys",
        "probe_ms": 100,
        "state": "state",
    }
    (home / "fleet.toml").write_text(
        "".join(f"{key} = {json.dumps(value)}\n" for key, value in (defaults | fields).items())
    )
    return home / "fleet.toml"


@asynccontextmanager
async def running_members(
    folder: Path, count: int, *keys: str, **fields: Any
) -> AsyncIterator[list[FleetMember]]:
    ports = [free_port() for _ in range(count)]
    members = []
    for n, port in enumerate(ports):
        file = write_fleet_file(folder, f"n{n}", port, ports, *keys, **fields)
        members.append(FleetMember(read_fleet(str(file), "x"), asyncio.get_running_loop()))
        members[-1].attach(lambda: True)
        await members[-1].listen()
        members[-1].start()
    try:
        yield members
    finally:
        await asyncio.gather(*(member.close() for member in members if member._udp is not None))


def all_agree(members: list[FleetMember], count: int) -> bool:
    return all(member.fleet.size == count and not member.fleet.suspects() for member in members)


def send(to: FleetMember, data: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.sendto(data, to._settings.listen)


def kill(member: FleetMember) -> None:
    """Stop a member without an announcement: close its sockets, cancel timers and tasks, as after SIGKILL."""
    assert member._udp is not None and member._server is not None and member._store is not None
    member.fleet.left = True  # an exchange in progress is not answered any more
    member._loop.remove_reader(member._udp)
    member._udp.close()
    member._udp = None
    member._server.close()
    for timer in (member._timer, *member._timers.values()):
        if timer is not None:
            timer.cancel()
    for task in member._tasks:
        task.cancel()
    member._store.close()


def test_members_join_leave_restart_with_a_higher_incarnation_and_are_detected_as_lost(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running_members(tmp_path, 3) as members:
            await until(lambda: all_agree(members, 3))
            await until(lambda: all(e.phase is Phase.SERVING for e in members[0].fleet.members.values()))
            await members[2].close()
            await until(
                lambda: all(member.fleet.members["n2"].status is Status.LEFT for member in members[:2])
            )
            page = json.loads(members[0].page()[1])
            assert page["state"] == "joined" and page["members"][1]["status"] == "left"
            restarted = FleetMember(members[2]._settings, asyncio.get_running_loop())
            assert restarted.fleet.me.incarnation > members[2].fleet.me.incarnation  # from the state file
            await restarted.listen()
            restarted.start()
            await until(lambda: all_agree([*members[:2], restarted], 3))
            kill(restarted)
            await until(
                lambda: all(member.fleet.members["n2"].status is Status.LOST for member in members[:2])
            )

    run(test())


def test_members_with_different_keys_communicate_during_a_rotation(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_members(tmp_path, 3, KEY_1, KEY_2) as members:
            await until(lambda: all_agree(members, 3))
            # The new key signs, the old one stays valid.
            (tmp_path / "n0" / "keys").write_text(f"{KEY_3}\n{KEY_1}")
            (tmp_path / "n1" / "keys").write_text("k1=short")
            for member in members:
                member._check_keys()
            assert members[0]._sealer.names == ["k3", "k1"] and members[1]._sealer.names == ["k1", "k2"]
            got = [member.counts["got"] for member in members]
            await until(
                lambda: all(member.counts["got"] > n + 12 for member, n in zip(members, got, strict=True))
            )
            assert all_agree(members, 3)
            assert members[0]._key_by_peer and not members[1]._key_by_peer  # the others still sign with k1

    run(test())


def test_floods_and_invalid_messages_are_counted_logged_and_ignored(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shell, "MAX_READS_PER_S", 400.0)

    async def test() -> None:
        async with running_members(tmp_path, 2) as members:
            await until(lambda: all_agree(members, 2))
            good = members[1]._sealer.seal(wire.encode(Message(Kind.PING, members[1].fleet.me, 0, 1)))
            for data in (b"", b"x" * 64_000, good[:30], good[:-1] + b"!", good.replace(wire.MAGIC, b"no", 1)):
                send(members[0], data)
            await until(
                lambda: members[0].counts["refused_foreign"] >= 2 and members[0].counts["refused_forged"] >= 2
            )
            for _ in range(20):
                for _ in range(100):
                    send(members[0], b"y" * 1_000)
                await asyncio.sleep(0.01)
            await until(lambda: members[0].counts["refused_flood"] > 0)
            reader, writer = await asyncio.open_connection(*members[0]._settings.listen)
            writer.write(b"\xff\xff\xff\xff")
            assert await asyncio.wait_for(reader.read(1), LIMIT_S) == b""
            writer.close()
            await until(lambda: all_agree(members, 2))
        lines = [record.message for record in caplog.records if "rejected" in record.message]
        assert len(lines) == len(set(lines)) <= 4

    run(test())


def test_decoding_an_encoded_message_returns_it_and_unknown_fields_are_forwarded() -> None:
    message = Message(
        Kind.PING_REQUEST, ENTRY, 3, 4, 5, replace(ENTRY, name="t", by=""), (replace(ENTRY, zone=""),) * 3
    )
    assert wire.decode(wire.encode(message)) == message
    later = msgpack.unpackb(wire.entry_bytes(ENTRY)) | {"q": [1, 2], "f": "resting"}
    entry = wire.read_entry(later)
    assert entry.phase is Phase.STARTING and msgpack.unpackb(entry.unknown_fields) == {"q": [1, 2]}
    assert msgpack.unpackb(wire.entry_bytes(entry))["q"] == [1, 2]
    older = {key: later[key] for key in wire.REQUIRED_KEYS}
    assert wire.read_entry(older) == Entry("me", "127.0.0.1", 9, 2**63 + 5)
    body = msgpack.unpackb(wire.encode(message))
    assert wire.decode(msgpack.packb(body | {"v": 9, "new": 1})) == message
    for change, kind in (
        ({"l": 2}, "later"),
        ({"k": "song"}, "later"),
        ({"k": 1}, "later"),
        ({"s": 3}, "garbled"),
    ):
        with pytest.raises(wire.DatagramError) as caught:
            wire.decode(msgpack.packb(body | change))
        assert caught.value.kind == kind
    wrong = [("i", MAX_INCARNATION + 1), ("i", -1), ("l", 0), ("s", 9), ("n", "x" * 65), ("p", 70_000)]
    for field, value in (*wrong, ("h", True), ("q", "x" * 200)):
        with pytest.raises(wire.DatagramError):
            wire.read_entry(later | {field: value})


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(wire.DatagramError):
        wire.decode(data)


LISTEN = 'listen = "127.0.0.1:1"\n'
INVALID_FILES = {
    "listen = 3": "'listen' must be a string",
    'listen = "a:1"': "listen: 'a' is no IP address",
    LISTEN + "odd = 1": "'odd' is not known",
    'listen = "0.0.0.0:1"\nkeys = "k"': "'advertise' must",
    LISTEN: "'keys' is missing",
    LISTEN + 'keys = "k"\nprobe_ms = 1': "'probe_ms'",
    LISTEN + 'keys = "k"\nseeds = ["1"]': "no address",
    LISTEN + 'keys = "k"\nmost = 1': "'most'",
}


@pytest.mark.parametrize(("text", "error_text"), INVALID_FILES.items())
def test_the_error_for_an_invalid_file_is_one_line_that_names_the_field(
    text: str, error_text: str, tmp_path: Path
) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(text)
    with pytest.raises(ConfigError, match=r"fleet\.toml: ") as caught:
        read_fleet(str(file), "n0")
    assert error_text in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "mode"),
    [(KEY_1, 0o644), ("k1=" + "s" * 31, 0o600), ("", 0o600), ("\n".join((KEY_1, KEY_2, KEY_3)), 0o600)],
)
def test_the_error_for_an_invalid_key_file_contains_no_secret(text: str, mode: int, tmp_path: Path) -> None:
    file = tmp_path / "keys"
    file.write_text(text)
    file.chmod(mode)
    with pytest.raises(ConfigError) as caught:
        read_key_file(file)
    assert "111" not in str(caught.value) and "sss" not in str(caught.value)


def test_a_node_without_a_fleet_does_not_import_the_package() -> None:
    code = (
        "import sys, orchidferry.__main__, orchidferry.node.node; "
        "bad = [m for m in sys.modules if m.startswith(("
        "'msgpack', 'orchidferry.node.fleet', 'orchidferry.balancing.fleet', "
        "'orchidferry.node.state_store'))]; "
        "sys.exit(str(bad) if bad else 0)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr


def test_a_node_process_joins_serves_its_fleet_page_and_leaves_on_sigterm(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        server, port, admin_port = Server(), free_port(), free_port()
        async with running_members(tmp_path, 1) as members, world(tmp_path, server, start=False) as scene:
            file = write_fleet_file(
                tmp_path, "real", port, [members[0]._settings.listen[1]], journal="journal"
            )
            monkeypatch.setenv("ORCHIDFERRY_FLEET", str(file))
            scene.config["admin_addr"] = f"127.0.0.1:{admin_port}"
            scene.path.write_text(json.dumps(scene.config))
            program = await Program.start(scene)
            await until(
                lambda: all_agree(members, 2) and members[0].fleet.members["real"].phase is Phase.SERVING
            )
            found = await status.ask(("127.0.0.1", admin_port))
            assert [member["name"] for member in found["members"]] == ["n0"]
            assert (await scene.ask("one")).status == 200
            program.process.terminate()
            await until(lambda: members[0].fleet.members["real"].status is Status.LEFT)
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0
            text = (tmp_path / "real" / "journal").read_text()
            lines = [json.loads(line) for line in text.splitlines()]
            assert {line["kind"] for line in lines} == {"self", "view"}
            assert lines[-1]["status"] == "left" and all(line["t_ms"] and line["wall_ms"] for line in lines)

    run(test())
    assert os.environ["ORCHIDFERRY_FLEET"]
