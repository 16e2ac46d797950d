"""Has a controller's store checked before it is used, repaired where that is safe, and compacted.

A store that can't be trusted is moved to `bad`, and the controller goes on as one that has forgotten: a wrong
memory would break its promises, an end of the process would only repeat itself, and a lost disk is a loss
that the group survives. What can't be read at the moment, or was written by a later build, is left as it is
and waited for.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import threading

import lmdb
from loguru import logger

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import (
    DATABASE_NAMES,
    LOCK_FILE,
    STORE_FILE,
    TEMPORARY_FILE,
    Databases,
    StoreInUseError,
    lock_store,
    open_environment,
    required_file_bytes,
    sync_directory,
)
from orchidferry.mesh.storage.inspection import CORRUPTION_ERRORS, StoreContents, inspect
from orchidferry.mesh.storage.record_format import STORE_FORMAT, CorruptStoreError, add_checksum, write_seal

# files of data_dir
ATTEMPTS_FILE = "opening"
RENAMED_FILE = "renamed"
QUARANTINE_DIRECTORY = "bad"  # a directory there
MAX_DISK_BYTES = 250_000_000  # of a disk of 256 MB
MAX_QUARANTINE_BYTES = 64_000_000  # bytes; a larger store that was moved to `bad` isn't kept
MIN_FREE_FRACTION = 0.5  # of the file that must be free for a compact copy
MIN_COMPACT_BYTES = 16 * 1024 * 1024  # a smaller file isn't worth a copy
COPY_SIZE_FACTOR = 1.05  # what a compact copy may take beyond the used pages
MAX_CRASHES = 2  # so often in a row the process ended during the check: the store is the cause
RETRY_INTERVAL_S = 0.5  # after a store could not be opened
# lmdb 0.9: its two meta pages, and where the size of the map and the last page's number stand in them
PAGE = 4096
META_BYTES = 152
META_FIELDS = (32, 136)
FIELD_BYTES = 8
MAX_META_BYTES = 2**32  # above any store's size

# Before a controller starts


def has_lost_state(folder: str) -> bool:
    """Whether a store was moved to `bad` here: the controller is no founder any more, whatever its settings
    say.
    """
    return os.path.isdir(os.path.join(folder, QUARANTINE_DIRECTORY))


def prepare_store(folder: str) -> None:
    """Have no store in a directory, or one that can be opened: verified, of this format, not too large.

    `StoreError` if that can't be done at the moment.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        with lock_store(folder):
            _prepare(folder)
    except (OSError, lmdb.Error) as problem:
        raise StoreError(f"{folder}: {problem}") from None


def _prepare(folder: str) -> None:
    file, part, tries = (os.path.join(folder, name) for name in (STORE_FILE, TEMPORARY_FILE, ATTEMPTS_FILE))
    _remove(part)
    if os.path.exists(os.path.join(folder, RENAMED_FILE)):
        sync_directory(folder)
        _remove(os.path.join(folder, RENAMED_FILE))
    if not os.path.exists(file):
        return
    # lmdb ends the process on some kinds of damage: that must not repeat itself for ever.
    deaths = os.stat(tries).st_size if os.path.exists(tries) else 0
    try:
        if deaths >= MAX_CRASHES:
            raise CorruptStoreError(f"the process ended {deaths} times while it looked at it")
        # A disk that refuses this is no reason to wait: its contents can still be read.
        with contextlib.suppress(OSError), open(tries, "ab") as count:
            count.write(b"x")
        _check_file(file, part)
    except CorruptStoreError as problem:
        quarantine(folder, str(problem))
    except StoreError as problem:
        raise StoreError(f"{folder}: {problem}") from None
    finally:
        _remove(tries)


def _check_file(file: str, part: str) -> None:
    _check_meta_pages(file)
    try:
        env = open_environment(file, file=True)
    except CORRUPTION_ERRORS as problem:
        raise CorruptStoreError(str(problem)) from None
    try:
        _extend_to_full_size(env, file)
        inspection = inspect(env, file, DATABASE_NAMES)
        contents = inspection.contents
        if contents.early is not None:
            raise StoreError("it is of a build before parts: carry the group over by a snapshot")
        if contents.format < STORE_FORMAT:
            _migrate(env, inspection.dbs, contents.format)
            logger.info("store: the store was of format {}, it is of {} now", contents.format, STORE_FORMAT)
        copied = should_compact(contents, _bad_bytes(file)) and _copy(env, part, contents)
    finally:
        env.close()
    if copied and _replace(part, file):
        logger.info("store: compact now, {} bytes of {} were used", contents.used_bytes, contents.file_bytes)


def _check_meta_pages(file: str) -> None:
    """lmdb maps as much as its meta pages say, and reports a size that is too large as a lack of memory."""
    with open(file, "rb") as raw:
        pages = raw.read(2 * PAGE)
    for page in range(0, len(pages) - META_BYTES, PAGE):
        starts = [page + field for field in META_FIELDS]
        map_bytes, last = (int.from_bytes(pages[at : at + FIELD_BYTES], sys.byteorder) for at in starts)
        if map_bytes > MAX_META_BYTES or last * PAGE > MAX_META_BYTES:
            raise CorruptStoreError("a root names more pages than a store has")


def _extend_to_full_size(env: lmdb.Environment, file: str) -> None:
    """Reading beyond the end of a truncated file would end the process; zeros are detected as damage."""
    whole = required_file_bytes(env)
    if os.stat(file).st_size < whole:
        os.truncate(file, whole)


def _migrate(env: lmdb.Environment, dbs: Databases, old_format: int) -> None:
    """Give the records of format 1 their checksums, and the store its number, in one transaction."""
    with env.begin(write=True) as txn:
        for name, db in dbs.items() if old_format == 1 else ():
            for key, raw in [(bytes(k), bytes(v)) for k, v in txn.cursor(db=db)]:
                txn.put(key, add_checksum(name, key, raw), db=db)
        write_seal(txn, dbs)


