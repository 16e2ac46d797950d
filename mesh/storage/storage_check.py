"""A controller's store looked through before it is used: what it holds, whether it can be believed, its size.

What can't be believed is set aside, and the controller goes on as one that has forgotten: a wrong memory
would break its word, an end of the process would only come again, and a wiped disk is a loss that the
group bears. What can't be read at the moment, or was written by a later build, is left as it is and waited
for.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import threading
from dataclasses import dataclass
from typing import Any

import lmdb
from cbor2 import CBORDecodeError
from loguru import logger

from mesh.control import shard_state
from mesh.errors import BadStore
from mesh.storage.store import (
    FORMAT,
    FORMAT_KEY,
    LOCK,
    NAMES,
    SEAL_KEY,
    Damaged,
    Databases,
    InUse,
    open_env,
    put_sealed,
    take_lock,
    unpack,
    unwrap,
    used_pages,
    wrap,
)  # fmt: skip
from nickelbridge.register import Kept, Value

STORE, PART, TRIES, RENAMED = "data.mdb", "data.part", "opening", "renamed"  # files of data_dir
BAD = "bad"  # a folder there
DISK_BYTES = 250_000_000  # of a disk of 256 MB
BAD_MOST = 64_000_000  # a larger store that was set aside isn't kept
COMPACT_SHARE, COMPACT_BYTES = 0.5, 16 * 1024 * 1024  # free pages; a smaller file isn't worth a copy
DEATHS = 2  # so often in a row the process ended while it looked: the store is why
AGAIN_S = 0.5  # after a store could not be opened
PAGE, ROOT_BYTES, ROOT_FIELDS = 4096, 152, (32, 136)  # of lmdb 0.9: its two roots, size of map and last page
ROOT_MOST = 2**32  # bytes; above any store's
BROKEN = (
    lmdb.CorruptedError, lmdb.InvalidError, lmdb.VersionMismatchError, lmdb.PageNotFoundError,
    lmdb.PageFullError, lmdb.IncompatibleError, lmdb.CursorFullError, lmdb.BadTxnError, lmdb.BadValsizeError,
    lmdb.PanicError, lmdb.NotFoundError,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Stock:
    """What a store holds."""

    format: int
    kept: dict[int, Kept]  # by part; empty: nothing was written yet
    early: Kept | None  # of a build before the state was cut into parts
    founders: tuple[str, ...]
    caught_up: frozenset[int]  # parts
    keys: int
    used_bytes: int
    file_bytes: int

    def lines(self) -> list[str]:
        """One line a part of it, for the operator."""
        if not self.kept and self.early is None:
            return [f"store: format {self.format}, empty"]
        found = [f"store: format {self.format}, {self.used_bytes} bytes used of {self.file_bytes}"]
        for number, kept in self.kept.items():
            caught = "caught up" if number in self.caught_up else "not caught up"
            found.append(f"part {number}: memory {kept.memory}, {caught}, accepted {_line(kept.value)}")
        if self.early is not None:
            found.append(f"before parts: memory {self.early.memory}, accepted {_line(self.early.value)}")
        return [*found, f"founders: {' '.join(self.founders)}", f"keys: {self.keys}"]


def _line(value: Value | None) -> str:
    if value is None:
        return "nothing yet"
    body, voters = shard_state.body(value), " ".join(v.name for v in value.voters)
    duties = f"owner {body.owner or 'none'} under fence {body.fence}"
    return f"version {value.version}, epoch {body.epoch}, revision {body.revision}, {duties}, voters {voters}"


def survey(env: lmdb.Environment, file: str) -> tuple[Stock, Databases]:
    """Read all of a store; nothing is written. `Damaged` says what is wrong with it."""
    try:
        return _survey(env, file)
    except BROKEN as problem:
        raise Damaged(str(problem)) from None


def _survey(env: lmdb.Environment, file: str) -> tuple[Stock, Databases]:
    dbs: Databases = {}
    page, newest = env.stat()["psize"], env.info()["last_txnid"]
    for name in NAMES:
        try:
            dbs[name] = env.open_db(name.encode(), create=False)
        except lmdb.NotFoundError:  # made when the store is opened
            continue
    records: dict[str, dict[bytes, bytes]] = {"about": {}}
    keys = 0
    with env.begin() as txn:
        about = dbs.get("about")
        raws = {bytes(k): bytes(v) for k, v in txn.cursor(db=about)} if about is not None else {}
        format_ = _format(raws)
        sealed = format_ > 1
        for key, raw in raws.items():
            records["about"][key] = unwrap("about", key, raw) if sealed else raw
        if "slips" in dbs:
            for key, raw in txn.cursor(db=dbs["slips"]):
                keys += 1
                value = unwrap("slips", bytes(key), bytes(raw)) if sealed else bytes(raw)
                if not sealed or keys % 64 == 1:
                    _slip(bytes(key), value)
            if keys != txn.stat(dbs["slips"])["entries"]:
                raise Damaged(f"{keys} keys were found and {txn.stat(dbs['slips'])['entries']} are counted")
        used = used_pages(txn, dbs)
    known = records["about"]
    seal = _read(known, SEAL_KEY, int) if sealed else newest
    if raws and seal != newest:
        raise Damaged(f"the root is that of transaction {seal}, the number beside it {newest}")
    numbers = [n for n in shard_state.SHARDS if _key("kept", n) in known]
    kept = {n: _read(known, _key("kept", n), _kept) for n in numbers}
    early = _read(known, b"kept", _kept) if not numbers and not sealed else None
    founders = _read(known, b"founders", _names) or ()
    if keys and not kept and early is None:
        raise Damaged("there are keys, and the records 'kept' of about are missing")
    caught = frozenset(n for n in shard_state.SHARDS if _key("caught", n) in known)
    size = os.stat(file).st_size
    return Stock(format_, kept, early, founders, caught, keys, used * page, size), dbs


def _key(name: str, number: int) -> bytes:
    return f"{name}/{number}".encode()


def _format(raws: dict[bytes, bytes]) -> int:
    if not raws:
        return FORMAT
    if FORMAT_KEY not in raws:
        return 1
    found: int | None = _read({FORMAT_KEY: unwrap("about", FORMAT_KEY, raws[FORMAT_KEY])}, FORMAT_KEY, int)
    if found is None or found > FORMAT:
        raise BadStore(f"format {found} is of a later build, {FORMAT} is the newest known here")
    return found


def _read(records: dict[bytes, bytes], key: bytes, check: Any) -> Any:
    if key not in records:
        return None
    try:
        return check(unpack(records[key]))
    except (CBORDecodeError, ValueError, TypeError, KeyError, IndexError) as problem:
        raise Damaged(f"record {key.decode()!r} of about can't be read: {problem}") from None


def _kept(packed: Any) -> Kept:
    memory, promised, accepted, value = packed
    if value is not None and len(value) == 7:  # before owners
        value = [*value, "", 0]
    kept = shard_state.unpack_kept([memory, promised, accepted, value])
    if not isinstance(memory, int) or len(kept.promised) != 2 or len(kept.accepted) != 2:
        raise ValueError("it is no voter's memory")
    return kept


def _names(packed: Any) -> tuple[str, ...]:
    if not isinstance(packed, list) or not all(isinstance(name, str) for name in packed):
        raise ValueError("it is no list of names")
    return tuple(packed)


def _slip(key: bytes, value: bytes) -> None:
    try:
        holder, shelf, _answer = unpack(value)
    except (CBORDecodeError, ValueError, TypeError) as problem:
        raise Damaged(f"key {key[:40]!r} can't be read: {problem}") from None
    if not isinstance(holder, str) or not isinstance(shelf, int):
        raise Damaged(f"key {key[:40]!r} is none")


# Before a controller starts


def forgot(folder: str) -> bool:
    """Whether a store was set aside here: the controller is no founder any more, whatever its settings
    say.
    """
    return os.path.isdir(os.path.join(folder, BAD))


def prepare(folder: str) -> None:
    """Have the store of a folder in a state to be opened: believed, of this format, and not too large; or
    none. `BadStore` if that can't be at the moment.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        with take_lock(folder):
            _prepare(folder)
    except (OSError, lmdb.Error) as problem:
        raise BadStore(f"{folder}: {problem}") from None


