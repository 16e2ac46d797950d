"""The messages between a node and its control helper: lines of JSON, each short enough to delay nothing.

The helper (`helper.py`) holds the stream to the control service, checks versions and saves the last good one;
the node applies them. A change is sent in batches, and is applied only when its last line has come:

    helper to node: apply, rows..., gone..., commit; drain; status
    node to helper: begin, rows..., start; applied

`ChangeWriter` makes the lines of a change, `ChangeReader` puts them together again. Neither has I/O.
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

BATCH_SIZE = 32  # members of a line, which the node applies in one go: some 1 ms
MAX_LINE = 4 * 1024 * 1024  # bytes: the settings are one line, and 10,000 tenants take some 600 KB

IN_SERVICE = api.Health.IN_SERVICE

Row = list[Any]  # a member, see `plain.member_row`


class PipeDecodeError(OrchidferryError):
    """A line that can't be one of the other side's messages."""


def encode_line(do: str, **fields: Any) -> bytes:
    """Return a message as a line.

    :param do: what the message is.
    """
    return json.dumps({"do": do} | fields, separators=(",", ":")).encode() + b"\n"


def decode_line(data: bytes) -> dict[str, Any]:
    """Return the message in a line; its field `do` says what it is.

    :raises PipeDecodeError: if there is none.
    """
    try:
        message = json.loads(data)
    except ValueError:
        raise PipeDecodeError("not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("do"), str):
        raise PipeDecodeError("no message")
    return message


def batches(items: Iterable[Any]) -> Iterator[list[Any]]:
    """Split items into lists of at most `BATCH_SIZE`."""
    rest = iter(items)
    while batch := list(itertools.islice(rest, BATCH_SIZE)):
        yield batch


@dataclass(slots=True)
class Change:
    """A change of the node's configuration."""

    number: int
    pool: str
    versions: dict[str, str]  # by part
    settings: api.Settings | None  # None: unchanged
    members: bool  # False: no pool has come yet, and discovery names the servers
    complete: bool  # whether the rows are all members; else those that differ
    away: list[int]  # servers that get nothing new from now on
    rows: list[list[Row]] = field(default_factory=list)  # in batches, servers that get nothing new first
    gone: list[list[int]] = field(default_factory=list)  # servers that are no members any more, in batches


@dataclass(frozen=True, slots=True)
class _SentChange:
    """A change that the node has not confirmed yet."""

    number: int
    members: dict[int, Member] | None
    settings: api.Settings


class ChangeWriter:
    """The helper's side: knows what the node has, and makes the lines that change it."""

    def __init__(self) -> None:
        self._number = 0
        self._members: dict[int, Member] | None = None  # of the node; None: not known, so that all are sent
        self._settings: api.Settings | None = None  # of the node; None: not known
        self._drained: set[int] = set()  # ahead of a change
        self._sent: _SentChange | None = None

    def drain(self, servers: tuple[int, ...]) -> bytes:
        """Return the line that has the node send nothing new to these servers."""
        self._drained.update(servers)
        return encode_line("drain", servers=list(servers))

    def change(self, configuration: Configuration) -> Iterator[bytes]:
        """Return the lines of the change to a configuration."""
        self._number += 1
        pooled = bool(configuration.pools.members)
        settings = configuration.node.settings
        after = {m.entry.server: m for m in configuration.members()} if pooled else None
        before = self._members if self._members is not None and pooled else None
        self._sent = _SentChange(self._number, after, settings)
        rows = list((after or {}).values())
        gone = []
        if before is not None and after is not None:
            rows = [m for s, m in after.items() if before.get(s) is not m or s in self._drained]
            gone = [server for server in before if server not in after]
        away = gone + [m.entry.server for m in rows if m.entry.health is not IN_SERVICE]
        rows.sort(key=lambda member: member.entry.health is IN_SERVICE)
        unchanged = settings == self._settings
        yield encode_line(
            "apply",
            n=self._number,
            pool=configuration.node.pool,
            members=pooled,
            whole=before is None,
            away=away,
            versions={part.value: text for part, text in configuration.versions.items()},
            settings=None if unchanged else plain(settings),
        )
        for batch in batches(map(member_row, rows)):
            yield encode_line("rows", rows=batch)
        for servers in batches(gone):
            yield encode_line("gone", servers=servers)
        yield encode_line("commit", n=self._number)

    def applied(self, number: int, problem: str) -> bool:
        """Take the node's confirmation of a change.

        :param problem: why it could not be applied; empty if it was.
        :returns: whether it is for the change that was sent last.
        """
        sent = self._sent
        if sent is None or sent.number != number:
            return False
        self._sent = None
        if problem:  # part of it may be applied
            self._members = None
            self._settings = None
        else:
            self._members = sent.members
            self._settings = sent.settings
            self._drained.clear()
        return True

    def give_up(self) -> None:
        """Forget what the node has, as it did not confirm a change in time."""
        self._sent = None
        self._members = None
        self._settings = None


class ChangeReader:
    """The node's side: puts together the lines of a change."""

    def __init__(self) -> None:
        self._change: Change | None = None
        self._count = 0  # members so far

    def read(self, message: dict[str, Any]) -> Change | None:
        """Take one of the messages of a change.

        :returns: the change, with its last message.
        :raises PipeDecodeError: if the message does not belong there.
        """
        try:
            return self._read(message)
        except MALFORMED_JSON_ERRORS as problem:
            reason = f"{message['do']}: {type(problem).__name__}: {problem!s:.100}"
            raise PipeDecodeError(reason) from None

    def _read(self, message: dict[str, Any]) -> Change | None:
        do = message["do"]
        if do == "apply":
            self._change = self._start(message)
            self._count = 0
            return None
        change = self._change
        if change is None:
            raise PipeDecodeError(f"{do}: no change is out")
        if do == "rows":
            change.rows.append(self._batch(message["rows"]))
            return None
        if do == "gone":
            change.gone.append(self._batch(message["servers"]))
            return None
        if do != "commit" or message["n"] != change.number:
            raise PipeDecodeError(f"{do} is not the end of change {change.number}")
        self._change = None
        return change

    @staticmethod
    def _start(message: dict[str, Any]) -> Change:
        settings = message["settings"]
        return Change(
            int(message["n"]),
            str(message["pool"]),
            dict(message["versions"]),
            settings_from(settings) if settings is not None else None,
            bool(message["members"]),
            bool(message["whole"]),
            list(message["away"]),
        )

    def _batch(self, items: Any) -> list[Any]:
        self._count += len(items)
        if self._count > 2 * MAX_MEMBERS:
            raise PipeDecodeError(f"{self._count} members in one change")
        return list(items)


@dataclass(slots=True)
class AppliedState:
    """What a node has applied, for a helper that starts: its own pool, and the versions of all parts."""

    pool: str
    versions: dict[str, str]  # by part
    settings: api.Settings

    def configuration(self, rows: Iterable[Row]) -> Configuration:
        """Return it as a configuration.

        :param rows: the pool's members.
        :raises Exception: one of `MALFORMED_JSON_ERRORS` if it is not complete.
        """
        members = tuple(member_from(row) for row in rows)
        versions = {part: str(self.versions[part.value]) for part in Part}
        return Configuration(Pools({self.pool: members}), NodeSettings(self.pool, self.settings), versions)
