"""A controller's disk: what was acknowledged as written is there afterwards, whatever failed in between."""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import pytest
from loguru import logger

from orchidferry.mesh.storage import store as store_module
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.storage.store import Store
from tests.mesh.storage.fakes import (
    Failing,
    Loop,
    Turns,
    close,
    write,
)


def test_acknowledged_writes_are_on_disk(tmp_path: Path) -> None:
    async def main() -> None:
        rng = random.Random(5)
        model = dict[bytes, bytes]()
        for _ in range(3):
            store = Store(str(tmp_path), asyncio.get_running_loop())
            assert dict(store.read_all("slips")) == model
            disk: Any = Failing(store._env)
            store._env = disk
            for n in range(6):
                if n == 3:
                    disk.times = 1
                batch: list[RecordWrite] = []
                for _ in range(rng.randrange(1, 5)):
                    value = b"%d" % rng.randrange(99) if rng.random() < 0.7 else None
                    batch.append(("slips", b"k%d" % rng.randrange(6), value))
                done = await write(store, batch)
                assert done is (n != 3)
                assert bool(store.failing_since_s) is not done
                for _, key, value in batch if done else []:
                    if value is None:
                        model.pop(key, None)
                    else:
                        model[key] = value
            close(store)

    asyncio.run(main())


def test_writes_are_acknowledged_in_order_and_failed_ones_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        store = Store(str(tmp_path), asyncio.get_running_loop())
        disk: Any = Failing(store._env)
        store._env = disk
        assert await write(store, [("about", b"a", b"1")])
        disk.times = 1
        assert not await write(store, [("about", b"a", b"2")])
        assert store.read("about", b"a") == b"1"
        order: list[int] = []
        for n in range(50):
            store.write([("about", b"a", b"%d" % n)], lambda done, n=n: order.append(n))  # type: ignore[misc]
        assert await write(store, [("about", b"b", None)])
        assert order == list(range(50)) and store.read("about", b"a") == b"49"
        close(store)

    asyncio.run(main())


@pytest.fixture
def stage(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Loop, Any, Any]]:
    monkeypatch.setattr(store_module, "PROBE_INTERVAL_S", 0.001)
    monkeypatch.setattr(store_module, "COMMIT_RETRY_S", 0.001)
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    disk: Any = Failing(store._env)
    store._env = disk
    yield loop, store, disk
    disk.hung.set()
    close(store)


@pytest.fixture
def lockstep(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Loop, Any, Any]]:
    """A stage whose thread tries the disk once for each `turn` of `store._wake`."""
    loop: Any = Loop()
    with monkeypatch.context() as patch:
        patch.setattr(threading, "Condition", Turns)
        store = Store(str(tmp_path), loop)
    disk: Any = Failing(store._env)
    store._env = disk
    yield loop, store, disk
    disk.hung.set()
    close(store)


@pytest.mark.parametrize("how", ["hangs", "refuses", "panics"])
def test_a_degraded_disk_is_logged_once_and_again_when_it_recovers(lockstep: Any, how: str) -> None:
    loop, store, disk = lockstep
    lines: list[str] = []
    logger.add(lines.append, format="{message}")
    told: list[bool] = []
    if how == "hangs":
        disk.hung.clear()
    else:
        disk.times, disk.error = 1, (lmdb.PanicError if how == "panics" else lmdb.DiskError)("refused")
    store.write([("slips", b"a", b"1")], told.append)
    assert disk.reached.wait(10.0)  # so that the second write is one of its own
    loop.pass_(0.5)
    if how == "hangs":
        store.write([("slips", b"b", b"1")], told.append)
        assert store.longest_wait_s(loop.now) == 0.5 and not store.is_degraded
        loop.pass_(0.2)
        assert store.longest_wait_s(loop.now) == pytest.approx(0.7) and store.is_degraded and len(lines) == 1
        disk.hung.set()
    loop.step()
    if how != "hangs":
        store._wake.turn()
    loop.step()  # the second write, or the first probe
    assert store.longest_wait_s(loop.now) == 0 and store.is_degraded
    assert told == ([True, True] if how == "hangs" else [False])
    since = loop.now
    while store.is_degraded:  # with nothing to write the seal alone is tried
        store._wake.turn()
        loop.step(0.3)
    assert 1.2 <= loop.now - since < 1.6
    store.write([("slips", b"c", b"1")], told.append)
    while len(told) < 2 + (how == "hangs"):
        loop.step()
    assert told[-1] and not store.is_degraded and store.read("slips", b"c") == b"1"
    first_words = [line.partition(" ")[2].split(" ")[0] for line in lines]
    assert first_words == [{"hangs": "a"}.get(how, "commit"), "the"]
    assert "keeps up again" in lines[1]


def test_a_slow_disk_is_not_degraded(stage: Any) -> None:
    loop, store, disk = stage
    for n in range(60):
        disk.hung.clear()
        store.write([("slips", b"%d" % n, b"1")])
        loop.pass_(0.06)  # a commit of two syncs at 30 ms
        store.write([("slips", b"x%d" % n, b"1")])  # waits for the next one
        disk.hung.set()
        loop.step()
        loop.pass_(0.06)
        while store.longest_wait_s(loop.now):
            loop.step()
        assert not store.is_degraded


def test_the_queue_is_bounded_and_unawaited_deletes_give_way(
    stage: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop, store, disk = stage
    monkeypatch.setattr(store_module, "MAX_PENDING_BYTES", 20_000)
    disk.hung.clear()
    store.write([("slips", b"first", b"1")])
    told: list[bool] = []
    for n in range(400):
        store.write([("slips", b"gone %d" % n, None)])
        if n % 20 == 0:
            store.write([("slips", b"k%d" % n, b"x" * 1_500)], told.append)
    assert store._pending_bytes <= 20_000
    while not loop.told.empty():
        loop.step()
    refused = len(told)
    assert set(told) == {False} and 20 - 13 <= refused < 20  # 12 of them fit beside nothing else
    disk.hung.set()
    while len(told) < 20 or store._pending_bytes:
        loop.step()
    kept = {key for key, _ in store.read_all("slips")}
    assert told.count(True) == 20 - refused == len(kept) - 1


def test_a_full_map_accepts_votes_and_a_delete_of_everything(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "MAP_BYTES", 2 * 1024 * 1024)
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    sizes, told = random.Random(3), list[bool]()
    while len(told) < 2_000 and (not told or told[-1]):  # twenty at a time, until one is refused
        here = len(told)
        for n in range(here, here + 20):
            value = b"x" * sizes.choice((600, 900, 900, 9_000))
            store.write([("slips", b"%04d" % n, value)], told.append)
        while len(told) < here + 20:
            loop.step()
    assert not store.accepts_new_keys and len(told) < 2_000 and not store.is_degraded

    def put(name: str, key: bytes, value: bytes | None) -> bool:
        asked = len(told)
        store.write([(name, key, value)], told.append)
        while len(told) == asked:
            loop.step()
        return told[-1]

    assert put("about", b"kept", b"v" * 4_000)
    commits = list[int]()
    transact = store._transact

    def counted(jobs: list[Any]) -> list[bool]:
        commits.append(len(jobs))
        return transact(jobs)

    monkeypatch.setattr(store, "_transact", counted)
    store.write([("slips", key, None) for key, _ in store.read_all("slips")[::2]])
    assert put("about", b"kept", b"w") and len(commits) > 2  # more pages change than are free
    assert {int(key) % 2 for key, _ in store.read_all("slips")} == {1} and store.accepts_new_keys
    assert put("slips", b"new", b"x") and not store.is_degraded
    close(store)
