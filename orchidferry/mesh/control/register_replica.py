"""One controller's half of a shard's register: its vote, what it learns of decided states, the changes that
it proposes and the readings that it runs. Pure: events in, actions out.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Any

from orchidferry.balancing.register import (
    Acceptor,
    Done,
    Kept,
    Message,
    Promise,
    Proposer,
    Save,
    Send,
    Value,
    Voter,
)
from orchidferry.mesh.control import shard_state, value_references
from orchidferry.mesh.control.actions import Action, RequestEnded, SendMessage, SendReply, WriteRecords
from orchidferry.mesh.control.contact import LOST_CONTACT
from orchidferry.mesh.control.order_book import OrderBook
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.reading import ASK_AGAIN_S, SELF, Reading, Readings
from orchidferry.mesh.control.register_messages import pack_message, pack_voter
from orchidferry.mesh.control.value_references import ValueReferences
from orchidferry.mesh.control.write_completions import VoteSaved, WriteCompletion
from orchidferry.mesh.storage.store import Put, pack
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import (
    AcceptedState,
    AcceptedStateRequest,
    DecidedBallot,
    DecidedState,
    DecidedStateRequest,
    RegisterMessage,
    ShardBody,
)

LEARN_S = 0.15  # what was accepted and isn't known to be decided is looked at after so long
# of the register: a voter answers in a round trip and a sync
RESEND_MS = 300.0
BACK_OFF_MS = 20.0
END_S = 0.05  # a proposal is over so much later than its round is given up


class Purpose(Enum):
    """What a change of the state is proposed for."""

    CALL = "ask"  # somebody asked for it here
    READ = "read"  # a reading that the voters' answers did not settle
    ADMIT = "admit"  # a newcomer's place
    SETTLE = "settle"  # to be done with a change of voters
    OWN = "own"  # the duties


@dataclass
class Proposal:
    """A change that is proposed."""

    purpose: Purpose
    waiting: list[str]  # who is to be told
    until_s: float


class RegisterReplica:
    """One controller's half of the register of one shard. `_learned` and `_object_to` are the heir's."""

    def __init__(
        self, number: int, name: str, first: Value, kept: Kept, peers: Peers, rng: random.Random
    ) -> None:
        """`first`: the state that all founders begin with."""
        self.number = number
        self.name = name
        self.peers = peers
        self.rng = rng
        self.acceptor = Acceptor(name, kept, self._object_to)
        # A life's ballots are its own: what an earlier one began and forgot may still be on its way.
        self.life = f"{name} {rng.randrange(2**53):x}"
        self.proposer = Proposer(self.life, first, rng, RESEND_MS, BACK_OFF_MS)
        self._references = ValueReferences()
        self.founder = kept.memory == shard_state.GENESIS
        self.seen = first  # the newest decided state that others were told of
        self.clean = True  # what it keeps is on disk as it is in memory
        self.now = peers.began_s
        self.orders = OrderBook(number)
        self._out: list[Action] = []
        self._mine: deque[Any] = deque()  # messages of the register to itself
        self._proposals: dict[str, Proposal] = {}
        self._readings = Readings()
        self._accepted_s = 0.0  # since when something accepted is not known to be decided

    # What it is

    @property
    def voter(self) -> Voter:
        """Who it votes as."""
        return self.acceptor.voter

    @property
    def known(self) -> Value:
        """The newest state that is known to be decided."""
        return self.proposer.known

    @property
    def body(self) -> shard_state.Body:
        """What is in that."""
        return shard_state.body(self.known)

    @property
    def accepted_fence(self) -> int:
        """The highest fence that it has voted for."""
        value = self.acceptor.kept.value
        return max(self.body.fence, shard_state.body(value).fence if value is not None else 0)

    def in_contact(self, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller."""
        return self.peers.contact.holds(self.known.voters, self.voter, now)

    # Of the heir

    def _object_to(self, intent: Any) -> str:
        """Why this voter does not want a change; "" if it does not mind."""
        raise NotImplementedError

    def _learned(self, old: Value, new: Value) -> None:
        """A newer state was decided."""
        raise NotImplementedError

    # Out

    def _flush(self) -> list[Action]:
        while self._mine:
            self._register(self.name, self._mine.popleft(), None)
        out = self._out
        self._out = []
        return out

    def _say(self, to: str, body: ShardBody) -> None:
        self._out.append(SendMessage(to, ShardMessage(self.number, body)))

    def _reply(self, who: Any, body: ShardBody) -> None:
        self._out.append(SendReply(who, ShardMessage(self.number, body)))

    def _write(self, puts: list[Put], completion: WriteCompletion | None = None) -> None:
        self._out.append(WriteRecords(puts, completion))

    def _about(self, name: str, value: bytes | None) -> Put:
        return "about", f"{name}/{self.number}".encode(), value

    def _others(self) -> list[str]:
        """The other controllers that have to do with this shard."""
        names = dict.fromkeys([v.name for v in (*self.known.voters, *self.known.former)])
        return [*(n for n in (names | dict.fromkeys(self.peers.heard_s)) if n != self.name)]

    # Votes

    def _heard_register(self, envelope: RegisterMessage, who: Any) -> None:
        """A message of the register as another replica sent it; one that can't be resolved is lost."""
        kept = self.acceptor.kept
        message = value_references.unpack(envelope.body, kept)
        if message is None:
            refused = value_references.refusal(envelope.body, self.voter, kept)
            return self._vote_out(who, refused) if refused is not None and self.clean else None
        if isinstance(message, Promise):
            message = self._references.resolve(envelope.sender, message)
        if message is not None:
            self._register(envelope.sender, message, who)

    def _register(self, sender: str, message: Any, who: Any) -> None:
        """A message of the register, from another replica or from this one (`who` None)."""
        if hasattr(message, "promised"):
            self._act(self.proposer.handle(message, self.now * 1000.0))
        else:
            self._vote(sender, message, who)

    def _vote(self, sender: str, message: Any, who: Any) -> None:
        replies: list[Message] = []
        save = not self.clean
        for action in self.acceptor.handle(message, sender):
            if isinstance(action, Save):
                save = True
            elif isinstance(action, Send):
                replies.append(action.message)
        if not save:
            for answer in replies:
                self._vote_out(who, answer)
            return
        self.clean = False
        kept = self.acceptor.kept
        orders, puts = self.orders.puts()
        puts.append(self._about("kept", pack(shard_state.pack_kept(kept))))
        self._write(puts, VoteSaved(who, kept, replies, orders))

    def _vote_out(self, who: Any, reply: Any) -> None:
        if who is None:
            self._mine.append(reply)
        else:
            self._reply(who, RegisterMessage(self.name, pack_message(reply)))

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if action.to == self.name:
                    self._mine.append(action.message)
                else:
                    body = self._references.pack(action.to, action.message, self.acceptor.kept)
                    self._say(action.to, RegisterMessage(self.name, body))
            elif isinstance(action, Done):
                if action.value.version > self.seen.version:  # before anybody is answered
                    self._tell_decided(action.value)
                self._learn(action.value)
                self._end(action.id, action.value, action.why)

    # Decided states

    def _learn(self, value: Value) -> None:
        """A state that was decided."""
        self.proposer.learn(value)
        old = self.seen
        value = self.known
        if value.version > old.version:
            self.seen = value
            self.orders.learn(self.body)
            self._learned(old, value)

    def _tell_decided(self, value: Value) -> None:
        """Tell the others of a state: by its ballot, where they were asked to accept it."""
        kept = self.acceptor.kept
        whole = None
        for name in self._others():
            if kept.value == value and self._references.knows_ballot(name, kept.accepted):
                self._say(name, DecidedBallot(kept.accepted, value.version))
            else:
                whole = whole or self._decided_state(value)
                self._say(name, whole)

    @staticmethod
    def _decided_state(value: Value) -> DecidedState:
        return DecidedState(shard_state.pack_value(value))

    def _decided(self, who: Any, decided: DecidedBallot) -> None:
        """The state of a ballot was decided; whoever has not accepted that asks for it."""
        kept = self.acceptor.kept
        if decided.version <= self.known.version:
            return
        if decided.ballot == kept.accepted and kept.value is not None:
            self._learn(kept.value)
        else:
            self._reply(who, DecidedStateRequest(self.known.version))

    def _mind_accepted(self) -> None:
        """Look at what was accepted here and has not been known to be decided for a while."""
        now = self.now
        value = self.acceptor.kept.value
        if value is None or value.version <= self.known.version:
            self._accepted_s = 0.0
        elif not self._accepted_s:
            self._accepted_s = now
        elif now - self._accepted_s > LEARN_S * (1.0 + self.rng.random()):
            self._accepted_s = now
            self._read(SELF)

    # Changes

    def _propose(
        self,
        id: str,
        change: shard_state.Change,
        for_s: float,
        purpose: Purpose,
        waiting: list[str],
        intent: Any = None,
    ) -> None:
        if not self.founder and not self.known.version:  # it knows of no group yet
            return self._over(Proposal(purpose, waiting, self.now), None, "")
        if id not in self._proposals:
            self._proposals[id] = Proposal(purpose, waiting, self.now + for_s + END_S)
            self._act(self.proposer.ask(id, change, self.now * 1000.0, for_s * 1000.0, intent))

    def _proposes(self, purpose: Purpose) -> bool:
        return any(proposal.purpose is purpose for proposal in self._proposals.values())

    def _end(self, id: str, value: Value | None, why: str) -> None:
        proposal = self._proposals.pop(id, None)
        self.orders.waiting.pop(id, None)
        if proposal is not None:
            self._over(proposal, value, why)

    def _over(self, proposal: Proposal, value: Value | None, why: str) -> None:
        if proposal.purpose is Purpose.CALL:
            self._out += [self._ended(id, value, why) for id in proposal.waiting]
        if proposal.purpose is Purpose.READ:
            self._end_reading(proposal.waiting, value, why)

    def _ended(self, id: str, value: Value | None, why: str) -> RequestEnded:
        """Without contact nothing is confirmed, though it may be known: its caller was owed its word
        before.
        """
        return (
            RequestEnded(id, value, why)
            if self.in_contact(self.now)
            else RequestEnded(id, None, LOST_CONTACT)
        )

    def _end_calls(self) -> None:
        """Contact is lost: callers are told at once, and what only they wait for is not gone on with."""
        for id, proposal in list(self._proposals.items()):
            if proposal.purpose is Purpose.CALL:
                self._withdraw(id)
                self._out += [RequestEnded(one, None, LOST_CONTACT) for one in proposal.waiting]
            elif proposal.purpose is Purpose.READ and SELF not in proposal.waiting:
                self._withdraw(id)
                self._readings.busy = False
        self._out += [RequestEnded(id, None, LOST_CONTACT) for id in self._readings.drop_callers()]
        if self._readings.queued and not self._readings.busy:
            self._next_reading()

    def _withdraw(self, id: str) -> None:
        del self._proposals[id]
        self.orders.waiting.pop(id, None)
        self.proposer.withdraw(id)

    # Readings

    def _read(self, reader: str) -> None:
        self._readings.queued.append(reader)
        if not self._readings.busy:
            self._next_reading()

    def _next_reading(self) -> None:
        """Look at what the voters have accepted; where that settles nothing, run a round."""
        reading = self._readings.begin(self.acceptor.kept, self.now)
        if reading is not None:
            self._ask_accepted(reading)

    def _end_reading(self, readers: list[str], value: Value | None, why: str) -> None:
        self._out += [self._ended(id, value, why) for id in self._readings.answered(readers)]
        self._next_reading()

    def _ask_accepted(self, reading: Reading) -> None:
        for name in self._others():
            self._say(name, AcceptedStateRequest(reading.number, reading.kept.accepted))
        if self.clean:
            kept = self.acceptor.kept
            value = None if kept.accepted == reading.kept.accepted else kept.value
            self._take_accepted(reading, shard_state.Seen(self.voter, kept.accepted, value))

    def _tell_accepted(self, who: Any, request: AcceptedStateRequest) -> None:
        kept = self.acceptor.kept
        if self.clean:
            state = None if request.known_ballot == kept.accepted else shard_state.pack_value(kept.value)
            answer = AcceptedState(request.reading, pack_voter(self.voter), kept.accepted, state)
            self._reply(who, answer)

    def _heard_accepted(self, answer: AcceptedState) -> None:
        seen = shard_state.Seen(Voter(*answer.voter), answer.accepted, shard_state.unpack_value(answer.state))
        reading = self._readings.current
        if reading is not None and reading.number == answer.reading:
            self._take_accepted(reading, seen)

    def _take_accepted(self, reading: Reading, seen: shard_state.Seen) -> None:
        reading.hear(seen)
        value = reading.found(self.known if self.founder and not self.known.version else None)
        if value is not None:
            self._learn(value)
            self._end_reading(reading.readers, self.known, "")

    def _pass_reading_time(self) -> None:
        """Ask voters again, or run a round; give up on what waited too long."""
        now = self.now
        reading = self._readings.current
        self._out += [RequestEnded(id, None, "") for id in self._readings.expired(now)]
        if reading is None:
            return
        if reading.until_s <= now:
            self._end_reading(reading.readers, None, "")
        elif reading.again_s <= now and reading.enough(self.known.voters):
            self._readings.current = None
            id = f"read {reading.number}"
            for_s = reading.until_s - now
            self._propose(id, shard_state.read, for_s, Purpose.READ, reading.readers)
        elif reading.again_s <= now:
            reading.again_s = now + ASK_AGAIN_S
            self._ask_accepted(reading)
