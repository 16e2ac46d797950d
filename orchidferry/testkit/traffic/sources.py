"""Reads files of any size line by line in constant memory: plain, gzip or zstd, detected by magic numbers.

Lines are read in blocks with the number of the first line, so that other processes can parse them. A line
longer than `MAX_LINE` is dropped while it is read, so that its length does not matter. A truncated compressed
file yields the data before the end.
"""

from __future__ import annotations

import gzip
import io
import lzma
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from orchidferry.errors import OrchidferryError

MAX_LINE = 64 * 1024  # bytes; lines of access logs usually have some hundreds
BLOCK = 512 * 1024  # bytes that are read at once
# Magic numbers
GZIP = b"\x1f\x8b"
ZSTD = b"\x28\xb5\x2f\xfd"
DAMAGED = "the compressed file ends in the middle or is damaged"


class SourceError(OrchidferryError):
    """A file can't be read; the text names the file."""


@dataclass(slots=True)
class Block:
    """Some complete lines of a file."""

    first: int  # number of the first line, from 1
    data: bytes  # the lines, without the line break of the last one
    count: int  # number of lines
    dropped: bool = False  # whether the first line was too long: `data` has only its end

    @property
    def lines(self) -> list[bytes | None]:
        """The lines; None for a line that is longer than `MAX_LINE`."""
        lines: list[bytes | None] = [
            line if len(line) <= MAX_LINE else None for line in self.data.split(b"\n")
        ]
        if self.dropped:
            lines[0] = None
        return lines


@dataclass(slots=True)
class Source:
    """A file that is read."""

    path: Path
    problem: str = ""  # after the last block: why the data ended early; empty if the file is complete
    read: int = 0  # uncompressed bytes that were read
    _carry: bytes = field(default=b"", repr=False)

    def open(self) -> Any:
        """Open the file for reading its uncompressed bytes.

        :raises SourceError: if the file can't be opened, or the library that decompresses it is missing.
        """
        try:
            raw = self.path.open("rb")
            magic = raw.read(4)
            raw.seek(0)
        except OSError as problem:
            raise SourceError(f"{self.path}: {problem.strerror}") from None
        if magic[:2] == GZIP:
            return gzip.GzipFile(fileobj=raw)
        if magic == ZSTD:
            try:
                from backports import zstd
            except ImportError:
                raise SourceError(f"{self.path}: zstd needs the extra kit") from None
            return zstd.ZstdFile(raw)
        return raw

    def chunks(self) -> Iterator[bytes]:
        """Read the uncompressed bytes, up to the first damaged part.

        :returns: chunks of at most `BLOCK` bytes.
        :raises SourceError: if the file can't be opened.
        """
        with self.open() as file:
            while True:
                try:
                    data = file.read1(BLOCK) if isinstance(file, io.BufferedIOBase) else file.read(BLOCK)
                except (EOFError, OSError, zlib.error, lzma.LZMAError):
                    self.problem = DAMAGED
                    return
                except Exception as problem:  # `ZstdError` is not imported, as the library is optional
                    if type(problem).__name__ != "ZstdError":
                        raise
                    self.problem = DAMAGED
                    return
                if not data:
                    return
                self.read += len(data)
                yield data

    def blocks(self) -> Iterator[Block]:
        """Read the lines; the last one may lack its line break.

        :returns: blocks of lines, in the order of the file.
        :raises SourceError: if the file can't be opened.
        """
        number = 1
        carry = b""
        dropping = False
        for data in self.chunks():
            data = carry + data
            end = data.rfind(b"\n")
            if end < 0:
                if len(data) > MAX_LINE:  # the rest of the line is dropped when it is read
                    dropping = True
                carry = b"" if dropping else data
                continue
            count = data.count(b"\n")
            block = Block(number, data[:end], count, dropping)
            dropping = False
            carry = data[end + 1 :]
            if len(carry) > MAX_LINE:
                dropping = True
                carry = b""
            number += count
            yield block
        if carry or dropping:
            yield Block(number, carry, 1, dropping)
