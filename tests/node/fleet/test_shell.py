"""Real nodes of a fleet on loopback.

Messages as bytes, keys that rotate, floods, the disk, the door, a process.
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

K1, K2, K3 = (f"k{n}={str(n) * 32}" for n in (1, 2, 3))
ME = Entry("me", "127.0.0.1", 9, 2**63 + 5, 7, Status.SUSPECT, Phase.DRAINING, "z", "v1", "by")


def free_port() -> int:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return int(held.getsockname()[1])


def lay(folder: Path, name: str, port: int, seeds: list[int], *keys: str, **more: Any) -> Path:
    home = folder / name
    home.mkdir(exist_ok=True)
    (home / "keys").touch(0o600)
    (home / "keys").write_text("\n".join(keys or (K1,)))
    told: dict[str, Any] = {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "seeds": [f"127.0.0.1:{seed}" for seed in seeds],
        "keys": "keys",
        "probe_ms": 100,
        "state": "state",
    }
    (home / "fleet.toml").write_text(
        "".join(f"{key} = {json.dumps(value)}\n" for key, value in (told | more).items())
    )
    return home / "fleet.toml"


@asynccontextmanager
async def peers(folder: Path, count: int, *keys: str, **more: Any) -> AsyncIterator[list[FleetMember]]:
    ports = [free_port() for _ in range(count)]
    made = []
    for n, port in enumerate(ports):
        file = lay(folder, f"n{n}", port, ports, *keys, **more)
        made.append(FleetMember(read_fleet(str(file), "x"), asyncio.get_running_loop()))
        made[-1].attach(lambda: True)
        await made[-1].listen()
        made[-1].start()
    try:
        yield made
    finally:
        await asyncio.gather(*(one.close() for one in made if one._udp is not None))


def all_know(made: list[FleetMember], count: int) -> bool:
    return all(one.fleet.size == count and not one.fleet.suspects() for one in made)


def send(to: FleetMember, data: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.sendto(data, to._settings.listen)


def kill(one: FleetMember) -> None:
    """End a node without a word: sockets are closed, timers and tasks called off, as after SIGKILL."""
    assert one._udp is not None and one._server is not None and one._store is not None
    one.fleet.left = True  # an exchange that is under way is not answered any more
    one._loop.remove_reader(one._udp)
    one._udp.close()
    one._udp = None
    one._server.close()
    for timer in (one._timer, *one._timers.values()):
        if timer is not None:
            timer.cancel()
    for task in one._tasks:
        task.cancel()
    one._store.close()


def test_three_find_each_other_one_leaves_one_dies_and_returns_with_a_higher_incarnation(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with peers(tmp_path, 3) as made:
            await until(lambda: all_know(made, 3))
            await until(lambda: all(e.phase is Phase.SERVING for e in made[0].fleet.members.values()))
            await made[2].close()
            await until(lambda: all(one.fleet.members["n2"].status is Status.LEFT for one in made[:2]))
            page = json.loads(made[0].page()[1])
            assert page["state"] == "joined" and page["members"][1]["status"] == "left"
            again = FleetMember(made[2]._settings, asyncio.get_running_loop())
            assert again.fleet.me.incarnation > made[2].fleet.me.incarnation  # from its disk
            await again.listen()
            again.start()
            await until(lambda: all_know([*made[:2], again], 3))
            kill(again)
            await until(lambda: all(one.fleet.members["n2"].status is Status.LOST for one in made[:2]))

    run(test())


def test_keys_rotate_while_half_have_the_new_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with peers(tmp_path, 3, K1, K2) as made:
            await until(lambda: all_know(made, 3))
            (tmp_path / "n0" / "keys").write_text(f"{K3}\n{K1}")  # the new one first, the old still valid
            (tmp_path / "n1" / "keys").write_text("k1=short")
            for one in made:
                one._check_keys()
            assert made[0]._sealer.names == ["k3", "k1"] and made[1]._sealer.names == ["k1", "k2"]
            got = [one.counts["got"] for one in made]
            await until(lambda: all(one.counts["got"] > n + 12 for one, n in zip(made, got, strict=True)))
            assert all_know(made, 3)
            assert made[0]._key_by_peer and not made[1]._key_by_peer  # the others still sign with k1

    run(test())


def test_floods_and_nonsense_are_counted_with_a_line_and_change_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shell, "MAX_READS_PER_S", 400.0)

    async def test() -> None:
        async with peers(tmp_path, 2) as made:
            await until(lambda: all_know(made, 2))
            good = made[1]._sealer.seal(wire.encode(Message(Kind.PING, made[1].fleet.me, 0, 1)))
            for data in (b"", b"x" * 64_000, good[:30], good[:-1] + b"!", good.replace(wire.MAGIC, b"no", 1)):
                send(made[0], data)
            await until(
                lambda: made[0].counts["refused_foreign"] >= 2 and made[0].counts["refused_forged"] >= 2
            )
            for _ in range(20):
                for _ in range(100):
                    send(made[0], b"y" * 1_000)
                await asyncio.sleep(0.01)
            await until(lambda: made[0].counts["refused_flood"] > 0)
            reader, writer = await asyncio.open_connection(*made[0]._settings.listen)
            writer.write(b"\xff\xff\xff\xff")
            assert await asyncio.wait_for(reader.read(1), LIMIT_S) == b""
            writer.close()
            await until(lambda: all_know(made, 2))
        lines = [record.message for record in caplog.records if "rejected" in record.message]
        assert len(lines) == len(set(lines)) <= 4

    run(test())


def test_messages_come_back_whole_and_later_formats_fields_are_handed_on() -> None:
    message = Message(
        Kind.PING_REQUEST, ME, 3, 4, 5, replace(ME, name="t", by=""), (replace(ME, zone=""),) * 3
    )
    assert wire.decode(wire.encode(message)) == message
    later = msgpack.unpackb(wire.entry_bytes(ME)) | {"q": [1, 2], "f": "resting"}
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
def test_any_bytes_are_refused_or_read(data: bytes) -> None:
    with pytest.raises(wire.DatagramError):
        wire.decode(data)


HERE = 'listen = "127.0.0.1:1"\n'
BAD = {
    "listen = 3": "'listen' must be a string",
    'listen = "a:1"': "listen: 'a' is not an IP address",
    HERE + "odd = 1": "'odd' is not a known field",
    'listen = "0.0.0.0:1"\nkeys = "k"': "'advertise' must",
    HERE: "'keys' is missing",
    HERE + 'keys = "k"\nprobe_ms = 1': "'probe_ms'",
    HERE + 'keys = "k"\nseeds = ["1"]': "no address",
    HERE + 'keys = "k"\nmost = 1': "'most'",
}


@pytest.mark.parametrize(("text", "says"), BAD.items())
def test_a_bad_file_is_told_in_a_line_with_its_field(text: str, says: str, tmp_path: Path) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(text)
    with pytest.raises(ConfigError, match=r"fleet\.toml: ") as caught:
        read_fleet(str(file), "n0")
    assert says in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "mode"), [(K1, 0o644), ("k1=" + "s" * 31, 0o600), ("", 0o600), ("\n".join((K1, K2, K3)), 0o600)]
)
def test_a_bad_key_file_is_told_without_its_secrets(text: str, mode: int, tmp_path: Path) -> None:
    file = tmp_path / "keys"
    file.write_text(text)
    file.chmod(mode)
    with pytest.raises(ConfigError) as caught:
        read_key_file(file)
    assert "111" not in str(caught.value) and "sss" not in str(caught.value)


def test_a_plain_node_imports_nothing_of_it() -> None:
    code = (
        "import sys, orchidferry.__main__, orchidferry.node.node; "
        "bad = [m for m in sys.modules if m.startswith(("
        "'msgpack', 'orchidferry.node.fleet', 'orchidferry.balancing.fleet', "
        "'orchidferry.node.state_store'))]; "
        "sys.exit(str(bad) if bad else 0)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr


def test_a_program_takes_part_tells_its_door_and_leaves_on_sigterm(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        server, port, door = Server(), free_port(), free_port()
        async with peers(tmp_path, 1) as made, world(tmp_path, server, start=False) as scene:
            file = lay(tmp_path, "real", port, [made[0]._settings.listen[1]], journal="journal")
            monkeypatch.setenv("ORCHIDFERRY_FLEET", str(file))
            scene.config["admin_addr"] = f"127.0.0.1:{door}"
            scene.path.write_text(json.dumps(scene.config))
            program = await Program.start(scene)
            await until(lambda: all_know(made, 2) and made[0].fleet.members["real"].phase is Phase.SERVING)
            found = await status.ask(("127.0.0.1", door))
            assert [member["name"] for member in found["members"]] == ["n0"]
            assert (await scene.ask("one")).status == 200
            program.process.terminate()
            await until(lambda: made[0].fleet.members["real"].status is Status.LEFT)
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0
            text = (tmp_path / "real" / "journal").read_text()
            lines = [json.loads(line) for line in text.splitlines()]
            assert {line["kind"] for line in lines} == {"self", "view"}
            assert lines[-1]["status"] == "left" and all(line["t_ms"] and line["wall_ms"] for line in lines)

    run(test())
    assert os.environ["ORCHIDFERRY_FLEET"]
