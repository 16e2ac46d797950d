"""A version of the configuration as an operator writes it: a file in TOML or JSON. No sockets.

version = "v8"

[[pools.catalogo]]            # an endpoint, as discovery lists one
name = "catalogo-1"
address = "10.0.0.5:7000"

[settings.entrada]            # a resource of settings, by the name that nodes ask for
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
from orchidferry.node.control.store import to_json as stored

Key = tuple[Part, str]  # a resource: its part and name
MOST = 64 * 1024 * 1024  # bytes of a file


class VersionFileError(OrchidferryError):
    """A file that is no version that could be meant; the text names the file and the field."""


@dataclass(frozen=True, slots=True)
class Version:
    """What one file says: resources in its own form, and as messages."""

    version: str
    content: dict[Key, Any]
    packed: dict[Key, AnyMessage]

    def form(self) -> Json:
        """The file's form again."""
        found: Json = {"version": self.version, "pools": {}, "settings": {}}
        for (part, name), spec in self.content.items():
            found["pools" if part is Part.MEMBERS else "settings"][name] = spec
        return found


def read_version(path: str) -> Version:
    """Read a file; a node's `last-good` serves too."""
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise VersionFileError(f"{path}: {problem.strerror}") from None
    if len(data) > MOST:
        raise VersionFileError(f"{path}: has {len(data)} bytes, {MOST} at most")
    try:
        return from_form(_parsed(path, data))
    except (SettingsFormatError, VersionFileError) as problem:
        raise VersionFileError(f"{path}: {problem}") from None


def _parsed(path: str, data: bytes) -> Json:
    try:
        if path.endswith(".toml"):
            return tomllib.loads(data.decode())
        if data.startswith(b"orchidferry "):
            raise VersionFileError(
                f"is a {path.rpartition('/')[2]}: a node's own; it can be compared, not pushed"
            )
        found = json.loads(data)
    except (ValueError, RecursionError) as problem:
        raise VersionFileError(f"neither TOML (.toml) nor JSON: {problem!s:.100}") from None
    if not isinstance(found, dict):
        raise VersionFileError("must be an object")
    return found


def from_form(obj: Json) -> Version:
    """Check it as a node would, as far as that can be done without the node's own file."""
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
            content[key], packed[key] = endpoints, _pool(name, endpoints)
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
    except (ValueError, TypeError) as problem:  # what a message can't hold
        raise VersionFileError(f"can't be made a message: {problem!s:.200}") from None
    return Version(version, content, packed)


def _pool(name: str, endpoints: Any) -> AnyMessage:
    where = f"pools.{name}"
    if not isinstance(endpoints, list):
        raise VersionFileError(f"{where}: must be a list of endpoints")
    for at, one in enumerate(endpoints):
        if not isinstance(one, dict):
            raise VersionFileError(f"{where}[{at}]: must be a table")
        try:
            get(one, "name", str)
            parse_address(get(one, "address", str))
        except SettingsFormatError as problem:
            raise VersionFileError(f"{where}[{at}]: {problem}") from None
        if one.get("status", "active") not in ("active", "leaving"):
            raise VersionFileError(f"{where}[{at}]: 'status' is {one['status']!r:.40}, not active or leaving")
    return pool_message(name, endpoints)


def lines_of(form: Json) -> dict[str, list[str]]:
    """A form as lines by resource: an endpoint, class or field each, in an order of their own."""

    def text(value: Any) -> str:
        return json.dumps(value, sort_keys=True)

    def fields(prefix: str, value: Any) -> Iterator[str]:
        if isinstance(value, dict) and value:
            for name in sorted(value):
                yield from fields(f"{prefix}.{name}" if prefix else name, value[name])
        elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
            for one in sorted(value, key=lambda one: str(one.get("name", text(one)))):
                yield f"{prefix}[{one.get('name', '')}] = {text(one)}"
        else:
            yield f"{prefix} = {text(value)}"

    found = {f"pools.{name}": list(fields("", spec)) for name, spec in form.get("pools", {}).items()}
    return found | {
        f"settings.{name}": list(fields("", spec)) for name, spec in form.get("settings", {}).items()
    }


def comparable(path: str) -> Json:
    """A file's form for a comparison: a version's, or a node's `last-good`."""
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise VersionFileError(f"{path}: {problem.strerror}") from None
    if not data.startswith(b"orchidferry "):
        return read_version(path).form()
    try:
        kept = stored(decode(data))
    except StateFileError as problem:
        raise VersionFileError(f"{path}: {problem}") from None
    return {
        "version": " ".join(kept["versions"].values()),
        "pools": kept["pools"],
        "settings": {"": {"pool": kept["pool"], "settings": kept["settings"]}},
    }


def differences(before: Json, after: Json, names: tuple[str, str]) -> list[str]:
    """The lines of a unified diff, resource by resource; none if they mean the same."""
    old = lines_of(before)
    new = lines_of(after)
    found: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        ours = old.get(name, [])
        theirs = new.get(name, [])
        if ours == theirs and (name in old) == (name in new):
            continue
        labels = (f"{names[0]} {name}", f"{names[1]} {name}")
        found += list(difflib.unified_diff(ours, theirs, *labels, lineterm="", n=0)) or [
            f"{'+' if name in new else '-'} {name} (empty)"
        ]
    return found
