"""Sizes of bodies round each bound of buffering, and the ways in which a client may send them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.node.test_long_bodies import chunked

KIB = 1024
# Bodies are streamed from 64 KiB on, sockets are read for up to 256 KiB at once, 1 MiB is kept for a retry.
BOUNDS = (64 * KIB, 256 * KIB, 1024 * KIB)
SIZES = (1, 100_000, *(bound + offset for bound in BOUNDS for offset in (-1, 0, 1)))
CODINGS = ("length", "chunked")
DELIVERIES = ("whole", "in pieces", "pipelined")
PIECE = 24 * KIB
PAUSE_S = 0.001  # between two pieces


def framed(size: int, coding: str) -> tuple[bytes, bytes]:
    """Return the framing header and the encoded form of a body of some size."""
    body = b"x" * size
    if coding == "length":
        return b"Content-Length: %d\r\n" % size, body
    return b"Transfer-Encoding: chunked\r\n", chunked(body)


async def ask_twice(
    write: Callable[[bytes], object],
    read_status: Callable[[], Awaitable[int]],
    first: bytes,
    second: bytes,
    delivery: str,
) -> list[int]:
    """Send a request, and a second one on the same connection; return the statuses of both answers."""
    data = first + second if delivery == "pipelined" else first
    step = PIECE if delivery == "in pieces" else len(data)
    for at in range(0, len(data), step):
        write(data[at : at + step])
        if delivery == "in pieces":
            await asyncio.sleep(PAUSE_S)
    statuses = [await read_status()]
    if delivery != "pipelined":
        write(second)
    return [*statuses, await read_status()]
