"""One small state that a majority agrees on, changed step by step, with no log and no leader. Free of I/O.

CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018), which is Lamport's Paxos (1998)
for one register: whoever wants a change has a majority promise its ballot, takes the newest state that any of
these has accepted, changes that, and has a majority accept the outcome. Whoever dies in between leaves a
state that the next one finds, or none.

What must be on disk before a message leaves is an action of its own, `SaveState`, in front of it: saving
before sending is the caller's visible duty. A voter is identified by its name and the id of its disk: one
that has lost its disk, and with it what it promised, has another id, and does not count until the voters are
changed to name that. A change of voters is accepted by a majority of the old ones and of the new ones, so
that whoever proposes next meets it whichever of them it knew.

A voter may object to an intent, by what it observes itself: it does so with its promise, and a change goes on
only if over half of the voters promised without objecting. Once a state is proposed nobody objects: what some
have accepted and others would not could neither be undone nor built on.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

Ballot = tuple[int, str]  # a counter that only rises, and whose it is
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class Voter:
    """A replica that votes, as long as its disk holds what it promised.

    :param disk_id: drawn when its disk was first written.
    """

    name: str
    disk_id: int


@dataclass(frozen=True, slots=True)
class Value:
    """The state of the register.

    :param version: the number of changes that have led to it.
    :param voters: who votes on the next change.
    :param body: what the register holds; immutable, compared by value.
    :param former_voters: who voted before, until the change of voters is known to be decided.
    """

    version: int
    voters: tuple[Voter, ...]
    body: Any
    former_voters: tuple[Voter, ...] = ()


def has_majority(voters: Iterable[Voter], given: Iterable[Voter]) -> bool:
    """Whether a majority of the voters is among these.

    :param given: those that promised, or accepted.
    """
    distinct = set(voters)
    return 2 * len(distinct & set(given)) > len(distinct)


# Messages


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a voter to promise that it accepts nothing below a ballot, and to report what it has accepted.

    :param intent: what the proposer intends, for voters to object to; None if there is nothing to object to.
    :param known_ballot: a ballot whose state the proposer has: it needs no copy of that.
    """

    ballot: Ballot
    intent: Any = None
    known_ballot: Ballot = NO_BALLOT


