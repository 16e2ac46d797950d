"""One controller's replica of the consensus register of one shard.

The replica votes as an acceptor, learns decided states, and proposes changes.

It performs no I/O: it handles events and collects the resulting actions in the `ShardContext`, in the order
in which they must be carried out. A `RegisterListener` decides about objections to a change and reacts to
newly decided states.
"""

from __future__ import annotations

import math
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

RESEND_MS = 300.0  # a voter replies within one network round trip and one disk sync
BACK_OFF_MS = 20.0
MAX_BACK_OFF_MS = 1_000.0  # also where the round that preempted this one is long over
VOTE_RETRY_S = 0.25  # pause after a failed write of a vote
PROPOSAL_GRACE_S = 0.05  # from the time limit of a proposal's ballot round until the proposal itself is ended


class Purpose(Enum):
    """Why a change of the state is proposed."""

    REQUEST = "request"  # an external request at this controller
    READ = "read"  # a read for which the voters' reports did not show the decided state
    ADMIT_VOTER = "admit voter"
    END_VOTER_CHANGE = "end voter change"
    TAKE_OWNERSHIP = "take ownership"


@dataclass
class Proposal:
    """A proposed change of the state whose outcome is pending.

    :param purpose: why the change is proposed.
    :param waiting: ids of the requests that wait for the outcome.
    :param until_s: time at which the proposal is given up, in seconds on the event loop's clock.
    """

    purpose: Purpose
    waiting: list[str]
    until_s: float


class RegisterListener(Protocol):
    """Callbacks from a register replica to the component that uses it."""

    def object_to(self, intent: Any) -> str:
        """Return this voter's objection to a change, based on its own observations; "" for no objection."""

    def state_learned(self, old: Value, new: Value) -> None:
        """React to a newer state that is known to be decided."""

    def proposal_ended(self, id: str, proposal: Proposal, value: Value | None, why: str) -> None:
        """React to the end of a proposal.

        :param value: the decided state; None if the outcome was not known in time.
        :param why: the reason why the change was refused; "" if it was not.
        """


