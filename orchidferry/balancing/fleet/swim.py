"""One node's part in the membership: events in, actions out. Clock and chance are handed in.

`handle` is called with each event; `due_ms` says when it wants a `Tick`. What it holds is bounded: members by
`most`, rumours by `rumours.MOST`, one message window a member, probes and relays by constants here.

Beyond SWIM and Lifeguard:

- Freshness. A message names the process it is for (`to_life`) and counts up: one that was recorded before
  that process began is for another, and a copy has been counted. Only a PING that knows no process yet is
  answered without that, by a word of who is here, and nothing it says is taken.
- A node that stood still (`_slept`) draws nothing from the silence of that time: all that it waited for waits
  that much longer.
- Hearsay of a loss is hearsay of a suspicion, unless the suspicion is known already: whoever is told that a
  node is lost gives it the least time to refute that. So views of halves that healed do not kill each other.
- A name is taken over only from one that does not answer, so a second process that is given a living node's
  name stays aside and says so.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.fresh import Credit, Window
from orchidferry.balancing.fleet.members import MAX_JUMP, Entry, Phase, Status, order, size_of
from orchidferry.balancing.fleet.messages import Address, Kind, Message
from orchidferry.balancing.fleet.rumours import Rumours
from orchidferry.balancing.fleet.suspicion import Suspicion, Timing, bounds_ms

MAX_SCORE = 8  # Lifeguard's S: a node that runs badly probes up to nine times as slowly
ROOM = 1_100  # bytes of news in a datagram: with all else under the 1,400 that any network carries whole
HEAD = 90  # of a message beside its entries, at most
SIZE_FROM = 32  # nodes, from which exchanges of whole views become rarer
# until somebody answers, so many seeds are asked so often
JOIN_MS = 300.0
JOIN_AT_ONCE = 3
NACK_SHARE = 0.8  # of the time-out, after which a node that probes for another says it has no answer either
MAX_RELAYS = 256  # probes for others that are under way
MAX_UNPROVEN = 512
PROVE_AT_ONCE = 4
PROVE_TRIES = 3
PROVERS = 8
# looks at another process of this name; between looks at one that lives
RIVAL_TRIES = 3
RIVAL_MS = 5_000.0
LEAVE_TO = 8
LEAVE_TIMES = 3
LEAVE_MS = 60.0
SAY_EVERY_S = 60.0
ROUNDING_MS = 0.01  # what a caller's clock loses in other units: a tick that came in time is not too early
MAX_LASTING = 64  # peers that are kept over a restart
MAX_SEEDS = 64


@dataclass(slots=True)
class _Probe:
    name: str
    expected: int = 0  # answers of those that were asked to probe too, yes or no
    nacks: int = 0


@dataclass(slots=True)
class _Relay:
    asker: Entry
    number: int  # the asker's
    name: str


@dataclass(frozen=True, slots=True)
class Lasting:
    """What a later process of this node should know."""

    incarnation: int
    peers: tuple[Address, ...]


class Fleet:
    """A node among its peers."""

    def __init__(
        self,
        me: Entry,
        seeds: Iterable[Address],
        rng: random.Random,
        timing: Timing | None = None,
        most: int = 1_024,
    ) -> None:
        """`seeds`: addresses to begin with; `most`: members, this one included."""
        self.me, self.timing, self._rng, self._most = me, timing or Timing(), rng, most
        own = (me.host, me.port)
        self._seeds = dict.fromkeys([seed for seed in seeds if seed != own][:MAX_SEEDS], "")
        self.members: dict[str, Entry] = {}  # all others that are known, also lost ones
        self.since: dict[str, tuple[float, str]] = {}  # when and by whose word an entry became what it is
        self._here = 0  # of these, alive or suspected
        self._ring: list[str] = []  # an order to probe in
        self._at = 0
        self._lost: dict[str, None] = {}
        self._reached = int(rng.random() * 1_000.0)  # who of those that are gone is asked next
        self._gone_ms: dict[str, float] = {}
        self._forgetting: set[str] = set()
        self._suspicions: dict[str, Suspicion] = {}
        self._windows: dict[str, tuple[int, Window]] = {}  # by name: whose life, and what of it has come
        self._unproven: dict[str, int] = {}  # known by hearsay alone, and how often asked
        self._rumours = Rumours()
        self._gossiping = False
        self.score = 0  # Lifeguard's: how badly this node itself runs
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._number = self._serial = 0
        self._alarms: list[tuple[float, int, str, int | str]] = []
        self._alarm = 0
        self._greetings = Credit(50.0, 100.0)
        self._syncs, self._answers = Credit(1.0, 2.0), Credit(10.0, 20.0)
        self._lines = {kind: Credit(1.0 / SAY_EVERY_S, 1.0) for kind in ("full", "jump", "slept")}
        self.joined = self.left = self.begun = False
        self._rival: Entry | None = None
        self._rival_heard = False
        self._rival_tries = 0
        self.contested = False  # another living process has this name: this one stays aside
        self._out: list[api.Action] = []

    # What others ask of it

    @property
    def due_ms(self) -> float:
        """When a `Tick` is wanted; infinite for never."""
        return self._alarms[0][0] if self._alarms else float("inf")

    @property
    def size(self) -> int:
        """Nodes that are here, this one included."""
        return self._here + 1

    @property
    def lasting(self) -> Lasting:
        """What to keep for a later process."""
        peers = [(e.host, e.port) for e in self.members.values() if e.here][:MAX_LASTING]
        return Lasting(self.me.incarnation, tuple(sorted(peers)))

    def suspects(self) -> int:
        """Members that are suspected now."""
        return len(self._suspicions)

    def know(self, entries: Iterable[Entry]) -> None:
        """Begin with these, as if they had always been there. For models."""
        for entry in entries:
            if entry.name != self.me.name:
                self.members[entry.name] = entry
                self._ring.append(entry.name)
                self._here += 1
        self._rng.shuffle(self._ring)
        self.joined = True

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Take an event at `now` (ms); what is to be done, in order."""
        self._out = []
        if self._alarms and now - self._alarms[0][0] > self.timing.interval_ms:
            self._slept(now, now - self._alarms[0][0])
        match event:
            case api.Heard():
                if self.begun and not self.left:
                    self._heard(event.message, now)
            case api.Tick():
                pass
            case api.Begin():
                self._begin(now)
            case api.Turned():
                self._turned(event, now)
            case api.Leave():
                self._leave(now)
        while self._alarms and self._alarms[0][0] <= now + ROUNDING_MS:
            _, _, what, about = heapq.heappop(self._alarms)
            self._ring_alarm(what, about, now)
        return self._out

    # Time

    def _after(self, now: float, wait_ms: float, what: str, about: int | str = 0) -> None:
        self._alarm += 1
        heapq.heappush(self._alarms, (now + wait_ms, self._alarm, what, about))

    def _ring_alarm(self, what: str, about: int | str, now: float) -> None:
        if self.left and what != "leave":
            return
        match what:
            case "probe":
                self._probe(now)
            case "ask":
                self._ask_others(int(about))
            case "judge":
                self._judge(int(about), now)
            case "relay":
                self._no_answer(int(about))
            case "suspect":
                self._time_up(str(about), now)
            case "gossip":
                self._gossip(now)
            case "sync":
                self._after(now, self._sync_ms(), "sync")
                self._sync_with(self._some(1), now)
            case "reach":
                self._reach(now)
            case "forget":
                self._forget(str(about), now)
            case "rival":
                self._look_at_rival(now)
            case "leave":
                self._tell_leave(int(about), now)

    def _sync_ms(self) -> float:
        """Whole views grow with the fleet, so they go round less often, as in memberlist."""
        scale = max(1.0, (self.size - 1).bit_length() - SIZE_FROM.bit_length() + 2.0)
        return self.timing.sync_ms * scale * (0.8 + 0.4 * self._rng.random())

    def _slept(self, now: float, gap_ms: float) -> None:
        """This node did not run, for so long: it knows nothing of that time, and begins where it was."""
        self._alarms = [(at + gap_ms, *rest) for at, *rest in self._alarms]  # type: ignore[misc]
        for suspicion in self._suspicions.values():
            suspicion.moved(gap_ms)
        self._probes.clear()
        self._relays.clear()
        self._worse(1)
        if self.begun and not self.left and not self._aside:
            self._sync_with(self._some(1), now)
        self._say(
            "slept", f"stood still for {gap_ms / 1000.0:.1f} s: nothing is drawn from that silence", now
        )

    # Begin, change, end

    def _begin(self, now: float) -> None:
        if self.begun:
            return
        self.begun = True
        self._spread(self.me, now)
        rng = self._rng
        timing = self.timing
        self._after(now, rng.random() * timing.interval_ms, "probe")
        self._after(now, rng.random() * self._sync_ms(), "sync")
        self._after(now, 0.0 if self._seeds else timing.reach_ms, "reach")
        self._out.append(api.Keep())

    def _turned(self, event: api.Turned, now: float) -> None:
        me = self.me
        phase = event.phase if event.phase is not None else me.phase
        version = event.version if event.version is not None else me.version
        if (phase, version) != (me.phase, me.version) and not self.left:
            self._rise(me.incarnation + 1, now, phase=phase, version=version)

    def _rise(
        self, incarnation: int, now: float, phase: Phase | None = None, version: str | None = None
    ) -> None:
        """Say something new of this node."""
        me = self.me
        self.me = replace(
            me,
            incarnation=incarnation,
            phase=phase or me.phase,
            version=me.version if version is None else version,
        )
        if self.begun:
            self._spread(self.me, now)
            self._out.append(api.Keep())

    def _leave(self, now: float) -> None:
        if self.left:
            return
        self.me = replace(
            self.me, incarnation=self.me.incarnation + 1, status=Status.LEFT, phase=Phase.DRAINING
        )
        if self.begun and not self._aside:
            self._tell_leave(LEAVE_TIMES, now)
        self.left = True
        self._out.append(api.Keep())

    def _tell_leave(self, times: int, now: float) -> None:
        for entry in self._some(LEAVE_TO):
            self._send(Kind.NEWS, entry)
        if times > 1:
            self._after(now, LEAVE_MS, "leave", times - 1)

    # Messages out

    def _message(
        self, kind: Kind, to_life: int, number: int, target: Entry | None, news: tuple[Entry, ...]
    ) -> Message:
        self._serial += 1
        return Message(kind, self.me, to_life, self._serial, number, target, news)

    def _send(self, kind: Kind, to: Entry, number: int = 0, target: Entry | None = None) -> None:
        """A datagram to a node, with what there is to tell; first what is said of itself, if it must refute
        that.
        """
        room = ROOM - HEAD - size_of(self.me) - (size_of(target) if target is not None else 0)
        news: list[Entry] = []
        held = self.members.get(to.name)
        if held is not None and held.status is not Status.ALIVE:
            news.append(held)
            room -= size_of(held)
        news += self._rumours.take(room, self.size, to.name)
        message = self._message(kind, to.life, number, target, tuple(news))
        self._out.append(api.Datagram((to.host, to.port), message))

    def _greet(self, to: Entry, number: int, now: float, news: tuple[Entry, ...] = ()) -> None:
        """To one whose process is not, or not yet, the one that is known: bounded, as anybody may ask for
        it.
        """
        if self._greetings.take(now):
            message = self._message(Kind.ACK, to.life, number, None, news)
            self._out.append(api.Datagram((to.host, to.port), message))

    def _sync_with(self, some: list[Entry], now: float) -> None:
        for entry in some:
            if self._syncs.take(now):
                message = self._message(Kind.STATE, entry.life, 0, None, tuple(self.members.values()))
                self._out.append(api.Exchange((entry.host, entry.port), message))

    def _spread(self, entry: Entry, now: float) -> None:
        self._rumours.add(entry)
        if not self._gossiping:
            self._gossiping = True
            self._after(now, self.timing.gossip_ms, "gossip")

    def _gossip(self, now: float) -> None:
        if not self._aside:
            for entry in self._some(self.timing.fanout):
                if self._rumours:
                    self._send(Kind.NEWS, entry)
        self._gossiping = bool(self._rumours) and self._here > 0
        if self._gossiping:
            self._after(now, self.timing.gossip_ms, "gossip")

    def _some(self, count: int, leave_out: str = "", alive: bool = False) -> list[Entry]:
        """So many members that are here, at random."""
        found: dict[str, Entry] = {}
        ring = self._ring
        if len(ring) <= 4 * count:  # few: look at all
            names: Iterable[str] = self._rng.sample(ring, len(ring))
        else:
            names = (ring[int(self._rng.random() * len(ring))] for _ in range(8 * count))
        for name in names:
            entry = self.members[name]
            if entry.here and name != leave_out and not (alive and entry.status is Status.SUSPECT):
                found[name] = entry
                if len(found) == count:
                    break
        return list(found.values())

    # Probes

    def _next(self) -> Entry | None:
        """Round robin over a shuffled ring, anew with each round: each is probed within twice the ring's
        length.
        """
        for _ in range(len(self._ring)):
            if self._at >= len(self._ring):
                self._at = 0
                self._rng.shuffle(self._ring)
            entry = self.members[self._ring[self._at]]
            self._at += 1
            if entry.here:
                return entry
        return None

    def _probe(self, now: float) -> None:
        slower = self.score + 1
        wait = self.timing.interval_ms * slower
        entry = None if self._aside else self._next()
        if entry is not None:
            self._number += 1
            self._probes[self._number] = _Probe(entry.name)
            self._send(Kind.PING, entry, self._number)
            self._after(now, self.timing.timeout_ms * slower, "ask", self._number)
            self._after(now, wait, "judge", self._number)
            self._prove(now)
        self._after(now, wait, "probe")

    def _prove(self, now: float) -> None:
        """Ask some of those known by hearsay alone: made-up ones must not crowd the ring for long."""
        for name in list(self._unproven)[:PROVE_AT_ONCE]:
            tries = self._unproven.pop(name)
            entry = self.members.get(name)
            if entry is None or not entry.here:
                continue
            if tries >= PROVE_TRIES:
                self._suspect(entry, self.me.name, now)
            else:
                self._unproven[name] = tries + 1
                self._send(Kind.PING, entry)

    def _ask_others(self, number: int) -> None:
        probe = self._probes.get(number)
        target = self.members.get(probe.name) if probe is not None else None
        if probe is None or target is None:
            return
        others = self._some(self.timing.indirect, probe.name, alive=True)
        probe.expected = len(others)
        for entry in others:
            self._send(Kind.ASK, entry, number, target)

    def _judge(self, number: int, now: float) -> None:
        probe = self._probes.pop(number, None)
        if probe is None:
            return
        # Where those that were asked are heard of, it is not this node's own trouble.
        self._worse(probe.expected - probe.nacks if probe.expected else 1)
        entry = self.members.get(probe.name)
        if entry is not None and entry.here:
            self._suspect(entry, self.me.name, now)

    def _worse(self, by: int) -> None:
        self.score = max(0, min(MAX_SCORE, self.score + by))

    def _relay(self, asker: Entry, number: int, target: Entry, now: float) -> None:
        if len(self._relays) >= MAX_RELAYS:
            return
        self._number += 1
        self._relays[self._number] = _Relay(asker, number, target.name)
        known = self.members.get(target.name)
        self._send(Kind.PING, target if known is None else known, self._number)
        self._after(now, self.timing.timeout_ms * NACK_SHARE, "relay", self._number)

    def _no_answer(self, number: int) -> None:
        relay = self._relays.pop(number, None)
        if relay is not None:
            self._send(Kind.NACK, relay.asker, relay.number)

    def _acked(self, number: int, sender: Entry) -> None:
        relay = self._relays.get(number)
        if relay is not None and relay.name == sender.name:
            del self._relays[number]
            return self._send(Kind.ACK, relay.asker, relay.number, sender)
        if self._probes.pop(number, None) is not None:
            self._worse(-1)

    # Those that are not here

    def _reach(self, now: float) -> None:
        """Ask one that is lost, or a seed that no member stands at: halves that were cut find each other
        so.
        """
        alone = not self.joined
        self._after(now, JOIN_MS if alone and self._seeds else self.timing.reach_ms, "reach")
        if self._aside:
            return
        empty = [seed for seed, name in self._seeds.items() if not (name and self.members[name].here)]
        if alone:
            for seed in self._rng.sample(empty, min(JOIN_AT_ONCE, len(empty))):
                self._ask_address(seed)
            return
        gone = len(self._lost) + len(empty)
        if not gone:
            return
        # By turns one at random, so that nodes ask different ones, and the next in a row: each is asked.
        self._reached += 1
        at = self._reached // 2 % gone if self._reached % 2 else int(self._rng.random() * gone)
        if at >= len(self._lost):
            self._ask_address(empty[at - len(self._lost)])
        else:
            self._send(Kind.PING, self.members[list(self._lost)[at]])

    def _ask_address(self, where: Address) -> None:
        self._out.append(api.Datagram(where, self._message(Kind.PING, 0, 0, None, ())))

    def _forget(self, name: str, now: float) -> None:
        gone = self._gone_ms.get(name)
        if gone is None:
            self._forgetting.discard(name)
        elif now < gone + self.timing.forget_ms:
            self._after(gone + self.timing.forget_ms, 0.0, "forget", name)
        else:
            self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self.members.pop(name)
        self._ring.remove(name)
        self._lost.pop(name, None)
        self._gone_ms.pop(name, None)
        self._forgetting.discard(name)
        self._windows.pop(name, None)
        self._unproven.pop(name, None)
        self.since.pop(name, None)
        self._rumours.drop(name)
        seed = (entry.host, entry.port)
        if self._seeds.get(seed) == name:
            self._seeds[seed] = ""
        self._out.append(api.Changed(entry, None, self.me.name))

    # Messages in

    def _heard(self, message: Message, now: float) -> None:
        sender = message.sender
        me = self.me
        if sender.name == me.name:
            if sender.life != me.life:
                self._heard_namesake(message, now)
            return
        if message.to_life != me.life:
            # First contact, or for the process that was here before: it learns who is, and says it again.
            if message.kind is Kind.PING:
                self._greet(sender, message.number, now)
            return
        held = self.members.get(sender.name)
        if held is not None and held.life != sender.life and order(sender) < order(held):
            # A new process that does not know what is said of the one before it, or an old one's late word.
            return self._greet(sender, message.number if message.kind is Kind.PING else 0, now, (held,))
        if held is None and not self._room_for(sender, now):
            return
        life, window = self._windows.get(sender.name, (0, None))
        if window is None or life != sender.life:
            window = Window()
            self._windows[sender.name] = sender.life, window
        if not window.take(message.serial):
            return
        was_lost = held is not None and not held.here
        self._merge(sender, sender.name, now)
        self._unproven.pop(sender.name, None)
        for entry in message.news:
            self._merge(entry, sender.name, now)
        if sender.status is Status.LEFT:
            return
        self._answer(message, now)
        if not self.joined or (was_lost and self.members[sender.name].here):
            self.joined = True
            self._sync_with([self.members[sender.name]], now)

    def _answer(self, message: Message, now: float) -> None:
        sender = message.sender
        match message.kind:
            case Kind.PING:
                self._send(Kind.ACK, sender, message.number)
            case Kind.ACK:
                self._acked(message.number, sender)
            case Kind.NACK:
                if (probe := self._probes.get(message.number)) is not None:
                    probe.nacks += 1
            case Kind.ASK:
                if message.target is not None and message.target.name != self.me.name:
                    self._relay(sender, message.number, message.target, now)
            case Kind.STATE:
                if self._answers.take(now):
                    whole = tuple(self.members.values())
                    self._out.append(api.Answer(self._message(Kind.WHOLE, sender.life, 0, None, whole)))
            case Kind.NEWS | Kind.WHOLE:
                pass

    # Words about others

    def _merge(self, entry: Entry, by: str, now: float) -> None:
        """Take a word about a node, if it counts for more than what is held."""
        if entry.name == self.me.name:
            return self._about_me(entry, by, now)
        held = self.members.get(entry.name)
        if held is None:
            # Those that are gone and were never known are not learned of: they would be handed on for ever.
            if entry.here and self._room_for(entry, now):
                self._set(entry, by, now)
            return
        if order(entry) <= order(held):
            same = (entry.incarnation, entry.life) == (held.incarnation, held.life)
            if same and entry.status is held.status is Status.SUSPECT:
                self._confirm(held, entry.by, now)
            return
        if entry.incarnation - held.incarnation > MAX_JUMP:
            text = (
                f"{by} says that {entry.name} is at incarnation {entry.incarnation}, from {held.incarnation}"
            )
            return self._say("jump", f"{text}: not believed", now)
        if entry.status is Status.LOST and held.status is Status.ALIVE:
            entry = replace(entry, status=Status.SUSPECT)
            if order(entry) <= order(held):
                return
        self._set(entry, by, now)

    def _room_for(self, entry: Entry, now: float) -> bool:
        """Whether one more may be known; one that is gone makes room."""
        if entry.name in self.members or len(self.members) + 1 < self._most:
            return True
        if self._gone_ms:
            self._remove(min(self._gone_ms, key=self._gone_ms.__getitem__))
            return True
        self._say(
            "full", f"{self._most} nodes are known, the most there may be: {entry.name} is left out", now
        )
        return False

    def _set(self, entry: Entry, by: str, now: float) -> None:
        """Hold this of a node from now on, and tell it."""
        name = entry.name
        before = self.members.get(name)
        self.members[name] = entry
        self.since[name] = now, by
        if before is None:
            self._insert(name)
            drawn = self._rng.random() * (1 + len(self._windows)) < PROVERS  # some of many, all of few
            if by != name and drawn and len(self._unproven) < MAX_UNPROVEN:
                self._unproven[name] = 0
        elif (before.host, before.port) != (entry.host, entry.port) and self._seeds.get(
            (before.host, before.port)
        ):
            self._seeds[before.host, before.port] = ""
        if (entry.host, entry.port) in self._seeds:
            self._seeds[entry.host, entry.port] = name
        self._here += entry.here - (before is not None and before.here)
        self._suspicions.pop(name, None)
        if entry.here:
            self._lost.pop(name, None)
            self._gone_ms.pop(name, None)
        else:
            self._gone(entry, now)
        if entry.status is Status.SUSPECT:
            self._begin_suspicion(entry, now)
        self._spread(entry, now)
        self._out.append(api.Changed(before, entry, by))
        if before is None or before.here != entry.here:
            self._out.append(api.Keep())

    def _insert(self, name: str) -> None:
        """A newcomer's place in the ring is a random one, as SWIM has it."""
        ring = self._ring
        ring.append(name)
        at = int(self._rng.random() * len(ring))
        ring[at], ring[-1] = ring[-1], ring[at]

    def _gone(self, entry: Entry, now: float) -> None:
        name = entry.name
        self._gone_ms.setdefault(name, now)
        self._unproven.pop(name, None)
        if entry.status is Status.LOST:
            self._lost[name] = None
        else:
            self._lost.pop(name, None)
        if name not in self._forgetting:
            self._forgetting.add(name)
            self._after(now, self.timing.forget_ms, "forget", name)

    def _suspect(self, entry: Entry, by: str, now: float) -> None:
        if entry.status is Status.ALIVE:
            self._set(replace(entry, status=Status.SUSPECT, by=by), by, now)
        else:
            self._confirm(entry, by, now)

    def _begin_suspicion(self, entry: Entry, now: float) -> None:
        least, most = bounds_ms(self.timing, self.size)
        wanted = self.timing.confirmations
        if self.size - 2 < wanted:
            wanted = 0  # too few that could confirm
        suspicion = Suspicion(now, least, most, wanted, {entry.by})
        self._suspicions[entry.name] = suspicion
        self._after(suspicion.ends_ms(), 0.0, "suspect", entry.name)

    def _confirm(self, entry: Entry, by: str, now: float) -> None:
        suspicion = self._suspicions.get(entry.name)
        if suspicion is not None and by and suspicion.confirm(by):
            self._after(suspicion.ends_ms(), 0.0, "suspect", entry.name)
            self._spread(replace(entry, by=by), now)

    def _time_up(self, name: str, now: float) -> None:
        suspicion = self._suspicions.get(name)
        entry = self.members.get(name)
        if suspicion is None or entry is None:
            return
        # Nothing rings again for this end: a tick may be early by one rounding, the end that `moved` summed
        # up late by less than another.
        if now + 2.0 * ROUNDING_MS >= suspicion.ends_ms():
            self._set(replace(entry, status=Status.LOST, by=self.me.name), self.me.name, now)

    # Words about this node

    @property
    def _aside(self) -> bool:
        return self._rival is not None

    def _about_me(self, entry: Entry, by: str, now: float) -> None:
        me = self.me
        if entry.incarnation - me.incarnation > MAX_JUMP:
            text = f"{by} says that this node is at incarnation {entry.incarnation}, from {me.incarnation}"
            return self._say("jump", f"{text}: not believed", now)
        if entry.life == me.life:
            if entry.incarnation < me.incarnation or (
                entry.status is Status.ALIVE and entry.incarnation == me.incarnation
            ):
                return
            self._worse(1)
            self._rise(entry.incarnation + 1, now)
            self._refute(by)
        elif order(entry) > order(me):
            if not entry.here or (entry.host, entry.port) == (me.host, me.port):
                # whoever it was is not there any more
                self._rival = None
                self.contested = False
                self._rise(entry.incarnation + 1, now)
                self._refute(by)
            elif self._rival is None or order(entry) > order(self._rival):
                begin = self._rival is None
                self._rival = entry
                if begin:
                    self._rival_heard = False
                    self._rival_tries = 0
                    self._after(now, 0.0, "rival")

    def _refute(self, by: str) -> None:
        """Tell the one that said it at once; the others hear it as they hear all."""
        teller = self.members.get(by)
        if teller is not None and teller.here and not self._aside:
            self._send(Kind.NEWS, teller)

    def _heard_namesake(self, message: Message, now: float) -> None:
        """Another process has this node's name."""
        if message.to_life != self.me.life:
            return
        if message.kind is Kind.PING:
            self._greet(message.sender, message.number, now)
        elif self._rival is not None and message.sender.life == self._rival.life:
            self._rival_heard = True
        self._about_me(message.sender, self.me.name, now)

    def _look_at_rival(self, now: float) -> None:
        """See whether the other one lives; only from one that does not answer is the name taken over."""
        rival = self._rival
        if rival is None:
            return
        if self._rival_heard:
            self._rival_heard = False
            self._rival_tries = 0
            if not self.contested:
                self.contested = True
                where = f"{rival.host}:{rival.port}"
                text = f"another living process at {where} is called {rival.name}; this one stays aside"
                self._out.append(api.Say(text, True))
        elif self._rival_tries >= RIVAL_TRIES:
            self._rival = None
            if self.contested:
                self._out.append(
                    api.Say(f"the other process called {rival.name} is gone; this one takes part")
                )
            self.contested = False
            self._rise(rival.incarnation + 1, now)
            return
        self._rival_tries += 1
        self._out.append(
            api.Datagram((rival.host, rival.port), self._message(Kind.PING, rival.life, 0, None, ()))
        )
        self._after(now, RIVAL_MS if self.contested else self.timing.timeout_ms, "rival")

    def _say(self, kind: str, text: str, now: float) -> None:
        if self._lines[kind].take(now):
            self._out.append(api.Say(text, True))


def here(fleet: Fleet) -> Iterator[Entry]:
    """The nodes that a node holds for here, itself first."""
    yield fleet.me
    yield from (entry for entry in fleet.members.values() if entry.here)
