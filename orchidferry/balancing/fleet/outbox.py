"""Outgoing messages with their serials and piggybacked gossip, and log lines for operators."""

from __future__ import annotations

from collections.abc import Iterable

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.gossip_queue import GossipQueue
from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.members import Entry, Status, size_of
from orchidferry.balancing.fleet.messages import Address, Kind, Message
from orchidferry.balancing.token_bucket import RateLimiter

MAX_UPDATE_BYTES = 1_100  # keeps a datagram under the 1,400 bytes that any network carries unfragmented
HEADER_BYTES = 90  # greatest size of a message without its entries
LOG_INTERVAL_S = 60.0  # shortest interval between two warnings of one kind


class Outbox:
    """Collects the actions that result from one event, in order, and enforces the rate limits of messages."""

    def __init__(self, me: Entry, table: MemberTable) -> None:
        self.me = me  # this node's own entry
        self.actions: list[api.Action] = []
        self.gossip = GossipQueue()
        self._table = table
        self._serial = 0
        self._introductions = RateLimiter(50.0, 100.0)
        self._state_requests = RateLimiter(1.0, 2.0)
        self._state_replies = RateLimiter(10.0, 20.0)
        self._lines = {kind: RateLimiter(1.0 / LOG_INTERVAL_S, 1.0) for kind in api.LogKind}

    def _message(
        self,
        kind: Kind,
        to_life: int,
        number: int = 0,
        target: Entry | None = None,
        updates: Iterable[Entry] = (),
    ) -> Message:
        self._serial += 1
        return Message(kind, self.me, to_life, self._serial, number, target, tuple(updates))

    def send(self, kind: Kind, to: Entry, number: int = 0, target: Entry | None = None) -> None:
        """Send a datagram to a node, with as much gossip as fits.

        If the receiver is not known as alive, its entry goes first, so that the receiver can refute it.
        """
        max_bytes = MAX_UPDATE_BYTES - HEADER_BYTES - size_of(self.me)
        max_bytes -= size_of(target) if target is not None else 0
        updates: list[Entry] = []
        known = self._table.members.get(to.name)
        if known is not None and known.status is not Status.ALIVE:
            updates.append(known)
            max_bytes -= size_of(known)
        updates += self.gossip.take(max_bytes, self._table.size, to.name)
        message = self._message(kind, to.life, number, target, updates)
        self.actions.append(api.SendDatagram((to.host, to.port), message))

    def introduce_self(self, to: Entry, number: int, now: float, updates: tuple[Entry, ...] = ()) -> None:
        """Send this node's entry to a process that is not the known one; rate-limited, as anyone may ask."""
        if self._introductions.take(now):
            message = self._message(Kind.ACK, to.life, number, None, updates)
            self.actions.append(api.SendDatagram((to.host, to.port), message))

    def ping_address(self, to: Address, to_life: int = 0) -> None:
        """Ping an address, whichever node is there."""
        self.actions.append(api.SendDatagram(to, self._message(Kind.PING, to_life)))

    def request_state(self, members: Iterable[Entry], now: float) -> None:
        """Request an exchange of complete states with each of these members."""
        for entry in members:
            if self._state_requests.take(now):
                message = self._message(Kind.STATE_REQUEST, entry.life, updates=self._table.members.values())
                self.actions.append(api.ExchangeState((entry.host, entry.port), message))

    def reply_state(self, to: Entry, now: float) -> None:
        """Reply with the complete state."""
        if self._state_replies.take(now):
            message = self._message(Kind.STATE_REPLY, to.life, updates=self._table.members.values())
            self.actions.append(api.Reply(message))

    def warn(self, kind: api.LogKind, text: str, now: float) -> None:
        """Log a warning, unless one of its kind was logged recently."""
        if self._lines[kind].take(now):
            self.actions.append(api.Log(text, True))
