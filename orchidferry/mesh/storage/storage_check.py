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
    LOCK,
    NAMES,
    PART,
    STORE,
    Databases,
    StoreInUseError,
    open_env,
    size_by_meta_pages,
    sync_folder,
    take_lock,
)
from orchidferry.mesh.storage.inspection import BROKEN, StoreContents, inspect
from orchidferry.mesh.storage.record_format import FORMAT, CorruptStoreError, put_sealed, wrap

# files of data_dir
TRIES = "opening"
RENAMED = "renamed"
BAD = "bad"  # a directory there
DISK_BYTES = 250_000_000  # of a disk of 256 MB
MAX_BAD = 64_000_000  # bytes; a larger store that was moved to `bad` isn't kept
COMPACT_SHARE = 0.5  # of the file that must be free for a compact copy
COMPACT_BYTES = 16 * 1024 * 1024  # a smaller file isn't worth a copy
COPY_OVERHEAD = 1.05  # what a compact copy may take beyond the used pages
DEATHS = 2  # so often in a row the process ended during the check: the store is the cause
AGAIN_S = 0.5  # after a store could not be opened
# lmdb 0.9: its two meta pages, and where the size of the map and the last page's number stand in them
PAGE = 4096
META_BYTES = 152
META_FIELDS = (32, 136)
FIELD_BYTES = 8
MAX_META_BYTES = 2**32  # above any store's size

# Before a controller starts


def forgot(folder: str) -> bool:
    """Whether a store was moved to `bad` here: the controller is no founder any more, whatever its settings
    say.
    """
    return os.path.isdir(os.path.join(folder, BAD))