def _prepare(folder: str) -> None:
    file, part, tries = (os.path.join(folder, name) for name in (STORE, PART, TRIES))
    _remove(part)
    if os.path.exists(os.path.join(folder, RENAMED)):
        sync_folder(folder)
        _remove(os.path.join(folder, RENAMED))
    if not os.path.exists(file):
        return
    # lmdb ends the process on some damages: that must not go on for ever.
    deaths = os.stat(tries).st_size if os.path.exists(tries) else 0
    try:
        if deaths >= DEATHS:
            raise Damaged(f"the process ended {deaths} times while it looked at it")
        # A disk that refuses this is no reason to wait: what it has can be read.
        with contextlib.suppress(OSError), open(tries, "ab") as count:
            count.write(b"x")
        _look_through(file, part)
    except Damaged as problem:
        set_aside(folder, str(problem))
    except BadStore as problem:
        raise BadStore(f"{folder}: {problem}") from None
    finally:
        _remove(tries)


def _look_through(file: str, part: str) -> None:
    _look_at_roots(file)
    try:
        env = open_env(file, file=True)
    except BROKEN as problem:
        raise Damaged(str(problem)) from None
    try:
        _fill(env, file)
        stock, dbs = survey(env, file)
        if stock.early is not None:
            raise BadStore("it is of a build before parts: carry the group over by a snapshot")
        if stock.format < FORMAT:
            _bring_up(env, dbs, stock.format)
            logger.info("store: the store was of format {}, it is of {} now", stock.format, FORMAT)
        small = worth_a_copy(stock, _bad_bytes(file)) and _copy(env, part, stock)
    finally:
        env.close()
    if small and _replace(part, file):
        logger.info("store: compact now, {} bytes of {} were used", stock.used_bytes, stock.file_bytes)


