"""Checks a controller's store before it is used, repairs it if that is safe, and compacts it.

A store that is damaged is moved to the quarantine, and the controller goes on as one that has lost its state:
wrong votes would break its promises, an end of the process would only repeat itself, and a lost disk is a
loss that the group survives. What can't be read at the moment, or was written by a later build, is left as it
is, and the controller waits for it.
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
from orchidferry.mesh.storage.compaction import (
    finish_replacement,
    replace_store,
    should_compact,
    write_compact_copy,
)
from orchidferry.mesh.storage.environment import (
    DATABASE_NAMES,
    LOCK_FILE,
    STORE_FILE,
    TEMPORARY_FILE,
    Databases,
    StoreInUseError,
    lock_store,
    open_environment,
    remove_if_exists,
    required_file_bytes,
)
from orchidferry.mesh.storage.inspection import CORRUPTION_ERRORS, StoreContents, inspect
from orchidferry.mesh.storage.quarantine import quarantine_store, quarantined_bytes
from orchidferry.mesh.storage.record_format import (
    STORE_FORMAT,
    CorruptStoreError,
    add_checksum,
    write_seal,
)

ATTEMPTS_FILE = "opening"  # of the data directory: one byte for each check that has not come to its end
MAX_CRASHES = 2  # so often in a row the process ended during the check: the store is the cause
RETRY_INTERVAL_S = 0.5  # after a store could not be opened
# lmdb 0.9: its two meta pages, and where the size of the map and the last page's number stand in them
PAGE_BYTES = 4096
META_BYTES = 152
META_FIELD_OFFSETS = (32, 136)
META_FIELD_BYTES = 8
MAX_META_BYTES = 2**32  # above any store's size

# Before a controller starts


def prepare_store(directory: str) -> None:
    """Leave no store in a directory, or one that can be opened: verified, of this format, not too large.

    :param directory: the controller's data directory; created if it is missing
    :raises StoreError: if that can't be done at the moment
    """
    try:
        os.makedirs(directory, exist_ok=True)
        with lock_store(directory):
            _prepare_locked(directory)
    except (OSError, lmdb.Error) as error:
        raise StoreError(str(error), directory) from None


def _prepare_locked(directory: str) -> None:
    file = os.path.join(directory, STORE_FILE)
    copy = os.path.join(directory, TEMPORARY_FILE)
    attempts = os.path.join(directory, ATTEMPTS_FILE)
    remove_if_exists(copy)
    finish_replacement(directory)
    if not os.path.exists(file):
        return
    # lmdb ends the process on some kinds of damage: that must not repeat itself for ever.
    crashes = os.stat(attempts).st_size if os.path.exists(attempts) else 0
    try:
        if crashes >= MAX_CRASHES:
            raise CorruptStoreError(f"the process ended {crashes} times while it looked at it")
        # A disk that refuses this is no reason to wait: its contents can still be read.
        with contextlib.suppress(OSError), open(attempts, "ab") as attempts_file:
            attempts_file.write(b"x")
        _check_file(file, copy)
    except CorruptStoreError as error:
        quarantine_store(directory, str(error))
    except StoreError as error:
        raise StoreError(str(error), directory) from None
    finally:
        remove_if_exists(attempts)


def _check_file(file: str, copy: str) -> None:
    _check_meta_pages(file)
    try:
        env = open_environment(file, file=True)
    except CORRUPTION_ERRORS as error:
        raise CorruptStoreError(str(error)) from None
    try:
        _extend_to_full_size(env, file)
        inspection = inspect(env, file, DATABASE_NAMES)
        contents = inspection.contents
        if contents.unsharded_state is not None:
            raise StoreError("it is of a build before parts: carry the group over by a snapshot")
        if contents.format < STORE_FORMAT:
            _migrate(env, inspection.dbs, contents.format)
            logger.info("store: the store was of format {}, it is of {} now", contents.format, STORE_FORMAT)
        other_bytes = quarantined_bytes(os.path.dirname(file))
        copied = should_compact(contents, other_bytes) and write_compact_copy(env, copy, contents)
    finally:
        env.close()
    if copied and replace_store(copy, file):
        logger.info("store: compact now, {} bytes of {} were used", contents.used_bytes, contents.file_bytes)


def _check_meta_pages(file: str) -> None:
    """LMDB maps as much as its meta pages say, and reports a size that is too large as a lack of memory."""
    with open(file, "rb") as raw:
        pages = raw.read(2 * PAGE_BYTES)
    for page in range(0, len(pages) - META_BYTES, PAGE_BYTES):
        map_bytes, last_page = (
            int.from_bytes(pages[page + offset : page + offset + META_FIELD_BYTES], sys.byteorder)
            for offset in META_FIELD_OFFSETS
        )
        if map_bytes > MAX_META_BYTES or last_page * PAGE_BYTES > MAX_META_BYTES:
            raise CorruptStoreError("a root names more pages than a store has")


def _extend_to_full_size(env: lmdb.Environment, file: str) -> None:
    """Reading beyond the end of a truncated file would end the process; zeros are detected as damage."""
    required_bytes = required_file_bytes(env)
    if os.stat(file).st_size < required_bytes:
        os.truncate(file, required_bytes)


def _migrate(env: lmdb.Environment, dbs: Databases, old_format: int) -> None:
    """Give the records of format 1 their checksums, and the store its number, in one transaction."""
    with env.begin(write=True) as txn:
        for name, db in dbs.items() if old_format == 1 else ():
            for key, raw in [(bytes(k), bytes(v)) for k, v in txn.cursor(db=db)]:
                txn.put(key, add_checksum(name, key, raw), db=db)
        write_seal(txn, dbs)


async def wait_until_ready(directory: str, stopping: asyncio.Event) -> bool:
    """Prepare a store in a thread of its own, as often as it takes.

    :param directory: the controller's data directory
    :param stopping: set when the process is to end
    :returns: whether the store is ready; False if the process is to end before
    """
    loop = asyncio.get_running_loop()
    last_problem = ""
    while not stopping.is_set():
        done: asyncio.Future[str] = loop.create_future()
        threading.Thread(target=_prepare_in_thread, args=(directory, loop, done), daemon=True).start()
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


def _prepare_in_thread(directory: str, loop: asyncio.AbstractEventLoop, done: asyncio.Future[str]) -> None:
    try:
        prepare_store(directory)
        problem = ""
    except StoreError as error:
        problem = str(error)
    with contextlib.suppress(RuntimeError):  # the loop has ended
        loop.call_soon_threadsafe(_set_result, done, problem)


def _set_result(done: asyncio.Future[str], problem: str) -> None:
    if not done.done():
        done.set_result(problem)


# While no controller runs


def read_contents(directory: str) -> StoreContents | None:
    """Read and verify the store of a directory, with nothing written.

    :param directory: the controller's data directory
    :returns: what it holds; None if there is no store
    :raises StoreInUseError: if a controller has it open
    :raises StoreError: if it can't be read or is damaged
    """
    file = os.path.join(directory, STORE_FILE)
    has_lock_file = os.path.exists(os.path.join(directory, LOCK_FILE))
    if not os.path.exists(file):
        return None
    try:
        with lock_store(directory, "rb") if has_lock_file else contextlib.nullcontext():
            return _read_contents_locked(file)
    except (OSError, lmdb.Error) as error:
        raise StoreError(str(error), directory) from None
    except StoreInUseError:
        raise
    except StoreError as error:
        raise StoreError(str(error), directory) from None


def _read_contents_locked(file: str) -> StoreContents:
    _check_meta_pages(file)
    env = open_environment(file, file=True, readonly=True)
    try:
        if os.stat(file).st_size < required_file_bytes(env):
            raise CorruptStoreError("the file is shorter than its root says")
        return inspect(env, file, DATABASE_NAMES).contents
    finally:
        env.close()
