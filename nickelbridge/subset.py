"""Deterministic subsetting; how many slices a copy takes, and when, is the caller's to decide."""

from __future__ import annotations

from random import Random


def parts(shares: dict[int, float], number: int, nodes: int, slices: int) -> dict[int, float]:
    """What copy `number` of `nodes` takes of each member: one slice each of so many shuffles of all.

    A slice is 1/nodes of the whole, so that all copies together use every member in proportion to its
    share; each shuffle is the same at every copy that knows the same members.
    """
    if slices >= nodes:
        return dict(shares)
    size = sum(shares.values()) / nodes
    number %= nodes  # a copy numbered beyond their count would take nothing
    start, end = number * size, (number + 1) * size
    taken = dict.fromkeys(shares, 0.0)
    for n in range(slices):
        factor, at = Random(n).getrandbits(32) | 1, 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            taken[member] += max(0.0, min(at + shares[member], end) - max(at, start))
            at += shares[member]
    return taken
