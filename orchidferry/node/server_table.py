"""The table of known servers, and the notification of the balancer about changes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

from orchidferry.balancing import interface as api
from orchidferry.node.address import Address
from orchidferry.node.server_listing import ServerListing

ENTRIES_PER_EVENT = 64  # entries of a long list per event; the balancer handles them in less than 1 ms


class ServerTable:
    """Addresses and state of the listed servers; a change takes effect here as soon as it is known.

    The balancer may be notified of it later (see `ServerListFeed`). Until then the node does not carry out
    its `Send` actions to servers that are no longer in service.
    """

    def __init__(self, on_removed: Callable[[int], None]) -> None:
        """:param on_removed: called with the id of each server that is no longer listed."""
        self._on_removed = on_removed
        self.addresses: dict[int, Address] = {}  # addresses of all listed servers
        self.h3_addresses: dict[int, Address] = {}  # addresses of servers that support HTTP/3
        self.in_service: set[int] = set()  # the servers that requests may be sent to
        self._incarnations: dict[int, int] = {}
        self._last_incarnation = 0

    def incarnation(self, server: int) -> int:
        """Return a number that is new each time a server is added to the list; 0 if it is not listed."""
        return self._incarnations.get(server, 0)

    def stop_sending(self, servers: Iterable[int]) -> None:
        """Send no new requests to these servers, whatever the balancer decides."""
        self.in_service.difference_update(servers)

    def apply(self, listing: ServerListing, kind: api.ListKind) -> list[int]:
        """Apply a list.

        :returns: the servers that were removed because a complete list does not contain them.
        """
        removed = []
        if kind is not api.ListKind.CHANGES:
            removed = [server for server in self.addresses if server not in listing.addresses]
            for server in removed:
                self._remove(server)
        for entry in listing.entries:
            if entry.health is api.Health.GONE:
                self._remove(entry.server)
            else:
                self._update(entry, listing)
        return removed

    def _update(self, entry: api.ServerEntry, listing: ServerListing) -> None:
        server = entry.server
        if server not in self._incarnations:
            self._last_incarnation += 1
            self._incarnations[server] = self._last_incarnation
        self.addresses[server] = listing.addresses[server]
        if server in listing.h3_addresses:
            self.h3_addresses[server] = listing.h3_addresses[server]
        else:
            self.h3_addresses.pop(server, None)
        if entry.health is api.Health.IN_SERVICE:
            self.in_service.add(server)
        else:
            self.in_service.discard(server)

    def _remove(self, server: int) -> None:
        self.in_service.discard(server)
        self.addresses.pop(server, None)
        self._incarnations.pop(server, None)
        self.h3_addresses.pop(server, None)
        self._on_removed(server)


class ServerListFeed:
    """Passes lists to the balancer; a long one in several events, with requests handled between them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: Callable[[api.Event], None]) -> None:
        self._loop = loop
        self._handle = handle
        self._events: deque[api.ServerList] = deque()
        self.active = False  # whether events of a long list are still being passed on

    def add(self, listing: ServerListing, kind: api.ListKind, removed: list[int]) -> None:
        """Pass a list to the balancer, after the lists that are still queued.

        :param removed: the servers that `ServerTable.apply` returned for this list.
        """
        long = kind is not api.ListKind.SAVED and len(listing.entries) > ENTRIES_PER_EVENT
        if not long and not self._events:
            return self._handle(api.ServerList(kind, listing.index, listing.entries))
        # Servers that drain or are gone come first, as they must get no more requests; the others only add
        # to the balancer's choices.
        entries = [api.ServerEntry(server, health=api.Health.GONE) for server in removed]
        entries += sorted(listing.entries, key=lambda entry: entry.health is api.Health.IN_SERVICE)
        for start in range(0, len(entries), ENTRIES_PER_EVENT):
            part = entries[start : start + ENTRIES_PER_EVENT]
            self._events.append(api.ServerList(api.ListKind.CHANGES, listing.index, part))
        if not self.active:
            self.active = True
            self._pass_on_next()
        return None

    def _pass_on_next(self) -> None:
        if self._events:
            self._handle(self._events.popleft())
            self._loop.call_soon(self._pass_on_next)
        else:
            self.active = False
