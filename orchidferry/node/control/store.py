"""Saves the last good configuration on disk, so that a node can start without the control service."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.node import state_store
from orchidferry.node.control.plain import dataclass_from, plain, settings_from
from orchidferry.node.state_store import FileSystem, StateFileError, StateFormat, StateLockedError

__all__ = [
    "FORM",
    "FileSystem",
    "Path",
    "StateFileError",
    "StateLockedError",
    "Store",
    "decode",
    "encode",
    "to_json",
]

MAX_FILE_BYTES = 64 * 1024 * 1024  # a configuration with 40,000 members takes some 12 MB


def to_json(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration as JSON values.

    `started_ms` of members is left out, because it is a time of a clock that is valid only in this process.
    """
    pools = {
        name: [_member_to_json(member) for member in members]
        for name, members in configuration.pools.members.items()
    }
    return {
        "versions": {part.value: version for part, version in configuration.versions.items()},
        "pool": configuration.node.pool,
        "settings": plain(configuration.node.settings),
        "pools": pools,
    }


def _member_to_json(member: Member) -> dict[str, Any]:
    entry: dict[str, Any] = plain(dataclasses.replace(member.entry, started_ms=None))
    return entry | {"address": list(member.address)}


def from_json(obj: Any) -> Configuration:
    """Return the configuration that `to_json` encoded.

    :raises Exception: one of `MALFORMED_JSON_ERRORS` if the value is not such an encoding.
    """
    settings = settings_from(obj["settings"])
    pools = {name: tuple(map(_member_from_json, members)) for name, members in obj["pools"].items()}
    versions = {part: str(obj["versions"][part.value]) for part in Part}
    return Configuration(Pools(pools), NodeSettings(str(obj["pool"]), settings), versions)


def _member_from_json(obj: Any) -> Member:
    fields = dict(obj)
    host, port = fields.pop("address")
    entry = dataclass_from(api.ServerEntry, fields, {"health": api.Health})
    return Member(entry, (str(host), int(port)))


FORM = StateFormat(
    file_name="last-good",
    description="last good configuration",
    magic=b"orchidferry last-good",
    version=1,
    max_bytes=MAX_FILE_BYTES,
    to_json=to_json,
    from_json=from_json,
)


def encode(configuration: Configuration) -> bytes:
    """Return the content of the file for a configuration."""
    return FORM.encode(configuration)


def decode(data: bytes) -> Configuration:
    """Return the configuration in a file's content.

    :raises StateFileError: if this program can't read it.
    """
    return FORM.decode(data)


class Store(state_store.StateStore[Configuration]):
    """The state directory of one node."""

    def __init__(self, directory: Path, files: FileSystem | None = None) -> None:
        """Create a `Store`.

        :param directory: created if it is missing, and locked.
        :param files: the file operations; tests replace them.
        :raises StateLockedError: if another process has locked the directory.
        :raises OSError: if the directory can't be created or opened.
        """
        super().__init__(directory, FORM, files)
