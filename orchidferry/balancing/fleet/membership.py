"""One node's part in the membership: a state machine that takes events and returns actions.

The caller passes each event to `handle`, and a `Tick` at `due_ms`; it also supplies the clock and the random
numbers. Memory is bounded: members by `max_nodes`, gossip by `gossip_queue.MAX_QUEUED`, one replay window for
each member, probes and relays by constants.

Extensions beyond SWIM and Lifeguard:

- Replay protection. A message carries the `life` of the process that it is for (`to_life`) and a serial. A
  message that was recorded before the receiving process started has another `to_life`, and a duplicate has a
  serial that was received already. The only other message that is answered is a PING, by a sender that does
  not know this process yet: it is answered with this node's entry, and its content is ignored.
- Pauses. A node that did not run for a while (`_on_pause`) draws no conclusions from the silence during that
  time: all of its timeouts are extended by the length of the pause.
- Reported losses. A loss that another node reports is treated as a suspicion, unless the suspicion is known
  already, so that the node in question has at least the shortest time to refute it. The halves of a healed
  network partition therefore don't declare each other lost.
- Name conflicts. A name is taken over only from a process that does not answer (`name_conflict`).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.members import MAX_JUMP, Entry, Phase, Status, order
from orchidferry.balancing.fleet.messages import Address, Kind, LogKind, Message
from orchidferry.balancing.fleet.name_conflict import NameConflict
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.prober import Prober
from orchidferry.balancing.fleet.reconnector import Reconnector
from orchidferry.balancing.fleet.replay_window import ReplayWindow
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.suspicions import ROUNDING_MS, Suspicions
from orchidferry.balancing.fleet.timers import Timer, TimerKind, Timers

SYNC_SCALED_FROM = 32  # nodes beyond which complete states are exchanged less often
LEAVE_FANOUT = 8  # nodes to which each leave announcement is sent
LEAVE_ROUNDS = 3  # leave announcements
LEAVE_INTERVAL_MS = 60.0  # time between two leave announcements
MAX_SAVED_PEERS = 64


@dataclass(frozen=True, slots=True)
class SavedState:
    """The state to save for later processes of this node."""

    incarnation: int
    peers: tuple[Address, ...]


class Membership:
    """The membership protocol at one node."""

    def __init__(
        self,
        me: Entry,
        seeds: Iterable[Address],
        rng: random.Random,
        timing: Timing | None = None,
        max_nodes: int = 1_024,
    ) -> None:
        """Create a membership that has not joined yet.

        :param me: this node's own entry
        :param seeds: the addresses for first contact
        :param rng: the source of random choices
        :param timing: the parameters of the protocol
        :param max_nodes: the greatest number of nodes, including this one
        """
        self.timing = timing or Timing()
        self._rng = rng
        self._max_nodes = max_nodes
        self._table = MemberTable([seed for seed in seeds if seed != (me.host, me.port)], rng)
        self._outbox = Outbox(me, self._table)
        self._timers = Timers()
        self._prober = Prober(
            self._table,
            self._outbox,
            self._timers,
            self.timing,
            rng,
            self._on_probe_failed,
        )
        self._conflict = NameConflict(self._outbox, self._timers, self.timing)
        self._reconnector = Reconnector(self._table, self._outbox, self._timers, self.timing, rng)
        self._forgetting: set[str] = set()  # gone members with a timer for their removal
        self._suspicions = Suspicions(self._table, self._timers, self.timing)
        self._windows: dict[str, tuple[int, ReplayWindow]] = {}  # sender's `life` and window, by name
        self._gossiping = False
        self.joined = False
        self.left = False
        self.started = False

    # State for callers

    @property
    def me(self) -> Entry:
        """This node's own entry."""
        return self._outbox.me

    @property
    def members(self) -> dict[str, Entry]:
        """All other known nodes, including lost ones, by name."""
        return self._table.members

    @property
    def since(self) -> dict[str, tuple[float, str]]:
        """The time and the reporting node of each entry's last update, by name."""
        return self._table.since

    @property
    def score(self) -> int:
        """Lifeguard's local health score; 0 is the best."""
        return self._prober.score

    @property
    def contested(self) -> bool:
        """Whether another living process has this node's name, so that this node stays passive."""
        return self._conflict.contested

    @property
    def due_ms(self) -> float:
        """The time at which a `Tick` is to be passed in; infinite for never."""
        return self._timers.due_ms

    @property
    def size(self) -> int:
        """The number of present nodes, including this one."""
        return self._table.size

    @property
    def saved_state(self) -> SavedState:
        """The state to save for later processes of this node."""
        peers = [(e.host, e.port) for e in self.members.values() if e.present][:MAX_SAVED_PEERS]
        return SavedState(self.me.incarnation, tuple(sorted(peers)))

    @property
    def _passive(self) -> bool:
        return self._conflict.other is not None

    def suspects(self) -> int:
        """The number of members that are suspected now."""
        return len(self._suspicions.by_name)

    def present(self) -> Iterator[Entry]:
        """The nodes that are present in this node's view, starting with itself."""
        yield self.me
        yield from (entry for entry in self.members.values() if entry.present)

    def load(self, entries: Iterable[Entry]) -> None:
        """Start with these members as if they had been known all along; for models."""
        self._table.load(entry for entry in entries if entry.name != self.me.name)
        self.joined = True

    # Events

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Process an event at `now` (ms); returns the resulting actions, in order."""
        self._outbox.actions = []
        overdue_ms = now - self._timers.due_ms
        if overdue_ms > self.timing.interval_ms:
            self._on_pause(now, overdue_ms)
        match event:
            case api.MessageReceived():
                if self.started and not self.left:
                    self._on_message(event.message, now)
            case api.Tick():
                pass
            case api.Start():
                self._start(now)
            case api.SelfChanged():
                self._on_self_changed(event, now)
            case api.Leave():
                self._leave(now)
        while self._timers.due_ms <= now + ROUNDING_MS:
            self._on_timer(self._timers.pop(), now)
        return self._outbox.actions

    def _on_timer(self, timer: Timer, now: float) -> None:
        if self.left and timer.kind is not TimerKind.LEAVE:
            return
        match timer.kind:
            case TimerKind.PROBE:
                self._prober.probe(now, self._passive)
            case TimerKind.INDIRECT_PROBE:
                self._prober.ask_others(int(timer.subject))
            case TimerKind.PROBE_END:
                self._prober.end_probe(int(timer.subject), now)
            case TimerKind.RELAY_END:
                self._prober.end_relay(int(timer.subject))
            case TimerKind.SUSPICION_END:
                self._end_suspicion(str(timer.subject), now)
            case TimerKind.GOSSIP:
                self._gossip(now)
            case TimerKind.SYNC:
                self._timers.set(now, self._sync_ms(), TimerKind.SYNC)
                self._outbox.request_state(self._table.sample(1), now)
            case TimerKind.RECONNECT:
                self._reconnector.reconnect(now, self.joined, self._passive)
            case TimerKind.FORGET:
                self._forget(str(timer.subject), now)
            case TimerKind.NAME_CONFLICT:
                if (other := self._conflict.check(now)) is not None:
                    self._change_self(other.incarnation + 1, now)
            case TimerKind.LEAVE:
                self._announce_leave(int(timer.subject), now)

    def _sync_ms(self) -> float:
        """The time to the next exchange of complete states, which grow with the fleet (as in memberlist)."""
        scale = max(1.0, (self.size - 1).bit_length() - SYNC_SCALED_FROM.bit_length() + 2.0)
        return self.timing.sync_ms * scale * (0.8 + 0.4 * self._rng.random())

    def _on_pause(self, now: float, gap_ms: float) -> None:
        """Extend all timeouts by a time in which this node did not run and could not receive messages."""
        self._timers.postpone(gap_ms)
        self._suspicions.postpone(gap_ms)
        self._prober.clear()
        self._prober.adjust_score(1)
        if self.started and not self.left and not self._passive:
            self._outbox.request_state(self._table.sample(1), now)
        text = f"did not run for {gap_ms / 1000.0:.1f} s: timeouts are extended by that time"
        self._outbox.warn(LogKind.SLEPT, text, now)

    # Start, change, leave

    def _start(self, now: float) -> None:
        if self.started:
            return
        self.started = True
        self._spread(self.me, now)
        self._timers.set(now, self._rng.random() * self.timing.interval_ms, TimerKind.PROBE)
        self._timers.set(now, self._rng.random() * self._sync_ms(), TimerKind.SYNC)
        self._timers.set(now, 0.0 if self._table.seeds else self.timing.reach_ms, TimerKind.RECONNECT)
        self._outbox.actions.append(api.SaveState())

    def _on_self_changed(self, event: api.SelfChanged, now: float) -> None:
        me = self.me
        phase = event.phase if event.phase is not None else me.phase
        version = event.version if event.version is not None else me.version
        if (phase, version) != (me.phase, me.version) and not self.left:
            self._change_self(me.incarnation + 1, now, phase, version)

    def _change_self(
        self, incarnation: int, now: float, phase: Phase | None = None, version: str | None = None
    ) -> None:
        """Raise this node's own incarnation, and change its phase or version if given."""
        me = self.me
        self._outbox.me = replace(
            me,
            incarnation=incarnation,
            phase=phase or me.phase,
            version=me.version if version is None else version,
        )
        if self.started:
            self._spread(self.me, now)
            self._outbox.actions.append(api.SaveState())

    def _leave(self, now: float) -> None:
        if self.left:
            return
        incarnation = self.me.incarnation + 1
        self._outbox.me = replace(self.me, incarnation=incarnation, status=Status.LEFT, phase=Phase.DRAINING)
        if self.started and not self._passive:
            self._announce_leave(LEAVE_ROUNDS, now)
        self.left = True
        self._outbox.actions.append(api.SaveState())

    def _announce_leave(self, rounds: int, now: float) -> None:
        for entry in self._table.sample(LEAVE_FANOUT):
            self._outbox.send(Kind.GOSSIP, entry)
        if rounds > 1:
            self._timers.set(now, LEAVE_INTERVAL_MS, TimerKind.LEAVE, rounds - 1)

    # Gossip

    def _spread(self, entry: Entry, now: float) -> None:
        self._outbox.gossip.add(entry)
        if not self._gossiping:
            self._gossiping = True
            self._timers.set(now, self.timing.gossip_ms, TimerKind.GOSSIP)

    def _gossip(self, now: float) -> None:
        updates = self._outbox.gossip
        if not self._passive:
            for entry in self._table.sample(self.timing.fanout):
                if updates:
                    self._outbox.send(Kind.GOSSIP, entry)
        self._gossiping = bool(updates) and self._table.present > 0
        if self._gossiping:
            self._timers.set(now, self.timing.gossip_ms, TimerKind.GOSSIP)

    # Nodes that are gone

    def _forget(self, name: str, now: float) -> None:
        gone_ms = self._table.gone_ms.get(name)
        if gone_ms is None:
            self._forgetting.discard(name)
        elif now < gone_ms + self.timing.forget_ms:
            self._timers.set(gone_ms + self.timing.forget_ms, 0.0, TimerKind.FORGET, name)
        else:
            self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self._table.remove(name)
        self._forgetting.discard(name)
        self._windows.pop(name, None)
        self._prober.unproven.pop(name, None)
        self._outbox.gossip.drop(name)
        self._outbox.actions.append(api.MemberChanged(entry, None, self.me.name))

    # Messages

    def _on_message(self, message: Message, now: float) -> None:
        sender = message.sender
        if sender.name == self.me.name:
            if sender.life != self.me.life:
                self._on_namesake(message, now)
            return None
        if message.to_life != self.me.life:
            # The sender does not know this process yet, or means an earlier one. It learns the current `life`
            # from this answer, and can then send the message again.
            if message.kind is Kind.PING:
                self._outbox.introduce_self(sender, message.number, now)
            return None
        known = self.members.get(sender.name)
        if known is not None and known.life != sender.life and order(sender) < order(known):
            # A new process that has not seen the updates about the one before it, or a delayed message.
            number = message.number if message.kind is Kind.PING else 0
            return self._outbox.introduce_self(sender, number, now, (known,))
        if known is None and not self._has_capacity(sender, now):
            return None
        if not self._is_new(message):
            return None
        was_gone = known is not None and not known.present
        self._merge(sender, sender.name, now)
        self._prober.unproven.pop(sender.name, None)
        for entry in message.updates:
            self._merge(entry, sender.name, now)
        if sender.status is Status.LEFT:
            return None
        self._answer(message, now)
        if not self.joined or (was_gone and self.members[sender.name].present):
            self.joined = True
            self._outbox.request_state([self.members[sender.name]], now)
        return None

    def _is_new(self, message: Message) -> bool:
        """Whether a message is not a duplicate of a received one."""
        sender = message.sender
        life, window = self._windows.get(sender.name, (0, None))
        if window is None or life != sender.life:
            window = ReplayWindow()
            self._windows[sender.name] = sender.life, window
        return window.take(message.serial)

    def _answer(self, message: Message, now: float) -> None:
        sender = message.sender
        match message.kind:
            case Kind.PING:
                self._outbox.send(Kind.ACK, sender, message.number)
            case Kind.ACK:
                self._prober.acknowledged(message.number, sender)
            case Kind.NACK:
                self._prober.not_acknowledged(message.number)
            case Kind.PING_REQUEST:
                if message.target is not None and message.target.name != self.me.name:
                    self._prober.relay(sender, message.number, message.target, now)
            case Kind.STATE_REQUEST:
                self._outbox.reply_state(sender, now)
            case Kind.GOSSIP | Kind.STATE_REPLY:
                pass

    # Updates about others

    def _merge(self, entry: Entry, by: str, now: float) -> None:
        """Apply an update about a node, reported by `by`, if it wins over the known entry."""
        if entry.name == self.me.name:
            return self._merge_self(entry, by, now)
        known = self.members.get(entry.name)
        if known is None:
            # Don't add nodes that are gone and were never known: their entries would be spread forever.
            if entry.present and self._has_capacity(entry, now):
                self._set(entry, by, now)
            return None
        if order(entry) <= order(known):
            same = (entry.incarnation, entry.life) == (known.incarnation, known.life)
            if same and entry.status is known.status is Status.SUSPECT:
                self._confirm(known, entry.by, now)
            return None
        if entry.incarnation - known.incarnation > MAX_JUMP:
            text = f"{by} reports that {entry.name} is at incarnation {entry.incarnation}"
            text += f", from {known.incarnation}: ignored"
            return self._outbox.warn(LogKind.JUMP, text, now)
        if entry.status is Status.LOST and known.status is Status.ALIVE:
            entry = replace(entry, status=Status.SUSPECT)
            if order(entry) <= order(known):
                return None
        self._set(entry, by, now)
        return None

    def _has_capacity(self, entry: Entry, now: float) -> bool:
        """Whether one more member may be added; a member that is gone is removed to make room."""
        if entry.name in self.members or len(self.members) + 1 < self._max_nodes:
            return True
        if gone := self._table.longest_gone():
            self._remove(gone)
            return True
        text = f"the limit of {self._max_nodes} nodes is reached: {entry.name} is ignored"
        self._outbox.warn(LogKind.FULL, text, now)
        return False

    def _set(self, entry: Entry, by: str, now: float) -> None:
        """Set the entry of a member, and spread it."""
        name = entry.name
        before = self._table.put(entry, by, now)
        if before is None:
            self._prober.consider_hearsay(name, by, len(self._windows))
        self._suspicions.end(name)
        if not entry.present:
            self._prober.unproven.pop(name, None)
            if name not in self._forgetting:
                self._forgetting.add(name)
                self._timers.set(now, self.timing.forget_ms, TimerKind.FORGET, name)
        if entry.status is Status.SUSPECT:
            self._suspicions.begin(entry, now)
        self._spread(entry, now)
        self._outbox.actions.append(api.MemberChanged(before, entry, by))
        if before is None or before.present != entry.present:
            self._outbox.actions.append(api.SaveState())

    def _on_probe_failed(self, entry: Entry, now: float) -> None:
        self._suspect(entry, now)

    def _suspect(self, entry: Entry, now: float) -> None:
        """Suspect a member that did not answer this node's probe, or confirm an existing suspicion."""
        me = self.me.name
        if entry.status is Status.ALIVE:
            self._set(replace(entry, status=Status.SUSPECT, by=me), me, now)
        else:
            self._confirm(entry, me, now)

    def _confirm(self, entry: Entry, by: str, now: float) -> None:
        if self._suspicions.confirm(entry.name, by):
            self._spread(replace(entry, by=by), now)

    def _end_suspicion(self, name: str, now: float) -> None:
        """Declare a member lost if it has not refuted a suspicion in time."""
        entry = self.members.get(name)
        if entry is not None and self._suspicions.is_over(name, now):
            self._set(replace(entry, status=Status.LOST, by=self.me.name), self.me.name, now)

    # Updates about this node

    def _merge_self(self, entry: Entry, by: str, now: float) -> None:
        """Refute a claim about this node, or about an earlier process with its name."""
        me = self.me
        if entry.incarnation - me.incarnation > MAX_JUMP:
            text = f"{by} reports that this node is at incarnation {entry.incarnation}"
            text += f", from {me.incarnation}: ignored"
            return self._outbox.warn(LogKind.JUMP, text, now)
        if entry.life == me.life:
            if entry.incarnation < me.incarnation or (
                entry.status is Status.ALIVE and entry.incarnation == me.incarnation
            ):
                return None
            self._prober.adjust_score(1)
            self._change_self(entry.incarnation + 1, now)
            self._refute(by)
        elif order(entry) > order(me):
            other = self._conflict.other
            if not entry.present or (entry.host, entry.port) == (me.host, me.port):
                # The other process is gone.
                self._conflict.end()
                self._change_self(entry.incarnation + 1, now)
                self._refute(by)
            elif other is None or order(entry) > order(other):
                self._conflict.begin(entry, now)
        return None

    def _refute(self, by: str) -> None:
        """Send the refutation at once to the node that spread the claim; others receive it by gossip."""
        claimant = self.members.get(by)
        if claimant is not None and claimant.present and not self._passive:
            self._outbox.send(Kind.GOSSIP, claimant)

    def _on_namesake(self, message: Message, now: float) -> None:
        """Process a message from another process with this node's name."""
        if message.to_life != self.me.life:
            return
        if message.kind is Kind.PING:
            self._outbox.introduce_self(message.sender, message.number, now)
        else:
            self._conflict.heard_from(message.sender.life)
        self._merge_self(message.sender, self.me.name, now)
