"""State that lasts where a disk does: a kill at any byte leaves the old one or the new one.

One file in a folder of this node's own: a line that names the format and its version, one with the BLAKE2b
checksum and length of the rest, and the rest, JSON. It is written beside its place, synced, renamed over it,
and the folder is synced. Whatever can't be used is set aside under a name that says why, with one line, and
never stops a start. A folder belongs to one node at a time: a lock on `lock` says so. What stands in the file
is its owner's: a `StateFormat` says how it is written and read.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import hashlib
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from orchidferry.errors import OrchidferryError

T = TypeVar("T")
LOCK = "lock"
MAX_ASIDE = 4  # files set aside that are kept
BAD_PLAIN = (KeyError, TypeError, ValueError, AttributeError)  # what JSON that doesn't fit raises in a `read`


@dataclass(frozen=True, slots=True)
class StateFormat(Generic[T]):
    """How one kind of state is kept."""

    name: str  # of the file
    what: str  # it holds, for people
    magic: bytes
    format: int
    most: int  # bytes
    write: Callable[[T], Any]  # to what JSON holds
    read: Callable[[Any], T]  # back; one of `BAD_PLAIN` if it doesn't fit

    def encode(self, state: T) -> bytes:
        """The file's bytes."""
        body = json.dumps(self.write(state), separators=(",", ":")).encode()
        return b"%b %d\n%b %d\n%b" % (self.magic, self.format, checksum(body), len(body), body)

    def decode(self, data: bytes) -> T:
        """The state in a file's bytes; `StateFileError` if there is none that this program can read."""
        head, _, rest = data.partition(b"\n")
        magic, _, number = head.rpartition(b" ")
        if magic != self.magic or not number.isdigit():
            raise StateFileError("foreign", f"is no {self.what}")
        if int(number[:9]) != self.format:
            raise StateFileError(
                "future", f"has format {int(number[:9])}, and this program reads {self.format}"
            )
        line, _, body = rest.partition(b"\n")
        found, _, length = line.partition(b" ")
        if not length.isdigit() or len(body) < int(length[:12]):
            raise StateFileError("truncated", f"is cut off at {len(data)} bytes")
        if len(body) != int(length[:12]) or checksum(body) != found:
            raise StateFileError("corrupt", "does not fit its checksum")
        try:
            return self.read(json.loads(body))
        except (*BAD_PLAIN, RecursionError) as problem:
            raise StateFileError(
                "corrupt", f"can't be read: {type(problem).__name__}: {problem!s:.100}"
            ) from None


def checksum(body: bytes) -> bytes:
    """In hex digits."""
    return hashlib.blake2b(body, digest_size=32).hexdigest().encode()


class StateFileError(OrchidferryError):
    """What is on disk can't be used; the text says why, in one line."""

    def __init__(self, kind: str, why: str) -> None:
        super().__init__(why)
        self.kind = kind  # in the name under which it is set aside


class StateLockedError(OrchidferryError):
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


class Store(Generic[T]):
    """The folder of one node. `StateLockedError` if another holds it, `OSError` if there can't be one."""

    def __init__(self, folder: Path, form: StateFormat[T], files: Files | None = None) -> None:
        self._folder, self._form, self._files = folder, form, files or Files()
        self._fresh = folder / f"{form.name}.new"
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            os.close(self._lock)
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise StateLockedError(f"{folder} is another node's") from None
            raise

    def load(self) -> tuple[T | None, str]:
        """What was kept last, if anything was; and a line for the operators where something was wrong."""
        path = self._folder / self._form.name
        with contextlib.suppress(OSError):
            self._fresh.unlink()  # a write that never came to its end
        try:
            found = path.lstat()
            if found.st_uid != os.geteuid() or found.st_mode & 0o077:
                raise StateFileError("foreign", "is not this user's alone")
            if not path.is_file() or path.is_symlink():
                raise StateFileError("foreign", "is no plain file")
            if found.st_size > self._form.most:
                raise StateFileError("foreign", f"has {found.st_size} bytes, {self._form.most} at most")
            return self._form.decode(path.read_bytes()), ""
        except FileNotFoundError:
            return None, ""
        except StateFileError as problem:
            return None, f"{path}: {problem}; {self._set_aside(path, problem.kind)}"
        except OSError as problem:
            return None, f"{path}: can't be read: {problem.strerror}"

    def _set_aside(self, path: Path, kind: str) -> str:
        try:
            for at in range(MAX_ASIDE):
                aside = path.with_name(f"{path.name}.{kind}.{at}")
                if at == MAX_ASIDE - 1 or not os.path.lexists(aside):
                    self._files.rename(path, aside)
                    return f"set aside as {aside.name}"
        except OSError as problem:
            return f"can't be set aside: {problem.strerror}"
        return "can't be set aside"

    def save(self, state: T) -> str:
        """Keep this; a line for the operators if it can't be. What was there stays then."""
        fresh = self._fresh
        try:
            self._files.write(fresh, self._form.encode(state))
            self._files.rename(fresh, self._folder / self._form.name)
            self._files.sync_folder(self._folder)
        except OSError as problem:
            with contextlib.suppress(OSError):
                fresh.unlink()  # on a full disk it holds what others need
            return (
                f"{self._folder / self._form.name}: can't be written: {problem.strerror}; the old one stays"
            )
        return ""

    def close(self) -> None:
        """Let the folder go."""
        os.close(self._lock)
