"""Reads a node's fleet settings file (`ORCHIDFERRY_FLEET`) and its key file."""

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

KNOWN_FIELDS = {
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
MAX_KEYS = 2  # keys in a key file: the old and the new one during a rotation
DEFAULT_PROBE_MS = 1_000.0  # time between two probes
PROBE_RANGE_MS = (50.0, 60_000.0)
DEFAULT_MAX_NODES = 1_024  # largest fleet, including this node
MAX_NODES_RANGE = (2, 10_000)


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The settings of a member of the fleet."""

    name: str  # name of the member, unique in the fleet
    listen: Address  # address to listen on, over UDP and TCP
    advertise: Address  # address at which peers reach this member
    zone: str  # zone of the member; "" for none
    version: str  # version of program and settings, as the operators name it; "" for none
    seeds: tuple[Address, ...]  # addresses of members to contact first
    keys: Path  # key file
    state: Path | None  # directory of the state file; None: the state is not saved
    journal: Path | None  # journal file; None: no journal is written
    timing: Timing  # intervals and timeouts of the membership protocol
    max_nodes: int  # largest fleet, including this node


def read_fleet(path: str, name: str) -> MemberSettings:
    """Read a fleet settings file.

    :param path: path of the file.
    :param name: name of the member, unless the file sets one.
    :raises ConfigError: if the file can't be read or is invalid; the text names the file and the error.
    """
    return read_toml_file("ORCHIDFERRY_FLEET", path, lambda obj: _decode(obj, Path(path).parent, name))


def _ip_address(field: str, value: object) -> Address:
    """Parse an address with a numeric host: peers are reached without a name service.

    :param field: name of the field, for error texts.
    :param value: value of the field.
    """
    if not isinstance(value, str):
        raise SettingsFormatError(f"{field}: must be host:port")
    host, port = parse_address(value)
    try:
        return str(ipaddress.ip_address(host)), port
    except ValueError:
        raise SettingsFormatError(f"{field}: {host!r:.60} is no IP address") from None


def _decode(obj: Json, folder: Path, name: str) -> MemberSettings:
    """Check the content of a fleet settings file and convert it.

    :param obj: the parsed file.
    :param folder: directory to which paths in the file are relative.
    :param name: name of the member, unless the file sets one.
    """
    if unknown := sorted(obj.keys() - KNOWN_FIELDS):
        raise SettingsFormatError(f"{unknown[0]!r} is not known")
    listen = _ip_address("listen", get(obj, "listen", str))
    advertise = _ip_address("advertise", obj["advertise"]) if "advertise" in obj else listen
    if ipaddress.ip_address(advertise[0]).is_unspecified or not advertise[1]:
        raise SettingsFormatError(
            "'advertise' must say where peers reach this node: an address and a port, not 0"
        )
    seeds = get_optional(obj, "seeds", list, [])
    if len(seeds) > MAX_SEEDS:
        raise SettingsFormatError(f"seeds: {len(seeds)}, {MAX_SEEDS} at most")
    keys = _path(obj, "keys", folder)
    if keys is None:
        raise SettingsFormatError("'keys' is missing: the file with the fleet's keys")
    timing = scaled_timing(_probe_interval_ms(obj))
    max_nodes = _max_nodes(obj)
    own_name = _text(obj, "name", name, MAX_NAME)
    if not own_name:
        raise SettingsFormatError("'name' must not be empty")
    return MemberSettings(
        own_name,
        listen,
        advertise,
        _text(obj, "zone", "", MAX_ZONE),
        _text(obj, "version", "", MAX_VERSION),
        tuple(_ip_address(f"seeds[{index}]", seed) for index, seed in enumerate(seeds)),
        keys,
        _path(obj, "state", folder),
        _path(obj, "journal", folder),
        timing,
        max_nodes,
    )


def _path(obj: Json, field: str, folder: Path) -> Path | None:
    text = get_optional(obj, field, str, "")
    return folder / text if text else None


def _text(obj: Json, field: str, default: str, max_length: int) -> str:
    value: str = get_optional(obj, field, str, default)
    if len(value) > max_length or not value.isprintable():
        raise SettingsFormatError(
            f"{field!r} must be {max_length} printable characters at most, not {value!r:.40}"
        )
    return value


def _probe_interval_ms(obj: Json) -> float:
    interval_ms = float(get_optional(obj, "probe_ms", NUMBER, DEFAULT_PROBE_MS))
    minimum, maximum = PROBE_RANGE_MS
    if not minimum <= interval_ms <= maximum:
        raise SettingsFormatError(f"'probe_ms' must be {minimum:g} to {maximum:g}, not {interval_ms:g}")
    return interval_ms


def _max_nodes(obj: Json) -> int:
    max_nodes: int = get_optional(obj, "most", int, DEFAULT_MAX_NODES)
    minimum, maximum = MAX_NODES_RANGE
    if not minimum <= max_nodes <= maximum:
        raise SettingsFormatError(f"'most' must be {minimum} to {maximum} nodes, not {max_nodes}")
    return max_nodes


def scaled_timing(probe_ms: float) -> Timing:
    """Return the default timing scaled to a probe interval; only how long members that left are kept is not.

    :param probe_ms: time between two probes, in ms.
    """
    timing = Timing()
    factor = probe_ms / timing.interval_ms
    return replace(
        timing,
        interval_ms=probe_ms,
        timeout_ms=timing.timeout_ms * factor,
        gossip_ms=timing.gossip_ms * factor,
        sync_ms=timing.sync_ms * factor,
        reach_ms=timing.reach_ms * factor,
    )


def read_key_file(path: Path) -> Keys:
    """Read a key file, which has one `NAME=SECRET` per line: the first key signs, all keys are accepted.

    :param path: path of the file.
    :raises ConfigError: if the file can't be read or is invalid; the text never contains a secret.
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
