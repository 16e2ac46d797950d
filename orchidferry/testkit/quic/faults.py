"""What a scripted path does to each datagram: pure, and drawn from a seed. No I/O, no clock of its own."""

from __future__ import annotations

import random
from dataclasses import dataclass

REORDER_S = 0.005  # that a reordered datagram is held back by, so that later ones overtake it
DUPLICATE_S = 0.002  # that the second copy comes after


@dataclass(frozen=True, slots=True)
class PathConditions:
    """Shares are of datagrams, 0 to 1; delays in seconds."""

    loss: float = 0.0
    reorder: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0

    def __post_init__(self) -> None:
        for name in ("loss", "reorder", "duplicate"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name}: {getattr(self, name)} is not within 0 to 1")
        if self.delay_s < 0.0 or self.jitter_s < 0.0:
            raise ValueError("delays must be 0 or more")


CLEAN = PathConditions()


class PathFaults:
    """One direction of one path. The same seed and the same datagrams meet the same fate."""

    def __init__(self, seed: int, conditions: PathConditions = CLEAN) -> None:
        self._rng = random.Random(seed)
        self.conditions = conditions
        self.black_hole = False  # while set, nothing passes
        self.passed = self.lost = 0

    def copy_delays_s(self) -> list[float]:
        """After how many seconds each copy of the next datagram comes: none where it is lost."""
        conditions = self.conditions
        draw = self._rng.random
        # Always as many draws, so that the fate of later ones does not hang on that of earlier ones.
        loss = draw()
        reorder = draw()
        duplicate = draw()
        jitter = draw()
        if self.black_hole or loss < conditions.loss:
            self.lost += 1
            return []
        self.passed += 1
        wait = (
            conditions.delay_s
            + conditions.jitter_s * jitter
            + (REORDER_S if reorder < conditions.reorder else 0.0)
        )
        return [wait, wait + DUPLICATE_S] if duplicate < conditions.duplicate else [wait]
