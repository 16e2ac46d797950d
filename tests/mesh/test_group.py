"""The group of keepers in any order of events: messages late, lost or twice, and keepers killed and wiped.

The keepers here run what the real ones run (`register`, `parts`, `group`, `callslips`), on disks in memory
that write when they are told to; askers count as nodes do (`claims`). What was granted, taken and read is
checked against a plain record of it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from athenaeum import parts
from athenaeum.callslips import Granted, Held, Slips
from athenaeum.claims import Count
from athenaeum.group import Standing, epoch
from nickelbridge.register import Acceptor, Done, Kept, Proposer, Save, Send, Value, Voter

WINDOW_S = 60.0
SEEDS = ("a", "b", "c")


class Keeper:
    """What `Archive` does with these parts, without a clock, a disk or a link."""

    def __init__(self, name: str, world: World, founder: bool) -> None:
        self.name, self.world = name, world
        self.disk: dict[str, Any] = {"slips": {}, "caught": founder}
        self.disk["kept"] = Kept(parts.GENESIS if founder else world.rng.randrange(2, 2**50))
        self.start()

    def start(self) -> None:
        """A new life, with what is on the disk."""
        self.alive = True
        self.writes: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self.acceptor = Acceptor(self.name, self.disk["kept"], self.object_to)
        self.founder = self.acceptor.kept.memory == parts.GENESIS
        life = f"{self.name} {self.world.rng.randrange(2**50)}"
        self.proposer = Proposer(life, parts.genesis(SEEDS), self.world.rng)
        self.standing = Standing(self.disk["caught"])
        self.slips = Slips(WINDOW_S)
        for key, packed in self.disk["slips"].items():
            self.slips.load(key, packed)
        self.asked: dict[str, Callable[[Done], None]] = {}
        self.peeks: dict[int, tuple[Kept, list[parts.Seen], Callable[[Value], None]]] = {}
        self.unwritten: set[str] = set()
        self.clean = True

    @property
    def voter(self) -> Voter:
        return self.acceptor.voter

    @property
    def known(self) -> Value:
        return self.proposer.known

    def grants(self, under: int) -> bool:
        return self.standing.grants(under, self.voter, self.known, self.acceptor.kept.value)

    def object_to(self, intent: Any) -> str:
        return parts.ALIVE if intent is not None and self.world.keepers[intent].alive else ""

    def write(self, put: Callable[[], None], then: Callable[[], None]) -> None:
        self.writes.append((put, then))

    def disk_turn(self) -> None:
        """The oldest write reaches the disk."""
        put, then = self.writes.pop(0)
        put()
        then()

    def tick(self, now_ms: float) -> None:
        self.act(self.proposer.tick(now_ms))
        accepted = self.acceptor.kept.value
        for other in self.world.keepers.values():
            if self.known.version > other.known.version and self.world.rng.random() < 0.3:
                self.world.send(other.name, "know", self.known)
        if accepted is not None and accepted.version > self.known.version:
            self.read(lambda value: None)
        if self.voter not in self.known.voters:
            if self.standing.caught_up:
                if self.standing.put_out(self.voter, self.known, accepted):
                    self.write(lambda: self.disk.update(caught=False), self.forget)
            elif self.world.rng.random() < 0.5:
                self.world.join(self)
        for name in self.standing.to_ask(self.voter, self.known, accepted):
            self.standing.sources[name] = False
            self.world.send(name, "slips?", self.name, epoch(self.known))
        if self.world.rng.random() < 0.1:
            for name in list(self.standing.sources):
                self.standing.forget_source(name)

    def forget(self) -> None:
        self.standing = Standing(False)

    # The register

    def act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.world.send(action.to, "reg", self.name, action.message)
            elif isinstance(action, Done):
                self.learn(action.value)
                if action.id in self.asked:
                    self.asked.pop(action.id)(action)

    def learn(self, value: Value) -> None:
        self.world.decided(value)
        self.proposer.learn(value)

    def ask(self, change: parts.Change, told: Callable[[Done], None], intent: Any = None) -> None:
        if self.founder or self.known.version:
            id = str(self.world.number())
            self.asked[id] = told
            self.act(self.proposer.ask(id, change, self.world.now_ms, 3_000.0, intent))

    def reg(self, sender: str, message: Any) -> None:
        if hasattr(message, "promised"):
            return self.act(self.proposer.handle(message, self.world.now_ms))
        save, replies = not self.clean, []
        for action in self.acceptor.handle(message, sender):
            save = save or isinstance(action, Save)
            if isinstance(action, Send):
                replies.append(action.message)
        kept = self.acceptor.kept

        def told() -> None:
            self.clean = self.clean or kept is self.acceptor.kept
            for reply in replies:
                self.world.send(sender, "reg", self.name, reply)

        if not save:
            return told()
        self.clean = False
        self.write(lambda: self.disk.update(kept=kept), told)

    def read(self, done: Callable[[Value], None]) -> None:
        number, kept = self.world.number(), self.acceptor.kept
        self.peeks[number] = (kept, [], done)
        for voter in self.known.voters:
            if voter.name != self.name:
                self.world.send(voter.name, "peek", self.name, number, kept.accepted)
        if self.clean:
            self.peeked(number, parts.Seen(self.voter, kept.accepted, None))

    def peek(self, sender: str, number: int, has: tuple[int, str]) -> None:
        kept = self.acceptor.kept
        if self.clean:
            seen = parts.Seen(self.voter, kept.accepted, None if has == kept.accepted else kept.value)
            self.world.send(sender, "peeked", number, seen)

    def peeked(self, number: int, seen: parts.Seen) -> None:
        if number not in self.peeks:
            return
        kept, all_, done = self.peeks[number]
        all_.append(seen)
        first = self.known if self.founder and not self.known.version else None
        value = parts.stands(all_, kept.value, kept.accepted, first)
        if value is not None:
            del self.peeks[number]
            self.learn(value)
            done(self.known)
        elif len(all_) >= 2:
            del self.peeks[number]
            self.ask(parts.read, lambda end: done(end.value))

    def admit(self, joiner: Voter) -> None:
        names = [v.name for v in self.known.voters]
        dead = [n for n in names if not self.world.keepers[n].alive]
        instead = joiner.name if joiner.name in names else dead[0] if dead else ""
        if self.voter in self.known.voters and joiner not in self.known.voters and instead:
            intent = None if instead == joiner.name else instead
            self.ask(parts.admit(joiner, instead, len(names)), lambda end: None, intent)

    # Keys

    def claim(self, try_: Try, under: int, key: str, holder: str) -> None:
        def say(what: str, answer: Any = None) -> None:
            self.world.say(try_, self.name, under, what, answer)

        if not self.grants(under):
            return
        outcome, slip = self.slips.claim(key, holder)
        if isinstance(outcome, Held):
            return say("held", outcome.answer)
        assert isinstance(outcome, Granted)
        if slip is None and key not in self.unwritten:
            return say("yours")
        packed = (slip or self.slips.slips[key]).packed()
        self.unwritten.add(key)

        def told() -> None:
            self.unwritten.discard(key)
            if self.grants(under):
                say("yours")

        self.write(lambda: self.disk["slips"].update({key: packed}), told)

    def done(self, key: str, holder: str, answer: Any) -> None:
        slip = self.slips.done(key, holder, answer)
        if slip is not None:
            packed = slip.packed()
            self.write(lambda: self.disk["slips"].update({key: packed}), lambda: None)

    def drop(self, key: str, holder: str) -> None:
        if self.slips.drop(key, holder):
            self.unwritten.discard(key)
            self.write(lambda: self.disk["slips"].pop(key, None), lambda: None)

    def give(self, sender: str, under: int) -> None:
        if self.grants(under):
            rows = [(key, slip.packed()) for key, slip in self.slips.slips.items()]
            self.world.send(sender, "take", self.name, under, rows)

    def take(self, name: str, under: int, rows: list[tuple[str, list[Any]]]) -> None:
        if self.standing.caught_up or under != epoch(self.known):
            return
        for key, packed in rows:
            self.slips.load(key, packed)
        rows = [(key, self.slips.slips[key].packed()) for key, _ in rows]
        standing = self.standing

        def told() -> None:
            standing.sources[name] = True
            if standing.enough(self.known):
                self.write(
                    lambda: self.disk.update(caught=True), lambda: setattr(standing, "caught_up", True)
                )

        self.write(lambda: self.disk["slips"].update(rows), told)


class Try:
    """One request with a key, at some node."""

    def __init__(self, key: str, holder: str, began_s: float, under: int, group: tuple[str, ...]) -> None:
        self.key, self.holder, self.began_s, self.open = key, holder, began_s, True
        self.count = Count(under, group)


class World:
    """Keepers, what is on its way between them, and what was said."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now_ms, self._number = rng, 1_000.0, 0
        self.keepers: dict[str, Keeper] = {}
        for name in (*SEEDS, "d"):
            self.keepers[name] = Keeper(name, self, name in SEEDS)
        self.wires: list[tuple[str, str, tuple[Any, ...]]] = []
        self.tries: list[Try] = []
        self.granted: dict[str, list[Try]] = {}
        self.versions: dict[int, Value] = {}
        self.taken: dict[int, bytes] = {}  # the digest that was acknowledged on top of each revision
        self.newest = 0  # revision acknowledged
        self.counts = {"granted": 0, "put": 0, "read": 0, "epoch": 0}

    def number(self) -> int:
        self._number += 1
        return self._number

    def send(self, to: str, kind: str, *message: Any) -> None:
        if to in self.keepers:
            self.wires.append((to, kind, message))

    def decided(self, value: Value) -> None:
        """The states are one chain: one for each version, and whoever learns one learns the same."""
        assert self.versions.setdefault(value.version, value) == value
        self.counts["epoch"] = max(self.counts["epoch"], epoch(value))

    def join(self, keeper: Keeper) -> None:
        for other in self.keepers.values():
            if other.alive and other is not keeper and self.rng.random() < 0.5:
                other.admit(keeper.voter)

    def some(self, alive: bool = True) -> Keeper | None:
        found = [k for k in self.keepers.values() if k.alive is alive]
        return self.rng.choice(found) if found else None

    def claim(self) -> None:
        keeper = self.some()
        if keeper is not None:
            group = tuple(v.name for v in keeper.known.voters)
            key = f"k{self.rng.randrange(3)}"
            try_ = Try(key, f"t{self.number()}", self.now_ms / 1e3, epoch(keeper.known), group)
            self.tries.append(try_)
            self.ask(try_)

    def ask(self, try_: Try) -> None:
        for name in try_.count.group:
            if try_.count.open(name):
                self.send(name, "claim", try_, try_.count.epoch, try_.key, try_.holder)

    def say(self, try_: Try, name: str, under: int, what: str, answer: Any) -> None:
        self.wires.append(("", "said", (try_, name, under, what, answer)))

    def said(self, try_: Try, name: str, under: int, what: str, answer: Any) -> None:
        end = try_.count.hear(name, under, what, answer) if try_.open else ""
        if end == "yours":
            before = [t for t in self.granted.get(try_.key, []) if t.began_s > try_.began_s - WINDOW_S]
            assert not before, f"{try_.key} is {try_.holder}'s and {before[0].holder}'s"
            self.granted.setdefault(try_.key, []).append(try_)
            self.counts["granted"] += 1
            how = self.rng.random()
            if how < 0.5:
                self.tell_all(try_, "done", try_.key, try_.holder, try_.holder)
            elif how < 0.7:  # it never ran after all
                self.granted[try_.key].remove(try_)
                self.tell_all(try_, "drop", try_.key, try_.holder)
            try_.open = False
        elif end:
            answers = [t.holder for t in self.granted.get(try_.key, [])]
            assert answer is None or answer in answers
            self.give_up(try_)

    def give_up(self, try_: Try) -> None:
        if try_.open:
            try_.open = False
            self.tell_all(try_, "drop", try_.key, try_.holder)

    def tell_all(self, try_: Try, *message: Any) -> None:
        for name in try_.count.group:
            self.send(name, *message)

    def put(self) -> None:
        keeper = self.some()
        if keeper is None:
            return
        on = parts.body(keeper.known).revision
        revision, digest = on + self.rng.randrange(1, 3), str(self.number()).encode()

        def told(end: Done) -> None:
            if not end.why:
                assert self.taken.setdefault(on, digest) == digest
                self.newest = max(self.newest, revision)
                self.counts["put"] += 1

        keeper.ask(parts.put(digest, revision, digest, on), told)

    def read(self) -> None:
        keeper, newest = self.some(), self.newest
        if keeper is None:
            return

        def told(value: Value) -> None:
            assert parts.body(value).revision >= newest
            self.counts["read"] += 1

        keeper.read(told)

    def pass_time(self, s: float) -> None:
        for try_ in self.tries:
            self.give_up(try_)
        self.tries.clear()
        self.now_ms += s * 1e3

    def down(self, wipe: bool) -> None:
        """Kill one; a disk is lost only while all the others remember."""
        keeper = self.some()
        up = [k for k in self.keepers.values() if k.alive and k.standing.caught_up and k.clean]
        if keeper is None or sum(k is not keeper for k in up) < 2:
            return
        keeper.alive = False
        if wipe:
            keeper.disk = {"slips": {}, "caught": False, "kept": Kept(self.rng.randrange(2, 2**50))}

    def step(self, trouble: float) -> None:
        rng, dice = self.rng, self.rng.random()
        if self.wires and dice < 0.62:
            # Mostly in order, so that something comes of it.
            at = 0 if rng.random() < 0.6 else rng.randrange(len(self.wires))
            to, kind, message = self.wires[at] if rng.random() < 0.05 * trouble else self.wires.pop(at)
            if kind == "said":
                self.said(*message)
            elif self.keepers[to].alive and rng.random() > 0.08 * trouble:
                names = {"know": "learn", "slips?": "give"}
                getattr(self.keepers[to], names.get(kind, kind))(*message)
            return
        keeper = self.some()
        if keeper is not None and dice < 0.92:
            if keeper.writes and rng.random() < 0.9:
                while keeper.writes and rng.random() < 0.7:
                    keeper.disk_turn()
                return
            self.now_ms += rng.randrange(20)
            keeper.slips.turn(self.now_ms / 1e3)
            for key in keeper.disk["slips"].keys() - keeper.slips.slips.keys():
                keeper.write(lambda key=key: keeper.disk["slips"].pop(key, None), lambda: None)  # type: ignore[misc]
            return keeper.tick(self.now_ms)
        if dice < 0.94:
            return self.claim()
        if dice < 0.95 and self.tries:
            try_ = rng.choice(self.tries)
            if try_.open and keeper is not None and epoch(keeper.known) > try_.count.epoch:
                try_.count.anew(epoch(keeper.known), tuple(v.name for v in keeper.known.voters))
            return self.ask(try_) if try_.open else None
        if dice < 0.96:
            return self.put()
        if dice < 0.97:
            return self.read()
        if dice < 0.985:
            dead = self.some(alive=False)
            return dead.start() if dead is not None and rng.random() < 0.6 else None
        if dice < 0.993 and rng.random() < trouble:
            return self.down(wipe=rng.random() < 0.5)
        if rng.random() < 0.2:
            self.pass_time(rng.choice((1.0, 15.0, 25.0)))


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
def test_any_order_of_events(seed: int, trouble: float) -> None:
    world = World(random.Random(seed))
    for _ in range(900):
        world.step(trouble)


