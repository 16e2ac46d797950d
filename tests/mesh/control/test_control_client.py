"""A node that reaches an isolated controller among others, or that one alone."""

from __future__ import annotations

from typing import Any, cast

import pytest

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

NAMES = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


AGE_MS = round(1e3 * CONTACT_S)


class Wire:
    """A node's end of a link to a controller; notes what is sent."""

    def __init__(self, loop: Any, peer: str) -> None:
        self.loop, self.peer, self.open, self.last_received_s = loop, peer, True, loop.time()
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def asked(self) -> list[RevisionRead | ConfigurationFetch]:
        """What was asked of the configuration."""
        return [m for m in self.sent if isinstance(m, RevisionRead | ConfigurationFetch)]

    def close(self) -> None:
        self.open = False


class Rig:
    """One node with links to these controllers."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self.loop = cast(Any, Loop())
        self.texts: list[tuple[int, bytes]] = []
        settings = parse_settings(SETTINGS_TABLES)
        self.node = ControlClient(
            settings, self.loop, lambda members: None, lambda n, raw: self.texts.append((n, raw))
        )
        self.node._connections.clear()
        self.node.set_seeds(names)
        self.wires = {name: Wire(self.loop, name) for name in names}
        for name, controller in self.node._connections.items():
            wire: Any = self.wires[name]
            controller.link = wire
            self.node._subscriber.controller_connected(name, wire)

    def tell(self, name: str, message: Message) -> None:
        """A controller's message comes."""
        wire: Any = self.wires[name]
        wire.last_received_s = self.loop.time()
        self.node._handle(wire, message)

    def lease(self, name: str, age_ms: int | None, revision: int = 0) -> None:
        """A controller answers a renewal, and has told of this revision."""
        self.tell(name, Lease(1, True, True, 7, 0, age_ms))
        self.node._subscriber.streams[name].revision = revision

    def ticks(self, count: int) -> None:
        """Time passes; all controllers show that they live."""
        for _ in range(count):
            self.loop.pass_ms(1e3 * TICK_S)


def test_a_node_that_reaches_only_an_isolated_controller_gets_no_configuration() -> None:
    rig = Rig(NAMES[:1])
    rig.node.start()
    for _ in range(100):
        rig.lease(NAMES[0], AGE_MS, 5)
        for asked in rig.wires[NAMES[0]].asked()[-1:]:
            rig.tell(NAMES[0], Revision(asked.request, -1))
        rig.ticks(1)
    assert {type(message) for message in rig.wires[NAMES[0]].asked()} == {RevisionRead}
    assert not rig.node.has_initial_configuration and not rig.texts


def read_everywhere(rig: Rig) -> list[int]:
    """What a node asks on each new link at its start; the numbers of its questions."""
    for wire in rig.wires.values():
        rig.node._fetcher.read_revision(cast(Any, wire))
    return [rig.wires[name].asked()[0].request for name in NAMES]


def test_a_starting_node_reads_the_revision_everywhere_and_fetches_the_text_once() -> None:
    """Each of the controllers sent it the whole text."""
    rig = Rig(NAMES)
    rids = read_everywhere(rig)
    rig.tell(NAMES[1], Revision(rids[1], 5))
    rig.tell(NAMES[0], Revision(rids[0], 5))
    assert [[type(asked) for asked in rig.wires[name].asked()] for name in NAMES] == [
        [RevisionRead],
        [RevisionRead, ConfigurationFetch],
        [RevisionRead],
    ]
    assert not rig.node.has_initial_configuration
    rig.tell(NAMES[1], ConfigurationText(rig.wires[NAMES[1]].asked()[1].request, 5, b"text"))
    assert rig.node.has_initial_configuration and rig.texts == [(5, b"text")]


def test_a_text_older_than_the_revision_read_is_not_enough() -> None:
    """The controller that told the number is gone, and another one has not heard of that revision."""
    rig = Rig(NAMES)
    rids = read_everywhere(rig)
    rig.tell(NAMES[0], Revision(rids[0], 5))
    rig.node._controller_disconnected(cast(Any, rig.wires[NAMES[0]]))
    rig.node._connections[NAMES[0]].dialling = True
    for name in NAMES[1:]:
        rig.lease(name, 100)
    for revision, settled in ((4, False), (5, True)):
        rig.node._tick()
        last = {name: rig.wires[name].asked()[-1] for name in NAMES[1:]}
        fetches = {name: asked for name, asked in last.items() if isinstance(asked, ConfigurationFetch)}
        name = max(fetches, key=lambda name: fetches[name].request)
        rig.tell(name, ConfigurationText(fetches[name].request, revision, b"text"))
        assert rig.node.has_initial_configuration is settled


def test_without_a_configuration_the_revision_alone_is_enough() -> None:
    rig = Rig(NAMES)
    rids = read_everywhere(rig)
    rig.tell(NAMES[2], Revision(rids[2], 0))
    assert rig.node.has_initial_configuration and not rig.texts
    assert all(len(wire.asked()) == 1 for wire in rig.wires.values())


@pytest.mark.parametrize("age_ms", [AGE_MS, None])
def test_a_controller_out_of_contact_is_not_asked_while_another_is_in_contact(age_ms: int | None) -> None:
    rig = Rig(NAMES)
    rig.node._fetcher.caught_up = True
    rig.node._fetcher.wanted_revision = 6
    for number, name in enumerate(NAMES):
        rig.lease(name, age_ms if not number else 100, 5 + number)
    for _ in range(40):
        assert rig.node._fetcher._choose_controller().name in NAMES[1:]  # type: ignore[union-attr]
    rig.node._fetcher.wanted_revision = 7  # only the third has told of it
    assert {rig.node._fetcher._choose_controller().name for _ in range(40)} == {NAMES[2]}  # type: ignore[union-attr]
    rig.ticks(1)
    rig.node._tick()
    assert [len(rig.wires[name].asked()) for name in NAMES] == [0, 0, 1]


def test_a_late_text_is_taken_and_not_fetched_again_while_it_arrives() -> None:
    """It was thrown away after 0.4 s and asked for again: over a full link no text ever arrived."""
    rig = Rig(NAMES[:2])
    rig.node._fetcher.caught_up = True
    first: Any = rig.wires[NAMES[0]]
    rig.node._fetcher.revision_announced(3, first)
    asked = first.asked()
    began_s = rig.loop.time()
    rig.node.start()
    while rig.loop.time() < began_s + TRANSFER_TIMEOUT_S - TICK_S:
        first.last_received_s = rig.loop.time()  # bytes of it
        rig.wires[NAMES[1]].last_received_s = rig.loop.time()
        rig.ticks(1)
        assert first.asked() == asked and not rig.wires[NAMES[1]].asked()
    rig.ticks(3)
    assert len(first.asked()) + len(rig.wires[NAMES[1]].asked()) > 1  # it has taken too long
    rig.tell(NAMES[0], ConfigurationText(asked[0].request, 3, b"text"))
    assert rig.texts == [(3, b"text")]


def test_a_silent_controller_is_not_waited_for() -> None:
    rig = Rig(NAMES[:2])
    rig.node._fetcher.caught_up = True
    first: Any = rig.wires[NAMES[0]]
    rig.lease(NAMES[1], 100, 3)
    rig.node._fetcher.revision_announced(3, first)
    rig.node.start()
    for _ in range(round((ANSWER_TIMEOUT_S + 2 * TICK_S) / TICK_S)):
        rig.wires[NAMES[1]].last_received_s = rig.loop.time()
        rig.ticks(1)
    assert len(rig.wires[NAMES[1]].asked()) == 1
