"""What keepers say to the claim of one key, counted under one epoch of the group. Pure.

>>> count = Count(0, ("a", "b", "c"))
>>> count.hear("a", 0, "yours", None), count.hear("b", 1, "yours", None), count.hear("b", 0, "yours", None)
('', '', 'yours')
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Count:
    """The answers of one group."""

    epoch: int
    group: tuple[str, ...]
    yours: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)

    def anew(self, epoch: int, group: tuple[str, ...]) -> None:
        """Another group: what the one before it said does not count."""
        self.epoch, self.group, self.yours, self.held = epoch, group, set(), set()

    def open(self, name: str) -> bool:
        """Whether a keeper has yet to say something."""
        return name not in self.yours and name not in self.held

    def hear(self, name: str, epoch: int, what: str, answer: Any) -> str:
        """Take an answer: `yours` or `held` where that ends the claim, else nothing."""
        if epoch != self.epoch or name not in self.group:
            return ""
        if what == "held":
            self.held.add(name)
            if answer is not None:
                return "held"
        elif what == "yours":
            self.yours.add(name)
        half = len(self.group) / 2.0
        if len(self.yours) > half:
            return "yours"
        split = bool(self.held) and len(self.held | self.yours) == len(self.group)
        return "held" if len(self.held) > half or split else ""
