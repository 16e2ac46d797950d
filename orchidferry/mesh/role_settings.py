"""The settings file of a role: where it is, and what the role cannot do without."""

from __future__ import annotations

import os

from orchidferry.mesh.settings import MeshSettingsError, Settings, read_settings

SETTINGS_VARIABLE = "ORCHIDFERRY_BOOT"  # of the environment; it names the settings file
LISTEN_POINTS = {"proxy": ("outbound", "inbound", "ready", "control"), "controller": ("control",)}
ROLES = tuple(LISTEN_POINTS)
DATA_DIR_MISSING = "own_node.data_dir: a controller needs one"


def settings_path() -> str:
    """The path of the settings file. `MeshSettingsError` if the environment names none."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise MeshSettingsError(f"{SETTINGS_VARIABLE} must name the settings file")
    return path


def settings_for(role: str) -> Settings:
    """The settings of a role. `MeshSettingsError` names file and field in one line."""
    path = settings_path()
    settings = read_settings(path)
    try:
        validate_role(role, settings)
    except MeshSettingsError as problem:
        raise MeshSettingsError(f"{path}: {problem}") from None
    return settings


def validate_role(role: str, settings: Settings) -> None:
    """Check what a role cannot do without. `MeshSettingsError` names the field."""
    if role == "controller" and settings.data_dir is None:
        raise MeshSettingsError(DATA_DIR_MISSING)
    if role == "proxy" and settings.application is None:
        raise MeshSettingsError("own_node.application: a node needs one")
    for name in LISTEN_POINTS[role]:
        if name not in settings.listen:
            raise MeshSettingsError(f"network.listen_points.{name}: this role needs one")