@dataclass(frozen=True, slots=True)
class Promise:
    """A voter's answer to `Prepare`.

    :param promised: the highest ballot that it has promised; above `ballot`, this is a refusal.
    :param accepted: the ballot that it has accepted last.
    :param value: the state of that ballot; None if it is the proposer's `known_ballot`: the proposer's side
        fills it in.
    :param objection: why the voter objects to the intent; "" for no objection.
    """

    ballot: Ballot
    voter: Voter
    promised: Ballot
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    objection: str = ""


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a voter to accept a state."""

    ballot: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    """A voter's answer to `Accept`.

    :param promised: the highest ballot that it has promised; above `ballot`, the state was not accepted.
    """

    ballot: Ballot
    voter: Voter
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted


# Actions


@dataclass(frozen=True, slots=True)
class SaveState:
    """Have this on disk before carrying out any action after it."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class SendToVoter:
    """Send a message to a voter, by name; it may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ChangeDecided:
    """Report the outcome of a change that was proposed here.

    :param value: the decided state.
    :param why: the reason for which the change was refused, so that `value` is the state as it was; "" if it
        was not.
    """

    id: str
    value: Value
    why: str = ""


Action = SaveState | SendToVoter | ChangeDecided


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """All that a voter has to keep on disk.

    :param promised: accepts of lower ballots are refused.
    :param accepted: the ballot of `value`.
    """

    disk_id: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None


def no_objection(intent: Any) -> str:
    """Object to nothing."""
    return ""


class Acceptor:
    """The part of a replica that votes.

    :ivar state: what it has promised and accepted; on disk once the last `SaveState` is carried out.
    """

    def __init__(
        self, name: str, state: AcceptorState, object_to: Callable[[Any], str] = no_objection
    ) -> None:
        """
        :param state: what the disk holds.
        :param object_to: given an intent, says why this voter objects to it; "" for no objection.
        """
        self.name = name
        self.state = state
        self._object_to = object_to

    @property
    def voter(self) -> Voter:
        """The voter that it is."""
        return Voter(self.name, self.state.disk_id)

    def handle(self, message: Prepare | Accept, sender: str) -> list[Action]:
        """Promise or accept; a refusal names the ballot that was promised.

        :returns: the actions to be carried out: `SaveState` where the vote has changed the state, the answer.
        """
        state = self.state
        ballot = message.ballot
        if isinstance(message, Prepare):
            if ballot < state.promised:
                return [SendToVoter(sender, Promise(ballot, self.voter, state.promised))]
            saved = self._keep(AcceptorState(state.disk_id, ballot, state.accepted, state.value))
            objection = self._object_to(message.intent) if message.intent is not None else ""
            value = state.value if state.accepted != message.known_ballot else None
            promise = Promise(ballot, self.voter, ballot, state.accepted, value, objection)
            return [*saved, SendToVoter(sender, promise)]
        if ballot < state.promised:
            return [SendToVoter(sender, Accepted(ballot, self.voter, state.promised))]
        saved = self._keep(AcceptorState(state.disk_id, ballot, ballot, message.value))
        return [*saved, SendToVoter(sender, Accepted(ballot, self.voter, ballot))]

    def _keep(self, state: AcceptorState) -> list[Action]:
        if state == self.state:
            return []
        self.state = state
        return [SaveState(state)]


Change = Callable[[Value], "Value | str"]


@dataclass(slots=True)
class _Asked:
    id: str
    intent: Any
    change: Change
    until_ms: float


@dataclass(slots=True)
class _Round:
    ballot: Ballot
    about: _Asked
    began_ms: float  # of its phase: since when promises or accepts are out
    due_ms: float  # what was not answered by then is sent again
    resends: int = 0
    promises: dict[Voter, Promise] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)  # names
    next: Value | None = None  # once accepts are out
    before: Value | None = None
    accepted: set[Voter] = field(default_factory=set)
    refused: str = ""  # why nothing changes


RESEND_MS = 500.0  # for voters to answer, before they are asked again; doubled each time, to
MAX_RESEND_MS = 4_000.0
BACK_OFF_MS = 400.0  # full jitter, doubled with each round that another one was in the way of, to
MAX_BACK_OFF_MS = 5_000.0
BACK_OFF_ANSWERS = 2.0  # it begins with so many times what answers take, if that is more
MAX_ASKED = 64  # changes that wait at one node
VOTERS_CHANGING = "the voters are changing"  # why another change of them is refused


class Proposer:
    """One node's half that asks for changes, one at a time."""

    def __init__(
        self,
        name: str,
        first: Value,
        rng: random.Random,
        resend_ms: float = RESEND_MS,
        back_off_ms: float = BACK_OFF_MS,
    ) -> None:
        """`first`: the state that the register begins with, the same at all; its voters are asked first."""
        self._resend_ms = resend_ms
        self._back_off_ms = back_off_ms
        self._answer_ms = 0.0  # how long the voters take to answer, of late
        self.name = name
        self.known = first
        self._first = first
        self._rng = rng
        self._counter = 0  # of the highest ballot seen
        self._waiting: list[_Asked] = []
        self._round: _Round | None = None
        self._again_ms = 0.0
        self._tries = 0

    @property
    def due_ms(self) -> float:
        """When `tick` is wanted; infinite for never."""
        if not self._waiting:
            return float("inf")
        if self._round is not None:
            return self._round.due_ms
        return self._again_ms

    def ask(self, id: str, change: Change, now: float, for_ms: float, intent: Any = None) -> list[Action]:
        """Have the state changed. The outcome is a `ChangeDecided`; there is none if the change is given up:
        then it may still be made, so whoever asks again does so under the same id.

        :param id: of the change.
        :param change: given the state, returns the state after the change; the very same state if nothing has
            to change; or, as a string, why the change is refused. It may be called more than once.
        :param now: in ms.
        :param for_ms: after this time the change is given up.
        :param intent: what the voters may object to; None for nothing.
        :returns: the actions to be carried out.
        """
        if len(self._waiting) < MAX_ASKED:
            self._waiting.append(_Asked(id, intent, change, now + for_ms))
        return self.tick(now)

    def withdraw(self, id: str) -> None:
        """No longer ask for a change: what it would bring about is known already, or can't be any more."""
        self._waiting = [asked for asked in self._waiting if asked.id != id]
        if self._round is not None and self._round.about.id == id:
            self._round = None

    def tick(self, now: float) -> list[Action]:
        """Begin a round where one is due; give up on what waited too long."""
        self._waiting = [asked for asked in self._waiting if asked.until_ms > now]
        if self._round is not None and self._round.about not in self._waiting:
            self._round = None
        if not self._waiting:
            return []
        if self._round is not None:
            return self._resend(self._round, now) if now >= self._round.due_ms else []
        if now < self._again_ms:
            return []
        self._counter += 1
        ballot = (self._counter, self.name)
        self._round = _Round(ballot, self._waiting[0], now, now + self._resend_ms)
        return self._prepare(self.known.voters)

    def _resend(self, round_: _Round, now: float) -> list[Action]:
        """Ask those again that have not answered, under the same ballot: what comes late still counts."""
        round_.resends += 1
        round_.due_ms = now + min(MAX_RESEND_MS, self._resend_ms * 2.0 ** min(round_.resends, 10))
        if round_.next is not None:
            accepted = {voter.name for voter in round_.accepted}
            return [action for action in self._accepts(round_) if action.to not in accepted]
        silent = sorted(round_.asked - {voter.name for voter in round_.promises})
        again = [SendToVoter(name, Prepare(round_.ballot, round_.about.intent)) for name in silent]
        return [*again, *self._prepare(self.known.voters)]

    def _put_off(self, round_: _Round, now: float) -> None:
        """Another one is ahead: leave it the time that its phase takes, and some more, drawn at random."""
        self._note_answer(now - round_.began_ms)
        self._round = None
        self._tries += 1
        least = max(self._back_off_ms, BACK_OFF_ANSWERS * self._answer_ms)
        wait = min(MAX_BACK_OFF_MS, least * 2.0 ** min(self._tries, 10))
        self._again_ms = now + min(self._answer_ms, MAX_BACK_OFF_MS) + wait * self._rng.random()

    def _note_answer(self, took_ms: float) -> None:
        self._answer_ms = max(took_ms, 0.5 * (self._answer_ms + took_ms))

    def _prepare(self, voters: Iterable[Voter]) -> list[Action]:
        assert self._round is not None
        found: list[Action] = []
        for voter in voters:
            if voter.name not in self._round.asked:
                self._round.asked.add(voter.name)
                found.append(SendToVoter(voter.name, Prepare(self._round.ballot, self._round.about.intent)))
        return found

    def handle(self, message: Promise | Accepted, now: float) -> list[Action]:
        """A voter's answer."""
        round_ = self._round
        if round_ is None or message.ballot != round_.ballot:
            return []
        if message.promised > round_.ballot:  # another one is ahead: let it be done first
            self._counter = max(self._counter, message.promised[0])
            self._put_off(round_, now)
            return []
        if isinstance(message, Promise):
            round_.promises[message.voter] = message
            return self._promised(round_, now) if round_.next is None else []
        round_.accepted.add(message.voter)
        return self._accepted(round_, now)

    def _former(self, value: Value) -> tuple[Voter, ...]:
        """The voters before its own, as long as the change of them is not known to be decided."""
        return value.former_voters if self.known.version < value.version else ()

    def _enough(self, value: Value, given: Iterable[Voter]) -> bool:
        """Whether a majority of its voters is among these, and of those before them where that counts."""
        given = set(given)
        former = self._former(value)
        return has_majority(value.voters, given) and (not former or has_majority(former, given))

    def _promised(self, round_: _Round, now: float) -> list[Action]:
        newest = max(round_.promises.values(), key=lambda promise: promise.accepted)
        before = newest.value if newest.value is not None else self._first
        # Its voters are those that count: where they are others than were asked, they are asked too.
        more = self._prepare((*before.voters, *before.former_voters))
        if not self._enough(before, round_.promises):
            return more
        against = {voter: p.objection for voter, p in round_.promises.items() if p.objection}
        after: Value | str
        if has_majority(before.voters, round_.promises.keys() - against.keys()):
            after = round_.about.change(before)
        elif 2 * len(set(before.voters) & against.keys()) >= len(before.voters):
            after = next(iter(against.values()))
        else:
            return more  # too few have said what they think
        settled = not self._former(before)
        if not isinstance(after, str) and after.voters != before.voters:
            after = replace(after, former_voters=before.voters) if settled else VOTERS_CHANGING
        elif not isinstance(after, str) and after is not before:
            after = replace(after, former_voters=() if settled else before.former_voters)
        if isinstance(after, str):
            # Nothing changes; but what was read may be held by few, and must stand before it is told.
            round_.refused = after
            after = before
        round_.before = before
        round_.next = after
        self._note_answer(now - round_.began_ms)
        round_.began_ms = now
        round_.due_ms = now + self._resend_ms
        round_.resends = 0
        return [*more, *self._accepts(round_)]

    def _accepts(self, round_: _Round) -> list[SendToVoter]:
        before = round_.before
        after = round_.next
        assert before is not None and after is not None
        names = dict.fromkeys(voter.name for voter in (*before.voters, *before.former_voters, *after.voters))
        return [SendToVoter(name, Accept(round_.ballot, after)) for name in names]

    def _accepted(self, round_: _Round, now: float) -> list[Action]:
        after = round_.next
        before = round_.before
        if after is None or before is None:
            return []
        if not (self._enough(before, round_.accepted) and has_majority(after.voters, round_.accepted)):
            return []
        self._waiting.remove(round_.about)
        self._round = None
        self._tries = 0
        self._again_ms = now
        self.learn(after)
        return [ChangeDecided(round_.about.id, after, round_.refused), *self.tick(now)]

    def learn(self, value: Value) -> None:
        """A state that a majority has accepted, from whoever knows."""
        if value.version > self.known.version:
            self.known = value
