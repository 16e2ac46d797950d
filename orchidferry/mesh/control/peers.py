"""State of the other controllers as observed by one: which are alive, fit to own a shard, or leaving."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.mesh.control.contact import Contact

ALIVE_S = 1.5  # a controller counts as alive if its last heartbeat is more recent than this
DEAD_S = 2.5  # a controller counts as dead if its last heartbeat is older than this
SILENT_S = 0.8  # a controller that has missed two heartbeats may be about to be replaced


@dataclass(slots=True)
class Peers:
    """A controller's view of the others and of itself, shared by its replicas of all shards.

    Times are in seconds on the event loop's clock.

    :param began_s: time at which this controller started.
    :param heard_s: for each other controller by name, the time at which its last heartbeat arrived.
    :param unfit: names of controllers whose heartbeats report that they can't own a shard.
    :param fit: whether this controller can own a shard: it has caught up, its disk is not degraded, and it is
        not stopping.
    :param leaving: names of controllers whose heartbeats report that they are stopping.
    :param stopping: whether this controller is stopping.
    :param learning: for each other controller by name, the numbers of the shards in which it has not caught
        up yet, according to its heartbeats.
    :param contact: this controller's contact with the others.
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
        """Whether a controller's last heartbeat arrived within the last `within_s` seconds."""
        return now - self.heard_s.get(name, float("-inf")) < within_s

    def dead(self, name: str, now: float) -> bool:
        """Whether no heartbeat of a controller has arrived for `DEAD_S`, or since this one started."""
        return self._unheard_for_s(name, now) > DEAD_S

    def silent(self, name: str, now: float) -> bool:
        """Whether no heartbeat of a controller has arrived for `SILENT_S`, or since this one started."""
        return self._unheard_for_s(name, now) > SILENT_S

    def _unheard_for_s(self, name: str, now: float) -> float:
        """Return the time since a controller's last heartbeat, or since the start if there was none."""
        return now - self.heard_s.get(name, self.began_s)
