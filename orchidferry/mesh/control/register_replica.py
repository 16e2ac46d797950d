"""One controller's replica of the register of one shard.

Its vote, what it learns of decided states, and the changes that it proposes.

It does no I/O: events go in, actions are collected in the `ShardContext`, in the order in which they are to
be carried out. What a vote means beyond the register (objections, and what follows from a newer state) is up
to a `RegisterListener`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    ChangeDecided,
    Message,
    Prepare,
    Promise,
    SaveState,
    SendToVoter,
    Value,
    Voter,
)
from orchidferry.balancing.register import Action as RegisterAction
from orchidferry.mesh.control import shard_state, shard_state_codec, value_references
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.contact import LOST_CONTACT
from orchidferry.mesh.control.order_log import OrderLog
from orchidferry.mesh.control.register_messages import pack_message
from orchidferry.mesh.control.shard_context import ShardContext
from orchidferry.mesh.control.value_references import ValueReferences
from orchidferry.mesh.control.write_completions import VoteSaved
from orchidferry.mesh.storage.record_format import pack
from orchidferry.mesh.wire.shard_messages import (
    DecidedBallot,
    DecidedState,
    DecidedStateRequest,
    RegisterMessage,
)

# A voter answers within a round trip and a disk sync.
RESEND_MS = 300.0
BACK_OFF_MS = 20.0
PROPOSAL_GRACE_S = 0.05  # a proposal ends this much later than its round is given up


class Purpose(Enum):
    """What a change of the state is proposed for."""

    REQUEST = "request"  # somebody asked for it here
    READ = "read"  # a read that the voters' reports did not settle
    ADMIT_VOTER = "admit voter"
    END_VOTER_CHANGE = "end voter change"
    TAKE_OWNERSHIP = "take ownership"


@dataclass
class Proposal:
    """A change of the state that is under way.

    :param waiting: ids of the requests that wait for the outcome.
    :param until_s: when it is given up.
    """

    purpose: Purpose
    waiting: list[str]
    until_s: float


class RegisterListener(Protocol):
    """What a register replica asks, and tells, whoever uses it."""

    def object_to(self, intent: Any) -> str:
        """Say why this voter objects to a change, by what it observes itself; "" if it does not."""

    def state_learned(self, old: Value, new: Value) -> None:
        """A newer state is known to be decided."""

    def proposal_ended(self, id: str, proposal: Proposal, value: Value | None, why: str) -> None:
        """A proposal has ended.

        :param value: the decided state; None if the outcome is not known in time.
        :param why: the reason for which the change was refused; "" for none.
        """


class RegisterReplica:
    """One controller's replica of one shard's register.

    :ivar incarnation: the name under which this process proposes. Proposal numbers of one process are its
        own: what an earlier one began and forgot may still be on its way.
    :ivar is_founder: whether this replica knows the state that the register began with.
    :ivar learned: the newest state that the listener was notified of.
    :ivar vote_on_disk: whether all that the acceptor keeps in memory is on disk.
    :ivar proposals: the changes that are under way, by id.
    """

    def __init__(
        self,
        context: ShardContext,
        initial: Value,
        state: AcceptorState,
        orders: OrderLog,
        listener: RegisterListener,
    ) -> None:
        """Create a `RegisterReplica`.

        :param initial: the state that all founders begin with.
        :param state: what the acceptor keeps on disk.
        :param orders: its unsaved orders are written along with each vote.
        """
        self.context = context
        self.orders = orders
        self.listener = listener
        self.acceptor = Acceptor(context.name, state, listener.object_to)
        self.incarnation = f"{context.name} {context.rng.randrange(2**53):x}"
        self.proposer = Proposer(self.incarnation, initial, context.rng, RESEND_MS, BACK_OFF_MS)
        self.references = ValueReferences()
        self.is_founder = state.disk_id == shard_state.GENESIS
        self.learned = initial
        self.vote_on_disk = True
        self.proposals: dict[str, Proposal] = {}
        self._local_messages: deque[Message] = deque()  # from this replica to itself

    @property
    def voter(self) -> Voter:
        """The voter that this replica is."""
        return self.acceptor.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.proposer.known

    @property
    def knows_group(self) -> bool:
        """Whether it knows a group of voters: as a founder, or because it has learned a state."""
        return self.is_founder or self.known.version > 0

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller's heartbeats."""
        return self.context.peers.contact.holds(self.known.voters, self.voter, now)

    def outcome(self, request: str, value: Value | None, why: str) -> RequestEnded:
        """Answer a request.

        Without contact nothing is confirmed, though it may be known: the request should have been answered
        before contact was lost.
        """
        if not self.in_contact(self.context.now):
            return RequestEnded(request, None, LOST_CONTACT)
        return RequestEnded(request, value, why)

    def other_controllers(self) -> list[str]:
        """List the other controllers that this shard concerns: its voters, and all that were heard of."""
        names = dict.fromkeys([v.name for v in (*self.known.voters, *self.known.former_voters)])
        return [
            name for name in (names | dict.fromkeys(self.context.peers.heard_s)) if name != self.context.name
        ]

    # Votes

    def receive(self, envelope: RegisterMessage, sender_link: Any) -> None:
        """Take a message of the register from another replica; one that can't be resolved is dropped.

        :param sender_link: takes the answer.
        """
        state = self.acceptor.state
        message = value_references.unpack(envelope.body, state)
        if message is None:
            refused = value_references.refusal(envelope.body, self.voter, state)
            if refused is not None and self.vote_on_disk:
                self._send_vote(sender_link, refused)
            return
        if isinstance(message, Promise):
            message = self.references.resolve(envelope.sender, message)
        if message is not None:
            self._dispatch(envelope.sender, message, sender_link)

    def deliver_local_messages(self) -> None:
        """Handle the messages that this replica has sent to itself."""
        while self._local_messages:
            self._dispatch(self.context.name, self._local_messages.popleft(), None)

    def vote_saved(self, completion: VoteSaved) -> None:
        """A vote is on disk: its replies leave."""
        self.vote_on_disk = self.vote_on_disk or completion.state is self.acceptor.state
        self.orders.history.mark_saved(completion.order_numbers)
        for reply in completion.replies:
            self._send_vote(completion.reply_to, reply)

    def _dispatch(self, sender: str, message: Message, sender_link: Any) -> None:
        """Handle a message from another replica, or from this one (`sender_link` None)."""
        if isinstance(message, Promise | Accepted):
            self._carry_out(self.proposer.handle(message, self.context.now * 1000.0))
        else:
            self._vote(sender, message, sender_link)

    def _vote(self, sender: str, message: Prepare | Accept, sender_link: Any) -> None:
        """Have the acceptor vote; replies leave once all that it keeps is on disk."""
        replies: list[Message] = []
        must_save = not self.vote_on_disk
        for action in self.acceptor.handle(message, sender):
            if isinstance(action, SaveState):
                must_save = True
            elif isinstance(action, SendToVoter):
                replies.append(action.message)
        if not must_save:
            for reply in replies:
                self._send_vote(sender_link, reply)
            return
        self.vote_on_disk = False
        state = self.acceptor.state
        order_numbers, puts = self.orders.take_unsaved()
        puts.append(self.context.metadata("kept", pack(shard_state_codec.pack_acceptor_state(state))))
        self.context.write(puts, VoteSaved(sender_link, state, replies, order_numbers))

    def _send_vote(self, sender_link: Any, reply: Message) -> None:
        if sender_link is None:
            self._local_messages.append(reply)
        else:
            self.context.reply(sender_link, RegisterMessage(self.context.name, pack_message(reply)))

    def _carry_out(self, actions: list[RegisterAction]) -> None:
        """Carry out what the proposer instructs."""
        for action in actions:
            if isinstance(action, SendToVoter):
                if action.to == self.context.name:
                    self._local_messages.append(action.message)
                else:
                    body = self.references.pack(action.to, action.message, self.acceptor.state)
                    self.context.send(action.to, RegisterMessage(self.context.name, body))
            elif isinstance(action, ChangeDecided):
                if action.value.version > self.learned.version:  # before anybody is answered
                    self._announce(action.value)
                self.learn(action.value)
                self.end_proposal(action.id, action.value, action.why)

    # Decided states

    def learn(self, value: Value) -> None:
        """Take a state that is known to be decided."""
        self.proposer.learn(value)
        old = self.learned
        value = self.known
        if value.version > old.version:
            self.learned = value
            self.listener.state_learned(old, value)

    def take_decided_ballot(self, sender_link: Any, decided: DecidedBallot) -> None:
        """The state of a ballot was decided; a replica that has not accepted that ballot asks for the state.

        :param sender_link: takes the request.
        """
        state = self.acceptor.state
        if decided.version <= self.known.version:
            return
        if decided.ballot == state.accepted and state.value is not None:
            self.learn(state.value)
        else:
            self.context.reply(sender_link, DecidedStateRequest(self.known.version))

    def give_decided_state(self, sender_link: Any, request: DecidedStateRequest) -> None:
        """Answer a replica that asks for the newest state, if it knows an older one."""
        if request.version < self.known.version:
            self.context.reply(sender_link, self._decided_state(self.known))

    def _announce(self, value: Value) -> None:
        """Announce a decided state to the others: by its ballot alone, where they were asked to accept it."""
        state = self.acceptor.state
        complete: DecidedState | None = None
        for name in self.other_controllers():
            if state.value == value and self.references.knows_ballot(name, state.accepted):
                self.context.send(name, DecidedBallot(state.accepted, value.version))
            else:
                complete = complete or self._decided_state(value)
                self.context.send(name, complete)

    @staticmethod
    def _decided_state(value: Value) -> DecidedState:
        return DecidedState(shard_state_codec.pack_value(value))

    # Proposals

    def propose(
        self,
        id: str,
        change: shard_state.Change,
        for_s: float,
        purpose: Purpose,
        waiting: list[str],
        intent: Any = None,
    ) -> None:
        """Propose a change; one that is under way under the same id is not proposed again.

        :param for_s: seconds for which it is tried.
        :param waiting: ids of the requests that wait for the outcome.
        :param intent: what the voters are asked about; None for nothing.
        """
        now = self.context.now
        if not self.knows_group:
            self.listener.proposal_ended(id, Proposal(purpose, waiting, now), None, "")
        elif id not in self.proposals:
            self.proposals[id] = Proposal(purpose, waiting, now + for_s + PROPOSAL_GRACE_S)
            self._carry_out(self.proposer.ask(id, change, now * 1000.0, for_s * 1000.0, intent))

    def is_proposing(self, purpose: Purpose) -> bool:
        """Whether a change for this purpose is under way."""
        return any(proposal.purpose is purpose for proposal in self.proposals.values())

    def tick(self) -> None:
        """Give up the proposals that have taken too long; go on with the others."""
        now = self.context.now
        for id, proposal in list(self.proposals.items()):
            if proposal.until_s <= now:
                self.end_proposal(id, None, "")
        self._carry_out(self.proposer.tick(now * 1000.0))

    def end_proposal(self, id: str, value: Value | None, why: str) -> None:
        """End a proposal, and report its outcome to the listener."""
        proposal = self.proposals.pop(id, None)
        if proposal is not None:
            self.listener.proposal_ended(id, proposal, value, why)

    def withdraw(self, id: str) -> None:
        """Stop a proposal without reporting an outcome."""
        del self.proposals[id]
        self.proposer.withdraw(id)
