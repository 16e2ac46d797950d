"""One controller's replica in the group of a shard: its vote, the readings and changes that it runs, its
place in the group, and the duties of the shard. Pure: events in, actions out, in the order in which they
are to be done; clock and chance are handed in, and all that it holds can be copied.

The owner of a shard does its duties while a majority has lately acknowledged its beats without having voted
for a later fence. Each change of owner or voters brings one, so what the last owner was acknowledged came
before that was decided; a new one waits for `TENURE_S` after it has learned of its place.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from mesh.control import shard_state
from mesh.control.membership import Standing, epoch
from mesh.control.order_history import Entry, OrderHistory, Verdict
from mesh.control.order_records import record
from mesh.storage.store import Put, pack
from nickelbridge.register import Acceptor, Done, Kept, Proposer, Save, Send, Value, Voter

ALIVE_S = 1.5  # a controller that was heard within this is alive
DEAD_S = 2.5  # one that was not is dead, as far as this one knows
TENURE_S = 1.0  # an owner's lease, from when it sent the beat that a majority acknowledged; under ALIVE_S
SETTLE_S = 0.8  # after its start a controller does not ask for duties
PEEK_S = 0.1  # for voters to say what they have accepted, before they are asked again or a round is run
PEEKS = 20
LEARN_S = 0.15  # what was accepted and isn't known to be decided is looked at after so long
RESEND_MS, BACK_OFF_MS = 300.0, 20.0  # of the register: a voter answers in a round trip and a sync
READ_S, ADMIT_S, OWN_S = 3.0, 1.9, 1.5
JOIN_S = 0.4
STAGGER_S = 0.5  # a voter acts on a newcomer's asking so much later for each that comes before it
ORDERS_PAGE = 256  # orders in one message, or one write
ORDERS_AGAIN_S = 5.0  # a replica that had none to tell is asked again after so long


@dataclass(frozen=True, slots=True)
class Tell:
    """To another controller; lost if there is no link to it."""

    to: str
    message: list[Any]


@dataclass(frozen=True, slots=True)
class Answer:
    """To whoever sent what this answers."""

    to: Any
    message: list[Any]


@dataclass(frozen=True, slots=True)
class Write:
    """Put these on disk, together; `written` wants `then` back with what came of it, unless it is None."""

    puts: list[Put]
    then: tuple[Any, ...] | None = None


@dataclass(frozen=True, slots=True)
class Changed:
    """A newer state is known to be decided."""

    old: Value
    new: Value


@dataclass(frozen=True, slots=True)
class Ended:
    """A change or a reading that was asked for here is over; `value` None: nothing is known in time."""

    id: str
    value: Value | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Tell | Answer | Write | Changed | Ended | Note


@dataclass(slots=True)
class _Peek:
    """What voters say that they have accepted."""

    kept: Kept
    readers: list[str]
    until_s: float
    again: int
    seen: list[shard_state.Seen] = field(default_factory=list)


@dataclass(slots=True)
class Peers:
    """What a controller knows of the others, the same for all shard_state."""

    began_s: float
    heard_s: dict[str, float] = field(default_factory=dict)
    unfit: set[str] = field(default_factory=set)  # that can't do duties, by their own word
    fit: bool = True  # whether this one can: its disk keeps up, it is not stopping
    leaving: set[str] = field(default_factory=set)  # that were told to end, by their own word
    stopping: bool = False  # whether this one was
    learning: dict[str, tuple[int, ...]] = field(default_factory=dict)  # shards that each has yet to learn

    def alive(self, name: str, now: float, within_s: float = ALIVE_S) -> bool:
        """Whether a controller was heard within the time."""
        return now - self.heard_s.get(name, float("-inf")) < within_s

    def dead(self, name: str, now: float) -> bool:
        """Whether it has been silent for long; one that was never heard, since the start."""
        return now - self.heard_s.get(name, self.began_s) > DEAD_S


class Replica:
    """One controller in the group of one shard."""

    def __init__(
        self, number: int, name: str, first: Value, kept: Kept, caught_up: bool, peers: Peers,
        rng: random.Random, size: int,
    ) -> None:  # fmt: skip
        """`first`: the state that all founders begin with; `size`: voters that the group should have."""
        self.number, self.name, self.peers, self.rng = number, name, peers, rng
        self.size = size
        self.standing = Standing(caught_up)
        self.acceptor = Acceptor(name, kept, self._object_to)
        # A life's ballots are its own: what an earlier one began and forgot may still be on its way.
        self.life = f"{name} {rng.randrange(2**53):x}"
        self.proposer = Proposer(self.life, first, rng, RESEND_MS, BACK_OFF_MS)
        self.founder = kept.memory == shard_state.GENESIS
        self.seen = first  # the newest decided state that others were told of
        self.clean = True  # what it keeps is on disk as it is in memory
        self.abstains_s = peers.began_s  # since when it has granted nothing, if it has not caught up
        self.now = peers.began_s
        self._out: list[Action] = []
        self._mine: deque[Any] = deque()  # messages of the register to itself
        self._asked: dict[str, tuple[str, list[str], float]] = {}  # what it is for, who waits, until when
        self.history = OrderHistory()
        self._orders: dict[str, shard_state.Put] = {}  # that wait for their outcome, as `_asked` names them
        self._orders_asked_s: dict[str, float] = {}  # when a replica was asked for older orders
        self._count = 0
        self._readers: list[str] = []
        self._peeks: dict[int, _Peek] = {}
        self._reading = False
        self._owner_from_s = float("-inf")  # before that the last owner may still do the duties
        self._pulsed: dict[
            str, float
        ] = {}  # controllers that acknowledged this owner: when the beat was sent
        self._accepted_s = 0.0  # since when something accepted is not known to be decided
        self._join_s = 0.0
        self._joiners: dict[Voter, float] = {}  # since when each asks for a place in this epoch

    # What it is

    @property
    def voter(self) -> Voter:
        """Who it votes as."""
        return self.acceptor.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.proposer.known

    @property
    def body(self) -> shard_state.Body:
        """What is in that."""
        return shard_state.body(self.known)

    @property
    def accepted_fence(self) -> int:
        """The highest fence that it has voted for."""
        value = self.acceptor.kept.value
        return max(self.body.fence, shard_state.body(value).fence if value is not None else 0)

    def grants(self, under: int) -> bool:
        """Whether this controller may grant keys under an epoch."""
        return self.standing.grants(under, self.voter, self.known, self.acceptor.kept.value)

    def owns(self, now: float) -> int | None:
        """The fence under which this controller does the duties of the shard now; None if it doesn't."""
        own = self.body
        if own.owner != self.name or self.accepted_fence != own.fence or self.voter not in self.known.voters:
            return None
        if now < self._owner_from_s:
            return None
        heard = sum(now - self._pulsed.get(v.name, float("-inf")) < TENURE_S for v in self.known.voters)
        return own.fence if 2 * (heard + 1) > len(self.known.voters) and self.peers.fit else None

    @property
    def due_s(self) -> float:
        """When `tick` is wanted before its turn; infinite for never."""
        peeks = min((peek.until_s for peek in self._peeks.values()), default=float("inf"))
        return min(self.proposer.due_ms / 1000.0, peeks)

    # Events

    def ask(self, id: str, change: shard_state.Change, for_s: float, now: float) -> list[Action]:
        """Have the state changed; it is `Ended` once, with no value if nothing is known in time."""
        self.now = now
        if isinstance(change, shard_state.Put):
            self._order(id, change, for_s)
        else:
            self._ask(f"ask {id}", change, for_s, "ask", [id])
        return self._flush()

    def read(self, id: str, now: float) -> list[Action]:
        """The newest state for sure; those that ask while a reading is out share the next one."""
        self.now = now
        self._read(id)
        return self._flush()

    def pulse(self, name: str, sent_s: float, fence: int) -> None:
        """A controller has acknowledged the beat that was sent then, and has voted for no fence above
        this.
        """
        if fence <= self.body.fence:
            self._pulsed[name] = max(sent_s, self._pulsed.get(name, float("-inf")))

    def catch(self, version: int, name: str) -> list[Action]:
        """Another controller's beat says what it knows: it is told what it has missed."""
        if version < self.known.version:
            self._say(name, "know", shard_state.pack_value(self.known))
        return self._flush()

    def _pass_time(self, now: float) -> bool:
        """Do what is due; whether it is also time for what is done now and then."""
        self.now = now
        for id, (_, _, until) in list(self._asked.items()):
            if until <= now:
                self._end(id, None, "")
        self._act(self.proposer.tick(now * 1000.0))
        for number in [n for n, peek in self._peeks.items() if peek.until_s <= now]:
            self._peek_over(self._peeks.pop(number))
        value = self.acceptor.kept.value
        if value is None or value.version <= self.known.version:
            self._accepted_s = 0.0
        elif not self._accepted_s:
            self._accepted_s = now
        elif now - self._accepted_s > LEARN_S * (1.0 + self.rng.random()):
            self._accepted_s = now
            self._read("")
        if now < self._join_s:
            return False
        self._join_s = now + JOIN_S
        self._join()
        self._mind_history()
        self._settle()
        self._mind_owner()
        return True

    def _take(self, who: Any, message: list[Any]) -> None:
        """A message between replicas; `ValueError` and its like for a bad one."""
        match message:
            case ["reg", sender, packed]:
                self._register(sender, shard_state.unpack_message(packed), who)
            case ["know", packed]:
                value = shard_state.unpack_value(packed)
                if value is not None:
                    self._learn(value)
            case ["peek", number, has]:
                self._tell_peek(who, number, tuple(has))
            case ["peeked", number, [name, memory], accepted, packed]:
                seen = shard_state.Seen(
                    Voter(name, memory), tuple(accepted), shard_state.unpack_value(packed)
                )
                self._peeked(number, seen)
            case ["orders?", floor, digest]:
                self._tell_orders(who, floor, digest)
            case ["orders", rows, complete]:
                self._take_orders(who, rows, complete)
            case ["join", name, memory, under, ready]:
                self._admit(Voter(name, memory), under, ready)
            case _:
                raise ValueError(f"no message of a shard: {message[0]!r:.40}")

    def _kept(self, then: tuple[Any, ...], ok: bool) -> None:
        """What came of a write of the replica's own."""
        match then:
            case ("voted", who, kept, replies, orders) if ok:
                self.clean = self.clean or kept is self.acceptor.kept
                self.history.saved(orders)
                for reply in replies:
                    self._vote_out(who, reply)
            case ("orders", orders) if ok:
                self.history.saved(orders)
            case ("out",) if ok:
                self.standing, self.abstains_s = Standing(False), self.now
                self._out.append(Note("put out of the group"))

    @property
    def ready(self) -> bool:
        """Whether it holds what a newcomer can be told before it has a place."""
        return True

    def _regrouped(self, value: Value) -> None:
        """The shard has another group."""
        self._joiners.clear()

    # Out

    def _flush(self) -> list[Action]:
        while self._mine:
            self._register(self.name, self._mine.popleft(), None)
        out, self._out = self._out, []
        return out

    def _say(self, to: str, *message: Any) -> None:
        self._out.append(Tell(to, ["part", self.number, *message]))

    def _reply(self, who: Any, *message: Any) -> None:
        self._out.append(Answer(who, ["part", self.number, *message]))

    def _write(self, puts: list[Put], then: tuple[Any, ...] | None = None) -> None:
        self._out.append(Write(puts, then))

    def _about(self, name: str, value: bytes | None) -> Put:
        return "about", f"{name}/{self.number}".encode(), value

    # The register

    def _object_to(self, intent: Any) -> str:
        """Nobody who is alive as far as this controller sees is put out of the group, unless it says that it
        leaves, or out of its duties.
        """
        if not isinstance(intent, list) or len(intent) != 2:
            return ""
        what, name = intent
        alive = self.peers.alive(name, self.now) if name != self.name else True
        if what == "own":
            fit = self.peers.fit if name == self.name else name not in self.peers.unfit
            return shard_state.ALIVE if alive and fit else ""
        return shard_state.ALIVE if alive and not self._leaves(name) else ""

    def _register(self, sender: str, message: Any, who: Any) -> None:
        """A message of the register, from another replica or from this one (`who` None)."""
        if hasattr(message, "promised"):
            self._act(self.proposer.handle(message, self.now * 1000.0))
        else:
            self._vote(sender, message, who)

    def _vote(self, sender: str, message: Any, who: Any) -> None:
        replies, save = [], not self.clean
        for action in self.acceptor.handle(message, sender):
            if isinstance(action, Save):
                save = True
            elif isinstance(action, Send):
                replies.append(action.message)
        if not save:
            for answer in replies:
                self._vote_out(who, answer)
            return
        self.clean = False
        kept = self.acceptor.kept
        orders, puts = self._order_puts()
        puts.append(self._about("kept", pack(shard_state.pack_kept(kept))))
        self._write(puts, ("voted", who, kept, replies, orders))

    def _vote_out(self, who: Any, reply: Any) -> None:
        if who is None:
            self._mine.append(reply)
        else:
            self._reply(who, "reg", self.name, shard_state.pack_message(reply))

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if action.to == self.name:
                    self._mine.append(action.message)
                else:
                    self._say(action.to, "reg", self.name, shard_state.pack_message(action.message))
            elif isinstance(action, Done):
                if action.value.version > self.seen.version:  # before anybody is answered
                    for name in self._others():
                        self._say(name, "know", shard_state.pack_value(action.value))
                self._learn(action.value)
                self._end(action.id, action.value, action.why)

    def _others(self) -> list[str]:
        """The other controllers that have to do with this shard."""
        names = dict.fromkeys([v.name for v in (*self.known.voters, *self.known.former)])
        return [*(n for n in (names | dict.fromkeys(self.peers.heard_s)) if n != self.name)]

    def _ask(
        self,
        id: str,
        change: shard_state.Change,
        for_s: float,
        what: str,
        waiting: list[str],
        intent: Any = None,
    ) -> None:
        if not self.founder and not self.known.version:  # it knows of no group yet
            return self._over(what, waiting, None, "")
        if id not in self._asked:
            self._asked[id] = (what, waiting, self.now + for_s + 0.05)
            self._act(self.proposer.ask(id, change, self.now * 1000.0, for_s * 1000.0, intent))

    def _end(self, id: str, value: Value | None, why: str) -> None:
        asked = self._asked.pop(id, None)
        self._orders.pop(id, None)
        if asked is not None:
            self._over(asked[0], asked[1], value, why)

    def _over(self, what: str, waiting: list[str], value: Value | None, why: str) -> None:
        if what in ("ask", "read"):
            self._out += [Ended(id, value, why) for id in waiting if id]
        if what == "read":
            self._next_read()

    def _read(self, id: str) -> None:
        self._readers.append(id)
        if not self._reading:
            self._next_read()

    def _next_read(self) -> None:
        waiting, self._readers = self._readers, []
        self._reading = bool(waiting)
        if waiting:
            self._peek(waiting, PEEKS)

    def _peek(self, readers: list[str], again: int) -> None:
        """Look at what the voters have accepted; where that settles nothing, run a round."""
        self._count += 1
        number, kept = self._count, self.acceptor.kept
        self._peeks[number] = _Peek(kept, readers, self.now + PEEK_S, again)
        for name in self._others():
            self._say(name, "peek", number, list(kept.accepted))
        if self.clean:
            self._peeked(number, shard_state.Seen(self.voter, kept.accepted, None))

    def _tell_peek(self, who: Any, number: int, has: Any) -> None:
        kept = self.acceptor.kept
        if self.clean:
            value = None if has == kept.accepted else shard_state.pack_value(kept.value)
            self._reply(who, "peeked", number, [self.name, kept.memory], list(kept.accepted), value)

    def _peeked(self, number: int, seen: shard_state.Seen) -> None:
        peek = self._peeks.get(number)
        if peek is None:
            return
        peek.seen.append(seen)
        first = self.known if self.founder and not self.known.version else None
        value = shard_state.stands(peek.seen, peek.kept.value, peek.kept.accepted, first)
        if value is not None:
            del self._peeks[number]
            self._learn(value)
            self._over("read", peek.readers, self.known, "")

    def _peek_over(self, peek: _Peek) -> None:
        if 2 * len(peek.seen) > len(self.known.voters):  # enough have answered, and differ
            self._count += 1
            self._ask(f"read {self._count}", shard_state.read, READ_S, "read", peek.readers)
        elif peek.again:
            self._peek(peek.readers, peek.again - 1)
        else:
            self._over("read", peek.readers, None, "")

    def _learn(self, value: Value) -> None:
        """A state that was decided."""
        self.proposer.learn(value)
        old, value = self.seen, self.known
        if value.version > old.version:
            self.seen = value
            before, after = shard_state.body(old), shard_state.body(value)
            self.history.merge(after.taken, shard_state.lists_all(after))
            if after.fence != before.fence:
                self._pulsed.clear()
                if after.fence != before.fence + 1 or before.owner not in ("", after.owner):
                    self._owner_from_s = self.now + TENURE_S
            if epoch(value) != epoch(old):
                self._regrouped(value)
                self._join_s = self.now  # to be settled before the next loss
            self._out.append(Changed(old, value))
            self._end_orders()

    # Orders

    def load_orders(self, rows: list[tuple[int, Entry]]) -> None:
        """Orders from its own disk, before anything else."""
        self.history.load(rows)

    def _order(self, id: str, order: shard_state.Put, for_s: float) -> None:
        """An order. What is known of it for ever is told at once; copies of it share one proposal."""
        verdict = self._verdict(order)
        if self.known.version and (verdict.final or verdict is Verdict.UNKNOWN):
            self._out.append(Ended(id, self.known, shard_state.WHY_NOT.get(verdict, "")))
            return
        name = f"order {order.revision} {order.on} {order.digest.hex()}"
        if name in self._asked:
            self._asked[name][1].append(id)
            return
        self._orders[name] = order
        self._ask(name, order, for_s, "ask", [id])

    def _verdict(self, order: shard_state.Put) -> Verdict:
        return order.verdict(self.history, self.body.revision)

    def _end_orders(self) -> None:
        """Answer the orders of which a newly learned state says for ever what became of them."""
        for name, order in list(self._orders.items()):
            verdict = self._verdict(order)
            if verdict.final:
                self.proposer.withdraw(name)
                self._end(name, self.known, shard_state.WHY_NOT.get(verdict, ""))

    def _order_puts(self) -> tuple[list[int], list[Put]]:
        """The newest orders that are not on disk, with what puts them there."""
        history = self.history
        numbers = sorted(history.unsaved)[-ORDERS_PAGE:]
        puts = [record(self.number, number, history.entries[number]) for number in numbers]
        outdated, history.outdated = history.outdated[:ORDERS_PAGE], history.outdated[ORDERS_PAGE:]
        puts += [record(self.number, number, None) for number in outdated if number not in history.entries]
        return numbers, puts

    def _mind_history(self) -> None:
        """Ask another replica for orders older than it knows."""
        if self.history.whole:
            return
        for name in self._others():
            since_s = self.now - self._orders_asked_s.get(name, float("-inf"))
            if since_s > ORDERS_AGAIN_S and self.peers.alive(name, self.now):
                self._orders_asked_s[name] = self.now
                self._say(name, "orders?", *self._oldest_order())
                return

    def _oldest_order(self) -> tuple[int, bytes]:
        floor = self.history.floor
        return floor, self.history.entries[floor].digest

    def _tell_orders(self, who: Any, floor: int, digest: bytes) -> None:
        found = self.history.before(floor, digest, ORDERS_PAGE)
        if found is not None:
            rows, complete = found
            self._reply(who, "orders", [list(row) for row in rows], complete)

    def _take_orders(self, who: Any, rows: list[Any], complete: bool) -> None:
        floor = self.history.floor
        self.history.prepend(tuple((number, digest) for number, digest in rows), complete)
        if self.history.floor == floor:
            return
        orders, puts = self._order_puts()
        self._write(puts, ("orders", orders))
        if not self.history.whole:
            self._reply(who, "orders?", *self._oldest_order())

    # The group

    def _join(self) -> None:
        """Ask for a place, where this controller has none."""
        if self.voter in self.known.voters or (self.peers.stopping and not self.standing.caught_up):
            return
        if self.standing.caught_up:  # it missed what was granted without it, and must not say otherwise
            if self.standing.put_out(self.voter, self.known, self.acceptor.kept.value):
                self._write([self._about("caught", None)], ("out",))
            return
        if self._wanted() and not self.ready:
            return
        for name in self._others():
            self._say(name, "join", self.name, self.voter.memory, epoch(self.known), self.ready)

    def _leaves(self, name: str) -> bool:
        return self.peers.stopping if name == self.name else name in self.peers.leaving

    def _vacant(self) -> str:
        """The voter in whose place another may come, the dead before those that leave; "" for none."""
        names = [v.name for v in self.known.voters]
        dead = [n for n in names if n != self.name and self.peers.dead(n, self.now)]
        return next(iter(dead + [n for n in names if self._leaves(n)]), "")

    def _wanted(self) -> bool:
        """Whether this controller, which has no place, should get ready for one of another's."""
        names = [v.name for v in self.known.voters]
        if self.name in names or self.peers.stopping:
            return False
        return len(names) < self.size or bool(self._vacant())

    def _admit(self, joiner: Voter, under: int, ready: bool) -> None:
        """Another controller asks for a place in the group; `under`: the last epoch that it knows."""
        if self.voter not in self.known.voters or joiner in self.known.voters or under != epoch(self.known):
            return
        if any(what == "admit" for what, _, _ in self._asked.values()):
            return
        names = [v.name for v in self.known.voters]
        # Its own older memory can't vote, so it makes way at once; others only for one that has learned.
        instead = joiner.name if joiner.name in names else self._vacant()
        if (instead != joiner.name and not ready) or (not instead and len(names) >= self.size):
            return
        if not self._my_turn(joiner):
            return
        whose = f", instead of {instead}" if instead else ""
        self._out.append(Note(f"{joiner.name} asks for a place{whose}"))
        intent = ["replace", instead] if instead and instead != joiner.name else None
        change = shard_state.Admit(joiner, instead, max(self.size, len(names)), under)
        self._ask(f"admit {joiner.name} {joiner.memory} {under}", change, ADMIT_S, "admit", [], intent)

    def _my_turn(self, joiner: Voter) -> bool:
        """The first of the voters that can acts on a newcomer at once, the others if that does not help."""
        since = self._joiners.setdefault(joiner, self.now)
        able = self._able()
        place = able.index(self.name) if self.name in able else len(able)
        return self.now - since >= place * STAGGER_S - 1e-6

    def _able(self) -> list[str]:
        """The voters that can look after the group, in their order: they live, remember and have learned."""
        forgot = {voter.name for voter in self._joiners}
        able = [
            v.name for v in self.known.voters
            if v.name not in forgot and v.name != self.name and self.peers.alive(v.name, self.now)
            and self.number not in self.peers.learning.get(v.name, ())
        ]  # fmt: skip
        return shard_state.ranked(self.number, able + [self.name] * self.standing.caught_up)

    def _settle(self) -> None:
        """Have a change of voters done with: who starts anew has forgotten that it was decided, and needs the
        voters before it too, of whom another may have lost its disk by then."""
        if not self.known.former or self.voter not in self.known.voters or not self.standing.caught_up:
            return
        if self._able()[0] == self.name:
            self._ask(f"settle {self.known.version}", shard_state.settle, OWN_S, "settle", [])

    # Duties

    def _mind_owner(self) -> None:
        """Take the duties of the shard where their owner is gone or can't do them, if this one comes
        first.
        """
        now, names = self.now, [v.name for v in self.known.voters]
        if self.voter not in self.known.voters or now - self.peers.began_s < SETTLE_S:
            return
        if not self.standing.caught_up or any(what == "own" for what, _, _ in self._asked.values()):
            return
        alive = {n for n in names if n != self.name and self.peers.alive(n, now)} | {self.name}
        fit = {n for n in alive if n not in self.peers.unfit and (n != self.name or self.peers.fit)}
        if 2 * len(alive) <= len(names) or self.body.owner in fit or not fit:
            return
        owner = self.body.owner
        if owner in names and owner not in alive and not self.peers.dead(owner, now):
            return
        if shard_state.ranked(self.number, sorted(fit))[0] == self.name:
            intent = ["own", owner] if owner and owner != self.name else None
            self._ask(
                f"own {self.body.fence}",
                shard_state.Own(self.name, self.body.fence),
                OWN_S,
                "own",
                [],
                intent,
            )
