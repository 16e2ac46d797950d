"""A replica's orders: those that wait for their outcome, and the history of those that were taken, with what
it has to put on disk and to ask of other replicas. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.order_records import record
from orchidferry.mesh.control.shard_state import REFUSALS, Body, PutConfiguration, lists_all_orders
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.shard_messages import Orders, OrdersRequest

PAGE = 256  # orders in one message, or one write
AGAIN_S = 5.0  # a replica that had no older orders to tell is asked again after so long


@dataclass
class OrderBook:
    """The orders of one shard at one replica."""

    shard: int
    history: OrderHistory = field(default_factory=OrderHistory)
    waiting: dict[str, PutConfiguration] = field(default_factory=dict)  # by the name of the proposal
    asked_s: dict[str, float] = field(default_factory=dict)  # when each replica was asked for older orders

    @staticmethod
    def name(order: PutConfiguration) -> str:
        """The same for all copies of an order."""
        return f"order {order.revision} {order.on} {order.digest.hex()}"

    def verdict(self, order: PutConfiguration, state: Body) -> Verdict:
        """What is to become of an order, as of a decided state."""
        return order.verdict(self.history, state.revision)

    def learn(self, state: Body) -> None:
        """A newer state was decided."""
        self.history.merge(state.orders, lists_all_orders(state))

    def settled(self, state: Body) -> list[tuple[str, str]]:
        """The proposals of which it is known for ever what became of them, and why they were refused, if
        they were.
        """
        found = [(name, self.verdict(order, state)) for name, order in self.waiting.items()]
        return [(name, REFUSALS.get(verdict, "")) for name, verdict in found if verdict.is_final]

    # On disk

    def puts(self) -> tuple[list[int], list[RecordWrite]]:
        """The newest orders that are not on disk, with what puts them there."""
        history = self.history
        numbers = sorted(history.unsaved)[-PAGE:]
        puts = [record(self.shard, number, history.entries[number]) for number in numbers]
        outdated = history.outdated[:PAGE]
        history.outdated = history.outdated[PAGE:]
        puts += [record(self.shard, number, None) for number in outdated if number not in history.entries]
        return numbers, puts

    # With other replicas

    def to_ask(self, names: Iterable[str], now: float) -> str | None:
        """Who of these is asked next for orders older than this one knows; None for nobody."""
        if self.history.is_complete:
            return None
        for name in names:
            if now - self.asked_s.get(name, float("-inf")) > AGAIN_S:
                self.asked_s[name] = now
                return name
        return None

    def older_request(self) -> OrdersRequest:
        """Asks for the orders before the oldest one that is known."""
        floor = self.history.floor
        return OrdersRequest(floor, self.history.entries[floor].digest)

    def page(self, request: OrdersRequest) -> Orders | None:
        """What another replica is told that asks for older orders; None for nothing."""
        found = self.history.before(request.number, request.digest, PAGE)
        return None if found is None else Orders(list(found[0]), found[1])

    def take_page(self, page: Orders) -> bool:
        """Learn older orders; whether there was anything new."""
        floor = self.history.floor
        self.history.prepend(tuple(page.orders), page.complete)
        return self.history.floor != floor
