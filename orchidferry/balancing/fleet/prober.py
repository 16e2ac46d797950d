"""SWIM's failure detector: direct and indirect probes of members in turn, and pings of unproven members."""

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

MAX_SCORE = 8  # Lifeguard's S: a node in bad health probes up to nine times as slowly
NACK_SHARE = 0.8  # share of the probe timeout after which a node that probes for another sends a NACK
MAX_RELAYS = 256  # pending probes for other nodes
MAX_UNPROVEN = 512  # members known only by hearsay that are pinged to prove that they exist
PROVE_AT_ONCE = 4  # unproven members that are pinged with each probe
PROVE_ATTEMPTS = 3  # pings after which an unproven member that is silent is suspected
PROVERS = 8  # average number of nodes that ping the same unproven member


@dataclass(slots=True)
class Probe:
    """A pending probe."""

    name: str  # of the probed member
    expected: int = 0  # answers, ACK or NACK, expected from the nodes that were asked to probe it too
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A pending probe for another node."""

    asker: Entry  # the node that asked for the probe
    number: int  # number of the asker's own probe
    name: str  # of the probed member


class Prober:
    """Probes members, also for other nodes, and calls `suspect` with members that did not answer."""

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
        self.score = 0  # Lifeguard's local health score; 0 is the best
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.unproven: dict[str, int] = {}  # pings sent so far to members known only by hearsay, by name
        self._number = 0

    def adjust_score(self, by: int) -> None:
        """Change the local health score, within its bounds; positive is worse."""
        self.score = max(0, min(MAX_SCORE, self.score + by))

    def clear(self) -> None:
        """Abandon all pending probes."""
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
        """Ask some other nodes to probe the member, if a probe has not been answered yet."""
        probe = self.probes.get(number)
        target = self._table.members.get(probe.name) if probe is not None else None
        if probe is None or target is None:
            return
        others = self._table.sample(self._timing.indirect, probe.name, alive=True)
        probe.expected = len(others)
        for entry in others:
            self._outbox.send(Kind.PING_REQUEST, entry, number, target)

    def end_probe(self, number: int, now: float) -> None:
        """Suspect the member if a probe has not been answered in time."""
        probe = self.probes.pop(number, None)
        if probe is None:
            return
        # If the nodes that were asked to probe have sent NACKs, this node's own health is not the cause.
        self.adjust_score(probe.expected - probe.nacks if probe.expected else 1)
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
        """Send a NACK if a probe for another node has not been answered in time."""
        relay = self.relays.pop(number, None)
        if relay is not None:
            self._outbox.send(Kind.NACK, relay.asker, relay.number)

    def acknowledged(self, number: int, sender: Entry) -> None:
        """Process an ACK, either for a probe of this node or for one made for another node."""
        relay = self.relays.get(number)
        if relay is not None and relay.name == sender.name:
            del self.relays[number]
            return self._outbox.send(Kind.ACK, relay.asker, relay.number, sender)
        if self.probes.pop(number, None) is not None:
            self.adjust_score(-1)
        return None

    def not_acknowledged(self, number: int) -> None:
        """Process a NACK from a node that was asked to probe."""
        if (probe := self.probes.get(number)) is not None:
            probe.nacks += 1

    def consider_hearsay(self, name: str, by: str, senders: int) -> None:
        """Perhaps mark a new member, reported by `by`, as unproven.

        In a small fleet every node does so, in a large one only some of the nodes.

        :param senders: the number of nodes from which this node has received messages
        """
        drawn = self._rng.random() * (1 + senders) < PROVERS
        if by != name and drawn and len(self.unproven) < MAX_UNPROVEN:
            self.unproven[name] = 0

    def _prove(self, now: float) -> None:
        """Ping some unproven members, so that non-existent ones don't crowd the ring for long."""
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
