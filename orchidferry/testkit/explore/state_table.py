"""The table of states that a search has explored, in memory shared by its processes."""

from __future__ import annotations

import hashlib
import mmap
from collections.abc import Iterator

import numpy as np

SLOTS = 1 << 24  # 128 MB; at most half of the slots are to be filled
SLOT_BYTES = 8
EMPTY_SLOT = 0
MAX_PROBES = 64  # slots that are examined for one state


def state_key(fingerprint: bytes) -> int:
    """Return the key of a state in the table, which is never `EMPTY_SLOT`."""
    digest = hashlib.blake2b(fingerprint, digest_size=SLOT_BYTES).digest()
    return int.from_bytes(digest, "little") or 1


class StateTable:
    """A hash table of state keys with open addressing and without locks.

    Forked processes share it. If two of them write the same slot at the same moment, one entry is lost and
    its state is explored twice.
    """

    def __init__(self, slots: int = SLOTS) -> None:
        """:param slots: a power of two; memory is allocated as slots are filled"""
        self._table = np.frombuffer(mmap.mmap(-1, slots * SLOT_BYTES), np.uint64)
        self._mask = slots - 1

    def add(self, key: int) -> bool:
        """Add a state.

        :returns: whether the state is new; a full table reports every unknown state as new
        """
        table = self._table
        position = key & self._mask
        for _ in range(MAX_PROBES):
            stored = int(table[position])
            if stored == key:
                return False
            if stored == EMPTY_SLOT:
                table[position] = key
                return True
            position = (position + 1) & self._mask
        return True

    def keys(self) -> Iterator[int]:
        """Yield the keys of all states."""
        yield from self._table[self._table != EMPTY_SLOT].tolist()
