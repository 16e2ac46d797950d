"""A process in virtual time: what bounds it, and as much of an event loop as the mesh's parts ask for."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from orchidferry.testkit.model.fanout_world import World
    from orchidferry.testkit.model.virtual_link import LinkEnd

SEND_S = 30e-6  # of a sender's time for one message: assumed


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
        self.withholds_updates = False
        self._held_calls: list[Callable[[], None]] = []
        self._sending_until_s = 0.0  # until when it is at sending
        self._receiving_until_s = 0.0  # until when its link is at receiving
        self._working_until_s = 0.0  # until when it is at handling what it received
        self.links: dict[LinkEnd, None] = {}  # in the order of their making, so that one seed gives one run

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.world.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> None:
        """Call back after a delay."""
        self.world.at(self.world.now + delay, lambda: self.run(lambda: call(*args)))

    def run(self, call: Callable[[], object]) -> None:
        """Now, or once it is thawed."""
        if self.frozen:
            self._held_calls.append(lambda: self.run(call))
        elif self.alive:
            call()

    def send_out(self, size: int) -> float:
        """Put a message of so many bytes on the machine's link, after those before it; when it has left."""
        machine = self.machine
        spent_s = SEND_S / machine.core_share + 8 * size / machine.bits_per_s
        self._sending_until_s = max(self.world.now, self._sending_until_s) + spent_s
        return self._sending_until_s

    def receive(self, size: int, call: Callable[[], object]) -> None:
        """Have a message handled once the link has taken it in and those before it are done."""
        machine = self.machine
        if not machine.bounded:
            return self.run(call)
        self._receiving_until_s = max(self.world.now, self._receiving_until_s + 8 * size / machine.bits_per_s)
        self._working_until_s = (
            max(self._receiving_until_s, self._working_until_s) + machine.receive_s / machine.core_share
        )
        self.world.at(self._working_until_s, lambda: self.run(call))
        return None

    def work(self, seconds: float) -> float:
        """Spend so much time of a whole core; when that is done."""
        self._working_until_s = max(self.world.now, self._working_until_s) + seconds / self.machine.core_share
        return self._working_until_s

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.frozen = True

    def thaw(self) -> None:
        """Let the process go on."""
        self.frozen = False
        held_calls = self._held_calls
        self._held_calls = []
        for call in held_calls:
            call()

    def kill(self) -> None:
        """It ends; its links are reset."""
        self.frozen = False
        self.alive = False
        self._held_calls = []
        for end in list(self.links):
            end.close()

    def accept(self, end: Any) -> None:
        """Somebody has connected."""

    def received(self, end: Any, message: Any) -> None:
        """Take a message from a link that another process made."""
        raise NotImplementedError

    def disconnected(self, end: Any) -> None:
        """Learn that such a link has ended."""
        raise NotImplementedError
