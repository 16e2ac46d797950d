"""The operator's own file for chains (`ORCHIDFERRY_CHAIN`), as typed values."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from orchidferry.balancing import chain
from orchidferry.balancing.settings import NUMBER, Json, SettingsFormatError, get, get_optional
from orchidferry.node.config import read_toml_file
from orchidferry.node.shared_keys import parse_keys

MAX_KEYS = 8  # that are valid at once
NAMES = ("tier", "node")
NUMBERS = ("share", "floor_per_s")


@dataclass(frozen=True, slots=True)
class Setup:
    """What a node needs to take part."""

    limits: chain.Limits
    keys: tuple[tuple[str, bytes], ...]  # name and secret; the first signs, all are believed


def read_chain(path: str) -> Setup:
    """Read the file; `ConfigError` names it and what is wrong."""
    return read_toml_file("ORCHIDFERRY_CHAIN", path, _read)


def _read(obj: Json) -> Setup:
    known = {field.name for field in fields(chain.Limits)}
    if unknown := sorted(obj.keys() - known - {"keys"}):
        raise SettingsFormatError(f"{unknown[0]!r} is not known")
    values: dict[str, Any] = {name: get(obj, name, str) for name in NAMES}
    values["first"] = get(obj, "first", bool)
    values |= {name: float(get(obj, name, NUMBER)) for name in NUMBERS if name in obj}
    values |= {name: get(obj, name, int) for name in ("extra", "nodes") if name in obj}
    values |= {name: get(obj, name, bool) for name in ("shed",) if name in obj}
    limits = chain.Limits(**values)
    return Setup(limits, parse_keys(get_optional(obj, "keys", list, []), MAX_KEYS))
