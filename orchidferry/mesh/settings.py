"""What a process is told at its start: the file that ORCHIDFERRY_BOOT names, read and checked.

Fields that are not known here are skipped, as the platform may add some.
"""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from orchidferry.errors import OrchidferryError

Address = tuple[str, int]
PORT_LIMIT = 65536


class MeshSettingsError(OrchidferryError):
    """The settings file can't be used; one line that names file and field."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules, in milliseconds where the name says so."""

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
    """One process's settings."""

    name: str
    role: str
    ip: str
    zone: str
    first_start: bool
    listen: dict[str, Address]  # outbound, inbound, ready, control: those that this role serves
    internal_port: int
    seeds: tuple[str, ...]  # ip numbers of controllers
    bounds: Bounds
    beat_ms: float
    descriptors: int
    memory_mb: float
    data_dir: str | None = None
    application: Address | None = None
    service: str = ""
    machines: int = 1  # counted machines whose loss at once must be tolerated
    bind_ip: str = ""  # where it listens and dials from, if others know it by another address; empty: `ip`

    @property
    def group_size(self) -> int:
        """How many replicas a shard needs to tolerate the configured losses: 2f + 1."""
        return 2 * self.machines + 1

    @property
    def local_ip(self) -> str:
        """The address that its sockets have."""
        return self.bind_ip or self.ip

    def door(self, name: str) -> Address:
        """Where a listen point is bound."""
        host, port = self.listen[name]
        return (self.local_ip if host == self.ip else host), port


def parse_address(text: Any, field: str) -> Address:
    """`10.0.0.1:80` as host and port; `MeshSettingsError` names the field."""
    host, _, port = str(text).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not _is_port(int(port)):
        raise MeshSettingsError(f"{field}: {text!r} is no address")
    return host, int(port)


def _is_port(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 < value < PORT_LIMIT


def _table(data: dict[str, Any], name: str) -> dict[str, Any]:
    value = data.get(name)
    if not isinstance(value, dict):
        raise MeshSettingsError(f"{name}: the table is missing")
    return value


def _part(table: dict[str, Any], name: str, where: str) -> dict[str, Any]:
    value = table.get(name, {})
    if not isinstance(value, dict):
        raise MeshSettingsError(f"{where}{name}: {value!r} is no table")
    return value


def _number(table: dict[str, Any], name: str, default: float, where: str) -> float:
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise MeshSettingsError(f"{where}.{name}: {value!r} is no number of 0 or more")
    return float(value)


def _whole(table: dict[str, Any], name: str, default: int, where: str) -> int:
    value = _number(table, name, default, where)
    if not math.isfinite(value):
        raise MeshSettingsError(f"{where}.{name}: {value!r} is no whole number")
    return int(value)


def read_settings(path: str) -> Settings:
    """Read and check the settings file; `MeshSettingsError` says what is wrong in one line."""
    try:
        return parse_settings(tomllib.loads(Path(path).read_text("utf-8")))
    except OSError as problem:
        raise MeshSettingsError(f"{path}: {problem.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise MeshSettingsError(f"{path}: {problem}") from None
    except MeshSettingsError as problem:
        raise MeshSettingsError(f"{path}: {problem}") from None


def parse_settings(data: dict[str, Any]) -> Settings:
    """A settings file's tables as typed values."""
    node = _table(data, "own_node")
    network = _table(data, "network")
    terms = _table(data, "term_settings")
    bounds = _part(terms, "bound_set", "term_settings.")
    limits = _part(node, "limit_set", "own_node.")
    losses = _part(terms, "tolerance", "term_settings.")
    for name in ("node_name", "ip", "zone"):
        if not isinstance(node.get(name), str) or not node[name]:
            raise MeshSettingsError(f"own_node.{name}: a text is needed")
    bind_ip = node.get("bind_ip", node["ip"])
    if not isinstance(bind_ip, str) or not bind_ip:
        raise MeshSettingsError("own_node.bind_ip: a text is needed")
    data_dir = node.get("data_dir")
    if data_dir is not None and (not isinstance(data_dir, str) or not data_dir):
        raise MeshSettingsError("own_node.data_dir: a text is needed")
    ports = network.get("internal_ports")
    seeds = network.get("seed_nodes")
    if not isinstance(ports, list) or not ports or not all(map(_is_port, ports)):
        raise MeshSettingsError("network.internal_ports: a list of ports is needed")
    if not isinstance(seeds, list):
        raise MeshSettingsError("network.seed_nodes: a list of addresses is needed")
    points = _part(network, "listen_points", "network.")
    platform = _part(data, "platform_settings", "")
    beat_ms = _number(platform, "beat_interval_ms", 1_500, "platform_settings")
    if not beat_ms:
        raise MeshSettingsError("platform_settings.beat_interval_ms: a number above 0 is needed")
    application = node.get("application")
    return Settings(
        name=node["node_name"],
        role=str(node.get("role", "")),
        ip=node["ip"],
        zone=node["zone"],
        first_start=node.get("first_start") is True,
        listen={n: parse_address(a, f"network.listen_points.{n}") for n, a in points.items()},
        internal_port=ports[0],
        seeds=tuple(dict.fromkeys(parse_address(seed, "network.seed_nodes")[0] for seed in seeds)),
        bounds=Bounds(**{n: _number(bounds, n, d, "term_settings.bound_set") for n, d in DEFAULT_BOUNDS}),
        beat_ms=beat_ms,
        descriptors=_whole(limits, "file_descriptors", 1_024, "own_node.limit_set"),
        memory_mb=_number(limits, "memory_mb", 256, "own_node.limit_set"),
        data_dir=data_dir,
        application=parse_address(application, "own_node.application") if application else None,
        service=str(node.get("service_name", "")),
        machines=_whole(losses, "machines", 1, "term_settings.tolerance"),
        bind_ip="" if bind_ip == node["ip"] else bind_ip,
    )
