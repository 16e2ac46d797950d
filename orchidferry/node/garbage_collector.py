"""Settings of Python's garbage collector for a process that serves requests."""

from __future__ import annotations

import gc

# A request makes some 30 objects that the collector counts, and nearly all are freed by their reference
# counts. At Python's default of 700 a collection would run every few requests and find next to nothing.
GC_THRESHOLDS = (5_000, 20, 20)


def freeze_startup_objects() -> None:
    """Exclude all present objects from later collections, as they live until the process ends."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
