"""Operators' orders at one replica: requests to take one, and the exchange of older orders with others.

It does no I/O: actions are collected in the `ShardContext`.
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
    """Proposes the orders that are requested at one replica, and tells what became of them."""

    def __init__(self, context: ShardContext, register: RegisterReplica, order_log: OrderLog) -> None:
        self.context = context
        self.register = register
        self.order_log = order_log

    def request(self, id: str, order: shard_state.PutConfiguration, for_s: float) -> None:
        """Request an order.

        One whose outcome is known for ever ends at once; copies of an order share one proposal.

        :param id: of the request.
        :param for_s: seconds for which the order is tried.
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
        self.register.propose(name, order, for_s, Purpose.REQUEST, [id])

    def end_final_orders(self) -> None:
        """End the orders whose outcome a newly learned state settles for ever."""
        state = self.register.known
        for name, why in self.order_log.final_orders(shard_state.body(state)):
            self.register.proposer.withdraw(name)
            self.register.end_proposal(name, state, why)

    def ask_for_older(self) -> None:
        """Ask another replica for orders older than this one knows."""
        now = self.context.now
        alive = [name for name in self.register.other_controllers() if self.context.peers.alive(name, now)]
        name = self.order_log.next_source(alive, now)
        if name is not None:
            self.context.send(name, self.order_log.older_request())

    def give_older(self, sender_link: Any, request: OrdersRequest) -> None:
        """Answer another replica that asks for older orders, if this one has any.

        :param sender_link: takes the answer.
        """
        page = self.order_log.older_orders(request)
        if page is not None:
            self.context.reply(sender_link, page)

    def take_older(self, sender_link: Any, page: Orders) -> None:
        """Take older orders from another replica; write them, and ask for still older ones.

        :param sender_link: takes the next request.
        """
        if self.order_log.add_older(page):
            order_numbers, puts = self.order_log.take_unsaved()
            self.context.write(puts, OrdersSaved(order_numbers))
            if not self.order_log.history.is_complete:
                self.context.reply(sender_link, self.order_log.older_request())
