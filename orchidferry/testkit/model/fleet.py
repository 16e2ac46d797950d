"""A fleet in virtual time: the shipping membership of each node, and a network between them that loses and
cuts.

Discrete events on a heap; one seed gives one run. A message takes as long as its link says; nodes take none
of the clock. Sizes are `size_of`'s upper bounds, not encoded bytes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry, Phase, size_of
from orchidferry.balancing.fleet.membership import Membership
from orchidferry.balancing.fleet.messages import Address, Message
from orchidferry.balancing.fleet.outbox import HEADER_BYTES
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.testkit import seeded_random
from orchidferry.testkit.world.links import LinkFault, Links

PORT = 9100
SEAL = 24  # bytes of key and tag round each message


def address(number: int) -> Address:
    """Where node `number` of a model is."""
    return f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", PORT


def size(message: Message) -> int:
    """Bytes of a message on the wire, at most."""
    target = size_of(message.target) if message.target is not None else 0
    return SEAL + HEADER_BYTES + size_of(message.sender) + target + sum(map(size_of, message.updates))


@dataclass(slots=True)
class Member:
    """One node, over all its lives."""

    name: str
    at: Address
    fleet: Membership
    lives: int = 0
    running: bool = True
    paused: bool = False
    due: float = float("inf")  # of the tick that is in the queue
    waiting: list[Any] = field(default_factory=list)  # what came while it was paused
    sent: int = 0
    bytes: int = 0


Watch = Callable[[float, str, api.MemberChanged], None]


class Net:
    """All nodes and what is under way between them. Times are seconds outside, ms inside the membership."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        faults: Iterable[LinkFault] = (),
        timing: Timing | None = None,
        warm: bool = False,
        seeds: int = 3,
        watch: Watch | None = None,
        most: int = 10_000,
    ) -> None:
        """`warm`: all know all from the start."""
        self.now, self.seed, self.timing = 0.0, seed, timing or Timing()
        self.links = Links(faults, seed)
        self._queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._serial = 0
        self._watch = watch
        self._most = most
        self._seeds = [address(n) for n in range(min(seeds, count))]
        self.nodes: dict[str, Member] = {}
        self._where: dict[Address, Member] = {}
        for n in range(count):
            name = f"n{n}"
            node = Member(name, address(n), self._fleet(name, address(n), 0))
            self.nodes[name] = self._where[node.at] = node
        if warm:
            known = [node.fleet.me for node in self.nodes.values()]
            for node in self.nodes.values():
                node.fleet.load(known)
        for node in self.nodes.values():
            self._hand(node, api.Start())
            if warm:
                node.fleet._outbox.gossip.drop(node.name)

    def _fleet(self, name: str, at: Address, life: int, incarnation: int = 0) -> Membership:
        drawn = seeded_random.integer(self.seed, "life", name, life) | 1
        me = Entry(name, at[0], at[1], drawn, incarnation, phase=Phase.SERVING)
        rng = seeded_random.generator(self.seed, "node", name, life)
        return Membership(me, self._seeds, rng, self.timing, self._most)

    def at(self, t: float, do: Callable[..., None], *args: Any) -> None:
        """Do something at a time."""
        self._serial += 1
        heapq.heappush(self._queue, (t, self._serial, do, args))

    def run(self, until: float) -> None:
        """Go on up to a time."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, do, args = heapq.heappop(queue)
            do(*args)
        self.now = until

    # What is done to nodes

    def kill(self, name: str) -> None:
        """End a node with no word."""
        self.nodes[name].running = False

    def leave(self, name: str) -> None:
        """End one on purpose: it says so first."""
        self._hand(self.nodes[name], api.Leave())
        self.at(self.now + 0.2, self.kill, name)

    def start(self, name: str, at: Address | None = None, incarnation: int = 0) -> None:
        """Start it again under its name, with nothing that it knew; `at`: elsewhere."""
        node = self.nodes[name]
        del self._where[node.at]
        node.at = at or node.at
        node.lives += 1
        node.fleet = self._fleet(name, node.at, node.lives, incarnation)
        node.running = True
        node.paused = False
        node.due = float("inf")
        node.waiting = []
        self._where[node.at] = node
        self._hand(node, api.Start())

    def pause(self, name: str, for_s: float) -> None:
        """Stop it for a while; what comes waits."""
        node = self.nodes[name]
        node.paused = True
        self.at(self.now + for_s, self._wake, node, node.lives)

    def _wake(self, node: Member, life: int) -> None:
        if node.lives != life or not node.running:
            return
        node.paused = False
        waiting = node.waiting
        node.waiting = []
        for event in waiting:
            self._hand(node, event)
        self._hand(node, api.Tick())

    # Events and actions

    def _tick(self, node: Member, life: int, due: float) -> None:
        if node.running and node.lives == life and node.due == due:
            node.due = float("inf")
            if not node.paused:
                self._hand(node, api.Tick())

    def _hand(self, node: Member, event: api.Event) -> list[Message]:
        """Give a node an event and do what it says; what it answers on the connection."""
        if not node.running:
            return []
        if node.paused:
            node.waiting.append(event)
            return []
        answers = []
        for action in node.fleet.handle(event, self.now * 1000.0):
            match action:
                case api.SendDatagram():
                    self._send(node, action)
                case api.ExchangeState():
                    self._exchange(node, action)
                case api.Reply():
                    answers.append(action.message)
                    node.bytes += size(action.message)
                case api.MemberChanged():
                    if self._watch is not None:
                        self._watch(self.now, node.name, action)
        due = node.fleet.due_ms / 1000.0
        if due < node.due:
            node.due = due
            self.at(max(due, self.now), self._tick, node, node.lives, due)
        return answers

    def _send(self, node: Member, action: api.SendDatagram) -> None:
        bytes_ = size(action.message)
        node.sent += 1
        node.bytes += bytes_
        to = self._where.get(action.to)
        if to is not None:
            for wait in self.links.datagram(node.name, to.name, bytes_, self.now):
                self.at(self.now + wait, self._arrive, to, action.message)

    def _arrive(self, to: Member, message: Message) -> None:
        self._hand(to, api.MessageReceived(message))

    def _exchange(self, node: Member, action: api.ExchangeState) -> None:
        bytes_ = size(action.message)
        node.sent += 1
        node.bytes += bytes_
        to = self._where.get(action.to)
        wait = None if to is None else self.links.stream(node.name, to.name, bytes_, self.now)
        if to is not None and wait is not None:
            self.at(self.now + wait, self._asked, node, node.lives, to, action.message)

    def _asked(self, node: Member, life: int, to: Member, message: Message) -> None:
        for answer in self._hand(to, api.MessageReceived(message)):
            wait = self.links.stream(to.name, node.name, size(answer), self.now)
            if wait is not None and node.lives == life:
                self.at(self.now + wait, self._arrive, node, answer)

    # What is seen

    def running(self) -> list[Member]:
        """Those whose process runs."""
        return [node for node in self.nodes.values() if node.running]

    def views(self) -> dict[str, frozenset[tuple[str, int]]]:
        """Whom each running node holds for here, by name and life."""
        return {
            node.name: frozenset((e.name, e.life) for e in node.fleet.present()) for node in self.running()
        }

    def agree(self) -> bool:
        """Whether each running node holds just the running ones for here, and suspects none."""
        truth = frozenset((node.name, node.fleet.me.life) for node in self.running())
        return all(view == truth for view in self.views().values()) and not any(
            node.fleet.suspects() for node in self.running()
        )

    def until_agreed(self, most_s: float, step_s: float = 0.1) -> float | None:
        """Seconds from now until all views agree; None if they do not by then."""
        begin = self.now
        while self.now - begin < most_s:
            if self.agree():
                return self.now - begin
            self.run(self.now + step_s)
        return None


def half(net: Net, share: float = 0.5) -> tuple[frozenset[str], frozenset[str]]:
    """Two sides of a fleet, drawn by its seed."""
    names = list(net.nodes)
    one = frozenset(random.Random(net.seed).sample(names, max(1, int(share * len(names)))))
    return one, frozenset(names) - one
