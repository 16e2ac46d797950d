"""From which controllers a node reads the newest revision and fetches the configuration."""

from __future__ import annotations

from typing import Any, cast

import pytest
from loguru import logger

from orchidferry.mesh.control.configuration_fetcher import ANSWER_TIMEOUT_S, TRANSFER_TIMEOUT_S
from orchidferry.mesh.control.contact import CONTACT_S
from orchidferry.mesh.control.control_client import TICK_S, ControlClient
from orchidferry.mesh.settings import parse_settings
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Lease,
    Message,
    Revision,
    RevisionRead,
)
from tests.mesh.examples import SETTINGS_TABLES
from tests.mesh.fakes import Loop

NAMES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")  # controllers


ISOLATED_MS = round(1e3 * CONTACT_S)  # age of the last contact of a controller that is out of contact


class FakeLink:
    """A node's end of a link to a controller; records the messages that the node sends."""

    def __init__(self, loop: Any, peer: str) -> None:
        self.loop, self.peer, self.open, self.last_received_s = loop, peer, True, loop.time()
        self.receives_message = False
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def requests(self) -> list[RevisionRead | ConfigurationFetch]:
        """Return the requests for the revision or the configuration."""
        return [m for m in self.sent if isinstance(m, RevisionRead | ConfigurationFetch)]

    def close(self) -> None:
        self.open = False


