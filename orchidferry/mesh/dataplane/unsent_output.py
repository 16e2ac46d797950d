"""How much of what was written to a transport has not reached its peer."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

QUEUE_SIZE = struct.Struct("i")  # the form in which the kernel reports the size of a socket's send queue


def unsent_output(transport: asyncio.Transport) -> int:
    """Return the number of bytes in the transport's buffer and in the kernel's send queue (`SIOCOUTQ`).

    :param transport: an open transport with a socket
    """
    socket = transport.get_extra_info("socket").fileno()
    queue = fcntl.ioctl(socket, termios.TIOCOUTQ, QUEUE_SIZE.pack(0))
    return int(QUEUE_SIZE.unpack(queue)[0]) + transport.get_write_buffer_size()
