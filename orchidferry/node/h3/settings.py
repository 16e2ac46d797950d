"""The settings file that enables HTTP/3: a TOML file at the path in `ORCHIDFERRY_HTTP3`.

Errors name the file and the key.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.node.address import Address
from orchidferry.node.config import ConfigError

DEFAULT_CONNECTIONS = 512  # a connection takes about 90 KB of memory
MAX_CONNECTIONS = 100_000
DEFAULT_ALT_SVC_S = 60
MAX_ALT_SVC_S = 86_400 * 30


@dataclass(slots=True, frozen=True)
class Front:
    """The table `front`: the listener for clients."""

    listen: Address
    certificate: Path  # PEM file with the certificate chain
    key: Path  # PEM file with the private key
    connections: int  # maximum number of connections
    alt_svc_s: int  # seconds for which clients may remember the Alt-Svc announcement; 0: no announcement


@dataclass(slots=True, frozen=True)
class Servers:
    """The table `servers`: connections to servers that support HTTP/3."""

    ca: Path | None  # PEM file with CA certificates, to verify servers; None: the system's CAs
    name: str | None  # name that the servers' certificates must have; None: the address of the server
    connections: int  # maximum number of servers with a connection


@dataclass(slots=True, frozen=True)
class Http3:
    """The contents of the file: at least one of the two tables is present."""

    front: Front | None  # None: no HTTP/3 towards clients
    servers: Servers | None  # None: no HTTP/3 towards servers


class Table:
    """A TOML table that is read key by key."""

    def __init__(self, file: Path, name: str, value: Any) -> None:
        self._file = file
        self._name = name
        if not isinstance(value, dict):
            raise ConfigError(f"{file}: {name} must be a table")
        self._unread = dict(value)

    def error(self, key: str, reason: str) -> ConfigError:
        """Return an error that names the file and the key."""
        return ConfigError(f"{self._file}: {self._name}.{key} {reason}")

    def text(self, key: str, default: str | None = None) -> str:
        """Read a text.

        Like the other methods that read a key, it raises `ConfigError` for a missing or invalid value.
        """
        value = self._unread.pop(key, default)
        if not isinstance(value, str) or not value:
            raise self.error(key, "must be text" if value is not None else "is missing")
        return value

    def integer(self, key: str, default: int, minimum: int, maximum: int) -> int:
        """Read an integer from `minimum` to `maximum`."""
        value = self._unread.pop(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise self.error(key, f"must be a whole number within {minimum} to {maximum}")
        return value

    def file(self, key: str) -> Path:
        """Read the path of an existing file, relative to the directory of the settings file."""
        path = (self._file.parent / self.text(key)).resolve()
        if not path.is_file():
            raise self.error(key, f"names no file: {path.name}")
        return path

    def has(self, key: str) -> bool:
        """Return whether the table has a key that was not read yet."""
        return key in self._unread

    def check_empty(self) -> None:
        """Raise `ConfigError` if a key was not read, as it is unknown."""
        if self._unread:
            raise self.error(next(iter(self._unread)), "is not known")


def read_http3(path: str) -> Http3:
    """Read the settings file.

    :raises ConfigError: if the file can't be read or a key is invalid; names both.
    """
    file = Path(path)
    try:
        tables = tomllib.loads(file.read_text("utf-8"))
    except (OSError, ValueError) as problem:  # invalid TOML and invalid UTF-8 are ValueErrors
        raise ConfigError(f"{path}: {problem}") from None
    unknown = set(tables) - {"front", "servers"}
    if unknown:
        raise ConfigError(f"{path}: {sorted(unknown)[0]} is not known")
    front = _read_front(file, tables["front"]) if "front" in tables else None
    servers = _read_servers(file, tables["servers"]) if "servers" in tables else None
    if front is None and servers is None:
        raise ConfigError(f"{path}: neither front nor servers is there")
    return Http3(front, servers)


def _read_front(file: Path, value: Any) -> Front:
    table = Table(file, "front", value)
    host, _, port = table.text("listen").rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise table.error("listen", "must be HOST:PORT")
    front = Front(
        (host.strip("[]"), int(port)),
        table.file("certificate"),
        table.file("key"),
        table.integer("connections", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
        table.integer("alt_svc_s", DEFAULT_ALT_SVC_S, 0, MAX_ALT_SVC_S),
    )
    table.check_empty()
    return front


def _read_servers(file: Path, value: Any) -> Servers:
    table = Table(file, "servers", value)
    servers = Servers(
        table.file("ca") if table.has("ca") else None,
        table.text("name") if table.has("name") else None,
        table.integer("connections", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
    )
    table.check_empty()
    return servers
