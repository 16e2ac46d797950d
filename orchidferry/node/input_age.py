"""How long ago the kernel received the newest bytes of a TCP connection.

A process that waits for a CPU core, or is busy, reads its sockets late, while its clients already wait.
"""

from __future__ import annotations

import asyncio
import socket
import sys

# `struct tcp_info` of linux/tcp.h consists of eight bytes, followed by integers of four bytes each.
LAST_DATA_RECEIVED_OFFSET = 52  # offset of `tcpi_last_data_recv`, which is in milliseconds
INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4


class InputAge:
    """Queries the kernel for the input age of one connection."""

    __slots__ = ("_socket",)

    def __init__(self, transport: asyncio.Transport) -> None:
        """:param transport: an open transport."""
        self._socket = transport.get_extra_info("socket")

    def newest_ms(self) -> float:
        """Return the age of the newest bytes received, in milliseconds.

        Data that was read before is at least as old. Return 0 if the kernel does not provide the age.
        """
        if self._socket is None:
            return 0.0
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        except OSError:  # the socket was closed meanwhile, or is not a TCP socket
            return 0.0
        if len(info) < INFO_BYTES:
            return 0.0
        return float(int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:INFO_BYTES], sys.byteorder))
