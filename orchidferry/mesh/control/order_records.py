"""Committed orders as records of a controller's store: one small record for each order, in `about`.

A record names the order on which its order builds, so that those which form one history can be told from what
a loss has left over.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.mesh.control.order_history import Entry
from orchidferry.mesh.storage.record_format import RecordWrite

PREFIX = b"order/"
BASE_BYTES = 8  # at the end of a record, behind the digest


def record(shard: int, number: int, entry: Entry | None) -> RecordWrite:
    """Return what puts an order on disk.

    :param number: of the order.
    :param entry: the order; None to delete its record.
    """
    key = PREFIX + f"{shard}/{number:016d}".encode()
    if entry is None:
        return "about", key, None
    return "about", key, entry.digest + entry.base.to_bytes(BASE_BYTES, "big", signed=True)


def orders_of(shard: int, rows: Iterable[tuple[bytes, bytes]]) -> list[tuple[int, Entry]]:
    """Read the orders of a shard.

    :param rows: all records of `about`.
    :returns: the orders with their numbers.
    """
    prefix = PREFIX + f"{shard}/".encode()
    return [(int(key[len(prefix) :]), _entry(value)) for key, value in rows if key.startswith(prefix)]


def _entry(value: bytes) -> Entry:
    return Entry(value[:-BASE_BYTES], int.from_bytes(value[-BASE_BYTES:], "big", signed=True))
