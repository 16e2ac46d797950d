"""Snapshots of what a controller knows: taken to a file, and restored as a new group when a majority of the
disks is lost.

Votes are never restored: a controller that voted after its snapshot would break its promise.
`restore_snapshot` makes another group: voters with memory numbers that nobody ever had, and a state that all
of them have accepted in one ballot, with numbers above all that the lost group can have reached.
docs/design/storage.md has the argument.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
from dataclasses import replace
from typing import NamedTuple

import lmdb
from more_itertools import chunked

from orchidferry.balancing.register import AcceptorState, Ballot, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import (
    CONTROLLER_DB,
    DATABASE_NAMES,
    KEYS_DB,
    STORE_FILE,
    TEMPORARY_FILE,
    StoreInUseError,
    lock_store,
    open_environment,
    sync_directory,
    sync_directory_and_parent,
)
from orchidferry.mesh.storage.inspection import Inspection, inspect
from orchidferry.mesh.storage.record_format import (
    RecordWrite,
    add_checksum,
    pack,
    verify_checksum,
    write_seal,
)
from orchidferry.mesh.storage.snapshot_file import (
    HashedFile,
    Snapshot,
    SnapshotError,
    read_rows,
    read_snapshot,
    write_header,
)

# Added to versions, epochs and fences: a group that changes some times a minute never gets so far.
VERSION_OFFSET = 2**32
EPOCH_OFFSET = 2**20
FENCING_TOKEN_OFFSET = 2**20
BALLOT_COUNTER = 1  # of the ballot in which the state was accepted; its name is nobody else's
MEMORY_NUMBERS = 2**53 - 2  # that a memory is drawn from; 0 and 1 have meanings of their own
KEYS_PER_TRANSACTION = 500  # keys in one transaction


class RestoredGroup(NamedTuple):
    """What was put back: the snapshot, and what each founder remembers of each shard."""

    snapshot: Snapshot
    kept: dict[int, AcceptorState]


def take_snapshot(folder: str, path: str) -> Snapshot:
    """Write what the store of a directory knows to a file. `StoreError`, `SnapshotError`."""
    file = os.path.join(folder, STORE_FILE)
    if not os.path.exists(file):
        raise SnapshotError(f"{folder}: there is no store")
    try:
        with lock_store(folder):
            env = open_environment(file, file=True, readonly=True)
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
    inspection = inspect(env, file, DATABASE_NAMES)
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
    sync_directory(os.path.dirname(os.path.abspath(path)))
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
    if KEYS_DB not in inspection.dbs:
        return
    sealed = inspection.contents.format > 1
    with env.begin(db=inspection.dbs[KEYS_DB]) as txn:
        for key, raw in txn.cursor():
            name = bytes(key)
            row = bytes(raw)
            out.write(pack([name, verify_checksum(KEYS_DB, name, row) if sealed else row]))


def memory_number(digest: bytes, founders: tuple[str, ...]) -> int:
    """The memory of all voters that a file gives these founders; another list gives another memory.

    >>> memory_of(b"d", ("a", "b")) == memory_of(b"d", ("a", "c"))
    False
    """
    digest_of_both = hashlib.sha256(digest + "\0".join(sorted(founders)).encode()).digest()
    return 2 + int.from_bytes(digest_of_both[:8], "big") % MEMORY_NUMBERS


def restored_memories(snapshot: Snapshot, founders: tuple[str, ...]) -> dict[int, AcceptorState]:
    """What each founder remembers of each shard: its state, as one that all of them accepted in one round."""
    memory = memory_number(snapshot.digest, founders)
    voters = tuple(Voter(name, memory) for name in sorted(founders))
    ballot: Ballot = (BALLOT_COUNTER, f"restored {snapshot.digest.hex()[:32]}")
    found = {}
    for number, old in snapshot.states.items():
        body = shard_state.body(old)
        body = replace(
            body,
            epoch=body.epoch + EPOCH_OFFSET,
            owner="",
            fencing_token=body.fencing_token + FENCING_TOKEN_OFFSET,
        )
        found[number] = AcceptorState(
            memory, ballot, ballot, Value(old.version + VERSION_OFFSET, voters, body)
        )
    return found


def restore_snapshot(folder: str, path: str, founders: tuple[str, ...]) -> RestoredGroup:
    """Make a store of a file in an empty directory, whole or not at all. `SnapshotError`."""
    snapshot = read_snapshot(path)
    kept = restored_memories(snapshot, founders)
    try:
        os.makedirs(folder, exist_ok=True)
        there = sorted(os.listdir(folder))
        if there:
            raise SnapshotError(f"{folder}: it is not empty, there is {there[0]!r}")
        part = os.path.join(folder, TEMPORARY_FILE)
        env = open_environment(part, file=True)
        try:
            _write_store(env, path, kept, founders)
            _verify_store(env, part, kept, snapshot)
        finally:
            env.close()
        os.rename(part, os.path.join(folder, STORE_FILE))
        sync_directory_and_parent(folder)
    except (OSError, lmdb.Error, StoreError) as problem:
        with contextlib.suppress(OSError):
            os.remove(os.path.join(folder, TEMPORARY_FILE))
        raise SnapshotError(f"{folder}: {problem}") from None
    return RestoredGroup(snapshot, kept)


def _write_store(
    env: lmdb.Environment, path: str, kept: dict[int, AcceptorState], founders: tuple[str, ...]
) -> None:
    dbs = {name: env.open_db(name.encode()) for name in DATABASE_NAMES}
    puts: list[RecordWrite] = [(CONTROLLER_DB, b"founders", pack(sorted(founders)))]
    for number, one in kept.items():
        puts += initial_records(number, one, True)
    with env.begin(write=True) as txn:
        for name, key, value in puts:
            assert value is not None
            txn.put(key, add_checksum(name, key, value), db=dbs[name])
        write_seal(txn, dbs)
    for batch in chunked(read_rows(path), KEYS_PER_TRANSACTION):
        with env.begin(write=True) as txn:
            for key, raw in batch:
                txn.put(key, add_checksum(KEYS_DB, key, raw), db=dbs[KEYS_DB])
            write_seal(txn, dbs)
    env.sync(True)


def _verify_store(
    env: lmdb.Environment, part: str, kept: dict[int, AcceptorState], snapshot: Snapshot
) -> None:
    contents = inspect(env, part, DATABASE_NAMES).contents
    if contents.kept != kept or contents.keys != snapshot.keys:
        raise StoreError("what was written is not what is read")
