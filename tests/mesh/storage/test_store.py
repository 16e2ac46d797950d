"""The store: acknowledged writes are on disk, failed writes change nothing, and the queue is bounded."""

from __future__ import annotations

import asyncio
import functools
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
from orchidferry.mesh.storage.write_batch import PendingWrite, SplittingCommitter
from tests.mesh.storage.fakes import (
    FailingDisk,
    Loop,
    ManualCondition,
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
            disk: Any = FailingDisk(store._env)
            store._env = disk
            for n in range(6):
                if n == 3:
                    disk.failures_left = 1
                batch: list[RecordWrite] = []
                for _ in range(rng.randrange(1, 5)):
                    value = b"%d" % rng.randrange(99) if rng.random() < 0.7 else None
                    batch.append(("slips", b"k%d" % rng.randrange(6), value))
                written = await write(store, batch)
                assert written is (n != 3)
                assert bool(store.failing_since_s) is not written
                for _, key, value in batch if written else []:
                    if value is None:
                        model.pop(key, None)
                    else:
                        model[key] = value
            close(store)

    asyncio.run(main())


def test_writes_are_acknowledged_in_order_and_failed_ones_change_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        store = Store(str(tmp_path), asyncio.get_running_loop())
        disk: Any = FailingDisk(store._env)
        store._env = disk
        assert await write(store, [("about", b"a", b"1")])
        disk.failures_left = 1
        assert not await write(store, [("about", b"a", b"2")])
        assert store.read("about", b"a") == b"1"
        order: list[int] = []
        for n in range(50):
            store.write([("about", b"a", b"%d" % n)], lambda written, n=n: order.append(n))  # type: ignore[misc]
        assert await write(store, [("about", b"b", None)])
        assert order == list(range(50)) and store.read("about", b"a") == b"49"
        close(store)

    asyncio.run(main())


@pytest.fixture
def store_on_failing_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Loop, Any, Any]]:
    monkeypatch.setattr(store_module, "PROBE_INTERVAL_S", 0.001)
    monkeypatch.setattr(store_module, "COMMIT_RETRY_S", 0.001)
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    disk: Any = FailingDisk(store._env)
    store._env = disk
    yield loop, store, disk
    disk.may_commit.set()
    close(store)


@pytest.fixture
def store_in_lockstep(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[Loop, Any, Any]]:
    """A store on a failing disk; its thread retries once for each `expire_one_wait` of `store._wake`."""
    loop: Any = Loop()
    with monkeypatch.context() as patch:
        patch.setattr(threading, "Condition", ManualCondition)
        store = Store(str(tmp_path), loop)
    disk: Any = FailingDisk(store._env)
    store._env = disk
    yield loop, store, disk
    disk.may_commit.set()
    close(store)


@pytest.mark.parametrize("failure", ["hangs", "refuses", "panics"])
def test_a_degraded_disk_is_logged_once_and_again_when_it_recovers(
    store_in_lockstep: Any, failure: str
) -> None:
    loop, store, disk = store_in_lockstep
    lines: list[str] = []
    logger.add(lines.append, format="{message}")
    results: list[bool] = []
    if failure == "hangs":
        disk.may_commit.clear()
    else:
        disk.failures_left, disk.error = (
            1,
            (lmdb.PanicError if failure == "panics" else lmdb.DiskError)("refused"),
        )
    store.write([("slips", b"a", b"1")], results.append)
    assert disk.commit_started.wait(10.0)  # so that the second write gets a commit of its own
    loop.advance(0.5)
    if failure == "hangs":
        store.write([("slips", b"b", b"1")], results.append)
        assert store.longest_wait_s(loop.now) == 0.5 and not store.is_degraded
        loop.advance(0.2)
        assert store.longest_wait_s(loop.now) == pytest.approx(0.7) and store.is_degraded and len(lines) == 1
        disk.may_commit.set()
    loop.step()
    if failure != "hangs":
        store._wake.expire_one_wait()
    loop.step()  # result of the second write, or of the first probe
    assert store.longest_wait_s(loop.now) == 0 and store.is_degraded
    assert results == ([True, True] if failure == "hangs" else [False])
    since = loop.now
    while store.is_degraded:  # with no write pending, probes write only the seal
        store._wake.expire_one_wait()
        loop.step(0.3)
    assert 1.2 <= loop.now - since < 1.6
    store.write([("slips", b"c", b"1")], results.append)
    while len(results) < 2 + (failure == "hangs"):
        loop.step()
    assert results[-1] and not store.is_degraded and store.read("slips", b"c") == b"1"
    assert [line.partition(" ")[2].split(" ")[0] for line in lines] == [
        {"hangs": "a"}.get(failure, "commit"),
        "the",
    ]
    assert "keeps up again" in lines[1]


