"""A controller's durable state: lmdb behind a thread of its own.

Writes are committed in groups, and each is answered once its transaction is synced. The loop never waits for
the disk. A write that fails (disk full or broken) is answered as failed and changes nothing on disk; the
process goes on, and whoever asked may ask again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import threading
from collections.abc import Callable

import lmdb

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.disk_health import MAX_WRITE_WAIT_S, DiskHealth
from orchidferry.mesh.storage.environment import (
    CONTROLLER_DB,
    DATABASE_NAMES,
    KEYS_DB,
    MAP_BYTES,
    STORE_FILE,
    TEMPORARY_FILE,
    Databases,
    lock_store,
    open_environment,
    sync_directory_and_parent,
    used_pages,
)
from orchidferry.mesh.storage.record_format import (
    FORMAT_KEY,
    CorruptStoreError,
    RecordWrite,
    add_checksum,
    verify_checksum,
    write_seal,
)
from orchidferry.mesh.storage.write_batch import PendingWrite, SplittingCommitter

MAX_PENDING_WRITES = 20_000  # writes that wait for the disk; more are answered as failed
MAX_PENDING_BYTES = 16 * 1024 * 1024  # the same in bytes, those that are being written counted in
WRITE_OVERHEAD_BYTES = 64  # counted for a write beside its keys and values
COMMIT_RETRY_S = 0.25  # after a failed commit
PROBE_INTERVAL_S = 0.2  # while ailing with nothing to write, how often the disk is tried
MIN_CHECK_INTERVAL_S = 0.05  # between two looks at the oldest waiting write
CLOSE_TIMEOUT_S = 2.0  # for what waits to be written, when the store is closed
NEW_KEYS_MAX_FILL = 0.8  # of the pages in use: beyond it there is no `room` for new keys
KEY_WRITES_MAX_FILL = 0.9  # beyond it no key is written at all: what is left is for votes and for deletes


class Store:
    """The store of one controller; its methods are called on the loop."""

    DATABASE_NAMES = DATABASE_NAMES

    def __init__(self, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        """Open the store, or make it. `StoreError` if neither can be done."""
        self._folder = folder
        self._loop = loop
        self._wake = threading.Condition()  # guards the next four, and wakes the thread
        self._jobs: list[PendingWrite] = []  # that wait
        self._flight: list[PendingWrite] = []  # that are being written
        self._bytes = 0  # of both
        self._unawaited_deletes = 0  # among those that wait
        self._opening = threading.Lock()  # held while the environment is replaced
        self._ending = False
        self._problem = ""  # of the last failed commit
        self._health = DiskHealth(self._wake)
        self._timer: asyncio.TimerHandle | None = None
        self._dbs: Databases = {}
        self._used = 0  # pages
        self._names_synced = False  # the directory was synced by this process
        self._lock_and_open()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _lock_and_open(self) -> None:
        try:
            os.makedirs(self._folder, exist_ok=True)
            self._lock = lock_store(self._folder)
        except OSError as problem:
            raise StoreError(f"{self._folder}: {problem}") from None
        try:
            self._open()
        except (OSError, lmdb.Error) as problem:
            self._lock.close()
            raise StoreError(f"{self._folder}: {problem}") from None
        except StoreError:
            self._lock.close()
            raise

    def _open(self) -> None:
        if not os.path.exists(os.path.join(self._folder, STORE_FILE)):
            self._make()
        self._env = open_environment(self._folder, map_bytes=MAP_BYTES)
        self._page = int(self._env.stat()["psize"])
        self._pages = MAP_BYTES // self._page
        self._dbs = {}
        for name in DATABASE_NAMES:
            with contextlib.suppress(lmdb.NotFoundError):
                self._dbs[name] = self._env.open_db(name.encode(), create=False)
        if not self._is_sealed() or len(self._dbs) < len(DATABASE_NAMES):
            with self._env.begin(write=True) as txn:  # sealed together, as any other change
                self._dbs = {name: self._env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES}
                write_seal(txn, self._dbs)
        with self._env.begin() as txn:
            self._used = used_pages(txn, self._dbs)

    def _is_sealed(self) -> bool:
        about = self._dbs.get(CONTROLLER_DB)
        if about is None:
            return False
        with self._env.begin(db=about) as txn:
            sealed = txn.get(FORMAT_KEY) is not None
            if not sealed and txn.stat(about)["entries"]:
                raise StoreError(f"{self._folder}: of an earlier build, and not made ready")
        return sealed

    def _make(self) -> None:
        """Make an empty store: whole under its name, or not there at all."""
        part = os.path.join(self._folder, TEMPORARY_FILE)
        env = open_environment(part, file=True, map_bytes=MAP_BYTES)
        try:
            with env.begin(write=True) as txn:
                write_seal(txn, {name: env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES})
            env.sync(True)
        finally:
            env.close()
        os.rename(part, os.path.join(self._folder, STORE_FILE))

    def read(self, name: str, key: bytes) -> bytes | None:
        """One value. `CorruptStoreError`."""
        with self._opening, self._env.begin(db=self._dbs[name]) as txn:
            raw = txn.get(key)
        return self._verified(name, [(key, raw)])[0][1] if raw is not None else None

    def all(self, name: str) -> list[tuple[bytes, bytes]]:
        """All keys and values of a database. `CorruptStoreError`."""
        with self._opening, self._env.begin(db=self._dbs[name]) as txn:
            rows = [(bytes(key), bytes(raw)) for key, raw in txn.cursor()]
        return self._verified(name, rows)

    def _verified(self, name: str, rows: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        try:
            return [(key, verify_checksum(name, key, bytes(raw))) for key, raw in rows]
        except CorruptStoreError as problem:  # closed, so that it can be opened again, and is checked then
            self.close()
            self._env.close()
            raise CorruptStoreError(f"{self._folder}: {problem}") from None

    @property
    def room(self) -> bool:
        """Whether a new key may still be taken. What is there can be deleted either way."""
        return self._used < NEW_KEYS_MAX_FILL * self._pages

    @property
    def ailing(self) -> bool:
        """Whether the disk refuses or delays writes, or has done so a moment ago."""
        return self._health.ailing or self.stuck_s(self._loop.time()) > MAX_WRITE_WAIT_S

    @property
    def failing_since_s(self) -> float:
        """When the disk last began to refuse writes; 0: it does not."""
        return self._health.failing_since_s

    def stuck_s(self, now: float) -> float:
        """For how long the oldest write has waited, by the loop's clock; 0 if none waits."""
        with self._wake:
            oldest = self._flight or self._jobs
            return max(0.0, now - oldest[0].at_s) if oldest else 0.0

    def write(self, puts: list[RecordWrite], told: Callable[[bool], None] | None = None) -> None:
        """Write these together; `told` hears on the loop whether they are on disk."""
        size = WRITE_OVERHEAD_BYTES + sum(len(key) + len(value or b"") for _, key, value in puts)
        job = PendingWrite(puts, told, self._loop.time(), size)
        with self._wake:
            if self._is_full(size) and not job.unawaited_delete:
                self._drop_unawaited_deletes()
            if self._is_full(size):
                if told is not None:
                    self._loop.call_soon(told, False)
                return
            self._jobs.append(job)
            self._bytes += size
            self._unawaited_deletes += job.unawaited_delete
            self._wake.notify()
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_WRITE_WAIT_S, self._check_waiting)

    def _is_full(self, size: int) -> bool:
        return len(self._jobs) >= MAX_PENDING_WRITES or self._bytes + size > MAX_PENDING_BYTES

    def _drop_unawaited_deletes(self) -> None:
        """Make room in the queue: a record that is not deleted is only kept for longer."""
        if self._unawaited_deletes:
            self._bytes -= sum(job.size for job in self._jobs if job.unawaited_delete)
            self._jobs = [job for job in self._jobs if not job.unawaited_delete]
            self._unawaited_deletes = 0

    def close(self, limit_s: float = CLOSE_TIMEOUT_S) -> None:
        """Write what waits, for so long and `CLOSE_TIMEOUT_S` at most, and end."""
        with self._wake:
            self._ending = True
            self._wake.notify()
        if self._timer is not None:
            self._timer.cancel()
        self._thread.join(min(limit_s, CLOSE_TIMEOUT_S))
        if not self._thread.is_alive():
            self._lock.close()

    # On the thread

    def _run(self) -> None:
        while True:
            with self._wake:
                self._wait_for_jobs()
                jobs = self._jobs
                self._jobs = []
                if not jobs and self._ending:
                    return
                self._flight = jobs
                self._unawaited_deletes = 0
                began_s = self._loop.time()
            done = self._commit(jobs)
            now = self._loop.time()
            with self._wake:
                self._flight = []
                self._bytes -= sum(job.size for job in jobs)
            try:
                waited_s = now - (jobs[0].at_s if jobs else began_s)
                self._loop.call_soon_threadsafe(self._committed, jobs, done, waited_s, now)
            except RuntimeError:  # the loop has ended
                return
            if done is None:
                with self._wake:
                    self._wake.wait_for(lambda: self._ending, COMMIT_RETRY_S)

    def _wait_for_jobs(self) -> None:
        """Until there is something to write; while ailing, until the next probe at most.

        A probe is a transaction with nothing but the seal, which tells how the disk is.
        """
        while not self._jobs and not self._ending:
            if not self._wake.wait(PROBE_INTERVAL_S if self._health.ailing else None):
                return

    def _commit(self, jobs: list[PendingWrite]) -> list[bool] | None:
        """Which of these are on disk; None if the disk took nothing."""
        try:
            if not self._names_synced:  # nothing is told as written in a file whose name may be lost
                sync_directory_and_parent(self._folder)
                self._names_synced = True
            return SplittingCommitter(self._transact).commit(jobs)
        except (lmdb.Error, OSError) as problem:
            self._problem = str(problem)
            if isinstance(problem, lmdb.PanicError):
                self._reopen()
            return None

    def _transact(self, jobs: list[PendingWrite]) -> list[bool]:
        """One transaction; new keys are refused where little room is left."""
        done: list[bool] = []
        with self._env.begin(write=True) as txn:
            write_seal(txn, self._dbs)
            max_pages = KEY_WRITES_MAX_FILL * self._pages
            pages = self._used
            for job in jobs:
                if any(name == KEYS_DB and value is not None for name, _, value in job.puts):
                    pages += 1 + job.size // self._page
                    if pages > max_pages:
                        done.append(False)
                        continue
                for name, key, value in job.puts:
                    if value is None:
                        txn.delete(key, db=self._dbs[name])
                    else:
                        txn.put(key, add_checksum(name, key, value), db=self._dbs[name])
                done.append(True)
            used = used_pages(txn, self._dbs)
        self._used = used
        return done

    def _reopen(self) -> None:
        """Open what is on disk again: lmdb takes nothing more once a meta page could not be written."""
        try:
            with self._opening:
                self._env.close()
                self._open()
        except (OSError, lmdb.Error, StoreError) as problem:
            self._problem = str(problem)

    # On the loop

    def _committed(
        self, jobs: list[PendingWrite], done: list[bool] | None, waited_s: float, now: float
    ) -> None:
        if done is None:
            self._health.write_failed(self._problem, now)
        else:
            self._health.write_done(waited_s, now)
        for job, kept in zip(jobs, done or [False] * len(jobs), strict=True):
            if job.told is not None:
                job.told(kept)

    def _check_waiting(self) -> None:
        """Look at the oldest write that waits; again as long as any does."""
        stuck_s = self.stuck_s(self._loop.time())
        self._health.write_waits(stuck_s)
        again_s = max(MIN_CHECK_INTERVAL_S, MAX_WRITE_WAIT_S - stuck_s)
        self._timer = self._loop.call_later(again_s, self._check_waiting) if stuck_s else None
