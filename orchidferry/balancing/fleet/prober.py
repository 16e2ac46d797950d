"""SWIM's failure detector: probes of one member after the other, direct and indirect; and of hearsay."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.members import Entry
from orchidferry.balancing.fleet.messages import Kind
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.timers import TimerKind, Timers

MAX_SCORE = 8  # Lifeguard's S: a node that runs badly probes up to nine times as slowly
NACK_SHARE = 0.8  # of the timeout, after which a node that probes for another reports that it has no answer
MAX_RELAYS = 256  # probes for others that are pending
MAX_UNPROVEN = 512  # members known by hearsay that are asked to prove that they exist,
PROVE_AT_ONCE = 4  # so many with each probe,
PROVE_ATTEMPTS = 3  # each so often;
PROVERS = 8  # nodes of a fleet, on average, that ask the same new member


@dataclass(slots=True)
class Probe:
    """A probe that is pending."""

    name: str
    expected: int = 0  # answers of those that were asked to probe too, yes or no
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A probe for another node that is pending."""

    asker: Entry
    number: int  # the asker's
    name: str


class Prober:
    """Probes members and answers for others; `suspect` is called with members that did not answer."""

    def __init__(
        self,
        table: MemberTable,
        outbox: Outbox,
        timers: Timers,
        timing: Timing,
        rng: random.Random,
        suspect: Callable[[Entry, float], None],
    ) -> None:
        self._table = table
        self._outbox = outbox
        self._timers = timers
        self._timing = timing
        self._rng = rng
        self._suspect = suspect
        self.score = 0  # Lifeguard's local health: how badly this node itself runs
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.unproven: dict[str, int] = {}  # known by hearsay alone, and how often asked
        self._number = 0

    def worsen(self, by: int) -> None:
        """Change the local health score, within its bounds."""
        self.score = max(0, min(MAX_SCORE, self.score + by))

    def clear(self) -> None:
        """Give up all pending probes."""
        self.probes.clear()
        self.relays.clear()

    def probe(self, now: float, passive: bool) -> None:
        """Probe the next member, unless this node is `passive`, and set the timer of the next probe."""
        slowdown = self.score + 1
        wait_ms = self._timing.interval_ms * slowdown
        entry = None if passive else self._table.next_to_probe()
        if entry is not None:
            self._number += 1
            self.probes[self._number] = Probe(entry.name)
            self._outbox.send(Kind.PING, entry, self._number)
            self._timers.set(now, self._timing.timeout_ms * slowdown, TimerKind.INDIRECT_PROBE, self._number)
            self._timers.set(now, wait_ms, TimerKind.PROBE_END, self._number)
            self._prove(now)
        self._timers.set(now, wait_ms, TimerKind.PROBE)

    def ask_others(self, number: int) -> None:
        """A probe had no answer so far: ask some others to probe that member."""
        probe = self.probes.get(number)
        target = self._table.members.get(probe.name) if probe is not None else None
        if probe is None or target is None:
            return
        others = self._table.sample(self._timing.indirect, probe.name, alive=True)
        probe.expected = len(others)
        for entry in others:
            self._outbox.send(Kind.PING_REQUEST, entry, number, target)

    def end_probe(self, number: int, now: float) -> None:
        """A probe had no answer in time: suspect the member."""
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        # Where those that were asked report, the trouble is not this node's own.
        self.worsen(probe.expected - probe.nacks if probe.expected else 1)
        entry = self._table.members.get(probe.name)
        if entry is not None and entry.present:
            self._suspect(entry, now)

    def relay(self, asker: Entry, number: int, target: Entry, now: float) -> None:
        """Probe a member for another node."""
        if len(self.relays) >= MAX_RELAYS:
            return
        self._number += 1
        self.relays[self._number] = Relay(asker, number, target.name)
        known = self._table.members.get(target.name)
        self._outbox.send(Kind.PING, target if known is None else known, self._number)
        self._timers.set(now, self._timing.timeout_ms * NACK_SHARE, TimerKind.RELAY_END, self._number)

    def end_relay(self, number: int) -> None:
        """A probe for another node had no answer in time: report that."""
        relay = self.relays.pop(number, None)
        if relay is not None:
            self._outbox.send(Kind.NACK, relay.asker, relay.number)

    def acknowledged(self, number: int, sender: Entry) -> None:
        """A probe was answered, an own one or one for another node."""
        relay = self.relays.get(number)
        if relay is not None and relay.name == sender.name:
            del self.relays[number]
            return self._outbox.send(Kind.ACK, relay.asker, relay.number, sender)
        if self.probes.pop(number, None) is not None:
            self.worsen(-1)
        return None

    def not_acknowledged(self, number: int) -> None:
        """One of those that were asked to probe had no answer either."""
        if (probe := self.probes.get(number)) is not None:
            probe.nacks += 1

    def consider_hearsay(self, name: str, by: str, senders: int) -> None:
        """A new member is known on the word of `by`; some of many nodes, all of few, ask it to prove itself.

        :param senders: how many nodes this one hears from
        """
        drawn = self._rng.random() * (1 + senders) < PROVERS
        if by != name and drawn and len(self.unproven) < MAX_UNPROVEN:
            self.unproven[name] = 0

    def _prove(self, now: float) -> None:
        """Ping some of those known by hearsay alone: invented ones must not crowd the ring for long."""
        for name in list(self.unproven)[:PROVE_AT_ONCE]:
            attempts = self.unproven.pop(name)
            entry = self._table.members.get(name)
            if entry is None or not entry.present:
                continue
            if attempts >= PROVE_ATTEMPTS:
                self._suspect(entry, now)
            else:
                self.unproven[name] = attempts + 1
                self._outbox.send(Kind.PING, entry)
