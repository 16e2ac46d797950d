"""What a controller must not forget, on disk: lmdb behind a thread of its own.

Writes are put together (group commit) and each is answered once its transaction is synced. The loop never
waits for the disk. A write that fails (full, broken) is answered as failed, and changes nothing on disk; the
process goes on; whoever asked asks again, if it still wants it.

Every record carries a checksum, and every transaction the seal: its own number, as a record. A root that is
older or younger than the number beside it is told by that (`storage_check`, which looks before a store is
used).
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import threading
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import IO, Any

import cbor2
import lmdb
from loguru import logger

from mesh.errors import BadStore

OPERATION_KEYS = "slips"  # the table of keys and answers; its name on disk stays as it was
NAMES = ("about", OPERATION_KEYS)
MAP_BYTES = 160 * 1024 * 1024
# Of a store. The first had neither checksums nor seal, and didn't say its number; in the second the text of
# the configuration was never compressed, and a build that knows no third would hand it out as it lies there.
FORMAT = 3
FORMAT_KEY, SEAL_KEY = b"format", b"seal"  # records of `about`
SUM_BYTES = 4
STORE, PART, LOCK = "data.mdb", "data.part", "lock"  # files of the folder
WAITING_MOST = 20_000  # writes that wait for the disk; more are answered as failed
WAITING_BYTES = 16 * 1024 * 1024  # the same in bytes, those that are being written counted in
JOB_BYTES = 64  # counted for a write beside its keys and values
PIECES = 64  # failed tries to write in pieces what doesn't fit at once
RETRY_S = 0.25  # after a failed commit
STUCK_S = 0.6  # a write that has waited for so long: the disk is ailing
PROMPT_S, WELL_S = 0.3, 1.0  # well again once no write has waited longer than this, for so long
PROBE_S = 0.2  # while ailing with nothing to write, how often the disk is tried
CLOSE_S = 2.0  # for what waits to be written, when the store is closed
ROOM_SHARE = 0.8  # of the pages in use: beyond it there is no `room` for new keys
KEEP_SHARE = 0.9  # beyond it nothing is put into `slips` at all: what is left is for votes and for deletes

Put = tuple[str, bytes, bytes | None]  # database, key, value; None deletes
Databases = dict[str, Any]


class Damaged(BadStore):
    """What is in the store can't be taken for memory; one line that names the folder and what."""


class InUse(BadStore):
    """Another process has the store open."""


@dataclass(slots=True)
class _Job:
    puts: list[Put]
    told: Callable[[bool], None] | None
    at_s: float
    size: int

    @property
    def chore(self) -> bool:
        """Whether it only deletes and nobody waits for it."""
        return self.told is None and all(value is None for _, _, value in self.puts)


def open_env(path: str, *, file: bool = False, readonly: bool = False) -> lmdb.Environment:
    """A store's environment, its databases not looked at. `OSError`, `lmdb.Error`."""
    return lmdb.open(
        path, map_size=MAP_BYTES, max_dbs=len(NAMES), lock=False, max_readers=4, readahead=False,
        subdir=not file, readonly=readonly, create=not readonly,
    )  # fmt: skip


def sync_folder(folder: str) -> None:
    """Have renamed and removed names last. `OSError`."""
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def sync_names(folder: str) -> None:
    """Have the names in a folder last, and its own. `OSError`."""
    sync_folder(folder)
    with contextlib.suppress(PermissionError):  # of whoever made the folder, who sees to its name
        sync_folder(os.path.dirname(os.path.abspath(folder)))


def wrap(name: str, key: bytes, value: bytes) -> bytes:
    """A value as it lies on disk: behind the checksum of where it belongs and of itself."""
    return _sum(name, key, value) + value


def unwrap(name: str, key: bytes, raw: bytes) -> bytes:
    """The value of a record; `Damaged` names the record if it is not what was written there.

    >>> unwrap("about", b"k", wrap("about", b"k", b"v"))
    b'v'
    """
    value = raw[SUM_BYTES:]
    if len(raw) < SUM_BYTES or raw[:SUM_BYTES] != _sum(name, key, value):
        raise Damaged(f"record {key[:40]!r} of {name} has a wrong checksum")
    return value


