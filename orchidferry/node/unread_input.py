"""Whether a socket has input that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select


class UnreadInput:
    """Polls the socket of a transport, as the event loop reads sockets only once per iteration."""

    __slots__ = ("_poll",)

    def __init__(self, transport: asyncio.Transport) -> None:
        """:param transport: an open transport with a socket."""
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def waits(self) -> bool:
        """Return whether data or an end of file from the peer is unread; the socket must be open."""
        return bool(self._poll.poll(0))
