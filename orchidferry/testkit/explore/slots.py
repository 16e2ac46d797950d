"""Every interleaving of a few voters and askers over slots.

The shipping register and table, with faults among them.

Each message takes one step. Of those that come to one half of a node in one step every order is walked;
what comes to different halves in it commutes. A fault loses a message, holds it back until all else is quiet,
cuts a node off for a while, or starts a voter anew, with its disk or without. Each asker wants one place out,
goes out as soon as it may, comes back as another process, and gives its slot back. What is judged is what the
askers do, not what the table says.
"""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from orchidferry.balancing import proposer, register, slots
from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Acceptor,
    AcceptorState,
    ChangeDecided,
    SaveState,
    SendToVoter,
    Value,
    Voter,
)
from orchidferry.balancing.slots import (
    DisruptionBudget,
    FencingGate,
    Member,
    OutageIntent,
    ReturnIntent,
    SlotTable,
)
from orchidferry.testkit.explore import world_search
from orchidferry.testkit.explore.fleet import Middle
from orchidferry.testkit.explore.world_search import SearchResult

TRIES = 5  # of an asker, for each of its steps and each other one that it may have to wait for
FOR_MS = 3_000.0
OUT_MS = 1_500.0  # that a place is out: longer than another asker waits between its tries
KINDS = ("lose", "late", "cut", "restart", "forget")


@dataclass
class Asker:
    """One that wants its place out, and back."""

    name: str
    place: Member
    proposer: Proposer
    step: str = "ask"  # ask, out, back, over
    token: int = 0
    tries: int = 0
    due: float = 0.0  # of the next try, where the last one brought nothing
    waits: bool = False  # for its proposer


@dataclass
class Mail:
    """A message under way."""

    sender: str
    to: str
    message: register.Message
    late: bool = False

    @property
    def half(self) -> tuple[str, bool]:
        """What takes it: a node's voter or its asker, which share nothing."""
        return self.to, isinstance(self.message, register.Prepare | register.Accept)


