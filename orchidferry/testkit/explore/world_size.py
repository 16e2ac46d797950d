"""The size of a world that is explored."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorldSize:
    """The size of a world. Each client asks once."""

    clients: int = 2
    servers: int = 2
    events: int = 3  # disturbances in one run
    kinds: tuple[str, ...] = ("pay", "save", "read")  # of the clients, in turn
    attempts: int = 2
    cold: int = 0  # servers that have just started
    late: int = 2  # times that it may let time pass though somebody could act, each a disturbance

    def __post_init__(self) -> None:
        """Refuse what can't be meant."""
        for name, low, high in (("clients", 1, 4), ("servers", 1, 4), ("events", 0, 6), ("attempts", 1, 4)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)} is not within {low} to {high}")
