"""What a keeper must not forget, on disk: lmdb behind a thread of its own.

Writes are put together (group commit) and each is answered once its transaction is synced. The loop never
waits for the disk. A write that fails (full, broken) is answered as failed, and changes nothing on disk; the
process goes on; whoever asked asks again, if it still wants it.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import cbor2
import lmdb
from loguru import logger

from athenaeum.faults import BadDeposit

MAP_BYTES = 160 * 1024 * 1024
WAITING_MOST = 20_000  # writes that wait for the disk; more are answered as failed
RETRY_S = 0.25  # after a failed commit

Put = tuple[str, bytes, bytes | None]  # database, key, value; None deletes


@dataclass(slots=True)
class _Job:
    puts: list[Put]
    told: Callable[[bool], None] | None


class Deposit:
    """The store of one keeper."""

    NAMES = ("about", "slips")

    def __init__(self, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        """Open it, or make it. `BadDeposit` if that can't be."""
        self._loop = loop
        try:
            os.makedirs(folder, exist_ok=True)
            self._env = lmdb.open(
                folder, map_size=MAP_BYTES, max_dbs=len(self.NAMES), lock=False, max_readers=4,
                readahead=False,
            )  # fmt: skip
            self._dbs = {name: self._env.open_db(name.encode()) for name in self.NAMES}
        except (OSError, lmdb.Error) as problem:
            raise BadDeposit(f"{folder}: {problem}") from None
        self._jobs: list[_Job] = []
        self._wake = threading.Condition()
        self._ending = False
        self._problem = ""
        self.failing_since_s = 0.0  # when the disk last began to refuse; 0: it doesn't
        self.asked_s = 0.0  # since when the oldest write waits; 0: none does
        self._thread = threading.Thread(target=self._run, name="deposit", daemon=True)
        self._thread.start()

    def read(self, name: str, key: bytes) -> bytes | None:
        """One value."""
        with self._env.begin(db=self._dbs[name]) as txn:
            value = txn.get(key)
            return bytes(value) if value is not None else None

    def all(self, name: str) -> list[tuple[bytes, bytes]]:
        """All of a database."""
        with self._env.begin(db=self._dbs[name]) as txn:
            return [(bytes(key), bytes(value)) for key, value in txn.cursor()]

    def write(self, puts: list[Put], told: Callable[[bool], None] | None = None) -> None:
        """Write these together; `told` hears on the loop whether they are on disk."""
        with self._wake:
            if len(self._jobs) >= WAITING_MOST:
                if told is not None:
                    self._loop.call_soon(told, False)
                return
            if not self._jobs:
                self.asked_s = self.asked_s or self._loop.time()
            self._jobs.append(_Job(puts, told))
            self._wake.notify()

    def close(self) -> None:
        """Write what waits, and end."""
        with self._wake:
            self._ending = True
            self._wake.notify()
        self._thread.join(2.0)

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._jobs and not self._ending:
                    self._wake.wait()
                jobs, self._jobs = self._jobs, []
                if not jobs:
                    return
            done = self._commit(jobs)
            try:
                self._loop.call_soon_threadsafe(self._told, jobs, done)
            except RuntimeError:  # the loop has ended
                return
            if not done and not self._ending:
                with self._wake:
                    self._wake.wait(RETRY_S)

    def _commit(self, jobs: list[_Job]) -> bool:
        try:
            with self._env.begin(write=True) as txn:
                for job in jobs:
                    for name, key, value in job.puts:
                        if value is None:
                            txn.delete(key, db=self._dbs[name])
                        else:
                            txn.put(key, value, db=self._dbs[name])
            return True
        except (lmdb.Error, OSError) as problem:
            self._problem = str(problem)
            return False

    def _told(self, jobs: list[_Job], done: bool) -> None:
        self.asked_s = 0.0 if not self._jobs else self._loop.time()
        if done and self.failing_since_s:
            logger.info("deposit: the disk takes writes again")
        elif not done and not self.failing_since_s:
            logger.warning("deposit: the disk refuses writes: {}", self._problem)
        self.failing_since_s = 0.0 if done else (self.failing_since_s or self._loop.time())
        for job in jobs:
            if job.told is not None:
                job.told(done)


def pack(value: Any) -> bytes:
    """A value as it is stored."""
    return cbor2.dumps(value)


def unpack(raw: bytes) -> Any:
    """The value that was stored."""
    return cbor2.loads(raw)
