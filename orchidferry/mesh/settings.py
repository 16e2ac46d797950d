"""The settings of one process, read from the TOML file that ORCHIDFERRY_BOOT names, and validated.

Unknown fields are ignored, as the platform may add some.
"""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.errors import OrchidferryError

Address = tuple[str, int]  # host and port
PORT_LIMIT = 65536  # ports are below this
DEFAULT_HEARTBEAT_INTERVAL_MS = 1_500
DEFAULT_FILE_DESCRIPTORS = 1_024
DEFAULT_MEMORY_MB = 256
DEFAULT_TOLERATED_LOSSES = 1  # controllers


class MeshSettingsError(OrchidferryError):
    """The settings are invalid; the message is one line.

    :ivar problem: what is wrong
    :ivar field: dotted path of the invalid field; empty if no single field is invalid
    :ivar path: path of the settings file; empty if it is not known yet
    """

    def __init__(self, problem: str, field: str = "", path: str = "") -> None:
        super().__init__(": ".join(part for part in (path, field, problem) if part))
        self.problem = problem
        self.field = field
        self.path = path

    def in_file(self, path: str) -> MeshSettingsError:
        """Return the same error with the path of the settings file."""
        return MeshSettingsError(self.problem, self.field, path)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The limits that the platform's rules set (`term_settings.bound_set`).

    Names that end in `_ms` or `_s` are in milliseconds or seconds.
    """

    contact_ms: float = 3_000.0
    ack_ms: float = 5_000.0
    catch_up_s: float = 4.0
    drain_ms: float = 2_000.0
    grace_s: float = 6.0
    config_apply_ms: float = 2_000.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 60.0
    key_window_s: float = 60.0


DEFAULT_BOUNDS = [(name, float(getattr(Bounds(), name))) for name in Bounds.__dataclass_fields__]


@dataclass(frozen=True, slots=True)
class Settings:
    """One process's settings.

    :ivar name: name of the node or controller
    :ivar role: role as the file names it
    :ivar ip: address at which other processes reach this process
    :ivar zone: failure domain
    :ivar first_start: whether a controller without state may act as a founder of a new group
    :ivar listen: listen addresses by name (outbound, inbound, ready, control)
    :ivar internal_port: port for connections between processes of the mesh
    :ivar seeds: IP addresses of controllers
    :ivar bounds: limits that the platform's rules set
    :ivar heartbeat_interval_ms: time between two heartbeats of a server
    :ivar max_file_descriptors: number of file descriptors that the process may have open
    :ivar memory_mb: memory that the process may use
    :ivar data_dir: data directory of a controller
    :ivar application: address of the server on a node's machine
    :ivar service: name of the service that this server provides
    :ivar tolerated_losses: number of controllers that may be lost at the same time
    :ivar bind_ip: address that sockets are bound to if it differs from `ip`; empty if it does not
    """

    name: str
    role: str
    ip: str
    zone: str
    first_start: bool
    listen: dict[str, Address]
    internal_port: int
    seeds: tuple[str, ...]
    bounds: Bounds
    heartbeat_interval_ms: float
    max_file_descriptors: int
    memory_mb: float
    data_dir: str | None = None
    application: Address | None = None
    service: str = ""
    tolerated_losses: int = DEFAULT_TOLERATED_LOSSES
    bind_ip: str = ""

    @property
    def group_size(self) -> int:
        """The number of replicas that a shard needs to tolerate the configured losses f: 2f + 1."""
        return 2 * self.tolerated_losses + 1

    @property
    def local_ip(self) -> str:
        """The address that sockets are bound to."""
        return self.bind_ip or self.ip

    def listen_address(self, name: str) -> Address:
        """Return the address to which a listener is bound.

        :param name: name of the listen point
        """
        host, port = self.listen[name]
        return (self.local_ip if host == self.ip else host), port


def parse_address(text: Any, field: str) -> Address:
    """Parse an address such as `10.0.0.1:80`.

    :param field: path of the field that holds it, for the error
    :raises MeshSettingsError: if the text is not a valid address
    """
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not _is_port(int(port)):
        raise MeshSettingsError(f"{text!r} is no address", field)
    return host, int(port)


def _is_port(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value < PORT_LIMIT


@dataclass(frozen=True, slots=True)
class _Table:
    """A table of the settings file, with methods that validate the values they return.

    They raise `MeshSettingsError` with the path of an invalid field.
    """

    values: dict[str, Any]
    path: str = ""  # dotted path of the table, with a dot at the end; empty for the top level

    def required_table(self, name: str) -> _Table:
        """Return a table that is required."""
        value = self.values.get(name)
        if not isinstance(value, dict):
            raise MeshSettingsError("the table is missing", self.path + name)
        return _Table(value, f"{self.path}{name}.")

    def table(self, name: str) -> _Table:
        """Return a table, empty if it is missing."""
        value = self.values.get(name, {})
        if not isinstance(value, dict):
            raise MeshSettingsError(f"{value!r} is no table", self.path + name)
        return _Table(value, f"{self.path}{name}.")

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string that is not empty; it is required if there is no default."""
        value = self.values.get(name, default)
        if not isinstance(value, str) or not value:
            raise MeshSettingsError("a text is needed", self.path + name)
        return value

    def optional_text(self, name: str) -> str | None:
        """Return a string that is not empty; None if it is missing."""
        return None if self.values.get(name) is None else self.text(name)

    def number(self, name: str, default: float) -> float:
        """Return a number of 0 or more."""
        value = self.values.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
            raise MeshSettingsError(f"{value!r} is no number of 0 or more", self.path + name)
        return float(value)

    def integer(self, name: str, default: int) -> int:
        """Return the integer part of a finite number of 0 or more."""
        value = self.number(name, default)
        if not math.isfinite(value):
            raise MeshSettingsError(f"{value!r} is no whole number", self.path + name)
        return int(value)

    def ports(self, name: str) -> list[int]:
        """Return a list of ports that is not empty."""
        value = self.values.get(name)
        if not isinstance(value, list) or not value or not all(map(_is_port, value)):
            raise MeshSettingsError("a list of ports is needed", self.path + name)
        return value

    def address_texts(self, name: str) -> list[Any]:
        """Return a list of addresses that are not validated yet."""
        value = self.values.get(name)
        if not isinstance(value, list):
            raise MeshSettingsError("a list of addresses is needed", self.path + name)
        return value


