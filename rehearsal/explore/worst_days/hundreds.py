"""Hundreds of changes, and members that missed most of them."""

from __future__ import annotations

from rehearsal.explore.mesh import Break
from rehearsal.explore.worst_days.play import Play

SCENES: dict[str, Play] = {}
BREAKS: dict[str, Break] = {}
