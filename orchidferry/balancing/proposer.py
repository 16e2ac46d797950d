"""The proposer of the register: one round at a time, of promises and then accepts.

Free of I/O and of clocks: events and times are handed in, actions are returned.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from orchidferry.balancing.register import (
    Accept,
    Accepted,
    Action,
    Ballot,
    ChangeDecided,
    Prepare,
    Promise,
    SendToVoter,
    Value,
    Voter,
    has_majority,
)

Change = Callable[[Value], "Value | str"]


@dataclass(slots=True)
class _PendingChange:
    """A change that waits to be made.

    :param until_ms: when it is given up.
    """

    id: str
    intent: Any
    change: Change
    until_ms: float


@dataclass(slots=True)
class _Round:
    """One round of the proposer: promises under a ballot, and then accepts.

    :param phase_began_ms: since when its prepares, or its accepts, are under way.
    :param due_ms: when what was not answered is sent again.
    :param asked: names of the voters that were asked to promise.
    :param before: the state that the round has found; None until enough voters have promised.
    :param after: the state that voters are asked to accept; None until enough voters have promised.
    :param why: the reason for which the change is refused; "" if it is not.
    """

    ballot: Ballot
    pending: _PendingChange
    phase_began_ms: float
    due_ms: float
    resends: int = 0
    promises: dict[Voter, Promise] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)
    after: Value | None = None
    before: Value | None = None
    accepted: set[Voter] = field(default_factory=set)
    why: str = ""


RESEND_MS = 500.0  # for voters to answer, before they are asked again; doubled each time, to
MAX_RESEND_MS = 4_000.0
BACK_OFF_MS = 400.0  # full jitter, doubled with each round that was preempted, to
MAX_BACK_OFF_MS = 5_000.0
BACK_OFF_ANSWERS = 2.0  # the backoff begins with so many times the time of an answer, if that is more
MAX_PENDING = 64  # changes that wait at one proposer
MAX_DOUBLINGS = 10
VOTERS_CHANGING = "the voters are changing"  # why another change of them is refused


class Proposer:
    """The part of a replica that proposes changes, one at a time.

    :ivar name: makes its ballots its own.
    :ivar known: the newest state that is known to be decided.
    """

    def __init__(
        self,
        name: str,
        initial: Value,
        rng: random.Random,
        resend_ms: float = RESEND_MS,
        back_off_ms: float = BACK_OFF_MS,
    ) -> None:
        """Create a proposer.

        :param initial: the state that the register begins with, the same at all; its voters are asked
            first.
        """
        self._resend_ms = resend_ms
        self._back_off_ms = back_off_ms
        self._answer_ms = 0.0  # how long the voters have taken to answer lately
        self.name = name
        self.known = initial
        self._initial = initial
        self._rng = rng
        self._counter = 0  # of the highest ballot seen
        self._pending: list[_PendingChange] = []
        self._round: _Round | None = None
        self._next_round_ms = 0.0  # no round is begun before
        self._preempted_rounds = 0  # in a row

    @property
    def due_ms(self) -> float:
        """When `tick` is to be called; infinite for never."""
        if not self._pending:
            return float("inf")
        if self._round is not None:
            return self._round.due_ms
        return self._next_round_ms

    def ask(self, id: str, change: Change, now: float, for_ms: float, intent: Any = None) -> list[Action]:
        """Have the state changed.

        The outcome is a `ChangeDecided`; there is none if the change is given up: then it may still be made,
        so whoever asks again does so under the same id.

        :param id: of the change.
        :param change: given the state, returns the state after the change; the very same state if nothing has
            to change; or, as a string, why the change is refused. It may be called more than once.
        :param now: in ms.
        :param for_ms: after this time the change is given up.
        :param intent: what the voters may object to; None for nothing.
        :returns: the actions to be carried out.
        """
        if len(self._pending) < MAX_PENDING:
            self._pending.append(_PendingChange(id, intent, change, now + for_ms))
        return self.tick(now)

    def withdraw(self, id: str) -> None:
        """Give up a change without an outcome."""
        self._pending = [pending for pending in self._pending if pending.id != id]
        if self._round is not None and self._round.pending.id == id:
            self._round = None

    def tick(self, now: float) -> list[Action]:
        """Begin a round if one is due; give up the changes that have waited too long.

        :param now: in ms.
        :returns: the actions to be carried out.
        """
        self._pending = [pending for pending in self._pending if pending.until_ms > now]
        if self._round is not None and self._round.pending not in self._pending:
            self._round = None
        if not self._pending:
            return []
        if self._round is not None:
            return self._resend(self._round, now) if now >= self._round.due_ms else []
        if now < self._next_round_ms:
            return []
        self._counter += 1
        ballot = (self._counter, self.name)
        self._round = _Round(ballot, self._pending[0], now, now + self._resend_ms)
        return self._prepare(self._round, self.known.voters)

    def handle(self, message: Promise | Accepted, now: float) -> list[Action]:
        """Take a voter's answer.

        :param now: in ms.
        :returns: the actions to be carried out.
        """
        round_ = self._round
        if round_ is None or message.ballot != round_.ballot:
            return []
        if message.promised > round_.ballot:
            self._counter = max(self._counter, message.promised[0])
            self._back_off(round_, now)
            return []
        if isinstance(message, Promise):
            round_.promises[message.voter] = message
            return self._promised(round_, now) if round_.after is None else []
        round_.accepted.add(message.voter)
        return self._accepted(round_, now)

    def learn(self, value: Value) -> None:
        """Take a state that is known to be decided."""
        if value.version > self.known.version:
            self.known = value

    def _resend(self, round_: _Round, now: float) -> list[Action]:
        """Ask those again that have not answered, under the same ballot: an answer that comes late counts."""
        round_.resends += 1
        pause_ms = self._resend_ms * 2.0 ** min(round_.resends, MAX_DOUBLINGS)
        round_.due_ms = now + min(MAX_RESEND_MS, pause_ms)
        if round_.after is not None:
            accepted = {voter.name for voter in round_.accepted}
            return [action for action in self._accepts(round_) if action.to not in accepted]
        silent = sorted(round_.asked - {voter.name for voter in round_.promises})
        again = [SendToVoter(name, Prepare(round_.ballot, round_.pending.intent)) for name in silent]
        return [*again, *self._prepare(round_, self.known.voters)]

    def _back_off(self, round_: _Round, now: float) -> None:
        """Another proposer has preempted the round.

        Leave it the time that its phase takes, and a random backoff.
        """
        self._measure_answer(now - round_.phase_began_ms)
        self._round = None
        self._preempted_rounds += 1
        first_ms = max(self._back_off_ms, BACK_OFF_ANSWERS * self._answer_ms)
        back_off_ms = min(MAX_BACK_OFF_MS, first_ms * 2.0 ** min(self._preempted_rounds, MAX_DOUBLINGS))
        phase_ms = min(self._answer_ms, MAX_BACK_OFF_MS)
        self._next_round_ms = now + phase_ms + back_off_ms * self._rng.random()

    def _measure_answer(self, took_ms: float) -> None:
        self._answer_ms = max(took_ms, 0.5 * (self._answer_ms + took_ms))

    def _prepare(self, round_: _Round, voters: Iterable[Voter]) -> list[Action]:
        """Ask those of the voters to promise that were not asked yet."""
        actions: list[Action] = []
        for voter in voters:
            if voter.name not in round_.asked:
                round_.asked.add(voter.name)
                actions.append(SendToVoter(voter.name, Prepare(round_.ballot, round_.pending.intent)))
        return actions

    def _former_voters(self, value: Value) -> tuple[Voter, ...]:
        """The voters before those of a state, as long as the change of them is not known to be decided."""
        return value.former_voters if self.known.version < value.version else ()

    def _has_quorum(self, value: Value, given: Iterable[Voter]) -> bool:
        """Whether a majority of a state's voters is among these, and of those before them if they count."""
        given = set(given)
        former = self._former_voters(value)
        return has_majority(value.voters, given) and (not former or has_majority(former, given))

    def _promised(self, round_: _Round, now: float) -> list[Action]:
        """Once enough voters have promised, change the newest state that any of them has accepted."""
        newest = max(round_.promises.values(), key=lambda promise: promise.accepted)
        before = newest.value if newest.value is not None else self._initial
        # Its voters are those that count: where they are others than were asked, they are asked too.
        prepares = self._prepare(round_, (*before.voters, *before.former_voters))
        if not self._has_quorum(before, round_.promises):
            return prepares
        outcome = self._changed(round_, before)
        if outcome is None:
            return prepares
        if isinstance(outcome, str):
            # Nothing changes; but the state that was read may be held by few, and must be accepted by a
            # majority before it is reported.
            round_.why = outcome
            outcome = before
        round_.before = before
        round_.after = outcome
        self._measure_answer(now - round_.phase_began_ms)
        round_.phase_began_ms = now
        round_.due_ms = now + self._resend_ms
        round_.resends = 0
        return [*prepares, *self._accepts(round_)]

    def _changed(self, round_: _Round, before: Value) -> Value | str | None:
        """Apply the change of a round, unless voters object.

        :returns: the state after the change, or why it is refused; None if too few voters have promised to
            know whether they object.
        """
        objections = {voter: p.objection for voter, p in round_.promises.items() if p.objection}
        after: Value | str
        if has_majority(before.voters, round_.promises.keys() - objections.keys()):
            after = round_.pending.change(before)
        elif 2 * len(set(before.voters) & objections.keys()) >= len(before.voters):
            after = next(iter(objections.values()))
        else:
            return None
        if isinstance(after, str):
            return after
        change_of_voters_ended = not self._former_voters(before)
        if after.voters != before.voters:
            if not change_of_voters_ended:
                return VOTERS_CHANGING
            return replace(after, former_voters=before.voters)
        if after is not before:
            return replace(after, former_voters=() if change_of_voters_ended else before.former_voters)
        return after

    def _accepts(self, round_: _Round) -> list[SendToVoter]:
        before = round_.before
        after = round_.after
        assert before is not None and after is not None
        names = dict.fromkeys(voter.name for voter in (*before.voters, *before.former_voters, *after.voters))
        return [SendToVoter(name, Accept(round_.ballot, after)) for name in names]

    def _accepted(self, round_: _Round, now: float) -> list[Action]:
        """Once enough voters have accepted, the state is decided."""
        after = round_.after
        before = round_.before
        if after is None or before is None:
            return []
        if not (self._has_quorum(before, round_.accepted) and has_majority(after.voters, round_.accepted)):
            return []
        self._pending.remove(round_.pending)
        self._round = None
        self._preempted_rounds = 0
        self._next_round_ms = now
        self.learn(after)
        return [ChangeDecided(round_.pending.id, after, round_.why), *self.tick(now)]
