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

from collections.abc import Callable, Iterable
from dataclasses import dataclass
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
        """Create a `Acceptor`.

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
