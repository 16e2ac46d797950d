"""Controllers of one shard, their links and disks, in steps that an exploration can choose.

Each message takes one step, as does each write to a disk. Of the items that reach one process in one step
(messages, in order on each link, and completed writes) every order is a choice; items for different processes
commute. Time advances when nothing is in flight: to the next grid point, where heartbeats are sent and all
processes tick, or to an earlier time at which a shard has something due.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Any

from orchidferry.balancing.register import Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import KeyPage
from orchidferry.testkit.explore import mesh_faults
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.explore.dead_messages import is_dead
from orchidferry.testkit.explore.mesh_actors import KeyNode, MessageInFlight, SequentialRandom
from orchidferry.testkit.explore.mesh_scenes import Scene

START_S = 1.0
GRID_S = 0.4  # interval between heartbeats, and between periodic ticks
MIN_TIME_STEP_S = 0.02
ROUNDING_S = 1e-6
CONTROLLER_NAMES = tuple("abcdefghij")


class ControllersWorld(ABC):
    """Controllers of one shard, the messages between them, the time, and the faults.

    It checks properties that must hold whatever clients do: the decided states are one chain, and at most one
    controller owns the shard. A subclass adds the clients.

    :ivar scene: the scene that is played
    :ivar faults_left: how many faults may still happen
    :ivar kinds: of these faults
    :ivar number: of the shard
    :ivar began_s: when the scene began; infinite before that
    :ivar messages: messages that are delivered in this step
    :ivar next_messages: messages that were sent in this step and are delivered in the next
    :ivar writes_ready: how many pending writes of each controller were begun before this step
    :ivar slow_disks: controllers with delayed disk writes
    :ivar last_receiver: the process that was the last to handle something in this step
    :ivar partitions: for each link that is cut (sender and receiver), when it carries messages again
    :ivar frozen_until: when each frozen process goes on
    :ivar down_until: when each process that is down restarts
    :ivar grid_index: of the last grid point
    :ivar nodes: the nodes, which have links to the controllers
    :ivar decided_states: the states that were decided, by version
    :ivar owner_by_token: the controllers that owned the shard, by fencing token
    :ivar sources_heard: for each controller that lost or missed records, the ones that sent it all keys since
    """

    def __init__(self, scene: Scene, kinds: tuple[str, ...], shard_number: int) -> None:
        """:param kinds: of the faults that may happen, besides those of the scene's script"""
        self.scene = scene
        self.faults_left = 0
        self.kinds = kinds
        self.number = shard_number
        self.now = START_S
        self.began_s = math.inf
        self.story: list[str] = []
        self.violations: list[str] = []
        self.messages: list[MessageInFlight] = []
        self.next_messages: list[MessageInFlight] = []
        self.writes_ready: dict[str, int] = {}
        self.slow_disks: set[str] = set()
        self.last_receiver = ""
        self.partitions: dict[tuple[str, str], float] = {}
        self.frozen_until: dict[str, float] = {}
        self.down_until: dict[str, float] = {}
        self.grid_index = 0
        self.controllers: dict[str, Controller] = {}
        self.nodes: dict[str, KeyNode] = {}
        self.decided_states: dict[int, Value] = {}
        self.owner_by_token: dict[int, str] = {}
        self.sources_heard: dict[str, set[str]] = {}

    def _start_controllers(self) -> None:
        seeds = self.scene.seeds
        names = CONTROLLER_NAMES[: len(seeds) + self.scene.spare_controllers]
        for position, name in enumerate(names):
            rng = SequentialRandom(position * 1_000)
            self.controllers[name] = Controller(name, self, name in seeds, self.number, rng, seeds)
        self.sources_heard |= {name: set() for name in names if name not in seeds}

    def _run_until_owned(self) -> None:
        while not (self.is_quiet and any(one.shard.owns(self.now) for one in self.controllers.values())):
            self.apply(self.actions()[0])

    # State

    @property
    def is_quiet(self) -> bool:
        """Whether no message is in flight and no write is pending."""
        writes = any(controller.writes for controller in self.controllers.values())
        return not (self.messages or self.next_messages or writes)

    @property
    def newest_state(self) -> Value:
        """The newest state that was decided."""
        if not self.decided_states:
            return shard_state.genesis(self.scene.seeds)
        return self.decided_states[max(self.decided_states)]

    def log(self, line: str) -> None:
        """Add a line to the run's story."""
        self.story.append(f"{(self.now - self.began_s) * 1000.0:7.0f} ms  {line}")

    def report_violation(self, line: str) -> None:
        """Record that a property is violated.

        :param line: the property's name, a colon, and what has happened
        """
        self.violations.append(line)

    # Choices

    def next_items(self) -> tuple[str, list[str]]:
        """Return the first process with items to handle, and the choices of the item that it handles first.

        An item is `deliver` with a message's position, or `disk` with the process's name.
        """
        heads: dict[tuple[str, str, bool], int] = {}
        for position, message in enumerate(self.messages):
            if not message.late and message.to not in self.frozen_until:
                heads.setdefault((message.to, message.sender, message.is_reply), position)
        disks = [
            name
            for name, count in self.writes_ready.items()
            if count and name not in self.frozen_until and name not in self.slow_disks
        ]
        receiver = min([to for to, _, _ in heads] + disks, default="")
        items = [f"deliver {position}" for (to, _, _), position in heads.items() if to == receiver]
        if receiver in disks:
            items.append(f"disk {receiver}")
        return receiver, items

    def actions(self) -> list[str]:
        """Return the actions that may happen next, the first without a fault."""
        receiver, items = self.next_items()
        anything_late = any(one.late for one in self.messages) or bool(self.slow_disks)
        idle = ["wait", "come"] if anything_late and not receiver else ["wait"]
        faults = mesh_faults.possible_faults(self, receiver, items) if self.faults_left else ()
        return (items or idle) + [one for one in faults if one.split()[0] in self.kinds]

    def apply(self, label: str) -> None:
        """Play one of `actions`."""
        kind, *target = label.split()
        match kind:
            case "deliver":
                self._deliver(self.messages.pop(int(target[0])))
            case "disk":
                self._complete_write(target[0])
            case "wait":
                self._advance_time()
            case "come":
                self._release_late()
            case _:
                self.faults_left -= 1
                self._apply_fault(kind, target)
        self._discard_dead_messages()
        self._begin_step()
        self._check_properties()

    def _begin_step(self) -> None:
        """Begin the next step if nothing is left to handle in this one."""
        if not self.next_items()[0]:
            self.messages = self.messages + self.next_messages
            self.next_messages = []
            self.last_receiver = ""
            self.writes_ready = {name: len(one.writes) for name, one in self.controllers.items() if one.alive}

    def _discard_dead_messages(self) -> None:
        """Remove messages that change nothing any more, as if they were delivered."""
        self.messages = [one for one in self.messages if not self._is_dead(one)]
        self.next_messages = [one for one in self.next_messages if not self._is_dead(one)]

    def _is_dead(self, message: MessageInFlight) -> bool:
        receiver = self.controllers.get(message.to)
        if message.method != ControllerCall.RECEIVE or receiver is None:
            return False
        return is_dead(message.arguments[1], receiver.shard)

    def _release_late(self) -> None:
        """Release delayed messages and delayed disk writes."""
        for message in self.messages:
            message.late = False
        self.slow_disks.clear()

    def _apply_fault(self, kind: str, target: list[str]) -> None:
        """Apply a fault and log it."""
        is_message = target[0].isdigit()
        self.log(f"{kind}: {self.messages[int(target[0])]}" if is_message else " ".join([kind, *target]))
        mesh_faults.apply_fault(self, kind, target)

    # Processes

    def stop_process(self, name: str, for_s: float) -> None:
        """Stop a controller's process: messages that it sent stay in flight, messages to it are lost.

        :param for_s: for how long it is down, in seconds
        """
        controller = self.controllers[name]
        controller.alive = False
        controller.writes = []
        self.down_until[name] = self.now + for_s
        self.frozen_until.pop(name, None)
        self.slow_disks.discard(name)
        self.writes_ready.pop(name, None)
        self.messages = [one for one in self.messages if one.to != name]
        self.next_messages = [one for one in self.next_messages if one.to != name]

    def start_process(self, name: str) -> None:
        """Start a controller's process that is down."""
        if self.down_until.pop(name, None) is not None:
            self.controllers[name].start()

    def send_heartbeats(self, name: str) -> None:
        """Have a controller send heartbeats to the others, if it is alive."""
        controller = self.controllers[name]
        if controller.alive:
            controller.send_heartbeats(other for other in self.controllers if other != name)

    def _complete_write(self, name: str) -> None:
        self.last_receiver = name
        self.writes_ready[name] -= 1
        self.controllers[name].complete_write()

    def _is_running(self, name: str) -> bool:
        return self.controllers[name].alive and name not in self.frozen_until

    # Time

    def _advance_time(self) -> None:
        """Advance time, as nothing is in flight, and run whatever is due then."""
        self.now = max(self.now + MIN_TIME_STEP_S, math.ceil(self._next_due_s() * 1000.0) / 1000.0)
        self._end_faults()
        for message in [
            one
            for one in self.messages
            if one.method == ControllerCall.HEARTBEAT_ACK and one.to not in self.frozen_until
        ]:
            self.messages.remove(message)
            self.controllers[message.to].receive_heartbeat_ack(*message.arguments)
        on_grid = self.now >= self._next_grid_s() - ROUNDING_S
        if on_grid:
            self.grid_index += 1
            for name in self.controllers:
                if name not in self.frozen_until:
                    self.send_heartbeats(name)
        for name, controller in self.controllers.items():
            if self._is_running(name) and (on_grid or controller.shard.due_s <= self.now):
                controller.tick()
        if on_grid:
            self._tick_nodes()
        self._run_clients()

    def _next_grid_s(self) -> float:
        return START_S + (self.grid_index + 1) * GRID_S

    def _next_due_s(self) -> float:
        """Return when the next event is due."""
        dues = [
            self._next_grid_s(),
            *self.partitions.values(),
            *self.frozen_until.values(),
            *self.down_until.values(),
        ]
        dues += [one.shard.due_s for name, one in self.controllers.items() if self._is_running(name)]
        return min([*dues, *self._client_dues_s()])

    def _end_faults(self) -> None:
        """End the faults that have lasted their time."""
        now = self.now
        self.partitions = {pair: until_s for pair, until_s in self.partitions.items() if until_s > now}
        self.frozen_until = {name: until_s for name, until_s in self.frozen_until.items() if until_s > now}
        for name in [name for name, until_s in self.down_until.items() if until_s <= now]:
            self.start_process(name)

    # Messages

    def _reaches(self, sender: str, to: str) -> bool:
        controller = self.controllers.get(to)
        return (sender, to) not in self.partitions and (controller is None or controller.alive)

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message to a controller; heartbeats are delivered at once.

        :param kind: the controller's method that handles the message
        """
        if to not in self.controllers or not self._reaches(sender, to):
            return
        if kind == ControllerCall.HEARTBEAT and to in self.frozen_until:
            return  # a frozen process does not get this heartbeat, only later ones
        if kind == ControllerCall.HEARTBEAT or (
            kind == ControllerCall.HEARTBEAT_ACK and to not in self.frozen_until
        ):
            getattr(self.controllers[to], kind)(*message)
        else:
            self.next_messages.append(MessageInFlight(sender, to, kind, message))

    def answer(self, name: str, answer: SendReply) -> None:
        """Send a controller's reply to another controller."""
        assert isinstance(answer.message, ShardMessage)
        if self._reaches(name, answer.to):
            message = (name, answer.message.body)
            self.next_messages.append(MessageInFlight(name, answer.to, ControllerCall.RECEIVE, message, True))

    def _deliver(self, message: MessageInFlight) -> None:
        self.last_receiver = message.to
        if message.method == ControllerCall.RECEIVE:
            self._record_source(message)
        getattr(self.controllers[message.to], message.method)(*message.arguments)

    def _record_source(self, message: MessageInFlight) -> None:
        """Record a controller that has sent all keys to one that lost its records and is a voter again."""
        page = message.arguments[1]
        sources = self.sources_heard.get(message.to)
        if sources is not None and isinstance(page, KeyPage) and page.last and page.as_voter:
            sources.add(message.sender)

    # Clients

    @abstractmethod
    def _run_clients(self) -> None:
        """Run the due steps of the script and of the clients."""

    @abstractmethod
    def _client_dues_s(self) -> list[float]:
        """Return the times at which clients and the script have something to do."""

    @abstractmethod
    def _tick_nodes(self) -> None:
        """Run the nodes' periodic work, at each grid point."""

    @abstractmethod
    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Handle the end of a client's request at a controller."""

    # Properties

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Handle that a controller knows a newer state, and check that all states are one chain."""
        self._record_decided(changed.new)
        if epoch(changed.new) > epoch(changed.old):
            self.log(f"{name} learns of epoch {epoch(changed.new)}")
            # Controllers outside the new group miss the keys that it grants.
            for controller in self.controllers.values():
                if controller.shard.voter not in changed.new.voters and changed.new == self.newest_state:
                    self.sources_heard[controller.name] = set()

    def _record_decided(self, value: Value) -> None:
        if self.decided_states.setdefault(value.version, value) != value:
            self.report_violation(f"chain: two states of version {value.version} were decided")

    def _owners(self) -> list[tuple[Controller, int]]:
        """Return the controllers that own the shard now, with their fencing tokens."""
        found: list[tuple[Controller, int]] = []
        for controller in self.controllers.values():
            token = controller.shard.owns(self.now) if controller.alive else None
            if token is not None:
                found.append((controller, token))
        return found

    def _check_properties(self) -> None:
        owners = self._owners()
        if len(owners) > 1:
            names = " and ".join(controller.name for controller, _ in owners)
            self.report_violation(f"two-owners: {names} own the shard at once")
        for controller, token in owners:
            recorded = self.owner_by_token.setdefault(token, controller.name)
            if recorded != controller.name or token < max(self.owner_by_token):
                self.report_violation(
                    f"fence: {controller.name} owns the shard with fencing token {token},"
                    " which is another controller's or superseded"
                )
        for name in list(self.sources_heard):
            if self.controllers[name].shard.standing.caught_up and self._has_learned(name):
                del self.sources_heard[name]

    def _has_learned(self, name: str) -> bool:
        """Return whether a controller that lost its records has learned from a member of each majority."""
        group_size = self.scene.group_size
        return len(self.sources_heard[name]) >= group_size - group_size // 2
