"""Reads a controller's store and verifies every record: returns the contents, or reports the damage."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import lmdb
from cbor2 import CBORDecodeError

from orchidferry.balancing.register import AcceptorState, Value
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import CONTROLLER_DB, KEYS_DB, Databases, used_pages
from orchidferry.mesh.storage.record_format import (
    FORMAT_KEY,
    MAX_KEY_BYTES_SHOWN,
    SEAL_KEY,
    STORE_FORMAT,
    CorruptStoreError,
    unpack,
    verify_checksum,
)

T = TypeVar("T")

DECODE_INTERVAL = 64  # one in this many keys is decoded; of the others only the checksum is verified
FIELDS_BEFORE_OWNERS = 7  # length of a packed value of builds without shard owners
CORRUPTION_ERRORS = (  # errors with which LMDB reports a damaged file
    lmdb.CorruptedError,
    lmdb.InvalidError,
    lmdb.VersionMismatchError,
    lmdb.PageNotFoundError,
    lmdb.PageFullError,
    lmdb.IncompatibleError,
    lmdb.CursorFullError,
    lmdb.BadTxnError,
    lmdb.BadValsizeError,
    lmdb.PanicError,
    lmdb.NotFoundError,
)


@dataclass(frozen=True, slots=True)
class StoreContents:
    """The contents and the sizes of a store.

    :ivar format: number of the store's format
    :ivar acceptor_states: votes of this controller, by shard number; empty if nothing was written yet
    :ivar unsharded_state: votes written by a build that did not divide the state into shards yet; None if
        there are none
    :ivar founders: names of the controllers of the first group
    :ivar caught_up: numbers of the shards in which this controller has caught up
    :ivar key_count: number of operation keys
    :ivar used_bytes: size of the pages in use, in bytes
    :ivar file_bytes: size of the store's file, in bytes
    """

    format: int
    acceptor_states: dict[int, AcceptorState]
    unsharded_state: AcceptorState | None
    founders: tuple[str, ...]
    caught_up: frozenset[int]
    key_count: int
    used_bytes: int
    file_bytes: int

    def lines(self) -> list[str]:
        """Return a summary for the operator, as lines; it has one line for each shard."""
        if not self.acceptor_states and self.unsharded_state is None:
            return [f"store: format {self.format}, empty"]
        lines = [f"store: format {self.format}, {self.used_bytes} bytes used of {self.file_bytes}"]
        for number, state in self.acceptor_states.items():
            progress = "caught up" if number in self.caught_up else "not caught up"
            accepted = _describe_value(state.value)
            lines.append(f"shard {number}: disk id {state.disk_id}, {progress}, accepted {accepted}")
        if self.unsharded_state is not None:
            accepted = _describe_value(self.unsharded_state.value)
            lines.append(f"without shards: disk id {self.unsharded_state.disk_id}, accepted {accepted}")
        return [*lines, f"founders: {' '.join(self.founders)}", f"keys: {self.key_count}"]


@dataclass(frozen=True, slots=True)
class Inspection:
    """The result of inspecting a store.

    :ivar contents: the contents of the store
    :ivar dbs: handles of its databases, which are open
    """

    contents: StoreContents
    dbs: Databases


def _describe_value(value: Value | None) -> str:
    if value is None:
        return "nothing yet"
    body = shard_state.body(value)
    voters = " ".join(voter.name for voter in value.voters)
    ownership = f"owner {body.owner or 'none'}, fencing token {body.fencing_token}"
    return (
        f"version {value.version}, epoch {body.epoch}, revision {body.revision}, {ownership}, voters {voters}"
    )


def inspect(env: lmdb.Environment, file: str, names: Sequence[str]) -> Inspection:
    """Read and verify all records of a store; nothing is written.

    :param env: the environment of the store
    :param file: path of the store's file
    :param names: names of the databases to read; those that do not exist are skipped
    :raises CorruptStoreError: if the store is damaged
    :raises StoreError: if a later build wrote the store
    """
    try:
        return _inspect(env, file, _open_existing_databases(env, names))
    except CORRUPTION_ERRORS as error:
        raise CorruptStoreError(str(error)) from None


def _open_existing_databases(env: lmdb.Environment, names: Sequence[str]) -> Databases:
    dbs: Databases = {}
    for name in names:
        try:
            dbs[name] = env.open_db(name.encode(), create=False)
        except lmdb.NotFoundError:  # `Store` creates missing databases when it opens the store
            continue
    return dbs


def _inspect(env: lmdb.Environment, file: str, dbs: Databases) -> Inspection:
    newest_transaction = env.info()["last_txnid"]
    with env.begin() as txn:
        raw_records = _raw_controller_records(txn, dbs)
        format_number = _read_format(raw_records)
        sealed = format_number > 1
        records = {key: _value_of(CONTROLLER_DB, key, raw, sealed) for key, raw in raw_records.items()}
        key_count = _verify_keys(txn, dbs[KEYS_DB], sealed) if KEYS_DB in dbs else 0
        used_bytes = used_pages(txn, dbs) * env.stat()["psize"]
    if raw_records and sealed:
        _check_seal(records, newest_transaction)
    acceptor_states = _acceptor_states(records)
    unsharded_state = None
    if not acceptor_states and not sealed:
        unsharded_state = _read(records, b"kept", _unpack_acceptor_state)
    founders = _read(records, b"founders", _unpack_names) or ()
    if key_count and not acceptor_states and unsharded_state is None:
        raise CorruptStoreError(
            "there are operation keys, but the records 'kept' in database about are missing"
        )
    contents = StoreContents(
        format_number,
        acceptor_states,
        unsharded_state,
        founders,
        frozenset(n for n in shard_state.SHARDS if _record_key("caught", n) in records),
        key_count,
        used_bytes,
        os.stat(file).st_size,
    )
    return Inspection(contents, dbs)


def _raw_controller_records(txn: Any, dbs: Databases) -> dict[bytes, bytes]:
    if CONTROLLER_DB not in dbs:
        return {}
    return {bytes(key): bytes(raw) for key, raw in txn.cursor(db=dbs[CONTROLLER_DB])}


def _value_of(name: str, key: bytes, raw: bytes, sealed: bool) -> bytes:
    """Return the value of a record; records of format 1, which is not sealed, have no checksum."""
    return verify_checksum(name, key, raw) if sealed else raw


def _check_seal(records: dict[bytes, bytes], newest_transaction: int) -> None:
    seal = _read(records, SEAL_KEY, int)
    if seal != newest_transaction:
        raise CorruptStoreError(
            f"the seal is of transaction {seal}, the newest meta page of transaction {newest_transaction}"
        )


def _acceptor_states(records: dict[bytes, bytes]) -> dict[int, AcceptorState]:
    keys = {number: _record_key("kept", number) for number in shard_state.SHARDS}
    return {
        number: _require(records, key, _unpack_acceptor_state)
        for number, key in keys.items()
        if key in records
    }


def _verify_keys(txn: Any, db: Any, sealed: bool) -> int:
    """Verify all operation keys and return their number."""
    key_count = 0
    for key, raw in txn.cursor(db=db):
        key_count += 1
        value = _value_of(KEYS_DB, bytes(key), bytes(raw), sealed)
        if not sealed or key_count % DECODE_INTERVAL == 1:
            _verify_key(bytes(key), value)
    expected = txn.stat(db)["entries"]
    if key_count != expected:
        raise CorruptStoreError(f"found {key_count} operation keys, expected {expected}")
    return key_count


def _verify_key(key: bytes, value: bytes) -> None:
    shown_key = key[:MAX_KEY_BYTES_SHOWN]
    try:
        attempt_id, age_bucket, _answer = unpack(value)
    except (CBORDecodeError, ValueError, TypeError) as error:
        raise CorruptStoreError(f"operation key {shown_key!r} can't be decoded: {error}") from None
    if not isinstance(attempt_id, str) or not isinstance(age_bucket, int):
        raise CorruptStoreError(f"operation key {shown_key!r} has an invalid record")


def _record_key(name: str, shard: int) -> bytes:
    return f"{name}/{shard}".encode()


def _read_format(raw_records: dict[bytes, bytes]) -> int:
    if not raw_records:
        return STORE_FORMAT
    if FORMAT_KEY not in raw_records:
        return 1
    value = verify_checksum(CONTROLLER_DB, FORMAT_KEY, raw_records[FORMAT_KEY])
    format_number = _require({FORMAT_KEY: value}, FORMAT_KEY, int)
    if format_number > STORE_FORMAT:
        raise StoreError(
            f"format {format_number} was written by a later build; this build supports up to {STORE_FORMAT}"
        )
    return format_number


def _read(records: dict[bytes, bytes], key: bytes, convert: Callable[[Any], T]) -> T | None:
    return _require(records, key, convert) if key in records else None


def _require(records: dict[bytes, bytes], key: bytes, convert: Callable[[Any], T]) -> T:
    """Decode and convert a record of `CONTROLLER_DB` that must exist.

    :param records: values of the database's records, by key
    :param key: key of the record
    :param convert: converts the decoded value, and checks it
    :raises CorruptStoreError: if the record is missing or malformed
    """
    try:
        return convert(unpack(records[key]))
    except (CBORDecodeError, ValueError, TypeError, KeyError, IndexError) as error:
        raise CorruptStoreError(
            f"record {key.decode()!r} in database about can't be decoded: {error}"
        ) from None


def _unpack_acceptor_state(packed: Any) -> AcceptorState:
    disk_id, promised, accepted, value = packed
    if value is not None and len(value) == FIELDS_BEFORE_OWNERS:
        value = [*value, "", 0]
    state = shard_state_codec.unpack_acceptor_state([disk_id, promised, accepted, value])
    if not isinstance(disk_id, int) or len(state.promised) != 2 or len(state.accepted) != 2:
        raise ValueError("not the state of an acceptor")
    return state


def _unpack_names(packed: Any) -> tuple[str, ...]:
    if not isinstance(packed, list) or not all(isinstance(name, str) for name in packed):
        raise ValueError("not a list of names")
    return tuple(packed)
