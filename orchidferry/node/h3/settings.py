"""The operators' file that switches on HTTP/3 (`ORCHIDFERRY_HTTP3`, TOML), as typed values.

An error names the file and the key.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.node.address import Address
from orchidferry.node.config import ConfigError

MAX_CONNECTIONS = 512  # default; a connection takes some 90 KB
MAX_CONNECTIONS_SETTING = 100_000
DEFAULT_ALT_SVC_S = 60
MAX_ALT_SVC_S = 86_400 * 30


@dataclass(slots=True, frozen=True)
class Front:
    """The listener for clients."""

    listen: Address
    certificate: Path
    key: Path
    connections: int
    alt_svc_s: int  # how long clients may remember it, in seconds; 0: it is not announced


@dataclass(slots=True, frozen=True)
class Servers:
    """Connections to servers that speak HTTP/3."""

    ca: Path | None  # authority of their certificates; None: the system's
    name: str | None  # in their certificates; None: their address
    connections: int


@dataclass(slots=True, frozen=True)
class Http3:
    """The sides that are switched on: one, or both."""

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

    def error(self, key: str, reason: str) -> ConfigError:
        """Return the error for a key."""
        return ConfigError(f"{self._file}: {self._name}.{key} {reason}")

    def text(self, key: str, default: str | None = None) -> str:
        """Take a text.

        :raises ConfigError: if it is missing or of another type; so do the other methods.
        """
        value = self._left.pop(key, default)
        if not isinstance(value, str) or not value:
            raise self.error(key, "must be text" if value is not None else "is missing")
        return value

    def integer(self, key: str, default: int, minimum: int, maximum: int) -> int:
        """Take an integer within limits."""
        value = self._left.pop(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise self.error(key, f"must be a whole number within {minimum} to {maximum}")
        return value

    def file(self, key: str) -> Path:
        """Take the path of a file that exists, relative to the directory of the settings."""
        path = (self._file.parent / self.text(key)).resolve()
        if not path.is_file():
            raise self.error(key, f"names no file: {path.name}")
        return path

    def optional(self, key: str) -> bool:
        """Return whether a key is there."""
        return key in self._left

    def check_empty(self) -> None:
        """Check that all keys were taken."""
        if self._left:
            raise self.error(next(iter(self._left)), "is not known")


def read_http3(path: str) -> Http3:
    """Read the file.

    :raises ConfigError: names the file and the key that is wrong.
    """
    file = Path(path)
    try:
        found = tomllib.loads(file.read_text("utf-8"))
    except (OSError, ValueError) as problem:  # broken TOML and broken UTF-8 are ValueErrors
        raise ConfigError(f"{path}: {problem}") from None
    unknown = set(found) - {"front", "servers"}
    if unknown:
        raise ConfigError(f"{path}: {sorted(unknown)[0]} is not known")
    front = _read_front(file, found["front"]) if "front" in found else None
    servers = _read_servers(file, found["servers"]) if "servers" in found else None
    if front is None and servers is None:
        raise ConfigError(f"{path}: neither front nor servers is there")
    return Http3(front, servers)


def _read_front(file: Path, found: Any) -> Front:
    table = Table(file, "front", found)
    host, _, port = table.text("listen").rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise table.error("listen", "must be HOST:PORT")
    front = Front(
        (host.strip("[]"), int(port)),
        table.file("certificate"),
        table.file("key"),
        table.integer("connections", MAX_CONNECTIONS, 1, MAX_CONNECTIONS_SETTING),
        table.integer("alt_svc_s", DEFAULT_ALT_SVC_S, 0, MAX_ALT_SVC_S),
    )
    table.check_empty()
    return front


def _read_servers(file: Path, found: Any) -> Servers:
    table = Table(file, "servers", found)
    servers = Servers(
        table.file("ca") if table.optional("ca") else None,
        table.text("name") if table.optional("name") else None,
        table.integer("connections", MAX_CONNECTIONS, 1, MAX_CONNECTIONS_SETTING),
    )
    table.check_empty()
    return servers
