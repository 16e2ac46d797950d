"""Reload of the configuration on SIGHUP, which must not disturb pending requests, and discovery failures."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path

import pytest

from orchidferry.node import discovery
from orchidferry.node.server_listing import ServerListing
from tests.node.peers import LIMIT_S, DiscoveryServer, Server, World, request, run, until, world
from tests.node.test_node import Program


def write(scene: World, registry: DiscoveryServer) -> None:
    scene.path.write_text(json.dumps(scene.config | {"discovery": registry.address}))


async def log_line(program: Program, words: bytes) -> None:
    assert program.process.stderr is not None
    while True:
        line = await asyncio.wait_for(program.process.stderr.readline(), LIMIT_S)
        assert line, "the program ended"
        if words in line:
            return


def test_sighup_applies_a_new_discovery_address_and_keeps_pending_requests(tmp_path: Path) -> None:
    """SIGHUP had no handler, so the process ended and its pending requests were lost."""

    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        old.gate.clear()
        other = DiscoveryServer()
        await new.start()
        await other.start()
        # The other discovery service has its own version numbers.
        other.whole = [new.entry()]
        other.index = 1
        async with world(tmp_path, old, start=False) as scene:
            program = await Program.start(scene)
            client = await scene.client()
            client.write(request("held", "pay"))
            await until(lambda: len(old.seen) == 1)

            scene.path.write_text("{")
            program.process.send_signal(signal.SIGHUP)
            await log_line(program, b"the old configuration stays")

            write(scene, other)
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: len(other.seen) == 2)
            watch = f"/api/targets?index=1&wait={discovery.WATCH_MS}"
            assert [seen.target for seen in other.seen] == ["/api/targets", watch]

            old.gate.set()
            assert (await client.read()).status == 200
            assert (await client.ask("next")).status == 200  # on the same connection
            assert [seen.id for seen in new.seen] == ["next"]

            write(scene, scene.registry)  # and back again
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: len(scene.registry.seen) == 3)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGHUP)
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0
        await new.stop()
        await other.stop()

    run(test())


def test_late_updates_from_the_old_discovery_address_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        server, ghost = Server(), Server(name="ghost")
        other = DiscoveryServer()
        await ghost.start()
        await other.start()
        async with world(tmp_path, server) as scene:
            other.whole = [server.entry()]
            await until(lambda: len(scene.registry.seen) == 1)
            assert scene.node is not None
            host, _, port = other.address.rpartition(":")
            scene.node._discovery.move((host, int(port)))
            scene.registry.tell(ghost.entry(), snapshot=True)
            await until(lambda: len(other.seen) == 2)
            for n in range(4):
                assert (await scene.ask(f"{n}")).status == 200
            assert not ghost.seen and len(server.seen) == 4
        await ghost.stop()
        await other.stop()

    run(test())


def test_a_connection_attempt_to_discovery_that_hangs_times_out_and_is_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A hanging connection attempt used up the whole 21.5 s of a watch."""
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_S", 0.1)

    async def test() -> None:
        server = Server()
        with socket.socket() as hung, socket.socket() as filler:
            hung.bind(("127.0.0.1", 0))
            hung.listen(0)  # the backlog is full after one connection: the next handshake hangs
            await asyncio.to_thread(filler.connect, hung.getsockname())
            async with world(tmp_path, server) as scene:
                assert scene.node is not None
                failed: list[str] = []
                on_news = scene.node._discovery._on_update

                def note(news: ServerListing | None, why: str) -> None:
                    failed.append(why)
                    on_news(news, why)

                scene.node._discovery._on_update = note
                scene.node._discovery.move(hung.getsockname())
                await until(lambda: sum("can't connect" in why for why in failed) >= 2)
                assert (await scene.ask("a")).status == 200

    run(test())
