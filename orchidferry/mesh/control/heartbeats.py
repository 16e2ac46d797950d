"""A controller's heartbeats: sending them, their acknowledgements, and receiving those of others."""

from __future__ import annotations

import asyncio

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.controller_links import ControllerLinks
from orchidferry.mesh.control.peers import DEAD_S, Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import Heartbeat, HeartbeatAck

HEARTBEAT_INTERVAL_S = 0.4
MAX_UNACKNOWLEDGED = 16  # newest heartbeats that can still be acknowledged
MAX_CONTROLLERS = 64  # other controllers whose last heartbeat is remembered


class Heartbeats:
    """Sends and receives heartbeats; owners' leases and contact depend on their acknowledgements."""

    def __init__(
        self,
        name: str,
        shards: dict[int, Shard],
        peers: Peers,
        links: ControllerLinks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a `Heartbeats`.

        :param name: name of this controller.
        :param shards: this controller's shards, by number.
        :param peers: state of the other controllers as observed here; updated by each received heartbeat.
        :param links: this controller's links to the others.
        :param loop: the event loop.
        """
        self._name = name
        self._shards = shards
        self._peers = peers
        self._links = links
        self._loop = loop
        self._number = 0
        self._sent_s: dict[int, float] = {}  # sending time by number of the heartbeat

    def send(self) -> None:
        """Send a heartbeat to each linked controller; close links that were silent for over `DEAD_S`.

        Controllers that are not voters get heartbeats too: they need to know who is dead and who is leaving.
        """
        now = self._loop.time()
        self._number += 1
        self._sent_s[self._number] = now
        if len(self._sent_s) > MAX_UNACKNOWLEDGED:
            del self._sent_s[next(iter(self._sent_s))]
        heartbeat = Heartbeat(
            name=self._name,
            number=self._number,
            eligible=self._peers.fit,
            versions=[self._shards[n].known.version for n in shard_state.SHARDS],
            leaving=self._peers.stopping,
            missing_shards=[n for n in shard_state.SHARDS if not self._shards[n].has_learned(now)],
        )
        for link in self._links.open_links():
            if now - link.last_received_s > DEAD_S:
                link.close()
            else:
                link.send(heartbeat)

    def receive(self, link: Link, heartbeat: Heartbeat) -> None:
        """Record and acknowledge another controller's heartbeat."""
        self._update_peer(heartbeat)
        fencing_tokens = [shard.accepted_fencing_token for shard in self._shards.values()]
        link.send(HeartbeatAck(self._name, heartbeat.number, fencing_tokens))

    def _update_peer(self, heartbeat: Heartbeat) -> None:
        peers = self._peers
        name = heartbeat.name
        if name not in peers.heard_s and len(peers.heard_s) >= MAX_CONTROLLERS:
            oldest = min(peers.heard_s, key=lambda n: peers.heard_s[n])
            del peers.heard_s[oldest]
            peers.learning.pop(oldest, None)
        peers.heard_s[name] = self._loop.time()
        (peers.unfit.discard if heartbeat.eligible else peers.unfit.add)(name)
        (peers.leaving.add if heartbeat.leaving else peers.leaving.discard)(name)
        peers.learning[name] = tuple(heartbeat.missing_shards)

    def acknowledged(self, ack: HeartbeatAck) -> None:
        """Record the acknowledgement of a heartbeat of this controller, which extends contact and leases."""
        sent_s = self._sent_s.get(ack.number)
        if sent_s is not None:
            for shard, fencing_token in zip(self._shards.values(), ack.fencing_tokens, strict=True):
                shard.heartbeat_acknowledged(ack.name, sent_s, fencing_token)