class ConnectedNode:
    """One node with links to the given controllers."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.loop = cast(Any, Loop())
        self.texts: list[tuple[int, bytes]] = []
        settings = parse_settings(SETTINGS_TABLES)
        self.node = ControlClient(
            settings, self.loop, lambda members: None, lambda n, raw: self.texts.append((n, raw))
        )
        self.node._connections.clear()
        self.node.set_seeds(names)
        self.links = {name: FakeLink(self.loop, name) for name in names}
        for name, controller in self.node._connections.items():
            link: Any = self.links[name]
            controller.link = link
            self.node._subscriber.controller_connected(name, link)

    def receive(self, name: str, message: Message) -> None:
        """Deliver a message from a controller to the node."""
        link: Any = self.links[name]
        link.last_received_s = self.loop.time()
        self.node._handle(link, message)

    def renew_lease(self, name: str, age_ms: int | None, revision: int = 0) -> None:
        """Deliver a controller's reply to a lease renewal; the controller has announced a revision.

        :param age_ms: time since the controller was in contact with a majority; None for never
        """
        self.receive(name, Lease(1, True, True, 7, 0, age_ms))
        self.node._subscriber.streams[name].revision = revision

    def ticks(self, count: int) -> None:
        """Let time pass, in ticks of the node."""
        for _ in range(count):
            self.loop.pass_ms(1e3 * TICK_S)


def test_a_node_that_reaches_only_an_isolated_controller_gets_no_configuration() -> None:
    harness = ConnectedNode(NAMES[:1])
    harness.node.start()
    for _ in range(100):
        harness.renew_lease(NAMES[0], ISOLATED_MS, 5)
        for request in harness.links[NAMES[0]].requests()[-1:]:
            harness.receive(NAMES[0], Revision(request.request, -1))
        harness.ticks(1)
    assert {type(message) for message in harness.links[NAMES[0]].requests()} == {RevisionRead}
    assert not harness.node.has_initial_configuration and not harness.texts


def read_revision(harness: ConnectedNode) -> list[int]:
    """Send the requests that a starting node sends over each new link; return their numbers."""
    for link in harness.links.values():
        harness.node._fetcher.read_revision(cast(Any, link))
    return [harness.links[name].requests()[0].request for name in NAMES]


def test_a_starting_node_reads_the_revision_everywhere_and_fetches_the_text_once() -> None:
    """Each controller sent the node the complete text."""
    harness = ConnectedNode(NAMES)
    numbers = read_revision(harness)
    harness.receive(NAMES[1], Revision(numbers[1], 5))
    harness.receive(NAMES[0], Revision(numbers[0], 5))
    assert [[type(request) for request in harness.links[name].requests()] for name in NAMES] == [
        [RevisionRead],
        [RevisionRead, ConfigurationFetch],
        [RevisionRead],
    ]
    assert not harness.node.has_initial_configuration
    harness.receive(NAMES[1], ConfigurationText(harness.links[NAMES[1]].requests()[1].request, 5, b"text"))
    assert harness.node.has_initial_configuration and harness.texts == [(5, b"text")]


def test_a_text_older_than_the_revision_read_is_not_enough() -> None:
    """The controller that sent the number has failed, and another one does not know that revision yet."""
    harness = ConnectedNode(NAMES)
    numbers = read_revision(harness)
    harness.receive(NAMES[0], Revision(numbers[0], 5))
    harness.node._controller_disconnected(cast(Any, harness.links[NAMES[0]]))
    harness.node._connections[NAMES[0]].dialling = True
    for name in NAMES[1:]:
        harness.renew_lease(name, 100)
    for revision, enough in ((4, False), (5, True)):
        harness.node._tick()
        last = {name: harness.links[name].requests()[-1] for name in NAMES[1:]}
        fetches = {name: request for name, request in last.items() if isinstance(request, ConfigurationFetch)}
        name = max(fetches, key=lambda name: fetches[name].request)
        harness.receive(name, ConfigurationText(fetches[name].request, revision, b"text"))
        assert harness.node.has_initial_configuration is enough


def test_without_a_configuration_the_revision_alone_is_enough() -> None:
    harness = ConnectedNode(NAMES)
    numbers = read_revision(harness)
    harness.receive(NAMES[2], Revision(numbers[2], 0))
    assert harness.node.has_initial_configuration and not harness.texts
    assert all(len(link.requests()) == 1 for link in harness.links.values())


@pytest.mark.parametrize("age_ms", [ISOLATED_MS, None])
def test_a_controller_out_of_contact_is_not_asked_while_another_is_in_contact(age_ms: int | None) -> None:
    harness = ConnectedNode(NAMES)
    harness.node._fetcher.caught_up = True
    harness.node._fetcher.wanted_revision = 6
    for number, name in enumerate(NAMES):
        harness.renew_lease(name, age_ms if not number else 100, 5 + number)
    for _ in range(40):
        assert harness.node._fetcher._choose_controller().name in NAMES[1:]  # type: ignore[union-attr]
    harness.node._fetcher.wanted_revision = 7  # only the third has announced it
    assert {harness.node._fetcher._choose_controller().name for _ in range(40)} == {NAMES[2]}  # type: ignore[union-attr]
    harness.ticks(1)
    harness.node._tick()
    assert [len(harness.links[name].requests()) for name in NAMES] == [0, 0, 1]


def test_a_late_text_is_taken_and_not_fetched_again_while_it_arrives() -> None:
    """A text that took over 0.4 s was discarded and fetched again, so none ever arrived over a full link."""
    harness = ConnectedNode(NAMES[:2])
    harness.node._fetcher.caught_up = True
    first: Any = harness.links[NAMES[0]]
    harness.node._fetcher.revision_announced(3, first)
    requests = first.requests()
    began_s = harness.loop.time()
    harness.node.start()
    while harness.loop.time() < began_s + TRANSFER_TIMEOUT_S - TICK_S:
        first.last_received_s = harness.loop.time()  # bytes of the text are arriving
        harness.links[NAMES[1]].last_received_s = harness.loop.time()
        harness.ticks(1)
        assert first.requests() == requests and not harness.links[NAMES[1]].requests()
    harness.ticks(3)
    assert len(first.requests()) + len(harness.links[NAMES[1]].requests()) > 1  # the transfer has timed out
    harness.receive(NAMES[0], ConfigurationText(requests[0].request, 3, b"text"))
    assert harness.texts == [(3, b"text")]


def test_the_text_is_fetched_elsewhere_if_a_controller_is_silent() -> None:
    harness = ConnectedNode(NAMES[:2])
    harness.node._fetcher.caught_up = True
    first: Any = harness.links[NAMES[0]]
    harness.renew_lease(NAMES[1], 100, 3)
    harness.node._fetcher.revision_announced(3, first)
    harness.node.start()
    for _ in range(round((ANSWER_TIMEOUT_S + 2 * TICK_S) / TICK_S)):
        harness.links[NAMES[1]].last_received_s = harness.loop.time()
        harness.ticks(1)
    assert len(harness.links[NAMES[1]].requests()) == 1


@pytest.mark.parametrize("text_arrives", [False, True])
def test_the_text_is_fetched_elsewhere_if_a_relay_holds_it_back(text_arrives: bool) -> None:
    """News of a relay counted as signs of the text, so 1.5 s of the 2 s for a configuration were over."""
    harness = ConnectedNode(NAMES[:1])
    harness.node._fetcher.caught_up = True
    harness.renew_lease(NAMES[0], 100, 3)
    relay: Any = FakeLink(harness.loop, "sidecar-a-1")
    relay.receives_message = text_arrives
    harness.node._fetcher.revision_announced(3, relay)
    harness.node.start()
    for _ in range(round((ANSWER_TIMEOUT_S + 2 * TICK_S) / TICK_S)):
        relay.last_received_s = harness.links[NAMES[0]].last_received_s = harness.loop.time()
        harness.ticks(1)
    assert len(harness.links[NAMES[0]].requests()) == (0 if text_arrives else 1)
    harness.node._handle_parent(relay, ConfigurationText(relay.requests()[0].request, 3, b"text"))
    assert harness.texts == [(3, b"text")]


def test_only_an_announced_revision_that_does_not_come_is_logged_as_missing() -> None:
    """A node that had just started was logged as behind, although nothing had been announced."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    try:
        harness = ConnectedNode(NAMES[:1])
        harness.node._fetcher.caught_up = True
        harness.node.start()
        harness.ticks(13)
        assert not [line for line in lines if "behind" in line]
        harness.node._fetcher.revision_announced(3, cast(Any, harness.links[NAMES[0]]))
        harness.renew_lease(NAMES[0], 100, 3)
        harness.ticks(13)
        assert len([line for line in lines if "wanted=3 revision=-1" in line]) == 1
    finally:
        logger.remove(sink)
