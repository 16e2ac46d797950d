"""The size of the world of one node that is explored."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorldSize:
    """The size of a world. Each client sends one request.

    :ivar events: disturbances in one run
    :ivar kinds: of the clients' requests (`pay`, `save`, `read`), assigned in turn
    :ivar attempts: at one request at most
    :ivar cold: servers that have just started
    :ivar late: how often time may advance although a peer could act; each counts as a disturbance
    """

    clients: int = 2
    servers: int = 2
    events: int = 3
    kinds: tuple[str, ...] = ("pay", "save", "read")
    attempts: int = 2
    cold: int = 0
    late: int = 2

    def __post_init__(self) -> None:
        """Check the ranges of the sizes."""
        for name, low, high in (("clients", 1, 4), ("servers", 1, 4), ("events", 0, 6), ("attempts", 1, 4)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)} is not within {low} to {high}")