def _look_at_roots(file: str) -> None:
    """lmdb maps as much as its roots say, and tells too much of that as a want of memory."""
    with open(file, "rb") as raw:
        pages = raw.read(2 * PAGE)
    for at in range(0, len(pages) - ROOT_BYTES, PAGE):
        map_bytes, last = (int.from_bytes(pages[at + n : at + n + 8], sys.byteorder) for n in ROOT_FIELDS)
        if map_bytes > ROOT_MOST or last * PAGE > ROOT_MOST:
            raise Damaged("a root names more pages than a store has")


def _fill(env: lmdb.Environment, file: str) -> None:
    """A file shorter than its root says would end the process where the rest is read; zeros are found out."""
    whole = (env.info()["last_pgno"] + 1) * env.stat()["psize"]
    if os.stat(file).st_size < whole:
        os.truncate(file, whole)


def _bring_up(env: lmdb.Environment, dbs: Databases, format_: int) -> None:
    """Give the records of the first format their checksums, and the store its number, in one transaction."""
    with env.begin(write=True) as txn:
        for name, db in dbs.items() if format_ == 1 else ():
            for key, raw in [(bytes(k), bytes(v)) for k, v in txn.cursor(db=db)]:
                txn.put(key, wrap(name, key, raw), db=db)
        put_sealed(txn, dbs)


def worth_a_copy(stock: Stock, beside: int) -> bool:
    """Whether a smaller copy pays, and fits on the disk beside the file and what else is there, in bytes."""
    free = stock.file_bytes - stock.used_bytes
    fits = stock.file_bytes + 1.05 * stock.used_bytes + beside <= DISK_BYTES
    return stock.file_bytes >= COMPACT_BYTES and free > COMPACT_SHARE * stock.file_bytes and fits


def _copy(env: lmdb.Environment, part: str, stock: Stock) -> bool:
    """Write a compact copy, sealed, read back and synced; whether that went well. The old one stays."""
    try:
        with open(part, "wb") as out:
            env.copyfd(out.fileno(), compact=True)
        copy = open_env(part, file=True)
        try:
            dbs = {name: copy.open_db(name.encode()) for name in NAMES}
            with copy.begin(write=True) as txn:
                put_sealed(txn, dbs)
            found, _ = survey(copy, part)
            if (found.kept, found.keys, found.caught_up) != (stock.kept, stock.keys, stock.caught_up):
                raise Damaged("the copy is not like the store")
            copy.sync(True)
        finally:
            copy.close()
        return True
    except (OSError, lmdb.Error, BadStore) as problem:
        logger.warning("store: no compact copy could be made: {}", problem)
        _remove(part)
        return False


