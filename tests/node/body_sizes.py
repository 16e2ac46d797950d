"""Sizes of bodies round each bound of buffering, and the ways in which a client may send them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

KIB = 1024
# Bodies are streamed from 64 KiB on, sockets are read for up to 256 KiB at once, 1 MiB is kept for a retry.
BOUNDS = (64 * KIB, 256 * KIB, 1024 * KIB)
SIZES = (1, 100_000, *(bound + offset for bound in BOUNDS for offset in (-1, 0, 1)))
CODINGS = ("length", "chunked")
DELIVERIES = ("whole", "in pieces", "pipelined")
PIECE = 24 * KIB
PAUSE_S = 0.001  # between two pieces
CHUNK = 50_000


def framed(size: int, coding: str) -> tuple[bytes, bytes]:
    """Return the framing header and the encoded form of a body of some size."""
    body = b"x" * size
    if coding == "length":
        return b"Content-Length: %d\r\n" % size, body
    chunks = [body[at : at + CHUNK] for at in range(0, size, CHUNK)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"Transfer-Encoding: chunked\r\n", encoded + b"0\r\n\r\n"


async def deliver(write: Callable[[bytes], object], data: bytes, delivery: str) -> None:
    """Write a request whole, or in pieces with a pause after each."""
    step = PIECE if delivery == "in pieces" else len(data)
    for at in range(0, len(data), step):
        write(data[at : at + step])
        if delivery == "in pieces":
            await asyncio.sleep(PAUSE_S)
