"""A link between two processes in virtual time; it can be cut in one direction or in both."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import USER_TIMEOUT_MS
from orchidferry.mesh.wire.messages import Message, Update

if TYPE_CHECKING:
    from orchidferry.testkit.model.virtual_process import Process

LINK_TIMEOUT_S = USER_TIMEOUT_MS / 1e3  # a link that is blocked for longer than this ends


class LinkEnd:
    """One process's end of a link, with the interface of `framing.Link`."""

    def __init__(
        self, owner: Process, on_message: Callable[[Any, Any], None], on_lost: Callable[[Any], None]
    ) -> None:
        self.owner = owner
        self._on_message = on_message
        self._on_lost = on_lost
        self.open = True
        self.peer = ""
        self.max_unsent_bytes = 0
        self.last_received_s = owner.world.now
        self.receives_message = False  # messages arrive whole
        self.other: LinkEnd
        self._blocked_since_s = 0.0  # when the link became blocked; 0 while it is not
        # In transit: time of arrival, message (None for the end of the link), size in bytes.
        self._queue: list[tuple[float, Any, int]] = []
        owner.links[self] = None

    def send(self, message: Message) -> None:
        """Send a message."""
        if self.open:
            self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that is already encoded."""
        owner = self.owner
        world = self.owner.world
        if not self.open:
            return
        message = world.read(data)
        if owner.withholds_updates and isinstance(message, Update):
            return
        departure_s = owner.send_out(len(data))
        self._enqueue(departure_s + world.delay(owner, self.other.owner), message, len(data))

    def _enqueue(self, when: float, message: Any, size: int = 0) -> None:
        self._queue.append((when, message, size))
        if len(self._queue) == 1:
            self.owner.world.at(when, self.arrive)

    def arrive(self) -> None:
        """Deliver the oldest message to the other end, or retry later if the link is cut."""
        world = self.owner.world
        peer_end = self.other
        if (self.owner.name, peer_end.owner.name) in world.cuts:
            self._blocked_since_s = self._blocked_since_s or world.now
            lost = world.now - self._blocked_since_s > LINK_TIMEOUT_S
            if lost:
                self._end()
            return world.retry_later(self, lost)
        self._blocked_since_s = 0.0
        _, message, size = self._queue.pop(0)
        if self._queue:
            world.at(max(world.now, self._queue[0][0]), self.arrive)
        peer_end.owner.receive(size, lambda: peer_end.take(message))
        return None

    def take(self, message: Any) -> None:
        """Handle a message that has arrived.

        :param message: None if the other end has closed the link
        """
        if message is None:
            self._end()
        elif self.open:
            self.last_received_s = self.owner.world.now
            self._on_message(self, message)

    def _end(self) -> None:
        if self.open:
            self.open = False
            self.owner.links.pop(self, None)
            self.owner.run(lambda: self._on_lost(self))

    def close(self) -> None:
        """Close the link; messages in transit behind the first are lost.

        The other end is notified as soon as a message can get through to it.
        """
        if self.open:
            self._end()
            del self._queue[1:]
            self._enqueue(self.owner.world.now + self.owner.world.delay(self.owner, self.other.owner), None)
