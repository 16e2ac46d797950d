"""Loopback addresses of a run: each server and node has an IP address of its own in 127.0.0.0/8.

A run claims a block 127.b.0.0/16 by a listener in it, held to its end, so that runs side by side never meet,
and servers keep their address over restarts with no port to fall out of use.
"""

from __future__ import annotations

import socket

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.wire import Address

# all under the ports that the kernel hands out
SERVICE_PORT = 9000
DISCOVERY_PORT = 8500
CLAIM_PORT = 8499
FIRST_BLOCK = 64
LAST_BLOCK = 250
# numbers of the servers' own nodes, and of the first tier's
NODES_FROM = 20_000
FRONT_NODES_FROM = 40_000
HUB_FROM = 50_000  # where the first tier's nodes reach each other, by the kit's links
FLEET_PORT = 9100
DOOR_PORT = 9200


class NoFreeAddressesError(OrchidferryError):
    """All blocks are in use."""


class Block:
    """The addresses of one run."""

    def __init__(self, number: int) -> None:
        self.number = number

    def _ip(self, index: int) -> str:
        return f"127.{self.number}.{1 + index // 250}.{1 + index % 250}"

    def server(self, number: int) -> Address:
        return self._ip(number), SERVICE_PORT

    def own_node(self, number: int) -> Address:
        """Of the node that stands beside server `number` and is used by it alone."""
        return self._ip(NODES_FROM + number), SERVICE_PORT

    def front_node(self, number: int) -> Address:
        return self._ip(FRONT_NODES_FROM + number), SERVICE_PORT

    def fleet_node(self, number: int) -> Address:
        """Where such a node listens to its peers,"""
        return self._ip(FRONT_NODES_FROM + number), FLEET_PORT

    def fleet_hub(self, number: int) -> Address:
        """and where these reach it: the kit's links are between."""
        return self._ip(HUB_FROM + number), FLEET_PORT

    def door(self, number: int) -> Address:
        """Its operators' door."""
        return self._ip(FRONT_NODES_FROM + number), DOOR_PORT

    @staticmethod
    def discovery_for(node: Address) -> Address:
        """Where that node, and no other, asks discovery: its address tells who asks."""
        return node[0], DISCOVERY_PORT


def claim() -> tuple[Block, socket.socket]:
    """A free block, and the socket that holds it until it is closed."""
    for number in range(FIRST_BLOCK, LAST_BLOCK + 1):
        held = socket.socket()
        try:
            held.bind((f"127.{number}.0.1", CLAIM_PORT))
            held.listen(1)
            return Block(number), held
        except OSError:
            held.close()
    raise NoFreeAddressesError("all loopback blocks from 127.64 to 127.250 are in use by other rehearsals")
