"""Orders under one number: one content is taken, and whoever sends it again hears so."""

from __future__ import annotations

from rehearsal.explore.mesh import Break
from rehearsal.explore.worst_days.play import Play

SCENES: dict[str, Play] = {}
BREAKS: dict[str, Break] = {}
