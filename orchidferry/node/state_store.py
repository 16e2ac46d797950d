"""Crash-safe storage of state in a file: a crash at any point leaves either the old or the new state.

A directory belongs to one node at a time, which holds a lock on the file `lock` in it. The state file
consists of a line with the name and version of the format, a line with the BLAKE2b checksum and the length of
the body, and the body, which is JSON. It is written to a temporary file in the same directory, synced and
renamed to its final path, and then the directory is synced. A file that can't be used is renamed to a name
that includes the reason, with one line for the log; it never prevents a node from starting. A `StateFormat`
defines how one kind of state is encoded.
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
MAX_SET_ASIDE = 4  # unusable files that are kept per reason; a further one replaces the last
MAX_DIGITS = 12  # digits of the stated length that are used
# Exceptions that `StateFormat.from_json` may raise for malformed input
MALFORMED_JSON_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


class StateFileError(OrchidferryError):
    """A state file can't be used; the text is one line that gives the reason."""

    def __init__(self, kind: str, reason: str) -> None:
        """:param kind: becomes part of the name under which the file is set aside."""
        super().__init__(reason)
        self.kind = kind


class StateLockedError(OrchidferryError):
    """The directory is locked by another process."""


@dataclass(frozen=True, slots=True)
class StateFormat(Generic[T]):
    """The encoding of one kind of state in a file."""

    file_name: str
    description: str  # description of the content, for error texts
    magic: bytes  # the format's name, at the start of the file
    version: int  # version of the format
    max_bytes: int  # maximum size of the file
    to_json: Callable[[T], Any]
    from_json: Callable[[Any], T]  # raises one of `MALFORMED_JSON_ERRORS` for malformed input

    def encode(self, state: T) -> bytes:
        """Return the file's content."""
        body = json.dumps(self.to_json(state), separators=(",", ":")).encode()
        return b"%b %d\n%b %d\n%b" % (self.magic, self.version, checksum(body), len(body), body)

    def decode(self, data: bytes) -> T:
        """Decode a file's content.

        :raises StateFileError: if the content is damaged or in another format.
        """
        try:
            return self.from_json(json.loads(self._checked_body(data)))
        except (*MALFORMED_JSON_ERRORS, RecursionError) as problem:
            reason = f"can't be read: {type(problem).__name__}: {problem!s:.100}"
            raise StateFileError("corrupt", reason) from None

    def _checked_body(self, data: bytes) -> bytes:
        first_line, _, rest = data.partition(b"\n")
        magic, _, version = first_line.rpartition(b" ")
        if magic != self.magic or not version.isdigit():
            raise StateFileError("foreign", f"is not a {self.description}")
        if int(version[:9]) != self.version:
            reason = f"has format {int(version[:9])}, but this program reads format {self.version}"
            raise StateFileError("future", reason)
        second_line, _, body = rest.partition(b"\n")
        expected, _, length = second_line.partition(b" ")
        if not length.isdigit() or len(body) < int(length[:MAX_DIGITS]):
            raise StateFileError("truncated", f"is cut off at {len(data)} bytes")
        if len(body) != int(length[:MAX_DIGITS]) or checksum(body) != expected:
            raise StateFileError("corrupt", "does not match its length or checksum")
        return body


def checksum(body: bytes) -> bytes:
    """Return the 32-byte BLAKE2b checksum (RFC 7693) of a body, in hex digits."""
    return hashlib.blake2b(body, digest_size=32).hexdigest().encode()


class FileSystem:
    """The disk operations of a store, one method each, so that a test can interrupt any of them."""

    def write(self, path: Path, data: bytes) -> None:
        """Write and sync a file with this content, which only its owner may read and write."""
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
        try:
            unwritten = memoryview(data)
            while unwritten:
                unwritten = unwritten[os.write(handle, unwritten) :]
            os.fsync(handle)
        finally:
            os.close(handle)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file atomically, replacing an existing file."""
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        """Make renames in a directory durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class StateStore(Generic[T]):
    """The state of one node, in a directory that it has locked."""

    def __init__(self, folder: Path, state_format: StateFormat[T], files: FileSystem | None = None) -> None:
        """Create the directory if it is missing, and lock it.

        :raises StateLockedError: if another process has locked it.
        :raises OSError: if it can't be created or opened.
        """
        self._folder = folder
        self._format = state_format
        self._files = files or FileSystem()
        self._path = folder / state_format.file_name
        self._unfinished = folder / f"{state_format.file_name}.new"
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            os.close(self._lock)
            if problem.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise StateLockedError(f"{folder} is locked: it is another node's") from None
            raise

    def load(self) -> tuple[T | None, str]:
        """Read the most recently saved state.

        :returns: the state, or None if there is no usable one; and a line for the log if there was a problem,
            otherwise an empty text.
        """
        with contextlib.suppress(OSError):
            self._unfinished.unlink()
        try:
            return self._format.decode(self._read()), ""
        except FileNotFoundError:
            return None, ""
        except StateFileError as problem:
            return None, f"{self._path}: {problem}; {self._set_aside(problem.kind)}"
        except OSError as problem:
            return None, f"{self._path}: can't be read: {problem.strerror}"

    def _read(self) -> bytes:
        """Read the file, which must be a regular file that only the current user can access."""
        path = self._path
        found = path.lstat()
        if found.st_uid != os.geteuid() or found.st_mode & 0o077:
            raise StateFileError("foreign", "has another owner or can be accessed by other users")
        if not path.is_file() or path.is_symlink():
            raise StateFileError("foreign", "is not a regular file")
        if found.st_size > self._format.max_bytes:
            reason = f"has {found.st_size} bytes, but at most {self._format.max_bytes} are allowed"
            raise StateFileError("foreign", reason)
        return path.read_bytes()

    def _set_aside(self, kind: str) -> str:
        """Rename the unusable file; return a text with its new name, or with the reason of a failure."""
        path = self._path
        try:
            for number in range(MAX_SET_ASIDE):
                target = path.with_name(f"{path.name}.{kind}.{number}")
                if number == MAX_SET_ASIDE - 1 or not os.path.lexists(target):
                    self._files.rename(path, target)
                    return f"set aside as {target.name}"
        except OSError as problem:
            return f"can't be set aside: {problem.strerror}"
        return "can't be set aside"

    def save(self, state: T) -> str:
        """Replace the saved state.

        :returns: a line for the log if saving failed, in which case the old state is kept; otherwise an empty
            text.
        """
        try:
            self._files.write(self._unfinished, self._format.encode(state))
            self._files.rename(self._unfinished, self._path)
            self._files.sync_folder(self._folder)
        except OSError as problem:
            with contextlib.suppress(OSError):
                self._unfinished.unlink()  # frees its space, which is needed on a full disk
            return f"{self._path}: can't be written: {problem.strerror}; the old one stays"
        return ""

    def close(self) -> None:
        """Unlock the directory."""
        os.close(self._lock)
