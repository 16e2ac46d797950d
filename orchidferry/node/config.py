"""What a node is told at its start: NODE_CONFIG's JSON as typed values.

Lists of servers have the same form here and at discovery, so they are read here for both.
"""

from __future__ import annotations

import hashlib
import json
import math
import os
import re
import sys
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any, TypeVar

from orchidferry.balancing import interface as api
from orchidferry.balancing.settings import (
    NUMBER,
    Json,
    SettingsFormatError,
    get,
    objects,
    opt,
    read_settings,
    word,
)
from orchidferry.errors import OrchidferryError
from orchidferry.node.incremental import run_to_completion

Address = tuple[str, int]

STATUSES = {
    "active": api.Health.IN_SERVICE,
    "leaving": api.Health.DRAINING,
    "left": api.Health.GONE,
}


T = TypeVar("T")
READ_STEP = 64  # entries of a list that are read in one go: under 1 ms, as a request waits for several steps
CLOCK_SET_MS = 50.0  # what the two clocks may drift apart before that is taken for one that was set


VALUES = '{["-0123456789tfnNI'  # what a value may begin with; the library knows NaN and Infinity too
NO_SPACE = re.compile(r"[ \t\n\r]*([^ \t\n\r])")  # JSON's white space, and what comes next


class ConfigError(OrchidferryError):
    """A configuration that no node can be started with."""


@dataclass(slots=True)
class Listing:
    """A list of servers, or the part of it that changed."""

    index: int
    whole: bool
    entries: list[api.ServerEntry]
    addresses: dict[int, Address]
    h3: dict[int, Address] = field(default_factory=dict)  # of those that speak HTTP/3 too, where they do


@dataclass(slots=True)
class Config:
    """All that a node knows when it starts."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    known: Listing
    settings: api.Settings
    admin: Address | None = None  # the operators' door; None: there is none


def now_ms() -> float:
    """The node's clock: monotonic, in milliseconds."""
    return time.monotonic() * 1000.0


def server_id(name: str) -> int:
    """A server's number, the same at every node: the module cuts the fleet among the nodes by it.

    Of 64 bits, so that two names never share one; `hash()` differs from one process to the next.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def address(text: str) -> Address:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise SettingsFormatError(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)


def hex_digits(text: str) -> int:
    """A number written in hex digits and nothing else."""
    if not re.fullmatch("[0-9a-fA-F]+", text):
        raise SettingsFormatError(f"'seed' must be hex digits, not {text!r:.60}")
    return int(text, 16)


def read_toml_file(variable: str, path: str, read: Callable[[Json], T]) -> T:
    """What an operator's own TOML file says, which a variable of the environment names."""
    import tomllib  # where such a file is there alone

    try:
        with open(path, "rb") as file:
            obj = tomllib.load(file)
    except OSError as problem:
        raise ConfigError(f"can't read {variable}: {problem}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: not TOML: {problem!s:.100}") from None
    try:
        return read(obj)
    except (SettingsFormatError, ValueError) as problem:
        raise ConfigError(f"{path}: {problem}") from None


def admin_address(obj: Json) -> Address | None:
    """Where the operators' door is: the field `admin_addr`, else NODE_ADMIN_ADDR."""
    text = opt(obj, "admin_addr", str, "")
    if text:
        return address(text)
    text = os.environ.get("NODE_ADMIN_ADDR", "")
    try:
        return address(text) if text else None
    except SettingsFormatError as problem:
        raise SettingsFormatError(f"NODE_ADMIN_ADDR: {problem}") from None


_offset_ms = -math.inf


def unix_offset_ms() -> float:
    """From Unix time to the node's clock.

    As taken at first, until a clock was set: an entry that has not changed must read the same again.
    """
    global _offset_ms
    offset_ms = now_ms() - time.time() * 1000.0
    if abs(offset_ms - _offset_ms) > CLOCK_SET_MS:
        _offset_ms = offset_ms
    return _offset_ms


