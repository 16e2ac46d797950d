"""Committed orders as records of a controller's store: one small record per order, in the table `about`.

Each record contains the number of the order that its order is based on. After a partial loss of records, the
orders that form one chain with the newest can therefore be distinguished from leftover ones.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.mesh.control.order_history import Entry
from orchidferry.mesh.storage.record_format import RecordWrite

PREFIX = b"order/"
BASE_BYTES = 8  # size of the base number, which follows the digest at the end of a record


def record(shard: int, number: int, entry: Entry | None) -> RecordWrite:
    """Return the write that stores an order on disk, or deletes it.

    :param shard: number of the shard.
    :param number: number of the order.
    :param entry: the order; None to delete its record.
    """
    key = PREFIX + f"{shard}/{number:016d}".encode()
    if entry is None:
        return "about", key, None
    return "about", key, entry.digest + entry.base.to_bytes(BASE_BYTES, "big", signed=True)


def orders_of(shard: int, rows: Iterable[tuple[bytes, bytes]]) -> list[tuple[int, Entry]]:
    """Decode the orders of a shard.

    :param shard: number of the shard.
    :param rows: keys and values of all records of `about`.
    :returns: the orders with their numbers.
    """
    prefix = PREFIX + f"{shard}/".encode()
    return [(int(key[len(prefix) :]), _entry(value)) for key, value in rows if key.startswith(prefix)]


def _entry(value: bytes) -> Entry:
    return Entry(value[:-BASE_BYTES], int.from_bytes(value[-BASE_BYTES:], "big", signed=True))
