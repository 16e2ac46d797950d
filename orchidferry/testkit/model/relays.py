"""Controllers' desks and nodes' branches in virtual time, with links between them that can be cut.

The news' own parts are the shipping ones (`orchidferry.mesh.control.publisher`, `subscriber`, `relays`), and
every
message is packed; round them stands only what `ControlClient` does for leases, dialling and the text of a
configuration. One seed gives one run.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidferry.mesh.control.configuration_fetcher import ANSWER_TIMEOUT_S
from orchidferry.mesh.control.control_client import IDLE_TIMEOUT_S, RENEWAL_INTERVAL_S, TICK_S
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord, merge_member_lists
from orchidferry.mesh.control.fanout_tree import HEADS
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.control.subscriber import Subscriber
from orchidferry.mesh.wire.codec import LENGTH_BYTES, decode, encode
from orchidferry.mesh.wire.framing import USER_TIMEOUT_MS
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Lease,
    LeaseRenewal,
    Message,
    NodeHello,
    Update,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)

DIAL_S = 0.15
LAZY_S = 5.0  # in a large fleet a node looks at who is there so often, not at each change
EVERYBODY = 1_000_000  # as heads: there is no tree
LOST_S = USER_TIMEOUT_MS / 1e3  # a link that gets nothing through for so long ends
# one way
IN_ZONE_S = 0.001
BETWEEN_S = 0.0014
STUCK_S = 0.01  # before a message that met a cut is tried again
MESSAGE_S = 30e-6  # of a sender's time for one message: assumed


@dataclass(frozen=True, slots=True)
class Machine:
    """What bounds a process: its link, its share of a core, and the work of a message on a whole core."""

    bits_per_s: float = math.inf
    core_share: float = 1.0
    receive_s: float = 0.0

    @property
    def bounded(self) -> bool:
        """Whether messages wait for anything at their receiver."""
        return self.bits_per_s < math.inf or self.receive_s > 0.0


UNBOUNDED = Machine()


class Process:
    """One process, with as much of a loop as the parts ask for; nothing of it runs while it is frozen."""

    def __init__(self, world: World, name: str, zone: int, machine: Machine = UNBOUNDED) -> None:
        self.world = world
        self.name = name
        self.zone = f"z{zone}"
        self.machine = machine
        self.frozen = False
        self.alive = True
        self.mute = False
        self.waiting: list[Callable[[], None]] = []
        self.busy_s = 0.0  # until when it is at sending
        self._received_s = 0.0  # until when its link is at receiving
        self._worked_s = 0.0  # until when it is at handling what it received
        self.links: dict[End, None] = {}  # in the order of their making, so that one seed gives one run

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.world.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> None:
        """Call back after a delay."""
        self.world.at(self.world.now + delay, lambda: self.run(lambda: call(*args)))

    def run(self, call: Callable[[], object]) -> None:
        """Now, or once it is thawed."""
        if self.frozen:
            self.waiting.append(lambda: self.run(call))
        elif self.alive:
            call()

    def send_out(self, size: int) -> float:
        """Put a message of so many bytes on the machine's link, after those before it; when it has left."""
        machine = self.machine
        spent_s = MESSAGE_S / machine.core_share + 8 * size / machine.bits_per_s
        self.busy_s = max(self.world.now, self.busy_s) + spent_s
        return self.busy_s

    def receive(self, size: int, call: Callable[[], object]) -> None:
        """Have a message handled once the link has taken it in and those before it are done."""
        machine = self.machine
        if not machine.bounded:
            return self.run(call)
        self._received_s = max(self.world.now, self._received_s + 8 * size / machine.bits_per_s)
        self._worked_s = max(self._received_s, self._worked_s) + machine.receive_s / machine.core_share
        self.world.at(self._worked_s, lambda: self.run(call))
        return None

    def work(self, seconds: float) -> float:
        """Spend so much time of a whole core; when that is done."""
        self._worked_s = max(self.world.now, self._worked_s) + seconds / self.machine.core_share
        return self._worked_s

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.frozen = True

    def thaw(self) -> None:
        """Let the process go on."""
        self.frozen = False
        waiting = self.waiting
        self.waiting = []
        for call in waiting:
            call()

    def kill(self) -> None:
        """It ends; its links are reset."""
        self.frozen = False
        self.alive = False
        self.waiting = []
        for end in list(self.links):
            end.close()

    def accept(self, end: Any) -> None:
        """Somebody has connected."""

    def heard(self, end: Any, message: Any) -> None:
        """A message has come over a link that somebody else made."""
        raise NotImplementedError

    def gone(self, end: Any) -> None:
        """Such a link is down."""
        raise NotImplementedError


