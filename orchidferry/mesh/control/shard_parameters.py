"""What is fixed about one shard at one controller."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.balancing.register import Value


@dataclass(frozen=True, slots=True)
class ShardParameters:
    """Parameters of a `Shard`, the same for as long as its process runs.

    :param number: of the shard.
    :param name: of the controller.
    :param genesis: the state that all founders begin with.
    :param group_size: how many voters the group should have.
    :param key_window_s: how long operation keys are kept at least, in seconds.
    :param max_keys: how many operation keys the shard may hold.
    """

    number: int
    name: str
    genesis: Value
    group_size: int
    key_window_s: float
    max_keys: int
