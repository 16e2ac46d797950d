"""The file of a snapshot, and reading it.

A file is a header, the states of all shards, the operation keys one after the other, and a digest of all
that: `cbor2` items in a row.
"""

from __future__ import annotations

import hashlib
import os
from collections.abc import Iterator
from dataclasses import dataclass
from typing import IO, Any

import cbor2

from orchidferry.balancing.register import Value
from orchidferry.errors import OrchidferryError
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.storage.record_format import pack

MAGIC = "orchidferry snapshot"
SNAPSHOT_FORMAT = 2  # that is written
READABLE_FORMATS = (
    1,
    SNAPSHOT_FORMAT,
)  # that are read: in format 1 the configuration's text was never compressed
NONCE_BYTES = 16
READ_BYTES = 65_536


class SnapshotError(OrchidferryError):
    """It can't be done; one line that names the file, directory or option."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a file holds, without its operation keys."""

    digest: bytes
    states: dict[int, Value]  # by shard
    keys: int

    @property
    def line(self) -> str:
        """A summary for the operator."""
        body = shard_state.body(self.states[shard_state.CONFIGURATION])
        versions = [value.version for value in self.states.values()]
        return f"revision {body.revision}, parts at versions {versions}, {self.keys} keys"


@dataclass(frozen=True, slots=True)
class _Header:
    keys: int
    states: dict[int, Value]  # by shard


class HashedFile:
    """A file whose bytes are hashed as they are written."""

    def __init__(self, file: IO[bytes]) -> None:
        self.file, self.hash = file, hashlib.sha256()

    def write(self, raw: bytes) -> int:
        """Write and hash these."""
        self.hash.update(raw)
        return self.file.write(raw)


def write_header(file: HashedFile, states: dict[int, Value], keys: int) -> None:
    """Write what stands before the keys. The nonce makes files of the same content differ."""
    file.write(pack([MAGIC, SNAPSHOT_FORMAT, os.urandom(NONCE_BYTES), keys]))
    file.write(pack([[number, shard_state.pack_value(value)] for number, value in states.items()]))


def read_snapshot(path: str) -> Snapshot:
    """Read and check a file whole. `SnapshotError`."""
    digest = _verified_digest(path)
    with _opened(path) as file:
        reader = _Reader(path, file)
        header = _read_header(path, reader)
        for _ in range(header.keys):
            reader.row()
        if reader.item() != digest:
            raise SnapshotError(f"{path}: it has more keys than it says")
    return Snapshot(digest, header.states, header.keys)


def read_rows(path: str) -> Iterator[tuple[bytes, bytes]]:
    """The operation keys and their records, one by one. `SnapshotError`."""
    with _opened(path) as file:
        reader = _Reader(path, file)
        for _ in range(_read_header(path, reader).keys):
            yield reader.row()


def _verified_digest(path: str) -> bytes:
    """The digest of all but the digest at the end, where that is the same."""
    found = hashlib.sha256()
    with _opened(path) as file:
        left = os.fstat(file.fileno()).st_size - len(pack(found.digest()))
        while left > 0 and (raw := file.read(min(left, READ_BYTES))):
            found.update(raw)
            left -= len(raw)
        if left or file.read() != pack(found.digest()):
            raise SnapshotError(
                f"{path}: it is no snapshot, or not whole: its digest isn't that of its bytes"
            )
    return found.digest()


def _opened(path: str) -> IO[bytes]:
    try:
        return open(path, "rb")
    except OSError as problem:
        raise SnapshotError(f"{path}: {problem.strerror}") from None


class _Reader:
    """Items in a row."""

    def __init__(self, path: str, file: IO[bytes]) -> None:
        self._path = path
        self._decoder = cbor2.CBORDecoder(file)

    def item(self) -> Any:
        try:
            return self._decoder.decode()
        except (cbor2.CBORDecodeError, ValueError, TypeError, OSError) as problem:
            raise SnapshotError(f"{self._path}: it can't be read: {problem}") from None

    def row(self) -> tuple[bytes, bytes]:
        match self.item():
            case [bytes(key), bytes(raw)]:
                return key, raw
        raise SnapshotError(f"{self._path}: what should be a key is none")


def _read_header(path: str, reader: _Reader) -> _Header:
    match reader.item():
        case [str(magic), int(format_number), bytes(), int(keys)] if magic == MAGIC and keys >= 0:
            if format_number not in READABLE_FORMATS:
                raise SnapshotError(f"{path}: format {format_number} is not known here")
        case _:
            raise SnapshotError(f"{path}: it is no snapshot")
    try:
        states = {number: shard_state.unpack_value(packed) for number, packed in reader.item()}
    except (ValueError, TypeError) as problem:
        raise SnapshotError(f"{path}: its state can't be read: {problem}") from None
    known = {number: value for number, value in states.items() if value is not None}
    if sorted(known) != list(shard_state.SHARDS):
        raise SnapshotError(
            f"{path}: it has the parts {sorted(known)}, {list(shard_state.SHARDS)} are needed"
        )
    return _Header(keys, known)
