"""One controller's replica in the group of a shard.

The configurations that it takes, its membership of the group, and the ownership of the shard.

It does no I/O: events go in, actions come out, in the order in which they are to be carried out; clock and
randomness are handed in, and the whole replica can be copied.
"""

from __future__ import annotations

import random
from typing import Any

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import change_intents, shard_state, shard_state_codec
from orchidferry.mesh.control.actions import Action, RequestEnded, StateChanged
from orchidferry.mesh.control.contact import LOST_CONTACT, OUT_OF_CONTACT
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.membership import Standing, epoch
from orchidferry.mesh.control.order_history import Entry
from orchidferry.mesh.control.order_log import OrderLog
from orchidferry.mesh.control.order_requests import OrderRequests
from orchidferry.mesh.control.owner_lease import OwnerLease, takes_over
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.quorum_read import INTERNAL_READER
from orchidferry.mesh.control.register_reader import RegisterReader
from orchidferry.mesh.control.register_replica import Proposal, Purpose, RegisterReplica
from orchidferry.mesh.control.shard_context import ShardContext
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.state_request import StateRequest
from orchidferry.mesh.control.write_completions import OrdersSaved, RemovalSaved, VoteSaved, WriteCompletion
from orchidferry.mesh.wire.shard_messages import (
    AcceptedState,
    AcceptedStateRequest,
    DecidedBallot,
    DecidedState,
    DecidedStateRequest,
    JoinRequest,
    Orders,
    OrdersRequest,
    RegisterMessage,
    ShardBody,
)

OWNERSHIP_START_S = 0.8  # for so long after its start a controller does not ask for ownership
ADMIT_TIMEOUT_S = 1.9
CHANGE_TIMEOUT_S = 1.5  # for other changes that a replica proposes by itself
MAINTENANCE_S = 0.4  # between two looks at membership and ownership


