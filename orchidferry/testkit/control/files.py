"""Files in TOML or JSON in which an operator writes a version of the configuration. No network I/O.

version = "v8"

[[pools.catalogo]]            # an endpoint of the pool `catalogo`, in the format of discovery
name = "catalogo-1"
address = "10.0.0.5:7000"

[settings.entrada]            # the settings resource `entrada`, to which nodes subscribe by this name
pool = "catalogo"
settings = { ... }            # as in NODE_CONFIG
"""

from __future__ import annotations

import difflib
import json
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from google.protobuf.any_pb2 import Any as AnyMessage

from orchidferry.balancing.configuration import Configuration, Member, Part, Pools, VersionError
from orchidferry.balancing.configuration_checks import check_members, check_parts_match
from orchidferry.balancing.settings import Json, SettingsFormatError, get
from orchidferry.errors import OrchidferryError
from orchidferry.node.address import parse_address
from orchidferry.node.control.messages import (
    ResourceDecodeError,
    node_message,
    pool_message,
    read_node,
    read_pool,
)
from orchidferry.node.control.store import StateFileError, decode
from orchidferry.node.control.store import to_json as configuration_to_json

Key = tuple[Part, str]  # identifies a resource by its part and name
MAX_FILE_BYTES = 64 * 1024 * 1024


class VersionFileError(OrchidferryError):
    """A file that does not contain a valid version; the text names the file and the field."""


@dataclass(frozen=True, slots=True)
class Version:
    """The version that a file contains."""

    version: str  # its name
    content: dict[Key, Any]  # the resources as JSON values, in the format of the file
    packed: dict[Key, AnyMessage]  # the same resources as xDS messages

    def to_json(self) -> Json:
        """Return the version in the format of the file."""
        obj: Json = {"version": self.version, "pools": {}, "settings": {}}
        for (part, name), spec in self.content.items():
            obj["pools" if part is Part.MEMBERS else "settings"][name] = spec
        return obj


