"""How records lie on disk: a checksum before each value, and a seal in each transaction.

The seal is a record that holds the number of its own transaction. A meta page that is older or newer than
the tree beside it does not match the seal, which `inspection` looks for before a store is used.
"""

from __future__ import annotations

import zlib
from typing import Any

import cbor2

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import CONTROLLER_DB, Databases

# Format 1 had neither checksums nor a seal, and no record of its number. In format 2 the configuration's
# text was never compressed: a build that does not know format 3 would hand out the compressed bytes.
STORE_FORMAT = 3
# records of `about`
FORMAT_KEY = b"format"
SEAL_KEY = b"seal"
CHECKSUM_BYTES = 4

RecordWrite = tuple[str, bytes, bytes | None]  # database, key, value; None deletes


class CorruptStoreError(StoreError):
    """The content of a store can't be trusted; one line that names the directory and the damage."""


def pack(value: Any) -> bytes:
    """A value as it is stored."""
    return cbor2.dumps(value)


def unpack(raw: bytes) -> Any:
    """The value that was stored."""
    return cbor2.loads(raw)


def add_checksum(name: str, key: bytes, value: bytes) -> bytes:
    """A value as it lies on disk: behind the checksum of database, key and value."""
    return _checksum(name, key, value) + value


def verify_checksum(name: str, key: bytes, raw: bytes) -> bytes:
    """The value of a record. `CorruptStoreError` names the record if its checksum is wrong.

    >>> unwrap("about", b"k", wrap("about", b"k", b"v"))
    b'v'
    """
    value = raw[CHECKSUM_BYTES:]
    if len(raw) < CHECKSUM_BYTES or raw[:CHECKSUM_BYTES] != _checksum(name, key, value):
        raise CorruptStoreError(f"record {key[:40]!r} of {name} has a wrong checksum")
    return value


def _checksum(name: str, key: bytes, value: bytes) -> bytes:
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(name.encode()))).to_bytes(CHECKSUM_BYTES, "big")


def write_seal(txn: Any, dbs: Databases) -> None:
    """Write the records that every transaction renews: the format, and the transaction's number."""
    for key, value in ((FORMAT_KEY, STORE_FORMAT), (SEAL_KEY, txn.id())):
        txn.put(key, add_checksum(CONTROLLER_DB, key, pack(value)), db=dbs[CONTROLLER_DB])