def prepare(folder: str) -> None:
    """Have no store in a directory, or one that can be opened: verified, of this format, not too large.

    `StoreError` if that can't be done at the moment.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        with take_lock(folder):
            _prepare(folder)
    except (OSError, lmdb.Error) as problem:
        raise StoreError(f"{folder}: {problem}") from None


def _prepare(folder: str) -> None:
    file, part, tries = (os.path.join(folder, name) for name in (STORE, PART, TRIES))
    _remove(part)
    if os.path.exists(os.path.join(folder, RENAMED)):
        sync_folder(folder)
        _remove(os.path.join(folder, RENAMED))
    if not os.path.exists(file):
        return
    # lmdb ends the process on some kinds of damage: that must not repeat itself for ever.
    deaths = os.stat(tries).st_size if os.path.exists(tries) else 0
    try:
        if deaths >= DEATHS:
            raise CorruptStoreError(f"the process ended {deaths} times while it looked at it")
        # A disk that refuses this is no reason to wait: its contents can still be read.
        with contextlib.suppress(OSError), open(tries, "ab") as count:
            count.write(b"x")
        _check_file(file, part)
    except CorruptStoreError as problem:
        set_aside(folder, str(problem))
    except StoreError as problem:
        raise StoreError(f"{folder}: {problem}") from None
    finally:
        _remove(tries)


def _check_file(file: str, part: str) -> None:
    _check_meta_pages(file)
    try:
        env = open_env(file, file=True)
    except BROKEN as problem:
        raise CorruptStoreError(str(problem)) from None
    try:
        _extend_to_full_size(env, file)
        inspection = inspect(env, file, NAMES)
        contents = inspection.contents
        if contents.early is not None:
            raise StoreError("it is of a build before parts: carry the group over by a snapshot")
        if contents.format < FORMAT:
            _migrate(env, inspection.dbs, contents.format)
            logger.info("store: the store was of format {}, it is of {} now", contents.format, FORMAT)
        copied = worth_a_copy(contents, _bad_bytes(file)) and _copy(env, part, contents)
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
    whole = size_by_meta_pages(env)
    if os.stat(file).st_size < whole:
        os.truncate(file, whole)


def _migrate(env: lmdb.Environment, dbs: Databases, old_format: int) -> None:
    """Give the records of format 1 their checksums, and the store its number, in one transaction."""
    with env.begin(write=True) as txn:
        for name, db in dbs.items() if old_format == 1 else ():
            for key, raw in [(bytes(k), bytes(v)) for k, v in txn.cursor(db=db)]:
                txn.put(key, wrap(name, key, raw), db=db)
        put_sealed(txn, dbs)


def worth_a_copy(contents: StoreContents, other_bytes: int) -> bool:
    """Whether a compact copy pays, and fits on the disk beside the file and so many other bytes."""
    free = contents.file_bytes - contents.used_bytes
    fits = contents.file_bytes + COPY_OVERHEAD * contents.used_bytes + other_bytes <= DISK_BYTES
    return contents.file_bytes >= COMPACT_BYTES and free > COMPACT_SHARE * contents.file_bytes and fits


def _copy(env: lmdb.Environment, part: str, contents: StoreContents) -> bool:
    """Write a compact copy, sealed, read back and synced; whether that succeeded. The old file stays."""
    try:
        with open(part, "wb") as out:
            env.copyfd(out.fileno(), compact=True)
        copy = open_env(part, file=True)
        try:
            dbs = {name: copy.open_db(name.encode()) for name in NAMES}
            with copy.begin(write=True) as txn:
                put_sealed(txn, dbs)
            _require_same(inspect(copy, part, NAMES).contents, contents)
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
    """Move the store to `bad`, where the latest one is kept, unless it is large. `OSError`."""
    bad = os.path.join(folder, BAD)
    os.makedirs(bad, exist_ok=True)
    with open(os.path.join(bad, "why"), "w", encoding="utf-8") as note:
        note.write(why + "\n")
    sync_folder(folder)  # it is durable that this controller has forgotten, before its store goes
    kept = os.path.join(bad, STORE)
    os.replace(os.path.join(folder, STORE), kept)
    if os.stat(kept).st_size > MAX_BAD:
        os.remove(kept)
    sync_folder(bad)
    sync_folder(folder)
    logger.error("store: {}: {}; set aside, this controller has forgotten", folder, why)


def _remove(path: str) -> None:
    if os.path.exists(path):
        os.remove(path)


def _bad_bytes(file: str) -> int:
    kept = os.path.join(os.path.dirname(file), BAD, STORE)
    return os.stat(kept).st_size if os.path.exists(kept) else 0


async def ready(folder: str, stopping: asyncio.Event) -> bool:
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
            async with asyncio.timeout(AGAIN_S):
                await stopping.wait()
    return False


def _prepare_in_thread(folder: str, loop: asyncio.AbstractEventLoop, done: asyncio.Future[str]) -> None:
    try:
        prepare(folder)
        problem = ""
    except StoreError as found:
        problem = str(found)
    with contextlib.suppress(RuntimeError):  # the loop has ended
        loop.call_soon_threadsafe(_set_result, done, problem)


def _set_result(done: asyncio.Future[str], problem: str) -> None:
    if not done.done():
        done.set_result(problem)


# While no controller runs


def look(folder: str) -> StoreContents | None:
    """What the store of a directory holds, with nothing written; None if there is none. `StoreError`."""
    file = os.path.join(folder, STORE)
    locked = os.path.exists(os.path.join(folder, LOCK))
    if not os.path.exists(file):
        return None
    try:
        with take_lock(folder, "rb") if locked else contextlib.nullcontext():
            _check_meta_pages(file)
            env = open_env(file, file=True, readonly=True)
            try:
                if os.stat(file).st_size < size_by_meta_pages(env):
                    raise CorruptStoreError("the file is shorter than its root says")
                return inspect(env, file, NAMES).contents
            finally:
                env.close()
    except (OSError, lmdb.Error) as problem:
        raise StoreError(f"{folder}: {problem}") from None
    except StoreInUseError:
        raise
    except StoreError as problem:
        raise StoreError(f"{folder}: {problem}") from None
