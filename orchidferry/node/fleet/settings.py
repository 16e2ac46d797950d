"""The operator's own file for a fleet (`ORCHIDFERRY_FLEET`), as typed values."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, replace
from pathlib import Path

from orchidferry.balancing.fleet.member_table import MAX_SEEDS
from orchidferry.balancing.fleet.members import MAX_NAME, MAX_VERSION, MAX_ZONE
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.settings import NUMBER, Json, SettingsFormatError, get, get_optional
from orchidferry.node.address import Address, parse_address
from orchidferry.node.config import ConfigError, read_toml_file
from orchidferry.node.shared_keys import Keys, parse_keys

KNOWN = {
    "name",
    "listen",
    "advertise",
    "zone",
    "version",
    "seeds",
    "keys",
    "state",
    "journal",
    "probe_ms",
    "most",
}
MAX_KEYS = 2  # at a time: the one that goes out and the one that comes in
PROBE_MS = (50.0, 60_000.0)
MOST = (2, 10_000)


@dataclass(frozen=True, slots=True)
class Setup:
    """What a node needs to take part."""

    name: str
    listen: Address  # UDP and TCP
    advertise: Address  # where its peers reach that
    zone: str
    version: str
    seeds: tuple[Address, ...]
    keys: Path
    state: Path | None  # folder; None: no disk lasts here
    journal: Path | None  # a line for each change of the view
    timing: Timing
    most: int  # nodes


def read_fleet(path: str, name: str) -> Setup:
    """Read the file; `ConfigError` names it and what is wrong. `name`: the node's own, where it says none."""
    return read_toml_file("ORCHIDFERRY_FLEET", path, lambda obj: _read(obj, Path(path).parent, name))


def _where(field: str, value: object) -> Address:
    """An address with a number for its host: peers are reached without a name service."""
    if not isinstance(value, str):
        raise SettingsFormatError(f"{field}: must be host:port")
    host, port = parse_address(value)
    try:
        return str(ipaddress.ip_address(host)), port
    except ValueError:
        raise SettingsFormatError(f"{field}: {host!r:.60} is no IP address") from None


def _read(obj: Json, folder: Path, name: str) -> Setup:
    if unknown := sorted(obj.keys() - KNOWN):
        raise SettingsFormatError(f"{unknown[0]!r} is not known")

    def file(field: str) -> Path | None:
        text = get_optional(obj, field, str, "")
        return folder / text if text else None

    def text(field: str, default: str, most: int) -> str:
        value: str = get_optional(obj, field, str, default)
        if len(value) > most or not value.isprintable():
            raise SettingsFormatError(
                f"{field!r} must be {most} printable characters at most, not {value!r:.40}"
            )
        return value

    listen = _where("listen", get(obj, "listen", str))
    advertise = _where("advertise", obj["advertise"]) if "advertise" in obj else listen
    if ipaddress.ip_address(advertise[0]).is_unspecified or not advertise[1]:
        raise SettingsFormatError(
            "'advertise' must say where peers reach this node: an address and a port, not 0"
        )
    seeds = get_optional(obj, "seeds", list, [])
    if len(seeds) > MAX_SEEDS:
        raise SettingsFormatError(f"seeds: {len(seeds)}, {MAX_SEEDS} at most")
    keys = file("keys")
    if keys is None:
        raise SettingsFormatError("'keys' is missing: the file with the fleet's keys")
    probe_ms = float(get_optional(obj, "probe_ms", NUMBER, 1_000.0))
    if not PROBE_MS[0] <= probe_ms <= PROBE_MS[1]:
        raise SettingsFormatError(f"'probe_ms' must be {PROBE_MS[0]:g} to {PROBE_MS[1]:g}, not {probe_ms:g}")
    most = get_optional(obj, "most", int, 1_024)
    if not MOST[0] <= most <= MOST[1]:
        raise SettingsFormatError(f"'most' must be {MOST[0]} to {MOST[1]} nodes, not {most}")
    own = text("name", name, MAX_NAME)
    if not own:
        raise SettingsFormatError("'name' must not be empty")
    return Setup(
        own,
        listen,
        advertise,
        text("zone", "", MAX_ZONE),
        text("version", "", MAX_VERSION),
        tuple(_where(f"seeds[{n}]", one) for n, one in enumerate(seeds)),
        keys,
        file("state"),
        file("journal"),
        scaled(probe_ms),
        most,
    )


def scaled(probe_ms: float) -> Timing:
    """All times in proportion to that between two probes, but what is kept of those that are gone."""
    timing = Timing()
    by = probe_ms / Timing().interval_ms
    return replace(
        timing,
        interval_ms=probe_ms,
        timeout_ms=timing.timeout_ms * by,
        gossip_ms=timing.gossip_ms * by,
        sync_ms=timing.sync_ms * by,
        reach_ms=timing.reach_ms * by,
    )


def read_key_file(path: Path) -> Keys:
    """NAME=SECRET a line; the first signs, both are believed. `ConfigError` says what is wrong, never a
    secret.
    """
    try:
        if path.stat().st_mode & 0o077:
            raise ConfigError(f"{path}: others than its owner may read it: chmod 600")
        lines = path.read_text(encoding="utf-8").splitlines()
    except OSError as problem:
        raise ConfigError(f"can't read the fleet's keys: {problem}") from None
    except UnicodeDecodeError as problem:
        raise ConfigError(f"{path}: not UTF-8 at byte {problem.start}") from None
    try:
        keys = parse_keys([line for line in lines if line.strip() and not line.startswith("#")], MAX_KEYS)
    except SettingsFormatError as problem:
        raise ConfigError(f"{path}: {problem}") from None
    if not keys:
        raise ConfigError(f"{path}: holds no key")
    return keys
