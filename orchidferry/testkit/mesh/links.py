"""Network links between the mesh's processes, with fault injection by a relay in front of each machine.

A machine's public address is `Machine.ip`, where the relay listens. Its process listens on `Machine.bind` and
dials from that address, so the relay identifies the dialling machine by the source address.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.testkit.mesh.day import Machine, Ports
from orchidferry.testkit.mesh.relay import Direction, LinkCondition, RelayListener, RelayState


class Links:
    """All relays of a run. Memory is bounded by `relay.MAX_CONNECTIONS` and `relay.MAX_BUFFERED`."""

    def __init__(self, ports: Ports) -> None:
        """Create the links without any machine; must be called in the event loop of the connections.

        :param ports: the ports that all machines use
        """
        self._ports = ports
        self._state = RelayState()
        self._listeners: dict[str, list[RelayListener]] = {}

    @property
    def connection_count(self) -> int:
        """The number of open relayed connections."""
        return len(self._state.connections)

    def add_machine(self, machine: Machine) -> None:
        """Add the relays of a machine, which start to listen once its process does."""
        self.add_dialler(machine.name, machine.bind)
        public_port = self._ports.inbound if machine.role == "sidecar" else self._ports.control
        listeners = [
            RelayListener(self._state, machine, port) for port in (self._ports.internal, public_port)
        ]
        self._listeners[machine.name] = listeners
        for listener in listeners:
            listener.refuse()

    def add_dialler(self, name: str, ip: str) -> str:
        """Register the source address of a participant, so that link faults can apply to its connections.

        :returns: the address
        """
        self._state.machine_names[ip] = name
        return ip

    def on_process_ended(self, machine: Machine) -> None:
        """Refuse connections to a machine, as its kernel would without a listening process."""
        for listener in self._listeners.get(machine.name, ()):
            listener.refuse()

    def set_condition(self, directions: Iterable[Direction], condition: LinkCondition) -> None:
        """Change the condition of links; data held up by a cut that has ended is passed on."""
        for direction in directions:
            self._state.set_condition(direction, condition)
        for connection in list(self._state.connections):
            connection.on_condition_changed()

    def reset(self, directions: Iterable[Direction]) -> None:
        """Reset all connections between these pairs of machines, whichever side dialled."""
        links = {frozenset(direction) for direction in directions}
        for connection in list(self._state.connections):
            if frozenset(connection.dialler_end.direction) in links:
                connection.end(reset=True)

    def close(self) -> None:
        """Close all listeners and connections."""
        for listeners in self._listeners.values():
            for listener in listeners:
                listener.close()
        for connection in list(self._state.connections):
            connection.end(reset=False)
        self._state.tasks.cancel()
