"""The last good configuration on disk: a kill at any byte leaves the old one or the new one.

One file, `last-good`, in a folder of this node's own: a line that names the format and its version, one
with the BLAKE2b checksum and length of the rest, and the rest, JSON. It is written beside its place,
synced, renamed over it, and the folder is synced. Whatever can't be used is set aside under a name that
says why, with one line, and never stops a start. A folder belongs to one node at a time: a lock on `lock`
says so.
"""

from __future__ import annotations

import contextlib
import dataclasses
import errno
import fcntl
import hashlib
import json
import os
from pathlib import Path
from typing import Any

from nickelbridge import interface as api
from nickelbridge.versions import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.control.plain import BAD_PLAIN, made, plain, settings_from

MAGIC, FORMAT = b"orchidferry last-good", 1
NAME, FRESH, LOCK = "last-good", "last-good.new", "lock"
MOST = 64 * 1024 * 1024  # bytes: 40,000 members take some 12 MB
ASIDE_MOST = 4  # files set aside that are kept


class Unusable(Exception):
    """What is on disk can't be used; the text says why, in one line."""

    def __init__(self, kind: str, why: str) -> None:
        super().__init__(why)
        self.kind = kind  # in the name under which it is set aside


class Taken(Exception):
    """Another process holds the folder."""


class Files:
    """What the store does to a disk, a call each, so that a test can stop it anywhere."""

    def write(self, path: Path, data: bytes) -> None:
        """Make a file that its owner alone may read and write, with this in it, synced."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(handle, left) :]
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: Path, new: Path) -> None:
        """Put a file in another's place, at once."""
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        """Make renames in it last."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def to_json(whole: Configuration) -> dict[str, Any]:
    """A configuration as JSON; without `started_ms`, as its clock does not outlast the process."""
    pools = {
        name: [
            plain(dataclasses.replace(member.entry, started_ms=None)) | {"address": list(member.address)}
            for member in members
        ]
        for name, members in whole.pools.members.items()
    }
    return {
        "versions": {part.value: version for part, version in whole.versions.items()},
        "pool": whole.node.pool, "settings": plain(whole.node.settings), "pools": pools,
    }  # fmt: skip


def from_json(obj: Any) -> Configuration:
    """What `to_json` made; one of `BAD_PLAIN` if it is not."""
    settings = settings_from(obj["settings"])
    pools = {}
    for name, members in obj["pools"].items():
        found = []
        for one in members:
            fields = dict(one)
            host, port = fields.pop("address")
            found.append(
                Member(made(api.ServerEntry, fields, {"health": api.Health}), (str(host), int(port)))
            )
        pools[name] = tuple(found)
    versions = {part: str(obj["versions"][part.value]) for part in Part}
    return Configuration(Pools(pools), NodeSettings(str(obj["pool"]), settings), versions)


def encode(whole: Configuration) -> bytes:
    """The file's bytes."""
    body = json.dumps(to_json(whole), separators=(",", ":")).encode()
    return b"%b %d\n%b %d\n%b" % (MAGIC, FORMAT, _sum(body), len(body), body)


def _sum(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=32).hexdigest().encode()


def decode(data: bytes) -> Configuration:
    """The configuration in a file's bytes; `Unusable` if there is none that this program can read."""
    head, _, rest = data.partition(b"\n")
    magic, _, number = head.rpartition(b" ")
    if magic != MAGIC or not number.isdigit():
        raise Unusable("foreign", "is no last good configuration")
    if int(number[:9]) != FORMAT:
        raise Unusable("future", f"has format {int(number[:9])}, and this program reads {FORMAT}")
    line, _, body = rest.partition(b"\n")
    checksum, _, length = line.partition(b" ")
    if not length.isdigit() or len(body) < int(length[:12]):
        raise Unusable("truncated", f"is cut off at {len(data)} bytes")
    if len(body) != int(length[:12]) or _sum(body) != checksum:
        raise Unusable("corrupt", "does not fit its checksum")
    try:
        return from_json(json.loads(body))
    except (*BAD_PLAIN, RecursionError) as problem:
        raise Unusable("corrupt", f"can't be read: {type(problem).__name__}: {problem!s:.100}") from None


class Store:
    """The folder of one node. `Taken` if another holds it, `OSError` if there can't be one."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self._folder, self._files = folder, files or Files()
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            os.close(self._lock)
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise Taken(f"{folder} is another node's") from None
            raise

    def load(self) -> tuple[Configuration | None, str]:
        """The last good one, if there is one; and a line for the operators where something was wrong."""
        path = self._folder / NAME
        with contextlib.suppress(OSError):
            (self._folder / FRESH).unlink()  # a write that never came to its end
        try:
            found = path.lstat()
            if found.st_uid != os.geteuid() or found.st_mode & 0o077:
                raise Unusable("foreign", "is not this user's alone")
            if not path.is_file() or path.is_symlink():
                raise Unusable("foreign", "is no plain file")
            if found.st_size > MOST:
                raise Unusable("foreign", f"has {found.st_size} bytes, {MOST} at most")
            return decode(path.read_bytes()), ""
        except FileNotFoundError:
            return None, ""
        except Unusable as problem:
            return None, f"{path}: {problem}; {self._set_aside(path, problem.kind)}"
        except OSError as problem:
            return None, f"{path}: can't be read: {problem.strerror}"

    def _set_aside(self, path: Path, kind: str) -> str:
        try:
            for at in range(ASIDE_MOST):
                aside = path.with_name(f"{NAME}.{kind}.{at}")
                if at == ASIDE_MOST - 1 or not os.path.lexists(aside):
                    self._files.rename(path, aside)
                    return f"set aside as {aside.name}"
        except OSError as problem:
            return f"can't be set aside: {problem.strerror}"
        return "can't be set aside"

    def save(self, whole: Configuration) -> str:
        """Keep this; a line for the operators if it can't be. What was there stays then."""
        fresh = self._folder / FRESH
        try:
            self._files.write(fresh, encode(whole))
            self._files.rename(fresh, self._folder / NAME)
            self._files.sync_folder(self._folder)
        except OSError as problem:
            with contextlib.suppress(OSError):
                fresh.unlink()  # on a full disk it holds what others need
            return f"{self._folder / NAME}: can't be written: {problem.strerror}; the old one stays"
        return ""

    def close(self) -> None:
        """Let the folder go."""
        os.close(self._lock)
