"""Chance that depends on names, not on order: the same seed and name give the same draw in any process.

Real processes race, so a shared stream of random numbers would give two runs of one seed different
draws. Here each draw is a keyed hash of what it is for (BLAKE2b, RFC 7693).
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from random import Random
from statistics import NormalDist
from typing import TypeVar

T = TypeVar("T")
_NORMAL = NormalDist()
LEAST = 2.0**-53  # a draw of 0 or 1 has no quantile


def number(seed: int, *name: object) -> int:
    """A whole number of 64 bits, evenly drawn."""
    text = "\x1f".join(map(str, name)).encode()
    key = seed.to_bytes(16, "big", signed=True)
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, key=key).digest(), "big")


def uniform(seed: int, *name: object, low: float = 0.0, high: float = 1.0) -> float:
    """Evenly from low to high (not included)."""
    return low + (high - low) * (number(seed, *name) >> 11) * 2.0**-53


def log_normal(mean: float, spread: float, seed: int, *name: object) -> float:
    """Log-normal with this mean, and this spread as a share of it (coefficient of variation)."""
    if not spread or not mean:
        return mean
    sigma2 = math.log1p(spread * spread)
    point = min(max(uniform(seed, *name), LEAST), 1.0 - LEAST)
    return mean * math.exp(math.sqrt(sigma2) * _NORMAL.inv_cdf(point) - sigma2 / 2.0)


def stream(seed: int, *name: object) -> Random:
    """A generator of its own for what one process draws in order."""
    return Random(number(seed, *name))


def sample(items: Sequence[T], count: int, seed: int, *name: object) -> list[T]:
    """So many of the items, in their order."""
    chosen = sorted(stream(seed, *name).sample(range(len(items)), min(count, len(items))))
    return [items[n] for n in chosen]
