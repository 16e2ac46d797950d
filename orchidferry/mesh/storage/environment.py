"""The files of a controller's data directory, and the lmdb environment among them."""

from __future__ import annotations

import contextlib
import fcntl
import os
from typing import IO, Any

import lmdb

from orchidferry.mesh.errors import StoreError

CONTROLLER_DB = "about"  # the database of votes and other records about the controller itself
KEYS_DB = "slips"  # the database of operation keys; the name on disk is that of the first format
DATABASE_NAMES = (CONTROLLER_DB, KEYS_DB)
MAX_DATABASES = 4  # handles of an environment: `DATABASE_NAMES`, and what a later build adds
MAP_BYTES = 160 * 1024 * 1024
# files of the directory
STORE_FILE = "data.mdb"
TEMPORARY_FILE = "data.part"
LOCK_FILE = "lock"
FIXED_PAGES = 3  # the two meta pages and the root of the databases

Databases = dict[str, Any]  # lmdb's handles, by name


class StoreInUseError(StoreError):
    """Another process has the store open."""


def open_environment(
    path: str, *, file: bool = False, readonly: bool = False, map_bytes: int = MAP_BYTES
) -> lmdb.Environment:
    """Open an environment without its databases. `OSError`, `lmdb.Error`."""
    return lmdb.open(
        path,
        map_size=map_bytes,
        max_dbs=MAX_DATABASES,
        lock=False,
        max_readers=4,
        readahead=False,
        subdir=not file,
        readonly=readonly,
        create=not readonly,
    )


def used_pages(txn: Any, dbs: Databases) -> int:
    """Count the pages in use, without those of the free list."""
    kinds = ("branch_pages", "leaf_pages", "overflow_pages")
    return FIXED_PAGES + sum(int(stat[kind]) for stat in map(txn.stat, dbs.values()) for kind in kinds)


def required_file_bytes(env: lmdb.Environment) -> int:
    """The bytes that the file must have according to the newest meta page."""
    return int((env.info()["last_pgno"] + 1) * env.stat()["psize"])


def sync_directory(folder: str) -> None:
    """Make created, renamed and removed names of a directory durable. `OSError`."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_directory_and_parent(folder: str) -> None:
    """Make the names in a directory durable, and the directory's own name. `OSError`."""
    sync_directory(folder)
    with contextlib.suppress(PermissionError):  # the parent belongs to whoever made the directory
        sync_directory(os.path.dirname(os.path.abspath(folder)))


def lock_store(folder: str, mode: str = "ab") -> IO[Any]:
    """Lock a store against other processes until the file is closed. `StoreInUseError`.

    Where the file system grants locks that do nothing, or refuses the file, this has no effect.
    """
    try:
        file = open(os.path.join(folder, LOCK_FILE), mode)  # noqa: SIM115
    except OSError:
        return open(os.devnull, "rb")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        file.close()
        raise StoreInUseError(f"{folder}: another process has it open") from None
    except OSError:  # the file system has no locks
        pass
    return file
