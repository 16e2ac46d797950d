"""A controller's heartbeats: those that it sends, their acknowledgements, and those that it receives."""

from __future__ import annotations

import asyncio

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.controller_links import ControllerLinks
from orchidferry.mesh.control.peers import DEAD_S, Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import Heartbeat, HeartbeatAck

HEARTBEAT_INTERVAL_S = 0.4
MAX_UNACKNOWLEDGED = 16  # heartbeats whose acknowledgement still counts
MAX_CONTROLLERS = 64  # of which heartbeats are remembered


class Heartbeats:
    """Sends and receives heartbeats. Leases of singleton roles and contact rest on their acknowledgement."""

    def __init__(
        self,
        name: str,
        shards: dict[int, Shard],
        peers: Peers,
        links: ControllerLinks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Make it.

        :param name: of this controller.
        :param peers: what is known of the others; updated by each heartbeat that is received.
        """
        self._name = name
        self._shards = shards
        self._peers = peers
        self._links = links
        self._loop = loop
        self._number = 0
        self._sent_s: dict[int, float] = {}  # by number of the heartbeat

    def send(self) -> None:
        """Send a heartbeat to all controllers, and close the links to those that have been silent for long.

        Controllers without a vote get it too: they need to know who is dead and who leaves.
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
        """Note and acknowledge another controller's heartbeat."""
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
        """A heartbeat of this controller has been acknowledged: its shards' leases run on."""
        sent_s = self._sent_s.get(ack.number)
        if sent_s is not None:
            for shard, fencing_token in zip(self._shards.values(), ack.fencing_tokens, strict=True):
                shard.heartbeat_acknowledged(ack.name, sent_s, fencing_token)
