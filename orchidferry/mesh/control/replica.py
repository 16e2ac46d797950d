"""One controller's replica in the group of a shard: the orders that it takes, its place in the group, and the
duties. Pure: events in, actions out, in the order in which they are to be done; clock and chance are handed
in, and all that it holds can be copied.
"""

from __future__ import annotations

import random
from typing import Any

from orchidferry.balancing.register import Kept, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import Action, Log, RequestEnded, StateChanged
from orchidferry.mesh.control.contact import OUT_OF_CONTACT
from orchidferry.mesh.control.duties import OwnerLease, takes_over
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.membership import Standing, epoch
from orchidferry.mesh.control.order_history import Entry, Verdict
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.reading import READING_S
from orchidferry.mesh.control.register_replica import Purpose, RegisterReplica
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.control.state_teller import StateTeller
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

SETTLE_S = 0.8  # after its start a controller does not ask for duties
ADMIT_S = 1.9
OWN_S = 1.5
JOIN_S = 0.4


class Replica(RegisterReplica):
    """One controller in the group of one shard."""

    def __init__(
        self,
        parameters: ShardParameters,
        kept: Kept,
        caught_up: bool,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """As `Shard.__init__`."""
        super().__init__(parameters.number, parameters.name, parameters.genesis, kept, peers, rng)
        self.size = parameters.group_size
        self.standing = Standing(caught_up)
        self.abstains_s = peers.began_s  # since when it has granted nothing, if it has not caught up
        self._owner_lease = OwnerLease()
        self._teller = StateTeller()
        self._join_s = 0.0
        self._joiners: dict[Voter, float] = {}  # since when each asks for a place in this epoch

    def grants(self, under: int) -> bool:
        """Whether this controller may grant keys under an epoch."""
        return self.standing.grants(under, self.voter, self.known, self.acceptor.kept.value)

    def owns(self, now: float) -> int | None:
        """The fence under which this controller does the duties of the shard now; None if it doesn't."""
        own = self.body
        if own.owner != self.name or self.accepted_fence != own.fence or self.voter not in self.known.voters:
            return None
        return own.fence if self._owner_lease.holds(self.known.voters, now) and self.peers.fit else None

    @property
    def due_s(self) -> float:
        """When `tick` is wanted before its turn; infinite for never."""
        due = min(self.proposer.due_ms / 1000.0, self._readings.due_s)
        if self._readings.until_s or self._proposes(Purpose.CALL):
            due = min(due, self.peers.contact.until_s(self.known.voters, self.voter))
        return due

    # Events

    def ask(self, id: str, change: shard_state.Change, for_s: float, now: float) -> list[Action]:
        """Have the state changed; it is `RequestEnded` once, with no value if nothing is known in time, or
        contact with a majority is lost before. Out of contact nothing is begun.
        """
        self.now = now
        if not self.in_contact(now):
            self._out.append(RequestEnded(id, None, OUT_OF_CONTACT))
        elif isinstance(change, shard_state.Put):
            self._order(id, change, for_s)
        else:
            self._propose(f"ask {id}", change, for_s, Purpose.CALL, [id])
        return self._flush()

    def read(self, id: str, now: float) -> list[Action]:
        """The newest state for sure, within `READING_S`; those that ask while a reading is out share the
        next one.
        """
        self.now = now
        if self.in_contact(now):
            self._readings.until_s[id] = now + READING_S
            self._read(id)
        else:
            self._out.append(RequestEnded(id, None, OUT_OF_CONTACT))
        return self._flush()

    def pulse(self, name: str, sent_s: float, fence: int) -> None:
        """A controller has acknowledged the beat that was sent then, and has voted for no fence above
        this.
        """
        self.peers.contact.hear(name, sent_s)
        if fence <= self.body.fence:
            self._owner_lease.acknowledge(name, sent_s)

    def catch(self, version: int, name: str) -> list[Action]:
        """Another controller's beat says what it knows: where that is more, one is asked for all of it."""
        if version > self.known.version:
            others = [n for n in self._others() if n != name and self.peers.alive(n, self.now)]
            if self._teller.asks(name, others, self.now):
                self._say(name, DecidedStateRequest(self.known.version))
        return self._flush()

    def _pass_time(self, now: float) -> bool:
        """Do what is due; whether it is also time for what is done now and then."""
        self.now = now
        if not self.in_contact(now):
            self._end_calls()
        for id, proposal in list(self._proposals.items()):
            if proposal.until_s <= now:
                self._end(id, None, "")
        self._act(self.proposer.tick(now * 1000.0))
        self._pass_reading_time()
        self._mind_accepted()
        if now < self._join_s:
            return False
        self._join_s = now + JOIN_S
        self._join()
        self._mind_orders()
        self._settle()
        self._mind_owner()
        return True

    def _take(self, who: Any, message: ShardBody) -> None:
        """A message between replicas; `ValueError` and its like for a bad one."""
        match message:
            case RegisterMessage():
                self._heard_register(message, who)
            case DecidedState():
                value = shard_state.unpack_value(message.state)
                if value is not None:
                    self._learn(value)
            case DecidedBallot():
                self._decided(who, message)
            case DecidedStateRequest():
                if message.version < self.known.version:
                    self._reply(who, self._decided_state(self.known))
            case AcceptedStateRequest():
                self._tell_accepted(who, message)
            case AcceptedState():
                self._heard_accepted(message)
            case OrdersRequest():
                self._tell_orders(who, message)
            case Orders():
                self._take_orders(who, message)
            case JoinRequest():
                self._admit(Voter(message.name, message.memory), message.epoch, message.ready)

    def _kept(self, completion: WriteCompletion, ok: bool) -> None:
        """What came of a write of the replica's own."""
        match completion:
            case VoteSaved(who, kept, replies, orders) if ok:
                self.clean = self.clean or kept is self.acceptor.kept
                self.orders.history.saved(orders)
                for reply in replies:
                    self._vote_out(who, reply)
            case OrdersSaved(orders) if ok:
                self.orders.history.saved(orders)
            case RemovalSaved() if ok:
                self.standing = Standing(False)
                self.abstains_s = self.now
                self._out.append(Log("put out of the group"))

    def _learned(self, old: Value, new: Value) -> None:
        """A newer state was decided."""
        self._teller.answered()
        self._owner_lease.learn(shard_state.body(old), shard_state.body(new), self.now)
        if epoch(new) != epoch(old):
            self._regrouped(new)
            self._join_s = self.now  # to be settled before the next loss
        self._out.append(StateChanged(old, new))
        self._end_orders()

    # Orders

    def load_orders(self, rows: list[tuple[int, Entry]]) -> None:
        """Orders from its own disk, before anything else."""
        self.orders.history.load(rows)

    def _order(self, id: str, order: shard_state.Put, for_s: float) -> None:
        """An order. What is known of it for ever is told at once; copies of it share one proposal."""
        verdict = self.orders.verdict(order, self.body)
        if self.known.version and (verdict.final or verdict is Verdict.UNKNOWN):
            self._out.append(RequestEnded(id, self.known, shard_state.WHY_NOT.get(verdict, "")))
            return
        name = self.orders.name(order)
        if name in self._proposals:
            self._proposals[name].waiting.append(id)
            return
        self.orders.waiting[name] = order
        self._propose(name, order, for_s, Purpose.CALL, [id])

    def _end_orders(self) -> None:
        """Answer the orders of which a newly learned state says for ever what became of them."""
        for name, why in self.orders.settled(self.body):
            self.proposer.withdraw(name)
            self._end(name, self.known, why)

    def _mind_orders(self) -> None:
        """Ask another replica for orders older than it knows."""
        name = self.orders.to_ask([n for n in self._others() if self.peers.alive(n, self.now)], self.now)
        if name is not None:
            self._say(name, self.orders.older_request())

    def _tell_orders(self, who: Any, request: OrdersRequest) -> None:
        page = self.orders.page(request)
        if page is not None:
            self._reply(who, page)

    def _take_orders(self, who: Any, page: Orders) -> None:
        if self.orders.take_page(page):
            numbers, puts = self.orders.puts()
            self._write(puts, OrdersSaved(numbers))
            if not self.orders.history.whole:
                self._reply(who, self.orders.older_request())

    # The group

    @property
    def ready(self) -> bool:
        """Whether it holds what a newcomer can be told before it has a place."""
        return True

    def _regrouped(self, value: Value) -> None:
        """The shard has another group."""
        self._joiners.clear()

    def _object_to(self, intent: Any) -> str:
        """Nobody who is alive as far as this controller sees is put out of the group, unless it says that it
        leaves, or out of its duties.
        """
        if not isinstance(intent, list) or len(intent) != 2:
            return ""
        what, name = intent
        alive = self.peers.alive(name, self.now) if name != self.name else True
        if what == "own":
            fit = self.peers.fit if name == self.name else name not in self.peers.unfit
            return shard_state.ALIVE if alive and fit else ""
        return shard_state.ALIVE if alive and not self._group().leaves(name) else ""

    def _join(self) -> None:
        """Ask for a place, where this controller has none."""
        if self.voter in self.known.voters or (self.peers.stopping and not self.standing.caught_up):
            return
        if self.standing.caught_up:  # it missed what was granted without it, and must not say otherwise
            if self.standing.put_out(self.voter, self.known, self.acceptor.kept.value):
                self._write([self._about("caught", None)], RemovalSaved())
            return
        if self._group().wanted() and not self.ready:
            return
        for name in self._others():
            self._say(name, JoinRequest(self.name, self.voter.memory, epoch(self.known), self.ready))

    def _group(self) -> GroupView:
        """The group as this controller sees it now."""
        return GroupView(
            self.number, self.name, self.size, self.known, self.peers, self.standing.caught_up, self.now
        )

    def _admit(self, joiner: Voter, under: int, ready: bool) -> None:
        """Another controller asks for a place in the group; `under`: the last epoch that it knows."""
        if self.voter not in self.known.voters:
            return
        if self._proposes(Purpose.ADMIT):
            return
        group = self._group()
        instead = group.place_for(joiner, under, ready)
        if instead is None:
            return
        since_s = self._joiners.setdefault(joiner, self.now)
        if not group.is_turn(self._joiners, since_s):
            return
        whose = f", instead of {instead}" if instead else ""
        self._out.append(Log(f"{joiner.name} asks for a place{whose}"))
        intent = ["replace", instead] if instead and instead != joiner.name else None
        change = shard_state.Admit(joiner, instead, max(self.size, len(group.names)), under)
        id = f"admit {joiner.name} {joiner.memory} {under}"
        self._propose(id, change, ADMIT_S, Purpose.ADMIT, [], intent)

    def _settle(self) -> None:
        """Have a change of voters done with: who starts anew has forgotten that it was decided, and needs the
        voters before it too, of whom another may have lost its disk by then."""
        if not self.known.former or self.voter not in self.known.voters or not self.standing.caught_up:
            return
        if self._group().able(self._joiners)[0] == self.name:
            id = f"settle {self.known.version}"
            self._propose(id, shard_state.settle, OWN_S, Purpose.SETTLE, [])

    # Duties

    def _mind_owner(self) -> None:
        """Take the duties of the shard where their owner is gone or can't do them, if this one comes
        first.
        """
        if self.voter not in self.known.voters or self.now - self.peers.began_s < SETTLE_S:
            return
        if not self.standing.caught_up or self._proposes(Purpose.OWN):
            return
        owner = self.body.owner
        fence = self.body.fence
        if takes_over(self._group(), owner):
            intent = ["own", owner] if owner and owner != self.name else None
            self._propose(f"own {fence}", shard_state.Own(self.name, fence), OWN_S, Purpose.OWN, [], intent)
