"""The keeper's disk: what was told as written is there after it, whatever failed in between."""

from __future__ import annotations

import asyncio
import dataclasses
import queue
import random
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import lmdb
import pytest
from loguru import logger

from athenaeum import deposit as deposits
from athenaeum import parts
from athenaeum.archive import Archive
from athenaeum.boot import Boot, check_boot
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
    """A disk that refuses or hangs for a while."""

    def __init__(self, env: Any) -> None:
        self.env, self.times = env, 0
        self.error: Exception = lmdb.DiskError("refused")
        self.hung = threading.Event()
        self.hung.set()

    def begin(self, **options: Any) -> Any:
        if options.get("write") and "parent" not in options:
            assert self.hung.wait(10.0)
            if self.times:
                self.times -= 1
                raise self.error
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


class Loop:
    """What a deposit needs of a loop, with the clock in the test's hands."""

    def __init__(self) -> None:
        self.now = 100.0
        self.told: queue.Queue[Callable[[], None]] = queue.Queue()
        self.timer: tuple[float, Callable[[], None]] | None = None

    def time(self) -> float:
        return self.now

    def call_soon_threadsafe(self, call: Callable[..., None], *words: Any) -> None:
        self.told.put(lambda: call(*words))

    call_soon = call_soon_threadsafe

    def call_later(self, after_s: float, call: Callable[[], None]) -> Any:
        self.timer = (self.now + after_s, call)
        return self

    def cancel(self) -> None:
        self.timer = None

    def step(self, by_s: float = 0.0) -> None:
        """The next word of the thread, `by_s` later."""
        self.told.get(timeout=10.0)()
        self.pass_(by_s)

    def pass_(self, by_s: float) -> None:
        self.now += by_s
        while self.timer is not None and self.timer[0] <= self.now:
            due, self.timer = self.timer, None
            due[1]()


@pytest.fixture
def stage(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Loop, Any, Any]]:
    monkeypatch.setattr(deposits, "PROBE_S", 0.001)
    monkeypatch.setattr(deposits, "RETRY_S", 0.001)
    loop: Any = Loop()
    deposit = Deposit(str(tmp_path), loop)
    disk: Any = Failing(deposit._env)
    deposit._env = disk
    yield loop, deposit, disk
    disk.hung.set()
    close(deposit)


@pytest.mark.parametrize("how", ["hangs", "refuses", "panics"])
def test_an_ailing_disk_is_told_once_and_until_it_keeps_up(stage: Any, how: str) -> None:
    loop, deposit, disk = stage
    lines: list[str] = []
    logger.add(lines.append, format="{message}")
    told: list[bool] = []
    if how == "hangs":
        disk.hung.clear()
    else:
        disk.times, disk.error = 1, (lmdb.PanicError if how == "panics" else lmdb.DiskError)("refused")
    deposit.write([("slips", b"a", b"1")], told.append)
    loop.pass_(0.5)
    if how == "hangs":
        deposit.write([("slips", b"b", b"1")], told.append)
        assert deposit.stuck_s(loop.now) == 0.5 and not deposit.ailing
        loop.pass_(0.2)
        assert deposit.stuck_s(loop.now) == pytest.approx(0.7) and deposit.ailing and len(lines) == 1
        disk.hung.set()
    loop.step()
    loop.step()  # the second write, or the first probe
    assert deposit.stuck_s(loop.now) == 0 and deposit.ailing
    assert told == ([True, True] if how == "hangs" else [False])
    since = loop.now
    while deposit.ailing:  # with nothing to write the seal alone is tried
        loop.step(0.3)
    assert 1.0 <= loop.now - since < 2.2
    deposit.write([("slips", b"c", b"1")], told.append)
    while len(told) < 2 + (how == "hangs"):
        loop.step()
    assert told[-1] and not deposit.ailing and deposit.read("slips", b"c") == b"1"
    assert [line.partition(" ")[2].split(" ")[0] for line in lines] == [{"hangs": "a"}.get(how, "the"), "the"]
    assert "keeps up again" in lines[1]


def test_a_disk_that_crawls_is_not_ailing(stage: Any) -> None:
    loop, deposit, disk = stage
    for n in range(60):
        disk.hung.clear()
        deposit.write([("slips", b"%d" % n, b"1")])
        loop.pass_(0.06)  # a commit of two syncs at 30 ms
        deposit.write([("slips", b"x%d" % n, b"1")])  # waits for the next one
        disk.hung.set()
        loop.step()
        loop.pass_(0.06)
        while deposit.stuck_s(loop.now):
            loop.step()
        assert not deposit.ailing


def test_what_waits_is_bounded_and_chores_give_way(stage: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    loop, deposit, disk = stage
    monkeypatch.setattr(deposits, "WAITING_BYTES", 20_000)
    disk.hung.clear()
    deposit.write([("slips", b"first", b"1")])
    told: list[bool] = []
    for n in range(400):
        deposit.write([("slips", b"gone %d" % n, None)])
        if n % 20 == 0:
            deposit.write([("slips", b"k%d" % n, b"x" * 1_500)], told.append)
    assert deposit._bytes <= 20_000
    while not loop.told.empty():
        loop.step()
    refused = len(told)
    assert set(told) == {False} and 20 - 13 <= refused < 20  # 12 of them fit beside nothing else
    disk.hung.set()
    while len(told) < 20 or deposit._bytes:
        loop.step()
    kept = {key for key, _ in deposit.all("slips")}
    assert told.count(True) == 20 - refused == len(kept) - 1


def test_a_full_map_takes_votes_and_deletes_of_all_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(deposits, "MAP_BYTES", 2 * 1024 * 1024)
    loop: Any = Loop()
    deposit = Deposit(str(tmp_path), loop)
    sizes, told = random.Random(3), list[bool]()
    while len(told) < 2_000 and (not told or told[-1]):  # twenty at a time, until one is refused
        here = len(told)
        for n in range(here, here + 20):
            value = b"x" * sizes.choice((600, 900, 900, 9_000))
            deposit.write([("slips", b"%04d" % n, value)], told.append)
        while len(told) < here + 20:
            loop.step()
    assert not deposit.room and len(told) < 2_000 and not deposit.ailing

    def put(name: str, key: bytes, value: bytes | None) -> bool:
        asked = len(told)
        deposit.write([(name, key, value)], told.append)
        while len(told) == asked:
            loop.step()
        return told[-1]

    assert put("about", b"kept", b"v" * 4_000)
    commits, transact = list[int](), deposit._transact

    def counted(jobs: list[Any]) -> list[bool]:
        commits.append(len(jobs))
        return transact(jobs)

    monkeypatch.setattr(deposit, "_transact", counted)
    deposit.write([("slips", key, None) for key, _ in deposit.all("slips")[::2]])
    assert put("about", b"kept", b"w") and len(commits) > 2  # more pages change than are free
    assert {int(key) % 2 for key, _ in deposit.all("slips")} == {1} and deposit.room
    assert put("slips", b"new", b"x") and not deposit.ailing
    close(deposit)


def keeper(folder: Path, port: int = 1) -> Archive:
    return Archive(boot_of(folder, port), asyncio.get_running_loop())


def boot_of(folder: Path, port: int = 1) -> Boot:
    return dataclasses.replace(
        check_boot(BOOT), ip="127.0.0.1", seeds=("127.0.0.1",), first_start=True, internal_port=port,
        listen={"control": ("127.0.0.1", 0)}, data_dir=str(folder),
    )  # fmt: skip


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
