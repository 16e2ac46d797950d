"""Exploration of all interleavings of a small fleet: the shipping membership of a few nodes, with faults.

Each message takes one step, and time advances when no message is in flight. Every order of the messages that
reach one node in one step is explored; messages to different nodes commute. A fault may happen at any choice:
a message is lost, duplicated or delayed, or a node is killed, restarted, paused or cut off. After the last
fault the world runs on without choices, and then the final properties are checked.

Worlds with equal `fingerprint`s count as one. Left out of it are serial numbers, and numbers of probes and
timers, as only their order matters, and pending probes and timers are listed in order; and windows for
duplicates, as a copy in flight is marked as a copy. Random numbers are always in the middle of their range.
"""

from __future__ import annotations

import contextlib
import hashlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from orchidferry.balancing.fleet import membership, reconnector
from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry, Phase, Status, order
from orchidferry.balancing.fleet.membership import Membership
from orchidferry.balancing.fleet.messages import Address, Message
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.testkit.explore import world_search
from orchidferry.testkit.explore.world_search import SearchResult

TIMING = Timing(interval_ms=500.0, timeout_ms=200.0, gossip_ms=100.0, sync_ms=7_500.0, reach_ms=500.0)
FAULTS_UNTIL_MS = 700.0  # a round of probes and the start of the next
# After the last fault the nodes' views are compared from `MIN_MS` on, and must agree by `QUIET_MS`.
MIN_MS = 7_000.0
QUIET_MS = 20_000.0
LATE_MS = 700.0  # delay of a delayed message
PAUSE_MS = 3_000.0  # duration of a node's pause
BACK_MS = 100.0  # time after which a node restarts
CUT_MS = 6_000.0  # duration for which a node is cut off
KINDS = ("lose", "twice", "late", "kill", "restart", "pause", "cut")


class MidpointRandom(random.Random):
    """A deterministic generator: floats are 0.5, and nothing is shuffled."""

    def random(self) -> float:
        """Return 0.5."""
        return 0.5

    def shuffle(self, x: Any) -> None:
        """Leave the order as it is."""
        pass

    def sample(self, population: Any, k: int, **_: Any) -> Any:
        """Return the first `k` elements."""
        return list(population)[:k]


@dataclass(slots=True)
class MessageInFlight:
    """A message in flight.

    :param to: the receiving node's number
    :param is_exchange: whether it belongs to a state exchange, with a reply over the same stream
    :param is_copy: whether it was duplicated by a fault
    :param not_before_ms: the earliest time of its delivery
    """

    to: int
    payload: Message
    is_exchange: bool = False
    is_copy: bool = False
    not_before_ms: float = 0.0