def parse_in_steps(body: bytes) -> Generator[None, None, Json]:
    """A list's JSON in steps of `READ_STEP` entries: at once, 10,000 hold all else up for 30 ms.

    Takes the outermost object and its `endpoints` apart by hand, and leaves all within to the library.
    `ValueError` as `json.loads` raises it.
    """
    text, decode = body.decode(), json.JSONDecoder().raw_decode
    obj: Json = {}

    def skip(at: int, wanted: str) -> tuple[str, int]:
        """The next character that is none of white space, if it is a wanted one, and what follows it."""
        match = NO_SPACE.match(text, at)
        if match is None or match[1] not in wanted:
            raise ValueError(f"expecting {wanted!r} at {at}")
        return match[1], match.end()

    found, at = skip(0, "{")
    if (match := NO_SPACE.match(text, at)) is not None and match[1] == "}":
        found, at = "}", match.end()
    while found != "}":
        key, at = decode(text, skip(at, '"')[1] - 1)
        _, at = skip(at, ":")
        first, after = skip(at, VALUES)
        if key != "endpoints" or first != "[":
            obj[key], at = decode(text, after - 1)
        else:
            items: list[Any] = []
            if (match := NO_SPACE.match(text, after)) is not None and match[1] == "]":
                at = match.end()
            else:
                mark = ","
                at = after
                while mark == ",":
                    item, at = decode(text, skip(at, VALUES)[1] - 1)
                    items.append(item)
                    mark, at = skip(at, ",]")
                    if len(items) % READ_STEP == 0:
                        yield
            obj[key] = items
        found, at = skip(at, ",}")
    if text[at:].strip():
        raise ValueError(f"extra data at {at}")
    return obj


def read_listing(obj: Json) -> Listing:
    """Read a list as discovery writes it, at once."""
    return run_to_completion(read_in_steps(obj))


def read_in_steps(obj: Json) -> Generator[None, None, Listing]:
    """The same in steps of `READ_STEP` entries, so that requests come between: 10,000 take some 100 ms.

    `since_ms` is Unix time; the module's clock is monotonic.
    """
    offset_ms = unix_offset_ms()
    entries: list[api.ServerEntry] = []
    addresses: dict[int, Address] = {}
    h3: dict[int, Address] = {}
    for n, item in enumerate(objects(obj, "endpoints"), 1):
        server = server_id(get(item, "name", str))
        since_ms = opt(item, "since_ms", NUMBER, 0)
        entries.append(
            api.ServerEntry(
                server=server,
                zone=sys.intern(opt(item, "zone", str, "")),
                kind=sys.intern(opt(item, "type", str, "")),
                cell=opt(item, "group", int, 0),
                health=word(item, "status", STATUSES),
                share=opt(item, "weight", NUMBER, 1.0),
                started_ms=since_ms + offset_ms if since_ms > 0 else None,
            )
        )
        addresses[server] = address(get(item, "address", str))
        if "h3" in item:
            h3[server] = address(get(item, "h3", str))
        if n % READ_STEP == 0:
            yield
    return Listing(get(obj, "index", int), get(obj, "snapshot", bool), entries, addresses, h3)


def read_config(path: str) -> Config:
    """Read the file; `ConfigError` says in one line what is wrong with it."""
    try:
        with open(path, encoding="utf-8") as file:
            obj = json.load(file)
    except OSError as problem:
        raise ConfigError(f"can't read the configuration: {problem}") from None
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"{path}: not JSON: {problem!s:.100}") from None
    if not isinstance(obj, dict):
        raise ConfigError(f"{path}: must be an object")
    try:
        limits = opt(obj, "limits", dict, {})
        return Config(
            name=get(obj, "name", str),
            listen=address(get(obj, "listen", str)),
            discovery=address(get(obj, "discovery", str)),
            seed=hex_digits(get(obj, "seed", str)),
            sockets=opt(limits, "sockets", int, 1024),
            memory_mb=opt(limits, "memory_mb", NUMBER, 64.0),
            known=read_listing(opt(obj, "known", dict, {"index": 0, "snapshot": True, "endpoints": []})),
            settings=read_settings(get(obj, "settings", dict)),
            admin=admin_address(obj),
        )
    except (SettingsFormatError, ValueError) as problem:
        raise ConfigError(f"{path}: {problem}") from None
