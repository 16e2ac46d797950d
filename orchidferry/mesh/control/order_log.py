"""A replica's orders.

Those that wait for their outcome, and the history of those that were committed, with what has to be put on
disk and to be asked of other replicas. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.order_records import record
from orchidferry.mesh.control.shard_state import REFUSALS, Body, PutConfiguration, lists_all_orders
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.shard_messages import Orders, OrdersRequest

PAGE_ORDERS = 256  # orders in one message, or one write
REQUEST_PAUSE_S = 5.0  # a replica that had no older orders to send is asked again after this


@dataclass
class OrderLog:
    """The orders of one shard at one replica.

    :param waiting: orders that wait for their outcome, by the name of their proposal.
    :param requested_s: by replica: when it was asked for older orders.
    """

    shard: int
    history: OrderHistory = field(default_factory=OrderHistory)
    waiting: dict[str, PutConfiguration] = field(default_factory=dict)
    requested_s: dict[str, float] = field(default_factory=dict)

    @staticmethod
    def name(order: PutConfiguration) -> str:
        """Name the proposal of an order, the same for all copies of the order."""
        return f"order {order.revision} {order.on} {order.digest.hex()}"

    def verdict(self, order: PutConfiguration, state: Body) -> Verdict:
        """Tell what is to become of an order, as of a decided state."""
        return order.verdict(self.history, state.revision)

    def learn(self, state: Body) -> None:
        """A newer state is known to be decided."""
        self.history.merge(state.orders, lists_all_orders(state))

    def final_orders(self, state: Body) -> list[tuple[str, str]]:
        """List the waiting orders whose outcome is known for ever.

        :returns: names of proposals, each with why the order is refused; "" if it was committed.
        """
        found = [(name, self.verdict(order, state)) for name, order in self.waiting.items()]
        return [(name, REFUSALS.get(verdict, "")) for name, verdict in found if verdict.is_final]

    def take_unsaved(self) -> tuple[list[int], list[RecordWrite]]:
        """Take the newest orders that are not on disk, and those on disk that are no longer needed.

        :returns: the numbers of the unsaved orders, and what is to be put on disk.
        """
        history = self.history
        numbers = sorted(history.unsaved)[-PAGE_ORDERS:]
        puts = [record(self.shard, number, history.entries[number]) for number in numbers]
        outdated = history.outdated[:PAGE_ORDERS]
        history.outdated = history.outdated[PAGE_ORDERS:]
        puts += [record(self.shard, number, None) for number in outdated if number not in history.entries]
        return numbers, puts

    def next_source(self, names: Iterable[str], now: float) -> str | None:
        """Choose the replica that is asked next for orders older than this one knows; it counts as asked.

        :param names: of the replicas that can be asked.
        :returns: its name; None if nobody is to be asked.
        """
        if self.history.is_complete:
            return None
        for name in names:
            if now - self.requested_s.get(name, float("-inf")) > REQUEST_PAUSE_S:
                self.requested_s[name] = now
                return name
        return None

    def older_request(self) -> OrdersRequest:
        """Build a request for the orders before the oldest one that is known."""
        floor = self.history.floor
        return OrdersRequest(floor, self.history.entries[floor].digest)

    def older_orders(self, request: OrdersRequest) -> Orders | None:
        """Answer another replica's request for older orders; None if this one has none."""
        found = self.history.older_than(request.number, request.digest, PAGE_ORDERS)
        return None if found is None else Orders(list(found[0]), found[1])

    def add_older(self, page: Orders) -> bool:
        """Take older orders from another replica.

        :returns: whether any of them was new.
        """
        floor = self.history.floor
        self.history.prepend(tuple(page.orders), page.complete)
        return self.history.floor != floor