@dataclass
class World:
    """Voters, askers, and what is under way between them."""

    acceptors: dict[str, Acceptor]
    askers: dict[str, Asker]
    bound: int
    faults: int
    kinds: tuple[str, ...] = KINDS
    now: float = 0.0
    mail: list[Mail] = field(default_factory=list)  # of this step
    next: list[Mail] = field(default_factory=list)  # sent in it
    disks: dict[str, AcceptorState] = field(default_factory=dict)
    cut: dict[str, float] = field(default_factory=dict)
    memories: int = 100
    out: dict[str, str] = field(
        default_factory=dict
    )  # places that are out in truth, and the token they went by
    lives: dict[str, int] = field(default_factory=dict)  # processes that each place has had
    chosen: dict[int, Value] = field(default_factory=dict)
    tokens: dict[int, str] = field(default_factory=dict)
    gate: FencingGate = field(default_factory=FencingGate)
    story: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def seen(self, place: Member) -> str:
        """The process that serves there now; voters see it as it is."""
        return "" if place.name in self.out else f"{place.name}/{self.lives[place.name]}"

    @property
    def over(self) -> bool:
        """Whether nothing more can happen."""
        return all(asker.step == "over" for asker in self.askers.values())

    def actions(self) -> list[str]:
        """What may come next; the first comes without a fault."""
        found: list[str] = []
        ready = [(n, mail) for n, mail in enumerate(self.mail) if not mail.late]
        if ready:
            to = min(mail.half for _, mail in ready)
            found = [f"deliver {n}" for n, mail in ready if mail.half == to]
            if self.faults:
                for n, mail in ready:
                    if mail.half == to:
                        found += [f"{kind} {n}" for kind in ("lose", "late") if kind in self.kinds]
        else:
            found = ["wait"]
        if self.faults:
            for name in self.acceptors:
                if name not in self.cut and "cut" in self.kinds:
                    found.append(f"cut {name}")
                found += [f"{kind} {name}" for kind in ("restart", "forget") if kind in self.kinds]
        return found

    def apply(self, label: str) -> None:
        """Play one of the actions, by its label."""
        what, _, about = label.partition(" ")
        if what not in ("deliver", "wait"):
            self.faults -= 1
            told = about
            if what in ("lose", "late"):
                mail = self.mail[int(about)]
                told = f"{type(mail.message).__name__} from {mail.sender} to {mail.to}"
            self.story.append(f"{self.now:7.0f} ms  {what} {told}")
        match what:
            case "deliver":
                self._deliver(self.mail.pop(int(about)))
            case "lose":
                self.mail.pop(int(about))
            case "late":
                self.mail[int(about)].late = True
            case "cut":
                self.cut[about] = self.now + 2_000.0
                self.mail = [mail for mail in self.mail if about not in (mail.sender, mail.to)]
                self.next = [mail for mail in self.next if about not in (mail.sender, mail.to)]
            case "restart" | "forget":
                self._restart(about, what == "forget")
            case "wait":
                self._wait()
        if all(mail.late for mail in self.mail):
            self.mail += self.next
            self.next = []
        self._check()

    def _restart(self, name: str, forgets: bool) -> None:
        """A voter's process anew; its asker's half goes on, as another process would on what was agreed."""
        self.memories += 1
        kept = (
            AcceptorState(self.memories)
            if forgets
            else self.disks.get(name, AcceptorState(self.acceptors[name].state.disk_id))
        )
        self.acceptors[name] = Acceptor(name, kept, self.acceptors[name]._object_to)
        if forgets:
            self.disks.pop(name, None)

    def _deliver(self, mail: Mail) -> None:
        message = mail.message
        if isinstance(message, register.Prepare | register.Accept):
            if isinstance(message, register.Prepare) and message.intent is not None:
                self.acceptors[mail.to]._object_to = self._thinks(mail.to)
            self._act(mail.to, self.acceptors[mail.to].handle(message, mail.sender))
        else:
            self._act(mail.to, self.askers[mail.to].proposer.handle(message, self.now))

    def _thinks(self, name: str) -> Callable[[Any], str]:
        kept = self.acceptors[name].state
        table = kept.value.body if kept.value is not None else FIRST[self.bound].body
        seen = {place: self.seen(place) for place in table.members}
        return _Opinion(table, seen)

    def _act(self, name: str, actions: list[register.Action]) -> None:
        for action in actions:
            match action:
                case SaveState():
                    self.disks[name] = action.state
                case SendToVoter():
                    if name not in self.cut and action.to not in self.cut:
                        self.next.append(Mail(name, action.to, action.message))
                case ChangeDecided():
                    self._done(self.askers[name], action)

    def _done(self, asker: Asker, done: ChangeDecided) -> None:
        value = done.value
        table = done.value.body
        known = self.chosen.setdefault(value.version, value)
        if known != value:
            self.violations.append(f"one-state: two states of version {value.version} were agreed")
        asker.waits = False
        slot = table.slot(asker.place)
        if asker.step == "ask" and slot is not None and slot.id == f"{asker.name}-out":
            asker.token = slot.token
            if self.tokens.setdefault(slot.token, asker.name) != asker.name:
                self.violations.append(f"tokens: {slot.token} was given to two")
            if self.gate.check(asker.place, slot.token):
                return
            self.story.append(f"{self.now:7.0f} ms  {asker.name} goes out with token {slot.token}")
            self.out[asker.place.name] = str(slot.token)
            asker.step = "out"
            asker.due = self.now + OUT_MS
        elif asker.step == "back" and not done.why:
            self.story.append(f"{self.now:7.0f} ms  {asker.name} gave its slot back")
            asker.step = "over"
        else:
            asker.due = self.now + 700.0

    def _go(self, asker: Asker) -> None:
        """An asker's next step, as its time has come."""
        if asker.step == "out":  # it comes back as another process
            del self.out[asker.place.name]
            self.lives[asker.place.name] += 1
            asker.step = "back"
            asker.tries = 0
        if asker.tries >= TRIES * max(1, len(self.askers) - self.bound):
            asker.step = "over"
            return
        asker.tries += 1
        asker.waits = True
        asker.due = self.now + FOR_MS
        place = asker.place
        if asker.step == "ask":
            change: proposer.Change = _Wants(place, asker.name)
            intent: Any = OutageIntent(place)
        else:
            change = _Back(asker.token)
            intent = ReturnIntent(asker.token, place, f"{place.name}/0")
        actions = asker.proposer.ask(f"{asker.name}-{asker.step}", change, self.now, FOR_MS - 1.0, intent)
        self._act(asker.name, actions)

    def _wait(self) -> None:
        """Nothing is under way: what was late comes, else time goes on."""
        if any(mail.late for mail in self.mail):
            for mail in self.mail:
                mail.late = False
            return
        times = list(self.cut.values())
        for asker in self.askers.values():
            if asker.step != "over":
                times += [asker.due, asker.proposer.due_ms]
        self.now = max(self.now, min(times))
        self.cut = {name: until for name, until in self.cut.items() if until > self.now}
        for asker in self.askers.values():
            if asker.step == "over":
                continue
            if min(asker.proposer.due_ms, asker.due) <= self.now:
                self._act(asker.name, asker.proposer.tick(self.now))
            if asker.due <= self.now and not (asker.waits and asker.proposer.due_ms < float("inf")):
                self._go(asker)

    def _check(self) -> None:
        if len(self.out) > self.bound:
            self.violations.append(f"bound: {sorted(self.out)} are out at once, and {self.bound} may be")

    def fingerprint(self) -> bytes:
        """All that it holds but its story; times stand in it."""
        askers = [
            (
                a.step,
                a.token,
                a.tries,
                a.due,
                a.waits,
                a.proposer.known,
                a.proposer._counter,
                a.proposer._next_round_ms,
                a.proposer._preempted_rounds,
                a.proposer._round,
                [w.id for w in a.proposer._pending],
            )
            for a in self.askers.values()
        ]
        held = [
            self.now,
            self.faults,
            sorted(self.out.items()),
            sorted(self.cut.items()),
            askers,
            [(name, acceptor.state) for name, acceptor in self.acceptors.items()],
            sorted(self.disks.items()),
            sorted(repr(mail) for mail in self.mail),
            sorted(repr(mail) for mail in self.next),
            sorted(self.lives.items()),
        ]
        return hashlib.blake2b(repr(held).encode(), digest_size=16).digest()

    def finish(self) -> None:
        """Nothing comes after the last step of the askers."""

    def succeeded(self) -> bool:
        """Both had their turn, and nobody is out."""
        newest = self.chosen[max(self.chosen)].body if self.chosen else None
        return newest is not None and not newest.slots and newest.token == len(self.askers)


