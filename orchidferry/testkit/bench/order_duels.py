"""Concurrent orders: several operators change the same version of the configuration at once.

They send their orders to different controllers, with a slow disk or slow links. The production `Shard` runs
in virtual time; measured is the time until each operator has a definite answer, which says whether its order
was acknowledged. `python -m orchidferry.testkit.bench.order_duels --seeds 200`.
"""

from __future__ import annotations

import argparse
import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.configuration_resource import PUT_TIMEOUT_S
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import RegisterMessage, RegisterPrepare
from orchidferry.testkit.explore.controller import Controller, ControllerCall

ACK_MS = 5_000.0  # the bound for an acknowledgement in deployments
TICK_S = 0.05  # interval between ticks, as in the controller's process
HEARTBEAT_S = 0.4  # interval between two heartbeats of a controller
ANSWER_TIMEOUT_S = 1.0  # time after which an operator calls another controller
RETRY_PAUSES_S = (0.1, 0.2, 0.4, 0.8)  # before each retry after an indefinite answer; the last one repeats
SETTLED_S = 4.0  # time at which the orders are sent, when the group has settled
GIVE_UP_S = 60.0  # time from the sending of the orders to the end of a run without all answers


@dataclass(frozen=True)
class Conditions:
    """The conditions of a run; a pair of numbers is a range."""

    name: str
    controllers: int = 3
    orders: int = 8
    link_s: tuple[float, float] = (0.001, 0.004)  # one-way latency
    sync_s: float = 0.001  # duration of a disk sync
    slow_sync_s: tuple[float, float] | None = None  # the same for the first controller, if its disk is slow
    same: bool = False  # all operators send the same order
    at_owner: bool = False  # all operators first ask the owner of the shard
    # When the first controller is killed, after the orders are sent; None: never.
    killed_s: tuple[float, float] | None = None


CONDITIONS = tuple(
    Conditions(f"{name}, {size} controllers", size, **options)
    for size in (3, 5)
    for name, options in (
        ("calm", dict[str, Any]()),
        ("one slow disk", {"slow_sync_s": (0.025, 0.030)}),
        ("links of 100 ms one way", {"link_s": (0.09, 0.11)}),
        ("links of 200 ms one way", {"link_s": (0.18, 0.22)}),
        ("one slow disk, links of 200 ms", {"slow_sync_s": (0.025, 0.030), "link_s": (0.18, 0.22)}),
        ("copies of one order", {"same": True, "link_s": (0.09, 0.11)}),
        ("one killed within 20 ms", {"killed_s": (0.0, 0.02)}),
        ("one killed, links of 200 ms", {"killed_s": (0.0, 1.0), "link_s": (0.18, 0.22)}),
    )
)


@dataclass
class Operator:
    """Sends one order until it has a definite answer."""

    name: str
    order: shard_state.PutConfiguration
    at: int  # index of the controller that is asked next
    tries: int = 0  # requests sent
    awaited_id: str = ""  # id of the request in flight; empty if there is none
    clear_ms: float = -1.0  # time of the definite answer since the orders were sent; negative: none yet
    acknowledged: bool = False  # whether the order was acknowledged


