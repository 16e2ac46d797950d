"""The orders of one replica: those that are pending, and the history of committed ones. No I/O.

An order is an operator's request to replace the configuration (see `order_history`). The log determines which
orders have to be written to disk, and which to request from other replicas.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.order_records import record
from orchidferry.mesh.control.shard_state import REFUSALS, Body, PutConfiguration, lists_all_orders
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.shard_messages import Orders, OrdersRequest

PAGE_ORDERS = 256  # maximum number of orders in one message or one write
REQUEST_INTERVAL_S = 5.0  # minimum time between two requests for older orders to the same replica


@dataclass
class OrderLog:
    """The orders of one shard at one replica.

    :param shard: number of the shard.
    :param history: the committed orders.
    :param waiting: orders whose outcome is pending, by the name of their proposal.
    :param requested_s: time of the last request for older orders, by replica.
    """

    shard: int
    history: OrderHistory = field(default_factory=OrderHistory)
    waiting: dict[str, PutConfiguration] = field(default_factory=dict)
    requested_s: dict[str, float] = field(default_factory=dict)

    @staticmethod
    def name(order: PutConfiguration) -> str:
        """Return the name of an order's proposal, which is the same for all copies of the order."""
        return f"order {order.revision} {order.on} {order.digest.hex()}"

    def verdict(self, order: PutConfiguration, state: Body) -> Verdict:
        """Return the verdict on an order, given a decided state."""
        return order.verdict(self.history, state.revision)

    def learn(self, state: Body) -> None:
        """Add the orders listed in a newly learned decided state to the history."""
        self.history.merge(state.orders, lists_all_orders(state))

    def final_orders(self, state: Body) -> list[tuple[str, str]]:
        """List the pending orders whose outcome is final, given a decided state.

        :returns: names of proposals, each with the reason why the order is refused; "" if it was committed.
        """
        found = [(name, self.verdict(order, state)) for name, order in self.waiting.items()]
        return [(name, REFUSALS.get(verdict, "")) for name, verdict in found if verdict.is_final]

    def take_unsaved(self) -> tuple[list[int], list[RecordWrite]]:
        """Take the next page of disk writes: the newest unsaved orders, and deletions of outdated ones.

        :returns: the numbers of the unsaved orders, and the writes.
        """
        history = self.history
        numbers = sorted(history.unsaved)[-PAGE_ORDERS:]
        puts = [record(self.shard, number, history.entries[number]) for number in numbers]
        outdated = history.outdated[:PAGE_ORDERS]
        history.outdated = history.outdated[PAGE_ORDERS:]
        puts += [record(self.shard, number, None) for number in outdated if number not in history.entries]
        return numbers, puts

    def next_source(self, names: Iterable[str], now: float) -> str | None:
        """Choose the replica to ask for orders older than the known ones, and note the time of the request.

        :param names: names of the replicas that can be asked.
        :returns: the name of the replica; None if no request is needed, or all were asked recently.
        """
        if self.history.is_complete:
            return None
        for name in names:
            if now - self.requested_s.get(name, float("-inf")) > REQUEST_INTERVAL_S:
                self.requested_s[name] = now
                return name
        return None

    def older_request(self) -> OrdersRequest:
        """Return a request for the orders before the oldest known one."""
        floor = self.history.floor
        return OrdersRequest(floor, self.history.entries[floor].digest)

    def older_orders(self, request: OrdersRequest) -> Orders | None:
        """Return the reply to another replica's request for older orders; None if this replica has none."""
        found = self.history.older_than(request.number, request.digest, PAGE_ORDERS)
        return None if found is None else Orders(list(found[0]), found[1])

    def add_older(self, page: Orders) -> bool:
        """Add older orders received from another replica.

        :returns: whether any of them was new.
        """
        floor = self.history.floor
        self.history.prepend(tuple(page.orders), page.complete)
        return self.history.floor != floor
