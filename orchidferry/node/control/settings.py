"""The operator's own file for the control channel (`ORCHIDFERRY_CONTROL`), as typed values."""

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
MAX_WAIT_S = 60.0


@dataclass(frozen=True, slots=True)
class Control:
    """What the channel needs: where the service is, who this node is there, what it asks for."""

    service: Address
    node: str
    cluster: str
    pools: tuple[str, ...]  # names of EDS resources
    settings: str  # name of the resource that holds this node's settings
    state: Path | None  # folder for the last good configuration; None: no disk lasts here
    first_wait_s: float  # for a first configuration, before the last good one or the node's file is taken
    ca: Path | None = None  # with it TLS, and the certificate and key that the service asks for
    certificate: Path | None = None
    key: Path | None = None


def read_control(path: str) -> Control:
    """Read the file; `ConfigError` names it and what is wrong."""
    return read_toml_file("ORCHIDFERRY_CONTROL", path, lambda obj: _read(obj, Path(path).parent))


def _read(obj: Json, folder: Path) -> Control:
    if unknown := sorted(obj.keys() - KNOWN):
        raise SettingsFormatError(f"{unknown[0]!r} is not known")
    pools = get(obj, "pools", list)
    if not pools or not all(isinstance(pool, str) and pool for pool in pools):
        raise SettingsFormatError("'pools' must name at least one pool")

    def file(name: str) -> Path | None:
        text = get_optional(obj, name, str, "")
        return folder / text if text else None

    wait_s = float(get_optional(obj, "first_wait_s", NUMBER, 5.0))
    if not 0.0 < wait_s <= MAX_WAIT_S:
        raise SettingsFormatError(
            f"'first_wait_s' must be above 0 and at most {MAX_WAIT_S:g}, not {wait_s:g}"
        )
    made = Control(
        parse_address(get(obj, "service", str)),
        get(obj, "node", str),
        get_optional(obj, "cluster", str, ""),
        tuple(pools),
        get(obj, "settings", str),
        file("state"),
        wait_s,
        file("ca"),
        file("certificate"),
        file("key"),
    )
    if (made.certificate is None) != (made.key is None):
        raise SettingsFormatError("'certificate' and 'key' go together")
    if made.certificate is not None and made.ca is None:
        raise SettingsFormatError("'certificate' needs 'ca'")
    return made


def read_tls(control: Control) -> tuple[bytes, bytes | None, bytes | None] | None:
    """Authority, this node's key, certificate; None without TLS, `ConfigError` if one can't be read."""
    if control.ca is None:
        return None
    try:
        key = control.key.read_bytes() if control.key is not None else None
        certificate = control.certificate.read_bytes() if control.certificate is not None else None
        return control.ca.read_bytes(), key, certificate
    except OSError as problem:
        raise ConfigError(f"the control channel's {problem.filename}: {problem.strerror}") from None
