"""A snapshot of what a controller knows, out to a file and back, for the day when a majority of disks is
gone.

Votes never come back: a controller that voted after its snapshot would break its word. What `put` makes is
another group: voters with memories that nobody ever had, and a state that all of them have accepted in one
round, with numbers above all that the lost group can have reached. Its argument is in docs/design/store.md.

A file is a head, a state, keys one after the other, and a digest of all that: `cbor2` items in a row.
"""

from __future__ import annotations

import contextlib
import hashlib
import importlib
import ipaddress
import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import IO, Any

import cbor2
import lmdb
from more_itertools import chunked

from mesh.control import shard_state
from mesh.control.shard import remembered
from mesh.errors import BadStore
from mesh.settings import BadSettings, Settings, read_settings
from mesh.storage.storage_check import PART, STORE, survey, sync_folder
from mesh.storage.store import NAMES, InUse, Put, open_env, pack, put_sealed, take_lock, unwrap, wrap
from nickelbridge.register import Ballot, Kept, Value, Voter

MAGIC = "orchidferry snapshot"
FORMAT, FORMATS = 2, (1, 2)  # written; read: in the first the configuration's text was never compressed
# Added to versions; to epochs and fences: a group that changes some times a minute never gets so far.
AHEAD_VERSION, AHEAD = 2**32, 2**20
COUNTER = 1  # of the ballot in which the state was accepted; its name is nobody else's
BATCH = 500  # keys in one transaction


class BadSnapshot(Exception):
    """It can't be done; one line that names the file, folder or option."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What a file holds, its keys left where they are."""

    digest: bytes
    states: dict[int, Value]  # by part
    keys: int

    @property
    def line(self) -> str:
        """It in a few words."""
        body, versions = (
            shard_state.body(self.states[shard_state.CONFIGURATION]),
            [v.version for v in self.states.values()],
        )
        return f"revision {body.revision}, parts at versions {versions}, {self.keys} keys"


class _Summed:
    """A file whose bytes are added up on their way."""

    def __init__(self, file: IO[bytes]) -> None:
        self.file, self.sum = file, hashlib.sha256()

    def write(self, raw: bytes) -> int:
        self.sum.update(raw)
        return self.file.write(raw)


# Out


def take_from(folder: str, path: str) -> Snapshot:
    """Write what the store of a folder knows to a file. `BadStore`, `BadSnapshot`."""
    file = os.path.join(folder, STORE)
    if not os.path.exists(file):
        raise BadSnapshot(f"{folder}: there is no store")
    try:
        with take_lock(folder):
            env = open_env(file, file=True, readonly=True)
            try:
                return _take(env, file, path)
            finally:
                env.close()
    except InUse as problem:
        raise InUse(f"{problem}: stop the controller first") from None
    except BadStore as problem:
        raise BadStore(f"{folder}: {problem}") from None
    except (OSError, lmdb.Error) as problem:
        raise BadSnapshot(f"{path}: {problem}") from None


def _take(env: lmdb.Environment, file: str, path: str) -> Snapshot:
    stock, dbs = survey(env, file)
    known = stock.kept or ({shard_state.CONFIGURATION: stock.early} if stock.early is not None else {})
    if not known:
        raise BadSnapshot(f"{file}: nothing was written to it yet")
    first = shard_state.genesis(stock.founders)
    states = {n: (known[n].value if n in known else None) or first for n in shard_state.SHARDS}
    sealed = stock.format > 1
    part = path + ".part"
    with open(part, "wb") as out:
        summed = _Summed(out)
        # What is drawn here makes memories that come of this file differ from those of any other.
        summed.write(pack([MAGIC, FORMAT, os.urandom(16), stock.keys]))
        summed.write(pack([[n, shard_state.pack_value(value)] for n, value in states.items()]))
        if "slips" in dbs:
            with env.begin(db=dbs["slips"]) as txn:
                for key, raw in txn.cursor():
                    name, row = bytes(key), bytes(raw)
                    summed.write(pack([name, unwrap("slips", name, row) if sealed else row]))
        out.write(pack(summed.sum.digest()))
        out.flush()
        os.fsync(out.fileno())
    os.replace(part, path)
    sync_folder(os.path.dirname(os.path.abspath(path)))
    return Snapshot(summed.sum.digest(), states, stock.keys)


# Back


