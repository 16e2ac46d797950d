"""Passes datagrams through a path with scripted faults; settings that the client and the server share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from orchidferry.testkit.quic.faults import PathFaults

IDLE_TIMEOUT_S = 30.0  # time without traffic after which a QUIC connection ends


def send_through(path: PathFaults, deliver: Callable[[Any, Any], None], data: Any, addr: Any) -> None:
    """Send a datagram through a path: `deliver` is called for each copy that arrives, after its delay."""
    for delay_s in path.copy_delays_s():
        if delay_s:
            asyncio.get_running_loop().call_later(delay_s, deliver, data, addr)
        else:
            deliver(data, addr)


class FaultyTransport:
    """A UDP transport that sends its datagrams through a path with scripted faults."""

    def __init__(self, transport: asyncio.DatagramTransport, path: PathFaults) -> None:
        self._transport = transport
        self._path = path

    def sendto(self, data: bytes, addr: Any = None) -> None:
        """Send a datagram through the path."""
        send_through(self._path, self._deliver, data, addr)

    def _deliver(self, data: bytes, addr: Any) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, addr)

    def close(self) -> None:
        """Close the transport."""
        self._transport.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)
