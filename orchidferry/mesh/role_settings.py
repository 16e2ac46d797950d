"""The settings file of a role: its location, and the fields that the role requires."""

from __future__ import annotations

import os

from orchidferry.mesh.settings import MeshSettingsError, Settings, read_settings

SETTINGS_VARIABLE = "ORCHIDFERRY_BOOT"  # environment variable with the path of the settings file
LISTEN_POINTS = {"proxy": ("outbound", "inbound", "ready", "control"), "controller": ("control",)}
ROLES = tuple(LISTEN_POINTS)


def settings_path() -> str:
    """Return the path of the settings file.

    :raises MeshSettingsError: if the environment variable is not set
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise MeshSettingsError(f"{SETTINGS_VARIABLE} must name the settings file")
    return path


def settings_for(role: str) -> Settings:
    """Read and validate the settings of a role.

    :param role: one of `ROLES`
    :raises MeshSettingsError: if they are invalid; it names the file and the field
    """
    path = settings_path()
    settings = read_settings(path)
    try:
        validate_role(role, settings)
    except MeshSettingsError as error:
        raise error.in_file(path) from None
    return settings


def validate_role(role: str, settings: Settings) -> None:
    """Check that the fields that a role requires are present.

    :param role: one of `ROLES`
    :raises MeshSettingsError: if one is missing; it names the field
    """
    if role == "controller" and settings.data_dir is None:
        raise data_dir_missing()
    if role == "proxy" and settings.application is None:
        raise MeshSettingsError("a node needs one", "own_node.application")
    for name in LISTEN_POINTS[role]:
        if name not in settings.listen:
            raise MeshSettingsError("this role needs one", f"network.listen_points.{name}")


def data_dir_missing() -> MeshSettingsError:
    """Return the error for settings of a controller without a data directory."""
    return MeshSettingsError("a controller needs one", "own_node.data_dir")
