"""The form of records on disk: a checksum before each value, and a seal in each transaction.

The seal is a record that holds the number of its own transaction. If a meta page (lmdb's root of the tree) is
older or newer than the tree that it names, its transaction number and the seal differ; `inspection` compares
them before a store is used.
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
# records of `CONTROLLER_DB`
FORMAT_KEY = b"format"
SEAL_KEY = b"seal"
CHECKSUM_BYTES = 4
MAX_KEY_BYTES_SHOWN = 40  # of a key, in the text of an error

RecordWrite = tuple[str, bytes, bytes | None]  # name of the database, key, value; the value None deletes


class CorruptStoreError(StoreError):
    """The content of a store is damaged; the text is one line that names the damage."""


def pack(value: Any) -> bytes:
    """Return a value as it is stored (CBOR)."""
    return cbor2.dumps(value)


def unpack(raw: bytes) -> Any:
    """Return the value that `pack` encoded."""
    return cbor2.loads(raw)


def add_checksum(name: str, key: bytes, value: bytes) -> bytes:
    """Return a value as it lies on disk: behind the CRC-32 of database, key and value."""
    return _checksum(name, key, value) + value


def verify_checksum(name: str, key: bytes, raw: bytes) -> bytes:
    """Verify a record's checksum and return its value.

    :param name: the database's name
    :param key: the record's key
    :param raw: the bytes that lie on disk under this key
    :raises CorruptStoreError: if the checksum is wrong

    >>> verify_checksum("about", b"k", add_checksum("about", b"k", b"v"))
    b'v'
    """
    value = raw[CHECKSUM_BYTES:]
    if len(raw) < CHECKSUM_BYTES or raw[:CHECKSUM_BYTES] != _checksum(name, key, value):
        raise CorruptStoreError(f"record {key[:MAX_KEY_BYTES_SHOWN]!r} of {name} has a wrong checksum")
    return value


def _checksum(name: str, key: bytes, value: bytes) -> bytes:
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(name.encode()))).to_bytes(CHECKSUM_BYTES, "big")


def write_seal(txn: Any, dbs: Databases) -> None:
    """Write the records that every transaction renews: the format, and the transaction's number."""
    for key, value in ((FORMAT_KEY, STORE_FORMAT), (SEAL_KEY, txn.id())):
        txn.put(key, add_checksum(CONTROLLER_DB, key, pack(value)), db=dbs[CONTROLLER_DB])