class End:
    """One process's end of a link: what `wire.Link` is to its owner."""

    def __init__(
        self, owner: Process, heard: Callable[[Any, Any], None], lost: Callable[[Any], None]
    ) -> None:
        self.owner = owner
        self._heard = heard
        self._lost = lost
        self.open = True
        self.peer = ""
        self.max_unsent_bytes = 0
        self.last_received_s = owner.world.now
        self.other: End
        self._stuck_s = 0.0  # since when nothing gets through
        # On their way: when, the message (None for the end), and its bytes.
        self._queue: list[tuple[float, Any, int]] = []
        owner.links[self] = None

    def send(self, message: Message) -> None:
        """Send a message."""
        if self.open:
            self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that is encoded already."""
        owner = self.owner
        world = self.owner.world
        if not self.open:
            return
        message = world.read(data)
        if owner.mute and isinstance(message, Update):
            return
        left_s = owner.send_out(len(data))
        self._go(left_s + world.delay(owner, self.other.owner), message, len(data))

    def _go(self, when: float, message: Any, size: int = 0) -> None:
        self._queue.append((when, message, size))
        if len(self._queue) == 1:
            self.owner.world.at(when, self.arrive)

    def arrive(self) -> None:
        """The oldest message is due at the other end."""
        world = self.owner.world
        there = self.other
        if (self.owner.name, there.owner.name) in world.cuts:
            self._stuck_s = self._stuck_s or world.now
            lost = world.now - self._stuck_s > LOST_S
            if lost:
                self._end()
            return world.try_again(self, lost)
        self._stuck_s = 0.0
        _, message, size = self._queue.pop(0)
        if self._queue:
            world.at(max(world.now, self._queue[0][0]), self.arrive)
        there.owner.receive(size, lambda: there.take(message))
        return None

    def take(self, message: Any) -> None:
        """Take a message that has arrived; None: the other end has closed."""
        if message is None:
            self._end()
        elif self.open:
            self.last_received_s = self.owner.world.now
            self._heard(self, message)

    def _end(self) -> None:
        if self.open:
            self.open = False
            self.owner.links.pop(self, None)
            self.owner.run(lambda: self._lost(self))

    def close(self) -> None:
        """End it; what is on its way is lost, and the other end hears of it when something gets through."""
        if self.open:
            self._end()
            del self._queue[1:]
            self._go(self.owner.world.now + self.owner.world.delay(self.owner, self.other.owner), None)


class Controller(Process):
    """A controller's publisher."""

    def __init__(self, world: World, name: str, zone: int) -> None:
        super().__init__(world, name, zone)
        loop: Any = self
        self.publisher = Publisher(name, self.zone, world.rng.randrange(1, 2**53), loop)
        self.revision = 0
        self.text = b""
        self.noted = 0  # the last number that the world has noted, while it watches
        self.call_later(TICK_S / 2.0, self._tick)

    @property
    def stream(self) -> Any:
        """The stream of changes of its members."""
        return self.publisher._stream

    def _tick(self) -> None:
        self.call_later(TICK_S / 2.0, self._tick)
        self.publisher.tick()
        self.world.stepped(self)

    def revise(self, revision: int, text: bytes) -> None:
        """A configuration was decided."""
        self.revision = revision
        self.text = text
        self.publisher.announce_revision(revision)
        self.world.stepped(self)

    def gone(self, end: Any) -> None:
        """A link has ended."""
        self.publisher.disconnected(end)

    def heard(self, end: Any, message: Any) -> None:
        """Take a message."""
        publisher = self.publisher
        match message:
            case ConfigurationFetch():
                text = ConfigurationText(message.request, self.revision, self.text)
                publisher.send_configuration(end, text)
            case NodeHello():
                publisher.node_connected(end, message.name)
            case LeaseRenewal():
                publisher.renew_lease(end, message)
            case UpdateSubscription():
                publisher.subscribe(end, message)
            case UpdateUnsubscription():
                publisher.unsubscribe(end)
            case UpdateRequest():
                publisher.send_missed(end, message)
        self.world.stepped(self)


