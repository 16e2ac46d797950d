"""Operators' orders at one replica: requests to commit an order, and the exchange of older orders. No I/O.

An order is an operator's request to replace the configuration (see `order_history`). Older orders are
exchanged with other replicas. Actions are collected in the `ShardContext`.
"""

from __future__ import annotations

from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.order_history import Verdict
from orchidferry.mesh.control.order_log import OrderLog
from orchidferry.mesh.control.register_replica import Purpose, RegisterReplica
from orchidferry.mesh.control.shard_context import ShardContext
from orchidferry.mesh.control.write_completions import OrdersSaved
from orchidferry.mesh.wire.shard_messages import Orders, OrdersRequest


class OrderRequests:
    """Proposes the orders requested at one replica, and ends the requests with the outcome."""

    def __init__(self, context: ShardContext, register: RegisterReplica, order_log: OrderLog) -> None:
        self.context = context
        self.register = register
        self.order_log = order_log

    def request(self, id: str, order: shard_state.PutConfiguration, timeout_s: float) -> None:
        """Handle a request to commit an order.

        A request whose outcome is already final ends at once; copies of an order share one proposal.

        :param id: id of the request.
        :param timeout_s: time for which the order is proposed, in seconds.
        """
        state = self.register.known
        verdict = self.order_log.verdict(order, shard_state.body(state))
        if state.version and (verdict.is_final or verdict is Verdict.UNKNOWN):
            why = shard_state.REFUSALS.get(verdict, "")
            self.context.actions.append(RequestEnded(id, state, why))
            return
        name = self.order_log.name(order)
        if name in self.register.proposals:
            self.register.proposals[name].waiting.append(id)
            return
        self.order_log.waiting[name] = order
        self.register.propose(name, order, timeout_s, Purpose.REQUEST, [id])

    def end_final_orders(self) -> None:
        """End the pending orders whose outcome is final after a newly learned state."""
        state = self.register.known
        for name, why in self.order_log.final_orders(shard_state.body(state)):
            self.register.proposer.withdraw(name)
            self.register.end_proposal(name, state, why)

    def ask_for_older(self) -> None:
        """Ask another replica for orders older than those known here."""
        now = self.context.now
        alive = [name for name in self.register.other_controllers() if self.context.peers.alive(name, now)]
        name = self.order_log.next_source(alive, now)
        if name is not None:
            self.context.send(name, self.order_log.older_request())

    def give_older(self, sender_link: Any, request: OrdersRequest) -> None:
        """Send older orders to another replica that has asked for them, if there are any here.

        :param sender_link: link over which the reply is sent.
        """
        page = self.order_log.older_orders(request)
        if page is not None:
            self.context.reply(sender_link, page)

    def take_older(self, sender_link: Any, page: Orders) -> None:
        """Add older orders received from another replica, write them to disk, and request still older ones.

        :param sender_link: link over which the next request is sent.
        """
        if self.order_log.add_older(page):
            order_numbers, puts = self.order_log.take_unsaved()
            self.context.write(puts, OrdersSaved(order_numbers))
            if not self.order_log.history.is_complete:
                self.context.reply(sender_link, self.order_log.older_request())
