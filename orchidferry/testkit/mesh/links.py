"""Links with faults between the mesh's processes: a relay of the kit's own in front of each machine.

A machine is known by its `ip`, where the relay listens; its process listens at `bind`, and dials from there,
so that the relay knows by the source who dials.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.testkit.mesh.day import Machine, Ports
from orchidferry.testkit.mesh.relay import Direction, LinkCondition, RelayListener, RelayState


class Links:
    """All relays of a run. Memory is bounded by `relay.MAX_CONNECTIONS` and `relay.MAX_BUFFERED`."""

    def __init__(self, ports: Ports) -> None:
        """Create links between no machines; must be called in the event loop that carries them.

        :param ports: of every machine
        """
        self._ports = ports
        self._state = RelayState()
        self._listeners: dict[str, list[RelayListener]] = {}

    @property
    def connection_count(self) -> int:
        """How many connections are relayed now."""
        return len(self._state.connections)

    def add_machine(self, machine: Machine) -> None:
        """Relay to a machine from when its process listens."""
        self.add_dialler(machine.name, machine.bind)
        served = self._ports.inbound if machine.role == "sidecar" else self._ports.control
        listeners = [RelayListener(self._state, machine, port) for port in (self._ports.internal, served)]
        self._listeners[machine.name] = listeners
        for listener in listeners:
            listener.refuse()

    def add_dialler(self, name: str, ip: str) -> str:
        """Know someone by the address that they dial from.

        :returns: the address
        """
        self._state.machine_names[ip] = name
        return ip

    def on_process_ended(self, machine: Machine) -> None:
        """Refuse connections to a machine, as one without a process does."""
        for listener in self._listeners.get(machine.name, ()):
            listener.refuse()

    def set_condition(self, directions: Iterable[Direction], condition: LinkCondition) -> None:
        """Change the condition of links; where they are healthy again, what was held up goes on."""
        for direction in directions:
            self._state.set_condition(direction, condition)
        for connection in list(self._state.connections):
            connection.on_condition_changed()

    def reset(self, directions: Iterable[Direction]) -> None:
        """End all connections between these machines, in either direction, with a reset."""
        links = {frozenset(direction) for direction in directions}
        for connection in list(self._state.connections):
            if frozenset(connection.near.direction) in links:
                connection.end(reset=True)

    def close(self) -> None:
        """End all listeners and connections."""
        for listeners in self._listeners.values():
            for listener in listeners:
                listener.close()
        for connection in list(self._state.connections):
            connection.end(reset=False)
        self._state.tasks.cancel()
