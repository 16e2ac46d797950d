"""The file format of a snapshot: writing the header, and reading the file.

A file is a sequence of CBOR items: a header, the states of all shards, the operation keys one by one, and the
SHA-256 digest of all preceding bytes.
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
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.storage.record_format import pack

MAGIC = "orchidferry snapshot"
SNAPSHOT_FORMAT = 2  # format of snapshots that this build writes
READABLE_FORMATS = (1, SNAPSHOT_FORMAT)  # in format 1 the configuration's text was never compressed
NONCE_BYTES = 16
READ_BYTES = 65_536  # size of one read when the digest is computed


class SnapshotError(OrchidferryError):
    """A snapshot can't be taken or restored; the text is one line.

    :ivar problem: description of the error
    :ivar subject: the file, directory or command line option at fault; empty if `problem` names it
    """

    def __init__(self, problem: str, subject: str = "") -> None:
        super().__init__(f"{subject}: {problem}" if subject else problem)
        self.problem = problem
        self.subject = subject


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The content of a snapshot's file, without the operation keys.

    :ivar digest: SHA-256 of the file's content
    :ivar states: the state of each shard, by shard number
    :ivar key_count: number of operation keys
    """

    digest: bytes
    states: dict[int, Value]
    key_count: int

    @property
    def summary(self) -> str:
        """One line for the operator."""
        body = shard_state.body(self.states[shard_state.CONFIGURATION])
        versions = [value.version for value in self.states.values()]
        return f"revision {body.revision}, shard versions {versions}, {self.key_count} keys"


@dataclass(frozen=True, slots=True)
class _Header:
    key_count: int
    states: dict[int, Value]  # by shard number


class HashedFile:
    """A file whose bytes are hashed as they are written.

    :ivar hash: SHA-256 of the bytes written so far
    """

    def __init__(self, file: IO[bytes]) -> None:
        self._file = file
        self.hash = hashlib.sha256()

    def write(self, raw: bytes) -> int:
        """Write and hash bytes; return how many were written."""
        self.hash.update(raw)
        return self._file.write(raw)


def write_header(file: HashedFile, states: dict[int, Value], key_count: int) -> None:
    """Write the items that precede the operation keys.

    A nonce makes the digests of files with the same content differ.

    :param file: the file
    :param states: the state of each shard, by shard number
    :param key_count: number of operation keys that will follow
    """
    file.write(pack([MAGIC, SNAPSHOT_FORMAT, os.urandom(NONCE_BYTES), key_count]))
    file.write(pack([[number, shard_state_codec.pack_value(value)] for number, value in states.items()]))


def read_snapshot(path: str) -> Snapshot:
    """Read and check a complete snapshot.

    :param path: path of the snapshot's file
    :raises SnapshotError: if the file can't be read, or is not a complete snapshot
    """
    digest = _verified_digest(path)
    with _open_snapshot(path) as file:
        reader = _Reader(path, file)
        header = _read_header(path, reader)
        for _ in range(header.key_count):
            reader.row()
        if reader.item() != digest:
            raise SnapshotError("the snapshot has more operation keys than its header says", path)
    return Snapshot(digest, header.states, header.key_count)


def read_rows(path: str) -> Iterator[tuple[bytes, bytes]]:
    """Yield the operation keys and their records, one by one.

    :param path: path of the snapshot's file
    :raises SnapshotError: if the file can't be read
    """
    with _open_snapshot(path) as file:
        reader = _Reader(path, file)
        for _ in range(_read_header(path, reader).key_count):
            yield reader.row()


def _verified_digest(path: str) -> bytes:
    """Compute the digest of the content, and compare it with the one at the end of the file.

    :raises SnapshotError: if the two differ, or the file can't be read
    """
    digest = hashlib.sha256()
    with _open_snapshot(path) as file:
        remaining = os.fstat(file.fileno()).st_size - len(pack(digest.digest()))
        while remaining > 0 and (raw := file.read(min(remaining, READ_BYTES))):
            digest.update(raw)
            remaining -= len(raw)
        if remaining or file.read() != pack(digest.digest()):
            raise SnapshotError("not a snapshot, or damaged or truncated: the digest does not match", path)
    return digest.digest()


def _open_snapshot(path: str) -> IO[bytes]:
    try:
        return open(path, "rb")
    except OSError as error:
        raise SnapshotError(str(error.strerror), path) from None


class _Reader:
    """Reads the CBOR items of a snapshot one after the other."""

    def __init__(self, path: str, file: IO[bytes]) -> None:
        self._path = path
        self._decoder = cbor2.CBORDecoder(file)

    def item(self) -> Any:
        """Return the next item."""
        try:
            return self._decoder.decode()
        except (cbor2.CBORDecodeError, ValueError, TypeError, OSError) as error:
            raise SnapshotError(f"can't decode the snapshot: {error}", self._path) from None

    def row(self) -> tuple[bytes, bytes]:
        """Return the next operation key and its record."""
        match self.item():
            case [bytes(key), bytes(raw)]:
                return key, raw
        raise SnapshotError("the snapshot has an invalid operation key", self._path)


def _read_header(path: str, reader: _Reader) -> _Header:
    match reader.item():
        case [str(magic), int(format_number), bytes(), int(key_count)] if magic == MAGIC and key_count >= 0:
            if format_number not in READABLE_FORMATS:
                raise SnapshotError(f"snapshot format {format_number} is not known here", path)
        case _:
            raise SnapshotError("not a snapshot", path)
    try:
        states = {number: shard_state_codec.unpack_value(packed) for number, packed in reader.item()}
    except (ValueError, TypeError) as error:
        raise SnapshotError(f"can't decode the state in the snapshot: {error}", path) from None
    decided = {number: value for number, value in states.items() if value is not None}
    if sorted(decided) != list(shard_state.SHARDS):
        raise SnapshotError(
            f"the snapshot has the shards {sorted(decided)}, but {list(shard_state.SHARDS)} are needed", path
        )
    return _Header(key_count, decided)
