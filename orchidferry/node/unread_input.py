"""Whether a socket has input that the event loop has not read yet."""

from __future__ import annotations

import asyncio
import select


class UnreadInput:
    """Asks the socket of a transport itself, as the event loop reads sockets only once an iteration."""

    __slots__ = ("_poll",)

    def __init__(self, transport: asyncio.Transport) -> None:
        """:param transport: open, over a socket"""
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def waits(self) -> bool:
        """Whether something that the peer has sent, or its end, waits to be read; the socket must be open."""
        return bool(self._poll.poll(0))