class Replica:
    """One controller in the group of one shard.

    :ivar standing: whether it is caught up, and from whom it has learned.
    :ivar abstains_s: since when it has granted no operation keys, if it is not caught up.
    """

    def __init__(
        self,
        parameters: ShardParameters,
        state: AcceptorState,
        caught_up: bool,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """Create a `Replica`.

        :param state: what the register's acceptor keeps on disk.
        :param caught_up: whether it has all operation keys that were granted.
        :param peers: what is known of the other controllers, shared by all shards.
        :param rng: the source of all random choices.
        """
        self.context = ShardContext(parameters.number, parameters.name, peers, rng, peers.began_s)
        self.number = parameters.number
        self.name = parameters.name
        self.peers = peers
        self.size = parameters.group_size
        self.orders = OrderLog(parameters.number)
        self.register = RegisterReplica(self.context, parameters.genesis, state, self.orders, self)
        self.reader = RegisterReader(self.context, self.register)
        self.order_requests = OrderRequests(self.context, self.register, self.orders)
        self.standing = Standing(caught_up)
        self.abstains_s = peers.began_s
        self._owner_lease = OwnerLease()
        self._state_request = StateRequest()
        self._maintenance_s = 0.0  # when membership and ownership are looked at next
        self._joiners: dict[Voter, float] = {}  # since when each asks to join in this epoch

    @property
    def voter(self) -> Voter:
        """The voter that this controller is."""
        return self.register.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.register.known

    @property
    def body(self) -> shard_state.Body:
        """The body of that state."""
        return shard_state.body(self.known)

    @property
    def accepted_value(self) -> Value | None:
        """The state that this voter has accepted last; None for none."""
        return self.register.acceptor.state.value

    @property
    def accepted_fencing_token(self) -> int:
        """The highest fencing token that it has voted for."""
        accepted = self.accepted_value
        return max(
            self.body.fencing_token, shard_state.body(accepted).fencing_token if accepted is not None else 0
        )

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller's heartbeats."""
        return self.register.in_contact(now)

    def grants(self, epoch_: int) -> bool:
        """Whether this controller may grant operation keys under an epoch."""
        return self.standing.grants(epoch_, self.voter, self.known, self.accepted_value)

    def owns(self, now: float) -> int | None:
        """Tell whether this controller owns the shard now.

        :returns: the fencing token under which it does; None if it doesn't.
        """
        state = self.body
        if state.owner != self.name or self.accepted_fencing_token != state.fencing_token:
            return None
        if self.voter not in self.known.voters:
            return None
        return (
            state.fencing_token
            if self._owner_lease.holds(self.known.voters, now) and self.peers.fit
            else None
        )

    @property
    def due_s(self) -> float:
        """When `tick` is to be called at the latest, even before its turn; infinite for never."""
        due = min(self.register.proposer.due_ms / 1000.0, self.reader.due_s)
        if self.reader.reads.until_s or self.register.is_proposing(Purpose.REQUEST):
            due = min(due, self.peers.contact.until_s(self.known.voters, self.voter))
        return due

    # Events

    def load_orders(self, rows: list[tuple[int, Entry]]) -> None:
        """Load the orders on this controller's own disk, before anything else."""
        self.orders.history.load(rows)

    def request_change(self, id: str, change: shard_state.Change, for_s: float, now: float) -> list[Action]:
        """Have the state changed.

        The request ends once, with `RequestEnded`: without a value if the outcome is not known in time, or if
        contact with a majority is lost before. Out of contact nothing is begun.

        :param id: of the request.
        :param for_s: seconds for which it is tried.
        :param now: seconds on the clock of the event loop.
        """
        self.context.now = now
        if not self.in_contact(now):
            self.context.actions.append(RequestEnded(id, None, OUT_OF_CONTACT))
        elif isinstance(change, shard_state.PutConfiguration):
            self.order_requests.request(id, change, for_s)
        else:
            self.register.propose(f"ask {id}", change, for_s, Purpose.REQUEST, [id])
        return self._take_actions()

    def request_read(self, id: str, now: float) -> list[Action]:
        """Read the newest state, within `READ_TIMEOUT_S`.

        The request ends once, with `RequestEnded`: without a value if the state can't be confirmed in time.
        Out of contact it ends at once, with `OUT_OF_CONTACT`; where contact is lost under way, with
        `LOST_CONTACT`.

        :param id: of the request.
        :param now: seconds on the clock of the event loop.
        """
        self.context.now = now
        if self.in_contact(now):
            self.reader.begin_request(id)
        else:
            self.context.actions.append(RequestEnded(id, None, OUT_OF_CONTACT))
        return self._take_actions()

    def heartbeat_acknowledged(self, name: str, sent_s: float, fencing_token: int) -> None:
        """A controller has acknowledged a heartbeat of this one.

        :param sent_s: when the heartbeat was sent.
        :param fencing_token: the highest that the other controller has voted for.
        """
        self.peers.contact.acknowledge(name, sent_s)
        if fencing_token <= self.body.fencing_token:
            self._owner_lease.acknowledge(name, sent_s)

    def heartbeat_received(self, version: int, name: str) -> list[Action]:
        """A controller's heartbeat says which version it knows.

        A replica that knows an older one asks for the state, one controller at a time.
        """
        if version > self.known.version:
            others = [
                other
                for other in self.register.other_controllers()
                if other != name and self.peers.alive(other, self.context.now)
            ]
            if self._state_request.begin(name, others, self.context.now):
                self.context.send(name, DecidedStateRequest(self.known.version))
        return self._take_actions()

    def _take_actions(self) -> list[Action]:
        self.register.deliver_local_messages()
        return self.context.take_actions()

    def _pass_time(self, now: float) -> bool:
        """Do what is due.

        :returns: whether membership and ownership were looked at as well.
        """
        self.context.now = now
        if not self.in_contact(now):
            self._end_requests()
        self.register.tick()
        self.reader.tick()
        self.reader.check_undecided()
        if now < self._maintenance_s:
            return False
        self._maintenance_s = now + MAINTENANCE_S
        self._ask_to_join()
        self.order_requests.ask_for_older()
        self._end_voter_change()
        self._take_ownership()
        return True

    def _receive_from_replica(self, sender_link: Any, message: ShardBody) -> None:
        """Take a message between replicas.

        :param sender_link: takes the answer.
        :raises ValueError: and its like for a malformed message.
        """
        match message:
            case RegisterMessage():
                self.register.receive(message, sender_link)
            case DecidedState():
                value = shard_state_codec.unpack_value(message.state)
                if value is not None:
                    self.register.learn(value)
            case DecidedBallot():
                self.register.take_decided_ballot(sender_link, message)
            case DecidedStateRequest():
                self.register.give_decided_state(sender_link, message)
            case AcceptedStateRequest():
                self.reader.report_accepted(sender_link, message)
            case AcceptedState():
                self.reader.take_report(message)
            case OrdersRequest():
                self.order_requests.give_older(sender_link, message)
            case Orders():
                self.order_requests.take_older(sender_link, message)
            case JoinRequest():
                self._admit(Voter(message.name, message.memory), message.epoch, message.ready)

    def _replica_written(self, completion: WriteCompletion, ok: bool) -> None:
        """Take the result of a write of the replica itself."""
        match completion:
            case VoteSaved() if ok:
                self.register.vote_saved(completion)
            case OrdersSaved(order_numbers) if ok:
                self.orders.history.mark_saved(order_numbers)
            case RemovalSaved() if ok:
                self.standing = Standing(False)
                self.abstains_s = self.context.now
                self.context.log("put out of the group")

    # The listener of the register

    def object_to(self, intent: Any) -> str:
        """Object to a change that removes a controller which is alive, as far as this one observes."""
        return change_intents.objection(intent, self._group())

    def state_learned(self, old: Value, new: Value) -> None:
        """A newer state is known to be decided."""
        self.orders.learn(shard_state.body(new))
        self._state_request.end()
        self._owner_lease.learn(shard_state.body(old), shard_state.body(new), self.context.now)
        if epoch(new) != epoch(old):
            self._group_changed(new)
            self._maintenance_s = self.context.now  # the change is to be ended before the next loss
        self.context.actions.append(StateChanged(old, new))
        self.order_requests.end_final_orders()

    def proposal_ended(self, id: str, proposal: Proposal, value: Value | None, why: str) -> None:
        """A proposal has ended: those who wait for it are answered."""
        self.orders.waiting.pop(id, None)
        if proposal.purpose is Purpose.REQUEST:
            self.context.actions += [
                self.register.outcome(request, value, why) for request in proposal.waiting
            ]
        if proposal.purpose is Purpose.READ:
            self.reader.end(proposal.waiting, value, why)

    # Requests

    def _end_requests(self) -> None:
        """Contact is lost: requests end at once, and what only they wait for is given up."""
        for id, proposal in list(self.register.proposals.items()):
            if proposal.purpose is Purpose.REQUEST:
                self._withdraw(id)
                self.context.actions += [
                    RequestEnded(request, None, LOST_CONTACT) for request in proposal.waiting
                ]
            elif proposal.purpose is Purpose.READ and INTERNAL_READER not in proposal.waiting:
                self._withdraw(id)
                self.reader.round_withdrawn()
        self.reader.end_requests()

    def _withdraw(self, id: str) -> None:
        self.orders.waiting.pop(id, None)
        self.register.withdraw(id)

    # Membership of the group

    @property
    def ready(self) -> bool:
        """Whether it has learned what a newcomer can learn before it is admitted."""
        return True

    def _group_changed(self, value: Value) -> None:
        """The shard has another group of voters."""
        self._joiners.clear()

    def _group(self) -> GroupView:
        """The group as this controller observes it now."""
        caught_up = self.standing.caught_up
        now = self.context.now
        return GroupView(self.number, self.name, self.size, self.known, self.peers, caught_up, now)

    def _ask_to_join(self) -> None:
        """Ask to be admitted, if this controller is no voter."""
        if self.voter in self.known.voters or (self.peers.stopping and not self.standing.caught_up):
            return
        if self.standing.caught_up:  # it missed what was granted without it, and must not say otherwise
            if self.standing.is_removed(self.voter, self.known, self.accepted_value):
                self.context.write([self.context.metadata("caught", None)], RemovalSaved())
            return
        if self._group().wants_newcomer() and not self.ready:
            return
        request = JoinRequest(self.name, self.voter.disk_id, epoch(self.known), self.ready)
        for name in self.register.other_controllers():
            self.context.send(name, request)

    def _admit(self, joiner: Voter, joiner_epoch: int, ready: bool) -> None:
        """Propose to admit another controller to the group, if it is this one's turn.

        :param joiner_epoch: of the last group that the other controller knows.
        :param ready: whether it has learned what it can before it is admitted.
        """
        if self.voter not in self.known.voters:
            return
        if self.register.is_proposing(Purpose.ADMIT_VOTER):
            return
        group = self._group()
        replaced = group.replaced_by(joiner, joiner_epoch, ready)
        if replaced is None:
            return
        since_s = self._joiners.setdefault(joiner, self.context.now)
        if not group.is_turn(self._joiners, since_s):
            return
        of_whom = f", instead of {replaced}" if replaced else ""
        self.context.log(f"{joiner.name} asks for a place{of_whom}")
        intent = change_intents.replace_intent(replaced) if replaced and replaced != joiner.name else None
        change = shard_state.AdmitVoter(joiner, replaced, max(self.size, len(group.names)), joiner_epoch)
        id = f"admit {joiner.name} {joiner.disk_id} {joiner_epoch}"
        self.register.propose(id, change, ADMIT_TIMEOUT_S, Purpose.ADMIT_VOTER, [], intent)

    def _end_voter_change(self) -> None:
        """Propose to end a change of voters.

        A replica that starts anew has forgotten that the change was decided, and needs the voters before it
        too, of whom another may have lost its disk by then.
        """
        if not self.known.former_voters or self.voter not in self.known.voters or not self.standing.caught_up:
            return
        if self._group().able_voters(self._joiners)[0] == self.name:
            id = f"settle {self.known.version}"
            change = shard_state.end_voter_change
            self.register.propose(id, change, CHANGE_TIMEOUT_S, Purpose.END_VOTER_CHANGE, [])

    # Ownership

    def _take_ownership(self) -> None:
        """Propose to own the shard, if its owner is gone or unfit and this controller comes first."""
        if self.voter not in self.known.voters:
            return
        if self.context.now - self.peers.began_s < OWNERSHIP_START_S:
            return
        if not self.standing.caught_up or self.register.is_proposing(Purpose.TAKE_OWNERSHIP):
            return
        owner = self.body.owner
        fencing_token = self.body.fencing_token
        if takes_over(self._group(), owner):
            intent = change_intents.take_ownership_intent(owner) if owner and owner != self.name else None
            change = shard_state.TakeOwnership(self.name, fencing_token)
            id = f"own {fencing_token}"
            self.register.propose(id, change, CHANGE_TIMEOUT_S, Purpose.TAKE_OWNERSHIP, [], intent)