class ConcurrentOrders:
    """One run of concurrent orders."""

    def __init__(self, conditions: Conditions, seed: int) -> None:
        self.conditions, self.rng, self.now = conditions, random.Random(seed), 1.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._link_free_s: dict[tuple[str, str], float] = {}  # when a link has delivered all earlier messages
        self._syncing: dict[str, bool] = {}
        names = tuple("abcdefghi"[: conditions.controllers])
        self.controllers = {
            name: Controller(name, self, True, shard_state.CONFIGURATION, random.Random(seed * 31 + n), names)
            for n, name in enumerate(names)
        }
        self.ballots: set[tuple[int, str]] = set()  # ballots of the rounds that were started
        self.operators: list[Operator] = []
        for name in names:
            self._at(self.rng.random() * TICK_S, self._tick, name)
            self._at(self.rng.random() * HEARTBEAT_S, self._send_heartbeats, name)
            self._syncing[name] = False

    # Events in virtual time

    def _at(self, wait_s: float, call: Callable[..., None], *args: Any) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.now + wait_s, self._number, lambda: call(*args)))

    def run_until(self, until_s: float, over: Callable[[], bool] = lambda: False) -> None:
        """Run all events up to a time, or until `over` returns true."""
        while self._events and self._events[0][0] <= until_s and not over():
            self.now, _, call = heapq.heappop(self._events)
            call()
            self._start_syncs()

    def _kill(self, name: str) -> None:
        self.controllers[name].alive = False

    def _tick(self, name: str) -> None:
        if not self.controllers[name].alive:
            return
        self.controllers[name].tick()
        self._at(TICK_S, self._tick, name)
        self._schedule_extra_tick(name)

    def _schedule_extra_tick(self, name: str) -> None:
        """Schedule an extra tick if the shard is due before the next one, as a controller's process does."""
        wait_s = self.controllers[name].shard.due_s - self.now
        if wait_s < TICK_S:
            self._at(max(0.002, wait_s), self._tick_if_due, name)

    def _tick_if_due(self, name: str) -> None:
        if self.controllers[name].alive and self.controllers[name].shard.due_s <= self.now:
            self.controllers[name].tick()

    def _send_heartbeats(self, name: str) -> None:
        if not self.controllers[name].alive:
            return
        self.controllers[name].send_heartbeats(n for n in self.controllers if n != name)
        self._at(HEARTBEAT_S, self._send_heartbeats, name)

    def _start_syncs(self) -> None:
        for name, controller in self.controllers.items():
            if controller.alive and controller.writes and not self._syncing[name]:
                self._syncing[name] = True
                slow = self.conditions.slow_sync_s
                sync_s = self.rng.uniform(*slow) if slow and name == "a" else self.conditions.sync_s
                self._at(sync_s, self._on_synced, name, len(controller.writes))

    def _on_synced(self, name: str, writes: int) -> None:
        self._syncing[name] = False
        if not self.controllers[name].alive:
            return
        for _ in range(writes):
            self.controllers[name].complete_write()

    # The host of the controllers

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message; those of one link are delivered in order."""
        if to not in self.controllers:
            return
        if kind == ControllerCall.RECEIVE and isinstance(message[1], RegisterMessage):
            body = message[1].body
            if isinstance(body, RegisterPrepare):
                self.ballots.add(body.ballot)
        link = (sender, to)
        due_s = max(self._link_free_s.get(link, 0.0), self.now + self.rng.uniform(*self.conditions.link_s))
        self._link_free_s[link] = due_s
        self._at(due_s - self.now, self._deliver, to, kind, message)

    def _deliver(self, to: str, kind: str, message: tuple[Any, ...]) -> None:
        if self.controllers[to].alive:
            getattr(self.controllers[to], kind)(*message)

    def answer(self, name: str, answer: SendReply) -> None:
        """Send the reply of one controller to another."""
        assert isinstance(answer.message, ShardMessage)
        self.send(name, answer.to, ControllerCall.RECEIVE, name, answer.message.body)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Ignore changes of the state."""

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Pass an answer to its operator, which retries after an indefinite one."""
        for operator in self.operators:
            if operator.awaited_id == end.id:
                operator.awaited_id = ""
                if end.value is None:
                    pause_s = RETRY_PAUSES_S[min(operator.tries, len(RETRY_PAUSES_S)) - 1]
                    self._at(pause_s * (0.5 + self.rng.random()), self._send, operator)
                else:
                    operator.clear_ms = (self.now - self._began_s) * 1e3
                    operator.acknowledged = not end.why
                return

    # Operators

    def _send(self, operator: Operator) -> None:
        if operator.clear_ms >= 0.0:
            return
        names = list(self.controllers)
        name = names[operator.at % len(names)]
        operator.at += 1 + self.rng.randrange(len(names) - 1)
        operator.tries += 1
        operator.awaited_id = f"{operator.name}{operator.tries}"
        self._at(ANSWER_TIMEOUT_S, self._on_answer_timeout, operator, operator.awaited_id)
        controller = self.controllers[name]
        if not controller.alive:
            return
        controller.execute(
            controller.shard.request_change(operator.awaited_id, operator.order, PUT_TIMEOUT_S, self.now)
        )

    def _on_answer_timeout(self, operator: Operator, awaited_id: str) -> None:
        if operator.awaited_id == awaited_id:
            operator.awaited_id = ""
            self._send(operator)

    def play(self) -> None:
        """Send all orders at once, based on the same version, and run until all have a definite answer."""
        self.run_until(SETTLED_S)
        self._began_s = self.now
        self.ballots.clear()
        if self.conditions.killed_s is not None:
            self._at(self.rng.uniform(*self.conditions.killed_s), self._kill, "a")
        for n in range(self.conditions.orders):
            raw = b"0" if self.conditions.same else str(n).encode()
            order = shard_state.PutConfiguration(raw, 5 if self.conditions.same else 5 + n // 2, raw, 0)
            at = self.rng.randrange(len(self.controllers))
            if self.conditions.at_owner:
                at = [c.shard.owns(self.now) is not None for c in self.controllers.values()].index(True)
            self.operators.append(Operator(f"o{n}.", order, at))
            self._at(self.rng.random() * 0.001, self._send, self.operators[-1])
        self.run_until(self._began_s + GIVE_UP_S, lambda: all(o.clear_ms >= 0.0 for o in self.operators))

    @property
    def first_ms(self) -> float:
        """Time in ms at which the first order was acknowledged; infinite for never."""
        return min((o.clear_ms for o in self.operators if o.acknowledged), default=float("inf"))

    @property
    def last_ms(self) -> float:
        """Time in ms at which the last operator had a definite answer; infinite for never."""
        return max(o.clear_ms if o.clear_ms >= 0.0 else float("inf") for o in self.operators)

    @property
    def is_consistent(self) -> bool:
        """Whether exactly one content was acknowledged, and all operators have a definite answer."""
        acknowledged = {o.order.digest for o in self.operators if o.acknowledged}
        return len(acknowledged) == 1 and self.last_ms < float("inf")


def quantile_text(values: Iterable[float]) -> str:
    """Format the median, the 99th percentile and the maximum."""
    ordered = sorted(values)
    at = [ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] for quantile in (0.5, 0.99)]
    return " ".join(f"{value:7.0f}" for value in (*at, ordered[-1]))


def main() -> int:
    """Print a line for each of the conditions.

    :returns: the exit status: 1 if any run took longer than the bound or had an inconsistent result.
    """
    parser = argparse.ArgumentParser(prog="order_duels", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--only", default="", help="only conditions whose name contains this")
    args = parser.parse_args()
    bad = 0
    print(f"{'':44} first acknowledged, ms   last definite answer, ms  rounds   late  bad")
    print(f"{'':44}     p50     p99     max     p50     p99     max      mean")
    for conditions in CONDITIONS:
        if args.only not in conditions.name:
            continue
        runs = [ConcurrentOrders(conditions, seed) for seed in range(args.seeds)]
        for run in runs:
            run.play()
        late = sum(run.last_ms > ACK_MS for run in runs)
        broken = sum(not run.is_consistent for run in runs)
        bad += late + broken
        rounds = sum(len(run.ballots) for run in runs) / len(runs)
        first = quantile_text(run.first_ms for run in runs)
        last = quantile_text(run.last_ms for run in runs)
        print(f"{conditions.name:44} {first} {last}   {rounds:7.1f} {late:5} {broken:4}", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
