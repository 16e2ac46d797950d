"""Settings of Python's garbage collector for a process that serves requests."""

from __future__ import annotations

import gc

# A request allocates about 30 objects that the collector tracks, and reference counting frees nearly all of
# them. With Python's default threshold of 700 a collection would run every few requests and free almost
# nothing.
GC_THRESHOLDS = (5_000, 20, 20)


def freeze_startup_objects() -> None:
    """Exclude all existing objects from later collections, as they live until the process ends."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
