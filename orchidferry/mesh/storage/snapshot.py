"""Snapshots of a controller's state: writing one to a file, and restoring a new group from it.

A group is restored when a majority of its disks is lost. Votes are never restored: a controller that voted
after the snapshot was taken would break its promise. `restore_snapshot` creates another group: its voters
have disk ids that no controller ever had, and all of them have accepted one state in one ballot. The version,
epoch and fencing token of that state are above all numbers that the lost group can have reached.
docs/design/storage.md explains why this is safe.
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

# Added to versions, epochs and fencing tokens: a group that changes a few times per minute never gets so far.
VERSION_OFFSET = 2**32
EPOCH_OFFSET = 2**20
FENCING_TOKEN_OFFSET = 2**20
BALLOT_COUNTER = 1  # counter of the ballot of the restored state; no proposer uses the name in this ballot
FIRST_DISK_ID = 2  # 0 and 1 are reserved
DISK_IDS = 2**53 - FIRST_DISK_ID  # number of possible disk ids of a restored group
KEYS_PER_TRANSACTION = 500  # operation keys that are written in one transaction


class RestoredGroup(NamedTuple):
    """A group that was restored from a snapshot.

    :ivar snapshot: the snapshot
    :ivar acceptor_states: the votes of each founder, by shard number
    """

    snapshot: Snapshot
    acceptor_states: dict[int, AcceptorState]


def take_snapshot(directory: str, path: str) -> Snapshot:
    """Write the contents of a store to a snapshot file.

    :param directory: the controller's data directory
    :param path: path of the snapshot's file; an existing file is replaced once the new one is complete
    :returns: the snapshot
    :raises StoreError: if the store is damaged or in use
    :raises SnapshotError: if there is no store, or the file can't be written
    """
    file = os.path.join(directory, STORE_FILE)
    if not os.path.exists(file):
        raise SnapshotError("there is no store", directory)
    try:
        with lock_store(directory):
            env = open_environment(file, file=True, readonly=True)
            try:
                return _write_snapshot(env, file, path)
            finally:
                env.close()
    except StoreInUseError as error:
        raise StoreInUseError(f"{error.problem}; stop the controller first", error.path) from None
    except StoreError as error:
        raise StoreError(str(error), directory) from None
    except (OSError, lmdb.Error) as error:
        raise SnapshotError(str(error), path) from None


def _write_snapshot(env: lmdb.Environment, file: str, path: str) -> Snapshot:
    inspection = inspect(env, file, DATABASE_NAMES)
    states = _shard_states(inspection, file)
    key_count = inspection.contents.key_count
    temporary_path = path + ".part"
    with open(temporary_path, "wb") as out:
        hashed = HashedFile(out)
        write_header(hashed, states, key_count)
        _write_rows(env, inspection, hashed)
        out.write(pack(hashed.hash.digest()))
        out.flush()
        os.fsync(out.fileno())
    os.replace(temporary_path, path)
    sync_directory(os.path.dirname(os.path.abspath(path)))
    return Snapshot(hashed.hash.digest(), states, key_count)


def _shard_states(inspection: Inspection, file: str) -> dict[int, Value]:
    """Return the accepted state of each shard, by shard number; the initial state if none was accepted."""
    contents = inspection.contents
    acceptor_states = contents.acceptor_states
    if not acceptor_states and contents.unsharded_state is not None:
        acceptor_states = {shard_state.CONFIGURATION: contents.unsharded_state}
    if not acceptor_states:
        raise SnapshotError("the store is empty", file)
    initial = shard_state.genesis(contents.founders)
    accepted = {number: state.value for number, state in acceptor_states.items()}
    return {number: accepted.get(number) or initial for number in shard_state.SHARDS}


def _write_rows(env: lmdb.Environment, inspection: Inspection, out: HashedFile) -> None:
    if KEYS_DB not in inspection.dbs:
        return
    sealed = inspection.contents.format > 1
    with env.begin(db=inspection.dbs[KEYS_DB]) as txn:
        for cursor_key, cursor_raw in txn.cursor():
            key = bytes(cursor_key)
            raw = bytes(cursor_raw)
            out.write(pack([key, verify_checksum(KEYS_DB, key, raw) if sealed else raw]))


def restored_disk_id(digest: bytes, founders: tuple[str, ...]) -> int:
    """Return the disk id that all voters of a restored group get.

    :param digest: digest of the snapshot
    :param founders: names of the group's founders, in any order; other founders result in another disk id

    >>> restored_disk_id(b"d", ("a", "b")) == restored_disk_id(b"d", ("a", "c"))
    False
    """
    digest_of_both = hashlib.sha256(digest + "\0".join(sorted(founders)).encode()).digest()
    return FIRST_DISK_ID + int.from_bytes(digest_of_both[:8], "big") % DISK_IDS


def restored_acceptor_states(snapshot: Snapshot, founders: tuple[str, ...]) -> dict[int, AcceptorState]:
    """Return the votes of each founder, by shard number: all accepted the snapshot's state in one ballot.

    :param snapshot: the snapshot
    :param founders: names of the founders of the restored group
    """
    disk_id = restored_disk_id(snapshot.digest, founders)
    voters = tuple(Voter(name, disk_id) for name in sorted(founders))
    ballot: Ballot = (BALLOT_COUNTER, f"restored {snapshot.digest.hex()[:32]}")
    acceptor_states = {}
    for number, old in snapshot.states.items():
        body = shard_state.body(old)
        body = replace(
            body,
            epoch=body.epoch + EPOCH_OFFSET,
            owner="",
            fencing_token=body.fencing_token + FENCING_TOKEN_OFFSET,
        )
        value = Value(old.version + VERSION_OFFSET, voters, body)
        acceptor_states[number] = AcceptorState(disk_id, ballot, ballot, value)
    return acceptor_states


def restore_snapshot(directory: str, path: str, founders: tuple[str, ...]) -> RestoredGroup:
    """Create a store from a snapshot in an empty directory, atomically.

    :param directory: the controller's data directory; created if it is missing
    :param path: path of the snapshot's file
    :param founders: names of the controllers of the new group
    :returns: the restored group
    :raises SnapshotError: if the snapshot can't be used, or the store can't be written
    """
    snapshot = read_snapshot(path)
    acceptor_states = restored_acceptor_states(snapshot, founders)
    temporary_path = os.path.join(directory, TEMPORARY_FILE)
    try:
        _require_empty(directory)
        env = open_environment(temporary_path, file=True)
        try:
            _write_store(env, path, acceptor_states, founders)
            _verify_store(env, temporary_path, acceptor_states, snapshot)
        finally:
            env.close()
        os.rename(temporary_path, os.path.join(directory, STORE_FILE))
        sync_directory_and_parent(directory)
    except (OSError, lmdb.Error, StoreError) as error:
        with contextlib.suppress(OSError):
            os.remove(temporary_path)
        raise SnapshotError(str(error), directory) from None
    return RestoredGroup(snapshot, acceptor_states)


def _require_empty(directory: str) -> None:
    os.makedirs(directory, exist_ok=True)
    present = sorted(os.listdir(directory))
    if present:
        raise SnapshotError(f"the directory is not empty, it contains {present[0]!r}", directory)


def _write_store(
    env: lmdb.Environment, path: str, acceptor_states: dict[int, AcceptorState], founders: tuple[str, ...]
) -> None:
    dbs = {name: env.open_db(name.encode()) for name in DATABASE_NAMES}
    records: list[RecordWrite] = [(CONTROLLER_DB, b"founders", pack(sorted(founders)))]
    for number, state in acceptor_states.items():
        records += initial_records(number, state, True)
    with env.begin(write=True) as txn:
        for name, key, value in records:
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
    env: lmdb.Environment, file: str, acceptor_states: dict[int, AcceptorState], snapshot: Snapshot
) -> None:
    contents = inspect(env, file, DATABASE_NAMES).contents
    if contents.acceptor_states != acceptor_states or contents.key_count != snapshot.key_count:
        raise StoreError("the new store differs from the snapshot")
