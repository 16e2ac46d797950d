"""The last good configuration on disk, in a `Store`: what stands in its file."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.node import state_store
from orchidferry.node.control.plain import made, plain, settings_from
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


def to_json(whole: Configuration) -> dict[str, Any]:
    """A configuration as JSON; without `started_ms`, as its clock does not outlast the process."""
    pools = {
        name: [
            plain(dataclasses.replace(member.entry, started_ms=None)) | {"address": list(member.address)}
            for member in members
        ]
        for name, members in whole.pools.members.items()
    }
    return {
        "versions": {part.value: version for part, version in whole.versions.items()},
        "pool": whole.node.pool,
        "settings": plain(whole.node.settings),
        "pools": pools,
    }


def from_json(obj: Any) -> Configuration:
    """What `to_json` made; one of `MALFORMED_JSON_ERRORS` if it is not."""
    settings = settings_from(obj["settings"])
    pools = {}
    for name, members in obj["pools"].items():
        found = []
        for one in members:
            fields = dict(one)
            host, port = fields.pop("address")
            found.append(
                Member(made(api.ServerEntry, fields, {"health": api.Health}), (str(host), int(port)))
            )
        pools[name] = tuple(found)
    versions = {part: str(obj["versions"][part.value]) for part in Part}
    return Configuration(Pools(pools), NodeSettings(str(obj["pool"]), settings), versions)


FORM = StateFormat(
    "last-good",
    "last good configuration",
    b"orchidferry last-good",
    1,
    64 * 1024 * 1024,  # 40,000 members take some 12 MB
    to_json,
    from_json,
)


def encode(whole: Configuration) -> bytes:
    """The file's bytes."""
    return FORM.encode(whole)


def decode(data: bytes) -> Configuration:
    """The configuration in a file's bytes; `StateFileError` if there is none that this program can read."""
    return FORM.decode(data)


class Store(state_store.StateStore[Configuration]):
    """The folder of one node. `StateLockedError` if another holds it, `OSError` if there can't be one."""

    def __init__(self, folder: Path, files: FileSystem | None = None) -> None:
        super().__init__(folder, FORM, files)