@dataclass
class World:
    """A few nodes, which know each other from the start, and the messages between them.

    :param nodes: each node's membership; None while the node is down
    :param faults: how many faults may still happen
    :param kinds: of these faults
    :param now: in ms
    :param messages: messages that are delivered in this step, and delayed ones
    :param next_messages: messages that were sent in this step
    :param paused_until_ms: when each paused node goes on
    :param cut_off_until_ms: when each node that is cut off from all others is reachable again
    :param restarts: when nodes that are down restart, with their numbers
    :param restart_count: restarts so far
    :param only_message_faults: whether faults have only affected messages so far
    :param newest_seen: for each process of a node and each member, the newest entry that it has held
    :param story: the faults that happened
    :param violations: the violated properties, each as its name, a colon, and what has happened
    """

    nodes: list[Membership | None]
    faults: int
    kinds: tuple[str, ...] = KINDS
    now: float = 0.0
    messages: list[MessageInFlight] = field(default_factory=list)
    next_messages: list[MessageInFlight] = field(default_factory=list)
    paused_until_ms: dict[int, float] = field(default_factory=dict)
    cut_off_until_ms: dict[int, float] = field(default_factory=dict)
    restarts: list[tuple[float, int]] = field(default_factory=list)
    restart_count: int = 0
    only_message_faults: bool = True
    newest_seen: dict[tuple[int, int, str], Any] = field(default_factory=dict)
    story: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    @property
    def over(self) -> bool:
        """Whether no choices are left, as no more faults may happen."""
        return self.now > FAULTS_UNTIL_MS or not self.faults

    def actions(self) -> list[str]:
        """Return the actions that may happen next, the first without a fault."""
        due = [(n, message) for n, message in enumerate(self.messages) if message.not_before_ms <= self.now]
        found: list[str] = []
        if due:
            to = min(message.to for _, message in due)
            found = [f"deliver {n}" for n, message in due if message.to == to]
            if not self.over:
                for n, message in due:
                    if message.to == to:
                        found += [
                            f"{kind} {n}"
                            for kind in ("lose", "twice", "late")
                            if kind in self.kinds and not (message.is_exchange or message.is_copy)
                        ]
        else:
            found = ["wait"]
        if not self.over:
            for n, node in enumerate(self.nodes):
                if node is not None and n not in self.paused_until_ms:
                    found += [
                        f"{kind} {n}" for kind in ("kill", "restart", "pause", "cut") if kind in self.kinds
                    ]
        return found

    def apply(self, label: str) -> None:
        """Play one of `actions`."""
        kind, _, target = label.partition(" ")
        n = int(target or 0)
        if kind not in ("wait", "deliver"):
            self.faults -= 1
            self.story.append(f"{self.now:8.1f} ms  {label}: {self._target_name(kind, n)}")
        match kind:
            case "deliver":
                self._deliver(self.messages.pop(n))
            case "lose":
                self.messages.pop(n)
            case "twice":
                message = self.messages[n]
                self.messages.append(replace(message, is_copy=True))
                self._deliver(self.messages.pop(n))
            case "late":
                self.messages[n].not_before_ms = self.now + LATE_MS
            case "kill" | "restart":
                self.only_message_faults = False
                self.nodes[n] = None
                if kind == "restart":
                    self.restarts.append((self.now + BACK_MS, n))
            case "pause":
                self.only_message_faults = False
                self.paused_until_ms[n] = self.now + PAUSE_MS
            case "cut":
                self.only_message_faults = False
                self.cut_off_until_ms[n] = self.now + CUT_MS
                self.messages = [message for message in self.messages if not self._cut_off(message)]
                self.next_messages = [message for message in self.next_messages if not self._cut_off(message)]
            case "wait":
                self._advance_time()
        if not any(message.not_before_ms <= self.now for message in self.messages):
            self.messages += self.next_messages
            self.next_messages = []
        self._check_properties()

    def _target_name(self, kind: str, n: int) -> str:
        if kind in ("kill", "restart", "pause", "cut"):
            return f"n{n}"
        message = self.messages[n]
        return f"{message.payload.kind.value} from {message.payload.sender.name} to n{message.to}"

    def _deliver(self, message: MessageInFlight) -> None:
        node = self.nodes[message.to]
        if node is None:
            return
        if message.to in self.paused_until_ms:
            message.not_before_ms = self.paused_until_ms[message.to]
            self.messages.append(message)
            return
        self._execute(
            message.to, node.handle(api.MessageReceived(message.payload), self.now), message.payload.sender
        )

    def _cut_off(self, message: MessageInFlight) -> bool:
        return (
            message.to in self.cut_off_until_ms
            or int(message.payload.sender.name[1:]) in self.cut_off_until_ms
        )

    def _execute(self, n: int, actions: list[api.Action], sender: Entry | None = None) -> None:
        for action in actions:
            match action:
                case api.SendDatagram() | api.ExchangeState():
                    to = _node_number(action.to)
                    self.next_messages.append(
                        MessageInFlight(to, action.message, isinstance(action, api.ExchangeState))
                    )
                case api.Reply():
                    assert sender is not None
                    self.next_messages.append(
                        MessageInFlight(_node_number((sender.host, sender.port)), action.message, True)
                    )
        if self.cut_off_until_ms:
            self.next_messages = [message for message in self.next_messages if not self._cut_off(message)]

    def _advance_time(self) -> None:
        """Advance time to the next due event, and run it."""
        times = (
            [message.not_before_ms for message in self.messages]
            + [at for at, _ in self.restarts]
            + list(self.paused_until_ms.values())
        )
        times += self.cut_off_until_ms.values()
        times += [
            node.due_ms
            for n, node in enumerate(self.nodes)
            if node is not None and n not in self.paused_until_ms
        ]
        self.now = max(self.now, min(times))
        for n in [n for n, until in self.paused_until_ms.items() if until <= self.now]:
            del self.paused_until_ms[n]
        self.cut_off_until_ms = {n: until for n, until in self.cut_off_until_ms.items() if until > self.now}
        for at, n in [one for one in self.restarts if one[0] <= self.now]:
            self.restarts.remove((at, n))
            self.restart_count += 1
            node = self.nodes[n] = _new_membership(n, len(self.nodes), 100 * self.restart_count)
            self._execute(n, node.handle(api.Start(), self.now))
        for n, one in enumerate(self.nodes):
            if one is not None and n not in self.paused_until_ms and one.due_ms <= self.now:
                self._execute(n, one.handle(api.Tick(), self.now))

    def finish(self) -> None:
        """Run on without faults, and check that all views agree in the end."""
        began_ms = self.now
        self.faults = 0
        while not self.violations and (self.now < began_ms + MIN_MS or self._disagreement()):
            if self.now >= began_ms + QUIET_MS:
                self.violations.append(f"agree: {self._disagreement()}, 20 s after the last fault")
                break
            self.apply(self.actions()[0])

    def _disagreement(self) -> str:
        """Return which node's view differs from the set of running nodes; "" if none does."""
        truth = {(node.me.name, node.me.life) for node in self.nodes if node is not None}
        for node in self.nodes:
            if node is not None:
                view = {(entry.name, entry.life) for entry in node.present()}
                if view != truth or node.suspects():
                    return f"{node.me.name} considers {sorted(name for name, _ in view)} present"
        return ""

    def _check_properties(self) -> None:
        running = {node.me.name: node.me for node in self.nodes if node is not None}
        for n, node in enumerate(self.nodes):
            if node is None:
                continue
            for name, entry in node.members.items():
                key = n, node.me.life, name
                if key in self.newest_seen and order(entry) < self.newest_seen[key]:
                    self.violations.append(f"rising: n{n} replaced its entry of {name} by an older one")
                self.newest_seen[key] = order(entry)
                me = running.get(name)
                if me is not None and entry.life == me.life and entry.incarnation > me.incarnation:
                    self.violations.append(
                        f"claimed: n{n} holds an incarnation of {name} that {name} never claimed"
                    )
                if self.only_message_faults and me is not None and entry.status is Status.LOST:
                    self.violations.append(
                        f"spared: n{n} considers {name} lost, though only messages were lost"
                    )

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""
        state: list[Any] = [
            self.now,
            self.faults,
            self.only_message_faults,
            sorted(self.paused_until_ms.items()),
            sorted(self.restarts),
        ]
        for node in self.nodes:
            if node is None:
                state.append(None)
                continue
            probes = {number: probe.name for number, probe in node._prober.probes.items()}
            relays = {number: (relay.asker.name, relay.name) for number, relay in node._prober.relays.items()}

            def meaning(kind: str, subject: int | str, probes: Any = probes, relays: Any = relays) -> Any:
                if kind in ("ask", "judge", "relay"):
                    return probes.get(subject) or relays.get(subject)
                return subject

            state += [
                node.me,
                sorted(node.members.items()),
                node._table.ring_position,
                node._reconnector.count,
                node.score,
                node.joined,
                node._conflict.other,
                node.contested,
                node._conflict.attempts,
                sorted(node._suspicions.by_name.items(), key=lambda s: s[0]),
                sorted(
                    (at, timer.kind.value, repr(meaning(timer.kind.value, timer.subject)))
                    for at, timer in node._timers.pending()
                ),
                sorted((name, queued[0], queued[2]) for name, queued in node._outbox.gossip._queued.items()),
                sorted((probe.name, probe.expected, probe.nacks) for probe in node._prober.probes.values()),
                sorted(relays.values()),
                sorted(node._prober.unproven.items()),
            ]
        for step in (self.messages, self.next_messages):
            state.append(
                sorted(
                    repr(
                        (
                            m.to,
                            m.not_before_ms,
                            m.is_exchange,
                            m.is_copy,
                            m.payload.kind,
                            m.payload.sender,
                            m.payload.to_life,
                            m.payload.target,
                            m.payload.updates,
                            m.payload.number > 0,
                        )
                    )
                    for m in step
                )
            )
        return hashlib.blake2b(repr(state).encode(), digest_size=16).digest()

    def succeeded(self) -> bool:
        """Return whether no property is violated."""
        return not self.violations


