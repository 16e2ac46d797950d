"""The operator's file that switches HTTP/3 on: TOML, named by ORCHIDFERRY_HTTP3.

Every key is checked; a bad one gives one line with the file and the key (`ConfigError`), and the node exits
2.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.node.address import Address
from orchidferry.node.config import ConfigError

MAX_CONNECTIONS = 512  # callers' connections, by default: some 90 KB each


@dataclass(slots=True, frozen=True)
class Front:
    """The UDP listener: where, with which certificate, for how many connections."""

    listen: Address
    certificate: Path
    key: Path
    connections: int
    alt_svc_s: int  # how long callers may remember it, in seconds; 0: they are not told


@dataclass(slots=True, frozen=True)
class Servers:
    """HTTP/3 towards servers that list it."""

    ca: Path | None  # of their certificates; None: the system's
    name: str | None  # that their certificates bear; None: their address
    connections: int


@dataclass(slots=True, frozen=True)
class Http3:
    """What is on: either side, or both."""

    front: Front | None
    servers: Servers | None


class Table:
    """A TOML table that is read key by key."""

    def __init__(self, file: Path, name: str, found: Any) -> None:
        self._file = file
        self._name = name
        if not isinstance(found, dict):
            raise ConfigError(f"{file}: {name} must be a table")
        self._left = dict(found)

    def bad(self, key: str, why: str) -> ConfigError:
        return ConfigError(f"{self._file}: {self._name}.{key} {why}")

    def text(self, key: str, default: str | None = None) -> str:
        value = self._left.pop(key, default)
        if not isinstance(value, str) or not value:
            raise self.bad(key, "must be text" if value is not None else "is missing")
        return value

    def whole(self, key: str, default: int, least: int, most: int) -> int:
        value = self._left.pop(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            raise self.bad(key, f"must be a whole number within {least} to {most}")
        return value

    def file(self, key: str) -> Path:
        path = (self._file.parent / self.text(key)).resolve()
        if not path.is_file():
            raise self.bad(key, f"names no file: {path.name}")
        return path

    def optional(self, key: str) -> bool:
        return key in self._left

    def done(self) -> None:
        if self._left:
            raise self.bad(next(iter(self._left)), "is not known")


def read_http3(path: str) -> Http3:
    """The settings in a file; `ConfigError` names the file and the key."""
    file = Path(path)
    try:
        found = tomllib.loads(file.read_text("utf-8"))
    except (OSError, ValueError) as problem:  # broken TOML and broken UTF-8 are ValueErrors
        raise ConfigError(f"{path}: {problem}") from None
    unknown = set(found) - {"front", "servers"}
    if unknown:
        raise ConfigError(f"{path}: {sorted(unknown)[0]} is not known")
    front = servers = None
    if "front" in found:
        table = Table(file, "front", found["front"])
        host, _, port = table.text("listen").rpartition(":")
        if not host or not port.isdigit() or int(port) > 65_535:
            raise table.bad("listen", "must be HOST:PORT")
        front = Front(
            (host.strip("[]"), int(port)),
            table.file("certificate"),
            table.file("key"),
            table.whole("connections", MAX_CONNECTIONS, 1, 100_000),
            table.whole("alt_svc_s", 60, 0, 86_400 * 30),
        )
        table.done()
    if "servers" in found:
        table = Table(file, "servers", found["servers"])
        servers = Servers(
            table.file("ca") if table.optional("ca") else None,
            table.text("name") if table.optional("name") else None,
            table.whole("connections", MAX_CONNECTIONS, 1, 100_000),
        )
        table.done()
    if front is None and servers is None:
        raise ConfigError(f"{path}: neither front nor servers is there")
    return Http3(front, servers)
