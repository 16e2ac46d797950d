"""Every interleaving of a small fleet: the shipping membership of a few nodes, with a few faults among them.

Each message takes one step, and time goes on when none is under way. Of those that come to one node in one
step every order is walked; what comes to different nodes in it commutes. A fault strikes at any choice: a
message is lost, comes twice or comes late, a node is killed, started anew, or stands still. After the last
the world runs on by itself, and what must hold in the end is looked at.

Two worlds are one if their nodes hold the same, by `print`. Left out there: serials, numbers of probes and
alarms, whose order alone matters and shows in what waits; windows, as a copy that is under way is marked as
one. Chance always falls in the middle.
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
FAULTS_UNTIL_MS = 700.0  # a round of probes and the beginning of the next
# from the last fault: looked at from then on; all must agree by then
MIN_MS = 7_000.0
QUIET_MS = 20_000.0
LATE_MS = 700.0
PAUSE_MS = 3_000.0
BACK_MS = 100.0
CUT_MS = 6_000.0
KINDS = ("lose", "twice", "late", "kill", "restart", "pause", "cut")


class Middle(random.Random):
    """Chance that always falls in the middle."""

    def random(self) -> float:
        """Always the same."""
        return 0.5

    def shuffle(self, x: Any) -> None:
        """Leave the order as it is."""
        pass

    def sample(self, population: Any, k: int, **_: Any) -> Any:
        """The first ones."""
        return list(population)[:k]


@dataclass(slots=True)
class Mail:
    """A message under way."""

    to: int
    message: Message
    stream: bool = False  # of an exchange: its answer goes back the same way
    copy: bool = False
    at: float = 0.0  # not before


@dataclass
class World:
    """A few nodes that all know all, and what is under way between them."""

    nodes: list[Membership | None]
    faults: int
    kinds: tuple[str, ...] = KINDS
    now: float = 0.0
    mail: list[Mail] = field(default_factory=list)  # of this step, or held back
    next: list[Mail] = field(default_factory=list)  # sent in it
    paused: dict[int, float] = field(default_factory=dict)  # until when
    cut: dict[int, float] = field(default_factory=dict)  # from all others, until when
    starts: list[tuple[float, int]] = field(default_factory=list)
    lives: int = 0
    harmless: bool = True  # only messages were struck so far
    held: dict[tuple[int, int, str], Any] = field(default_factory=dict)  # the greatest word in each view
    story: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    @property
    def over(self) -> bool:
        """Whether nothing more can happen."""
        return self.now > FAULTS_UNTIL_MS or not self.faults

    def actions(self) -> list[str]:
        """What may come next; the first is what comes without a fault."""
        due = [(n, mail) for n, mail in enumerate(self.mail) if mail.at <= self.now]
        found: list[str] = []
        if due:
            to = min(mail.to for _, mail in due)
            found = [f"deliver {n}" for n, mail in due if mail.to == to]
            if not self.over:
                for n, mail in due:
                    if mail.to == to:
                        found += [
                            f"{kind} {n}"
                            for kind in ("lose", "twice", "late")
                            if kind in self.kinds and not (mail.stream or mail.copy)
                        ]
        else:
            found = ["wait"]
        if not self.over:
            for n, fleet in enumerate(self.nodes):
                if fleet is not None and n not in self.paused:
                    found += [
                        f"{kind} {n}" for kind in ("kill", "restart", "pause", "cut") if kind in self.kinds
                    ]
        return found

    def apply(self, label: str) -> None:
        """Play one of the actions, by its label."""
        what, _, about = label.partition(" ")
        n = int(about or 0)
        if what not in ("wait", "deliver"):
            self.faults -= 1
            self.story.append(f"{self.now:8.1f} ms  {label}: {self._told(what, n)}")
        match what:
            case "deliver":
                self._deliver(self.mail.pop(n))
            case "lose":
                self.mail.pop(n)
            case "twice":
                mail = self.mail[n]
                self.mail.append(replace(mail, copy=True))
                self._deliver(self.mail.pop(n))
            case "late":
                self.mail[n].at = self.now + LATE_MS
            case "kill" | "restart":
                self.harmless = False
                self.nodes[n] = None
                if what == "restart":
                    self.starts.append((self.now + BACK_MS, n))
            case "pause":
                self.harmless = False
                self.paused[n] = self.now + PAUSE_MS
            case "cut":
                self.harmless = False
                self.cut[n] = self.now + CUT_MS
                self.mail = [mail for mail in self.mail if not self._cut_off(mail)]
                self.next = [mail for mail in self.next if not self._cut_off(mail)]
            case "wait":
                self._wait()
        if not any(mail.at <= self.now for mail in self.mail):
            self.mail += self.next
            self.next = []
        self._check()

    def _told(self, what: str, n: int) -> str:
        if what in ("kill", "restart", "pause", "cut"):
            return f"n{n}"
        mail = self.mail[n]
        return f"{mail.message.kind.value} from {mail.message.sender.name} to n{mail.to}"

    def _deliver(self, mail: Mail) -> None:
        fleet = self.nodes[mail.to]
        if fleet is None:
            return
        if mail.to in self.paused:
            mail.at = self.paused[mail.to]
            self.mail.append(mail)
            return
        self._do(mail.to, fleet.handle(api.MessageReceived(mail.message), self.now), mail.message.sender)

    def _cut_off(self, mail: Mail) -> bool:
        return mail.to in self.cut or int(mail.message.sender.name[1:]) in self.cut

    def _do(self, n: int, actions: list[api.Action], sender: Entry | None = None) -> None:
        for action in actions:
            match action:
                case api.SendDatagram() | api.ExchangeState():
                    to = _number(action.to)
                    self.next.append(Mail(to, action.message, isinstance(action, api.ExchangeState)))
                case api.Reply():
                    assert sender is not None
                    self.next.append(Mail(_number((sender.host, sender.port)), action.message, True))
        if self.cut:
            self.next = [mail for mail in self.next if not self._cut_off(mail)]

    def _wait(self) -> None:
        """Go on to the next thing that time brings."""
        times = [mail.at for mail in self.mail] + [at for at, _ in self.starts] + list(self.paused.values())
        times += self.cut.values()
        times += [
            fleet.due_ms for n, fleet in enumerate(self.nodes) if fleet is not None and n not in self.paused
        ]
        self.now = max(self.now, min(times))
        for n in [n for n, until in self.paused.items() if until <= self.now]:
            del self.paused[n]
        self.cut = {n: until for n, until in self.cut.items() if until > self.now}
        for at, n in [one for one in self.starts if one[0] <= self.now]:
            self.starts.remove((at, n))
            self.lives += 1
            fleet = self.nodes[n] = _fleet(n, len(self.nodes), 100 * self.lives)
            self._do(n, fleet.handle(api.Start(), self.now))
        for n, one in enumerate(self.nodes):
            if one is not None and n not in self.paused and one.due_ms <= self.now:
                self._do(n, one.handle(api.Tick(), self.now))

    def finish(self) -> None:
        """Run on with no more faults, and look at what must hold in the end."""
        begin = self.now
        self.faults = 0
        while not self.violations and (self.now < begin + MIN_MS or self._apart()):
            if self.now >= begin + QUIET_MS:
                self.violations.append(f"agree: {self._apart()}, 20 s after the last fault")
                break
            self.apply(self.actions()[0])

    def _apart(self) -> str:
        """Who does not hold just the running nodes for here."""
        truth = {(fleet.me.name, fleet.me.life) for fleet in self.nodes if fleet is not None}
        for fleet in self.nodes:
            if fleet is not None:
                view = {(entry.name, entry.life) for entry in fleet.present()}
                if view != truth or fleet.suspects():
                    return f"{fleet.me.name} holds {sorted(name for name, _ in view)} for here"
        return ""

    def _check(self) -> None:
        running = {fleet.me.name: fleet.me for fleet in self.nodes if fleet is not None}
        for n, fleet in enumerate(self.nodes):
            if fleet is None:
                continue
            for name, entry in fleet.members.items():
                key = n, fleet.me.life, name
                if key in self.held and order(entry) < self.held[key]:
                    self.violations.append(f"rising: n{n} went back on what it held of {name}")
                self.held[key] = order(entry)
                me = running.get(name)
                if me is not None and entry.life == me.life and entry.incarnation > me.incarnation:
                    self.violations.append(
                        f"claimed: n{n} holds an incarnation of {name} that it never claimed"
                    )
                if self.harmless and me is not None and entry.status is Status.LOST:
                    self.violations.append(f"spared: n{n} holds {name} for lost, by lost messages alone")

    def fingerprint(self) -> bytes:
        """What a world holds, without what only counts."""
        out: list[Any] = [
            self.now,
            self.faults,
            self.harmless,
            sorted(self.paused.items()),
            sorted(self.starts),
        ]
        for fleet in self.nodes:
            if fleet is None:
                out.append(None)
                continue
            probes = {number: probe.name for number, probe in fleet._prober.probes.items()}
            relays = {
                number: (relay.asker.name, relay.name) for number, relay in fleet._prober.relays.items()
            }

            def meant(what: str, about: int | str, probes: Any = probes, relays: Any = relays) -> Any:
                if what in ("ask", "judge", "relay"):
                    return probes.get(about) or relays.get(about)
                return about

            out += [
                fleet.me,
                sorted(fleet.members.items()),
                fleet._table.ring_position,
                fleet._reconnector.count,
                fleet.score,
                fleet.joined,
                fleet._conflict.other,
                fleet.contested,
                fleet._conflict.attempts,
                sorted(fleet._suspicions.by_name.items(), key=lambda s: s[0]),
                sorted(
                    (at, timer.kind.value, repr(meant(timer.kind.value, timer.subject)))
                    for at, timer in fleet._timers.pending()
                ),
                sorted((name, queued[0], queued[2]) for name, queued in fleet._outbox.gossip._queued.items()),
                sorted((probe.name, probe.expected, probe.nacks) for probe in fleet._prober.probes.values()),
                sorted(relays.values()),
                sorted(fleet._prober.unproven.items()),
            ]
        for step in (self.mail, self.next):
            out.append(
                sorted(
                    repr(
                        (
                            m.to,
                            m.at,
                            m.stream,
                            m.copy,
                            m.message.kind,
                            m.message.sender,
                            m.message.to_life,
                            m.message.target,
                            m.message.updates,
                            m.message.number > 0,
                        )
                    )
                    for m in step
                )
            )
        return hashlib.blake2b(repr(out).encode(), digest_size=16).digest()

    def succeeded(self) -> bool:
        """All agree at the end of each, or it is broken."""
        return not self.violations


def _number(at: Address) -> int:
    return int(at[0].rpartition(".")[2])


def _fleet(n: int, count: int, life: int) -> Membership:
    me = Entry(f"n{n}", f"10.0.0.{n}", 9100, life + n + 1, phase=Phase.SERVING)
    return Membership(me, [(f"10.0.0.{k}", 9100) for k in range(count)], Middle(), TIMING)


def begin(nodes: int = 3, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> World:
    """All know all, and begin at once."""
    fleets = [_fleet(n, nodes, 1_000) for n in range(nodes)]
    entries = [fleet.me for fleet in fleets]
    world = World(list(fleets), faults, kinds)
    for n, fleet in enumerate(fleets):
        fleet.load(entries)
        world._do(n, fleet.handle(api.Start(), 0.0))
    world.mail = world.next
    world.next = []
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
    """Walk all that a small fleet can do."""
    return world_search.search(lambda: begin(nodes, faults, kinds), broken, break_, limit_s, watch, workers)


def _no_refuting(self: Membership, entry: Entry, by: str, now: float) -> None:
    """In place of `_merge_self`: what is said of this node does not concern it."""


def _no_merge_order(entry: Entry) -> Any:
    """In place of `order`."""
    return (0, entry.status, entry.life, entry.host, entry.port, "", "", "", b"")


def _dead_at_once(self: Membership, entry: Entry, now: float) -> None:
    self._set(replace(entry, status=Status.LOST, by=self.me.name), self.me.name, now)


BREAKS: dict[str, tuple[str, Any, str, Any]] = {
    "no-refuting": ("a node does not refute that it is lost", Membership, "_merge_self", _no_refuting),
    "no-incarnations": ("words are not ordered by incarnation", membership, "order", _no_merge_order),
    "dead-at-once": ("a failed probe is a death", Membership, "_suspect", _dead_at_once),
    "no-reach": ("nobody asks those that are lost", reconnector.Reconnector, "reconnect", lambda *_: None),
    "no-end": ("a suspicion never ends", Membership, "_end_suspicion", lambda self, name, now: None),
}


@contextlib.contextmanager
def broken(name: str) -> Iterator[None]:
    """With one of `BREAKS` in force."""
    if not name:
        yield
        return
    _, where, attribute, value = BREAKS[name]
    with mock.patch.object(where, attribute, value):
        yield
