"""A fleet in virtual time: the production membership protocol of each node over a network with faults.

A discrete-event simulation; runs with the same seed are identical. A message takes the delay of its link;
processing at nodes takes no time. Message sizes are the upper bounds of `size_of`, not encoded sizes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry, Phase, size_of
from orchidferry.balancing.fleet.membership import Membership
from orchidferry.balancing.fleet.messages import Address, Message
from orchidferry.balancing.fleet.outbox import HEADER_BYTES
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.testkit import seeded_random
from orchidferry.testkit.world.links import LinkFault, Links

PORT = 9100
LEAVE_DELAY_S = 0.2  # time from a node's announcement that it leaves to the end of its process
SEAL_BYTES = 24  # size of the key id and authentication tag of each message


def address(number: int) -> Address:
    """Return the address of a node.

    :param number: number of the node
    """
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT


def max_bytes(message: Message) -> int:
    """Return an upper bound on the size of a message on the wire, in bytes."""
    target = size_of(message.target) if message.target is not None else 0
    return SEAL_BYTES + HEADER_BYTES + size_of(message.sender) + target + sum(map(size_of, message.updates))


@dataclass(slots=True)
class SimulatedNode:
    """One node, over all its incarnations.

    :ivar name: name of the node
    :ivar address: its host and port
    :ivar membership: membership protocol of its current process
    :ivar starts: number of times that it was restarted
    :ivar running: whether its process runs
    :ivar paused: whether its process is suspended
    :ivar next_tick_s: virtual time of the scheduled tick
    :ivar pending_events: events that arrived while it was paused
    :ivar sent_messages: number of messages that it sent
    :ivar sent_bytes: bytes of these messages and of its replies
    """

    name: str
    address: Address
    membership: Membership
    starts: int = 0
    running: bool = True
    paused: bool = False
    next_tick_s: float = float("inf")
    pending_events: list[api.Event] = field(default_factory=list)
    sent_messages: int = 0
    sent_bytes: int = 0


MemberChangeCallback = Callable[[float, str, api.MemberChanged], None]  # time, observing node, change


class SimulatedFleet:
    """All nodes, and the messages in transit between them.

    Times are in seconds; inside the membership they are in milliseconds.

    :ivar now: virtual time
    :ivar seed: seed of the random choices
    :ivar timing: timing of the membership protocol
    :ivar links: links between the nodes, with their faults
    :ivar nodes: nodes by name
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        faults: Iterable[LinkFault] = (),
        timing: Timing | None = None,
        warm: bool = False,
        seeds: int = 3,
        on_change: MemberChangeCallback | None = None,
        max_members: int = 10_000,
    ) -> None:
        """Create a `SimulatedFleet`.

        :param count: number of nodes
        :param seed: seed of the random choices
        :param faults: faults of the links
        :param timing: timing of the membership protocol; None for the default
        :param warm: whether all nodes know each other from the start
        :param seeds: number of nodes that are seed nodes of the membership
        :param on_change: called with each change that a node observes
        :param max_members: maximum number of members that a node stores
        """
        self.now = 0.0
        self.seed = seed
        self.timing = timing or Timing()
        self.links = Links(faults, seed)
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._on_change = on_change
        self._max_members = max_members
        self._seeds = [address(n) for n in range(min(seeds, count))]
        self.nodes: dict[str, SimulatedNode] = {}
        self._node_at: dict[Address, SimulatedNode] = {}
        for n in range(count):
            name = f"n{n}"
            node = SimulatedNode(name, address(n), self._membership(name, address(n), 0))
            self.nodes[name] = node
            self._node_at[node.address] = node
        if warm:
            known = [node.membership.me for node in self.nodes.values()]
            for node in self.nodes.values():
                node.membership.load(known)
        for node in self.nodes.values():
            self._handle(node, api.Start())
            if warm:
                node.membership._outbox.gossip.drop(node.name)

    def _membership(self, name: str, at: Address, start: int, incarnation: int = 0) -> Membership:
        life = seeded_random.integer(self.seed, "life", name, start) | 1
        me = Entry(name, at[0], at[1], life, incarnation, phase=Phase.SERVING)
        rng = seeded_random.generator(self.seed, "node", name, start)
        return Membership(me, self._seeds, rng, self.timing, self._max_members)

    def schedule(self, time_s: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call.

        :param time_s: virtual time of the call
        """
        self._event_count += 1
        heapq.heappush(self._queue, (time_s, self._event_count, call, args))

    def run(self, until: float) -> None:
        """Run up to a virtual time."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(queue)
            call(*args)
        self.now = until

    # Operations on nodes

    def kill(self, name: str) -> None:
        """End a node's process without notice."""
        self.nodes[name].running = False

    def leave(self, name: str) -> None:
        """Shut a node down gracefully: it first announces that it leaves."""
        self._handle(self.nodes[name], api.Leave())
        self.schedule(self.now + LEAVE_DELAY_S, self.kill, name)

    def start(self, name: str, new_address: Address | None = None, incarnation: int = 0) -> None:
        """Restart a node without any state.

        :param name: name of the node
        :param new_address: its new address; None to keep the old one
        :param incarnation: incarnation number with which it starts
        """
        node = self.nodes[name]
        del self._node_at[node.address]
        node.address = new_address or node.address
        node.starts += 1
        node.membership = self._membership(name, node.address, node.starts, incarnation)
        node.running = True
        node.paused = False
        node.next_tick_s = float("inf")
        node.pending_events = []
        self._node_at[node.address] = node
        self._handle(node, api.Start())

    def pause(self, name: str, duration_s: float) -> None:
        """Suspend a node's process for a while; events are queued until it resumes."""
        node = self.nodes[name]
        node.paused = True
        self.schedule(self.now + duration_s, self._resume, node, node.starts)

    def _resume(self, node: SimulatedNode, start: int) -> None:
        if node.starts != start or not node.running:
            return
        node.paused = False
        events = node.pending_events
        node.pending_events = []
        for event in events:
            self._handle(node, event)
        self._handle(node, api.Tick())

    # Events and actions

    def _tick(self, node: SimulatedNode, start: int, due_s: float) -> None:
        if node.running and node.starts == start and node.next_tick_s == due_s:
            node.next_tick_s = float("inf")
            if not node.paused:
                self._handle(node, api.Tick())

    def _handle(self, node: SimulatedNode, event: api.Event) -> list[Message]:
        """Have a node handle an event, and carry out its actions.

        :returns: replies to send on the connection on which the event arrived
        """
        if not node.running:
            return []
        if node.paused:
            node.pending_events.append(event)
            return []
        replies = []
        for action in node.membership.handle(event, self.now * 1000.0):
            match action:
                case api.SendDatagram():
                    self._send(node, action)
                case api.ExchangeState():
                    self._exchange(node, action)
                case api.Reply():
                    replies.append(action.message)
                    node.sent_bytes += max_bytes(action.message)
                case api.MemberChanged():
                    if self._on_change is not None:
                        self._on_change(self.now, node.name, action)
        due_s = node.membership.due_ms / 1000.0
        if due_s < node.next_tick_s:
            node.next_tick_s = due_s
            self.schedule(max(due_s, self.now), self._tick, node, node.starts, due_s)
        return replies

    def _send(self, node: SimulatedNode, action: api.SendDatagram) -> None:
        size = max_bytes(action.message)
        node.sent_messages += 1
        node.sent_bytes += size
        to = self._node_at.get(action.to)
        if to is not None:
            for delay_s in self.links.datagram(node.name, to.name, size, self.now):
                self.schedule(self.now + delay_s, self._deliver, to, action.message)

    def _deliver(self, to: SimulatedNode, message: Message) -> None:
        self._handle(to, api.MessageReceived(message))

    def _exchange(self, node: SimulatedNode, action: api.ExchangeState) -> None:
        size = max_bytes(action.message)
        node.sent_messages += 1
        node.sent_bytes += size
        to = self._node_at.get(action.to)
        delay_s = None if to is None else self.links.stream(node.name, to.name, size, self.now)
        if to is not None and delay_s is not None:
            self.schedule(self.now + delay_s, self._reply, node, node.starts, to, action.message)

    def _reply(self, node: SimulatedNode, start: int, to: SimulatedNode, message: Message) -> None:
        for reply in self._handle(to, api.MessageReceived(message)):
            delay_s = self.links.stream(to.name, node.name, max_bytes(reply), self.now)
            if delay_s is not None and node.starts == start:
                self.schedule(self.now + delay_s, self._deliver, node, reply)

    # Observations

    def running(self) -> list[SimulatedNode]:
        """Return the nodes whose process runs."""
        return [node for node in self.nodes.values() if node.running]

    def views(self) -> dict[str, frozenset[tuple[str, int]]]:
        """Return the members that each running node sees as present, with their process ids (`life`)."""
        return {
            node.name: frozenset((e.name, e.life) for e in node.membership.present())
            for node in self.running()
        }

    def agree(self) -> bool:
        """Return whether each running node sees exactly the running nodes as present, and suspects none."""
        truth = frozenset((node.name, node.membership.me.life) for node in self.running())
        return all(view == truth for view in self.views().values()) and not any(
            node.membership.suspects() for node in self.running()
        )

    def run_until_agreed(self, timeout_s: float, step_s: float = 0.1) -> float | None:
        """Run until all views agree.

        :param timeout_s: maximum time to wait
        :param step_s: interval between two comparisons of the views
        :returns: the time that it took; None if the views do not agree within `timeout_s`
        """
        begin_s = self.now
        while self.now - begin_s < timeout_s:
            if self.agree():
                return self.now - begin_s
            self.run(self.now + step_s)
        return None


def split(fleet: SimulatedFleet, fraction: float = 0.5) -> tuple[frozenset[str], frozenset[str]]:
    """Divide a fleet into two sides at random, by its seed.

    :param fraction: fraction of the nodes that are on the first side
    """
    names = list(fleet.nodes)
    side = frozenset(random.Random(fleet.seed).sample(names, max(1, int(fraction * len(names)))))
    return side, frozenset(names) - side
