"""Decoding of server lists from discovery and from a node's configuration file.

A list may have 10,000 entries, and decoding them in one go would delay requests by 100 ms. Parsing and
decoding are therefore generators that yield after every `ENTRIES_PER_STEP` entries (see `incremental`).
"""

from __future__ import annotations

import hashlib
import json
import re
import sys
from collections.abc import Generator
from dataclasses import dataclass, field
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.settings import NUMBER, Json, get, get_choice, get_objects, get_optional
from orchidferry.node.address import Address, parse_address
from orchidferry.node.clock import unix_offset_ms
from orchidferry.node.incremental import run_to_completion

STATUSES = {
    "active": api.Health.IN_SERVICE,
    "leaving": api.Health.DRAINING,
    "left": api.Health.GONE,
}
ENTRIES_PER_STEP = 64  # takes less than 1 ms; short, as a request waits for several steps

VALUE_START = '{["-0123456789tfnNI'  # first characters of a value; `json` also accepts NaN and Infinity
NON_SPACE = re.compile(r"[ \t\n\r]*([^ \t\n\r])")  # optional JSON white space, then the next character


@dataclass(slots=True)
class ServerListing:
    """A complete list of servers, or the entries that changed."""

    index: int  # discovery's version number of the list
    complete: bool  # whether servers without an entry are gone
    entries: list[api.ServerEntry]
    addresses: dict[int, Address]
    h3_addresses: dict[int, Address] = field(default_factory=dict)  # addresses of servers with HTTP/3


def server_id(name: str) -> int:
    """Return a server's numeric id, a hash of its name that is the same at every node.

    The servers are divided among the nodes by these ids. They have 64 bits, so that two names practically
    never have the same id. `hash()` is unsuitable, as it differs between processes.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def read_listing(obj: Json) -> ServerListing:
    """Decode a list in one go.

    :raises SettingsFormatError: if a field is missing or has another type.
    """
    return run_to_completion(decode_listing(obj))


def decode_listing(obj: Json) -> Generator[None, None, ServerListing]:
    """Decode a parsed list step by step.

    `since_ms` of an entry is Unix time; the result uses the node's clock.

    :raises SettingsFormatError: if a field is missing or has another type.
    """
    offset_ms = unix_offset_ms()
    listing = ServerListing(0, False, [], {})
    for number, item in enumerate(get_objects(obj, "endpoints"), 1):
        server = server_id(get(item, "name", str))
        listing.entries.append(_decode_entry(server, item, offset_ms))
        listing.addresses[server] = parse_address(get(item, "address", str))
        if "h3" in item:
            listing.h3_addresses[server] = parse_address(get(item, "h3", str))
        if number % ENTRIES_PER_STEP == 0:
            yield
    listing.index = get(obj, "index", int)
    listing.complete = get(obj, "snapshot", bool)
    return listing


def _decode_entry(server: int, item: Json, offset_ms: float) -> api.ServerEntry:
    since_ms = get_optional(item, "since_ms", NUMBER, 0)
    return api.ServerEntry(
        server=server,
        zone=sys.intern(get_optional(item, "zone", str, "")),
        kind=sys.intern(get_optional(item, "type", str, "")),
        cell=get_optional(item, "group", int, 0),
        health=get_choice(item, "status", STATUSES),
        share=get_optional(item, "weight", NUMBER, 1.0),
        started_ms=since_ms + offset_ms if since_ms > 0 else None,
    )


def parse_listing(body: bytes) -> Generator[None, None, Json]:
    """Parse a list's JSON step by step.

    Only the outermost object and its array `endpoints` are parsed here; each value in them is parsed by the
    `json` module.

    :raises ValueError: for malformed JSON, as `json.loads` does.
    """
    cursor = _JsonCursor(body.decode())
    obj: Json = {}
    cursor.expect("{")
    closed = cursor.skip_if("}")
    while not closed:
        key = cursor.value('"')
        cursor.expect(":")
        if key == "endpoints" and cursor.peek(VALUE_START) == "[":
            obj[key] = yield from _parse_array(cursor)
        else:
            obj[key] = cursor.value(VALUE_START)
        closed = cursor.expect(",}") == "}"
    cursor.expect_end()
    return obj


def _parse_array(cursor: _JsonCursor) -> Generator[None, None, list[Any]]:
    items: list[Any] = []
    cursor.expect("[")
    closed = cursor.skip_if("]")
    while not closed:
        items.append(cursor.value(VALUE_START))
        closed = cursor.expect(",]") == "]"
        if len(items) % ENTRIES_PER_STEP == 0:
            yield
    return items


class _JsonCursor:
    """A position in a JSON text; every method raises `ValueError` for unexpected input."""

    __slots__ = ("_decode", "_position", "_text")

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0
        self._decode = json.JSONDecoder().raw_decode

    def _next(self, wanted: str) -> re.Match[str]:
        match = NON_SPACE.match(self._text, self._position)
        if match is None or match[1] not in wanted:
            raise ValueError(f"expected one of {wanted!r} at position {self._position}")
        return match

    def peek(self, wanted: str) -> str:
        """Return the next character that is not white space, which must be one of those in `wanted`."""
        return self._next(wanted)[1]

    def expect(self, wanted: str) -> str:
        """Do the same as `peek`, and move past the character."""
        match = self._next(wanted)
        self._position = match.end()
        return match[1]

    def skip_if(self, wanted: str) -> bool:
        """Move past the next character if it is `wanted`; return whether it was."""
        match = NON_SPACE.match(self._text, self._position)
        if match is None or match[1] != wanted:
            return False
        self._position = match.end()
        return True

    def value(self, start: str) -> Any:
        """Parse a value that begins with one of the characters in `start`, and move past it."""
        value, self._position = self._decode(self._text, self._next(start).end() - 1)
        return value

    def expect_end(self) -> None:
        """Check that only white space follows the current position."""
        if self._text[self._position :].strip():
            raise ValueError(f"extra data at position {self._position}")