def test_a_key_that_two_tries_were_given_is_nobodys() -> None:
    """A newcomer that hears of two holders can't tell which one ran: it grants to neither."""
    slips = Slips(WINDOW_S)
    for holder in ("t1", "t2"):
        slips.load("k", [holder, 0, None])
    for holder in ("t1", "t2", "t3"):
        assert slips.claim("k", holder) == (Held("", None), None)
    assert not slips.drop("k", "t1")
    slip = slips.done("k", "t2", "its answer")  # this one surely ran
    assert slip is not None and slips.claim("k", "t1")[0] == Held("t2", "its answer")


def test_one_that_was_put_out_learns_anew() -> None:
    """It missed what was granted without it, so it may not come back as one that has caught up."""
    a, b, c, d = (Voter(name, 1) for name in "abcd")
    first = Value(1, (a, b, c), parts.Body(0, 1))
    without = Value(2, (a, b, d), parts.Body(1, 1))
    standing = Standing(True)
    assert not standing.put_out(c, first, None) and not standing.put_out(c, first, first)
    assert not standing.put_out(d, first, without)  # hears of its own place late
    assert standing.grants(1, a, without, without) and standing.grants(0, a, first, first)
    assert not standing.grants(1, a, without, first)  # what it accepted last is of the group before
    assert not standing.grants(0, a, first, without) and not Standing(False).grants(1, a, without, without)
    assert standing.put_out(c, without, first) and not standing.grants(1, c, without, first)
