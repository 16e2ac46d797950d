"""The real node with one deliberate fault, for the judge to catch: `python -m ... FAULT`.

The faults are put in at run time; the node's own code has none of them.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer
from orchidferry.node import client_connection, node, pending_request
from orchidferry.node import main as program
from orchidferry.node import reply as reply_module
from orchidferry.node.server_listing import ServerListing

EVERY = 20  # of what can be spoilt, so often: most must go well for the run to go on


def answers_twice() -> None:
    """Every so often an answer goes out twice."""
    write = client_connection.ClientConnection._write_reply
    count = [0]

    def spoilt(self: client_connection.ClientConnection, reply: reply_module.Reply) -> None:
        count[0] += reply.status == 200
        if reply.status == 200 and count[0] % EVERY == 0:
            self._transport.write(reply_module.render(reply, False))
        write(self, reply)

    client_connection.ClientConnection._write_reply = spoilt  # type: ignore[method-assign]


def loses_answers() -> None:
    """Every so often an answer is not given at all."""
    answer = client_connection.ClientConnection._on_reply
    count = [0]

    def spoilt(self: client_connection.ClientConnection, reply: reply_module.Reply) -> None:
        count[0] += 1
        if count[0] % EVERY:
            answer(self, reply)

    client_connection.ClientConnection._on_reply = spoilt  # type: ignore[method-assign]


def makes_up_answers() -> None:
    """A failure is told as served."""
    finish = node.Node.finish

    def spoilt(
        self: node.Node, request: pending_request.PendingRequest | None, reply: reply_module.Reply
    ) -> None:
        finish(self, request, reply_module.Reply(200, b"all is well") if reply.status == 502 else reply)

    node.Node.finish = spoilt  # type: ignore[method-assign]


def resends_unsafe() -> None:
    """What may have run is taken for what never ran: it is sent again, or refused."""
    handle = Balancer.handle

    def spoilt(self: Balancer, event: api.Event, now: float) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded) and event.result in (api.Result.ERROR, api.Result.RESET):
            event.result = api.Result.REFUSED
        return handle(self, event, now)

    Balancer.handle = spoilt  # type: ignore[method-assign, assignment]


def ignores_drains() -> None:
    """Servers that drain stay in service, as do those that are gone."""
    take = node.Node.apply_listing

    def spoilt(self: node.Node, listing: ServerListing, kind: api.ListKind) -> None:
        for entry in listing.entries:
            if entry.health is api.Health.DRAINING:
                entry.health = api.Health.IN_SERVICE
        take(self, listing, kind)

    node.Node.apply_listing = spoilt  # type: ignore[method-assign]


def floods_cold() -> None:
    """All goes to a server that has just started, as if it were the only one, and warm."""
    take = node.Node.apply_listing

    def spoilt(self: node.Node, listing: ServerListing, kind: api.ListKind) -> None:
        fresh = [entry for entry in listing.entries if entry.started_ms is not None]
        for entry in fresh:
            entry.started_ms = None
        if fresh:
            others = set(self.servers.addresses) - {entry.server for entry in listing.entries}
            for server in others:
                listing.entries.append(api.ServerEntry(server, health=api.Health.DRAINING))
                listing.addresses[server] = self.servers.addresses[server]
        take(self, listing, kind)

    node.Node.apply_listing = spoilt  # type: ignore[method-assign]


def dies() -> None:
    """Its process ends in the middle of the run."""
    accept = node.Node.accept
    count = [0]

    def spoilt(self: node.Node, *args: Any) -> pending_request.PendingRequest:
        count[0] += 1
        if count[0] > EVERY:
            sys.stderr.write("ERROR a fault that nobody thought of\n")
            sys.stderr.flush()
            import os

            os._exit(3)
        return accept(self, *args)

    node.Node.accept = spoilt  # type: ignore[method-assign, assignment]


FAULTS: dict[str, Callable[[], None]] = {
    fault.__name__.replace("_", "-"): fault
    for fault in (
        answers_twice,
        loses_answers,
        makes_up_answers,
        resends_unsafe,
        ignores_drains,
        floods_cold,
        dies,
    )
}

if __name__ == "__main__":
    FAULTS[sys.argv.pop(1)]()
    sys.exit(program.main())
