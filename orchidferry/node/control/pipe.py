"""What a node and its helper say to each other: lines of JSON, each short enough to hold nothing up.

The helper (`helper.py`) holds the stream to the control service, checks versions and keeps the last good
one; the node applies. Whole changes go down in steps, and count only once their last line has come:

    helper to node: apply, rows..., gone..., commit; drain; status
    node to helper: begin, rows..., start; applied

`Teller` makes the lines of a change, `Taker` puts them together again. Neither has I/O.
"""

from __future__ import annotations

import itertools
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.balancing.configuration_checks import MAX_MEMBERS
from orchidferry.errors import OrchidferryError
from orchidferry.node.control.plain import (
    MALFORMED_JSON_ERRORS,
    member_from,
    member_row,
    plain,
    settings_from,
)

STEP = 32  # members of a line, and that the node takes in one go: some 1 ms
MAX_LINE = 4 * 1024 * 1024  # bytes: the settings are one line, 10,000 tenants take some 600 KB

Row = list[Any]


class PipeDecodeError(OrchidferryError):
    """A line that the other side can't have meant."""


def line(do: str, **fields: Any) -> bytes:
    """One message."""
    return json.dumps({"do": do} | fields, separators=(",", ":")).encode() + b"\n"


def read_line(data: bytes) -> dict[str, Any]:
    """One message; `PipeDecodeError` if it is none."""
    try:
        found = json.loads(data)
    except ValueError:
        raise PipeDecodeError("not JSON") from None
    if not isinstance(found, dict) or not isinstance(found.get("do"), str):
        raise PipeDecodeError("no message")
    return found


def steps(items: Iterable[Any]) -> Iterator[list[Any]]:
    """Lists of at most `STEP`."""
    left = iter(items)
    while step := list(itertools.islice(left, STEP)):
        yield step


@dataclass(slots=True)
class Change:
    """What is to become of the node's configuration, whole."""

    number: int
    pool: str
    versions: dict[str, str]  # by part
    settings: api.Settings | None  # None: as they are
    members: bool  # False: no pool has come yet, and discovery has the say
    whole: bool  # the rows are all members; else those that differ
    away: list[int]  # servers that get nothing new from the moment of the change on
    rows: list[list[Row]] = field(default_factory=list)  # in steps, those that get nothing new first
    gone: list[list[int]] = field(default_factory=list)


class Teller:
    """The helper's side: what the node has, and the lines that make a configuration of it."""

    def __init__(self) -> None:
        self._number = 0
        self._has: dict[int, Member] | None = None  # None: not known, so that all is told
        self._settings: api.Settings | None = None
        self._drained: set[int] = set()  # told ahead of any change
        self._telling: tuple[int, dict[int, Member] | None, api.Settings] | None = None

    def drain(self, servers: tuple[int, ...]) -> bytes:
        """Have nothing new sent to these."""
        self._drained.update(servers)
        return line("drain", servers=list(servers))

    def change(self, whole: Configuration) -> Iterator[bytes]:
        """The lines of a change to this."""
        self._number += 1
        pooled, settings = bool(whole.pools.members), whole.node.settings
        after = {member.entry.server: member for member in whole.members()} if pooled else None
        before = self._has if self._has is not None and pooled else None
        self._telling = self._number, after, settings
        rows = list((after or {}).values())
        gone = []
        if before is not None and after is not None:
            rows = [m for s, m in after.items() if before.get(s) is not m or s in self._drained]
            gone = [server for server in before if server not in after]
        in_service = api.Health.IN_SERVICE
        away = gone + [m.entry.server for m in rows if m.entry.health is not in_service]
        rows.sort(key=lambda member: member.entry.health is in_service)
        same = settings == self._settings
        yield line(
            "apply",
            n=self._number,
            pool=whole.node.pool,
            members=pooled,
            whole=before is None,
            away=away,
            versions={part.value: text for part, text in whole.versions.items()},
            settings=None if same else plain(settings),
        )
        for some in steps(map(member_row, rows)):
            yield line("rows", rows=some)
        for servers in steps(gone):
            yield line("gone", servers=servers)
        yield line("commit", n=self._number)

    def applied(self, number: int, problem: str) -> bool:
        """The node's word of a change; whether it is that of the one that is out."""
        if self._telling is None or self._telling[0] != number:
            return False
        (_, members, settings), self._telling = self._telling, None
        if problem:  # half of it may be in place
            self._has = self._settings = None
        else:
            self._has = members
            self._settings = settings
            self._drained.clear()
        return True

    def give_up(self) -> None:
        """The node did not say in time: nothing is known of it any more."""
        self._telling = self._has = self._settings = None


class Taker:
    """The node's side: lines become a `Change` once its last one has come."""

    def __init__(self) -> None:
        self._change: Change | None = None
        self._count = 0

    def take(self, found: dict[str, Any]) -> Change | None:
        """One of the lines of a change; `PipeDecodeError` if it does not belong there."""
        try:
            return self._take(found)
        except MALFORMED_JSON_ERRORS as problem:
            raise PipeDecodeError(f"{found['do']}: {type(problem).__name__}: {problem!s:.100}") from None

    def _take(self, found: dict[str, Any]) -> Change | None:
        do = found["do"]
        if do == "apply":
            settings = found["settings"]
            self._change = Change(
                int(found["n"]),
                str(found["pool"]),
                dict(found["versions"]),
                settings_from(settings) if settings is not None else None,
                bool(found["members"]),
                bool(found["whole"]),
                list(found["away"]),
            )
            self._count = 0
            return None
        if self._change is None:
            raise PipeDecodeError(f"{do}: no change is out")
        if do == "rows" or do == "gone":
            step = found["rows" if do == "rows" else "servers"]
            self._count += len(step)
            if self._count > 2 * MAX_MEMBERS:
                raise PipeDecodeError(f"{self._count} members in one change")
            (self._change.rows if do == "rows" else self._change.gone).append(list(step))
            return None
        if do != "commit" or found["n"] != self._change.number:
            raise PipeDecodeError(f"{do} is not the end of change {self._change.number}")
        whole = self._change
        self._change = None
        return whole


@dataclass(slots=True)
class Held:
    """What a node has by now, for a helper that starts anew: its own pool, and all versions."""

    pool: str
    versions: dict[str, str]
    settings: api.Settings

    def configuration(self, rows: Iterable[Row]) -> Configuration:
        """Whole again; one of `MALFORMED_JSON_ERRORS` if it can't be."""
        members = tuple(member_from(row) for row in rows)
        versions = {part: str(self.versions[part.value]) for part in Part}
        return Configuration(Pools({self.pool: members}), NodeSettings(self.pool, self.settings), versions)
