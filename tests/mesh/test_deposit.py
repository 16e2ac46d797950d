"""The keeper's disk: what was told as written is there after it, whatever failed in between."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import socket
from pathlib import Path
from typing import Any

import lmdb

from athenaeum import parts
from athenaeum.archive import Archive
from athenaeum.boot import check_boot
from athenaeum.circulation import Circulation
from athenaeum.deposit import Deposit, Put
from nickelbridge.register import Value, Voter
from tests.mesh.test_records import BOOT


async def write(deposit: Deposit, puts: list[Put]) -> bool:
    told = asyncio.get_running_loop().create_future()
    deposit.write(puts, told.set_result)
    return await asyncio.wait_for(told, 10.0)


def close(deposit: Deposit) -> None:
    deposit.close()
    deposit._env.close()


class Failing:
    """A disk that refuses every second transaction for a while."""

    def __init__(self, env: Any) -> None:
        self.env, self.times = env, 0

    def begin(self, **options: Any) -> Any:
        if options.get("write") and self.times:
            self.times -= 1
            raise lmdb.MapFullError("full")
        return self.env.begin(**options)

    def close(self) -> None:
        self.env.close()


def test_what_was_told_as_written_is_there(tmp_path: Path) -> None:
    async def main() -> None:
        rng, model = random.Random(5), dict[bytes, bytes]()
        for _ in range(3):
            deposit = Deposit(str(tmp_path), asyncio.get_running_loop())
            assert dict(deposit.all("slips")) == model
            disk: Any = Failing(deposit._env)
            deposit._env = disk
            for n in range(6):
                if n == 3:
                    disk.times = 1
                batch: list[Put] = []
                for _ in range(rng.randrange(1, 5)):
                    value = b"%d" % rng.randrange(99) if rng.random() < 0.7 else None
                    batch.append(("slips", b"k%d" % rng.randrange(6), value))
                done = await write(deposit, batch)
                assert done is (n != 3)
                assert bool(deposit.failing_since_s) is not done
                for _, key, value in batch if done else []:
                    if value is None:
                        model.pop(key, None)
                    else:
                        model[key] = value
            close(deposit)

    asyncio.run(main())


def test_writes_are_told_in_order_and_failed_ones_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        deposit = Deposit(str(tmp_path), asyncio.get_running_loop())
        disk: Any = Failing(deposit._env)
        deposit._env = disk
        assert await write(deposit, [("about", b"a", b"1")])
        disk.times = 1
        assert not await write(deposit, [("about", b"a", b"2")])
        assert deposit.read("about", b"a") == b"1"
        order: list[int] = []
        for n in range(50):
            deposit.write([("about", b"a", b"%d" % n)], lambda done, n=n: order.append(n))  # type: ignore[misc]
        assert await write(deposit, [("about", b"b", None)])
        assert order == list(range(50)) and deposit.read("about", b"a") == b"49"
        close(deposit)

    asyncio.run(main())


def keeper(folder: Path, port: int = 1) -> Archive:
    boot = dataclasses.replace(
        check_boot(BOOT), ip="127.0.0.1", seeds=("127.0.0.1",), first_start=True, internal_port=port,
        listen={"control": ("127.0.0.1", 0)}, data_dir=str(folder),
    )  # fmt: skip
    return Archive(boot, asyncio.get_running_loop())


def test_a_keepers_lives_have_one_memory_and_ballots_of_their_own(tmp_path: Path) -> None:
    """Proposals of two lives under one ballot would pass for one state."""

    async def main() -> None:
        lives = []
        for _ in range(2):
            archive = keeper(tmp_path)
            lives.append((archive._folio.voter, archive._folio.proposer.name))
            close(archive._deposit)
        assert lives[0][0] == lives[1][0] and lives[0][1] != lives[1][1]

    asyncio.run(main())


def test_a_keeper_that_was_put_out_forgets_that_it_had_caught_up(tmp_path: Path) -> None:
    async def main() -> None:
        archive = keeper(tmp_path)
        part = archive._parts[1]
        assert part.grants(0)
        know = ["know", parts.pack_value(Value(1, (Voter("127.0.0.2", 1),), parts.Body(1)))]
        archive._do(part, part.heard(None, know, 0.0))
        archive._do(part, part.tick(10.0))
        assert await write(archive._deposit, [])  # and so is what was written before
        assert not part.standing.caught_up and archive._deposit.read("about", b"caught/1") is None
        assert archive._parts[2].standing.caught_up
        close(archive._deposit)

    asyncio.run(main())


def test_a_key_is_granted_once_over_the_wire(tmp_path: Path) -> None:
    async def main() -> None:
        loop, stopping = asyncio.get_running_loop(), asyncio.Event()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        archive = keeper(tmp_path, port)
        serving = loop.create_task(archive.run(stopping))
        news = Circulation(archive._boot, loop, lambda members: None, lambda revision, raw: None)
        news.start()

        async def claim(holder: str) -> tuple[str, Any]:
            told = loop.create_future()
            news.claim("k", holder, 8.0, lambda what, answer: told.set_result((what, answer)))
            return await asyncio.wait_for(told, 10.0)

        assert await claim("t1") == ("yours", None)
        assert await claim("t2") == ("held", None)
        news.claims.done("k", "t1", [200, b"x", []])
        assert await claim("t3") == ("held", [200, b"x", []])
        stopping.set()
        await asyncio.wait_for(serving, 10.0)
        archive._deposit._env.close()

    asyncio.run(main())
