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
from typing import Any

from mesh.control import shard_state, value_references
from mesh.control.actions import Action, Answer, Changed, Ended, Note, Tell, Write
from mesh.control.contact import LOST_CONTACT, OUT_OF_CONTACT
from mesh.control.group_changes import GroupView
from mesh.control.membership import Standing, epoch
from mesh.control.order_book import OrderBook
from mesh.control.order_history import Entry, Verdict
from mesh.control.peers import Peers
from mesh.control.reading import PEEK_S, READING_S, Reading
from mesh.control.state_teller import StateTeller
from mesh.control.value_references import ValueReferences
from mesh.storage.store import Put, pack
from nickelbridge.register import Acceptor, Done, Kept, Promise, Proposer, Save, Send, Value, Voter

TENURE_S = 1.0  # an owner's lease, from when it sent the beat that a majority acknowledged; under ALIVE_S
SETTLE_S = 0.8  # after its start a controller does not ask for duties
LEARN_S = 0.15  # what was accepted and isn't known to be decided is looked at after so long
RESEND_MS, BACK_OFF_MS = 300.0, 20.0  # of the register: a voter answers in a round trip and a sync
ADMIT_S, OWN_S = 1.9, 1.5
JOIN_S = 0.4


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
        self._references = ValueReferences()
        self.founder = kept.memory == shard_state.GENESIS
        self.seen = first  # the newest decided state that others were told of
        self.clean = True  # what it keeps is on disk as it is in memory
        self.abstains_s = peers.began_s  # since when it has granted nothing, if it has not caught up
        self.now = peers.began_s
        self._out: list[Action] = []
        self._mine: deque[Any] = deque()  # messages of the register to itself
        self._asked: dict[str, tuple[str, list[str], float]] = {}  # what it is for, who waits, until when
        self.orders = OrderBook(number)
        self._teller = StateTeller()
        self._count = 0
        self._readers: list[str] = []
        self._reads: dict[str, float] = {}  # readings that callers wait for: until when
        self._reading: Reading | None = None  # that voters are asked for
        self._busy_reading = False  # a reading or its round is out
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
        due = min([self.proposer.due_ms / 1000.0, *self._reads.values()])
        if self._reading is not None:
            due = min(due, self._reading.again_s, self._reading.until_s)
        if self._reads or any(what == "ask" for what, _, _ in self._asked.values()):
            due = min(due, self.peers.contact.until_s(self.known.voters, self.voter))
        return due

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller."""
        return self.peers.contact.holds(self.known.voters, self.voter, now)

    # Events

    def ask(self, id: str, change: shard_state.Change, for_s: float, now: float) -> list[Action]:
        """Have the state changed; it is `Ended` once, with no value if nothing is known in time, or contact
        with a majority is lost before. Out of contact nothing is begun.
        """
        self.now = now
        if not self.in_contact(now):
            self._out.append(Ended(id, None, OUT_OF_CONTACT))
        elif isinstance(change, shard_state.Put):
            self._order(id, change, for_s)
        else:
            self._ask(f"ask {id}", change, for_s, "ask", [id])
        return self._flush()

    def read(self, id: str, now: float) -> list[Action]:
        """The newest state for sure, within `READING_S`; those that ask while a reading is out share the
        next one.
        """
        self.now = now
        if self.in_contact(now):
            self._reads[id] = now + READING_S
            self._read(id)
        else:
            self._out.append(Ended(id, None, OUT_OF_CONTACT))
        return self._flush()

    def pulse(self, name: str, sent_s: float, fence: int) -> None:
        """A controller has acknowledged the beat that was sent then, and has voted for no fence above
        this.
        """
        self.peers.contact.hear(name, sent_s)
        if fence <= self.body.fence:
            self._pulsed[name] = max(sent_s, self._pulsed.get(name, float("-inf")))

    def catch(self, version: int, name: str) -> list[Action]:
        """Another controller's beat says what it knows: where that is more, one is asked for all of it."""
        if version > self.known.version:
            others = [n for n in self._others() if n != name and self.peers.alive(n, self.now)]
            if self._teller.asks(name, others, self.now):
                self._say(name, "know?", self.known.version)
        return self._flush()

    def _pass_time(self, now: float) -> bool:
        """Do what is due; whether it is also time for what is done now and then."""
        self.now = now
        if not self.in_contact(now):
            self._end_calls()
        for id, (_, _, until) in list(self._asked.items()):
            if until <= now:
                self._end(id, None, "")
        self._act(self.proposer.tick(now * 1000.0))
        self._pass_reading_time()
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
        self._mind_orders()
        self._settle()
        self._mind_owner()
        return True

    def _take(self, who: Any, message: list[Any]) -> None:
        """A message between replicas; `ValueError` and its like for a bad one."""
        match message:
            case ["reg", sender, packed]:
                self._heard_register(sender, packed, who)
            case ["know", packed]:
                value = shard_state.unpack_value(packed)
                if value is not None:
                    self._learn(value)
            case ["decided", ballot, version]:
                self._decided(who, tuple(ballot), version)
            case ["know?", version]:
                if version < self.known.version:
                    self._reply(who, "know", shard_state.pack_value(self.known))
            case ["peek", number, has]:
                self._tell_peek(who, number, tuple(has))
            case ["peeked", number, [name, memory], accepted, packed]:
                seen = shard_state.Seen(
                    Voter(name, memory), tuple(accepted), shard_state.unpack_value(packed)
                )
                if self._reading is not None and self._reading.number == number:
                    self._peeked(self._reading, seen)
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
                self.orders.history.saved(orders)
                for reply in replies:
                    self._vote_out(who, reply)
            case ("orders", orders) if ok:
                self.orders.history.saved(orders)
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
        return shard_state.ALIVE if alive and not self._group().leaves(name) else ""

    def _heard_register(self, sender: str, packed: list[Any], who: Any) -> None:
        """A message of the register as another replica sent it; one that can't be resolved is lost."""
        kept = self.acceptor.kept
        message = value_references.unpack(packed, kept)
        if message is None:
            refused = value_references.refusal(packed, self.voter, kept)
            return self._vote_out(who, refused) if refused is not None and self.clean else None
        if isinstance(message, Promise):
            message = self._references.resolve(sender, message)
        if message is not None:
            self._register(sender, message, who)

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
        orders, puts = self.orders.puts()
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
                    packed = self._references.pack(action.to, action.message, self.acceptor.kept)
                    self._say(action.to, "reg", self.name, packed)
            elif isinstance(action, Done):
                if action.value.version > self.seen.version:  # before anybody is answered
                    self._tell_decided(action.value)
                self._learn(action.value)
                self._end(action.id, action.value, action.why)

    def _tell_decided(self, value: Value) -> None:
        """Tell the others of a state: by its ballot, where they were asked to accept it."""
        kept, whole = self.acceptor.kept, None
        for name in self._others():
            if kept.value == value and self._references.knows_ballot(name, kept.accepted):
                self._say(name, "decided", list(kept.accepted), value.version)
            else:
                whole = whole or shard_state.pack_value(value)
                self._say(name, "know", whole)

    def _decided(self, who: Any, ballot: Any, version: int) -> None:
        """The state of a ballot was decided; whoever has not accepted that asks for it."""
        kept = self.acceptor.kept
        if version <= self.known.version:
            return
        if ballot == kept.accepted and kept.value is not None:
            self._learn(kept.value)
        else:
            self._reply(who, "know?", self.known.version)

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
        self.orders.waiting.pop(id, None)
        if asked is not None:
            self._over(asked[0], asked[1], value, why)

    def _over(self, what: str, waiting: list[str], value: Value | None, why: str) -> None:
        if what == "ask":
            self._out += [self._ended(id, value, why) for id in waiting]
        if what == "read":
            for id in waiting:
                if self._reads.pop(id, None) is not None:
                    self._out.append(self._ended(id, value, why))
            self._next_read()

    def _ended(self, id: str, value: Value | None, why: str) -> Ended:
        """Without contact nothing is confirmed, though it may be known: its caller was owed its word
        before.
        """
        return Ended(id, value, why) if self.in_contact(self.now) else Ended(id, None, LOST_CONTACT)

    def _end_calls(self) -> None:
        """Contact is lost: callers are told at once, and what only they wait for is not gone on with."""
        for id, (what, waiting, _) in list(self._asked.items()):
            if what == "ask" or (what == "read" and "" not in waiting):
                del self._asked[id]
                self.orders.waiting.pop(id, None)
                self.proposer.withdraw(id)
                self._busy_reading = self._busy_reading and what != "read"
                if what == "ask":
                    self._out += [Ended(one, None, LOST_CONTACT) for one in waiting]
        self._out += [Ended(id, None, LOST_CONTACT) for id in self._reads]
        self._reads.clear()
        if self._reading is not None and "" not in self._reading.readers:
            self._reading, self._busy_reading = None, False
        self._readers = [id for id in self._readers if not id]
        if self._readers and not self._busy_reading:
            self._next_read()

    # Readings

    def _read(self, id: str) -> None:
        """`id` is of a caller, or "" to learn what was decided."""
        self._readers.append(id)
        if not self._busy_reading:
            self._next_read()

    def _next_read(self) -> None:
        """Look at what the voters have accepted; where that settles nothing, run a round."""
        readers, self._readers = self._readers, []
        self._reading, self._busy_reading = None, bool(readers)
        if readers:
            self._count += 1
            self._reading = Reading(
                self._count, self.acceptor.kept, readers, self.now + READING_S, self.now + PEEK_S
            )
            self._peek(self._reading)

    def _peek(self, reading: Reading) -> None:
        for name in self._others():
            self._say(name, "peek", reading.number, list(reading.kept.accepted))
        if self.clean:
            kept = self.acceptor.kept
            value = None if kept.accepted == reading.kept.accepted else kept.value
            self._peeked(reading, shard_state.Seen(self.voter, kept.accepted, value))

    def _tell_peek(self, who: Any, number: int, has: Any) -> None:
        kept = self.acceptor.kept
        if self.clean:
            value = None if has == kept.accepted else shard_state.pack_value(kept.value)
            self._reply(who, "peeked", number, [self.name, kept.memory], list(kept.accepted), value)

    def _peeked(self, reading: Reading, seen: shard_state.Seen) -> None:
        reading.hear(seen)
        value = reading.found(self.known if self.founder and not self.known.version else None)
        if value is not None:
            self._learn(value)
            self._over("read", reading.readers, self.known, "")

    def _pass_reading_time(self) -> None:
        """Ask voters again, or run a round; give up on what waited too long."""
        now, reading = self.now, self._reading
        for id in [id for id, until in self._reads.items() if until <= now]:
            del self._reads[id]
            self._out.append(Ended(id, None, ""))
        if reading is None:
            return
        if reading.until_s <= now:
            self._over("read", reading.readers, None, "")
        elif reading.again_s <= now and reading.enough(self.known.voters):
            self._reading = None
            id, for_s = f"read {reading.number}", reading.until_s - now
            self._ask(id, shard_state.read, for_s, "read", reading.readers)
        elif reading.again_s <= now:
            reading.again_s = now + PEEK_S
            self._peek(reading)

    def _learn(self, value: Value) -> None:
        """A state that was decided."""
        self.proposer.learn(value)
        old, value = self.seen, self.known
        if value.version > old.version:
            self.seen = value
            self._teller.answered()
            before, after = shard_state.body(old), shard_state.body(value)
            self.orders.learn(after)
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
        self.orders.history.load(rows)

    def _order(self, id: str, order: shard_state.Put, for_s: float) -> None:
        """An order. What is known of it for ever is told at once; copies of it share one proposal."""
        verdict = self.orders.verdict(order, self.body)
        if self.known.version and (verdict.final or verdict is Verdict.UNKNOWN):
            self._out.append(Ended(id, self.known, shard_state.WHY_NOT.get(verdict, "")))
            return
        name = self.orders.name(order)
        if name in self._asked:
            self._asked[name][1].append(id)
            return
        self.orders.waiting[name] = order
        self._ask(name, order, for_s, "ask", [id])

    def _end_orders(self) -> None:
        """Answer the orders of which a newly learned state says for ever what became of them."""
        for name, why in self.orders.settled(self.body):
            self.proposer.withdraw(name)
            self._end(name, self.known, why)

    def _mind_orders(self) -> None:
        """Ask another replica for orders older than it knows."""
        name = self.orders.to_ask([n for n in self._others() if self.peers.alive(n, self.now)], self.now)
        if name is not None:
            self._say(name, "orders?", *self.orders.oldest())

    def _tell_orders(self, who: Any, floor: int, digest: bytes) -> None:
        page = self.orders.page(floor, digest)
        if page is not None:
            self._reply(who, "orders", *page)

    def _take_orders(self, who: Any, rows: list[Any], complete: bool) -> None:
        if self.orders.take_page(rows, complete):
            numbers, puts = self.orders.puts()
            self._write(puts, ("orders", numbers))
            if not self.orders.history.whole:
                self._reply(who, "orders?", *self.orders.oldest())

    # The group

    def _join(self) -> None:
        """Ask for a place, where this controller has none."""
        if self.voter in self.known.voters or (self.peers.stopping and not self.standing.caught_up):
            return
        if self.standing.caught_up:  # it missed what was granted without it, and must not say otherwise
            if self.standing.put_out(self.voter, self.known, self.acceptor.kept.value):
                self._write([self._about("caught", None)], ("out",))
            return
        if self._group().wanted() and not self.ready:
            return
        for name in self._others():
            self._say(name, "join", self.name, self.voter.memory, epoch(self.known), self.ready)

    def _group(self) -> GroupView:
        """The group as this controller sees it now."""
        return GroupView(
            self.number, self.name, self.size, self.known, self.peers, self.standing.caught_up, self.now
        )

    def _admit(self, joiner: Voter, under: int, ready: bool) -> None:
        """Another controller asks for a place in the group; `under`: the last epoch that it knows."""
        if self.voter not in self.known.voters:
            return
        if any(what == "admit" for what, _, _ in self._asked.values()):
            return
        group = self._group()
        instead = group.place_for(joiner, under, ready)
        if instead is None:
            return
        since_s = self._joiners.setdefault(joiner, self.now)
        if not group.is_turn(self._joiners, since_s):
            return
        whose = f", instead of {instead}" if instead else ""
        self._out.append(Note(f"{joiner.name} asks for a place{whose}"))
        intent = ["replace", instead] if instead and instead != joiner.name else None
        change = shard_state.Admit(joiner, instead, max(self.size, len(group.names)), under)
        self._ask(f"admit {joiner.name} {joiner.memory} {under}", change, ADMIT_S, "admit", [], intent)

    def _settle(self) -> None:
        """Have a change of voters done with: who starts anew has forgotten that it was decided, and needs the
        voters before it too, of whom another may have lost its disk by then."""
        if not self.known.former or self.voter not in self.known.voters or not self.standing.caught_up:
            return
        if self._group().able(self._joiners)[0] == self.name:
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