@dataclass(frozen=True)
class _Wants:
    place: Member
    name: str

    def __call__(self, value: Value) -> Value | str:
        wants = slots.grant(value.body, self.place, self.name, f"{self.name}-out", f"{self.place.name}/0")
        return slots.with_table(value, wants)


@dataclass(frozen=True)
class _Back:
    token: int

    def __call__(self, value: Value) -> Value | str:
        return slots.with_table(value, slots.release(value.body, self.token))


@dataclass(frozen=True)
class _Opinion:
    table: SlotTable
    seen: dict[Member, str]

    def __call__(self, intent: Any) -> str:
        return slots.objection(self.table, intent, self.seen.__getitem__)


NAMES = ("a", "b", "c")
PLACES = tuple(Member(slots.Kind.NODE, f"p{name}") for name in NAMES)
VOTERS = tuple(Voter(name, n + 1) for n, name in enumerate(NAMES))
FIRST = {
    bound: Value(0, VOTERS, SlotTable(PLACES, (DisruptionBudget(slots.Kind.NODE, max_out=bound),)))
    for bound in (1, 2)
}


def begin(askers: int = 2, faults: int = 2, bound: int = 1, kinds: tuple[str, ...] = KINDS) -> World:
    """Three voters, of which the first few want their places out at once."""
    acceptors = {voter.name: Acceptor(voter.name, AcceptorState(voter.disk_id)) for voter in VOTERS}
    wanting = {
        name: Asker(name, PLACES[n], Proposer(name, FIRST[bound], Middle()))
        for n, name in enumerate(NAMES[:askers])
    }
    lives = {place.name: 0 for place in PLACES}
    return World(acceptors, wanting, bound, faults, kinds, lives=lives)


