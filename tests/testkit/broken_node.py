"""The real node with one deliberate fault for the judge to detect.

Run as `python -m tests.testkit.broken_node FAULT`. Faults are injected by monkeypatching at run time; the
code of the node contains none of them.
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

EVERY = 20  # every 20th event is faulty; the others are handled correctly so that the run can continue


def answers_twice() -> None:
    """Every 20th successful response is sent twice."""
    write = client_connection.ClientConnection._write_reply
    calls = [0]

    def faulty(self: client_connection.ClientConnection, reply: reply_module.Reply) -> None:
        calls[0] += reply.status == 200
        if reply.status == 200 and calls[0] % EVERY == 0:
            self._transport.write(reply_module.render(reply, False))
        write(self, reply)

    client_connection.ClientConnection._write_reply = faulty  # type: ignore[method-assign]


def loses_answers() -> None:
    """Every 20th response is not sent."""
    answer = client_connection.ClientConnection._on_reply
    calls = [0]

    def faulty(self: client_connection.ClientConnection, reply: reply_module.Reply) -> None:
        calls[0] += 1
        if calls[0] % EVERY:
            answer(self, reply)

    client_connection.ClientConnection._on_reply = faulty  # type: ignore[method-assign]


def makes_up_answers() -> None:
    """A failed request is answered with status 200 instead of 502."""
    finish = node.Node.finish

    def faulty(
        self: node.Node, request: pending_request.PendingRequest | None, reply: reply_module.Reply
    ) -> None:
        finish(self, request, reply_module.Reply(200, b"all is well") if reply.status == 502 else reply)

    node.Node.finish = faulty  # type: ignore[method-assign]


def resends_unsafe() -> None:
    """An attempt that may have been executed is treated as never executed, so it is retried or rejected."""
    handle = Balancer.handle

    def faulty(self: Balancer, event: api.Event, now: float) -> list[api.Action]:
        if isinstance(event, api.AttemptEnded) and event.result in (api.Result.ERROR, api.Result.RESET):
            event.result = api.Result.REFUSED
        return handle(self, event, now)

    Balancer.handle = faulty  # type: ignore[method-assign, assignment]


def ignores_drains() -> None:
    """Servers that are draining or removed stay in service."""
    apply_listing = node.Node.apply_listing

    def faulty(self: node.Node, listing: ServerListing, kind: api.ListKind) -> None:
        for entry in listing.entries:
            if entry.health is api.Health.DRAINING:
                entry.health = api.Health.IN_SERVICE
        apply_listing(self, listing, kind)

    node.Node.apply_listing = faulty  # type: ignore[method-assign]


def floods_cold() -> None:
    """A newly started server receives all requests, as if it were the only server and warmed up."""
    apply_listing = node.Node.apply_listing

    def faulty(self: node.Node, listing: ServerListing, kind: api.ListKind) -> None:
        new_servers = [entry for entry in listing.entries if entry.started_ms is not None]
        for entry in new_servers:
            entry.started_ms = None
        if new_servers:
            others = set(self.servers.addresses) - {entry.server for entry in listing.entries}
            for server in others:
                listing.entries.append(api.ServerEntry(server, health=api.Health.DRAINING))
                listing.addresses[server] = self.servers.addresses[server]
        apply_listing(self, listing, kind)

    node.Node.apply_listing = faulty  # type: ignore[method-assign]


def dies() -> None:
    """The process of the node exits during the run."""
    accept = node.Node.accept
    calls = [0]

    def faulty(self: node.Node, *args: Any) -> pending_request.PendingRequest:
        calls[0] += 1
        if calls[0] > EVERY:
            sys.stderr.write("ERROR simulated unexpected failure\n")
            sys.stderr.flush()
            import os

            os._exit(3)
        return accept(self, *args)

    node.Node.accept = faulty  # type: ignore[method-assign, assignment]


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