def read_snapshot(path: str) -> Snapshot:
    """Read and check a file whole. `BadSnapshot`."""
    digest = _digest(path)
    with _opened(path) as file:
        reader = _Reader(path, file)
        keys, states = _head(path, reader)
        for _ in range(keys):
            reader.row()
        if reader.item() != digest:
            raise BadSnapshot(f"{path}: it has more keys than it says")
    return Snapshot(digest, states, keys)


def _digest(path: str) -> bytes:
    """The digest of all but the digest at the end, where that is the same."""
    summed = hashlib.sha256()
    with _opened(path) as file:
        left = os.fstat(file.fileno()).st_size - len(pack(summed.digest()))
        while left > 0 and (raw := file.read(min(left, 65_536))):
            summed.update(raw)
            left -= len(raw)
        if left or file.read() != pack(summed.digest()):
            raise BadSnapshot(f"{path}: it is no snapshot, or not whole: its digest isn't that of its bytes")
    return summed.digest()


def _opened(path: str) -> IO[bytes]:
    try:
        return open(path, "rb")
    except OSError as problem:
        raise BadSnapshot(f"{path}: {problem.strerror}") from None


class _Reader:
    """Items in a row."""

    def __init__(self, path: str, file: IO[bytes]) -> None:
        self._path = path
        self._decoder = cbor2.CBORDecoder(file)

    def item(self) -> Any:
        try:
            return self._decoder.decode()
        except (cbor2.CBORDecodeError, ValueError, TypeError, OSError) as problem:
            raise BadSnapshot(f"{self._path}: it can't be read: {problem}") from None

    def row(self) -> tuple[bytes, bytes]:
        match self.item():
            case [bytes(key), bytes(raw)]:
                return key, raw
        raise BadSnapshot(f"{self._path}: what should be a key is none")


def _head(path: str, reader: _Reader) -> tuple[int, dict[int, Value]]:
    match reader.item():
        case [str(magic), int(format_), bytes(), int(keys)] if magic == MAGIC and keys >= 0:
            if format_ not in FORMATS:
                raise BadSnapshot(f"{path}: format {format_} is not known here")
        case _:
            raise BadSnapshot(f"{path}: it is no snapshot")
    try:
        states = {number: shard_state.unpack_value(packed) for number, packed in reader.item()}
    except (ValueError, TypeError) as problem:
        raise BadSnapshot(f"{path}: its state can't be read: {problem}") from None
    known = {number: value for number, value in states.items() if value is not None}
    if sorted(known) != list(shard_state.SHARDS):
        raise BadSnapshot(f"{path}: it has the parts {sorted(known)}, {list(shard_state.SHARDS)} are needed")
    return keys, known


def memory_of(digest: bytes, founders: tuple[str, ...]) -> int:
    """The memory of all voters that a file makes of these founders; another list gives another.

    >>> memory_of(b"d", ("a", "b")) == memory_of(b"d", ("a", "c"))
    False
    """
    drawn = hashlib.sha256(digest + "\0".join(sorted(founders)).encode()).digest()
    return 2 + int.from_bytes(drawn[:8], "big") % (2**53 - 2)


def restored(snapshot: Snapshot, founders: tuple[str, ...]) -> dict[int, Kept]:
    """What each founder remembers of each part: its state, as one that all of them accepted in one round."""
    memory = memory_of(snapshot.digest, founders)
    voters = tuple(Voter(name, memory) for name in sorted(founders))
    ballot: Ballot = (COUNTER, f"restored {snapshot.digest.hex()[:32]}")
    found = {}
    for number, old in snapshot.states.items():
        body = shard_state.body(old)
        body = replace(body, epoch=body.epoch + AHEAD, owner="", fence=body.fence + AHEAD)
        found[number] = Kept(memory, ballot, ballot, Value(old.version + AHEAD_VERSION, voters, body))
    return found


def read_founders(text: str, own: str, losses: int) -> tuple[str, ...]:
    """The list as it was given, checked. `BadSnapshot`."""
    names = tuple(text.split(","))
    for name in names:
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            raise BadSnapshot(f"--founders: {name!r} is no IP number") from None
    if len(set(names)) != len(names):
        raise BadSnapshot("--founders: one is named twice")
    if own not in names:
        raise BadSnapshot(f"--founders: this machine, {own}, is not among them")
    if len(names) < 2 * losses + 1:
        raise BadSnapshot(f"--founders: {2 * losses + 1} are needed to bear the loss of {losses}")
    return names