def search(
    askers: int = 2,
    faults: int = 2,
    bound: int = 1,
    break_: str = "",
    limit_s: float = 600.0,
    kinds: tuple[str, ...] = KINDS,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Walk all of it."""
    return world_search.search(
        lambda: begin(askers, faults, bound, kinds), broken, break_, limit_s, watch, workers
    )


def _any_majority(voters: Any, given: Any) -> bool:
    return bool(set(voters) & set(given))


def _forgets_promise(self: Acceptor, message: Any, sender: str) -> list[register.Action]:
    self.state = replace(self.state, promised=register.NO_BALLOT)
    return _handle(self, message, sender)


def _same_memory(self: World, name: str, forgets: bool) -> None:
    kept = self.acceptors[name].state
    kept = AcceptorState(kept.disk_id) if forgets else self.disks.get(name, kept)
    self.acceptors[name] = Acceptor(name, kept, self.acceptors[name]._object_to)


def _not_read(self: Proposer, round_: Any, now: float) -> list[register.Action]:
    round_.promises = {
        voter: replace(p, accepted=register.NO_BALLOT, value=None) for voter, p in round_.promises.items()
    }
    return _promised(self, round_, now)


def _no_count(table: SlotTable, out: Any, more: Member) -> str:
    return ""


def _on_silence(table: SlotTable, place: Member, holder: str, id: str, was: str = "", out: Any = ()) -> Any:
    """A slot whose holder asks for nothing more counts as given back."""
    return _grant(replace(table, slots=()), place, holder, id, was, out)


def _early(self: World, asker: Asker) -> None:
    """The slot is asked back while its place is still out, and voters believe it."""
    if asker.step == "out":
        asker.step = "back"
        asker.tries = 0
        asker.due = self.now
    _go(self, asker)


def _no_objection(table: SlotTable, intent: Any, seen: Any) -> str:
    return ""


def _no_tokens(table: SlotTable, place: Member, holder: str, id: str, was: str = "", out: Any = ()) -> Any:
    after = _grant(table, place, holder, id, was, out)
    if isinstance(after, str) or after is table:
        return after
    slots_ = tuple(replace(slot, token=1) for slot in after.slots)
    return replace(after, slots=slots_, token=1)


def _unsaved(self: World, name: str, actions: list[register.Action]) -> None:
    _act(self, name, [action for action in actions if not isinstance(action, SaveState)])


_handle = Acceptor.handle
_promised = Proposer._promised
_grant = slots.grant
_go = World._go
_act = World._act
BREAKS: dict[str, tuple[str, list[tuple[Any, str, Any]]]] = {
    "no-majority": ("any one voter is enough", [(proposer, "has_majority", _any_majority)]),
    "promise-forgotten": ("a voter does not keep to its promise", [(Acceptor, "handle", _forgets_promise)]),
    "vote-forgotten": ("a voter without its disk votes as if it had it", [(World, "_restart", _same_memory)]),
    "unsaved": ("a vote is sent that is not on disk", [(World, "_act", _unsaved)]),
    "not-read": ("a proposer does not take up what was accepted", [(Proposer, "_promised", _not_read)]),
    "not-counted": ("bounds are not looked at", [(slots, "exceeded_budget", _no_count)]),
    "on-silence": ("a slot comes back on silence", [(slots, "grant", _on_silence)]),
    "on-a-word": (
        "a slot comes back on its holder's word",
        [(World, "_go", _early), (slots, "objection", _no_objection)],
    ),
    "same-token": ("tokens do not rise", [(slots, "grant", _no_tokens)]),
}


@contextlib.contextmanager
def broken(name: str) -> Iterator[None]:
    """With one of `BREAKS` in force."""
    with contextlib.ExitStack() as stack:
        for where, attribute, value in BREAKS[name][1] if name else ():
            stack.enter_context(mock.patch.object(where, attribute, value))
        yield
