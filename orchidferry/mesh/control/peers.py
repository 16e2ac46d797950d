"""What a controller knows of the other controllers: who is alive, who is fit for duties, who is leaving."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.mesh.control.contact import Contact

ALIVE_S = 1.5  # a controller that was heard within this is alive
DEAD_S = 2.5  # one that was not is dead, as far as this one knows


@dataclass(slots=True)
class Peers:
    """What a controller knows of the others, shared by its replicas of all shards."""

    began_s: float
    heard_s: dict[str, float] = field(default_factory=dict)
    unfit: set[str] = field(default_factory=set)  # that can't do duties, by their own word
    fit: bool = True  # whether this one can: its disk keeps up, it is not stopping
    leaving: set[str] = field(default_factory=set)  # that were told to end, by their own word
    stopping: bool = False  # whether this one was
    learning: dict[str, tuple[int, ...]] = field(default_factory=dict)  # shards that each has yet to learn
    contact: Contact = field(default_factory=Contact)

    def alive(self, name: str, now: float, within_s: float = ALIVE_S) -> bool:
        """Whether a controller was heard within the time."""
        return now - self.heard_s.get(name, float("-inf")) < within_s

    def dead(self, name: str, now: float) -> bool:
        """Whether it has been silent for long; one that was never heard, since the start."""
        return now - self.heard_s.get(name, self.began_s) > DEAD_S
