"""The garbage collector of a process that serves."""

from __future__ import annotations

import gc

# A request makes some 30 objects that the collector counts, nearly all freed by their references: with the
# usual 700 it looks at them every few requests, and finds next to nothing.
GC_THRESHOLDS = (5_000, 20, 20)


def freeze_startup_objects() -> None:
    """Have full collections leave out what was made so far: it lives to the end."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
