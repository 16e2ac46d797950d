"""The node's clock, which is monotonic and used for all decisions, and its offset from Unix time."""

from __future__ import annotations

import math
import time

CLOCK_SET_MS = 50.0  # a larger change of the offset means that one of the clocks was set

_offset_ms = -math.inf


def now_ms() -> float:
    """Read the node's clock.

    :returns: milliseconds on a monotonic clock with an arbitrary start.
    """
    return time.monotonic() * 1000.0


def unix_offset_ms() -> float:
    """Return the offset to add to Unix time to get the time of the node's clock, in milliseconds.

    The first measurement is kept until one of the clocks is set: a server's unchanged start time must always
    convert to the same value.
    """
    global _offset_ms
    offset_ms = now_ms() - time.time() * 1000.0
    if abs(offset_ms - _offset_ms) > CLOCK_SET_MS:
        _offset_ms = offset_ms
    return _offset_ms