def should_compact(contents: StoreContents, other_bytes: int) -> bool:
    """Whether a compact copy pays, and fits on the disk beside the file and so many other bytes."""
    free = contents.file_bytes - contents.used_bytes
    fits = contents.file_bytes + COPY_SIZE_FACTOR * contents.used_bytes + other_bytes <= MAX_DISK_BYTES
    return (
        contents.file_bytes >= MIN_COMPACT_BYTES and free > MIN_FREE_FRACTION * contents.file_bytes and fits
    )


def _copy(env: lmdb.Environment, part: str, contents: StoreContents) -> bool:
    """Write a compact copy, sealed, read back and synced; whether that succeeded. The old file stays."""
    try:
        with open(part, "wb") as out:
            env.copyfd(out.fileno(), compact=True)
        copy = open_environment(part, file=True)
        try:
            dbs = {name: copy.open_db(name.encode()) for name in DATABASE_NAMES}
            with copy.begin(write=True) as txn:
                write_seal(txn, dbs)
            _require_same(inspect(copy, part, DATABASE_NAMES).contents, contents)
            copy.sync(True)
        finally:
            copy.close()
        return True
    except (OSError, lmdb.Error, StoreError) as problem:
        logger.warning("store: no compact copy could be made: {}", problem)
        _remove(part)
        return False


def _require_same(copy: StoreContents, store: StoreContents) -> None:
    if (copy.kept, copy.keys, copy.caught_up) != (store.kept, store.keys, store.caught_up):
        raise CorruptStoreError("the copy is not like the store")


def _replace(part: str, file: str) -> bool:
    """Give the copy the store's name durably; False if the old file stays.

    `OSError` if the new name may not be durable: nothing may be written to the file before a later call has
    synced the directory.
    """
    folder = os.path.dirname(file)
    renamed = os.path.join(folder, RENAMED_FILE)
    try:
        with open(renamed, "wb"):
            pass
        os.rename(part, file)
    except OSError as problem:
        logger.warning("store: no compact copy could be made: {}", problem)
        _remove(part)
        _remove(renamed)
        return False
    sync_directory(folder)
    _remove(renamed)
    return True


def quarantine(folder: str, why: str) -> None:
    """Move the store to `bad`, where the latest one is kept, unless it is large. `OSError`."""
    bad = os.path.join(folder, QUARANTINE_DIRECTORY)
    os.makedirs(bad, exist_ok=True)
    with open(os.path.join(bad, "why"), "w", encoding="utf-8") as note:
        note.write(why + "\n")
    sync_directory(folder)  # it is durable that this controller has forgotten, before its store goes
    kept = os.path.join(bad, STORE_FILE)
    os.replace(os.path.join(folder, STORE_FILE), kept)
    if os.stat(kept).st_size > MAX_QUARANTINE_BYTES:
        os.remove(kept)
    sync_directory(bad)
    sync_directory(folder)
    logger.error("store: {}: {}; set aside, this controller has forgotten", folder, why)


def _remove(path: str) -> None:
    if os.path.exists(path):
        os.remove(path)


def _bad_bytes(file: str) -> int:
    kept = os.path.join(os.path.dirname(file), QUARANTINE_DIRECTORY, STORE_FILE)
    return os.stat(kept).st_size if os.path.exists(kept) else 0


async def wait_until_ready(folder: str, stopping: asyncio.Event) -> bool:
    """Prepare a store in a thread of its own, for as long as that takes; False if told to stop before."""
    loop = asyncio.get_running_loop()
    last_problem = ""
    while not stopping.is_set():
        done: asyncio.Future[str] = loop.create_future()
        threading.Thread(target=_prepare_in_thread, args=(folder, loop, done), daemon=True).start()
        stop = loop.create_task(stopping.wait())
        await asyncio.wait((done, stop), return_when=asyncio.FIRST_COMPLETED)
        stop.cancel()
        if not done.done():
            return False
        problem = done.result()
        if not problem:
            return True
        if problem != last_problem:
            logger.error("store: {}; waiting for it", problem)
            last_problem = problem
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RETRY_INTERVAL_S):
                await stopping.wait()
    return False


def _prepare_in_thread(folder: str, loop: asyncio.AbstractEventLoop, done: asyncio.Future[str]) -> None:
    try:
        prepare_store(folder)
        problem = ""
    except StoreError as found:
        problem = str(found)
    with contextlib.suppress(RuntimeError):  # the loop has ended
        loop.call_soon_threadsafe(_set_result, done, problem)


def _set_result(done: asyncio.Future[str], problem: str) -> None:
    if not done.done():
        done.set_result(problem)


# While no controller runs


def read_contents(folder: str) -> StoreContents | None:
    """What the store of a directory holds, with nothing written; None if there is none. `StoreError`."""
    file = os.path.join(folder, STORE_FILE)
    locked = os.path.exists(os.path.join(folder, LOCK_FILE))
    if not os.path.exists(file):
        return None
    try:
        with lock_store(folder, "rb") if locked else contextlib.nullcontext():
            _check_meta_pages(file)
            env = open_environment(file, file=True, readonly=True)
            try:
                if os.stat(file).st_size < required_file_bytes(env):
                    raise CorruptStoreError("the file is shorter than its root says")
                return inspect(env, file, DATABASE_NAMES).contents
            finally:
                env.close()
    except (OSError, lmdb.Error) as problem:
        raise StoreError(f"{folder}: {problem}") from None
    except StoreInUseError:
        raise
    except StoreError as problem:
        raise StoreError(f"{folder}: {problem}") from None
