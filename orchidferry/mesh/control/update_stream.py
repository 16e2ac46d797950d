"""A controller's stream of updates: changes of its member list and of the configuration's revision. No I/O.

A change is identified by the controller, an incarnation drawn at the start of the controller's process, and a
number that rises by one with each change. Any copy of a stream can bring another copy up to date: with a
difference while its log of changes reaches back far enough, else with a complete list.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

import msgspec

from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.control.fanout_tree import MAX_FOLLOWERS

MAX_LOG_CHANGES = 256  # changes in the log; a difference can't reach further back
MAX_LOG_NAMES = 2_048  # total of node names in the changes of the log

NO_CHANGES = -1  # number of a stream before its first change has arrived, and `since` of a complete list

LinkT = TypeVar("LinkT")


class LogPosition(NamedTuple):
    """The position up to which a follower has one controller's stream."""

    incarnation: int
    number: int


class StreamChange(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The changes of a controller's stream after the number `since` up to `number`, in one message.

    If `since` is `NO_CHANGES`, the message contains the complete member list.

    :param updated: records of new or changed nodes.
    :param removed: names of nodes that are no longer members.
    :param revision: newest revision of the configuration that the controller knows; 0 for none.
    """

    controller: str
    incarnation: int
    since: int
    number: int
    updated: list[NodeRecord]
    removed: list[str]
    revision: int

    def __post_init__(self) -> None:
        if not NO_CHANGES <= self.since < self.number:
            raise ValueError("a change ends after its beginning")


class _LoggedChange(NamedTuple):
    """One change in the log, with the names of the nodes that it updated or removed."""

    since: int
    number: int
    names: tuple[str, ...]


class UpdateStream:
    """One controller's stream, at that controller itself or as a copy at a node.

    :ivar controller: name of the controller.
    :ivar incarnation: incarnation of the stream.
    :ivar number: number of the newest change; `NO_CHANGES` if there is none.
    :ivar records: the member list, by node name.
    :ivar revision: the newest revision of the configuration that the controller has announced.
    """

    def __init__(self, controller: str, incarnation: int = 0, number: int = NO_CHANGES) -> None:
        self.controller = controller
        self.incarnation = incarnation
        self.number = number
        self.records: dict[str, NodeRecord] = {}
        self.revision = 0
        self._log: deque[_LoggedChange] = deque()
        self._logged_names = 0

    def reset(self, incarnation: int) -> None:
        """Expect another incarnation of the stream.

        The member list of the previous incarnation is kept until the complete list of the new one arrives.
        """
        self.incarnation = incarnation
        self.number = NO_CHANGES
        self._log.clear()
        self._logged_names = 0

    def append(
        self, updated: Iterable[NodeRecord] = (), removed: Iterable[str] = (), revision: int = 0
    ) -> None:
        """Append the next change, at the controller itself.

        :param updated: records of new or changed nodes.
        :param removed: names of nodes that are no longer members.
        :param revision: revision of a new configuration; 0 for none.
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
        """Apply a received change.

        :returns: whether the change was applied: it is new, and follows the newest change without a gap.
        """
        if (
            change.incarnation != self.incarnation
            or change.number <= self.number
            or change.since > self.number
        ):
            return False
        if change.since == NO_CHANGES:  # the log is cleared, as the changes before the list are unknown
            self.reset(self.incarnation)
            self.records.clear()
        self._merge(change)
        return True

    def _merge(self, change: StreamChange) -> None:
        for record in change.updated:
            self.records[record.name] = record
        for name in change.removed:
            self.records.pop(name, None)
        if self.number != NO_CHANGES:
            names = (*(record.name for record in change.updated), *change.removed)
            self._log.append(_LoggedChange(self.number, change.number, names))
            self._logged_names += len(names)
            while len(self._log) > MAX_LOG_CHANGES or self._logged_names > MAX_LOG_NAMES:
                self._logged_names -= len(self._log.popleft().names)
        self.number = change.number
        self.revision = max(self.revision, change.revision)

    def changes_since(self, incarnation: int, number: int) -> StreamChange | None:
        """Return the changes that a copy at this position lacks.

        :returns: the difference, the complete list if the log does not reach back far enough, or None if the
            copy is up to date.
        """
        same_incarnation = incarnation == self.incarnation
        if self.number == NO_CHANGES or (same_incarnation and number >= self.number):
            return None
        if not same_incarnation or not self._log or number < self._log[0].since:
            return self._change(NO_CHANGES, list(self.records.values()), [])
        names = {name for logged in self._log if logged.number > number for name in logged.names}
        updated = [self.records[name] for name in names if name in self.records]
        removed = [name for name in names if name not in self.records]
        return self._change(number, updated, removed)

    def _change(self, since: int, updated: list[NodeRecord], removed: list[str]) -> StreamChange:
        return StreamChange(
            self.controller, self.incarnation, since, self.number, updated, removed, self.revision
        )


class Followers(Generic[LinkT]):
    """The followers to which changes are forwarded, each over a link, and their positions in the streams.

    :ivar positions: positions by link to the follower and by controller.
    """

    def __init__(self, max_followers: int = MAX_FOLLOWERS) -> None:
        self._max_followers = max_followers
        self.positions: dict[LinkT, dict[str, LogPosition]] = {}

    def add(self, link: LinkT, positions: Iterable[tuple[str, int, int]]) -> bool:
        """Add a follower, or replace the positions of a known one.

        :param link: link to the follower.
        :param positions: controller, incarnation and number of each stream that the follower knows.
        :returns: False if the follower is new and the maximum number is reached.
        """
        if link not in self.positions and len(self.positions) >= self._max_followers:
            return False
        self.positions[link] = {
            controller: LogPosition(incarnation, number) for controller, incarnation, number in positions
        }
        return True

    def remove(self, link: LinkT) -> None:
        """Remove a follower."""
        self.positions.pop(link, None)

    def advance(self, stream: UpdateStream) -> list[tuple[StreamChange, list[LinkT]]]:
        """Advance all followers to the end of a stream.

        A follower whose position is in another incarnation gets nothing: each node learns of new incarnations
        from the controller itself.

        :returns: the changes to send now, each with the links of its receivers.
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
