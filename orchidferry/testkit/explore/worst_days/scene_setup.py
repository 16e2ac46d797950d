"""A scene of the worst days with its world."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.testkit.explore.mesh import MeshWorld, Scene


@dataclass(frozen=True)
class SceneSetup:
    """A scene, and the class of the world that plays it."""

    scene: Scene
    world: type[MeshWorld] = MeshWorld