@pytest.mark.parametrize("key", [b"", b"k" * 512, b"k" * 16_000])
def test_a_record_that_no_disk_can_store_fails_alone(tmp_path: Path, key: bytes) -> None:
    """Its error counted as one of the disk: all writes of its batch failed, and the store paused."""

    async def main() -> None:
        store = Store(str(tmp_path), asyncio.get_running_loop())
        disk: Any = FailingDisk(store._env)
        store._env = disk
        disk.may_commit.clear()
        results: list[tuple[str, bool]] = []

        def report(name: str, ok: bool) -> None:
            results.append((name, ok))

        for name in ("before", "unstorable", "after"):
            written: list[RecordWrite] = [
                ("slips", name.encode(), b"1"),
                ("slips", key if name == "unstorable" else b"k", b"1"),
            ]
            store.write(written, functools.partial(report, name))
        disk.may_commit.set()
        assert await write(store, [("slips", b"last", b"1")])
        assert sorted(results) == [("after", True), ("before", True), ("unstorable", False)]
        assert {key for key, _ in store.read_all("slips")} == {b"after", b"before", b"k", b"last"}
        assert not store.is_degraded and not store.failing_since_s
        close(store)

    asyncio.run(main())


@pytest.mark.parametrize("position", [0, 3, 6])
def test_an_error_of_one_write_is_reported_for_that_write_only(position: int) -> None:
    bad = PendingWrite([("slips", b"bad", b"1")], None, 0.0, 0)
    good = [PendingWrite([("slips", b"%d" % n, b"1")], None, 0.0, 0) for n in range(6)]

    def transact(writes: list[PendingWrite]) -> list[bool]:
        if bad in writes:
            raise lmdb.BadValsizeError("refused")
        return [True] * len(writes)

    results = SplittingCommitter(transact).commit([*good[:position], bad, *good[position:]])
    assert results == [n != position for n in range(7)]


def test_a_slow_disk_is_not_degraded(store_on_failing_disk: Any) -> None:
    loop, store, disk = store_on_failing_disk
    for n in range(60):
        disk.may_commit.clear()
        store.write([("slips", b"%d" % n, b"1")])
        loop.advance(0.06)  # a commit takes two syncs of 30 ms
        store.write([("slips", b"x%d" % n, b"1")])  # waits for the next commit
        disk.may_commit.set()
        loop.step()
        loop.advance(0.06)
        while store.longest_wait_s(loop.now):
            loop.step()
        assert not store.is_degraded


def test_the_queue_is_bounded_and_drops_unawaited_deletes_first(
    store_on_failing_disk: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop, store, disk = store_on_failing_disk
    monkeypatch.setattr(store_module, "MAX_PENDING_BYTES", 20_000)
    disk.may_commit.clear()
    store.write([("slips", b"first", b"1")])
    results: list[bool] = []
    for n in range(400):
        store.write([("slips", b"gone %d" % n, None)])
        if n % 20 == 0:
            store.write([("slips", b"k%d" % n, b"x" * 1_500)], results.append)
    assert store._pending_bytes <= 20_000
    while not loop.calls.empty():
        loop.step()
    rejected = len(results)
    # 12 of the 20 writes fit in an otherwise empty queue.
    assert set(results) == {False} and 20 - 13 <= rejected < 20
    disk.may_commit.set()
    while len(results) < 20 or store._pending_bytes:
        loop.step()
    stored = {key for key, _ in store.read_all("slips")}
    assert results.count(True) == 20 - rejected == len(stored) - 1


def test_a_full_map_accepts_votes_and_a_delete_of_everything(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, "MAP_BYTES", 2 * 1024 * 1024)
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    sizes, results = random.Random(3), list[bool]()
    # Twenty writes at a time, until one is rejected.
    while len(results) < 2_000 and (not results or results[-1]):
        begun = len(results)
        for n in range(begun, begun + 20):
            value = b"x" * sizes.choice((600, 900, 900, 9_000))
            store.write([("slips", b"%04d" % n, value)], results.append)
        while len(results) < begun + 20:
            loop.step()
    assert not store.accepts_new_keys and len(results) < 2_000 and not store.is_degraded

    def put(name: str, key: bytes, value: bytes | None) -> bool:
        before = len(results)
        store.write([(name, key, value)], results.append)
        while len(results) == before:
            loop.step()
        return results[-1]

    assert put("about", b"kept", b"v" * 4_000)
    commits = list[int]()
    transact = store._transact

    def count_commits(writes: list[Any]) -> list[bool]:
        commits.append(len(writes))
        return transact(writes)

    monkeypatch.setattr(store, "_transact", count_commits)
    store.write([("slips", key, None) for key, _ in store.read_all("slips")[::2]])
    assert put("about", b"kept", b"w") and len(commits) > 2  # the deletes change more pages than are free
    assert {int(key) % 2 for key, _ in store.read_all("slips")} == {1} and store.accepts_new_keys
    assert put("slips", b"new", b"x") and not store.is_degraded
    close(store)