def put_into(folder: str, path: str, founders: tuple[str, ...]) -> tuple[Snapshot, dict[int, Kept]]:
    """Make a store of a file in an empty folder, whole or not at all. `BadSnapshot`."""
    snapshot = read_snapshot(path)
    kept = restored(snapshot, founders)
    try:
        os.makedirs(folder, exist_ok=True)
        there = sorted(os.listdir(folder))
        if there:
            raise BadSnapshot(f"{folder}: it is not empty, there is {there[0]!r}")
        part = os.path.join(folder, PART)
        env = open_env(part, file=True)
        try:
            _fill(env, path, kept, founders)
            _check(env, part, kept, snapshot)
        finally:
            env.close()
        os.rename(part, os.path.join(folder, STORE))
        sync_folder(folder)
    except (OSError, lmdb.Error, BadStore) as problem:
        with contextlib.suppress(OSError):
            os.remove(os.path.join(folder, PART))
        raise BadSnapshot(f"{folder}: {problem}") from None
    return snapshot, kept


def _fill(env: lmdb.Environment, path: str, kept: dict[int, Kept], founders: tuple[str, ...]) -> None:
    dbs = {name: env.open_db(name.encode()) for name in NAMES}
    puts: list[Put] = [("about", b"founders", pack(sorted(founders)))]
    for number, one in kept.items():
        puts += remembered(number, one, True)
    with env.begin(write=True) as txn:
        for name, key, value in puts:
            assert value is not None
            txn.put(key, wrap(name, key, value), db=dbs[name])
        put_sealed(txn, dbs)
    for batch in chunked(_rows(path), BATCH):
        with env.begin(write=True) as txn:
            for key, raw in batch:
                txn.put(key, wrap("slips", key, raw), db=dbs["slips"])
            put_sealed(txn, dbs)
    env.sync(True)


def _rows(path: str) -> Iterator[tuple[bytes, bytes]]:
    with _opened(path) as file:
        reader = _Reader(path, file)
        keys, _ = _head(path, reader)
        for _ in range(keys):
            yield reader.row()


def _check(env: lmdb.Environment, part: str, kept: dict[int, Kept], snapshot: Snapshot) -> None:
    stock, _ = survey(env, part)
    if stock.kept != kept or stock.keys != snapshot.keys:
        raise BadStore("what was written is not what is read")


# The commands


def _settings() -> tuple[Settings, str]:
    path = os.environ.get("ORCHIDFERRY_BOOT")
    if not path:
        raise BadSettings("ORCHIDFERRY_BOOT must name the settings file")
    boot = read_settings(path)
    if boot.data_dir is None:
        raise BadSettings(f"{path}: own_node.data_dir: a controller needs one")
    return boot, boot.data_dir


def take(file: str) -> int:
    """Write what this machine's controller knows to a file. The controller must not run.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot take monday.snapshot

    :param file: where to; a file of that name is replaced once the new one is whole
    """
    _, folder = _settings()
    found = take_from(folder, file)
    print(f"{file}: {found.line}, digest {found.digest.hex()[:16]}")
    return 0


def put(file: str, *, founders: str, majority_is_gone: bool = False) -> int:
    """Begin a lost group anew: fill this machine's empty folder from a file.

    Only when a majority of the controllers' disks is gone for good. The same file and the same founders at
    each of them, once, before any is started. A founder that loses its disk later starts with an empty
    folder.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot put monday.snapshot
    --founders 10.0.0.1,10.0.0.2,10.0.0.9 --majority-is-gone

    :param file: what `take` wrote
    :param founders: IP numbers of the controllers of the new group, this one among them
    :param majority_is_gone: say that the old group can't come back
    """
    boot, folder = _settings()
    if not majority_is_gone:
        raise BadSnapshot("--majority-is-gone is missing: two groups at once would both grant keys")
    names = read_founders(founders, boot.ip, boot.machines)
    snapshot, kept = put_into(folder, file, names)
    memory = kept[shard_state.CONFIGURATION].memory
    print(f"{folder}: {snapshot.line}; memory {memory}, the same at all of {' '.join(sorted(names))}?")
    return 0


def main(words: list[str]) -> int:
    """`orchidferry controller snapshot`; the exit status: 0, 1 for a store in use, 2 with one line."""
    defopt = importlib.import_module("defopt")
    name = {"prog": "orchidferry controller snapshot"}
    try:
        return int(defopt.run([take, put], argv=words, short={}, no_negated_flags=True, argparse_kwargs=name))
    except InUse as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    except (BadSnapshot, BadSettings, BadStore) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    except SystemExit as end:  # help, or words that can't be read
        return int(end.code or 0)
