"""What a controller's store holds, and whether it can be trusted: every record is read and verified."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import lmdb
from cbor2 import CBORDecodeError

from orchidferry.balancing.register import AcceptorState, Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import CONTROLLER_DB, KEYS_DB, Databases, used_pages
from orchidferry.mesh.storage.record_format import (
    FORMAT_KEY,
    SEAL_KEY,
    STORE_FORMAT,
    CorruptStoreError,
    unpack,
    verify_checksum,
)

T = TypeVar("T")

DECODE_INTERVAL = 64  # one operation key in so many is unpacked, not only its checksum verified
FIELDS_BEFORE_OWNERS = 7  # of a packed value
CORRUPTION_ERRORS = (
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
    """What a store holds."""

    format: int
    kept: dict[int, AcceptorState]  # by shard; empty: nothing was written yet
    early: AcceptorState | None  # of a build before the state was cut into shards
    founders: tuple[str, ...]
    caught_up: frozenset[int]  # shards that it has caught up in
    keys: int
    used_bytes: int
    file_bytes: int

    def lines(self) -> list[str]:
        """What it holds, in lines for the operator: one for each shard among them."""
        if not self.kept and self.early is None:
            return [f"store: format {self.format}, empty"]
        found = [f"store: format {self.format}, {self.used_bytes} bytes used of {self.file_bytes}"]
        for number, kept in self.kept.items():
            caught = "caught up" if number in self.caught_up else "not caught up"
            found.append(
                f"part {number}: memory {kept.disk_id}, {caught}, accepted {_value_line(kept.value)}"
            )
        if self.early is not None:
            found.append(
                f"before parts: memory {self.early.disk_id}, accepted {_value_line(self.early.value)}"
            )
        return [*found, f"founders: {' '.join(self.founders)}", f"keys: {self.keys}"]


@dataclass(frozen=True, slots=True)
class Inspection:
    """A store that was read whole: its contents, and the open databases that it has."""

    contents: StoreContents
    dbs: Databases


def _value_line(value: Value | None) -> str:
    if value is None:
        return "nothing yet"
    body = shard_state.body(value)
    voters = " ".join(v.name for v in value.voters)
    duties = f"owner {body.owner or 'none'} under fence {body.fencing_token}"
    return f"version {value.version}, epoch {body.epoch}, revision {body.revision}, {duties}, voters {voters}"


def inspect(env: lmdb.Environment, file: str, names: Sequence[str]) -> Inspection:
    """Read the databases of these names, as far as they are there; nothing is written.

    `CorruptStoreError` says what is wrong with it.
    """
    try:
        return _inspect(env, file, _existing_databases(env, names))
    except CORRUPTION_ERRORS as problem:
        raise CorruptStoreError(str(problem)) from None


def _existing_databases(env: lmdb.Environment, names: Sequence[str]) -> Databases:
    dbs: Databases = {}
    for name in names:
        try:
            dbs[name] = env.open_db(name.encode(), create=False)
        except lmdb.NotFoundError:  # made when the store is opened
            continue
    return dbs


def _inspect(env: lmdb.Environment, file: str, dbs: Databases) -> Inspection:
    page_bytes = env.stat()["psize"]
    newest_transaction = env.info()["last_txnid"]
    with env.begin() as txn:
        raws = (
            {bytes(k): bytes(v) for k, v in txn.cursor(db=dbs[CONTROLLER_DB])} if CONTROLLER_DB in dbs else {}
        )
        found_format = _format_of(raws)
        sealed = found_format > 1
        records = {
            key: verify_checksum(CONTROLLER_DB, key, raw) if sealed else raw for key, raw in raws.items()
        }
        keys = _verify_keys(txn, dbs[KEYS_DB], sealed) if KEYS_DB in dbs else 0
        used = used_pages(txn, dbs)
    seal = _read(records, SEAL_KEY, int) if sealed else newest_transaction
    if raws and seal != newest_transaction:
        raise CorruptStoreError(
            f"the root is that of transaction {seal}, the number beside it {newest_transaction}"
        )
    numbers = [n for n in shard_state.SHARDS if _record_key("kept", n) in records]
    kept = {n: _require(records, _record_key("kept", n), _unpack_kept) for n in numbers}
    early = _read(records, b"kept", _unpack_kept) if not numbers and not sealed else None
    founders = _read(records, b"founders", _unpack_names) or ()
    if keys and not kept and early is None:
        raise CorruptStoreError("there are keys, and the records 'kept' of about are missing")
    caught_up = frozenset(n for n in shard_state.SHARDS if _record_key("caught", n) in records)
    size = os.stat(file).st_size
    contents = StoreContents(found_format, kept, early, founders, caught_up, keys, used * page_bytes, size)
    return Inspection(contents, dbs)


def _verify_keys(txn: Any, db: Any, sealed: bool) -> int:
    """Verify all operation keys; their number."""
    keys = 0
    for key, raw in txn.cursor(db=db):
        keys += 1
        value = verify_checksum(KEYS_DB, bytes(key), bytes(raw)) if sealed else bytes(raw)
        if not sealed or keys % DECODE_INTERVAL == 1:
            _verify_key(bytes(key), value)
    counted = txn.stat(db)["entries"]
    if keys != counted:
        raise CorruptStoreError(f"{keys} keys were found and {counted} are counted")
    return keys


def _verify_key(key: bytes, value: bytes) -> None:
    try:
        holder, time_slot, _answer = unpack(value)
    except (CBORDecodeError, ValueError, TypeError) as problem:
        raise CorruptStoreError(f"key {key[:40]!r} can't be read: {problem}") from None
    if not isinstance(holder, str) or not isinstance(time_slot, int):
        raise CorruptStoreError(f"key {key[:40]!r} is none")


def _record_key(name: str, number: int) -> bytes:
    return f"{name}/{number}".encode()


def _format_of(raws: dict[bytes, bytes]) -> int:
    if not raws:
        return STORE_FORMAT
    if FORMAT_KEY not in raws:
        return 1
    found = _require(
        {FORMAT_KEY: verify_checksum(CONTROLLER_DB, FORMAT_KEY, raws[FORMAT_KEY])}, FORMAT_KEY, int
    )
    if found > STORE_FORMAT:
        raise StoreError(f"format {found} is of a later build, {STORE_FORMAT} is the newest known here")
    return found


def _read(records: dict[bytes, bytes], key: bytes, check: Callable[[Any], T]) -> T | None:
    return _require(records, key, check) if key in records else None


def _require(records: dict[bytes, bytes], key: bytes, check: Callable[[Any], T]) -> T:
    """A record of `about` that is there, unpacked and checked."""
    try:
        return check(unpack(records[key]))
    except (CBORDecodeError, ValueError, TypeError, KeyError, IndexError) as problem:
        raise CorruptStoreError(f"record {key.decode()!r} of about can't be read: {problem}") from None


def _unpack_kept(packed: Any) -> AcceptorState:
    memory, promised, accepted, value = packed
    if value is not None and len(value) == FIELDS_BEFORE_OWNERS:
        value = [*value, "", 0]
    kept = shard_state.unpack_kept([memory, promised, accepted, value])
    if not isinstance(memory, int) or len(kept.promised) != 2 or len(kept.accepted) != 2:
        raise ValueError("it is no voter's memory")
    return kept


def _unpack_names(packed: Any) -> tuple[str, ...]:
    if not isinstance(packed, list) or not all(isinstance(name, str) for name in packed):
        raise ValueError("it is no list of names")
    return tuple(packed)