def _replace(part: str, file: str) -> bool:
    """Give the copy the store's name, for good; False if the old one stays. `OSError` if that may not last:
    nothing may be written to it before a later try has seen to that.
    """
    folder = os.path.dirname(file)
    renamed = os.path.join(folder, RENAMED)
    try:
        with open(renamed, "wb"):
            pass
        os.rename(part, file)
    except OSError as problem:
        logger.warning("store: no compact copy could be made: {}", problem)
        _remove(part)
        _remove(renamed)
        return False
    sync_folder(folder)
    _remove(renamed)
    return True


def set_aside(folder: str, why: str) -> None:
    """Put the store away under `bad`, where one is kept, unless it is large. `OSError`."""
    bad = os.path.join(folder, BAD)
    os.makedirs(bad, exist_ok=True)
    with open(os.path.join(bad, "why"), "w", encoding="utf-8") as note:
        note.write(why + "\n")
    kept = os.path.join(bad, STORE)
    os.replace(os.path.join(folder, STORE), kept)
    if os.stat(kept).st_size > BAD_MOST:
        os.remove(kept)
    sync_folder(bad)
    sync_folder(folder)
    logger.error("store: {}: {}; set aside, this controller has forgotten", folder, why)


def sync_folder(folder: str) -> None:
    """Have renamed and removed names last. `OSError`."""
    number = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def _remove(path: str) -> None:
    if os.path.exists(path):
        os.remove(path)


def _bad_bytes(file: str) -> int:
    kept = os.path.join(os.path.dirname(file), BAD, STORE)
    return os.stat(kept).st_size if os.path.exists(kept) else 0


async def ready(folder: str, stopping: asyncio.Event) -> bool:
    """Prepare a store in a thread of its own, for as long as that takes; False if told to stop before."""
    loop, said = asyncio.get_running_loop(), ""
    while not stopping.is_set():
        done: asyncio.Future[str] = loop.create_future()
        threading.Thread(target=_prepare_beside, args=(folder, loop, done), daemon=True).start()
        stop = loop.create_task(stopping.wait())
        await asyncio.wait((done, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if not done.done():
            return False
        problem = done.result()
        if not problem:
            return True
        if problem != said:
            logger.error("store: {}; waiting for it", problem)
            said = problem
        try:
            async with asyncio.timeout(AGAIN_S):
                await stopping.wait()
        except TimeoutError:
            pass
    return False


def _prepare_beside(folder: str, loop: asyncio.AbstractEventLoop, done: asyncio.Future[str]) -> None:
    try:
        prepare(folder)
        problem = ""
    except BadStore as found:
        problem = str(found)
    with contextlib.suppress(RuntimeError):  # the loop has ended
        loop.call_soon_threadsafe(_say, done, problem)


def _say(done: asyncio.Future[str], problem: str) -> None:
    if not done.done():
        done.set_result(problem)


# Beside a controller that does not run


def look(folder: str) -> Stock | None:
    """What the store of a folder holds, with nothing written; None if there is none. `BadStore`."""
    file, locked = os.path.join(folder, STORE), os.path.exists(os.path.join(folder, LOCK))
    if not os.path.exists(file):
        return None
    try:
        with take_lock(folder, "rb") if locked else contextlib.nullcontext():
            _look_at_roots(file)
            env = open_env(file, file=True, readonly=True)
            try:
                if os.stat(file).st_size < (env.info()["last_pgno"] + 1) * env.stat()["psize"]:
                    raise Damaged("the file is shorter than its root says")
                return survey(env, file)[0]
            finally:
                env.close()
    except (OSError, lmdb.Error) as problem:
        raise BadStore(f"{folder}: {problem}") from None
    except InUse:
        raise
    except BadStore as problem:
        raise BadStore(f"{folder}: {problem}") from None
