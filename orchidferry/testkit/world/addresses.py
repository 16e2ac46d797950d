"""Loopback addresses of a run: each server and node has its own IP address in 127.0.0.0/8.

A run claims a block 127.b.0.0/16 with a listening socket in the block that stays open until the run ends.
Concurrent runs have different blocks, and a server has the same address after a restart.
"""

from __future__ import annotations

import socket

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.wire import Address

# All ports are below the kernel's range of ephemeral ports.
SERVICE_PORT = 9000
DISCOVERY_PORT = 8500
CLAIM_PORT = 8499
FIRST_BLOCK = 64
LAST_BLOCK = 250
# Index of the first address of each kind; servers begin at 0.
SIDECAR_NODES_FROM = 20_000  # sidecar nodes of servers
FRONT_NODES_FROM = 40_000  # front nodes, which clients use
HUB_FROM = 50_000  # addresses of the hub, through which front nodes reach each other
FLEET_PORT = 9100
ADMIN_PORT = 9200


class NoFreeAddressesError(OrchidferryError):
    """All address blocks are in use."""


class Block:
    """The addresses of one run.

    :param number: second byte of all addresses of the block
    """

    def __init__(self, number: int) -> None:
        self.number = number

    def _ip(self, index: int) -> str:
        return f"127.{self.number}.{1 + index // 250}.{1 + index % 250}"

    def server(self, number: int) -> Address:
        """Return the address of a stand-in server."""
        return self._ip(number), SERVICE_PORT

    def sidecar_node(self, number: int) -> Address:
        """Return the address of the sidecar node of a server.

        :param number: the server's index over all tiers
        """
        return self._ip(SIDECAR_NODES_FROM + number), SERVICE_PORT

    def front_node(self, number: int) -> Address:
        """Return the address at which clients reach a front node."""
        return self._ip(FRONT_NODES_FROM + number), SERVICE_PORT

    def fleet_node(self, number: int) -> Address:
        """Return the address at which a front node listens for its peers."""
        return self._ip(FRONT_NODES_FROM + number), FLEET_PORT

    def fleet_hub(self, number: int) -> Address:
        """Return the hub's address at which peers reach a front node."""
        return self._ip(HUB_FROM + number), FLEET_PORT

    def admin(self, number: int) -> Address:
        """Return the address of the admin server of a front node."""
        return self._ip(FRONT_NODES_FROM + number), ADMIN_PORT

    @staticmethod
    def discovery_for(node: Address) -> Address:
        """Return the address of service discovery that only this node uses."""
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
