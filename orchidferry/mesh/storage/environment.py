"""The files of a controller's data directory, and the LMDB environment in it."""

from __future__ import annotations

import contextlib
import fcntl
import os
from typing import IO, Any

import lmdb

from orchidferry.mesh.errors import StoreError

# Databases of the environment. The names are those of the first format, as stored data keeps them.
CONTROLLER_DB = "about"  # votes and other records about the controller itself
KEYS_DB = "slips"  # operation keys
DATABASE_NAMES = (CONTROLLER_DB, KEYS_DB)
MAX_DATABASES = 4  # database handles per environment: `DATABASE_NAMES`, and two for databases of later builds
MAX_READERS = 4  # concurrent read transactions
MAP_BYTES = 160 * 1024 * 1024  # size of the memory map, to which the store may grow
FIXED_PAGES = 3  # the two meta pages and the root page of the database that lists the others
PAGE_KINDS = ("branch_pages", "leaf_pages", "overflow_pages")  # keys in LMDB's statistics of a database
# Files of the data directory.
STORE_FILE = "data.mdb"
TEMPORARY_FILE = "data.part"  # a store that is being written; renamed once it is complete
LOCK_FILE = "lock"

Databases = dict[str, Any]  # LMDB's database handles, by database name


class StoreInUseError(StoreError):
    """Another process has the store open."""


def open_environment(
    path: str, *, file: bool = False, readonly: bool = False, map_bytes: int = MAP_BYTES
) -> lmdb.Environment:
    """Open an LMDB environment, without its databases.

    :param path: the data directory, or the store's file
    :param file: whether `path` is a file
    :param readonly: whether to open an existing environment without writing to it
    :param map_bytes: size of the memory map, to which the store may grow
    :raises OSError: if the file can't be opened
    :raises lmdb.Error: if the file is not an LMDB environment
    """
    return lmdb.open(
        path,
        map_size=map_bytes,
        max_dbs=MAX_DATABASES,
        lock=False,
        max_readers=MAX_READERS,
        readahead=False,
        subdir=not file,
        readonly=readonly,
        create=not readonly,
    )


def used_pages(txn: Any, dbs: Databases) -> int:
    """Count the pages in use; pages in the free list are not counted.

    :param txn: a transaction of the environment
    :param dbs: all databases of the environment
    """
    statistics = [txn.stat(db) for db in dbs.values()]
    return FIXED_PAGES + sum(int(stat[kind]) for stat in statistics for kind in PAGE_KINDS)


def required_file_bytes(env: lmdb.Environment) -> int:
    """Return the size in bytes that the store's file must have according to the newest meta page."""
    return int((env.info()["last_pgno"] + 1) * env.stat()["psize"])


def remove_if_exists(path: str) -> None:
    """Remove a file if it exists.

    :raises OSError: if the file can't be removed
    """
    if os.path.exists(path):
        os.remove(path)


def sync_directory(directory: str) -> None:
    """Sync a directory, which makes the creation, renaming and removal of files in it durable.

    :raises OSError: if the directory can't be opened or synced
    """
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_directory_and_parent(directory: str) -> None:
    """Sync a directory and its parent, which makes the directory's own creation durable too.

    :raises OSError: if either can't be synced; a parent that belongs to another user is skipped
    """
    sync_directory(directory)
    with contextlib.suppress(PermissionError):  # the parent may belong to the user who created the directory
        sync_directory(os.path.dirname(os.path.abspath(directory)))


def lock_store(directory: str, mode: str = "ab") -> IO[Any]:
    """Lock a store against other processes.

    This has no effect on a file system without locks, or if the lock file can't be opened.

    :param directory: the controller's data directory
    :param mode: mode in which the lock file is opened; "rb" does not create it
    :returns: an open file; closing it releases the lock
    :raises StoreInUseError: if another process holds the lock
    """
    try:
        file = open(os.path.join(directory, LOCK_FILE), mode)  # noqa: SIM115
    except OSError:
        return open(os.devnull, "rb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        raise StoreInUseError("the store is in use by another process", directory) from None
    except OSError:  # the file system does not support locks
        pass
    return file
