"""A small world round one real node: what may happen next, and what must never have happened.

At rest, `actions` lists all that may come next. `do` plays one, up to rest again.
"""

from __future__ import annotations

from typing import Any

from orchidferry.testkit.explore.world_actions import ACTIONS
from orchidferry.testkit.explore.world_state import WorldState

END_S = 8.0  # after the last choice: all that is under way must have come to its end


class World(WorldState):
    """One run that can be played on."""

    def actions(self) -> list[tuple[str, int]]:
        """All that may come next, with what each costs; what is sound first."""
        free: list[tuple[str, int]] = []
        odd: list[tuple[str, int]] = []
        listening = any(listener.open for listener in self.loop.listeners)
        for client in self.clients:
            if client.wire is None and listening:
                free.append((f"ask c{client.number}", 0))
                odd.append((f"begin c{client.number}", 1))
            elif client.rest and not client.left and client.closed_s is None:
                free.append((f"rest c{client.number}", 0))
                odd.append((f"leave c{client.number}", 1))
            elif client.waits:
                odd.append((f"leave c{client.number}", 1))
        for n in range(len(self.loop.dials)):
            free.append((f"up {n}", 0))
            odd.append((f"refuse {n}", 1))
        for n, one in enumerate(self.carried):
            if not one.ended:
                free.append((f"serve {n}", 0))
                odd += [(f"{how} {n}", 1) for how in ("fail", "turn-away", "reset", "close", "cross")]
        for n, _ in self.idle_wires():
            odd += [(f"drop {n}", 1), (f"drop-crossing {n}", 1), (f"stray {n}", 1)]
        if self.watch is not None:
            for place in range(self.size.servers):
                if self.told[place][1] == "active":
                    odd += [(f"drain s{place}", 1), (f"gone s{place}", 1)]
                elif self.told[place][1] == "left":
                    odd.append((f"back s{place}", 1))
        if self.stopping is None:
            odd.append(("stop", 1))
        if not self.closed_loop:
            odd.append(("no-retry", 1))
        if self.watch is not None and not self.hung_up:
            odd.append(("hup", 1))
        due = self.next_due()
        if due is not None and any(c.waits for c in self.clients):
            if not free:
                free.append(("wait", 0))
            elif self.left_late:
                odd.append(("wait", 1))
        return free + (odd if self.left_events else [])

    def do(self, label: str) -> None:
        """Play one of the actions."""
        cost = next((cost for name, cost in self.actions() if name == label), None)
        if cost is None:
            raise ValueError(f"{label!r} can't happen here")
        self.left_events -= cost
        verb, _, what = label.partition(" ")
        if verb == "wait" and cost:
            self.left_late -= 1
        with self.inside():
            crossing = self.crossing
            self.crossing = []
            ACTIONS[verb](self, what)
            if crossing:  # what was on its way is read once the node has done what this made it do
                self.loop.settle()
                self.deliver(crossing)
            self.settle()

    # The end

    def finish(self) -> None:
        """All that is under way comes to its end; then nothing may be left."""
        with self.inside():
            self.deliver(self.crossing)
            self.crossing = []
            end = self.loop.now + END_S
            while self.loop.now < end:
                self.settle()
                due = self.loop.next_timer()
                if due is None or due > end:
                    break
                self.loop.pass_to(due)
            self.settle()
            for client in self.clients:
                if (
                    client.wire is not None
                    and not client.left
                    and not client.answers
                    and not client.rest
                    and client.closed_s is None
                ):
                    self.report("one-answer", f"{client.id} never gets an answer")
            self._left()
            if self.stopping is None:
                self.stopping = self.loop.run(self.node.stop(0.0))
            self.loop.pass_to(self.loop.now + END_S)
            self.settle()
            if not self.stopping.done():
                self.report("nothing-left", "the node does not come to its end")
            elif not self.stopping.cancelled() and (problem := self.stopping.exception()) is not None:
                self.report("no-exception", f"stopping: {problem!r}")
            if self.loop.wires:
                self.report("nothing-left", f"{len(self.loop.wires)} connections are open after the end")
            if self.loop.tasks:
                self.report("nothing-left", f"tasks are left: {self.loop.tasks[0]!r:.120}")

    def _left(self) -> None:
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
            "sends without an end": sum(self.sends.values()),
        }
        for what, count in counts.items():
            if count:
                self.report("nothing-left", f"{what}: {count}")

    @property
    def over(self) -> bool:
        """Whether nothing more can be asked, or is under way."""
        asked = all(client.wire is not None for client in self.clients) or self.stopping is not None
        return asked and not any(client.waits or client.rest for client in self.clients)

    def outcome(self) -> tuple[Any, ...]:
        """What came of it, for comparisons."""
        clients = tuple(
            (c.left, tuple(status for _, status in c.answers), c.wire is not None) for c in self.clients
        )
        ran = tuple(sorted((one.client, one.server, one.ended) for one in self.carried))
        return clients, ran
