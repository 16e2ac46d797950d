"""Checks a controller's store before it is used, repairs it if that is safe, and compacts it.

A damaged store is moved to the quarantine, and the controller continues as one that has lost its state: wrong
votes would break its promises, ending the process would only lead to the same failure after a restart, and a
group survives the loss of one disk. A store that can't be read at the moment, or that was written by a later
build, is left unchanged, and the controller waits until it can be used.
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
from orchidferry.mesh.storage.check_attempts import count_crashes, forget_attempts, recorded_attempt
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

MAX_CRASHES = 2  # after this many consecutive process crashes during the check the store counts as damaged
RETRY_INTERVAL_S = 0.5  # pause after a store could not be opened
# The layout of the two meta pages of LMDB 0.9.
PAGE_BYTES = 4096
META_BYTES = 152
META_FIELD_OFFSETS = (32, 136)  # of the size of the memory map, and of the last page's number
META_FIELD_BYTES = 8
MAX_META_BYTES = 2**32  # limit on the sizes in a meta page, larger than any valid store

# Before a controller starts


def prepare_store(directory: str) -> None:
    """Check, migrate and compact the store of a directory; a damaged store is moved to the quarantine.

    Afterwards the directory holds a store that can be opened, or none.

    :param directory: the controller's data directory; created if it is missing
    :raises StoreError: if the store can't be checked at the moment, or its format is not supported
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
    remove_if_exists(copy)
    finish_replacement(directory)
    if not os.path.exists(file):
        return forget_attempts(directory)
    crashes = count_crashes(directory)
    with recorded_attempt(directory):
        try:
            if crashes >= MAX_CRASHES:
                raise CorruptStoreError(f"the process crashed {crashes} times while it checked the store")
            _check_file(file, copy)
        except CorruptStoreError as error:
            quarantine_store(directory, str(error))
        except StoreError as error:
            raise StoreError(str(error), directory) from None
    return None


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
            raise StoreError("written by a build without shards: migrate the group by a snapshot")
        if contents.format < STORE_FORMAT:
            _migrate(env, inspection.dbs, contents.format)
            logger.info("store: migrated from format {} to format {}", contents.format, STORE_FORMAT)
        other_bytes = quarantined_bytes(os.path.dirname(file))
        copied = should_compact(contents, other_bytes) and write_compact_copy(env, copy, contents)
    finally:
        env.close()
    if copied and replace_store(copy, file):
        logger.info("store: compacted, {} bytes of {} were in use", contents.used_bytes, contents.file_bytes)


def _check_meta_pages(file: str) -> None:
    """Check the sizes in the meta pages: LMDB would map as many bytes, and fail as if memory were short.

    :raises CorruptStoreError: if a size is larger than that of any valid store
    """
    with open(file, "rb") as raw:
        pages = raw.read(2 * PAGE_BYTES)
    for page in range(0, len(pages) - META_BYTES, PAGE_BYTES):
        map_bytes, last_page = (
            int.from_bytes(pages[page + offset : page + offset + META_FIELD_BYTES], sys.byteorder)
            for offset in META_FIELD_OFFSETS
        )
        if map_bytes > MAX_META_BYTES or last_page * PAGE_BYTES > MAX_META_BYTES:
            raise CorruptStoreError("a meta page has a size that no valid store has")


def _extend_to_full_size(env: lmdb.Environment, file: str) -> None:
    """Extend a truncated file with zeros, which the check detects as damage.

    Reading a mapped page beyond the end of the file would crash the process.
    """
    required_bytes = required_file_bytes(env)
    if os.stat(file).st_size < required_bytes:
        os.truncate(file, required_bytes)


def _migrate(env: lmdb.Environment, dbs: Databases, old_format: int) -> None:
    """Migrate a store to the current format in one transaction; records of format 1 get checksums."""
    with env.begin(write=True) as txn:
        for name, db in dbs.items() if old_format == 1 else ():
            for key, raw in [(bytes(k), bytes(v)) for k, v in txn.cursor(db=db)]:
                txn.put(key, add_checksum(name, key, raw), db=db)
        write_seal(txn, dbs)


async def wait_until_ready(directory: str, stopping: asyncio.Event) -> bool:
    """Prepare a store in a separate thread, and retry until that succeeds.

    :param directory: the controller's data directory
    :param stopping: set when the process is to end
    :returns: True once the store is ready; False if the process is to end before
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
            logger.error("store: {}; retrying", problem)
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
    with contextlib.suppress(RuntimeError):  # the event loop is closed
        loop.call_soon_threadsafe(_set_result, done, problem)


def _set_result(done: asyncio.Future[str], problem: str) -> None:
    if not done.done():
        done.set_result(problem)


# While no controller runs


def read_contents(directory: str) -> StoreContents | None:
    """Read and verify the store of a directory; nothing is written.

    :param directory: the controller's data directory
    :returns: the contents of the store; None if there is no store
    :raises StoreInUseError: if a controller has the store open
    :raises StoreError: if the store can't be read or is damaged
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
            raise CorruptStoreError("the file is shorter than its newest meta page says")
        return inspect(env, file, DATABASE_NAMES).contents
    finally:
        env.close()