def _node_number(address: Address) -> int:
    return int(address[0].rpartition(".")[2])


def _new_membership(n: int, count: int, life: int) -> Membership:
    me = Entry(f"n{n}", f"10.0.0.{n}", 9100, life + n + 1, phase=Phase.SERVING)
    return Membership(me, [(f"10.0.0.{k}", 9100) for k in range(count)], MidpointRandom(), TIMING)


def begin(nodes: int = 3, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> World:
    """Return a world of nodes that know each other and start at once."""
    memberships = [_new_membership(n, nodes, 1_000) for n in range(nodes)]
    entries = [node.me for node in memberships]
    world = World(list(memberships), faults, kinds)
    for n, node in enumerate(memberships):
        node.load(entries)
        world._execute(n, node.handle(api.Start(), 0.0))
    world.messages = world.next_messages
    world.next_messages = []
    return world


def search(
    nodes: int = 3,
    faults: int = 2,
    break_: str = "",
    limit_s: float = 600.0,
    kinds: tuple[str, ...] = KINDS,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all runs of a small fleet; the other parameters are those of `world_search.search`.

    :param faults: how many faults may happen in a run
    :param kinds: of these faults
    """
    return world_search.search(lambda: begin(nodes, faults, kinds), broken, break_, limit_s, watch, workers)


def _no_refuting(self: Membership, entry: Entry, by: str, now: float) -> None:
    """Replace `_merge_self`: the node ignores reports of others about itself."""


def _order_without_incarnations(entry: Entry) -> Any:
    """Replace `order`: the incarnation is not compared."""
    return (0, entry.status, entry.life, entry.host, entry.port, "", "", "", b"")


def _dead_at_once(self: Membership, entry: Entry, now: float) -> None:
    self._set(replace(entry, status=Status.LOST, by=self.me.name), self.me.name, now)


BREAKS: dict[str, tuple[str, Any, str, Any]] = {
    "no-refuting": ("a node does not refute that it is lost", Membership, "_merge_self", _no_refuting),
    "no-incarnations": (
        "entries are not ordered by incarnation",
        membership,
        "order",
        _order_without_incarnations,
    ),
    "dead-at-once": (
        "a node is considered lost after one failed probe",
        Membership,
        "_suspect",
        _dead_at_once,
    ),
    "no-reach": (
        "lost nodes are never contacted again",
        reconnector.Reconnector,
        "reconnect",
        lambda *_: None,
    ),
    "no-end": ("a suspicion never ends", Membership, "_end_suspicion", lambda self, name, now: None),
}


@contextlib.contextmanager
def broken(name: str) -> Iterator[None]:
    """Apply one of `BREAKS` while the context lasts; "" for none."""
    if not name:
        yield
        return
    _, owner, attribute, replacement = BREAKS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