class Node(Process):
    """A node's subscriber, its leases and its links to controllers."""

    def __init__(self, world: World, name: str, zone: int, heads: int) -> None:
        super().__init__(world, name, zone)
        rng = random.Random(world.rng.random())
        self.rng, self.boot = rng, world.rng.randrange(1, 2**53)
        self.record = NodeRecord(name, self.boot, 1, self.zone, name, 0, None)
        loop: Any = self
        identity = NodeIdentity(name, self.boot, self.zone)
        self.subscriber = Subscriber(
            identity, loop, rng, self._dial_node, self._changed, self._on_revision, heads
        )
        self.controllers: dict[str, End] = {}
        self.members: dict[str, NodeRecord] = {}
        self.revision = 0
        self.wanted = 0
        self._asked_s = -ANSWER_TIMEOUT_S
        self._rid = 0
        self._dial_s = dict.fromkeys(world.controllers, 0.0)
        self._has: dict[str, tuple[int, int]] = {}  # what controllers have of its record, by their own word
        self.call_later(rng.random() * TICK_S, self._tick)
        phase_s = rng.random() * RENEWAL_INTERVAL_S
        for at, controller in enumerate(world.controllers):
            self.call_later(
                phase_s + RENEWAL_INTERVAL_S * at / len(world.controllers), self._renew_in_turn, controller
            )
        self.seen: dict[tuple[str, int], int] = {}  # numbers of streams, while the world watches
        if world.lazy and heads < EVERYBODY:
            self.call_later(rng.random() * LAZY_S, self._look_again)

    def publish(self) -> None:
        """Its record changes."""
        had = self.record
        self.record = NodeRecord(had.name, had.boot, had.number + 1, had.zone, had.ip, 0, None)
        for name in self.controllers:
            self._renew(name)

    def _renew_in_turn(self, name: str) -> None:
        self.call_later(RENEWAL_INTERVAL_S, self._renew_in_turn, name)
        if name in self.controllers:
            self._renew(name)

    def _renew(self, name: str) -> None:
        record = self.record
        same = self._has.get(name) == (record.boot, record.number)
        self.controllers[name].send(
            LeaseRenewal(record.number, record.name, record.boot, None if same else record)
        )

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        now = self.world.now
        for name, due_s in self._dial_s.items():
            if name in self.controllers:
                if now - self.controllers[name].last_received_s > IDLE_TIMEOUT_S:
                    self.controllers[name].close()
            elif now >= due_s:
                self._dial_s[name] = now + 1.0
                self.world.dial(self, name, self._from_controller, self._lost_controller, self._dialled)
        self.subscriber.tick()
        if self.wanted > self.revision and now - self._asked_s > ANSWER_TIMEOUT_S and self.controllers:
            self._ask(self.rng.choice(list(self.controllers.values())))

    def _dialled(self, name: str, link: Any) -> None:
        if link is not None:
            link.peer = name
            self.controllers[name] = link
            self._has.pop(name, None)
            link.send(NodeHello(self.name))
            self._renew(name)
            self.subscriber.controller_connected(name, link)

    def _lost_controller(self, end: End) -> None:
        if self.controllers.get(end.peer) is end:
            del self.controllers[end.peer]
            self._dial_s[end.peer] = self.world.now + DIAL_S
            self.subscriber.controller_disconnected(end.peer)
            self._look()

    def _from_controller(self, end: Any, message: Any) -> None:
        match message:
            case Lease():
                if message.has_record:
                    self._has[end.peer] = (self.boot, message.number)
                else:
                    self._has.pop(end.peer, None)
                    self._renew(end.peer)
                self.subscriber.lease_renewed(end.peer, message.incarnation, message.newest_number)
            case ConfigurationText():
                self._take_text(message)
            case Update():
                self.subscriber.from_controller(end, message)

    def _dial_node(self, name: str, ip: str) -> None:
        def heard(end: Any, message: Any) -> None:
            if isinstance(message, ConfigurationText):
                self._take_text(message)
            else:
                self.subscriber.from_parent(end, message)

        dialled: Any = self.subscriber.dial_finished
        self.world.dial(self, ip, heard, self.subscriber.parent_disconnected, dialled)

    def accept(self, end: Any) -> None:
        """Take a new link."""
        self.subscriber.relay.connected(end)

    def heard(self, end: Any, message: Any) -> None:
        """Take a message."""
        self.subscriber.relay.received(end, message)

    def gone(self, end: Any) -> None:
        """A link has ended."""
        self.subscriber.relay.disconnected(end)

    def _changed(self) -> None:
        self.world.arrived(self)
        self._look()

    def _look_again(self) -> None:
        self.call_later(LAZY_S, self._look_again)
        self.look()

    def _look(self) -> None:
        if not self.world.lazy:
            self.look()

    def look(self) -> None:
        """Work out who is there."""
        told = {name: stream.records for name, stream in self.subscriber.streams.items()}
        members = merge_member_lists(told, set(self.controllers))
        if not self.controllers:
            members = {**self.members, **members}
        if members != self.members:
            self.members = members
            self.subscriber.set_members(members)

    def _on_revision(self, revision: int, link: Any) -> None:
        self.wanted = max(self.wanted, revision)
        if self.wanted > self.revision and self.world.now - self._asked_s > ANSWER_TIMEOUT_S:
            self._ask(link)

    def _ask(self, link: End) -> None:
        self._asked_s = self.world.now
        self._rid = self._rid + 1
        link.send(ConfigurationFetch(self._rid, self.wanted))

    def _take_text(self, message: ConfigurationText) -> None:
        if message.request == self._rid:
            self._asked_s = -ANSWER_TIMEOUT_S
        if message.revision > self.revision:
            self.revision = message.revision
            self.subscriber.relay.configuration_received(message.revision, message.text)


