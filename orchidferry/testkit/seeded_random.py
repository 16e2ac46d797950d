"""Random choices that depend only on a seed and a name, so that each is the same in every process.

Processes race, so with a shared stream of random numbers two runs of the same seed would make different
choices. Here each choice is a keyed hash (BLAKE2b, RFC 7693) of its name.
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
"""Least probability used for a quantile, as the normal distribution has no finite quantile of 0 and 1."""


def integer(seed: int, *name: object) -> int:
    """Return a uniformly distributed integer of 64 bits.

    :param name: the name of the choice, as any number of parts
    """
    text = "\x1f".join(map(str, name)).encode()
    key = seed.to_bytes(16, "big", signed=True)
    return int.from_bytes(hashlib.blake2b(text, digest_size=8, key=key).digest(), "big")


def uniform(seed: int, *name: object, low: float = 0.0, high: float = 1.0) -> float:
    """Return a number uniformly distributed in [`low`, `high`)."""
    return low + (high - low) * (integer(seed, *name) >> 11) * 2.0**-53


def log_normal(mean: float, variation: float, seed: int, *name: object) -> float:
    """Return a number from a log-normal distribution.

    :param variation: the coefficient of variation: standard deviation divided by mean
    """
    if not variation or not mean:
        return mean
    sigma2 = math.log1p(variation * variation)
    probability = min(max(uniform(seed, *name), MIN_PROBABILITY), 1.0 - MIN_PROBABILITY)
    return mean * math.exp(math.sqrt(sigma2) * _NORMAL.inv_cdf(probability) - sigma2 / 2.0)


def generator(seed: int, *name: object) -> Random:
    """Return a random generator for a sequence of choices within one process."""
    return Random(integer(seed, *name))


def sample(items: Sequence[T], count: int, seed: int, *name: object) -> list[T]:
    """Return `count` randomly chosen items in their original order, or all items if there are fewer."""
    size = min(count, len(items))
    chosen = sorted(generator(seed, *name).sample(range(len(items)), size))
    return [items[n] for n in chosen]
