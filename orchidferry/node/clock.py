"""The clocks of a node: a monotonic one for every decision, and its distance from Unix time."""

from __future__ import annotations

import math
import time

CLOCK_SET_MS = 50.0  # a larger change of the distance between the clocks means that one of them was set

_offset_ms = -math.inf


def now_ms() -> float:
    """Read the node's clock.

    :returns: milliseconds on a monotonic clock with an arbitrary start.
    """
    return time.monotonic() * 1000.0


def unix_offset_ms() -> float:
    """Return what to add to Unix time, in milliseconds, to get the node's clock.

    The first measurement is kept until one of the clocks is set: a server's start time that did not change
    must convert to the same value again.
    """
    global _offset_ms
    offset_ms = now_ms() - time.time() * 1000.0
    if abs(offset_ms - _offset_ms) > CLOCK_SET_MS:
        _offset_ms = offset_ms
    return _offset_ms
