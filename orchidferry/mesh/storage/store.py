"""A controller's durable state: an LMDB environment whose writes run on a separate thread.

Writes are committed in groups (group commit), and each is acknowledged once its transaction is synced. The
event loop never waits for the disk. A write that fails (the disk is full or broken) is reported as failed and
changes nothing on disk; the process continues, and the caller may request the write again. A write with a
record that can't be stored fails alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import threading
from collections.abc import Callable

import lmdb
from loguru import logger

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.log_limit import LogLimit
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

MAX_PENDING_WRITES = 20_000  # longest queue of writes; further writes are reported as failed
MAX_PENDING_BYTES = 16 * 1024 * 1024  # limit on queued writes plus those of the commit in progress, in bytes
WRITE_OVERHEAD_BYTES = 64  # counted for each write in addition to its keys and values
COMMIT_RETRY_S = 0.25  # pause after a failed commit
PROBE_INTERVAL_S = 0.2  # how often the disk is probed while it is degraded and no write is queued
MIN_CHECK_INTERVAL_S = 0.05  # shortest interval between two checks of the oldest pending write
LOGGED_REJECTION_WINDOW_S = 10.0  # at most one rejected write is logged in this time
CLOSE_TIMEOUT_S = 2.0  # time for completing pending writes when the store is closed
# Fractions of the memory map's pages that are in use.
NEW_KEYS_MAX_FILL = 0.8  # above this fraction the store accepts no new operation keys
KEY_WRITES_MAX_FILL = 0.9  # above this fraction keys are only deleted: the rest is for votes and deletes


class Store:
    """The store of one controller; its public methods are called on the event loop."""

    def __init__(self, directory: str, loop: asyncio.AbstractEventLoop) -> None:
        """Open the store, or create it.

        :param directory: the controller's data directory
        :param loop: the event loop on which results are reported
        :raises StoreError: if the store can be neither opened nor created
        """
        self._directory = directory
        self._loop = loop
        self._wake = threading.Condition()  # guards the next four attributes and wakes the store's thread
        self._queue: list[PendingWrite] = []
        self._in_flight: list[PendingWrite] = []  # writes of the commit in progress
        self._pending_bytes = 0  # size of the writes in `_queue` and `_in_flight`
        self._unawaited_deletes = 0  # number of writes in `_queue` for which `is_unawaited_delete` is true
        self._env_lock = threading.Lock()  # held while the environment is reopened, and while it is read
        self._closing = False
        self._last_error = ""  # error text of the last failed commit or reopening
        self._health = DiskHealth(self._wake)
        self._rejection_log_limit = LogLimit(1, LOGGED_REJECTION_WINDOW_S)
        self._timer: asyncio.TimerHandle | None = None  # for the next check of the oldest pending write
        self._dbs: Databases = {}
        self._used_pages = 0  # pages of the memory map in use, as of the last commit
        self._directory_synced = False  # whether this process has synced the data directory
        self._lock_and_open()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _lock_and_open(self) -> None:
        try:
            os.makedirs(self._directory, exist_ok=True)
            self._lock = lock_store(self._directory)
        except OSError as error:
            raise StoreError(str(error), self._directory) from None
        try:
            self._open()
        except (OSError, lmdb.Error) as error:
            self._lock.close()
            raise StoreError(str(error), self._directory) from None
        except StoreError:
            self._lock.close()
            raise

    def _open(self) -> None:
        if not os.path.exists(os.path.join(self._directory, STORE_FILE)):
            self._create()
        self._env = open_environment(self._directory, map_bytes=MAP_BYTES)
        self._page_bytes = int(self._env.stat()["psize"])
        self._max_key_bytes = int(self._env.max_key_size())
        self._max_pages = MAP_BYTES // self._page_bytes
        self._dbs = {}
        for name in DATABASE_NAMES:
            with contextlib.suppress(lmdb.NotFoundError):
                self._dbs[name] = self._env.open_db(name.encode(), create=False)
        if not self._is_sealed() or len(self._dbs) < len(DATABASE_NAMES):
            with self._env.begin(write=True) as txn:  # creates and seals the databases in one transaction
                self._dbs = {name: self._env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES}
                write_seal(txn, self._dbs)
        with self._env.begin() as txn:
            self._used_pages = used_pages(txn, self._dbs)

    def _is_sealed(self) -> bool:
        controller_db = self._dbs.get(CONTROLLER_DB)
        if controller_db is None:
            return False
        with self._env.begin(db=controller_db) as txn:
            sealed = txn.get(FORMAT_KEY) is not None
            if not sealed and txn.stat(controller_db)["entries"]:
                raise StoreError("written by an earlier build and not migrated yet", self._directory)
        return sealed

    def _create(self) -> None:
        """Create an empty store atomically: under a temporary name, renamed once the store is synced."""
        path = os.path.join(self._directory, TEMPORARY_FILE)
        env = open_environment(path, file=True, map_bytes=MAP_BYTES)
        try:
            with env.begin(write=True) as txn:
                write_seal(txn, {name: env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES})
            env.sync(True)
        finally:
            env.close()
        os.rename(path, os.path.join(self._directory, STORE_FILE))

    def read(self, name: str, key: bytes) -> bytes | None:
        """Return the value of one record, None if there is no such record.

        :param name: the database's name
        :param key: the record's key
        :raises CorruptStoreError: if the record's checksum is wrong; the store is closed then
        """
        with self._env_lock, self._env.begin(db=self._dbs[name]) as txn:
            raw = txn.get(key)
        return self._verified(name, [(key, raw)])[0][1] if raw is not None else None

    def read_all(self, name: str) -> list[tuple[bytes, bytes]]:
        """Return all keys and values of a database, in the order of the keys.

        :param name: the database's name
        :raises CorruptStoreError: if a checksum is wrong; the store is closed then
        """
        with self._env_lock, self._env.begin(db=self._dbs[name]) as txn:
            rows = [(bytes(key), bytes(raw)) for key, raw in txn.cursor()]
        return self._verified(name, rows)

    def _verified(self, name: str, rows: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        try:
            return [(key, verify_checksum(name, key, bytes(raw))) for key, raw in rows]
        except CorruptStoreError as error:  # close the store, so that it is checked when it is opened again
            self.close()
            self._env.close()
            raise CorruptStoreError(error.problem, self._directory) from None

    @property
    def accepts_new_keys(self) -> bool:
        """Whether there is space for new operation keys. Stored keys can be deleted in any case."""
        return self._used_pages < NEW_KEYS_MAX_FILL * self._max_pages

    @property
    def is_degraded(self) -> bool:
        """Whether the disk fails or delays writes, or did so until a short time ago."""
        return self._health.is_degraded or self.longest_wait_s(self._loop.time()) > MAX_WRITE_WAIT_S

    @property
    def failing_since_s(self) -> float:
        """Since when commits have failed, in seconds of the loop's clock; 0 if the last one succeeded."""
        return self._health.failing_since_s

    def longest_wait_s(self, now_s: float) -> float:
        """Return how long the oldest pending write has waited, in seconds; 0 if none is pending.

        :param now_s: current time in seconds of the loop's clock
        """
        with self._wake:
            oldest = self._in_flight or self._queue
            return max(0.0, now_s - oldest[0].requested_at_s) if oldest else 0.0

    def write(self, records: list[RecordWrite], on_written: Callable[[bool], None] | None = None) -> None:
        """Write records in one transaction.

        :param records: the records to write or delete
        :param on_written: called once, on the loop, with whether the records are on disk; None if the result
            is not needed
        """
        unstorable = next((one for one in records if not 0 < len(one[1]) <= self._max_key_bytes), None)
        if unstorable is not None:
            return self._reject(unstorable, on_written)
        size = WRITE_OVERHEAD_BYTES + sum(len(key) + len(value or b"") for _, key, value in records)
        write = PendingWrite(records, on_written, self._loop.time(), size)
        with self._wake:
            if self._is_full(size) and not write.is_unawaited_delete:
                self._drop_unawaited_deletes()
            if self._is_full(size):
                if on_written is not None:
                    self._loop.call_soon(on_written, False)
                return None
            self._queue.append(write)
            self._pending_bytes += size
            self._unawaited_deletes += write.is_unawaited_delete
            self._wake.notify()
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_WRITE_WAIT_S, self._check_oldest_write)
        return None

    def _reject(self, record: RecordWrite, on_written: Callable[[bool], None] | None) -> None:
        """Report a write as failed because of one of its records, which no disk could store.

        The writes that are pending beside it and the health of the disk are not affected.
        """
        if self._rejection_log_limit.allows(self._loop.time()):
            name, key, _ = record
            logger.warning(
                "store: write rejected, database={} key_bytes={} max_key_bytes={}",
                name,
                len(key),
                self._max_key_bytes,
            )
        if on_written is not None:
            self._loop.call_soon(on_written, False)

    def _is_full(self, size: int) -> bool:
        return len(self._queue) >= MAX_PENDING_WRITES or self._pending_bytes + size > MAX_PENDING_BYTES

    def _drop_unawaited_deletes(self) -> None:
        """Make space in the queue; the records stay on disk for longer, which does no harm."""
        if self._unawaited_deletes:
            self._pending_bytes -= sum(write.size for write in self._queue if write.is_unawaited_delete)
            self._queue = [write for write in self._queue if not write.is_unawaited_delete]
            self._unawaited_deletes = 0

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Complete the pending writes, then close the store.

        :param timeout_s: how long to wait for the pending writes, in seconds; at most `CLOSE_TIMEOUT_S`
        """
        with self._wake:
            self._closing = True
            self._wake.notify()
        if self._timer is not None:
            self._timer.cancel()
        self._thread.join(min(timeout_s, CLOSE_TIMEOUT_S))
        if not self._thread.is_alive():
            self._lock.close()

    # Runs on the store's thread

    def _run(self) -> None:
        while True:
            with self._wake:
                self._wait_for_writes()
                writes = self._queue
                self._queue = []
                if not writes and self._closing:
                    return
                self._in_flight = writes
                self._unawaited_deletes = 0
                began_s = self._loop.time()
            results = self._commit(writes)
            now_s = self._loop.time()
            with self._wake:
                self._in_flight = []
                self._pending_bytes -= sum(write.size for write in writes)
            try:
                waited_s = now_s - (writes[0].requested_at_s if writes else began_s)
                self._loop.call_soon_threadsafe(self._report_results, writes, results, waited_s, now_s)
            except RuntimeError:  # the event loop is closed
                return
            if results is None:
                with self._wake:
                    self._wake.wait_for(lambda: self._closing, COMMIT_RETRY_S)

    def _wait_for_writes(self) -> None:
        """Wait for a write; while the disk is degraded, no longer than until the next probe is due.

        A probe is a transaction that writes only the seal, to see whether the disk commits it promptly.
        """
        while not self._queue and not self._closing:
            if not self._wake.wait(PROBE_INTERVAL_S if self._health.is_degraded else None):
                return

    def _commit(self, writes: list[PendingWrite]) -> list[bool] | None:
        """Commit writes.

        :param writes: the writes to commit; none for a probe
        :returns: for each write whether it is on disk; None if the commit failed
        """
        try:
            if not self._directory_synced:  # until then a power loss could undo the creation of the file
                sync_directory_and_parent(self._directory)
                self._directory_synced = True
            return SplittingCommitter(self._transact).commit(writes)
        except (lmdb.Error, OSError) as error:
            self._last_error = str(error)
            if isinstance(error, lmdb.PanicError):
                self._reopen()
            return None

    def _transact(self, writes: list[PendingWrite]) -> list[bool]:
        """Commit writes in one transaction; writes of operation keys are rejected if little space is left.

        :returns: for each write whether it is on disk
        """
        results: list[bool] = []
        with self._env.begin(write=True) as txn:
            write_seal(txn, self._dbs)
            max_pages = KEY_WRITES_MAX_FILL * self._max_pages
            pages = self._used_pages
            for write in writes:
                if any(name == KEYS_DB and value is not None for name, _, value in write.records):
                    pages += 1 + write.size // self._page_bytes
                    if pages > max_pages:
                        results.append(False)
                        continue
                for name, key, value in write.records:
                    if value is None:
                        txn.delete(key, db=self._dbs[name])
                    else:
                        txn.put(key, add_checksum(name, key, value), db=self._dbs[name])
                results.append(True)
            used = used_pages(txn, self._dbs)
        self._used_pages = used
        return results

    def _reopen(self) -> None:
        """Open the store again: LMDB commits nothing more once a meta page could not be written."""
        try:
            with self._env_lock:
                self._env.close()
                self._open()
        except (OSError, lmdb.Error, StoreError) as error:
            self._last_error = str(error)

    # Runs on the event loop

    def _report_results(
        self, writes: list[PendingWrite], results: list[bool] | None, waited_s: float, now_s: float
    ) -> None:
        if results is None:
            self._health.write_failed(self._last_error, now_s)
        else:
            self._health.write_done(waited_s, now_s)
        for write, written in zip(writes, results or [False] * len(writes), strict=True):
            if write.on_written is not None:
                write.on_written(written)

    def _check_oldest_write(self) -> None:
        """Report how long the oldest pending write has waited; reschedule the check while any is pending."""
        waited_s = self.longest_wait_s(self._loop.time())
        self._health.write_waits(waited_s)
        next_check_s = max(MIN_CHECK_INTERVAL_S, MAX_WRITE_WAIT_S - waited_s)
        self._timer = self._loop.call_later(next_check_s, self._check_oldest_write) if waited_s else None
