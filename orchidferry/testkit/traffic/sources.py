"""Files of any size as lines, in constant memory: plain, gzip or zstd, by their first bytes.

Lines come in blocks with the number of their first, so that a reader may hand blocks to other processes.
A line longer than `MAX_LINE` is dropped as it is read, whatever its length; a compressed file that ends in
the middle gives what was whole.
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

MAX_LINE = 64 * 1024  # bytes: an access log's lines have some hundreds
BLOCK = 512 * 1024  # bytes read in one go
GZIP = b"\x1f\x8b"
ZSTD = b"\x28\xb5\x2f\xfd"
DAMAGED = "the compressed file ends in the middle or is damaged"


class SourceError(OrchidferryError):
    """A file can't be read at all; the text names it."""


@dataclass(slots=True)
class Block:
    """Complete lines of a file, without the end of the last."""

    first: int  # number of the first line, from 1
    data: bytes  # without the end of the last line
    count: int  # of lines
    dropped: bool = False  # the first line was longer than `MAX_LINE`: what is here is not all of it

    @property
    def lines(self) -> list[bytes | None]:
        """The lines; None for one that was too long."""
        lines: list[bytes | None] = [
            line if len(line) <= MAX_LINE else None for line in self.data.split(b"\n")
        ]
        if self.dropped:
            lines[0] = None
        return lines


@dataclass(slots=True)
class Source:
    """A file to read; `problem` says, after the last block, why it ended early."""

    path: Path
    problem: str = ""
    read: int = 0  # bytes, uncompressed
    _carry: bytes = field(default=b"", repr=False)

    def open(self) -> Any:
        """Open the file for reading its uncompressed bytes.

        :raises SourceError: if it can't be opened, or needs a library that is not there.
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
        """Read the uncompressed bytes, up to the first damage.

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
                except Exception as problem:  # zstd's own error has no name in common with these
                    if type(problem).__name__ != "ZstdError":
                        raise
                    self.problem = DAMAGED
                    return
                if not data:
                    return
                self.read += len(data)
                yield data

    def blocks(self) -> Iterator[Block]:
        """Read the lines; the last one may lack its end.

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
                if len(data) > MAX_LINE:  # its rest is dropped as it comes
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
