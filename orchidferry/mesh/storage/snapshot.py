"""A snapshot of what a controller knows: taken to a file, and put back as a new group when a majority of
disks is lost.

Votes are never put back: a controller that voted after its snapshot would break its promise. `put_into` makes
another group: voters with memories that nobody ever had, and a state that all of them have accepted in one
round, with numbers above all that the lost group can have reached. docs/design/storage.md has the argument.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
from dataclasses import replace
from typing import NamedTuple

import lmdb
from more_itertools import chunked

from orchidferry.balancing.register import Ballot, Kept, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import (
    ABOUT,
    KEYS,
    NAMES,
    PART,
    STORE,
    StoreInUseError,
    open_env,
    sync_folder,
    sync_names,
    take_lock,
)
from orchidferry.mesh.storage.inspection import Inspection, inspect
from orchidferry.mesh.storage.record_format import Put, pack, put_sealed, unwrap, wrap
from orchidferry.mesh.storage.snapshot_file import (
    HashedFile,
    Snapshot,
    SnapshotError,
    read_rows,
    read_snapshot,
    write_header,
)

__all__ = [
    "Restored",
    "Snapshot",
    "SnapshotError",
    "memory_of",
    "put_into",
    "read_snapshot",
    "restored",
    "take_from",
]

# Added to versions, epochs and fences: a group that changes some times a minute never gets so far.
AHEAD_VERSION = 2**32
AHEAD_EPOCH = 2**20
AHEAD_FENCE = 2**20
COUNTER = 1  # of the ballot in which the state was accepted; its name is nobody else's
MEMORIES = 2**53 - 2  # that a memory is drawn from; 0 and 1 have meanings of their own
BATCH = 500  # keys in one transaction


class Restored(NamedTuple):
    """What was put back: the snapshot, and what each founder remembers of each shard."""

    snapshot: Snapshot
    kept: dict[int, Kept]


def take_from(folder: str, path: str) -> Snapshot:
    """Write what the store of a directory knows to a file. `StoreError`, `SnapshotError`."""
    file = os.path.join(folder, STORE)
    if not os.path.exists(file):
        raise SnapshotError(f"{folder}: there is no store")
    try:
        with take_lock(folder):
            env = open_env(file, file=True, readonly=True)
            try:
                return _take(env, file, path)
            finally:
                env.close()
    except StoreInUseError as problem:
        raise StoreInUseError(f"{problem}: stop the controller first") from None
    except StoreError as problem:
        raise StoreError(f"{folder}: {problem}") from None
    except (OSError, lmdb.Error) as problem:
        raise SnapshotError(f"{path}: {problem}") from None


def _take(env: lmdb.Environment, file: str, path: str) -> Snapshot:
    inspection = inspect(env, file, NAMES)
    states = _states_of(inspection, file)
    keys = inspection.contents.keys
    part = path + ".part"
    with open(part, "wb") as out:
        hashed = HashedFile(out)
        write_header(hashed, states, keys)
        _write_rows(env, inspection, hashed)
        out.write(pack(hashed.hash.digest()))
        out.flush()
        os.fsync(out.fileno())
    os.replace(part, path)
    sync_folder(os.path.dirname(os.path.abspath(path)))
    return Snapshot(hashed.hash.digest(), states, keys)


def _states_of(inspection: Inspection, file: str) -> dict[int, Value]:
    """The state of each shard, the first one where nothing was accepted."""
    contents = inspection.contents
    kept = contents.kept
    if not kept and contents.early is not None:
        kept = {shard_state.CONFIGURATION: contents.early}
    if not kept:
        raise SnapshotError(f"{file}: nothing was written to it yet")
    first = shard_state.genesis(contents.founders)
    return {n: (kept[n].value if n in kept else None) or first for n in shard_state.SHARDS}


def _write_rows(env: lmdb.Environment, inspection: Inspection, out: HashedFile) -> None:
    if KEYS not in inspection.dbs:
        return
    sealed = inspection.contents.format > 1
    with env.begin(db=inspection.dbs[KEYS]) as txn:
        for key, raw in txn.cursor():
            name = bytes(key)
            row = bytes(raw)
            out.write(pack([name, unwrap(KEYS, name, row) if sealed else row]))


def memory_of(digest: bytes, founders: tuple[str, ...]) -> int:
    """The memory of all voters that a file gives these founders; another list gives another memory.

    >>> memory_of(b"d", ("a", "b")) == memory_of(b"d", ("a", "c"))
    False
    """
    digest_of_both = hashlib.sha256(digest + "\0".join(sorted(founders)).encode()).digest()
    return 2 + int.from_bytes(digest_of_both[:8], "big") % MEMORIES


def restored(snapshot: Snapshot, founders: tuple[str, ...]) -> dict[int, Kept]:
    """What each founder remembers of each shard: its state, as one that all of them accepted in one round."""
    memory = memory_of(snapshot.digest, founders)
    voters = tuple(Voter(name, memory) for name in sorted(founders))
    ballot: Ballot = (COUNTER, f"restored {snapshot.digest.hex()[:32]}")
    found = {}
    for number, old in snapshot.states.items():
        body = shard_state.body(old)
        body = replace(body, epoch=body.epoch + AHEAD_EPOCH, owner="", fence=body.fence + AHEAD_FENCE)
        found[number] = Kept(memory, ballot, ballot, Value(old.version + AHEAD_VERSION, voters, body))
    return found


def put_into(folder: str, path: str, founders: tuple[str, ...]) -> Restored:
    """Make a store of a file in an empty directory, whole or not at all. `SnapshotError`."""
    snapshot = read_snapshot(path)
    kept = restored(snapshot, founders)
    try:
        os.makedirs(folder, exist_ok=True)
        there = sorted(os.listdir(folder))
        if there:
            raise SnapshotError(f"{folder}: it is not empty, there is {there[0]!r}")
        part = os.path.join(folder, PART)
        env = open_env(part, file=True)
        try:
            _write_store(env, path, kept, founders)
            _verify_store(env, part, kept, snapshot)
        finally:
            env.close()
        os.rename(part, os.path.join(folder, STORE))
        sync_names(folder)
    except (OSError, lmdb.Error, StoreError) as problem:
        with contextlib.suppress(OSError):
            os.remove(os.path.join(folder, PART))
        raise SnapshotError(f"{folder}: {problem}") from None
    return Restored(snapshot, kept)


def _write_store(env: lmdb.Environment, path: str, kept: dict[int, Kept], founders: tuple[str, ...]) -> None:
    dbs = {name: env.open_db(name.encode()) for name in NAMES}
    puts: list[Put] = [(ABOUT, b"founders", pack(sorted(founders)))]
    for number, one in kept.items():
        puts += initial_records(number, one, True)
    with env.begin(write=True) as txn:
        for name, key, value in puts:
            assert value is not None
            txn.put(key, wrap(name, key, value), db=dbs[name])
        put_sealed(txn, dbs)
    for batch in chunked(read_rows(path), BATCH):
        with env.begin(write=True) as txn:
            for key, raw in batch:
                txn.put(key, wrap(KEYS, key, raw), db=dbs[KEYS])
            put_sealed(txn, dbs)
    env.sync(True)


def _verify_store(env: lmdb.Environment, part: str, kept: dict[int, Kept], snapshot: Snapshot) -> None:
    contents = inspect(env, part, NAMES).contents
    if contents.kept != kept or contents.keys != snapshot.keys:
        raise StoreError("what was written is not what is read")
