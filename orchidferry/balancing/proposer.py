"""The proposer of the register: makes one change at a time, in rounds of a prepare and an accept phase.

Free of I/O and of clocks: the caller passes in events and times, and carries out the actions returned.
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
    """A change that is queued or being made.

    :param id: the id of the change.
    :param intent: the purpose of the change, to which voters may object; None if they may not.
    :param change: computes the new value.
    :param until_ms: the time at which the change is abandoned.
    """

    id: str
    intent: Any
    change: Change
    until_ms: float


@dataclass(slots=True)
class _Round:
    """One round of the proposer: a prepare phase and an accept phase under one ballot.

    :param ballot: the ballot of the round.
    :param pending: the change that the round makes.
    :param phase_began_ms: the time at which the current phase began.
    :param due_ms: the time at which unanswered messages are sent again.
    :param resends: how often messages were sent again in the current phase.
    :param promises: the promises received, by voter.
    :param asked: the names of the voters that were asked to promise.
    :param after: the value that voters are asked to accept; None until enough voters have promised.
    :param before: the value that the round has found; None until enough voters have promised.
    :param accepted: the voters that have accepted.
    :param why: the reason for which the change is refused; "" if it is not refused.
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


RESEND_MS = 500.0  # wait for the voters' answers before the first resend; doubled with each further resend
MAX_RESEND_MS = 4_000.0
BACK_OFF_MS = 400.0  # upper bound of the first backoff (full jitter); doubled with each preempted round
MAX_BACK_OFF_MS = 5_000.0
BACK_OFF_ANSWERS = 2.0  # the first backoff is bounded by at least this many times the recent response time
MAX_PENDING = 64  # changes queued at one proposer
MAX_DOUBLINGS = 10
VOTERS_CHANGING = "the voters are changing"  # refusal while another change of voters is undecided


