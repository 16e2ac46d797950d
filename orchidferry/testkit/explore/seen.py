"""The states that a search has seen, in memory that its processes share."""

from __future__ import annotations

import hashlib
import mmap
from collections.abc import Iterator

import numpy as np

SLOTS = 1 << 24  # of the table of states seen: 128 MB, filled by a half at most
SLOT_BYTES = 8
PROBES = 64  # slots that are looked at for one state


def fingerprint(print_: bytes) -> int:
    """What stands for a state in the table; never 0, which is an empty slot."""
    return int.from_bytes(hashlib.blake2b(print_, digest_size=SLOT_BYTES).digest(), "little") or 1


class Seen:
    """States seen, as 64-bit fingerprints: open addressing, no locks. Two processes that write one slot at
    the same moment lose one entry, and one state is walked twice. Processes that are forked share it.
    """

    def __init__(self, slots: int = SLOTS) -> None:
        """`slots`: a power of two; memory is taken as it is filled."""
        self._table = np.frombuffer(mmap.mmap(-1, slots * SLOT_BYTES), np.uint64)
        self._mask = slots - 1

    def add(self, print_: int) -> bool:
        """Whether it is new. A full table says so of everything, and finds no more."""
        table = self._table
        at = print_ & self._mask
        for _ in range(PROBES):
            held = int(table[at])
            if held == print_:
                return False
            if held == 0:
                table[at] = print_
                return True
            at = (at + 1) & self._mask
        return True

    def held(self) -> Iterator[int]:
        """All of them."""
        yield from self._table[self._table != 0].tolist()
