r"""The file format of recordings: requests as rows in order of time, compressed and with a checksum.

    orchidferry recording 1\\n          magic and format version
    {"classes": [...], ...}\\n          header: the fields of `Header` as JSON
    rows                                each as in `ROW`, little-endian, in order of time
    end marker                          a row with the time `END`
    end BLAKE2B COUNT\\n                checksum of the bytes of all rows before the marker, and their number

The whole file is compressed with zstd (RFC 8878). Times are in microseconds since the first request. Clients
and objects are keyed hashes, and the key is not stored: a recording shows how often a client sends requests
and how popular an object is, but not who or what they are. It contains no paths, queries, addresses, cookies
or bodies.
"""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import numpy as np
from backports import zstd

from orchidferry.errors import OrchidferryError

MAGIC = b"orchidferry recording"
FORMAT = 1
ROW = np.dtype(
    [
        ("t", "<u8"),
        ("client", "<u8"),
        ("object", "<u8"),
        ("took", "<u4"),
        ("sent", "<u4"),
        ("received", "<u4"),
        ("chain", "<u4"),
        ("cls", "<u2"),
        ("status", "<u2"),
        ("flags", "u1"),
        ("number", "u1"),
    ]
)
# t: microseconds since the first request; client, object: hashes, 0 if unknown; took: duration in
# microseconds, NO_TIME if unknown; sent, received: bytes of the bodies, at most MAX_BYTES; chain: position of
# the first attempt among all rows (32 bits); cls: number of the class in the header; flags: bits, see below;
# number: number of the attempt, 0 for the first.
NO_TIME = 0xFFFF_FFFF
MAX_BYTES = 0xFFFF_FFFF
# Bits of the flags
ABORTED = 1  # the client closed the connection before the answer
SPREAD = 2  # the time was logged in whole seconds, and a random fraction of a second was added
END = 0xFFFF_FFFF_FFFF_FFFF  # time of the row that marks the end of the rows
BLOCK = 65_536  # rows that are read at once
MAX_HEADER = 1024 * 1024  # bytes
LEVEL = 3  # compression level

T = TypeVar("T")
Rows = np.ndarray[Any, Any]


def prefetched(items: Iterator[T]) -> Iterator[T]:
    """Iterate over `items`, while a thread produces the next item.

    :param items: iterated over by the thread alone.
    :returns: the same items, in their order.
    """
    end = object()
    with ThreadPoolExecutor(1) as pool:
        next_item = pool.submit(next, items, end)
        while (item := next_item.result()) is not end:
            next_item = pool.submit(next, items, end)
            yield item  # type: ignore[misc]


class RecordingError(OrchidferryError):
    """A file is not a recording, or is damaged; the text names the file."""


@dataclass
class Header:
    """The metadata of a recording: its classes, its length, and notes of the import.

    The names of the fields are keys of the stored JSON.
    """

    # Classes with the keys name, repeat, worth, wanted_s and gives_up_s; rows refer to them by position
    classes: list[dict[str, Any]]
    rows: int = 0  # number of rows; 0 if it was unknown when the header was written
    seconds: float = 0.0  # time from the first request to the last
    began: str = ""  # weekday and hour of the first request in UTC; the exact time is not stored
    window_s: float = 0.0  # maximum time from the end of a failed request to its retry
    notes: list[str] = field(default_factory=list)  # about gaps, clock jumps and unreadable input

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("no classes")


