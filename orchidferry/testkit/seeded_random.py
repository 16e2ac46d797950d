"""Random choices that depend on a seed and a name, not on order: each is the same in any process.

Real processes race, so a shared stream of random numbers would give two runs of one seed different choices.
Here each is a keyed hash of what it is for (BLAKE2b, RFC 7693).
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
MIN_PROBABILITY = 2.0**-53
"""0 and 1 have no quantile of the normal distribution."""


def integer(seed: int, *name: object) -> int:
    """An integer of 64 bits, uniformly distributed.

    :param name: what the choice is for
    """
    text = "\x1f".join(map(str, name)).encode()
    key = seed.to_bytes(16, "big", signed=True)
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, key=key).digest(), "big")


def uniform(seed: int, *name: object, low: float = 0.0, high: float = 1.0) -> float:
    """A number uniformly distributed from `low` to `high` (not included)."""
    return low + (high - low) * (integer(seed, *name) >> 11) * 2.0**-53


def log_normal(mean: float, variation: float, seed: int, *name: object) -> float:
    """A number from a log-normal distribution.

    :param variation: the coefficient of variation: the standard deviation over the mean
    """
    if not variation or not mean:
        return mean
    sigma2 = math.log1p(variation * variation)
    probability = min(max(uniform(seed, *name), MIN_PROBABILITY), 1.0 - MIN_PROBABILITY)
    return mean * math.exp(math.sqrt(sigma2) * _NORMAL.inv_cdf(probability) - sigma2 / 2.0)


def generator(seed: int, *name: object) -> Random:
    """A generator for what one process chooses in order."""
    return Random(integer(seed, *name))


def sample(items: Sequence[T], count: int, seed: int, *name: object) -> list[T]:
    """Some of the items, in their order; all if there are not as many."""
    size = min(count, len(items))
    chosen = sorted(generator(seed, *name).sample(range(len(items)), size))
    return [items[n] for n in chosen]