def read_version(path: str) -> Version:
    """Read the version in a file.

    :raises VersionFileError: if the file can't be read, or contains no valid version.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise VersionFileError(f"{path}: {problem.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise VersionFileError(f"{path}: has {len(data)} bytes, {MAX_FILE_BYTES} at most")
    try:
        return version_from_json(_parse(path, data))
    except (SettingsFormatError, VersionFileError) as problem:
        raise VersionFileError(f"{path}: {problem}") from None


def _parse(path: str, data: bytes) -> Json:
    try:
        if path.endswith(".toml"):
            return tomllib.loads(data.decode())
        if data.startswith(b"orchidferry "):
            raise VersionFileError(
                f"is a node's {path.rpartition('/')[2]}, which can be compared, not pushed"
            )
        obj = json.loads(data)
    except (ValueError, RecursionError) as problem:
        raise VersionFileError(f"neither TOML (.toml) nor JSON: {problem!s:.100}") from None
    if not isinstance(obj, dict):
        raise VersionFileError("must be an object")
    return obj


def version_from_json(obj: Json) -> Version:
    """Return the version in an object, after the checks of a node that don't need the node's own file.

    :raises VersionFileError: if the object is not a valid version.
    """
    if unknown := sorted(obj.keys() - {"version", "pools", "settings"}):
        raise VersionFileError(f"{unknown[0]!r} is not known")
    version = get(obj, "version", str)
    if not version or len(version) > 256:
        raise VersionFileError("'version' must have 1 to 256 characters")
    content: dict[Key, Any] = {}
    packed: dict[Key, AnyMessage] = {}
    pools: dict[str, tuple[Member, ...]] = {}
    try:
        for name, endpoints in get(obj, "pools", dict).items():
            key = Part.MEMBERS, name
            content[key], packed[key] = endpoints, _pool_message(name, endpoints)
            pools[name] = read_pool(name, packed[key])
        check_members(Pools(pools))
        for name, spec in get(obj, "settings", dict).items():
            key = Part.SETTINGS, name
            where = f"settings.{name}"
            if not isinstance(spec, dict):
                raise VersionFileError(f"{where}: must be a table")
            try:
                packed[key] = node_message(name, get(spec, "pool", str), get(spec, "settings", dict))
            except SettingsFormatError as problem:
                raise VersionFileError(f"{where}: {problem}") from None
            content[key] = spec
            node = read_node(name, packed[key])
            try:
                check_parts_match(Configuration(Pools(pools), node))
            except VersionError as problem:
                raise VersionFileError(f"{where}: {problem}") from None
    except (ResourceDecodeError, VersionError) as problem:
        raise VersionFileError(str(problem)) from None
    except (ValueError, TypeError) as problem:  # a value that does not fit its message field
        raise VersionFileError(f"can't be encoded as xDS messages: {problem!s:.200}") from None
    return Version(version, content, packed)


def _pool_message(name: str, endpoints: Any) -> AnyMessage:
    where = f"pools.{name}"
    if not isinstance(endpoints, list):
        raise VersionFileError(f"{where}: must be a list of endpoints")
    for index, endpoint in enumerate(endpoints):
        if not isinstance(endpoint, dict):
            raise VersionFileError(f"{where}[{index}]: must be a table")
        try:
            get(endpoint, "name", str)
            parse_address(get(endpoint, "address", str))
        except SettingsFormatError as problem:
            raise VersionFileError(f"{where}[{index}]: {problem}") from None
        if endpoint.get("status", "active") not in ("active", "leaving"):
            raise VersionFileError(
                f"{where}[{index}]: 'status' is {endpoint['status']!r:.40}, not active or leaving"
            )
    return pool_message(name, endpoints)


def diff_lines(version: Json) -> dict[str, list[str]]:
    """Return a version as sorted lines to compare, by resource: a line for each endpoint, class and field."""

    def text(value: Any) -> str:
        return json.dumps(value, sort_keys=True)

    def fields(prefix: str, value: Any) -> Iterator[str]:
        if isinstance(value, dict) and value:
            for name in sorted(value):
                yield from fields(f"{prefix}.{name}" if prefix else name, value[name])
        elif isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
            for item in sorted(value, key=lambda item: str(item.get("name", text(item)))):
                yield f"{prefix}[{item.get('name', '')}] = {text(item)}"
        else:
            yield f"{prefix} = {text(value)}"

    pools = {f"pools.{name}": list(fields("", spec)) for name, spec in version.get("pools", {}).items()}
    return pools | {
        f"settings.{name}": list(fields("", spec)) for name, spec in version.get("settings", {}).items()
    }


def read_comparable(path: str) -> Json:
    """Return the version in a file for a comparison; the file may also be a node's `last-good`.

    :raises VersionFileError: if the file can't be used.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise VersionFileError(f"{path}: {problem.strerror}") from None
    if not data.startswith(b"orchidferry "):
        return read_version(path).to_json()
    try:
        saved = configuration_to_json(decode(data))
    except StateFileError as problem:
        raise VersionFileError(f"{path}: {problem}") from None
    return {
        "version": " ".join(saved["versions"].values()),
        "pools": saved["pools"],
        "settings": {"": {"pool": saved["pool"], "settings": saved["settings"]}},
    }


def differences(before: Json, after: Json, names: tuple[str, str]) -> list[str]:
    """Return the lines of a unified diff of two versions, resource by resource.

    :param names: what to call the two versions in the diff.
    :returns: no lines if the versions are equivalent.
    """
    old = diff_lines(before)
    new = diff_lines(after)
    diff: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        old_lines = old.get(name, [])
        new_lines = new.get(name, [])
        if old_lines == new_lines and (name in old) == (name in new):
            continue
        labels = (f"{names[0]} {name}", f"{names[1]} {name}")
        diff += list(difflib.unified_diff(old_lines, new_lines, *labels, lineterm="", n=0)) or [
            f"{'+' if name in new else '-'} {name} (empty)"
        ]
    return diff
