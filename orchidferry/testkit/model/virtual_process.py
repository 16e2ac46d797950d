"""A process in virtual time: its resource limits, and the subset of an event loop that the mesh uses."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from orchidferry.testkit.model.fanout_world import World
    from orchidferry.testkit.model.virtual_link import LinkEnd

SEND_S = 30e-6  # assumed CPU time for sending one message on a full CPU core


@dataclass(frozen=True, slots=True)
class Machine:
    """Resource limits of a process.

    :ivar bits_per_s: rate of its link in each direction
    :ivar core_share: share of a core that it gets
    :ivar receive_s: CPU time for handling one message on a full CPU core
    """

    bits_per_s: float = math.inf
    core_share: float = 1.0
    receive_s: float = 0.0

    @property
    def bounded(self) -> bool:
        """Whether messages wait at their receiver for its link or its core."""
        return self.bits_per_s < math.inf or self.receive_s > 0.0


UNBOUNDED = Machine()


class Process:
    """One process, with the interface of an event loop; its calls are deferred while it is frozen."""

    def __init__(self, world: World, name: str, zone: int, machine: Machine = UNBOUNDED) -> None:
        self.world = world
        self.name = name
        self.zone = f"z{zone}"
        self.machine = machine
        self.frozen = False
        self.alive = True
        self.withholds_updates = False
        self._deferred_calls: list[Callable[[], None]] = []
        self._sending_until_s = 0.0  # when the messages handed over so far will have left
        self._receiving_until_s = 0.0  # when its link will have received the messages so far
        self._working_until_s = 0.0  # when its pending work will be done
        self.links: dict[LinkEnd, None] = {}  # in order of creation, so that runs with one seed are identical

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.world.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> None:
        """Schedule a call.

        :param delay: time until the call, in seconds
        """
        self.world.at(self.world.now + delay, lambda: self.run(lambda: call(*args)))

    def run(self, call: Callable[[], object]) -> None:
        """Run a call now, or when the process is thawed; drop it if the process was killed."""
        if self.frozen:
            self._deferred_calls.append(lambda: self.run(call))
        elif self.alive:
            call()

    def send_out(self, size: int) -> float:
        """Queue a message on the outgoing link.

        :param size: size of the message in bytes
        :returns: the virtual time at which it has left
        """
        machine = self.machine
        spent_s = SEND_S / machine.core_share + 8 * size / machine.bits_per_s
        self._sending_until_s = max(self.world.now, self._sending_until_s) + spent_s
        return self._sending_until_s

    def receive(self, size: int, call: Callable[[], object]) -> None:
        """Handle a message after the incoming link has received it and the earlier messages are handled.

        :param size: size of the message in bytes
        :param call: handles the message
        """
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
        """Occupy the process with work.

        :param seconds: CPU time that the work takes on a full CPU core
        :returns: the virtual time at which it is done
        """
        self._working_until_s = max(self.world.now, self._working_until_s) + seconds / self.machine.core_share
        return self._working_until_s

    def freeze(self) -> None:
        """Suspend the process."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the process and run the calls that were deferred."""
        self.frozen = False
        deferred_calls = self._deferred_calls
        self._deferred_calls = []
        for call in deferred_calls:
            call()

    def kill(self) -> None:
        """End the process and close its links."""
        self.frozen = False
        self.alive = False
        self._deferred_calls = []
        for end in list(self.links):
            end.close()

    def accept(self, end: Any) -> None:
        """Handle a new incoming link."""

    def received(self, end: Any, message: Any) -> None:
        """Handle a message from a link that another process established."""
        raise NotImplementedError

    def disconnected(self, end: Any) -> None:
        """Handle the end of a link that another process established."""
        raise NotImplementedError
