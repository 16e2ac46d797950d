"""A controller in virtual time: the production publisher without the consensus group."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from orchidferry.mesh.control.control_client import TICK_S
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    LeaseRenewal,
    NodeHello,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)
from orchidferry.testkit.model.virtual_process import Process

if TYPE_CHECKING:
    from orchidferry.testkit.model.fanout_world import World


class Controller(Process):
    """A controller that is reduced to its publisher."""

    def __init__(self, world: World, name: str, zone: int) -> None:
        super().__init__(world, name, zone)
        loop: Any = self
        self.publisher = Publisher(name, self.zone, world.rng.randrange(1, 2**53), loop)
        self.revision = 0
        self.text = b""
        self.recorded_number = 0  # number of the last change that the world has recorded
        self.call_later(TICK_S / 2.0, self._tick)

    @property
    def stream(self) -> Any:
        """The publisher's stream of membership changes."""
        return self.publisher._stream

    def _tick(self) -> None:
        self.call_later(TICK_S / 2.0, self._tick)
        self.publisher.tick()
        self.world.stream_changed(self)

    def configuration_decided(self, revision: int, text: bytes) -> None:
        """Take over a configuration that was decided, and announce it to the subscribers.

        :param revision: revision of the configuration
        :param text: text of the configuration, as sent to nodes
        """
        self.revision = revision
        self.text = text
        self.publisher.announce_revision(revision)
        self.world.stream_changed(self)

    def disconnected(self, end: Any) -> None:
        """Handle the end of a link."""
        self.publisher.disconnected(end)

    def received(self, end: Any, message: Any) -> None:
        """Handle a message from a node."""
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
        self.world.stream_changed(self)
