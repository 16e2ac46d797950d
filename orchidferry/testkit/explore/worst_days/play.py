"""What a scene of the worst days is made of."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.testkit.explore.mesh import MeshWorld, Scene


@dataclass(frozen=True)
class Play:
    """A scene, and the world that plays it."""

    scene: Scene
    world: type[MeshWorld] = MeshWorld
