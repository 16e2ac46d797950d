"""Interfaces that the node's transports and subsystems implement."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from orchidferry.node.attempt import Attempt

if TYPE_CHECKING:
    from orchidferry.node.admin_server import PageHandler


class FrontendTransport(Protocol):
    """The listener for one protocol, and the connections of its clients."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def set_not_ready(self) -> None:
        """Answer readiness checks with "not ready" from now on."""

    def close_listener(self) -> None:
        """Stop accepting connections; the open ones are kept."""

    async def wait_closed(self) -> None:
        """Wait until no client is connected."""

    async def close_gracefully(self) -> None:
        """Close idle connections now and the others after their last answer, and wait for all of them."""

    def abort(self) -> None:
        """Close all connections at once."""


class UpstreamTransport(Protocol):
    """The connections to servers."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt, on a new connection if `fresh` is true; it may have ended when this returns."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""

    def server_removed(self, server: int) -> None:
        """Release the resources for a server that is no longer listed."""

    def close(self) -> None:
        """Close all idle connections."""


class Subsystem(Protocol):
    """A part of the node that serves no requests and has its own sockets."""

    def attach(self, ready: Callable[[], bool]) -> None:
        """Set the function that returns whether the node is ready; called before `start`."""

    def pages(self) -> dict[bytes, PageHandler]:
        """Return the subsystem's pages on the admin server, by path."""

    def start(self) -> None:
        """Start working."""

    def count(self) -> int:
        """Return the number of file descriptors in use."""

    def leaving(self) -> None:
        """Called when the node starts to shut down."""

    async def close(self) -> None:
        """Stop working and release all resources."""