class World:
    """Controllers k0 to k2, nodes, and what is on its way."""

    controllers: dict[str, Any]
    nodes: dict[str, Any]

    def __init__(
        self, seed: int, zones: int, heads: int = HEADS, lazy: bool = False, controllers: int = 3
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.heads = heads
        self.lazy = lazy
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._serial = 0
        self._read: tuple[bytes, Any] = (b"", None)
        self.cuts: set[tuple[str, str]] = set()  # from, to
        self.zones = zones
        self.controllers = {}
        for n in range(controllers):
            self.controllers[f"k{n}"] = Controller(self, f"k{n}", n % zones)
        self.nodes = {}
        self.watching = False
        self.began: dict[tuple[str, int, int], float] = {}  # of each change, by controller, life and number
        self.came: dict[tuple[str, int, int], dict[str, float]] = {}  # and when it came to each node

    def at(self, when: float, call: Callable[[], object]) -> None:
        """Have something called at a time."""
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._queue[0][0] <= until:
            when, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            call()
        self.now = until

    def read(self, data: bytes) -> Any:
        """A message as it comes; what goes to many is read once."""
        if self._read[0] is not data:
            self._read = (data, decode(data[LENGTH_BYTES:]))
        return self._read[1]

    def try_again(self, end: End, lost: bool) -> None:
        """A message did not get through a cut; `lost`: its sender has given up the link."""
        self.at(self.now + STUCK_S, end.arrive)

    def delay(self, one: Process, other: Process) -> float:
        """Of a link, one way."""
        return IN_ZONE_S if one.zone == other.zone else BETWEEN_S

    def start(self, name: str, zone: int) -> Node:
        """A node's process begins, for the first time or again."""
        node = self.nodes[name] = Node(self, name, zone, self.heads)
        return node

    def restart(self, name: str) -> None:
        """A controller loses all that it has in memory."""
        old = self.controllers[name]
        old.kill()
        new = self.controllers[name] = Controller(self, name, int(old.zone[1:]))
        if old.revision:
            new.revise(old.revision, old.text)

    def dial(
        self,
        owner: Process,
        name: str,
        heard: Callable[[Any, Any], None],
        lost: Callable[[Any], None],
        dialled: Callable[[str, End | None], None],
    ) -> None:
        """A new link, after two ways; None for one that is down or does not answer."""

        def made() -> None:
            there: Process | None = self.controllers.get(name) or self.nodes.get(name)
            if there is None or not there.alive or not owner.alive:
                return owner.run(lambda: dialled(name, None))
            if self.cuts & {(owner.name, name), (name, owner.name)}:
                return self.at(self.now + 1.0, lambda: owner.run(lambda: dialled(name, None)))
            here, far = End(owner, heard, lost), End(there, there.heard, there.gone)
            here.other = far
            far.other = here
            there.run(lambda: there.accept(far))
            owner.run(lambda: dialled(name, here))
            return None

        self.at(self.now + 0.002, made)

    def watch(self) -> None:
        """Note from now on when changes begin and come."""
        self.watching = True
        self.began.clear()
        self.came.clear()
        for controller in self.controllers.values():
            controller.noted = controller.stream.number
        for node in self.nodes.values():
            for stream in node.subscriber.streams.values():
                node.seen[stream.controller, stream.incarnation] = stream.number

    def stepped(self, controller: Controller) -> None:
        """A controller's stream may have gone on."""
        stream = controller.stream
        if self.watching and stream.number > controller.noted:
            self.began[stream.controller, stream.incarnation, stream.number] = self.now
            controller.noted = stream.number

    def arrived(self, node: Node) -> None:
        """A node has some controller's news."""
        if not self.watching:
            return
        for stream in node.subscriber.streams.values():
            had = node.seen.get((stream.controller, stream.incarnation), stream.number - 1)
            node.seen[stream.controller, stream.incarnation] = stream.number
            for number in range(had + 1, stream.number + 1):
                key = (stream.controller, stream.incarnation, number)
                self.came.setdefault(key, {})[node.name] = self.now
