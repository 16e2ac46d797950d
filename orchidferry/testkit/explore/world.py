"""A small simulated environment of one real node: the possible next actions, and the checks at the end.

Whenever the event loop is idle, `actions` lists what may happen next; `apply` plays one action until the loop
is idle again.
"""

from __future__ import annotations

from typing import Any

from orchidferry.testkit.explore.world_actions import ACTIONS
from orchidferry.testkit.explore.world_state import WorldState

END_S = 8.0  # virtual time after the last choice: all requests must have ended by then


class World(WorldState):
    """One run, which is played action by action."""

    def actions(self) -> list[tuple[str, int]]:
        """Return all actions that may happen next with their costs, undisturbed operation first.

        An action costs 1 if it is a disturbance, else 0.
        """
        undisturbed: list[tuple[str, int]] = []
        disturbances: list[tuple[str, int]] = []
        listening = any(listener.open for listener in self.loop.listeners)
        for client in self.clients:
            if client.transport is None and listening:
                undisturbed.append((f"ask c{client.number}", 0))
                disturbances.append((f"begin c{client.number}", 1))
            elif client.unsent and not client.disconnected and client.closed_s is None:
                undisturbed.append((f"rest c{client.number}", 0))
                disturbances.append((f"leave c{client.number}", 1))
            elif client.is_waiting:
                disturbances.append((f"leave c{client.number}", 1))
        for n in range(len(self.loop.dials)):
            undisturbed.append((f"up {n}", 0))
            disturbances.append((f"refuse {n}", 1))
        for n, request in enumerate(self.server_requests):
            if not request.ended:
                undisturbed.append((f"serve {n}", 0))
                disturbances += [
                    (f"{how} {n}", 1) for how in ("fail", "turn-away", "reset", "close", "cross")
                ]
        for n, _ in self.idle_connections():
            disturbances += [(f"drop {n}", 1), (f"drop-crossing {n}", 1), (f"stray {n}", 1)]
        if self.discovery_transport is not None:
            for place in range(self.size.servers):
                if self.listed[place][1] == "active":
                    disturbances += [(f"drain s{place}", 1), (f"gone s{place}", 1)]
                elif self.listed[place][1] == "left":
                    disturbances.append((f"back s{place}", 1))
        if self.stopping is None:
            disturbances.append(("stop", 1))
        if not self.retries_denied:
            disturbances.append(("no-retry", 1))
        if self.discovery_transport is not None and not self.reconfigured:
            disturbances.append(("hup", 1))
        due = self.next_due()
        if due is not None and any(c.is_waiting for c in self.clients):
            if not undisturbed:
                undisturbed.append(("wait", 0))
            elif self.late_waits_left:
                disturbances.append(("wait", 1))
        return undisturbed + (disturbances if self.events_left else [])

    def apply(self, label: str) -> None:
        """Play one of `actions`, by its label."""
        cost = next((cost for name, cost in self.actions() if name == label), None)
        if cost is None:
            raise ValueError(f"action {label!r} is not possible in this state")
        self.events_left -= cost
        verb, _, what = label.partition(" ")
        if verb == "wait" and cost:
            self.late_waits_left -= 1
        with self.patched_modules():
            delayed = self.delayed_input
            self.delayed_input = []
            ACTIONS[verb](self, what)
            if delayed:  # the node reads it only after it has handled the action
                self.loop.run_until_idle()
                self.deliver_delayed(delayed)
            self.run_until_idle()

    # The end

    def finish(self) -> None:
        """Let all requests end, stop the node, and check that nothing is left over."""
        with self.patched_modules():
            self.deliver_delayed(self.delayed_input)
            self.delayed_input = []
            end = self.loop.now + END_S
            while self.loop.now < end:
                self.run_until_idle()
                due = self.loop.next_timer()
                if due is None or due > end:
                    break
                self.loop.advance_to(due)
            self.run_until_idle()
            for client in self.clients:
                if (
                    client.transport is not None
                    and not client.disconnected
                    and not client.answers
                    and not client.unsent
                    and client.closed_s is None
                ):
                    self.report_violation("one-answer", f"{client.id} never got an answer")
            self._check_leftovers()
            if self.stopping is None:
                self.stopping = self.loop.start_task(self.node.stop(0.0))
            self.loop.advance_to(self.loop.now + END_S)
            self.run_until_idle()
            if not self.stopping.done():
                self.report_violation("nothing-left", "the node did not stop")
            elif not self.stopping.cancelled() and (problem := self.stopping.exception()) is not None:
                self.report_violation("no-exception", f"stopping: {problem!r}")
            if self.loop.transports:
                self.report_violation(
                    "nothing-left", f"{len(self.loop.transports)} connections are open after the node stopped"
                )
            if self.loop.tasks:
                self.report_violation("nothing-left", f"a task is still running: {self.loop.tasks[0]!r:.120}")

    def _check_leftovers(self) -> None:
        node = self.node
        balancer = self.node._balancer
        counts = {
            "requests of the node": len(node._pending),
            "attempts of the node": len(node.attempts),
            "ids": len(node._open_ids),
            "calls of the module": len(balancer._calls),
            "attempts in flight": balancer.inflight,
            "uploads": len(balancer._uploads),
            "lost calls": balancer.outstanding.lost_count,
            "alarms": len(node._timers),
            "dials": len(node._tcp._dials),
            "calls out at servers": sum(
                len(server.outstanding) for server in balancer.server_set.servers.values()
            ),
            "sends without an end": sum(self.open_sends.values()),
        }
        for what, count in counts.items():
            if count:
                self.report_violation("nothing-left", f"{what}: {count}")

    @property
    def over(self) -> bool:
        """Whether no client can send a request any more and none waits for an answer."""
        asked = all(client.transport is not None for client in self.clients) or self.stopping is not None
        return asked and not any(client.is_waiting or client.unsent for client in self.clients)

    def outcome(self) -> tuple[Any, ...]:
        """Return each client's answers and each server's requests, to compare runs."""
        clients = tuple(
            (c.disconnected, tuple(status for _, status in c.answers), c.transport is not None)
            for c in self.clients
        )
        ran = tuple(
            sorted((request.client, request.server, request.ended) for request in self.server_requests)
        )
        return clients, ran
