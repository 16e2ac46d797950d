"""Publishers of controllers and subscribers of nodes in virtual time, over links that can be cut.

The publisher, subscriber and relay are the production classes (`orchidferry.mesh.control`), and each message
is encoded. Runs with the same seed are identical.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from orchidferry.mesh.control.fanout_tree import HEADS
from orchidferry.mesh.wire.codec import LENGTH_BYTES, decode
from orchidferry.testkit.model.publishing_controller import Controller
from orchidferry.testkit.model.subscribing_node import Node
from orchidferry.testkit.model.virtual_link import LinkEnd
from orchidferry.testkit.model.virtual_process import Process

# One-way delays of messages.
IN_ZONE_S = 0.001
BETWEEN_ZONES_S = 0.0014
CUT_RETRY_S = 0.01  # interval at which a message blocked by a cut is retried
HANDSHAKE_S = 0.002  # time that it takes to establish a link
REFUSED_S = 1.0  # time after which dialling over a cut fails


class World:
    """Controllers (k0 to k2 by default), nodes, and the messages in transit between them."""

    controllers: dict[str, Any]
    nodes: dict[str, Any]

    def __init__(
        self,
        seed: int,
        zones: int,
        heads: int = HEADS,
        checks_members_rarely: bool = False,
        controllers: int = 3,
    ) -> None:
        """Create a `World`.

        :param seed: seed of the random choices
        :param zones: number of zones, over which controllers are spread evenly
        :param heads: number of nodes of each zone that subscribe to a controller directly
        :param checks_members_rarely: whether nodes update their members at intervals, as in a large fleet,
            instead of at each change
        :param controllers: number of controllers
        """
        self.rng = random.Random(seed)
        self.now = 100.0
        self.heads = heads
        self.checks_members_rarely = checks_members_rarely
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._serial = 0
        self._read: tuple[bytes, Any] = (b"", None)
        self.cuts: set[tuple[str, str]] = set()  # blocked directions: (sender, receiver)
        self.zones = zones
        self.controllers = {}
        for n in range(controllers):
            self.controllers[f"k{n}"] = Controller(self, f"k{n}", n % zones)
        self.nodes = {}
        self.recording = False
        # When each change was made, by controller, incarnation and number, and when it reached each node.
        self.change_times_s: dict[tuple[str, int, int], float] = {}
        self.arrival_times_s: dict[tuple[str, int, int], dict[str, float]] = {}

    def at(self, when: float, call: Callable[[], object]) -> None:
        """Schedule a call.

        :param when: virtual time of the call
        """
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, call))

    def run(self, seconds: float) -> None:
        """Advance virtual time, running the calls that are due."""
        until = self.now + seconds
        while self._queue[0][0] <= until:
            when, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            call()
        self.now = until

    def read(self, data: bytes) -> Any:
        """Decode a message; consecutive sends of the same bytes are decoded once."""
        if self._read[0] is not data:
            self._read = (data, decode(data[LENGTH_BYTES:]))
        return self._read[1]

    def retry_later(self, end: LinkEnd, lost: bool) -> None:
        """Retry the oldest message of a link that is blocked by a cut.

        :param end: the sending end of the link
        :param lost: whether the sender has given up the link
        """
        self.at(self.now + CUT_RETRY_S, end.arrive)

    def delay(self, one: Process, other: Process) -> float:
        """Return the one-way delay between two processes in seconds."""
        return IN_ZONE_S if one.zone == other.zone else BETWEEN_ZONES_S

    def start(self, name: str, zone: int) -> Node:
        """Start a node's process, for the first time or after a restart."""
        node = self.nodes[name] = Node(self, name, zone, self.heads)
        return node

    def restart(self, name: str) -> None:
        """Restart a controller: it loses its state, except for the newest configuration."""
        old = self.controllers[name]
        old.kill()
        new = self.controllers[name] = Controller(self, name, int(old.zone[1:]))
        if old.revision:
            new.configuration_decided(old.revision, old.text)

    def dial(
        self,
        owner: Process,
        name: str,
        on_message: Callable[[Any, Any], None],
        on_lost: Callable[[Any], None],
        on_dialled: Callable[[str, LinkEnd | None], None],
    ) -> None:
        """Dial a process.

        :param name: name of the process to dial
        :param on_message: called with the link end and each message received
        :param on_lost: called with the link end when the link has ended
        :param on_dialled: called with the name and the new link end; None if the process is down or
            unreachable
        """

        def established() -> None:
            there: Process | None = self.controllers.get(name) or self.nodes.get(name)
            if there is None or not there.alive or not owner.alive:
                return owner.run(lambda: on_dialled(name, None))
            if self.cuts & {(owner.name, name), (name, owner.name)}:
                return self.at(self.now + REFUSED_S, lambda: owner.run(lambda: on_dialled(name, None)))
            here = LinkEnd(owner, on_message, on_lost)
            far = LinkEnd(there, there.received, there.disconnected)
            here.other = far
            far.other = here
            there.run(lambda: there.accept(far))
            owner.run(lambda: on_dialled(name, here))
            return None

        self.at(self.now + HANDSHAKE_S, established)

    def record_changes(self) -> None:
        """Record from now on when changes are made and when they reach nodes."""
        self.recording = True
        self.change_times_s.clear()
        self.arrival_times_s.clear()
        for controller in self.controllers.values():
            controller.recorded_number = controller.stream.number
        for node in self.nodes.values():
            for stream in node.subscriber.streams.values():
                node.seen_numbers[stream.controller, stream.incarnation] = stream.number

    def stream_changed(self, controller: Controller) -> None:
        """Record the newest change of a controller's stream, if there is a new one."""
        stream = controller.stream
        if self.recording and stream.number > controller.recorded_number:
            self.change_times_s[stream.controller, stream.incarnation, stream.number] = self.now
            controller.recorded_number = stream.number

    def updates_arrived(self, node: Node) -> None:
        """Record the changes that a node has received."""
        if not self.recording:
            return
        for stream in node.subscriber.streams.values():
            seen = node.seen_numbers.get((stream.controller, stream.incarnation), stream.number - 1)
            node.seen_numbers[stream.controller, stream.incarnation] = stream.number
            for number in range(seen + 1, stream.number + 1):
                key = (stream.controller, stream.incarnation, number)
                self.arrival_times_s.setdefault(key, {})[node.name] = self.now