class Proposer:
    """The proposing part of a replica; makes one change at a time.

    :ivar name: the name of the replica, which makes its ballots unique.
    :ivar known: the newest value that is known to be decided.
    """

    def __init__(
        self,
        name: str,
        initial: Value,
        rng: random.Random,
        resend_ms: float = RESEND_MS,
        back_off_ms: float = BACK_OFF_MS,
        max_back_off_ms: float = MAX_BACK_OFF_MS,
        own_voter: Voter | None = None,
    ) -> None:
        """Create a proposer.

        :param name: the name of the replica.
        :param initial: the initial value of the register, the same at all replicas that know it; its voters
            are asked first.
        :param rng: the source of the random backoff.
        :param resend_ms: the wait before unanswered messages are first sent again.
        :param back_off_ms: the upper bound of the first backoff after a preempted round.
        :param max_back_off_ms: the upper bound of every backoff.
        :param own_voter: the voter of this replica, if the replica does not know the initial value. No change
            builds on `initial` then; the voter is asked too, as the value that it has accepted names the
            voters.
        """
        self._resend_ms = resend_ms
        self._back_off_ms = back_off_ms
        self._max_back_off_ms = max_back_off_ms
        self._answer_ms = 0.0  # recent response time of the voters
        self.name = name
        self.known = initial
        self._initial = initial
        self._own_voter = own_voter
        self._rng = rng
        self._counter = 0  # the counter of the highest ballot seen
        self._pending: list[_PendingChange] = []
        self._round: _Round | None = None
        self._next_round_ms = 0.0  # the earliest time of the next round
        self._preempted_rounds = 0  # consecutive rounds that were preempted

    @property
    def due_ms(self) -> float:
        """The time at which `tick` is to be called; infinite for never."""
        if not self._pending:
            return float("inf")
        if self._round is not None:
            return self._round.due_ms
        return self._next_round_ms

    def ask(self, id: str, change: Change, now: float, for_ms: float, intent: Any = None) -> list[Action]:
        """Queue a change of the value.

        The outcome is reported by a `ChangeDecided`. A change that is abandoned after `for_ms` has no outcome
        and may still be made later, so a caller that retries must use the same id.

        :param id: the id of the change.
        :param change: given the current value, returns the new value; the identical object if nothing has to
            change; or the reason for a refusal, as a string. It may be called more than once.
        :param now: the current time in ms.
        :param for_ms: the time after which the change is abandoned.
        :param intent: the purpose of the change, to which voters may object; None for nothing to object to.
        :returns: the actions to be carried out.
        """
        if len(self._pending) < MAX_PENDING:
            self._pending.append(_PendingChange(id, intent, change, now + for_ms))
        return self.tick(now)

    def withdraw(self, id: str) -> None:
        """Abandon a change; no outcome is reported."""
        self._pending = [pending for pending in self._pending if pending.id != id]
        if self._round is not None and self._round.pending.id == id:
            self._round = None

    def tick(self, now: float) -> list[Action]:
        """Start a round, or send unanswered messages again, if that is due; abandon expired changes.

        :param now: the current time in ms.
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
        return self._prepare(self._round, self._first_voters())

    def handle(self, message: Promise | Accepted, now: float) -> list[Action]:
        """Process a voter's answer.

        :param now: the current time in ms.
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
        """Take note of a value that is known to be decided."""
        if value.version > self.known.version:
            self.known = value

    def _resend(self, round_: _Round, now: float) -> list[Action]:
        """Ask the silent voters again, under the same ballot, so that late answers still count."""
        round_.resends += 1
        pause_ms = self._resend_ms * 2.0 ** min(round_.resends, MAX_DOUBLINGS)
        round_.due_ms = now + min(MAX_RESEND_MS, pause_ms)
        if round_.after is not None:
            accepted = {voter.name for voter in round_.accepted}
            return [action for action in self._accepts(round_) if action.to not in accepted]
        unanswered = sorted(round_.asked - {voter.name for voter in round_.promises})
        again = [SendToVoter(name, Prepare(round_.ballot, round_.pending.intent)) for name in unanswered]
        return [*again, *self._prepare(round_, self._first_voters())]

    def _first_voters(self) -> tuple[Voter, ...]:
        """The voters that are asked without knowing what the others have accepted."""
        if self._own_voter is None or self.known is not self._initial:
            return self.known.voters
        return (self._own_voter, *self.known.voters)

    def _back_off(self, round_: _Round, now: float) -> None:
        """End a round that another proposer has preempted.

        The next round starts after the time that the other proposer needs for a phase, plus a random backoff.
        """
        self._measure_answer(now - round_.phase_began_ms)
        self._round = None
        self._preempted_rounds += 1
        first_ms = max(self._back_off_ms, BACK_OFF_ANSWERS * self._answer_ms)
        back_off_ms = min(self._max_back_off_ms, first_ms * 2.0 ** min(self._preempted_rounds, MAX_DOUBLINGS))
        phase_ms = min(self._answer_ms, self._max_back_off_ms)
        self._next_round_ms = now + phase_ms + back_off_ms * self._rng.random()

    def _measure_answer(self, took_ms: float) -> None:
        self._answer_ms = max(took_ms, 0.5 * (self._answer_ms + took_ms))

    def _prepare(self, round_: _Round, voters: Iterable[Voter]) -> list[Action]:
        """Ask those voters to promise that this round has not asked yet."""
        actions: list[Action] = []
        for voter in voters:
            if voter.name not in round_.asked:
                round_.asked.add(voter.name)
                actions.append(SendToVoter(voter.name, Prepare(round_.ballot, round_.pending.intent)))
        return actions

    def _former_voters(self, value: Value) -> tuple[Voter, ...]:
        """The former voters of a value, while their replacement is not known to be decided."""
        return value.former_voters if self.known.version < value.version else ()

    def _has_quorum(self, value: Value, given: Iterable[Voter]) -> bool:
        """Whether majorities of a value's voters, and of its former voters if they still count, have voted.

        :param given: the voters that have promised, or that have accepted.
        """
        given = set(given)
        former = self._former_voters(value)
        return has_majority(value.voters, given) and (not former or has_majority(former, given))

    def _promised(self, round_: _Round, now: float) -> list[Action]:
        """If enough voters have promised, apply the change to the newest value that any has accepted."""
        newest = max(round_.promises.values(), key=lambda promise: promise.accepted)
        if newest.value is None and self._own_voter is not None:
            return []
        before = newest.value if newest.value is not None else self._initial
        # The voters of this value are those that count; ask the ones that were not asked before.
        prepares = self._prepare(round_, (*before.voters, *before.former_voters))
        if not self._has_quorum(before, round_.promises):
            return prepares
        outcome = self._changed(round_, before)
        if outcome is None:
            return prepares
        if isinstance(outcome, str):
            # The value does not change, but it may be held by only a few voters, and a majority must accept
            # it before it is reported.
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

        :returns: the new value, or the reason for a refusal; None if too few voters have promised to decide
            whether they object.
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
        voter_change_decided = not self._former_voters(before)
        if after.voters != before.voters:
            if not voter_change_decided:
                return VOTERS_CHANGING
            return replace(after, former_voters=before.voters)
        if after is not before:
            return replace(after, former_voters=() if voter_change_decided else before.former_voters)
        return after

    def _accepts(self, round_: _Round) -> list[SendToVoter]:
        before = round_.before
        after = round_.after
        assert before is not None and after is not None
        names = dict.fromkeys(voter.name for voter in (*before.voters, *before.former_voters, *after.voters))
        return [SendToVoter(name, Accept(round_.ballot, after)) for name in names]

    def _accepted(self, round_: _Round, now: float) -> list[Action]:
        """If enough voters have accepted, the value is decided: report it."""
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