def read_settings(path: str) -> Settings:
    """Read and validate the settings file.

    :raises MeshSettingsError: if it is invalid; it names the file and the field
    """
    try:
        return parse_settings(tomllib.loads(Path(path).read_text("utf-8")))
    except OSError as error:
        raise MeshSettingsError(str(error.strerror), path=path) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise MeshSettingsError(str(error), path=path) from None
    except MeshSettingsError as error:
        raise error.in_file(path) from None


def parse_settings(data: dict[str, Any]) -> Settings:
    """Validate the tables of a settings file.

    :param data: the tables, by name
    :raises MeshSettingsError: if they are invalid; it names the first invalid field
    """
    file = _Table(data)
    node = file.required_table("own_node")
    network = file.required_table("network")
    terms = file.required_table("term_settings")
    bounds = terms.table("bound_set")
    limits = node.table("limit_set")
    tolerance = terms.table("tolerance")
    name = node.text("node_name")
    ip = node.text("ip")
    zone = node.text("zone")
    bind_ip = node.text("bind_ip", default=ip)
    data_dir = node.optional_text("data_dir")
    internal_ports = network.ports("internal_ports")
    seeds = network.address_texts("seed_nodes")
    listen_points = network.table("listen_points")
    interval_ms = _heartbeat_interval_ms(file)
    return Settings(
        name=name,
        role=str(node.values.get("role", "")),
        ip=ip,
        zone=zone,
        first_start=node.values.get("first_start") is True,
        listen=_listen_addresses(listen_points),
        internal_port=internal_ports[0],
        seeds=_seed_ips(seeds),
        bounds=Bounds(**{name: bounds.number(name, default) for name, default in DEFAULT_BOUNDS}),
        heartbeat_interval_ms=interval_ms,
        max_file_descriptors=limits.integer("file_descriptors", DEFAULT_FILE_DESCRIPTORS),
        memory_mb=limits.number("memory_mb", DEFAULT_MEMORY_MB),
        data_dir=data_dir,
        application=_application(node),
        service=str(node.values.get("service_name", "")),
        tolerated_losses=tolerance.integer("machines", DEFAULT_TOLERATED_LOSSES),
        bind_ip="" if bind_ip == ip else bind_ip,
    )


def _heartbeat_interval_ms(file: _Table) -> float:
    platform = file.table("platform_settings")
    interval_ms = platform.number("beat_interval_ms", DEFAULT_HEARTBEAT_INTERVAL_MS)
    if not interval_ms:
        raise MeshSettingsError("a number above 0 is needed", "platform_settings.beat_interval_ms")
    return interval_ms


def _listen_addresses(listen_points: _Table) -> dict[str, Address]:
    return {
        name: parse_address(text, listen_points.path + name) for name, text in listen_points.values.items()
    }


def _seed_ips(seeds: list[Any]) -> tuple[str, ...]:
    """Return the distinct IP addresses of the seeds, in their order."""
    return tuple(dict.fromkeys(parse_address(seed, "network.seed_nodes")[0] for seed in seeds))


def _application(node: _Table) -> Address | None:
    text = node.values.get("application")
    return parse_address(text, "own_node.application") if text else None