class RegisterReplica:
    """One controller's replica of one shard's register.

    :ivar incarnation: the proposer name of this process. It is unique for each process, because messages of
        a proposal that a former process of this controller began and forgot may still be in transit.
    :ivar is_founder: whether this replica knows the initial state of the register.
    :ivar learned: the newest state that the listener was notified of.
    :ivar vote_on_disk: whether the acceptor's complete in-memory state is on disk.
    :ivar proposals: the pending proposals, by id.
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

        :param initial: the initial state, which all founders share.
        :param state: the acceptor's state as loaded from disk.
        :param orders: the shard's orders; those not yet on disk are written together with the next vote.
        :param listener: is notified of decided states and of ended proposals.
        """
        self.context = context
        self.orders = orders
        self.listener = listener
        self.acceptor = Acceptor(context.name, state, listener.object_to)
        self.incarnation = f"{context.name} {context.rng.randrange(2**53):x}"
        self.is_founder = state.disk_id == shard_state.FOUNDER_DISK_ID
        self.proposer = Proposer(
            self.incarnation,
            initial,
            context.rng,
            RESEND_MS,
            BACK_OFF_MS,
            MAX_BACK_OFF_MS,
            None if self.is_founder else self.acceptor.voter,
        )
        self.references = ValueReferences()
        self.learned = initial
        self.vote_on_disk = True
        self._vote_retry_s: float | None = None  # when a vote that the disk refused is written again
        self.proposals: dict[str, Proposal] = {}
        self._local_messages: deque[Message] = deque()  # messages that this replica sent to itself

    @property
    def voter(self) -> Voter:
        """This replica's identity as a voter."""
        return self.acceptor.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.proposer.known

    @property
    def knows_group(self) -> bool:
        """Whether this replica knows a group of voters: as a founder, or from a decided or accepted state."""
        return self.is_founder or self.known.version > 0 or self.acceptor.state.value is not None

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has recently acknowledged this controller's heartbeats."""
        return self.context.peers.contact.holds(self.known.voters, self.voter, now)

    def outcome(self, request: str, value: Value | None, why: str) -> RequestEnded:
        """Return the action that answers a request.

        Out of contact with a majority no result is confirmed, even if it is known: the request should have
        been answered before contact was lost.
        """
        if not self.in_contact(self.context.now):
            return RequestEnded(request, None, LOST_CONTACT)
        return RequestEnded(request, value, why)

    def group_members(self) -> list[str]:
        """List the controllers of the group by name, also those that only the accepted state names.

        After a restart no state is known to be decided, and the known voters may all be gone.
        """
        accepted = self.acceptor.state.value
        states = [self.known] if accepted is None else [self.known, accepted]
        voters = [voter for state in states for voter in (*state.voters, *state.former_voters)]
        return list(dict.fromkeys(voter.name for voter in voters))

    def other_controllers(self) -> list[str]:
        """List the other controllers: those of the group, and all that have sent heartbeats."""
        names = dict.fromkeys([*self.group_members(), *self.context.peers.heard_s])
        return [name for name in names if name != self.context.name]

    # Voting

    def receive(self, envelope: RegisterMessage, sender_link: Any) -> None:
        """Handle a register message of another replica.

        A message that refers to a state which this replica does not have is dropped.

        :param sender_link: the link over which a reply is sent.
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
        """Handle the messages that this replica sent to itself."""
        while self._local_messages:
            self._dispatch(self.context.name, self._local_messages.popleft(), None)

    def vote_saved(self, completion: VoteSaved) -> None:
        """Send the replies of a vote that is on disk now."""
        if completion.state is self.acceptor.state:
            self.vote_on_disk = True
            self._vote_retry_s = None
        self.orders.history.mark_saved(completion.order_numbers)
        for reply in completion.replies:
            self._send_vote(completion.reply_to, reply)

    def vote_refused(self, completion: VoteSaved) -> None:
        """Write the vote again after a pause, as the disk has refused it.

        Until it is on disk, this voter answers no read, and nothing else may ever ask for its vote.
        """
        if self.vote_on_disk or completion.state is not self.acceptor.state:
            return
        if self._vote_retry_s is None:
            self.context.log("the vote can't be written; until it is, it counts for nobody")
        self._vote_retry_s = self.context.now + VOTE_RETRY_S

    def _dispatch(self, sender: str, message: Message, sender_link: Any) -> None:
        """Handle a message of another replica, or of this one if `sender_link` is None."""
        if isinstance(message, Promise | Accepted):
            self._carry_out(self.proposer.handle(message, self.context.now * 1000.0))
        else:
            self._vote(sender, message, sender_link)

    def _vote(self, sender: str, message: Prepare | Accept, sender_link: Any) -> None:
        """Have the acceptor vote; its replies are sent once its complete state is on disk."""
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
        self._save_vote(sender_link, replies)

    def _save_vote(self, sender_link: Any, replies: list[Message]) -> None:
        """Write the acceptor's complete state, and send the replies once it is on disk.

        :param sender_link: the link over which they are sent; None for messages of this replica.
        """
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
        """Carry out the proposer's actions."""
        for action in actions:
            if isinstance(action, SendToVoter):
                if action.to == self.context.name:
                    self._local_messages.append(action.message)
                else:
                    body = self.references.pack(action.to, action.message, self.acceptor.state)
                    self.context.send(action.to, RegisterMessage(self.context.name, body))
            elif isinstance(action, ChangeDecided):
                if action.value.version > self.learned.version:  # announced before any request is answered
                    self._announce(action.value)
                self.learn(action.value)
                self.end_proposal(action.id, action.value, action.why)

    # Decided states

    def learn(self, value: Value) -> None:
        """Record a state that is known to be decided; notify the listener if it is newer."""
        self.proposer.learn(value)
        old = self.learned
        value = self.known
        if value.version > old.version:
            self.learned = value
            self.listener.state_learned(old, value)

    def handle_decided_ballot(self, sender_link: Any, decided: DecidedBallot) -> None:
        """Learn that a ballot's state was decided; if this replica has not accepted it, request the state.

        :param sender_link: the link over which the state is requested.
        """
        state = self.acceptor.state
        if decided.version <= self.known.version:
            return
        if decided.ballot == state.accepted and state.value is not None:
            self.learn(state.value)
        else:
            self.context.reply(sender_link, DecidedStateRequest(self.known.version))

    def handle_decided_state_request(self, sender_link: Any, request: DecidedStateRequest) -> None:
        """Send the newest decided state to a replica that requested it and knows an older one."""
        if request.version < self.known.version:
            self.context.reply(sender_link, self._decided_state(self.known))

    def _announce(self, value: Value) -> None:
        """Announce a decided state; replicas that were asked to accept its ballot get the ballot alone."""
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
        """Propose a change, unless a proposal with the same id is pending.

        :param id: id of the proposal.
        :param change: computes the new state from the newest decided one.
        :param for_s: seconds for which the change is attempted.
        :param purpose: why the change is proposed.
        :param waiting: ids of the requests that wait for the outcome.
        :param intent: the intent to which voters may object; None if they are not asked.
        """
        now = self.context.now
        if not self.knows_group:
            self.listener.proposal_ended(id, Proposal(purpose, waiting, now), None, "")
        elif id not in self.proposals:
            self.proposals[id] = Proposal(purpose, waiting, now + for_s + PROPOSAL_GRACE_S)
            self._carry_out(self.proposer.ask(id, change, now * 1000.0, for_s * 1000.0, intent))

    def is_proposing(self, purpose: Purpose) -> bool:
        """Whether a proposal for this purpose is pending."""
        return any(proposal.purpose is purpose for proposal in self.proposals.values())

    def tick(self) -> None:
        """End the proposals that have timed out; resend and retry the others, and write a vote, if due."""
        now = self.context.now
        if self._vote_retry_s is not None and self._vote_retry_s <= now:
            self._vote_retry_s = math.inf  # until the outcome of this write is known
            self._save_vote(None, [])
        for id, proposal in list(self.proposals.items()):
            if proposal.until_s <= now:
                self.end_proposal(id, None, "")
        self._carry_out(self.proposer.tick(now * 1000.0))

    def end_proposal(self, id: str, value: Value | None, why: str) -> None:
        """End a proposal and report its outcome to the listener."""
        proposal = self.proposals.pop(id, None)
        if proposal is not None:
            self.listener.proposal_ended(id, proposal, value, why)

    def withdraw(self, id: str) -> None:
        """Stop a proposal without reporting an outcome."""
        del self.proposals[id]
        self.proposer.withdraw(id)
