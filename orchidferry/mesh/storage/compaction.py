"""Replaces a store that is mostly free by a compact copy, before it is opened for use.

The file of an lmdb store never shrinks by itself.
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

RENAMED_FILE = "renamed"  # of the data directory: present while the copy's new name may not be durable
MAX_DISK_BYTES = 250_000_000  # of a disk of 256 MB
MIN_FREE_FRACTION = 0.5  # of the file that must be free for a compact copy
MIN_COMPACT_BYTES = 16 * 1024 * 1024  # a smaller file isn't compacted
COPY_SIZE_FACTOR = 1.05  # most that a compact copy takes, relative to the used bytes


def should_compact(contents: StoreContents, other_bytes: int) -> bool:
    """Return whether a compact copy is worth while, and fits on the disk.

    :param contents: what the store holds
    :param other_bytes: on the disk beside the store's file
    """
    free = contents.file_bytes - contents.used_bytes
    needed = contents.file_bytes + COPY_SIZE_FACTOR * contents.used_bytes + other_bytes
    large = contents.file_bytes >= MIN_COMPACT_BYTES
    return large and free > MIN_FREE_FRACTION * contents.file_bytes and needed <= MAX_DISK_BYTES


def write_compact_copy(env: lmdb.Environment, path: str, contents: StoreContents) -> bool:
    """Write a compact copy, sealed, verified and synced. The store stays as it is.

    :param env: the store
    :param path: file of the copy
    :param contents: what the store holds
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
    """Give a compact copy the store's name, durably.

    :param copy: file of the copy, in the same directory
    :param file: the store's file
    :returns: whether the copy is the store now; if not, the old file stays
    :raises OSError: if the new name may not be durable: nothing may be written to the file before
        `finish_replacement` has synced the directory
    """
    directory = os.path.dirname(file)
    renamed = os.path.join(directory, RENAMED_FILE)
    try:
        with open(renamed, "wb"):
            pass
        os.rename(copy, file)
    except OSError as error:
        _abandon_copy(copy, error)
        remove_if_exists(renamed)
        return False
    sync_directory(directory)
    remove_if_exists(renamed)
    return True


def finish_replacement(directory: str) -> None:
    """Make the name of a compact copy durable, if that may not have been done.

    :param directory: the controller's data directory
    :raises OSError: if the directory can't be synced
    """
    renamed = os.path.join(directory, RENAMED_FILE)
    if os.path.exists(renamed):
        sync_directory(directory)
        remove_if_exists(renamed)


def _require_same(copy: StoreContents, store: StoreContents) -> None:
    same_shards = copy.acceptor_states == store.acceptor_states and copy.caught_up == store.caught_up
    if not same_shards or copy.key_count != store.key_count:
        raise CorruptStoreError("the copy is not like the store")


def _abandon_copy(path: str, error: Exception) -> None:
    logger.warning("store: no compact copy could be made: {}", error)
    remove_if_exists(path)
