"""The content of heartbeats, their receivers, and the acknowledgements that count."""

from __future__ import annotations

import random
from typing import Any, cast

import pytest

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.heartbeats import MAX_CONTROLLERS, MAX_UNACKNOWLEDGED, Heartbeats
from orchidferry.mesh.control.peers import DEAD_S, Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.wire.messages import Heartbeat, HeartbeatAck
from tests.mesh.control.fakes import RecordingLink
from tests.mesh.fakes import Loop


class Links:
    """Fake links to other controllers, all of them open."""

    def __init__(self, *links: RecordingLink) -> None:
        self.links = links

    def open_links(self) -> list[Any]:
        return list(self.links)


class Scene:
    """The `Heartbeats` of controller "a", with a link to one other controller."""

    def __init__(self) -> None:
        self.loop = cast(Any, Loop())
        self.peers = Peers(self.loop.time())
        self.link = cast(Any, RecordingLink())
        self.link.last_received_s = self.loop.time()
        genesis = shard_state.genesis(("a", "b", "c"))
        self.shards = {
            number: Shard(
                ShardParameters(number, "a", genesis, 3, 60.0, 10),
                AcceptorState(shard_state.FOUNDER_DISK_ID),
                number != 2,
                self.peers,
                random.Random(1),
            )
            for number in shard_state.SHARDS
        }
        links: Any = Links(self.link)
        self.heartbeats = Heartbeats("a", self.shards, self.peers, links, self.loop)


def test_a_heartbeat_reports_fitness_stopping_and_missing_shards() -> None:
    scene = Scene()
    scene.peers.fit = False
    scene.peers.stopping = True
    scene.heartbeats.send()
    versions = [shard.known.version for shard in scene.shards.values()]
    assert scene.link.sent == [Heartbeat("a", 1, False, versions, True, [2])]


def test_a_link_that_was_silent_for_too_long_is_closed() -> None:
    scene = Scene()
    scene.loop.pass_ms(1e3 * DEAD_S)
    scene.heartbeats.send()
    assert len(scene.link.sent) == 1 and not scene.link.closed
    scene.loop.pass_ms(1.0)
    scene.heartbeats.send()
    assert len(scene.link.sent) == 1 and scene.link.closed


@pytest.mark.parametrize("later", [MAX_UNACKNOWLEDGED - 1, MAX_UNACKNOWLEDGED])
def test_an_acknowledgement_counts_from_when_its_heartbeat_was_sent(later: int) -> None:
    scene = Scene()
    sent_s = scene.loop.time()
    scene.heartbeats.send()
    for _ in range(later):
        scene.loop.pass_ms(1.0)
        scene.heartbeats.send()
    scene.heartbeats.acknowledged(HeartbeatAck("b", 1, [0] * len(scene.shards)))
    remembered = {"b": sent_s} if later < MAX_UNACKNOWLEDGED else {}
    assert scene.peers.contact.acknowledged == remembered


def test_a_received_heartbeat_is_acknowledged_and_updates_the_state_of_its_sender() -> None:
    scene = Scene()
    versions = [0] * len(scene.shards)
    scene.heartbeats.receive(scene.link, Heartbeat("b", 7, False, versions, True, [1]))
    tokens = [shard.accepted_fencing_token for shard in scene.shards.values()]
    assert scene.link.sent == [HeartbeatAck("a", 7, tokens)]
    peers = scene.peers
    assert (peers.unfit, peers.leaving, peers.learning) == ({"b"}, {"b"}, {"b": (1,)})
    assert peers.heard_s == {"b": scene.loop.time()}
    scene.heartbeats.receive(scene.link, Heartbeat("b", 8, True, versions, False, []))
    assert (peers.unfit, peers.leaving, peers.learning) == (set(), set(), {"b": ()})


def test_the_number_of_remembered_controllers_is_limited() -> None:
    scene = Scene()
    for number in range(MAX_CONTROLLERS + 1):
        scene.loop.pass_ms(1.0)
        heartbeat = Heartbeat(f"c{number}", 1, True, [0] * len(scene.shards), False, [])
        scene.heartbeats.receive(scene.link, heartbeat)
    assert len(scene.peers.heard_s) == MAX_CONTROLLERS and "c0" not in scene.peers.heard_s
    assert scene.peers.learning.keys() == scene.peers.heard_s.keys()
