"""Members as the control service has them, in a node that serves.

A change counts in two moments. At once: the settings, and that nothing new goes to what drains, is gone or
is not there any more. Then, in steps of under a millisecond with requests between them, the rest: it only
adds to what the module may choose from. Drains told ahead of a version, and discovery's word of a process,
hold through all of it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import logging
from collections import deque
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Member
from orchidferry.balancing.configuration_checks import merged
from orchidferry.node.control.pipe import STEP, Change, Row, steps
from orchidferry.node.control.plain import member_from, member_row
from orchidferry.node.server_listing import ServerListing

IN_SERVICE = api.Health.IN_SERVICE
LONG = 1_000  # rows of a change: a collection of what fewer make takes under 1 ms

log = logging.getLogger("orchidferry")


class Home(Protocol):
    """The node, as far as members matter to it."""

    def known_servers(self) -> Collection[int]: ...  # the servers that it knows
    def serves(self, server: int) -> bool: ...  # whether one of them may be sent to
    def apply_settings(self, settings: api.Settings) -> None: ...
    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None: ...
    def stop_sending(self, servers: Iterable[int]) -> None: ...


class Members:
    """The members of a node's pool, and what is still to be told of them."""

    def __init__(self, home: Home, loop: asyncio.AbstractEventLoop) -> None:
        self._home = home
        self._loop = loop
        self.members: dict[int, Member] | None = None  # None: discovery has the say
        self._heard: dict[int, api.Health] = {}  # discovery's word, also of those that may be members later
        self._ahead: set[int] = set()  # get nothing new, by a version that is not (wholly) listed yet
        self._work: deque[Callable[[], None]] = deque()  # steps that are still to be done
        self._pumping = False
        self.idle = asyncio.Event()  # whether nothing is left to be done
        self.idle.set()

    def rows(self) -> Iterable[list[Row]]:
        """All members, in steps."""
        return steps(map(member_row, list((self.members or {}).values())))

    def apply(self, change: Change, done: Callable[[str], None]) -> None:
        """Make this change; `done` gets a problem, or '' once all of it counts."""
        done = self._hold_collections(change, done)
        try:
            if change.settings is not None:
                self._home.apply_settings(change.settings)
            if not change.members:  # the node's own file names none
                return done("")
            self._begin(change, done)
        except Exception as broken:  # whatever is in it, the node serves on
            log.exception("applying a configuration")
            done(f"{type(broken).__name__}: {broken}")

    def _hold_collections(self, change: Change, done: Callable[[str], None]) -> Callable[[str], None]:
        """Keep the collector from looking at what a long list makes, now and in each later full collection.

        Members live until a version drops them, and hold no cycles. What happens to be in one just then, of
        requests under way, is kept for good: some objects a long list.
        """
        if sum(map(len, change.rows)) < LONG:
            return done
        gc.disable()

        def end(problem: str) -> None:
            gc.freeze()
            gc.enable()
            done(problem)

        return end

    def _begin(self, change: Change, done: Callable[[str], None]) -> None:
        problems: list[str] = []
        first = self.members is None
        known = self.members or {}
        gone, away = change.gone, set(change.away)
        if change.whole:
            mentioned = {row[0] for step in change.rows for row in step}
            left = [
                server
                for server in (self._home.known_servers() if first else known)
                if server not in mentioned
            ]
            gone = list(steps(left))
            away.update(left)
        stale = [server for server in self._ahead if server not in away]
        self._ahead = away
        self.members = known
        held = set(self._home.known_servers()) if first else set()
        if first:  # whom discovery drains it goes on draining
            self._heard = {s: api.Health.DRAINING for s in held if not self._home.serves(s)}
        self._home.stop_sending(away)
        if first:  # the module learns that from here on all lists are of what it knows now
            rows = [row for step in change.rows for row in step if row[0] in held]
            self.members = {row[0]: member_from(row) for row in rows}
            self._list(list(self.members), whole=True)

        def guarded(step: Callable[[], None]) -> Callable[[], None]:
            def work() -> None:
                if problems:
                    return
                try:
                    step()
                except Exception as broken:
                    log.exception("applying a configuration")
                    problems.append(f"{type(broken).__name__}: {broken}")

            return work

        for servers in gone:
            self._work.append(guarded(lambda servers=servers: self._remove(servers)))  # type: ignore[misc]
        for rows in change.rows:
            self._work.append(guarded(lambda rows=rows: self._take(rows)))  # type: ignore[misc]
        for servers in steps(stale):  # a drain whose version never came to be applied
            self._work.append(guarded(lambda servers=servers: self._list(servers)))  # type: ignore[misc]
        self._work.append(lambda: done(problems[0] if problems else ""))
        self._pump()

    def _pump(self) -> None:
        if not self._pumping:
            self._pumping = True
            self.idle.clear()
            self._loop.call_later(0.0, self._step)

    def _step(self) -> None:
        if self._work:
            try:
                self._work.popleft()()
            except Exception:  # what comes after it is done all the same
                log.exception("listing members")
        if self._work:  # a timer, not call_soon: what has come on sockets meanwhile goes first
            self._loop.call_later(0.0, self._step)
        else:
            self._pumping = False
            self.idle.set()

    def _remove(self, servers: list[int]) -> None:
        assert self.members is not None
        for server in servers:
            self.members.pop(server, None)
            self._ahead.discard(server)
        entries = [api.ServerEntry(server, health=api.Health.GONE) for server in servers]
        self._home.apply_listing(ServerListing(0, False, entries, {}), api.ListKind.CHANGES)

    def _take(self, rows: list[Row]) -> None:
        assert self.members is not None
        members = [member_from(row) for row in rows]
        for member in members:
            self.members[member.entry.server] = member
            self._ahead.discard(member.entry.server)
        self._list([member.entry.server for member in members])

    def _list(self, servers: list[int], whole: bool = False) -> None:
        """List these members as they are now by service and discovery; `whole`: and no others."""
        members = self.members or {}
        known = [members[server] for server in servers if server in members]
        entries = merged(known, self._heard)
        for at, entry in enumerate(entries):
            if entry.server in self._ahead and entry.health is IN_SERVICE:
                entries[at] = dataclasses.replace(entry, health=api.Health.DRAINING)
        addresses = {member.entry.server: member.address for member in known}
        kind = api.ListKind.FULL if whole else api.ListKind.CHANGES
        self._home.apply_listing(ServerListing(0, whole, entries, addresses), kind)

    def drain(self, servers: list[int]) -> None:
        """Send nothing new to these, before the version that says so is applied."""
        if self.members is None:
            return  # nothing is drained that the service has not named
        self._ahead.update(servers)
        self._home.stop_sending(servers)
        self._relist(servers)

    def hear(self, listing: ServerListing) -> bool:
        """Discovery's word of processes; False if members are its to name."""
        if self.members is None:
            return False
        members = self.members
        told = {entry.server: entry.health for entry in listing.entries}
        if listing.complete:
            changed = [s for s in members if self._heard.get(s) != told.get(s)]
            self._heard = told
        else:
            changed = [s for s, health in told.items() if s in members and self._heard.get(s) != health]
            self._heard |= told
            for entry in listing.entries:  # of those that are neither's any more nothing is kept
                if entry.health is api.Health.GONE and entry.server not in members:
                    del self._heard[entry.server]
        self._home.stop_sending(s for s in changed if told.get(s, IN_SERVICE) is not IN_SERVICE)
        self._relist(changed)
        return True

    def _relist(self, servers: Iterable[int]) -> None:
        for some in steps(servers):
            self._work.append(lambda some=some: self._list(some))  # type: ignore[misc]
        if self._work:
            self._pump()


__all__ = ["STEP", "Home", "Members"]
