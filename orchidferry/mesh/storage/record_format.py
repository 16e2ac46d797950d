"""The format of records on disk: a checksum before each value, and a seal in each transaction.

The seal is a record that holds the number of the transaction that wrote it. If a meta page (which points to
the root of LMDB's B+ tree) is older or newer than the tree itself, its transaction number differs from the
seal; `inspection` compares the two before a store is used.
"""

from __future__ import annotations

import zlib
from typing import Any

import cbor2

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage.environment import CONTROLLER_DB, Databases

# Format 1 had neither checksums nor a seal, and no record with the format number. In format 2 the
# configuration's text was never compressed: a build that does not know format 3 would serve the compressed
# bytes.
STORE_FORMAT = 3
# Keys of records in `CONTROLLER_DB`.
FORMAT_KEY = b"format"
SEAL_KEY = b"seal"
CHECKSUM_BYTES = 4
MAX_KEY_BYTES_SHOWN = 40  # a record key is truncated to this length in error texts

RecordWrite = tuple[str, bytes, bytes | None]  # name of the database, key, value; the value None deletes


class CorruptStoreError(StoreError):
    """The content of a store is damaged; the text is one line that describes the damage."""


def pack(value: Any) -> bytes:
    """Return a value as it is stored (CBOR)."""
    return cbor2.dumps(value)


def unpack(raw: bytes) -> Any:
    """Return the value that `pack` encoded."""
    return cbor2.loads(raw)


def add_checksum(name: str, key: bytes, value: bytes) -> bytes:
    """Return the bytes stored for a value: the CRC-32 of database name, key and value, then the value.

    :param name: the database's name
    :param key: the record's key
    :param value: the record's value
    """
    return _checksum(name, key, value) + value


def verify_checksum(name: str, key: bytes, raw: bytes) -> bytes:
    """Verify a record's checksum and return its value.

    :param name: the database's name
    :param key: the record's key
    :param raw: the bytes stored under this key: checksum and value
    :raises CorruptStoreError: if the checksum is wrong

    >>> verify_checksum("about", b"k", add_checksum("about", b"k", b"v"))
    b'v'
    """
    value = raw[CHECKSUM_BYTES:]
    if len(raw) < CHECKSUM_BYTES or raw[:CHECKSUM_BYTES] != _checksum(name, key, value):
        raise CorruptStoreError(
            f"record {key[:MAX_KEY_BYTES_SHOWN]!r} in database {name} has a wrong checksum"
        )
    return value


def _checksum(name: str, key: bytes, value: bytes) -> bytes:
    return zlib.crc32(value, zlib.crc32(key, zlib.crc32(name.encode()))).to_bytes(CHECKSUM_BYTES, "big")


def write_seal(txn: Any, dbs: Databases) -> None:
    """Write the records that every transaction updates: the format number and the seal.

    :param txn: the write transaction
    :param dbs: the databases of the environment
    """
    for key, value in ((FORMAT_KEY, STORE_FORMAT), (SEAL_KEY, txn.id())):
        txn.put(key, add_checksum(CONTROLLER_DB, key, pack(value)), db=dbs[CONTROLLER_DB])
