"""A controller that is cut off from the others for long neither confirms anything nor hands out old state."""

from __future__ import annotations

from rehearsal.explore.mesh import Break
from rehearsal.explore.worst_days.play import Play

SCENES: dict[str, Play] = {}
BREAKS: dict[str, Break] = {}
