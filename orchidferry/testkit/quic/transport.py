"""Datagrams along a scripted path, and the settings that both sides share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from orchidferry.testkit.quic.faults import PathFaults

IDLE_S = 30.0  # after which a connection without traffic ends


def along(path: PathFaults, arrive: Callable[[Any, Any], None], data: Any, addr: Any) -> None:
    """Let a datagram go by a scripted path: `arrive` is called for each copy that comes, when it does."""
    for wait in path.copy_delays_s():
        if wait:
            asyncio.get_running_loop().call_later(wait, arrive, data, addr)
        else:
            arrive(data, addr)


class FaultyTransport:
    """A UDP transport whose datagrams go by a scripted path."""

    def __init__(self, transport: asyncio.DatagramTransport, path: PathFaults) -> None:
        self._transport = transport
        self._path = path

    def sendto(self, data: bytes, addr: Any = None) -> None:
        """Send a datagram along the path."""
        along(self._path, self._late, data, addr)

    def _late(self, data: bytes, addr: Any) -> None:
        if not self._transport.is_closing():
            self._transport.sendto(data, addr)

    def close(self) -> None:
        """Close the transport."""
        self._transport.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)