def _sum(name: str, key: bytes, value: bytes) -> bytes:
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(name.encode()))).to_bytes(SUM_BYTES, "big")


def put_sealed(txn: Any, dbs: Databases) -> None:
    """The records that each transaction writes anew: the format, and the number of the transaction."""
    for key, value in ((FORMAT_KEY, FORMAT), (SEAL_KEY, txn.id())):
        txn.put(key, wrap("about", key, pack(value)), db=dbs["about"])


def used_pages(txn: Any, dbs: Databases) -> int:
    """Pages that hold something, but for the list of free ones."""
    kinds = ("branch_pages", "leaf_pages", "overflow_pages")
    return 3 + sum(int(stat[kind]) for stat in map(txn.stat, dbs.values()) for kind in kinds)


def take_lock(folder: str, mode: str = "ab") -> IO[Any]:
    """Hold a store against other processes until the file is closed; `InUse` if one has it.

    Where locks are granted and do nothing, and where the disk refuses the file, this does nothing.
    """
    try:
        file = open(os.path.join(folder, LOCK), mode)  # noqa: SIM115
    except OSError:
        return open(os.devnull, "rb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        raise InUse(f"{folder}: another process has it open") from None
    except OSError:  # no locks there
        pass
    return file


class Store:
    """The store of one controller."""

    NAMES = NAMES

    def __init__(self, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        """Open it, or make it. `BadStore` if that can't be."""
        self._folder, self._loop = folder, loop
        self._jobs: list[_Job] = []
        self._flight: list[_Job] = []  # those that are being written
        self._bytes = self._chores = 0  # of both; of those that wait
        self._wake = threading.Condition()
        self._opening = threading.Lock()  # while the environment is another
        self._ending = False
        self._problem = ""
        self.failing_since_s = 0.0  # when the disk last began to refuse; 0: it doesn't
        self._ill = False
        self._well_s: float | None = None  # while ill: since when all has been written promptly
        self._timer: asyncio.TimerHandle | None = None
        self._dbs: Databases = {}
        self._used = 0  # pages
        self._names_last = False  # the folder was synced in this life
        try:
            os.makedirs(folder, exist_ok=True)
            self._lock = take_lock(folder)
        except OSError as problem:
            raise BadStore(f"{folder}: {problem}") from None
        try:
            self._open()
        except (OSError, lmdb.Error) as problem:
            self._lock.close()
            raise BadStore(f"{folder}: {problem}") from None
        except BadStore:
            self._lock.close()
            raise
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def _open(self) -> None:
        if not os.path.exists(os.path.join(self._folder, STORE)):
            self._make()
        self._env = open_env(self._folder)
        self._page = int(self._env.stat()["psize"])
        self._pages = MAP_BYTES // self._page
        self._dbs = {}
        for name in NAMES:
            with contextlib.suppress(lmdb.NotFoundError):
                self._dbs[name] = self._env.open_db(name.encode(), create=False)
        sealed = False
        if (about := self._dbs.get("about")) is not None:
            with self._env.begin(db=about) as txn:
                sealed = txn.get(FORMAT_KEY) is not None
                if not sealed and txn.stat(about)["entries"]:
                    raise BadStore(f"{self._folder}: of an earlier build, and not made ready")
        if not sealed or len(self._dbs) < len(NAMES):
            with self._env.begin(write=True) as txn:  # sealed together, as any other change
                self._dbs = {name: self._env.open_db(name.encode(), txn=txn) for name in NAMES}
                put_sealed(txn, self._dbs)
        with self._env.begin() as txn:
            self._used = used_pages(txn, self._dbs)

    def _make(self) -> None:
        """An empty store: whole under its name, or not there at all."""
        part = os.path.join(self._folder, PART)
        env = open_env(part, file=True)
        try:
            with env.begin(write=True) as txn:
                put_sealed(txn, {name: env.open_db(name.encode(), txn=txn) for name in NAMES})
            env.sync(True)
        finally:
            env.close()
        os.rename(part, os.path.join(self._folder, STORE))

    def read(self, name: str, key: bytes) -> bytes | None:
        """One value. `Damaged`."""
        with self._opening, self._env.begin(db=self._dbs[name]) as txn:
            raw = txn.get(key)
        return self._believed(name, [(key, raw)])[0][1] if raw is not None else None

    def all(self, name: str) -> list[tuple[bytes, bytes]]:
        """All of a database. `Damaged`."""
        with self._opening, self._env.begin(db=self._dbs[name]) as txn:
            rows = [(bytes(key), bytes(raw)) for key, raw in txn.cursor()]
        return self._believed(name, rows)

    def _believed(self, name: str, rows: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        try:
            return [(key, unwrap(name, key, bytes(raw))) for key, raw in rows]
        except Damaged as problem:  # it can be opened anew, and is looked through then
            self.close()
            self._env.close()
            raise Damaged(f"{self._folder}: {problem}") from None

    @property
    def room(self) -> bool:
        """Whether a new key may still be taken. What is there can be deleted either way."""
        return self._used < ROOM_SHARE * self._pages

    @property
    def ailing(self) -> bool:
        """Whether the disk refuses, or lets writes wait, or has done so a moment ago."""
        return self._ill or self.stuck_s(self._loop.time()) > STUCK_S

    def stuck_s(self, now: float) -> float:
        """For how long the oldest write has waited, by the loop's clock; 0 if none waits."""
        with self._wake:
            oldest = self._flight or self._jobs
            return max(0.0, now - oldest[0].at_s) if oldest else 0.0

    def write(self, puts: list[Put], told: Callable[[bool], None] | None = None) -> None:
        """Write these together; `told` hears on the loop whether they are on disk."""
        size = JOB_BYTES + sum(len(key) + len(value or b"") for _, key, value in puts)
        job = _Job(puts, told, self._loop.time(), size)
        with self._wake:
            if self._too_many(size) and not job.chore:
                self._give_way()
            if self._too_many(size):
                if told is not None:
                    self._loop.call_soon(told, False)
                return
            self._jobs.append(job)
            self._bytes += size
            self._chores += job.chore
            self._wake.notify()
        if self._timer is None:
            self._timer = self._loop.call_later(STUCK_S, self._look)

    def _too_many(self, size: int) -> bool:
        return len(self._jobs) >= WAITING_MOST or self._bytes + size > WAITING_BYTES

    def _give_way(self) -> None:
        """Let deletes go that nobody waits for: what stays on disk by it is only kept for longer."""
        if self._chores:
            self._bytes -= sum(job.size for job in self._jobs if job.chore)
            self._jobs, self._chores = [job for job in self._jobs if not job.chore], 0

    def close(self, limit_s: float = CLOSE_S) -> None:
        """Write what waits, for so long and `CLOSE_S` at most, and end."""
        with self._wake:
            self._ending = True
            self._wake.notify()
        if self._timer is not None:
            self._timer.cancel()
        self._thread.join(min(limit_s, CLOSE_S))
        if not self._thread.is_alive():
            self._lock.close()

    # The thread

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._jobs and not self._ending:
                    if not self._wake.wait(PROBE_S if self._ill else None):
                        break  # nothing to write: the seal alone tells how the disk is
                jobs, self._jobs = self._jobs, []
                if not jobs and self._ending:
                    return
                self._flight, self._chores = jobs, 0
                began_s = self._loop.time()
            done = self._commit(jobs)
            now = self._loop.time()
            with self._wake:
                self._flight = []
                self._bytes -= sum(job.size for job in jobs)
            try:
                waited_s = now - (jobs[0].at_s if jobs else began_s)
                self._loop.call_soon_threadsafe(self._told, jobs, done, waited_s, now)
            except RuntimeError:  # the loop has ended
                return
            if done is None:
                with self._wake:
                    self._wake.wait_for(lambda: self._ending, RETRY_S)

    def _commit(self, jobs: list[_Job]) -> list[bool] | None:
        """Which of these are on disk; None if the disk took nothing."""
        try:
            if not self._names_last:  # nothing is told as written in a file whose name may be lost
                sync_names(self._folder)
                self._names_last = True
            return self._piecewise(jobs, [PIECES])
        except (lmdb.Error, OSError) as problem:
            self._problem = str(problem)
            if isinstance(problem, lmdb.PanicError):
                self._reopen()
            return None

    def _piecewise(self, jobs: list[_Job], tries: list[int]) -> list[bool]:
        """Write all at once; where the map has no room for that, in halves of it.

        A transaction needs a free page for each that it changes, even if it only deletes.
        """
        try:
            return self._transact(jobs)
        except lmdb.MapFullError:
            tries[0] -= 1
            if tries[0] <= 0 or not jobs:
                return [False] * len(jobs)
        if len(jobs) > 1:
            half = len(jobs) // 2
            return self._piecewise(jobs[:half], tries) + self._piecewise(jobs[half:], tries)
        puts, half = jobs[0].puts, len(jobs[0].puts) // 2
        if not jobs[0].chore or not half:
            return [False]
        parts = [_Job(part, None, 0.0, 0) for part in (puts[:half], puts[half:])]
        return [all(self._piecewise(parts[:1], tries) + self._piecewise(parts[1:], tries))]

    def _transact(self, jobs: list[_Job]) -> list[bool]:
        """One transaction; what goes into `slips` is refused where little is left."""
        done: list[bool] = []
        with self._env.begin(write=True) as txn:
            put_sealed(txn, self._dbs)
            most, pages = KEEP_SHARE * self._pages, self._used
            for job in jobs:
                if any(name == "slips" and value is not None for name, _, value in job.puts):
                    pages += 1 + job.size // self._page
                    if pages > most:
                        done.append(False)
                        continue
                for name, key, value in job.puts:
                    if value is None:
                        txn.delete(key, db=self._dbs[name])
                    else:
                        txn.put(key, wrap(name, key, value), db=self._dbs[name])
                done.append(True)
            used = used_pages(txn, self._dbs)
        self._used = used
        return done

    def _reopen(self) -> None:
        """lmdb takes nothing more once a root could not be written: begin anew with what is on disk."""
        try:
            with self._opening:
                self._env.close()
                self._open()
        except (OSError, lmdb.Error, BadStore) as problem:
            self._problem = str(problem)

    # On the loop

    def _told(self, jobs: list[_Job], done: list[bool] | None, waited_s: float, now: float) -> None:
        if done is None:
            self.failing_since_s = self.failing_since_s or now
            self._fall_ill(f"the disk refuses writes: {self._problem}")
        else:
            self.failing_since_s = 0.0
            if not self._ill and waited_s > STUCK_S:
                self._fall_ill(f"a write has waited {waited_s:.1f} s")
            elif self._ill:
                self._mend(waited_s, now)
        for job, kept in zip(jobs, done or [False] * len(jobs), strict=True):
            if job.told is not None:
                job.told(kept)

    def _look(self) -> None:
        """Look at what waits; again as long as anything does."""
        stuck_s = self.stuck_s(self._loop.time())
        if stuck_s > STUCK_S:
            self._fall_ill(f"a write has waited {stuck_s:.1f} s")
        again_s = max(0.05, STUCK_S - stuck_s)
        self._timer = self._loop.call_later(again_s, self._look) if stuck_s else None

    def _fall_ill(self, why: str) -> None:
        self._well_s = None
        if not self._ill:
            logger.warning("store: {}", why)
            with self._wake:
                self._ill = True
                self._wake.notify()

    def _mend(self, waited_s: float, now: float) -> None:
        if waited_s > PROMPT_S:
            self._well_s = None
        elif self._well_s is None:
            self._well_s = now
        elif now - self._well_s >= WELL_S:
            logger.info("store: the disk keeps up again")
            self._ill, self._well_s = False, None


def pack(value: Any) -> bytes:
    """A value as it is stored."""
    return cbor2.dumps(value)


def unpack(raw: bytes) -> Any:
    """The value that was stored."""
    return cbor2.loads(raw)
