"""Scripted faults of a network path: loss, delay, reordering and duplication by a seed. No I/O, no clock."""

from __future__ import annotations

import random
from dataclasses import dataclass

REORDER_DELAY_S = 0.005  # extra delay of a reordered datagram, so that later ones overtake it
DUPLICATE_DELAY_S = 0.002  # time between the two copies of a duplicated datagram


@dataclass(frozen=True, slots=True)
class PathConditions:
    """The faults of a path; `loss`, `reorder` and `duplicate` are fractions of the datagrams, 0 to 1."""

    loss: float = 0.0
    reorder: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0  # delay of every datagram
    jitter_s: float = 0.0  # maximum additional random delay

    def __post_init__(self) -> None:
        for name in ("loss", "reorder", "duplicate"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name}: {getattr(self, name)} is not within 0 to 1")
        if self.delay_s < 0.0 or self.jitter_s < 0.0:
            raise ValueError("delay_s and jitter_s must be 0 or more")


NO_FAULTS = PathConditions()


class PathFaults:
    """The faults of one direction of one path; the same seed yields the same losses and delays."""

    def __init__(self, seed: int, conditions: PathConditions = NO_FAULTS) -> None:
        self._rng = random.Random(seed)
        self.conditions = conditions
        self.black_hole = False  # while set, all datagrams are lost
        self.passed = self.lost = 0  # datagrams, without copies

    def copy_delays_s(self) -> list[float]:
        """Return the delay in seconds of each copy of the next datagram; an empty list if it is lost."""
        conditions = self.conditions
        draw = self._rng.random
        # Always four draws, so that the faults of later datagrams do not depend on those of earlier ones.
        loss_draw = draw()
        reorder_draw = draw()
        duplicate_draw = draw()
        jitter_draw = draw()
        if self.black_hole or loss_draw < conditions.loss:
            self.lost += 1
            return []
        self.passed += 1
        delay_s = (
            conditions.delay_s
            + conditions.jitter_s * jitter_draw
            + (REORDER_DELAY_S if reorder_draw < conditions.reorder else 0.0)
        )
        return [delay_s, delay_s + DUPLICATE_DELAY_S] if duplicate_draw < conditions.duplicate else [delay_s]
