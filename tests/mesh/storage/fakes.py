"""What tests of a store need: a loop with its clock in the test's hands, a disk that fails, controllers."""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb

from orchidferry.balancing.register import (
    AcceptorState,
    Value,
    Voter,
)
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.storage.environment import DATABASE_NAMES, open_environment
from orchidferry.mesh.storage.record_format import RecordWrite, add_checksum, pack, write_seal
from orchidferry.mesh.storage.store import Store


async def write(store: Store, puts: list[RecordWrite]) -> bool:
    told = asyncio.get_running_loop().create_future()
    store.write(puts, told.set_result)
    return await asyncio.wait_for(told, 10.0)


def close(store: Store) -> None:
    store.close()
    store._env.close()


class Failing:
    """A disk that refuses or hangs for a while."""

    def __init__(self, env: Any) -> None:
        self.env = env
        self.times = 0
        self.error: Exception = lmdb.DiskError("refused")
        self.hung, self.reached = threading.Event(), threading.Event()
        self.hung.set()

    def begin(self, **options: Any) -> Any:
        if options.get("write") and "parent" not in options:
            self.reached.set()
            assert self.hung.wait(10.0)
            if self.times:
                self.times -= 1
                raise self.error
        return self.env.begin(**options)

    def close(self) -> None:
        self.env.close()


class Loop:
    """What a store needs of a loop, with the clock in the test's hands."""

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
            due = self.timer
            self.timer = None
            due[1]()


class Turns(threading.Condition):
    """A condition whose timed waits run out when the test says so, not by real time."""

    over = 0  # timed waits that may run out

    def wait(self, timeout: float | None = None) -> bool:
        if timeout is not None and self.over:
            self.over -= 1
            return False
        super().wait()
        if timeout is not None and self.over:
            self.over -= 1
            return False
        return True

    def wait_for(self, predicate: Callable[[], Any], timeout: float | None = None) -> Any:
        return predicate()

    def turn(self) -> None:
        """Let one timed wait run out."""
        with self:
            self.over += 1
            self.notify()


FOUNDERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


BODY = shard_state.Body(3, 7, b"{}", ((7, b"d"),), "10.0.0.2", 4)


OLD = Value(12, (Voter("10.0.0.1", 5), Voter("10.0.0.2", 6)), BODY)


KEPT = {
    n: AcceptorState(5, (9, "x"), (8, "y"), OLD) if n != 2 else AcceptorState(5) for n in shard_state.SHARDS
}


def fill_store(folder: Path, keys: int = 300) -> dict[bytes, bytes]:
    loop: Any = Loop()
    store = Store(str(folder), loop)
    rows = {b"k%d" % n: pack([f"t{n}", n, b"x" * (n % 7) * 40]) for n in range(keys)}
    for name, key, value in (
        *(put for n, kept in KEPT.items() for put in initial_records(n, kept, True)),
        ("about", b"founders", pack(list(FOUNDERS))),
        *(("slips", key, raw) for key, raw in rows.items()),
    ):
        store.write([(name, key, value)])
    close(store)
    return rows


def read_keys(folder: Path) -> dict[bytes, bytes]:
    loop: Any = Loop()
    store = Store(str(folder), loop)
    found = dict(store.read_all("slips"))
    close(store)
    return found


def change_behind_store(folder: Path, change: Any) -> None:
    """Change a store behind the store's back."""
    env = open_environment(str(folder))
    dbs = {name: env.open_db(name.encode()) for name in DATABASE_NAMES}
    with env.begin(write=True) as txn:
        change(txn, dbs)
    env.close()


def change_without_seal(txn: Any, dbs: Any) -> None:
    txn.put(b"k1", add_checksum("slips", b"k1", pack(["t1", 1, None])), db=dbs["slips"])


def misplace_record(txn: Any, dbs: Any) -> None:
    txn.put(b"k2", txn.get(b"k3", db=dbs["slips"]), db=dbs["slips"])
    write_seal(txn, dbs)


def replace_voter_record(value: Any) -> Any:
    def change(txn: Any, dbs: Any) -> None:
        txn.put(b"kept/0", add_checksum("about", b"kept/0", value), db=dbs["about"])
        write_seal(txn, dbs)

    return change


def delete_voter_records(txn: Any, dbs: Any) -> None:
    for n in shard_state.SHARDS:
        txn.delete(b"kept/%d" % n, db=dbs["about"])
    write_seal(txn, dbs)
