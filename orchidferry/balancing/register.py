"""A replicated register: one value that a majority of voters agrees on, without a log or leader. No I/O.

The protocol is CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018), which is
Lamport's Paxos (1998) for one register. A proposer asks a majority to promise its ballot, takes the newest
value that any of these voters has accepted, applies its change to that value, and asks a majority to accept
the result. If a proposer dies in between, the next proposer finds either the value that it proposed or the
value before.

State that must be on disk before a message is sent is returned as a separate action, `SaveState`, in front of
that message, so that the caller sees that it has to save before it sends. A voter is identified by its name
and the id of its disk: a voter that has lost its disk, and the promises on it, has another id and does not
count until the set of voters is changed to include the new id. A change of voters must be accepted by a
majority of the old voters and by a majority of the new ones, so the next proposer learns of it whichever set
it knew.

A voter may object to the intent of a change on the strength of its own observations. It objects in its
promise, and the change proceeds only if more than half of the voters have promised without objecting. Voters
can't object to a proposed value: if some had accepted it and others refused it, it could neither be undone
nor built on.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

Ballot = tuple[int, str]  # a counter that only increases, and the name of the proposer
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class Voter:
    """A replica that votes for as long as its disk holds its promises.

    :param name: the name of the replica.
    :param disk_id: a random number that was drawn when the disk was first written.
    """

    name: str
    disk_id: int


@dataclass(frozen=True, slots=True)
class Value:
    """The value of the register.

    :param version: the number of changes that have led to this value.
    :param voters: the voters on the next change.
    :param body: the content of the register; immutable, compared by value.
    :param former_voters: the voters before the last change of voters, until that change is known to be
        decided.
    """

    version: int
    voters: tuple[Voter, ...]
    body: Any
    former_voters: tuple[Voter, ...] = ()


def has_majority(voters: Iterable[Voter], given: Iterable[Voter]) -> bool:
    """Whether a majority of the voters has given its vote.

    :param given: the voters that have promised, or that have accepted.
    """
    distinct = set(voters)
    return 2 * len(distinct & set(given)) > len(distinct)


@dataclass(frozen=True, slots=True)
class Prepare:
    """Asks a voter to accept no ballot below this one, and to report the value that it has accepted.

    :param ballot: the ballot to promise.
    :param intent: the purpose of the change, to which voters may object; None if there is nothing to object
        to.
    :param known_ballot: a ballot whose value the proposer already has: the voter need not send it again.
    """

    ballot: Ballot
    intent: Any = None
    known_ballot: Ballot = NO_BALLOT


@dataclass(frozen=True, slots=True)
class Promise:
    """A voter's answer to `Prepare`.

    :param ballot: the ballot of the `Prepare`.
    :param voter: the voter that answers.
    :param promised: the highest ballot that the voter has promised; if above `ballot`, this is a refusal.
    :param accepted: the ballot that the voter accepted last.
    :param value: the value of that ballot; None if it is the proposer's `known_ballot`, in which case the
        receiving side fills the value in.
    :param objection: the reason why the voter objects to the intent; "" for no objection.
    """

    ballot: Ballot
    voter: Voter
    promised: Ballot
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    objection: str = ""


@dataclass(frozen=True, slots=True)
class Accept:
    """Asks a voter to accept a value."""

    ballot: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    """A voter's answer to `Accept`.

    :param ballot: the ballot of the `Accept`.
    :param voter: the voter that answers.
    :param promised: the highest ballot that the voter has promised; if above `ballot`, the value was refused.
    """

    ballot: Ballot
    voter: Voter
    promised: Ballot


Message = Prepare | Promise | Accept | Accepted


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write this state to disk before carrying out any of the actions that follow."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class SendToVoter:
    """Send a message to a voter, which is given by name; the message may be lost."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class ChangeDecided:
    """Report the outcome of a change that was proposed here.

    :param id: the id of the change.
    :param value: the decided value; unchanged if the change was refused.
    :param why: the reason for the refusal; "" if the change was made.
    """

    id: str
    value: Value
    why: str = ""


Action = SaveState | SendToVoter | ChangeDecided


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """The state that a voter has to keep on disk.

    :param disk_id: the id of the disk, see `Voter`.
    :param promised: the highest ballot promised; lower ballots are refused.
    :param accepted: the ballot of `value`.
    :param value: the value accepted last; None if none was accepted.
    """

    disk_id: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None


def no_objection(intent: Any) -> str:
    """Objects to no intent."""
    return ""


class Acceptor:
    """The voting part of a replica.

    :ivar name: the name of the replica.
    :ivar state: its promises and the accepted value; on disk once the last `SaveState` is carried out.
    """

    def __init__(
        self, name: str, state: AcceptorState, object_to: Callable[[Any], str] = no_objection
    ) -> None:
        """Create an acceptor.

        :param name: the name of the replica.
        :param state: the state read from disk.
        :param object_to: given an intent, returns the reason why this voter objects to it; "" for no
            objection.
        """
        self.name = name
        self.state = state
        self._object_to = object_to

    @property
    def voter(self) -> Voter:
        """This acceptor as a voter."""
        return Voter(self.name, self.state.disk_id)

    def handle(self, message: Prepare | Accept, sender: str) -> list[Action]:
        """Answer a `Prepare` or an `Accept`; a refusal carries the higher ballot that was promised.

        :param sender: the name of the proposer.
        :returns: the actions to be carried out: `SaveState` if the state has changed, then the answer.
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
