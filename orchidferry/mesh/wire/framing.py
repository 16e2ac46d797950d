"""Links between the system's own processes: messages with a length in front over TCP, on an internal port.

The first message of a link, from whoever dialled, names the number of the protocol: processes of builds
that differ in it do not talk. A message that can't be read closes its link. Links are kept; one that is
silent is ended by whoever keeps it, as each side sends something at least every `QUIET_S`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from loguru import logger

from orchidferry.mesh.wire.codec import LENGTH_BYTES, MessageDecodeError, decode, encode, greeting_protocol
from orchidferry.mesh.wire.messages import Greeting, Message

MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # bytes of one message
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # bytes that may wait for a peer that does not read
USER_TIMEOUT_MS = 2_000
PROTOCOL = 4  # rises with each change that an earlier build would misread


class Link(asyncio.Protocol):
    """One connection between two processes of the system."""

    def __init__(
        self,
        heard: Callable[[Link, Message], None],
        lost: Callable[[Link], None],
        made: Callable[[Link], None] | None = None,
        accepted: bool = False,
    ) -> None:
        """`accepted`: the other side dialled, so that its first message is to name the protocol."""
        self._heard = heard
        self._lost = lost
        self._made = made
        self._awaits_greeting = accepted
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.peer: Any = None  # whoever keeps the link notes here who it is
        self.choked = MAX_UNSENT_BYTES
        self.heard_s = 0.0  # when something came last
        self._clock = asyncio.get_running_loop().time

    @property
    def open(self) -> bool:
        """Whether something may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.heard_s = self._clock()
        if self._made is not None:
            self._made(self)

    def data_received(self, data: bytes) -> None:
        self.heard_s = self._clock()
        buffer = self._buffer
        buffer += data
        at = 0
        while len(buffer) - at >= LENGTH_BYTES:
            begin = at + LENGTH_BYTES
            size = int.from_bytes(buffer[at:begin], "big")
            if size > MAX_MESSAGE_BYTES:
                return self.close()
            if len(buffer) - begin < size:
                break
            at = begin + size
            self._take(bytes(buffer[begin:at]))
            if not self.open:
                return
        del buffer[:at]

    def _take(self, body: bytes) -> None:
        if self._awaits_greeting:
            return self._greeted(body)
        try:
            message = decode(body)
        except MessageDecodeError as problem:
            logger.warning("link: a message of {} can't be read: {}", self._peer_address(), problem)
            return self.close()
        self._heard(self, message)

    def _greeted(self, body: bytes) -> None:
        self._awaits_greeting = False
        spoken = greeting_protocol(body)
        if spoken != PROTOCOL:
            logger.warning(
                "link: {} speaks protocol {!s:.20}, {} is needed: it is of another build",
                self._peer_address(),
                "none" if spoken is None else spoken,
                PROTOCOL,
            )
            self.close()

    def _peer_address(self) -> str:
        name = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(name[0]) if name else "a peer"

    def send(self, message: Message) -> None:
        """Send a message; nothing if the link is down."""
        if self.open:
            self.send_packed(encode(message))

    def send_packed(self, data: bytes) -> None:
        """The same for one that was encoded once for many."""
        if self._transport is not None and self.open:
            if self._transport.get_write_buffer_size() > self.choked:
                return self.close()
            self._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._lost(self)

    def close(self) -> None:
        """End it now."""
        if self._transport is not None:
            self._transport.abort()


async def dial(
    heard: Callable[[Link, Message], None],
    lost: Callable[[Link], None],
    host: str,
    port: int,
    own_ip: str,
    wait_s: float = 1.0,
) -> Link | None:
    """A new link; None if there is none within the time."""
    loop = asyncio.get_running_loop()
    link = Link(heard, lost)
    try:
        async with asyncio.timeout(wait_s):
            await loop.create_connection(lambda: link, host, port, local_addr=(own_ip, 0))
    except OSError:
        link.close()
        return None
    link.send(Greeting(PROTOCOL))
    return link
