"""The messages between a node and its control helper: lines of JSON, short enough not to delay requests.

The helper (`helper.py`) keeps the stream to the control service, checks versions and saves the last good one;
the node applies them. A change is sent in batches, and is applied only when its last line has arrived:

    helper to node: apply, rows..., gone..., commit; drain; status
    node to helper: begin, rows..., start; applied

`ChangeWriter` encodes a change as lines, `ChangeReader` reassembles it. Neither does any I/O.
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

BATCH_SIZE = 32  # members in a line; the node applies them in one step, which takes some 1 ms
MAX_LINE = 4 * 1024 * 1024  # bytes; all settings are in one line, and 10,000 tenants take some 600 KB

IN_SERVICE = api.Health.IN_SERVICE

Row = list[Any]  # a member as a list of values, see `plain.member_row`


class PipeDecodeError(OrchidferryError):
    """A line that is not a valid message of the other process."""


def encode_line(do: str, **fields: Any) -> bytes:
    """Return a message as a line.

    :param do: the kind of message.
    """
    return json.dumps({"do": do} | fields, separators=(",", ":")).encode() + b"\n"


def decode_line(data: bytes) -> dict[str, Any]:
    """Return the message in a line; its field `do` is the kind of message.

    :raises PipeDecodeError: if the line is not a message.
    """
    try:
        message = json.loads(data)
    except ValueError:
        raise PipeDecodeError("not JSON") from None
    if not isinstance(message, dict) or not isinstance(message.get("do"), str):
        raise PipeDecodeError("not an object with a string field 'do'")
    return message


def batches(items: Iterable[Any]) -> Iterator[list[Any]]:
    """Split items into lists of at most `BATCH_SIZE`."""
    iterator = iter(items)
    while batch := list(itertools.islice(iterator, BATCH_SIZE)):
        yield batch


@dataclass(slots=True)
class Change:
    """A change of the node's configuration. Servers are named by their ids."""

    number: int  # counts the changes that a helper sends, from 1
    pool: str  # the name of the pool that the node sends requests to
    versions: dict[str, str]  # the version of each part
    settings: api.Settings | None  # None: unchanged
    has_members: bool  # False: the control service has not sent a pool yet, and discovery lists the servers
    complete: bool  # whether the rows are all members; if not, they are those that differ
    stopped: list[int]  # servers that receive no new requests from now on
    # Members in batches; those that receive no new requests come first.
    rows: list[list[Row]] = field(default_factory=list)
    removed: list[list[int]] = field(default_factory=list)  # servers that are no longer members, in batches


@dataclass(frozen=True, slots=True)
class _SentChange:
    """A change that the node has not confirmed yet."""

    number: int
    members: dict[int, Member] | None  # all members after the change, by server id; None: no pool
    settings: api.Settings  # the settings after the change


class ChangeWriter:
    """The helper's side: tracks what the node has applied, and encodes the changes to be sent to it."""

    def __init__(self) -> None:
        self._number = 0  # the number of the newest change
        # The members that the node has, by server id; None: not known, so the next change has all members.
        self._members: dict[int, Member] | None = None
        self._settings: api.Settings | None = None  # the settings that the node has; None: not known
        self._drained: set[int] = set()  # servers drained ahead of the next change
        self._sent: _SentChange | None = None

    def drain(self, servers: tuple[int, ...]) -> bytes:
        """Return the line that tells the node to send no new requests to these servers."""
        self._drained.update(servers)
        return encode_line("drain", servers=list(servers))

    def change(self, configuration: Configuration) -> Iterator[bytes]:
        """Return the lines of a change that leads from what the node has to a configuration."""
        self._number += 1
        has_members = bool(configuration.pools.members)
        settings = configuration.node.settings
        after = {m.entry.server: m for m in configuration.members()} if has_members else None
        before = self._members if self._members is not None and has_members else None
        self._sent = _SentChange(self._number, after, settings)
        rows = list((after or {}).values())
        removed = []
        if before is not None and after is not None:
            rows = [m for s, m in after.items() if before.get(s) is not m or s in self._drained]
            removed = [server for server in before if server not in after]
        stopped = removed + [m.entry.server for m in rows if m.entry.health is not IN_SERVICE]
        rows.sort(key=lambda member: member.entry.health is IN_SERVICE)
        unchanged = settings == self._settings
        yield encode_line(
            "apply",
            n=self._number,
            pool=configuration.node.pool,
            members=has_members,
            whole=before is None,
            away=stopped,
            versions={part.value: text for part, text in configuration.versions.items()},
            settings=None if unchanged else plain(settings),
        )
        for batch in batches(map(member_row, rows)):
            yield encode_line("rows", rows=batch)
        for servers in batches(removed):
            yield encode_line("gone", servers=servers)
        yield encode_line("commit", n=self._number)

    def applied(self, number: int, problem: str) -> bool:
        """Handle the node's report that it has applied a change, or failed to.

        :param number: the number of the change.
        :param problem: why the change could not be applied; empty if it was.
        :returns: whether the report is about the change that was sent last.
        """
        sent = self._sent
        if sent is None or sent.number != number:
            return False
        self._sent = None
        if problem:  # a part of the change may have been applied
            self._members = None
            self._settings = None
        else:
            self._members = sent.members
            self._settings = sent.settings
            self._drained.clear()
        return True

    def forget(self) -> None:
        """Discard what is known of the node, because it did not confirm a change in time."""
        self._sent = None
        self._members = None
        self._settings = None


class ChangeReader:
    """The node's side: reassembles changes from their lines."""

    def __init__(self) -> None:
        self._change: Change | None = None
        self._item_count = 0  # rows and removed servers of the change so far

    def read(self, message: dict[str, Any]) -> Change | None:
        """Take one of the messages of a change.

        :returns: the complete change after its last message, else None.
        :raises PipeDecodeError: if the message is malformed or not allowed at this point.
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
            self._item_count = 0
            return None
        change = self._change
        if change is None:
            raise PipeDecodeError(f"{do}: no change has begun")
        if do == "rows":
            change.rows.append(self._batch(message["rows"]))
            return None
        if do == "gone":
            change.removed.append(self._batch(message["servers"]))
            return None
        if do != "commit" or message["n"] != change.number:
            raise PipeDecodeError(f"{do} does not end change {change.number}")
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
        self._item_count += len(items)
        if self._item_count > 2 * MAX_MEMBERS:
            raise PipeDecodeError(f"{self._item_count} members in one change")
        return list(items)


@dataclass(slots=True)
class AppliedState:
    """What a node has applied apart from the members, as it is sent to a helper that starts."""

    pool: str  # the name of the pool that the node sends requests to
    versions: dict[str, str]  # the version of each part
    settings: api.Settings

    def configuration(self, rows: Iterable[Row]) -> Configuration:
        """Return the applied configuration.

        :param rows: the members of the pool.
        :raises Exception: one of `MALFORMED_JSON_ERRORS` if a row is malformed or a version is missing.
        """
        members = tuple(member_from(row) for row in rows)
        versions = {part: str(self.versions[part.value]) for part in Part}
        return Configuration(Pools({self.pool: members}), NodeSettings(self.pool, self.settings), versions)
