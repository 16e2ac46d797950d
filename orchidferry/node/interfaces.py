"""What the node asks of its transports and subsystems."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from orchidferry.node.attempt import Attempt

if TYPE_CHECKING:
    from orchidferry.node.admin_server import PageHandler


class FrontendTransport(Protocol):
    """The listener of one transport, and the connections of its clients."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def set_not_ready(self) -> None:
        """Answer readiness checks with no from now on."""

    def close_listener(self) -> None:
        """Accept no more connections."""

    async def wait_closed(self) -> None:
        """Wait until no client is connected."""

    async def close_gracefully(self) -> None:
        """Close idle connections, and the others after their last answer; wait until all are closed."""

    def abort(self) -> None:
        """Close all connections at once."""


class UpstreamTransport(Protocol):
    """The connections to servers."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt, on a new connection if `fresh`; it may have ended when this returns."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""

    def server_removed(self, server: int) -> None:
        """Forget a server that is not listed any more."""

    def close(self) -> None:
        """Close all idle connections."""


class Subsystem(Protocol):
    """A part of the node that takes no requests and has sockets of its own."""

    def attach(self, ready: Callable[[], bool]) -> None:
        """Take the node's readiness check; called before `start`."""

    def pages(self) -> dict[bytes, PageHandler]:
        """Return its pages on the admin server, by path."""

    def start(self) -> None:
        """Begin its work."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def leaving(self) -> None:
        """Learn that the node begins to shut down."""

    async def close(self) -> None:
        """End its work."""
