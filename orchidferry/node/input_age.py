"""How long ago the kernel received the newest bytes of a TCP connection.

A process that waits for a core, or is busy, reads its sockets late; its clients wait since before that.
"""

from __future__ import annotations

import asyncio
import socket
import sys

# `struct tcp_info` of linux/tcp.h: eight bytes, then numbers of four bytes
LAST_DATA_RECEIVED_OFFSET = 52  # `tcpi_last_data_recv`, in milliseconds
INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4


class InputAge:
    """Asks the kernel about one connection."""

    __slots__ = ("_socket",)

    def __init__(self, transport: asyncio.Transport) -> None:
        """:param transport: open"""
        self._socket = transport.get_extra_info("socket")

    def newest_ms(self) -> float:
        """Return the age of the newest bytes received, in milliseconds.

        What was read before is at least as old. It is 0 where the kernel does not tell.
        """
        if self._socket is None:
            return 0.0
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
        except OSError:  # closed meanwhile, or no TCP
            return 0.0
        if len(info) < INFO_BYTES:
            return 0.0
        return float(int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:INFO_BYTES], sys.byteorder))
