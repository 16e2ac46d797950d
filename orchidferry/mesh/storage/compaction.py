"""Replaces a store with mostly free pages by a compact copy, before the store is opened for use.

The file of an LMDB environment never shrinks by itself.
"""

from __future__ import annotations

import os

import lmdb
from loguru import logger

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import (
    DATABASE_NAMES,
    open_environment,
    remove_if_exists,
    sync_directory,
)
from orchidferry.mesh.storage.inspection import StoreContents, inspect
from orchidferry.mesh.storage.record_format import CorruptStoreError, write_seal

RENAMED_FILE = "renamed"  # marker file in the data directory: the renaming of the copy may not be durable yet
MAX_DISK_BYTES = 250_000_000  # disk usage up to which compaction is allowed, on a disk of 256 MB
MIN_FREE_FRACTION = 0.5  # a store is compacted only if a larger fraction of its file is free
MIN_COMPACT_BYTES = 16 * 1024 * 1024  # smaller files aren't compacted
COPY_SIZE_FACTOR = 1.05  # largest size of a compact copy, relative to the used bytes


def should_compact(contents: StoreContents, other_bytes: int) -> bool:
    """Return whether a compact copy is worthwhile and fits on the disk.

    :param contents: the contents and the sizes of the store
    :param other_bytes: bytes on the disk besides the store's file
    """
    free = contents.file_bytes - contents.used_bytes
    needed = contents.file_bytes + COPY_SIZE_FACTOR * contents.used_bytes + other_bytes
    large = contents.file_bytes >= MIN_COMPACT_BYTES
    return large and free > MIN_FREE_FRACTION * contents.file_bytes and needed <= MAX_DISK_BYTES


def write_compact_copy(env: lmdb.Environment, path: str, contents: StoreContents) -> bool:
    """Write a compact copy of a store, sealed, verified and synced. The store itself is not changed.

    :param env: the environment of the store
    :param path: path of the copy
    :param contents: the contents of the store, to verify the copy
    :returns: whether the copy could be made
    """
    try:
        with open(path, "wb") as out:
            env.copyfd(out.fileno(), compact=True)
        copy = open_environment(path, file=True)
        try:
            dbs = {name: copy.open_db(name.encode()) for name in DATABASE_NAMES}
            with copy.begin(write=True) as txn:
                write_seal(txn, dbs)
            _require_same(inspect(copy, path, DATABASE_NAMES).contents, contents)
            copy.sync(True)
        finally:
            copy.close()
        return True
    except (OSError, lmdb.Error, StoreError) as error:
        _abandon_copy(path, error)
        return False


def replace_store(copy: str, file: str) -> bool:
    """Replace a store by its compact copy, durably.

    :param copy: path of the copy, in the same directory
    :param file: path of the store's file
    :returns: whether the copy has replaced the store; if not, the old file stays
    :raises OSError: if the renaming may not be durable: nothing may be written to the file before
        `finish_replacement` has synced the directory
    """
    directory = os.path.dirname(file)
    marker = os.path.join(directory, RENAMED_FILE)
    try:
        with open(marker, "wb"):
            pass
        os.rename(copy, file)
    except OSError as error:
        _abandon_copy(copy, error)
        remove_if_exists(marker)
        return False
    sync_directory(directory)
    remove_if_exists(marker)
    return True


def finish_replacement(directory: str) -> None:
    """Make the renaming of a compact copy durable, if an earlier process may not have done so.

    :param directory: the controller's data directory
    :raises OSError: if the directory can't be synced
    """
    marker = os.path.join(directory, RENAMED_FILE)
    if os.path.exists(marker):
        sync_directory(directory)
        remove_if_exists(marker)


def _require_same(copy: StoreContents, store: StoreContents) -> None:
    same_shards = copy.acceptor_states == store.acceptor_states and copy.caught_up == store.caught_up
    if not same_shards or copy.key_count != store.key_count:
        raise CorruptStoreError("the compact copy differs from the store")


def _abandon_copy(path: str, error: Exception) -> None:
    logger.warning("store: no compact copy could be made: {}", error)
    remove_if_exists(path)