class Writer:
    """Writes a recording to a temporary file, which `close` renames.

    :param path: of the recording.
    :param header: the metadata, written first.
    """

    def __init__(self, path: Path, header: Header) -> None:
        self._path = path
        self._partial = path.with_name(path.name + ".part")
        self._file = zstd.ZstdFile(self._partial, "w", level=LEVEL)
        self._file.write(b"%b %d\n" % (MAGIC, FORMAT))
        self._file.write(json.dumps(asdict(header)).encode() + b"\n")
        self._checksum = hashlib.blake2b(digest_size=32)
        self._row_count = 0
        self._last_us = 0

    def put(self, rows: Rows) -> None:
        """Append rows.

        :param rows: in order of time, none earlier than the rows that were already appended.
        :raises ValueError: if the rows are out of order.
        """
        if not len(rows):
            return
        times = rows["t"]
        if int(times[0]) < self._last_us or (np.diff(times.astype(np.int64)) < 0).any():
            raise ValueError("rows out of order")
        self._last_us = int(times[-1])
        data = np.ascontiguousarray(rows).tobytes()
        self._checksum.update(data)
        self._row_count += len(rows)
        self._file.write(data)

    def close(self) -> None:
        """Write the checksum, and rename the file to its path."""
        end = np.zeros(1, ROW)
        end["t"] = END
        self._file.write(end.tobytes())
        self._file.write(b"end %b %d\n" % (self._checksum.hexdigest().encode(), self._row_count))
        self._file.close()
        self._partial.replace(self._path)

    def discard(self) -> None:
        """Close and remove the temporary file."""
        self._file.close()
        self._partial.unlink(missing_ok=True)


class Reader:
    """Reads a recording in blocks.

    :param path: of the recording.
    :raises RecordingError: if the file is not a recording.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self.header = self._open()

    def _open(self) -> Header:
        try:
            self._file = zstd.ZstdFile(self._path)
            magic = self._file.readline(len(MAGIC) + 16)
            kind, _, version = magic.rstrip(b"\n").rpartition(b" ")
            if kind != MAGIC:
                raise RecordingError(f"{self._path}: is no recording")
            if version != b"%d" % FORMAT:
                raise RecordingError(
                    f"{self._path}: has format {version.decode('ascii', 'replace')}, not {FORMAT}"
                )
            return Header(**json.loads(self._file.readline(MAX_HEADER)))
        except OSError as problem:
            raise RecordingError(f"{self._path}: {problem.strerror or problem}") from None
        except (EOFError, ValueError, TypeError, zstd.ZstdError) as problem:
            raise RecordingError(f"{self._path}: is no recording: {problem!s:.80}") from None

    def blocks(self, from_s: float = 0.0, to_s: float = math.inf) -> Iterator[Rows]:
        """Iterate over the rows of a time range; the checksum of the complete file is verified at the end.

        :param from_s: start of the range, seconds from the first request.
        :param to_s: end of the range (exclusive), seconds from the first request.
        :returns: blocks of rows, none of them empty.
        :raises RecordingError: if the file is truncated or damaged, or its checksum does not match.
        """
        if self._file.closed:
            self.header = self._open()
        checksum = hashlib.blake2b(digest_size=32)
        count = 0
        low = int(from_s * 1e6)
        high = END - 1 if math.isinf(to_s) else int(to_s * 1e6)
        try:
            with self._file:
                while True:
                    data = self._read_up_to(BLOCK * ROW.itemsize)
                    complete = len(data) - len(data) % ROW.itemsize  # bytes of complete rows
                    rows = np.frombuffer(data[:complete], ROW)
                    last = np.flatnonzero(rows["t"] == END)
                    if last.size:
                        at = int(last[0])
                        tail = data[(at + 1) * ROW.itemsize :] + self._file.read(256)
                        rows = rows[:at]
                    elif len(data) < BLOCK * ROW.itemsize:
                        raise RecordingError(f"{self._path}: is cut off after {count + len(rows)} requests")
                    checksum.update(rows.tobytes())
                    count += len(rows)
                    found = rows[(rows["t"] >= low) & (rows["t"] < high)]
                    if len(found):
                        yield found
                    if last.size:
                        break
        except (EOFError, zstd.ZstdError):
            raise RecordingError(f"{self._path}: is cut off or damaged after {count} requests") from None
        if tail != b"end %b %d\n" % (checksum.hexdigest().encode(), count):
            raise RecordingError(f"{self._path}: does not fit its checksum")

    def _read_up_to(self, size: int) -> bytes:
        found = []
        while size:
            data = self._file.read(size)
            if not data:
                break
            found.append(data)
            size -= len(data)
        return b"".join(found)
