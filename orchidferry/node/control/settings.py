"""The operators' file for the control channel (`ORCHIDFERRY_CONTROL`), as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from orchidferry.balancing.settings import NUMBER, Json, SettingsFormatError, get, get_optional
from orchidferry.node.address import Address, parse_address
from orchidferry.node.config import ConfigError, read_toml_file

KNOWN = {
    "service",
    "node",
    "cluster",
    "pools",
    "settings",
    "state",
    "first_wait_s",
    "ca",
    "certificate",
    "key",
}
DEFAULT_WAIT_S = 5.0
MAX_WAIT_S = 60.0


@dataclass(frozen=True, slots=True)
class Control:
    """Where the control service is, who this node is there, and what it asks for."""

    service: Address
    node: str
    cluster: str
    pools: tuple[str, ...]  # names of EDS resources
    settings: str  # name of the resource that holds this node's settings
    state: Path | None  # directory of the last good configuration; None: it is not saved
    first_wait_s: float  # for a first configuration, before the last good one or the node's file is used
    ca: Path | None = None  # switches on TLS, and the certificate and key that the service asks for
    certificate: Path | None = None
    key: Path | None = None


def read_control(path: str) -> Control:
    """Read the file.

    :raises ConfigError: names the file and what is wrong with it.
    """
    return read_toml_file("ORCHIDFERRY_CONTROL", path, lambda obj: _decode(obj, Path(path).parent))


def _decode(obj: Json, folder: Path) -> Control:
    """:param folder: what paths in the file are relative to."""
    if unknown := sorted(obj.keys() - KNOWN):
        raise SettingsFormatError(f"{unknown[0]!r} is not known")
    pools = get(obj, "pools", list)
    if not pools or not all(isinstance(pool, str) and pool for pool in pools):
        raise SettingsFormatError("'pools' must name at least one pool")
    wait_s = float(get_optional(obj, "first_wait_s", NUMBER, DEFAULT_WAIT_S))
    if not 0.0 < wait_s <= MAX_WAIT_S:
        raise SettingsFormatError(
            f"'first_wait_s' must be above 0 and at most {MAX_WAIT_S:g}, not {wait_s:g}"
        )
    control = Control(
        parse_address(get(obj, "service", str)),
        get(obj, "node", str),
        get_optional(obj, "cluster", str, ""),
        tuple(pools),
        get(obj, "settings", str),
        _path(obj, "state", folder),
        wait_s,
        _path(obj, "ca", folder),
        _path(obj, "certificate", folder),
        _path(obj, "key", folder),
    )
    if (control.certificate is None) != (control.key is None):
        raise SettingsFormatError("'certificate' and 'key' go together")
    if control.certificate is not None and control.ca is None:
        raise SettingsFormatError("'certificate' needs 'ca'")
    return control


def _path(obj: Json, name: str, folder: Path) -> Path | None:
    text = get_optional(obj, name, str, "")
    return folder / text if text else None


def read_tls(control: Control) -> tuple[bytes, bytes | None, bytes | None] | None:
    """Read the files of TLS, in the order in which gRPC takes them.

    :returns: the authority's certificate, this node's key and certificate; None without TLS.
    :raises ConfigError: if a file can't be read.
    """
    if control.ca is None:
        return None
    try:
        key = control.key.read_bytes() if control.key is not None else None
        certificate = control.certificate.read_bytes() if control.certificate is not None else None
        return control.ca.read_bytes(), key, certificate
    except OSError as problem:
        raise ConfigError(f"the control channel's {problem.filename}: {problem.strerror}") from None
