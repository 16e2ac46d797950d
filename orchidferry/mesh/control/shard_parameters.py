"""Fixed parameters of one shard at one controller."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.balancing.register import Value


@dataclass(frozen=True, slots=True)
class ShardParameters:
    """Parameters of a `Shard`, which do not change while its process runs.

    :param number: number of the shard.
    :param name: name of the controller.
    :param genesis: the initial state, which all founders share.
    :param group_size: number of voters that the group should have.
    :param key_window_s: minimum time for which operation keys are kept, in seconds.
    :param max_keys: maximum number of operation keys that the shard may hold.
    """

    number: int
    name: str
    genesis: Value
    group_size: int
    key_window_s: float
    max_keys: int
