"""Fetching of configurations by a node: the needed revision, the choice of a source, and timeouts.

At its start a node reads the newest revision number, which a controller confirms with a majority, so that the
node does not serve with a configuration that was replaced before. Later revisions are announced in the update
streams, and their texts are fetched over the link by which the announcement came.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from orchidferry.mesh.control.configuration import NO_REVISION
from orchidferry.mesh.control.configuration_text import expand
from orchidferry.mesh.control.controller_connection import ControllerConnection
from orchidferry.mesh.control.update_stream import UpdateStream
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import ConfigurationFetch, ConfigurationText, Revision, RevisionRead

ANSWER_TIMEOUT_S = 0.4  # time after which another controller is asked if the link is stalled
TRANSFER_TIMEOUT_S = 1.5  # time after which another controller is asked although bytes are still arriving
STALL_S = 0.15  # a link is stalled if nothing has been received over it for this time
BEHIND_S = 1.0  # a node that lacks an announced configuration for this time logs it


@dataclass(frozen=True, slots=True)
class PendingFetch:
    """A request that has not been answered.

    :param link: link over which the request was sent.
    :param sent_s: time at which it was sent.
    :param is_read: whether it reads the newest revision number; otherwise it fetches a text.
    :param from_relay: whether it was sent to a relay, which answers only once it has the text itself.
    """

    link: Link
    sent_s: float
    is_read: bool
    from_relay: bool

    def timed_out(self, now: float) -> bool:
        """Return whether to ask another controller: the link is stalled, or the transfer takes too long.

        Other messages of a relay are no sign that it is sending the text.
        """
        stalled = now - self.link.last_received_s > STALL_S or not self.link.open
        stalled = stalled or (self.from_relay and not self.link.receives_message)
        return now > self.sent_s + (ANSWER_TIMEOUT_S if stalled else TRANSFER_TIMEOUT_S)


class ConfigurationFetcher:
    """Fetches the configurations of one node.

    :ivar revision: newest revision that the node has; `NO_REVISION` for none, 0 if no configuration exists.
    :ivar wanted_revision: newest revision that has been announced or read.
    :ivar caught_up: whether the node has a configuration at least as new as any that was acknowledged to an
        operator before the node's start.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        connections: dict[str, ControllerConnection],
        streams: dict[str, UpdateStream],
        on_received: Callable[[int, bytes, bytes], None],
    ) -> None:
        """Create a fetcher without a configuration.

        :param loop: the event loop, for its clock.
        :param rng: chooses among controllers.
        :param connections: the node's connections to controllers, by name.
        :param streams: the node's copies of the controllers' streams, by controller.
        :param on_received: called with the revision, the compressed text and the text of a new configuration.
        """
        self._loop = loop
        self._rng = rng
        self._connections = connections
        self._streams = streams
        self._on_received = on_received
        self.revision = NO_REVISION
        self.wanted_revision = 0
        self.caught_up = False
        self._initial_revision: int | None = None  # the number that was read at the start
        self._last_request = 0
        self._pending: dict[int, PendingFetch] = {}  # by request number
        self._announced_s = 0.0  # time at which the wanted revision was announced
        self._behind_logged = NO_REVISION  # the wanted revision that was logged as missing

    def controller_connected(self, link: Link) -> None:
        """Read the newest revision number over a new link, unless it has been read."""
        if self._initial_revision is None and not self.caught_up:
            self.read_revision(link)

    def disconnected(self, link: Link) -> None:
        """Discard the requests sent over a link that is closed."""
        for request in [request for request, fetch in self._pending.items() if fetch.link is link]:
            del self._pending[request]

    def tick(self, now: float) -> None:
        """Send the next request to a controller, if one is needed and none is pending."""
        self._report_behind(now)
        for request in [request for request, fetch in self._pending.items() if fetch.timed_out(now)]:
            fetch = self._pending.pop(request)
            logger.info(
                "configuration_fetcher: no answer from {} in {:.1f} s: wanted={}",
                fetch.link.peer,
                now - fetch.sent_s,
                "the newest number" if fetch.is_read else self.wanted_revision,
            )
        if self._pending:
            return
        if not self.caught_up and self._initial_revision is None:
            self._ask_controller(self.read_revision)
        elif self.wanted_revision > self.revision:
            self._ask_controller(self._fetch_text)

    def _report_behind(self, now: float) -> None:
        """Log once for each wanted revision that it has not arrived `BEHIND_S` after its announcement."""
        wanted = self.wanted_revision
        is_behind = wanted > max(self.revision, 0) and now - self._announced_s > BEHIND_S
        if not is_behind or wanted == self._behind_logged:
            return
        self._behind_logged = wanted
        logger.warning(
            "configuration_fetcher: behind for {:.1f} s: wanted={} revision={} initial={} pending={}",
            now - self._announced_s,
            wanted,
            self.revision,
            self._initial_revision,
            ",".join(f"{fetch.link.peer}:{now - fetch.sent_s:.1f}s" for fetch in self._pending.values()),
        )

    def _want(self, revision: int) -> None:
        """Note an announced revision."""
        if revision > self.wanted_revision:
            self.wanted_revision = revision
            self._announced_s = self._loop.time()

    def _ask_controller(self, ask: Callable[[Link], None]) -> None:
        connection = self._choose_controller()
        if connection is not None and connection.link is not None:
            ask(connection.link)

    def _choose_controller(self) -> ControllerConnection | None:
        """Choose a connected controller at random, or None if there is none.

        Preferred are controllers that are in contact with a majority and have announced the wanted revision,
        then any that are in contact, then all others.
        """
        now = self._loop.time()
        connected = [one for one in self._connections.values() if one.open_link is not None]
        in_contact = [one for one in connected if one.in_contact(now)] or connected
        informed = [one for one in in_contact if self._has_announced_wanted(one.name)]
        return self._rng.choice(informed or in_contact) if in_contact else None

    def _has_announced_wanted(self, controller: str) -> bool:
        stream = self._streams.get(controller)
        return stream is not None and stream.revision >= self.wanted_revision

    def read_revision(self, link: Link) -> None:
        """Ask a controller for the newest revision number, confirmed by a majority."""
        link.send(RevisionRead(self._register(link, is_read=True)))

    def _fetch_text(self, link: Link) -> None:
        link.send(ConfigurationFetch(self._register(link, is_read=False), self.wanted_revision))

    def _register(self, link: Link, is_read: bool) -> int:
        self._last_request += 1
        from_relay = all(connection.link is not link for connection in self._connections.values())
        self._pending[self._last_request] = PendingFetch(link, self._loop.time(), is_read, from_relay)
        return self._last_request

    def revision_announced(self, revision: int, link: Link) -> None:
        """Fetch a newly announced configuration over the link by which the announcement came."""
        self._want(revision)
        if self.wanted_revision > self.revision and all(fetch.is_read for fetch in self._pending.values()):
            self._fetch_text(link)

    def revision_received(self, link: Link, message: Revision) -> None:
        """Handle the reply to `read_revision`.

        All controllers are asked; the text is fetched from the one that replies first.
        """
        revision = message.revision
        self._pending.pop(message.request, None)
        if revision <= NO_REVISION or self._initial_revision is not None:
            return
        self._initial_revision = revision
        self._want(revision)
        self._pending = {request: fetch for request, fetch in self._pending.items() if not fetch.is_read}
        if revision == 0:  # there is no configuration yet
            self.revision = max(self.revision, revision)
        self._update_caught_up()
        if self.wanted_revision > self.revision and not self._pending:
            self._fetch_text(link)

    def text_received(self, message: ConfigurationText) -> None:
        """Handle the text of a configuration, also after a timeout, as a committed text never changes.

        :raises ValueError: if the text is damaged; it is then fetched again.
        """
        self._pending.pop(message.request, None)
        if message.revision <= max(self.revision, NO_REVISION):
            return
        text = expand(message.text)
        self.revision = message.revision
        self._update_caught_up()
        if message.text:
            self._on_received(message.revision, message.text, text)

    def _update_caught_up(self) -> None:
        if self._initial_revision is not None and self.revision >= self._initial_revision:
            self.caught_up = True
