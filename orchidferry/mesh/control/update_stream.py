"""A controller's stream of updates: changes of its member list and of the configuration's revision. Pure.

A controller numbers its changes: an incarnation, drawn at the controller's start, and a number that rises by
one with each change. Whoever holds a copy of a stream can bring another copy up to date: by the difference,
while its log of changes reaches back far enough, else by a complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

import msgspec

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.fanout_tree import MAX_FOLLOWERS

MAX_LOG_CHANGES = 256  # that a difference may reach back
MAX_LOG_NAMES = 2_048  # names of nodes in the log's changes

NOTHING = -1  # number of a stream of whose incarnation nothing has come; `since` of a complete list

LinkT = TypeVar("LinkT")


class LogPosition(NamedTuple):
    """How much of one controller's stream a follower has."""

    incarnation: int
    number: int


class StreamChange(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What changed in a controller's stream after `since`, up to `number`.

    With `since` at `NOTHING` it is the complete list.
    """

    controller: str
    incarnation: int
    since: int
    number: int
    updated: list[NodeRecord]
    removed: list[str]
    revision: int  # of the configuration, as the controller knows it; 0 for none

    def __post_init__(self) -> None:
        if not NOTHING <= self.since < self.number:
            raise ValueError("a change ends after its beginning")


class _LoggedChange(NamedTuple):
    """One change in the log: which nodes it concerned."""

    since: int
    number: int
    names: tuple[str, ...]


class UpdateStream:
    """One controller's stream, at that controller itself or as a copy.

    :ivar records: the member list, by node name.
    :ivar revision: the newest revision of the configuration that the controller has announced.
    """

    def __init__(self, controller: str, incarnation: int = 0, number: int = NOTHING) -> None:
        self.controller = controller
        self.incarnation = incarnation
        self.number = number
        self.records: dict[str, NodeRecord] = {}
        self.revision = 0
        self._log: deque[_LoggedChange] = deque()
        self._logged_names = 0

    def reset(self, incarnation: int) -> None:
        """Expect the stream of another incarnation.

        The member list of the last one stands until the new one's complete list is here.
        """
        self.incarnation = incarnation
        self.number = NOTHING
        self._log.clear()
        self._logged_names = 0

    def append(
        self, updated: Iterable[NodeRecord] = (), removed: Iterable[str] = (), revision: int = 0
    ) -> None:
        """Add the next change, at the controller itself.

        :param updated: records of new or changed nodes.
        :param removed: names of nodes that are members no more.
        :param revision: of a new configuration; 0 for none.
        """
        number = self.number + 1
        self._merge(
            StreamChange(
                self.controller,
                self.incarnation,
                self.number,
                number,
                list(updated),
                list(removed),
                revision,
            )
        )

    def apply(self, change: StreamChange) -> bool:
        """Apply a change that was received.

        :returns: whether it was new, and continued what is here.
        """
        if (
            change.incarnation != self.incarnation
            or change.number <= self.number
            or change.since > self.number
        ):
            return False
        if change.since == NOTHING:  # what was added and removed in between is unknown: the log starts anew
            self.reset(self.incarnation)
            self.records.clear()
        self._merge(change)
        return True

    def _merge(self, change: StreamChange) -> None:
        for record in change.updated:
            self.records[record.name] = record
        for name in change.removed:
            self.records.pop(name, None)
        if self.number != NOTHING:
            names = (*(record.name for record in change.updated), *change.removed)
            self._log.append(_LoggedChange(self.number, change.number, names))
            self._logged_names += len(names)
            while len(self._log) > MAX_LOG_CHANGES or self._logged_names > MAX_LOG_NAMES:
                self._logged_names -= len(self._log.popleft().names)
        self.number = change.number
        self.revision = max(self.revision, change.revision)

    def changes_since(self, incarnation: int, number: int) -> StreamChange | None:
        """What a copy at this position lacks.

        :returns: the difference, the complete list if the log does not reach back so far, or None if the copy
            lacks nothing.
        """
        same_incarnation = incarnation == self.incarnation
        if self.number == NOTHING or (same_incarnation and number >= self.number):
            return None
        if not same_incarnation or not self._log or number < self._log[0].since:
            return self._change(NOTHING, list(self.records.values()), [])
        names = {name for logged in self._log if logged.number > number for name in logged.names}
        updated = [self.records[name] for name in names if name in self.records]
        removed = [name for name in names if name not in self.records]
        return self._change(number, updated, removed)

    def _change(self, since: int, updated: list[NodeRecord], removed: list[str]) -> StreamChange:
        return StreamChange(
            self.controller, self.incarnation, since, self.number, updated, removed, self.revision
        )


class Followers(Generic[LinkT]):
    """Those to whom the changes of streams are forwarded, each by a link, and the position of each.

    :ivar positions: by follower and controller.
    """

    def __init__(self, max_followers: int = MAX_FOLLOWERS) -> None:
        self._max_followers = max_followers
        self.positions: dict[LinkT, dict[str, LogPosition]] = {}

    def add(self, link: LinkT, positions: Iterable[tuple[str, int, int]]) -> bool:
        """Add a follower, or replace its positions.

        :param positions: controller, incarnation and number of each stream that the follower knows.
        :returns: False if there are too many followers already.
        """
        if link not in self.positions and len(self.positions) >= self._max_followers:
            return False
        self.positions[link] = {
            controller: LogPosition(incarnation, number) for controller, incarnation, number in positions
        }
        return True

    def remove(self, link: LinkT) -> None:
        """Forward nothing more to this follower."""
        self.positions.pop(link, None)

    def advance(self, stream: UpdateStream) -> list[tuple[StreamChange, list[LinkT]]]:
        """Advance all followers to the end of a stream.

        A follower that has not named the stream's incarnation gets nothing: each node learns of incarnations
        from the controller itself.

        :returns: the changes that are to be sent now, and to whom.
        """
        links_by_number: dict[int, list[LinkT]] = {}
        unknown = LogPosition(0, 0)
        for link, positions in self.positions.items():
            position = positions.get(stream.controller, unknown)
            if position.incarnation == stream.incarnation and position.number < stream.number:
                links_by_number.setdefault(position.number, []).append(link)
                positions[stream.controller] = LogPosition(stream.incarnation, stream.number)
        changes = [
            (stream.changes_since(stream.incarnation, number), links)
            for number, links in links_by_number.items()
        ]
        return [(change, links) for change, links in changes if change is not None]
