"""Fakes and fixtures for tests of a store: a manually advanced event loop, a failing disk, a filled store."""

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


async def write(store: Store, records: list[RecordWrite]) -> bool:
    written = asyncio.get_running_loop().create_future()
    store.write(records, written.set_result)
    return await asyncio.wait_for(written, 10.0)


def close(store: Store) -> None:
    store.close()
    store._env.close()


class FailingDisk:
    """An LMDB environment whose write transactions fail or hang when the test says so.

    :ivar failures_left: how many of the next write transactions fail
    :ivar error: the error with which they fail
    :ivar may_commit: while this event is not set, write transactions hang
    :ivar commit_started: set once the first write transaction has started
    """

    def __init__(self, env: Any) -> None:
        self.env = env
        self.failures_left = 0
        self.error: Exception = lmdb.DiskError("refused")
        self.may_commit, self.commit_started = threading.Event(), threading.Event()
        self.may_commit.set()

    def begin(self, **options: Any) -> Any:
        if options.get("write") and "parent" not in options:
            self.commit_started.set()
            assert self.may_commit.wait(10.0)
            if self.failures_left:
                self.failures_left -= 1
                raise self.error
        return self.env.begin(**options)

    def close(self) -> None:
        self.env.close()


class Loop:
    """As much of an event loop as a store needs; the test advances its clock and runs its calls.

    :ivar now: time of the clock in seconds
    :ivar calls: calls that were scheduled and not run yet
    :ivar timer: due time and call of the only timer
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.calls: queue.Queue[Callable[[], None]] = queue.Queue()
        self.timer: tuple[float, Callable[[], None]] | None = None

    def time(self) -> float:
        return self.now

    def call_soon_threadsafe(self, call: Callable[..., None], *args: Any) -> None:
        self.calls.put(lambda: call(*args))

    call_soon = call_soon_threadsafe

    def call_later(self, after_s: float, call: Callable[[], None]) -> Any:
        self.timer = (self.now + after_s, call)
        return self

    def cancel(self) -> None:
        self.timer = None

    def step(self, by_s: float = 0.0) -> None:
        """Wait for the next call that the store's thread schedules, run it, and advance the clock."""
        self.calls.get(timeout=10.0)()
        self.advance(by_s)

    def advance(self, by_s: float) -> None:
        """Advance the clock, and run the timer's call if it is due."""
        self.now += by_s
        while self.timer is not None and self.timer[0] <= self.now:
            due = self.timer
            self.timer = None
            due[1]()


class ManualCondition(threading.Condition):
    """A condition whose timed waits expire when the test requests it, not in real time."""

    expiries_left = 0  # how many timed waits may expire

    def wait(self, timeout: float | None = None) -> bool:
        if timeout is not None and self.expiries_left:
            self.expiries_left -= 1
            return False
        super().wait()
        if timeout is not None and self.expiries_left:
            self.expiries_left -= 1
            return False
        return True

    def wait_for(self, predicate: Callable[[], Any], timeout: float | None = None) -> Any:
        return predicate()

    def expire_one_wait(self) -> None:
        """Let one timed wait expire."""
        with self:
            self.expiries_left += 1
            self.notify()


FOUNDERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


BODY = shard_state.Body(3, 7, b"{}", ((7, b"d"),), "10.0.0.2", 4)


STATE = Value(12, (Voter("10.0.0.1", 5), Voter("10.0.0.2", 6)), BODY)


ACCEPTOR_STATES = {
    n: AcceptorState(5, (9, "x"), (8, "y"), STATE) if n != 2 else AcceptorState(5) for n in shard_state.SHARDS
}


def fill_store(folder: Path, keys: int = 300) -> dict[bytes, bytes]:
    """Write a store with all shards and some operation keys; return the records of the keys."""
    loop: Any = Loop()
    store = Store(str(folder), loop)
    rows = {b"k%d" % n: pack([f"t{n}", n, b"x" * (n % 7) * 40]) for n in range(keys)}
    for name, key, value in (
        *(record for n, state in ACCEPTOR_STATES.items() for record in initial_records(n, state, True)),
        ("about", b"founders", pack(list(FOUNDERS))),
        *(("slips", key, raw) for key, raw in rows.items()),
    ):
        store.write([(name, key, value)])
    close(store)
    return rows


def read_keys(folder: Path) -> dict[bytes, bytes]:
    """Open a store, and return the records of its operation keys."""
    loop: Any = Loop()
    store = Store(str(folder), loop)
    found = dict(store.read_all("slips"))
    close(store)
    return found


def change_behind_store(folder: Path, change: Any) -> None:
    """Change the records of a store without the class `Store`."""
    env = open_environment(str(folder))
    dbs = {name: env.open_db(name.encode()) for name in DATABASE_NAMES}
    with env.begin(write=True) as txn:
        change(txn, dbs)
    env.close()


def change_without_seal(txn: Any, dbs: Any) -> None:
    """Write a record without updating the seal."""
    txn.put(b"k1", add_checksum("slips", b"k1", pack(["t1", 1, None])), db=dbs["slips"])


def misplace_record(txn: Any, dbs: Any) -> None:
    """Write a record with the checksum of another key."""
    txn.put(b"k2", txn.get(b"k3", db=dbs["slips"]), db=dbs["slips"])
    write_seal(txn, dbs)


def replace_voter_record(value: Any) -> Any:
    """Return a change that replaces the voter's record of shard 0."""

    def change(txn: Any, dbs: Any) -> None:
        txn.put(b"kept/0", add_checksum("about", b"kept/0", value), db=dbs["about"])
        write_seal(txn, dbs)

    return change


def delete_voter_records(txn: Any, dbs: Any) -> None:
    """Delete the voter's records of all shards."""
    for n in shard_state.SHARDS:
        txn.delete(b"kept/%d" % n, db=dbs["about"])
    write_seal(txn, dbs)
