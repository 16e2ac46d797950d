"""One controller's replica in the group of a shard.

It handles changes and reads of the shard's state, the controller's membership of the group, and the ownership
of the shard.

It performs no I/O: it handles events and returns actions, in the order in which they must be carried out.
Clock and randomness are passed in, and the whole replica can be copied.
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
from orchidferry.mesh.control.owner_lease import OwnerLease, should_take_over
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

OWNERSHIP_START_S = 0.8  # after its start a controller does not propose itself as the owner for this long
ADMIT_TIMEOUT_S = 1.9  # timeout of a proposal to admit a voter
CHANGE_TIMEOUT_S = 1.5  # timeout of other changes that a replica proposes by itself
MAINTENANCE_S = 0.4  # time between two checks of membership and ownership
JOIN_RETRY_S = 0.1  # time between two requests of a controller that is ready to take a silent voter's place


class Replica:
    """One controller's replica in the group of one shard.

    :ivar standing: whether this controller has caught up, and from which sources it has learned.
    :ivar abstains_since_s: time since which this controller has granted no operation keys, if it has not
        caught up; in seconds on the event loop's clock.
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

        :param parameters: fixed parameters of the shard.
        :param state: the register acceptor's state as loaded from disk.
        :param caught_up: whether this controller has all operation keys that were granted.
        :param peers: state of the other controllers as observed here, shared by all shards.
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
        self.abstains_since_s = peers.began_s
        self._owner_lease = OwnerLease()
        self._state_request = StateRequest()
        self._maintenance_s = 0.0  # time of the next check of membership and ownership
        self._join_retry_s = 0.0  # time from which a controller that awaits a place asks for it again
        self._joiners: dict[Voter, float] = {}  # time of each one's first join request in this epoch

    @property
    def voter(self) -> Voter:
        """This controller's identity as a voter."""
        return self.register.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.register.known

    @property
    def body(self) -> shard_state.Body:
        """The body of the newest state that is known to be decided."""
        return shard_state.body(self.known)

    @property
    def accepted_value(self) -> Value | None:
        """The state that this voter accepted last; None if it has accepted none."""
        return self.register.acceptor.state.value

    @property
    def accepted_fencing_token(self) -> int:
        """The highest fencing token that this voter has voted for."""
        accepted = self.accepted_value
        return max(
            self.body.fencing_token, shard_state.body(accepted).fencing_token if accepted is not None else 0
        )

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has recently acknowledged this controller's heartbeats."""
        return self.register.in_contact(now)

    def grants(self, requested_epoch: int) -> bool:
        """Whether this controller may grant operation keys under an epoch."""
        return self.standing.grants(requested_epoch, self.voter, self.known, self.accepted_value)

    def owns(self, now: float) -> int | None:
        """Return the fencing token under which this controller owns the shard; None if it does not own it."""
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
        """Latest time for the next call of `tick`, which may come before the regular one; else infinity."""
        due = min(self.register.proposer.due_ms / 1000.0, self.reader.due_s)
        if self.reader.reads.until_s or self.register.is_proposing(Purpose.REQUEST):
            due = min(due, self.peers.contact.until_s(self.known.voters, self.voter))
        return due

    # Events

    def load_orders(self, rows: list[tuple[int, Entry]]) -> None:
        """Load the orders from this controller's disk, before any event is handled."""
        self.orders.history.load(rows)

    def request_change(self, id: str, change: shard_state.Change, for_s: float, now: float) -> list[Action]:
        """Propose a change of the state.

        The request ends exactly once, with `RequestEnded`; that has no value if the outcome is not known in
        time, or if contact with a majority is lost before. Out of contact nothing is proposed.

        :param id: id of the request.
        :param change: the change to propose.
        :param for_s: seconds for which the change is attempted.
        :param now: current time, in seconds on the event loop's clock.
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

        The request ends exactly once, with `RequestEnded`; that has no value if the state can't be confirmed
        in time. Out of contact the request ends immediately, with `OUT_OF_CONTACT`; if contact is lost during
        the read, it ends with `LOST_CONTACT`.

        :param id: id of the request.
        :param now: current time, in seconds on the event loop's clock.
        """
        self.context.now = now
        if self.in_contact(now):
            self.reader.begin_request(id)
        else:
            self.context.actions.append(RequestEnded(id, None, OUT_OF_CONTACT))
        return self._take_actions()

    def heartbeat_acknowledged(self, name: str, sent_s: float, fencing_token: int) -> None:
        """Handle another controller's acknowledgement of a heartbeat that this controller sent.

        :param name: name of the other controller.
        :param sent_s: time at which the heartbeat was sent, in seconds on the event loop's clock.
        :param fencing_token: the highest fencing token that the other controller has voted for.
        """
        self.peers.contact.acknowledge(name, sent_s)
        if fencing_token <= self.body.fencing_token:
            self._owner_lease.acknowledge(name, sent_s)

    def heartbeat_received(self, version: int, name: str) -> list[Action]:
        """Handle another controller's heartbeat, which reports the newest state version that it knows.

        If this replica knows only an older version, it requests the state, from one controller at a time.

        :param version: the version that the other controller knows.
        :param name: name of the other controller.
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
        """Perform the work that is due.

        :returns: whether membership and ownership were checked as well.
        """
        self.context.now = now
        if not self.in_contact(now):
            self._end_requests()
        self.register.tick()
        self.reader.tick()
        self.reader.check_undecided()
        if now >= self._join_retry_s and self._awaits_place():
            self._join_retry_s = now + JOIN_RETRY_S
            self._ask_to_join()
        if now < self._maintenance_s:
            return False
        self._maintenance_s = now + MAINTENANCE_S
        self._ask_to_join()
        self.order_requests.ask_for_older()
        self._end_voter_change()
        self._take_ownership()
        return True

    def _receive_from_replica(self, sender_link: Any, message: ShardBody) -> None:
        """Handle a message of another replica.

        :param sender_link: the link over which a reply is sent.
        :raises ValueError: for a malformed message; also TypeError, KeyError or IndexError.
        """
        match message:
            case RegisterMessage():
                self.register.receive(message, sender_link)
            case DecidedState():
                value = shard_state_codec.unpack_value(message.state)
                if value is not None:
                    self.register.learn(value)
            case DecidedBallot():
                self.register.handle_decided_ballot(sender_link, message)
            case DecidedStateRequest():
                self.register.handle_decided_state_request(sender_link, message)
            case AcceptedStateRequest():
                self.reader.report_accepted(sender_link, message)
            case AcceptedState():
                self.reader.handle_report(message)
            case OrdersRequest():
                self.order_requests.give_older(sender_link, message)
            case Orders():
                self.order_requests.take_older(sender_link, message)
            case JoinRequest():
                self._admit(Voter(message.name, message.memory), message.epoch, message.ready)

    def _replica_written(self, completion: WriteCompletion, ok: bool) -> None:
        """Handle the result of a write that concerns the register or the membership."""
        match completion:
            case VoteSaved() if ok:
                self.register.vote_saved(completion)
            case VoteSaved():
                self.register.vote_refused(completion)
            case OrdersSaved(order_numbers) if ok:
                self.orders.history.mark_saved(order_numbers)
            case RemovalSaved() if ok:
                self.standing = Standing(False)
                self.abstains_since_s = self.context.now
                self.context.log("removed from the group")

    # Callbacks of the register (`RegisterListener`)

    def object_to(self, intent: Any) -> str:
        """Object to a change that removes a controller which this one observes to be alive."""
        return change_intents.objection(intent, self._group())

    def state_learned(self, old: Value, new: Value) -> None:
        """React to a newer state that is known to be decided."""
        self.orders.learn(shard_state.body(new))
        self._state_request.end()
        self._owner_lease.learn(shard_state.body(old), shard_state.body(new), self.context.now)
        if epoch(new) != epoch(old):
            self._group_changed(new)
            self._maintenance_s = self.context.now  # to end the voter change before another disk can be lost
        self.context.actions.append(StateChanged(old, new))
        self.order_requests.end_final_orders()

    def proposal_ended(self, id: str, proposal: Proposal, value: Value | None, why: str) -> None:
        """Answer the requests that wait for a proposal which has ended."""
        self.orders.waiting.pop(id, None)
        if proposal.purpose is Purpose.REQUEST:
            self.context.actions += [
                self.register.outcome(request, value, why) for request in proposal.waiting
            ]
        if proposal.purpose is Purpose.READ:
            self.reader.end(proposal.waiting, value, why)

    # Requests

    def _end_requests(self) -> None:
        """End all requests because contact is lost, and withdraw proposals that only they wait for."""
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
        """Whether this controller has learned all that it can learn before it is admitted to the group."""
        return True

    def _group_changed(self, value: Value) -> None:
        """React to a change of the group's voters."""
        self._joiners.clear()

    def _group(self) -> GroupView:
        """Return the group as this controller currently observes it."""
        caught_up = self.standing.caught_up
        now = self.context.now
        return GroupView(self.number, self.name, self.size, self.known, self.peers, caught_up, now)

    def _awaits_place(self) -> bool:
        """Whether this controller takes a voter's place as soon as the others find that voter dead."""
        return self._group().should_prepare_to_join() and self.ready

    def _ask_to_join(self) -> None:
        """Ask to be admitted to the group, if this controller is not a voter."""
        if self.voter in self.known.voters or (self.peers.stopping and not self.standing.caught_up):
            return
        if self.standing.caught_up:  # outdated after a removal: keys were granted without this controller
            if self.standing.is_removed(self.voter, self.known, self.accepted_value):
                self.context.write([self.context.metadata("caught", None)], RemovalSaved())
            return
        if self._group().should_prepare_to_join() and not self.ready:
            return
        request = JoinRequest(self.name, self.voter.disk_id, epoch(self.known), self.ready)
        for name in self.register.other_controllers():
            self.context.send(name, request)

    def _admit(self, joiner: Voter, joiner_epoch: int, ready: bool) -> None:
        """Propose to admit another controller to the group, if this voter is the one to propose it.

        :param joiner: the joining controller's identity as a voter.
        :param joiner_epoch: epoch of the newest group that the joining controller knows.
        :param ready: whether the joining controller has learned all that it can before it is admitted.
        """
        if self.voter not in self.known.voters:
            return
        if self.register.is_proposing(Purpose.ADMIT_VOTER):
            return
        group = self._group()
        replaced = group.voter_replaced_by(joiner, joiner_epoch, ready)
        if replaced is None:
            return
        since_s = self._joiners.setdefault(joiner, self.context.now)
        if not group.is_turn(self._joiners, since_s):
            return
        replacement = f", instead of {replaced}" if replaced else ""
        self.context.log(f"{joiner.name} asks for a place{replacement}")
        intent = change_intents.replace_intent(replaced) if replaced and replaced != joiner.name else None
        change = shard_state.AdmitVoter(joiner, replaced, max(self.size, len(group.names)), joiner_epoch)
        id = f"admit {joiner.name} {joiner.disk_id} {joiner_epoch}"
        self.register.propose(id, change, ADMIT_TIMEOUT_S, Purpose.ADMIT_VOTER, [], intent)

    def _end_voter_change(self) -> None:
        """Propose to end a change of voters, so that the former voters no longer count.

        Otherwise a replica that restarts, which has forgotten that the change was decided, also needs a
        majority of the former voters, and another of them may have lost its disk by then.
        """
        if not self.known.former_voters or self.voter not in self.known.voters or not self.standing.caught_up:
            return
        if self._group().able_voters(self._joiners)[0] == self.name:
            id = f"settle {self.known.version}"
            change = shard_state.end_voter_change
            self.register.propose(id, change, CHANGE_TIMEOUT_S, Purpose.END_VOTER_CHANGE, [])

    # Ownership

    def _take_ownership(self) -> None:
        """Propose this controller as the owner, if the owner is dead or unfit and this one ranks first."""
        if self.voter not in self.known.voters:
            return
        if self.context.now - self.peers.began_s < OWNERSHIP_START_S:
            return
        if not self.standing.caught_up or self.register.is_proposing(Purpose.TAKE_OWNERSHIP):
            return
        owner = self.body.owner
        fencing_token = self.body.fencing_token
        if should_take_over(self._group(), owner):
            intent = change_intents.take_ownership_intent(owner) if owner and owner != self.name else None
            change = shard_state.TakeOwnership(self.name, fencing_token)
            id = f"own {fencing_token}"
            self.register.propose(id, change, CHANGE_TIMEOUT_S, Purpose.TAKE_OWNERSHIP, [], intent)
