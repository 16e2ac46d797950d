"""Links between the mesh's own processes: TCP connections to an internal port with length-prefixed messages.

The first message of a link is a greeting from the side that dialled. It holds the protocol number; builds
with different numbers close the link. A message that can't be decoded closes its link too. Links are
long-lived; the code that uses a link closes it if nothing was received for too long.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from loguru import logger

from orchidferry.mesh.wire.codec import LENGTH_BYTES, MessageDecodeError, decode, encode, greeting_protocol
from orchidferry.mesh.wire.messages import Greeting, Message

MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # longest message, without its length prefix
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # largest write buffer for a peer that does not read
USER_TIMEOUT_MS = 2_000  # a connection ends if sent bytes are unacknowledged for longer (RFC 5482)
DIAL_TIMEOUT_S = 1.0  # time for a connection to be established
PROTOCOL = 4  # protocol number; increased with each change that an earlier build would misread


class Link(asyncio.Protocol):
    """One connection between two processes of the mesh.

    :ivar peer: name of the other process; set by the code that uses the link
    :ivar max_unsent_bytes: the link is closed if more bytes than this wait to be sent
    :ivar last_received_s: time of the last receipt of bytes, in seconds of the loop's clock
    """

    def __init__(
        self,
        on_message: Callable[[Link, Message], None],
        on_closed: Callable[[Link], None],
        on_opened: Callable[[Link], None] | None = None,
        accepted: bool = False,
    ) -> None:
        """Create a `Link`.

        :param on_message: called with the link and each received message, except the greeting
        :param on_closed: called once when the connection has ended
        :param on_opened: called once when the connection is established
        :param accepted: whether the other side dialled, so that its first message must be the greeting
        """
        self._on_message = on_message
        self._on_closed = on_closed
        self._on_opened = on_opened
        self._awaits_greeting = accepted
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.peer: Any = None
        self.max_unsent_bytes = MAX_UNSENT_BYTES
        self.last_received_s = 0.0
        self._clock = asyncio.get_running_loop().time

    @property
    def open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def receives_message(self) -> bool:
        """Whether a part of a message has arrived, and its rest has not."""
        return bool(self._buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket (called by asyncio)."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_received_s = self._clock()
        if self._on_opened is not None:
            self._on_opened(self)

    def data_received(self, data: bytes) -> None:
        """Split the byte stream into messages and handle them (called by asyncio)."""
        self.last_received_s = self._clock()
        buffer = self._buffer
        buffer += data
        position = 0
        while len(buffer) - position >= LENGTH_BYTES:
            begin = position + LENGTH_BYTES
            size = int.from_bytes(buffer[position:begin], "big")
            if size > MAX_MESSAGE_BYTES:
                return self.close()
            if len(buffer) - begin < size:
                break
            position = begin + size
            self._handle_body(bytes(buffer[begin:position]))
            if not self.open:
                return None
        del buffer[:position]
        return None

    def _handle_body(self, body: bytes) -> None:
        if self._awaits_greeting:
            return self._check_greeting(body)
        try:
            message = decode(body)
        except MessageDecodeError as error:
            logger.warning("link: can't decode a message from {}: {}", self._peer_address(), error)
            return self.close()
        self._on_message(self, message)
        return None

    def _check_greeting(self, body: bytes) -> None:
        self._awaits_greeting = False
        protocol = greeting_protocol(body)
        if protocol != PROTOCOL:
            logger.warning(
                "link: {} speaks protocol {!s:.20}, this build needs {}; link closed",
                self._peer_address(),
                "none" if protocol is None else protocol,
                PROTOCOL,
            )
            self.close()

    def _peer_address(self) -> str:
        address = self._transport.get_extra_info("peername") if self._transport is not None else None
        return str(address[0]) if address else "an unknown peer"

    def send(self, message: Message) -> None:
        """Send a message; does nothing if the link is closed."""
        if self.open:
            self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for many links; does nothing if the link is closed.

        :param data: the message with its length prefix, as `codec.encode` returns it
        """
        if self._transport is not None and self.open:
            if self._transport.get_write_buffer_size() > self.max_unsent_bytes:
                return self.close()
            self._transport.write(data)
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection has ended (called by asyncio)."""
        self._transport = None
        self._on_closed(self)

    def close(self) -> None:
        """Close the link at once; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()


async def dial(
    on_message: Callable[[Link, Message], None],
    on_closed: Callable[[Link], None],
    host: str,
    port: int,
    local_ip: str,
    timeout_s: float = DIAL_TIMEOUT_S,
) -> Link | None:
    """Open a link to another process and send the greeting.

    :param on_message: called with the link and each received message
    :param on_closed: called once when the connection has ended
    :param host: IP address of the other process
    :param port: internal port of the other process
    :param local_ip: local IP address to dial from
    :param timeout_s: for the connection to be established, in seconds
    :returns: the link; None if no connection was established within the timeout
    """
    loop = asyncio.get_running_loop()
    link = Link(on_message, on_closed)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: link, host, port, local_addr=(local_ip, 0))
    except OSError:
        link.close()
        return None
    link.send(Greeting(PROTOCOL))
    return link
