"""What a controller knows of the others: who is alive, who is fit to own a shard, and who is leaving."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.mesh.control.contact import Contact

ALIVE_S = 1.5  # a controller that was heard within this time is alive
DEAD_S = 2.5  # one that was not heard for this time is dead, as far as this controller knows


@dataclass(slots=True)
class Peers:
    """What a controller knows of the others, shared by its replicas of all shards.

    :param began_s: when this controller started.
    :param heard_s: by controller: when its last heartbeat came.
    :param unfit: controllers that can't own a shard, as they say themselves.
    :param fit: whether this controller can own a shard: its disk keeps up, and it is not stopping.
    :param leaving: controllers that are stopping, as they say themselves.
    :param stopping: whether this controller is stopping.
    :param learning: by controller: the shards in which it has yet to catch up, as it says itself.
    """

    began_s: float
    heard_s: dict[str, float] = field(default_factory=dict)
    unfit: set[str] = field(default_factory=set)
    fit: bool = True
    leaving: set[str] = field(default_factory=set)
    stopping: bool = False
    learning: dict[str, tuple[int, ...]] = field(default_factory=dict)
    contact: Contact = field(default_factory=Contact)

    def alive(self, name: str, now: float, within_s: float = ALIVE_S) -> bool:
        """Whether a controller was heard within a time."""
        return now - self.heard_s.get(name, float("-inf")) < within_s

    def dead(self, name: str, now: float) -> bool:
        """Whether a controller has not been heard for long; if it never was, since this one has started."""
        return now - self.heard_s.get(name, self.began_s) > DEAD_S
