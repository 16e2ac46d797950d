"""The members of a node's pool, as the control service names them, applied to a node that serves.

A change has two phases. At once: the settings are applied, and nothing new is sent to servers that drain or
are gone. Then, in steps of under a millisecond with requests between them, the rest, which only adds to the
servers that may be chosen. Drains announced ahead of a version, and the state that discovery reports of a
process, hold through both.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import gc
import logging
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Member
from orchidferry.balancing.configuration_checks import merged
from orchidferry.node.control.pipe import BATCH_SIZE, Change, Row, batches
from orchidferry.node.control.plain import member_from, member_row
from orchidferry.node.server_listing import ServerListing

IN_SERVICE = api.Health.IN_SERVICE
LONG_CHANGE = 1_000  # rows; a garbage collection of what a shorter change makes takes under 1 ms

log = logging.getLogger("orchidferry")


class NodeInterface(Protocol):
    """What is asked of the node."""

    def known_servers(self) -> Collection[int]:
        """Return the servers that are listed."""

    def serves(self, server: int) -> bool:
        """Return whether requests may be sent to a server."""

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings."""

    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        """Apply a list of servers."""

    def stop_sending(self, servers: Iterable[int]) -> None:
        """Send nothing new to these servers."""


class Members:
    """The members of a node's pool, and the steps of changes that are not applied yet."""

    def __init__(self, node: NodeInterface, loop: asyncio.AbstractEventLoop) -> None:
        self._node = node
        self._loop = loop
        self.members: dict[int, Member] | None = None  # None: discovery names the servers
        self._discovered: dict[int, api.Health] = {}  # by discovery, also of servers that are no members yet
        self._draining: set[int] = set()  # get nothing new, by a version that is not completely applied
        self._steps: deque[Callable[[], None]] = deque()
        self._running = False  # whether a timer for the next step is set
        self.idle = asyncio.Event()  # set while there are no steps
        self.idle.set()

    def rows(self) -> Iterable[list[Row]]:
        """Return all members, in batches."""
        return batches(map(member_row, list((self.members or {}).values())))

    def apply(self, change: Change, done: Callable[[str], None]) -> None:
        """Apply a change.

        :param done: called with an empty text when all of it is applied, or with what went wrong.
        """
        done = self._without_collections(change, done)
        try:
            if change.settings is not None:
                self._node.apply_settings(change.settings)
            if not change.members:  # the node's own file names none
                return done("")
            self._begin(change, done)
        except Exception as problem:  # whatever is in the change, the node serves on
            log.exception("applying a configuration")
            done(f"{type(problem).__name__}: {problem}")

    def _without_collections(self, change: Change, done: Callable[[str], None]) -> Callable[[str], None]:
        """Disable garbage collection during a long change, and exclude what it makes from later ones.

        Members live until a version drops them, and are in no reference cycles. Objects of requests that are
        in a cycle at that moment are kept forever too: a few for each long change.

        :returns: what to call in place of `done`.
        """
        if sum(map(len, change.rows)) < LONG_CHANGE:
            return done
        gc.disable()

        def enable(problem: str) -> None:
            gc.freeze()
            gc.enable()
            done(problem)

        return enable

    def _begin(self, change: Change, done: Callable[[str], None]) -> None:
        """Perform the first phase of a change, and queue the steps of the second."""
        first = self.members is None
        removed = change.gone
        stopped = set(change.away)
        if change.complete:
            left = self._not_in(change)
            removed = list(batches(left))
            stopped.update(left)
        stale = [server for server in self._draining if server not in stopped]
        self._draining = stopped
        if first:
            self._take_over(change, stopped)
        else:
            self._node.stop_sending(stopped)
        self._queue_steps(change, removed, stale, done)

    def _not_in(self, change: Change) -> list[int]:
        """Return the servers that are known and that a complete change does not have."""
        known = self._node.known_servers() if self.members is None else self.members
        listed = {row[0] for batch in change.rows for row in batch}
        return [server for server in known if server not in listed]

    def _take_over(self, change: Change, stopped: set[int]) -> None:
        """Name the servers from now on, which discovery did before."""
        known = set(self._node.known_servers())
        self._discovered = {s: api.Health.DRAINING for s in known if not self._node.serves(s)}
        self._node.stop_sending(stopped)
        # With a complete list the balancer learns that all later lists are about the servers known now.
        rows = [row for batch in change.rows for row in batch if row[0] in known]
        self.members = {row[0]: member_from(row) for row in rows}
        self._list(list(self.members), complete=True)

    def _queue_steps(
        self, change: Change, removed: list[list[int]], stale: list[int], done: Callable[[str], None]
    ) -> None:
        """Queue the second phase.

        :param removed: servers that are no members any more, in batches.
        :param stale: servers whose announced drain was not confirmed by a version.
        """
        problems: list[str] = []
        steps: list[Callable[[], None]] = []
        steps += [functools.partial(self._remove, servers) for servers in removed]
        steps += [functools.partial(self._update, rows) for rows in change.rows]
        steps += [functools.partial(self._list, servers) for servers in batches(stale)]
        self._steps.extend(functools.partial(_run_guarded, step, problems) for step in steps)
        self._steps.append(lambda: done(problems[0] if problems else ""))
        self._run_steps()

    def _run_steps(self) -> None:
        if not self._running:
            self._running = True
            self.idle.clear()
            self._loop.call_later(0.0, self._run_next_step)

    def _run_next_step(self) -> None:
        if self._steps:
            try:
                self._steps.popleft()()
            except Exception:  # the steps after it are run all the same
                log.exception("listing members")
        if self._steps:  # a timer, not call_soon: what has come on sockets meanwhile is handled first
            self._loop.call_later(0.0, self._run_next_step)
        else:
            self._running = False
            self.idle.set()

    def _remove(self, servers: list[int]) -> None:
        assert self.members is not None
        for server in servers:
            self.members.pop(server, None)
            self._draining.discard(server)
        entries = [api.ServerEntry(server, health=api.Health.GONE) for server in servers]
        self._node.apply_listing(ServerListing(0, False, entries, {}), api.ListKind.CHANGES)

    def _update(self, rows: list[Row]) -> None:
        assert self.members is not None
        members = [member_from(row) for row in rows]
        for member in members:
            self.members[member.entry.server] = member
            self._draining.discard(member.entry.server)
        self._list([member.entry.server for member in members])

    def _list(self, servers: list[int], complete: bool = False) -> None:
        """List these members for the node, in the state that the service and discovery give them.

        :param complete: whether all other servers are gone.
        """
        members = self.members or {}
        known = [members[server] for server in servers if server in members]
        entries = merged(known, self._discovered)
        for index, entry in enumerate(entries):
            if entry.server in self._draining and entry.health is IN_SERVICE:
                entries[index] = dataclasses.replace(entry, health=api.Health.DRAINING)
        addresses = {member.entry.server: member.address for member in known}
        kind = api.ListKind.FULL if complete else api.ListKind.CHANGES
        self._node.apply_listing(ServerListing(0, complete, entries, addresses), kind)

    def drain(self, servers: list[int]) -> None:
        """Send nothing new to these servers, ahead of the version that drains them."""
        if self.members is None:
            return  # the service drains only servers that it has named
        self._draining.update(servers)
        self._node.stop_sending(servers)
        self._list_later(servers)

    def handle_discovery(self, listing: ServerListing) -> bool:
        """Take the state of processes from discovery.

        :returns: False if discovery names the servers itself.
        """
        if self.members is None:
            return False
        members = self.members
        reported = {entry.server: entry.health for entry in listing.entries}
        if listing.complete:
            changed = [s for s in members if self._discovered.get(s) != reported.get(s)]
            self._discovered = reported
        else:
            changed = [
                s for s, health in reported.items() if s in members and self._discovered.get(s) != health
            ]
            self._discovered |= reported
            for entry in listing.entries:  # servers that are gone from both lists are forgotten
                if entry.health is api.Health.GONE and entry.server not in members:
                    del self._discovered[entry.server]
        self._node.stop_sending(s for s in changed if reported.get(s, IN_SERVICE) is not IN_SERVICE)
        self._list_later(changed)
        return True

    def _list_later(self, servers: Iterable[int]) -> None:
        self._steps.extend(functools.partial(self._list, batch) for batch in batches(servers))
        if self._steps:
            self._run_steps()


def _run_guarded(step: Callable[[], None], problems: list[str]) -> None:
    """Run a step unless one before it failed; a failure is added to the problems."""
    if problems:
        return
    try:
        step()
    except Exception as problem:
        log.exception("applying a configuration")
        problems.append(f"{type(problem).__name__}: {problem}")


__all__ = ["BATCH_SIZE", "Members", "NodeInterface"]
