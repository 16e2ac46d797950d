"""Quantiles of small samples."""

from __future__ import annotations

import math
from collections.abc import Sequence


def quantile(ordered: Sequence[float], q: float) -> float | None:
    """The quantile by the nearest-rank method.

    :param ordered: values in ascending order
    :param q: the fraction of values at or below the quantile, from 0 to 1
    :returns: one of the values, or None if there are none
    """
    return ordered[min(len(ordered) - 1, math.ceil(q * len(ordered)) - 1)] if ordered else None
