"""Applies the members of a pool, as the control service lists them, to a node that serves requests.

A change has two phases. The first is performed at once: the settings are applied, and no new requests are
sent to servers that drain or are removed. The second does the rest, which only adds to the servers that may
be chosen, in steps of under a millisecond with requests handled between them. Drains announced ahead of a
version, and the health that discovery reports for a server, stay in force during both.
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
MIN_LONG_CHANGE = 1_000  # rows; collecting the objects that a shorter change creates takes under 1 ms

log = logging.getLogger("orchidferry")


class NodeInterface(Protocol):
    """The methods of the node that `Members` calls. Servers are named by their ids."""

    def known_servers(self) -> Collection[int]:
        """Return the servers that are listed."""

    def serves(self, server: int) -> bool:
        """Return whether requests may be sent to a server."""

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply settings."""

    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        """Apply a list of servers."""

    def stop_sending(self, servers: Iterable[int]) -> None:
        """Send no new requests to these servers."""


class Members:
    """The members of a node's pool, and the steps of changes that are not applied yet."""

    def __init__(self, node: NodeInterface, loop: asyncio.AbstractEventLoop) -> None:
        self._node = node
        self._loop = loop
        self.members: dict[int, Member] | None = None  # by server id; None: discovery lists the servers
        # The health that discovery reports, by server id, also for servers that are not members yet.
        self._discovered: dict[int, api.Health] = {}
        # Servers that receive no new requests, because of a version that is announced or not fully applied.
        self._draining: set[int] = set()
        self._steps: deque[Callable[[], None]] = deque()  # steps that are still to be performed
        self._running = False  # whether a timer for the next step is set
        self.idle = asyncio.Event()  # set while no steps are queued
        self.idle.set()

    def rows(self) -> Iterable[list[Row]]:
        """Return all members, in batches."""
        return batches(map(member_row, list((self.members or {}).values())))

    def apply(self, change: Change, on_done: Callable[[str], None]) -> None:
        """Apply a change.

        :param on_done: called with an empty text when the whole change is applied, or with a description of
            what went wrong.
        """
        on_done = self._without_garbage_collection(change, on_done)
        try:
            if change.settings is not None:
                self._node.apply_settings(change.settings)
            if not change.has_members:  # the configuration of the node's own file
                return on_done("")
            self._start_change(change, on_done)
        except Exception as problem:  # no content of a change may stop the node from serving
            log.exception("control: applying a configuration failed")
            on_done(f"{type(problem).__name__}: {problem}")

    def _without_garbage_collection(
        self, change: Change, on_done: Callable[[str], None]
    ) -> Callable[[str], None]:
        """Disable garbage collection during a long change, and exclude its objects from later collections.

        Members live until a version removes them, and are in no reference cycles. Objects of requests that
        are in a reference cycle when the change ends are never freed: a few for each long change.

        :returns: the function to call in place of `on_done`.
        """
        if sum(map(len, change.rows)) < MIN_LONG_CHANGE:
            return on_done
        gc.disable()

        def enable(problem: str) -> None:
            gc.freeze()
            gc.enable()
            on_done(problem)

        return enable

    def _start_change(self, change: Change, on_done: Callable[[str], None]) -> None:
        """Perform the first phase of a change, and queue the steps of the second."""
        first = self.members is None
        removed = change.removed
        stopped = set(change.stopped)
        if change.complete:
            missing = self._servers_missing_from(change)
            removed = list(batches(missing))
            stopped.update(missing)
        unconfirmed = [server for server in self._draining if server not in stopped]
        self._draining = stopped
        if first:
            self._replace_discovery(change, stopped)
        else:
            self._node.stop_sending(stopped)
        self._queue_steps(change, removed, unconfirmed, on_done)

    def _servers_missing_from(self, change: Change) -> list[int]:
        """Return the known servers that a complete change does not list."""
        known = self._node.known_servers() if self.members is None else self.members
        listed = {row[0] for batch in change.rows for row in batch}
        return [server for server in known if server not in listed]

    def _replace_discovery(self, change: Change, stopped: set[int]) -> None:
        """Make the control service's members the node's servers, in place of the servers of discovery."""
        known = set(self._node.known_servers())
        self._discovered = {s: api.Health.DRAINING for s in known if not self._node.serves(s)}
        self._node.stop_sending(stopped)
        # This list is complete, but has only members that are known already. It tells the balancer that all
        # later lists refer to the servers known now.
        rows = [row for batch in change.rows for row in batch if row[0] in known]
        self.members = {row[0]: member_from(row) for row in rows}
        self._list(list(self.members), complete=True)

    def _queue_steps(
        self, change: Change, removed: list[list[int]], unconfirmed: list[int], on_done: Callable[[str], None]
    ) -> None:
        """Queue the steps of the second phase.

        :param removed: servers that are no longer members, in batches.
        :param unconfirmed: servers with an announced drain that this version does not confirm.
        :param on_done: called when the last step is done.
        """
        problems: list[str] = []
        steps: list[Callable[[], None]] = []
        steps += [functools.partial(self._remove, servers) for servers in removed]
        steps += [functools.partial(self._update, rows) for rows in change.rows]
        steps += [functools.partial(self._list, servers) for servers in batches(unconfirmed)]
        self._steps.extend(functools.partial(_run_guarded, step, problems) for step in steps)
        self._steps.append(lambda: on_done(problems[0] if problems else ""))
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
            except Exception:  # a failed step must not prevent the steps after it
                log.exception("control: listing members failed")
        if self._steps:  # a timer rather than call_soon, so that sockets that became ready are handled first
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
        """List these members for the node, with the health that the control service and discovery report.

        :param complete: whether the list is complete, so that the node removes all other servers.
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
        """Send no new requests to these servers, ahead of the version that drains them."""
        if self.members is None:
            return  # the control service drains only servers that it has listed before
        self._draining.update(servers)
        self._node.stop_sending(servers)
        self._queue_listing(servers)

    def handle_discovery(self, listing: ServerListing) -> bool:
        """Take the health of servers from discovery.

        :returns: False if discovery lists the node's servers, and the list was not used here.
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
            for entry in listing.entries:  # forgets servers that neither discovery nor the service lists
                if entry.health is api.Health.GONE and entry.server not in members:
                    del self._discovered[entry.server]
        self._node.stop_sending(s for s in changed if reported.get(s, IN_SERVICE) is not IN_SERVICE)
        self._queue_listing(changed)
        return True

    def _queue_listing(self, servers: Iterable[int]) -> None:
        self._steps.extend(functools.partial(self._list, batch) for batch in batches(servers))
        if self._steps:
            self._run_steps()


def _run_guarded(step: Callable[[], None], problems: list[str]) -> None:
    """Run a step, unless an earlier step of its change has failed.

    :param problems: descriptions of the failures so far; a failure of this step is appended.
    """
    if problems:
        return
    try:
        step()
    except Exception as problem:
        log.exception("control: applying a configuration failed")
        problems.append(f"{type(problem).__name__}: {problem}")


__all__ = ["BATCH_SIZE", "Members", "NodeInterface"]
