"""The files of a controller's data directory, and the lmdb environment among them."""

from __future__ import annotations

import contextlib
import fcntl
import os
from typing import IO, Any

import lmdb

from orchidferry.mesh.errors import StoreError

# databases of the environment; their names on disk are those of the first format
CONTROLLER_DB = "about"  # votes and other records about the controller itself
KEYS_DB = "slips"  # operation keys
DATABASE_NAMES = (CONTROLLER_DB, KEYS_DB)
MAX_DATABASES = 4  # handles of an environment: `DATABASE_NAMES`, and what a later build adds
MAX_READERS = 4
MAP_BYTES = 160 * 1024 * 1024
FIXED_PAGES = 3  # the two meta pages and the root of the databases
PAGE_KINDS = ("branch_pages", "leaf_pages", "overflow_pages")  # as lmdb's statistics name them
# files of the data directory
STORE_FILE = "data.mdb"
TEMPORARY_FILE = "data.part"  # a store that is being written, before it is renamed
LOCK_FILE = "lock"

Databases = dict[str, Any]  # lmdb's handles, by name


class StoreInUseError(StoreError):
    """Another process has the store open."""


def open_environment(
    path: str, *, file: bool = False, readonly: bool = False, map_bytes: int = MAP_BYTES
) -> lmdb.Environment:
    """Open an lmdb environment, without its databases.

    :param path: the data directory, or the store's file
    :param file: whether `path` is a file
    :param readonly: whether it must exist and is not written to
    :param map_bytes: the size to which the store may grow
    :raises OSError: if the file can't be opened
    :raises lmdb.Error: if it is no store
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
    """Count the pages in use, without those of the free list.

    :param txn: a transaction of the environment
    :param dbs: all databases of the environment
    """
    statistics = [txn.stat(db) for db in dbs.values()]
    return FIXED_PAGES + sum(int(one[kind]) for one in statistics for kind in PAGE_KINDS)


def required_file_bytes(env: lmdb.Environment) -> int:
    """Return the size that the file must have according to the newest meta page."""
    return int((env.info()["last_pgno"] + 1) * env.stat()["psize"])


def remove_if_exists(path: str) -> None:
    """Remove a file if there is one.

    :raises OSError: if it can't be removed
    """
    if os.path.exists(path):
        os.remove(path)


def sync_directory(directory: str) -> None:
    """Make durable which files a directory contains (created, renamed and removed names).

    :raises OSError: if the directory can't be opened or synced
    """
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_directory_and_parent(directory: str) -> None:
    """Make durable which files a directory contains, and the directory's own name.

    :raises OSError: if either can't be synced; a parent that belongs to another user is left out
    """
    sync_directory(directory)
    with contextlib.suppress(PermissionError):  # the parent belongs to whoever made the directory
        sync_directory(os.path.dirname(os.path.abspath(directory)))


def lock_store(directory: str, mode: str = "ab") -> IO[Any]:
    """Lock a store against other processes.

    On a file system without locks, or one that refuses the lock file, this has no effect.

    :param mode: in which the lock file is opened; "rb" does not create it
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
        raise StoreInUseError("another process has it open", directory) from None
    except OSError:  # the file system has no locks
        pass
    return file
