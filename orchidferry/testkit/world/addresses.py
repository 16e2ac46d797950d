"""Loopback addresses of a run: each server and node has an IP address of its own in 127.0.0.0/8.

A run claims a block 127.b.0.0/16 by a listener in it that stays open to its end. Concurrent runs have
different blocks, and a server has the same address after a restart.
"""

from __future__ import annotations

import socket

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.wire import Address

# all below the kernel's range of ephemeral ports
SERVICE_PORT = 9000
DISCOVERY_PORT = 8500
CLAIM_PORT = 8499
FIRST_BLOCK = 64
LAST_BLOCK = 250
# first index of the addresses of the servers' sidecar nodes, and of the first tier's nodes
NODES_FROM = 20_000
FRONT_NODES_FROM = 40_000
HUB_FROM = 50_000  # first index of the hub's addresses, at which nodes reach each other
FLEET_PORT = 9100
ADMIN_PORT = 9200


class NoFreeAddressesError(OrchidferryError):
    """All blocks are in use."""


class Block:
    """The addresses of one run."""

    def __init__(self, number: int) -> None:
        self.number = number

    def _ip(self, index: int) -> str:
        return f"127.{self.number}.{1 + index // 250}.{1 + index % 250}"

    def server(self, number: int) -> Address:
        """Return the address of a stand-in server."""
        return self._ip(number), SERVICE_PORT

    def own_node(self, number: int) -> Address:
        """Return the address of the sidecar node of a server."""
        return self._ip(NODES_FROM + number), SERVICE_PORT

    def front_node(self, number: int) -> Address:
        """Return the address at which clients reach a node of the first tier."""
        return self._ip(FRONT_NODES_FROM + number), SERVICE_PORT

    def fleet_node(self, number: int) -> Address:
        """Return the address at which a node of the first tier listens to its peers."""
        return self._ip(FRONT_NODES_FROM + number), FLEET_PORT

    def fleet_hub(self, number: int) -> Address:
        """Return the hub's address at which peers reach a node of the first tier."""
        return self._ip(HUB_FROM + number), FLEET_PORT

    def admin(self, number: int) -> Address:
        """Return the address of the admin server of a node of the first tier."""
        return self._ip(FRONT_NODES_FROM + number), ADMIN_PORT

    @staticmethod
    def discovery_for(node: Address) -> Address:
        """Return the address at which only this node asks discovery."""
        return node[0], DISCOVERY_PORT


def claim() -> tuple[Block, socket.socket]:
    """Claim a free block.

    :returns: the block, and the socket that reserves it until it is closed
    :raises NoFreeAddressesError: if all blocks are in use
    """
    for number in range(FIRST_BLOCK, LAST_BLOCK + 1):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{number}.0.1", CLAIM_PORT))
            reservation.listen(1)
            return Block(number), reservation
        except OSError:
            reservation.close()
    raise NoFreeAddressesError("all loopback blocks from 127.64 to 127.250 are in use by other rehearsals")
