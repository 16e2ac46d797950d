"""The operator's own file for chains (`ORCHIDFERRY_CHAIN`), as typed values."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

from nickelbridge import chain
from nickelbridge.settings import NUMBER, Json, Malformed, get, opt
from orchidferry.config import operators_file

KEY_LEAST, KEYS_MOST = 32, 8  # characters of a key; keys that are valid at once
NAMES = ("tier", "node")
NUMBERS = ("share", "floor_per_s")


@dataclass(frozen=True, slots=True)
class Setup:
    """What a node needs to take part."""

    limits: chain.Limits
    keys: tuple[tuple[str, bytes], ...]  # name and secret; the first signs, all are believed


def read_chain(path: str) -> Setup:
    """Read the file; `BadConfig` names it and what is wrong."""
    return operators_file("ORCHIDFERRY_CHAIN", path, _read)


def _read(obj: Json) -> Setup:
    known = {field.name for field in fields(chain.Limits)}
    if unknown := sorted(obj.keys() - known - {"keys"}):
        raise Malformed(f"{unknown[0]!r} is not known")
    values: dict[str, Any] = {name: get(obj, name, str) for name in NAMES}
    values["first"] = get(obj, "first", bool)
    values |= {name: float(get(obj, name, NUMBER)) for name in NUMBERS if name in obj}
    values |= {name: get(obj, name, int) for name in ("extra", "nodes") if name in obj}
    values |= {name: get(obj, name, bool) for name in ("shed",) if name in obj}
    limits = chain.Limits(**values)
    return Setup(limits, _keys(opt(obj, "keys", list, [])))


def _keys(found: list[object]) -> tuple[tuple[str, bytes], ...]:
    keys: list[tuple[str, bytes]] = []
    for one in found:
        name, equals, secret = one.partition("=") if isinstance(one, str) else ("", "", "")
        # What is wrong is told by its place: a key has no place in a log.
        if not equals or not name.isalnum() or not name.isascii() or len(name) > 16:
            raise Malformed(f"keys[{len(keys)}]: is not NAME=SECRET")
        if len(secret) < KEY_LEAST:
            raise Malformed(f"keys[{len(keys)}]: the secret has less than {KEY_LEAST} characters")
        keys.append((name, secret.encode()))
    if len(keys) > KEYS_MOST or len({name for name, _ in keys}) < len(keys):
        raise Malformed(f"keys: {KEYS_MOST} at most, each with a name of its own")
    return tuple(keys)
