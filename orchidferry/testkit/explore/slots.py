"""Exploration of all interleavings of a few voters and requesters of disruption slots, with faults.

The voters and requesters run the shipping register and slot table. Each message takes one step. Every order
of the messages that reach one recipient in one step is explored; messages to different recipients commute. A
fault loses a message, delays it until nothing else is in flight, cuts a node off for a while, or restarts a
voter with or without its disk. Each requester wants to take one member out of service: it goes out as soon as
it has a slot, comes back as another process, and returns the slot. The properties are checked on the
requesters' actions, not on the slot table.
"""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from orchidferry.balancing import proposer, register, slots
from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Acceptor,
    AcceptorState,
    ChangeDecided,
    SaveState,
    SendToVoter,
    Value,
    Voter,
)
from orchidferry.balancing.slots import (
    DisruptionBudget,
    FencingGate,
    Member,
    OutageIntent,
    ReturnIntent,
    SlotTable,
)
from orchidferry.testkit.explore import world_search
from orchidferry.testkit.explore.fleet import MidpointRandom
from orchidferry.testkit.explore.world_search import SearchResult

TRIES = 5  # requests for each step of a requester, and for each other requester that it may have to wait for
REQUEST_TIMEOUT_MS = 3_000.0  # time after which a requester tries again
OUT_MS = 1_500.0  # time for which a member is out: longer than other requesters wait between their tries
KINDS = ("lose", "late", "cut", "restart", "forget")


@dataclass
class Requester:
    """A client that takes its member out of service and back.

    :param step: `ask` (for a slot), `out`, `back` (returns the slot) or `over`
    :param token: the fencing token of its slot
    :param tries: requests in this step
    :param next_step_ms: when it tries again or takes its next step
    :param is_waiting: whether its proposer runs its request
    """

    name: str
    member: Member
    proposer: Proposer
    step: str = "ask"
    token: int = 0
    tries: int = 0
    next_step_ms: float = 0.0
    is_waiting: bool = False


@dataclass
class MessageInFlight:
    """A message in flight.

    :param late: whether it is delayed until nothing else is in flight
    """

    sender: str
    to: str
    payload: register.Message
    late: bool = False

    @property
    def recipient(self) -> tuple[str, bool]:
        """The receiving node, and whether the message is for its voter (else for its requester).

        A node's voter and requester share no state.
        """
        return self.to, isinstance(self.payload, register.Prepare | register.Accept)


@dataclass
class World:
    """Voters, requesters, and the messages between them.

    :param bound: how many members may be out at once
    :param faults: how many faults may still happen
    :param kinds: of these faults
    :param now: in ms
    :param messages: messages that are delivered in this step, and delayed ones
    :param next_messages: messages that were sent in this step
    :param disks: the state of each voter that is on disk
    :param cut_off_until_ms: when each node that is cut off is reachable again
    :param last_disk_id: the id of the newest disk
    :param out: the members that are actually out, with the fencing tokens that they used
    :param process_numbers: how often each member was replaced by another process
    :param decided: the states that were decided, by version
    :param holder_by_token: the requester that got each fencing token
    """

    acceptors: dict[str, Acceptor]
    requesters: dict[str, Requester]
    bound: int
    faults: int
    kinds: tuple[str, ...] = KINDS
    now: float = 0.0
    messages: list[MessageInFlight] = field(default_factory=list)
    next_messages: list[MessageInFlight] = field(default_factory=list)
    disks: dict[str, AcceptorState] = field(default_factory=dict)
    cut_off_until_ms: dict[str, float] = field(default_factory=dict)
    last_disk_id: int = 100
    out: dict[str, str] = field(default_factory=dict)
    process_numbers: dict[str, int] = field(default_factory=dict)
    decided: dict[int, Value] = field(default_factory=dict)
    holder_by_token: dict[int, str] = field(default_factory=dict)
    gate: FencingGate = field(default_factory=FencingGate)
    story: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def observed_process(self, member: Member) -> str:
        """Return the process that serves as a member now, as voters observe it; "" for none."""
        return "" if member.name in self.out else f"{member.name}/{self.process_numbers[member.name]}"

    @property
    def over(self) -> bool:
        """Whether all requesters are done."""
        return all(requester.step == "over" for requester in self.requesters.values())

    def actions(self) -> list[str]:
        """Return the actions that may happen next, the first without a fault."""
        found: list[str] = []
        ready = [(n, message) for n, message in enumerate(self.messages) if not message.late]
        if ready:
            to = min(message.recipient for _, message in ready)
            found = [f"deliver {n}" for n, message in ready if message.recipient == to]
            if self.faults:
                for n, message in ready:
                    if message.recipient == to:
                        found += [f"{kind} {n}" for kind in ("lose", "late") if kind in self.kinds]
        else:
            found = ["wait"]
        if self.faults:
            for name in self.acceptors:
                if name not in self.cut_off_until_ms and "cut" in self.kinds:
                    found.append(f"cut {name}")
                found += [f"{kind} {name}" for kind in ("restart", "forget") if kind in self.kinds]
        return found

    def apply(self, label: str) -> None:
        """Play one of `actions`."""
        kind, _, target = label.partition(" ")
        if kind not in ("deliver", "wait"):
            self.faults -= 1
            description = target
            if kind in ("lose", "late"):
                message = self.messages[int(target)]
                description = f"{type(message.payload).__name__} from {message.sender} to {message.to}"
            self.story.append(f"{self.now:7.0f} ms  {kind} {description}")
        match kind:
            case "deliver":
                self._deliver(self.messages.pop(int(target)))
            case "lose":
                self.messages.pop(int(target))
            case "late":
                self.messages[int(target)].late = True
            case "cut":
                self.cut_off_until_ms[target] = self.now + 2_000.0
                self.messages = [
                    message for message in self.messages if target not in (message.sender, message.to)
                ]
                self.next_messages = [
                    message for message in self.next_messages if target not in (message.sender, message.to)
                ]
            case "restart" | "forget":
                self._restart(target, kind == "forget")
            case "wait":
                self._advance_time()
        if all(message.late for message in self.messages):
            self.messages += self.next_messages
            self.next_messages = []
        self._check_properties()

    def _restart(self, name: str, forget: bool) -> None:
        """Restart a node's voter; its requester goes on, as another process could from the decided state."""
        self.last_disk_id += 1
        acceptor_state = (
            AcceptorState(self.last_disk_id)
            if forget
            else self.disks.get(name, AcceptorState(self.acceptors[name].state.disk_id))
        )
        self.acceptors[name] = Acceptor(name, acceptor_state, self.acceptors[name]._object_to)
        if forget:
            self.disks.pop(name, None)

    def _deliver(self, message: MessageInFlight) -> None:
        payload = message.payload
        if isinstance(payload, register.Prepare | register.Accept):
            if isinstance(payload, register.Prepare) and payload.intent is not None:
                self.acceptors[message.to]._object_to = self._objection(message.to)
            self._execute(message.to, self.acceptors[message.to].handle(payload, message.sender))
        else:
            self._execute(message.to, self.requesters[message.to].proposer.handle(payload, self.now))

    def _objection(self, name: str) -> Callable[[Any], str]:
        acceptor_state = self.acceptors[name].state
        table = (
            acceptor_state.value.body if acceptor_state.value is not None else INITIAL_STATE[self.bound].body
        )
        observed = {member: self.observed_process(member) for member in table.members}
        return _Objection(table, observed)

    def _execute(self, name: str, actions: list[register.Action]) -> None:
        for action in actions:
            match action:
                case SaveState():
                    self.disks[name] = action.state
                case SendToVoter():
                    if name not in self.cut_off_until_ms and action.to not in self.cut_off_until_ms:
                        self.next_messages.append(MessageInFlight(name, action.to, action.message))
                case ChangeDecided():
                    self._change_decided(self.requesters[name], action)

    def _change_decided(self, requester: Requester, outcome: ChangeDecided) -> None:
        value = outcome.value
        table = outcome.value.body
        known = self.decided.setdefault(value.version, value)
        if known != value:
            self.violations.append(f"one-state: two states of version {value.version} were decided")
        requester.is_waiting = False
        slot = table.slot(requester.member)
        if requester.step == "ask" and slot is not None and slot.id == f"{requester.name}-out":
            requester.token = slot.token
            if self.holder_by_token.setdefault(slot.token, requester.name) != requester.name:
                self.violations.append(f"tokens: {slot.token} was given to two requesters")
            if self.gate.check(requester.member, slot.token):
                return
            self.story.append(f"{self.now:7.0f} ms  {requester.name} goes out with token {slot.token}")
            self.out[requester.member.name] = str(slot.token)
            requester.step = "out"
            requester.next_step_ms = self.now + OUT_MS
        elif requester.step == "back" and not outcome.why:
            self.story.append(f"{self.now:7.0f} ms  {requester.name} returned its slot")
            requester.step = "over"
        else:
            requester.next_step_ms = self.now + 700.0

    def _take_step(self, requester: Requester) -> None:
        """Take a requester's next step."""
        if requester.step == "out":  # the member comes back as another process
            del self.out[requester.member.name]
            self.process_numbers[requester.member.name] += 1
            requester.step = "back"
            requester.tries = 0
        if requester.tries >= TRIES * max(1, len(self.requesters) - self.bound):
            requester.step = "over"
            return
        requester.tries += 1
        requester.is_waiting = True
        requester.next_step_ms = self.now + REQUEST_TIMEOUT_MS
        member = requester.member
        if requester.step == "ask":
            change: proposer.Change = _Grant(member, requester.name)
            intent: Any = OutageIntent(member)
        else:
            change = _Release(requester.token)
            intent = ReturnIntent(requester.token, member, f"{member.name}/0")
        actions = requester.proposer.ask(
            f"{requester.name}-{requester.step}", change, self.now, REQUEST_TIMEOUT_MS - 1.0, intent
        )
        self._execute(requester.name, actions)

    def _advance_time(self) -> None:
        """Release delayed messages, or advance time to the next due event if there are none."""
        if any(message.late for message in self.messages):
            for message in self.messages:
                message.late = False
            return
        times = list(self.cut_off_until_ms.values())
        for requester in self.requesters.values():
            if requester.step != "over":
                times += [requester.next_step_ms, requester.proposer.due_ms]
        self.now = max(self.now, min(times))
        self.cut_off_until_ms = {
            name: until for name, until in self.cut_off_until_ms.items() if until > self.now
        }
        for requester in self.requesters.values():
            if requester.step == "over":
                continue
            if min(requester.proposer.due_ms, requester.next_step_ms) <= self.now:
                self._execute(requester.name, requester.proposer.tick(self.now))
            if requester.next_step_ms <= self.now and not (
                requester.is_waiting and requester.proposer.due_ms < float("inf")
            ):
                self._take_step(requester)

    def _check_properties(self) -> None:
        if len(self.out) > self.bound:
            self.violations.append(f"bound: {sorted(self.out)} are out at once, but only {self.bound} may be")

    def fingerprint(self) -> bytes:
        """Return a digest of the state, with its times; worlds with equal digests have the same futures."""
        requesters = [
            (
                requester.step,
                requester.token,
                requester.tries,
                requester.next_step_ms,
                requester.is_waiting,
                requester.proposer.known,
                requester.proposer._counter,
                requester.proposer._next_round_ms,
                requester.proposer._preempted_rounds,
                requester.proposer._round,
                [w.id for w in requester.proposer._pending],
            )
            for requester in self.requesters.values()
        ]
        state = [
            self.now,
            self.faults,
            sorted(self.out.items()),
            sorted(self.cut_off_until_ms.items()),
            requesters,
            [(name, acceptor.state) for name, acceptor in self.acceptors.items()],
            sorted(self.disks.items()),
            sorted(repr(message) for message in self.messages),
            sorted(repr(message) for message in self.next_messages),
            sorted(self.process_numbers.items()),
        ]
        return hashlib.blake2b(repr(state).encode(), digest_size=16).digest()

    def finish(self) -> None:
        """Do nothing: nothing happens after the last step of the requesters."""

    def succeeded(self) -> bool:
        """Return whether every requester got a slot and returned it."""
        newest = self.decided[max(self.decided)].body if self.decided else None
        return newest is not None and not newest.slots and newest.token == len(self.requesters)


@dataclass(frozen=True)
class _Grant:
    member: Member
    name: str

    def __call__(self, value: Value) -> Value | str:
        wants = slots.grant(value.body, self.member, self.name, f"{self.name}-out", f"{self.member.name}/0")
        return slots.with_table(value, wants)


@dataclass(frozen=True)
class _Release:
    token: int

    def __call__(self, value: Value) -> Value | str:
        return slots.with_table(value, slots.release(value.body, self.token))


@dataclass(frozen=True)
class _Objection:
    table: SlotTable
    observed: dict[Member, str]

    def __call__(self, intent: Any) -> str:
        return slots.objection(self.table, intent, self.observed.__getitem__)


NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(slots.Kind.NODE, f"p{name}") for name in NAMES)
VOTERS = tuple(Voter(name, n + 1) for n, name in enumerate(NAMES))
INITIAL_STATE = {
    bound: Value(0, VOTERS, SlotTable(MEMBERS, (DisruptionBudget(slots.Kind.NODE, max_out=bound),)))
    for bound in (1, 2)
}


def begin(requesters: int = 2, faults: int = 2, bound: int = 1, kinds: tuple[str, ...] = KINDS) -> World:
    """Return a world of three voters, of which the first few want to take their members out at once."""
    acceptors = {voter.name: Acceptor(voter.name, AcceptorState(voter.disk_id)) for voter in VOTERS}
    wanting = {
        name: Requester(name, MEMBERS[n], Proposer(name, INITIAL_STATE[bound], MidpointRandom()))
        for n, name in enumerate(NAMES[:requesters])
    }
    process_numbers = {member.name: 0 for member in MEMBERS}
    return World(acceptors, wanting, bound, faults, kinds, process_numbers=process_numbers)


def search(
    requesters: int = 2,
    faults: int = 2,
    bound: int = 1,
    break_: str = "",
    limit_s: float = 600.0,
    kinds: tuple[str, ...] = KINDS,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all runs of a world; the other parameters are those of `world_search.search`.

    :param faults: how many faults may happen in a run
    :param bound: how many members may be out at once
    :param kinds: of the faults
    """
    return world_search.search(
        lambda: begin(requesters, faults, bound, kinds), broken, break_, limit_s, watch, workers
    )


def _any_majority(voters: Any, given: Any) -> bool:
    return bool(set(voters) & set(given))


def _forgets_promise(self: Acceptor, message: Any, sender: str) -> list[register.Action]:
    self.state = replace(self.state, promised=register.NO_BALLOT)
    return _handle(self, message, sender)


def _forget_keeping_disk_id(self: World, name: str, forget: bool) -> None:
    acceptor_state = self.acceptors[name].state
    acceptor_state = AcceptorState(acceptor_state.disk_id) if forget else self.disks.get(name, acceptor_state)
    self.acceptors[name] = Acceptor(name, acceptor_state, self.acceptors[name]._object_to)


def _ignore_accepted_values(self: Proposer, round_: Any, now: float) -> list[register.Action]:
    round_.promises = {
        voter: replace(p, accepted=register.NO_BALLOT, value=None) for voter, p in round_.promises.items()
    }
    return _promised(self, round_, now)


def _no_budget(table: SlotTable, out: Any, candidate: Member) -> str:
    return ""


def _release_without_return(
    table: SlotTable, member: Member, holder: str, id: str, process: str = "", out: Any = ()
) -> Any:
    """Replace `slots.grant`: slots that are in use count as returned when another one is requested."""
    return _grant(replace(table, slots=()), member, holder, id, process, out)


def _return_early(self: World, requester: Requester) -> None:
    """Replace `World._take_step`: a requester returns its slot while its member is still out."""
    if requester.step == "out":
        requester.step = "back"
        requester.tries = 0
        requester.next_step_ms = self.now
    _original_take_step(self, requester)


def _no_objection(table: SlotTable, intent: Any, seen: Any) -> str:
    return ""


def _no_tokens(
    table: SlotTable, member: Member, holder: str, id: str, process: str = "", out: Any = ()
) -> Any:
    after = _grant(table, member, holder, id, process, out)
    if isinstance(after, str) or after is table:
        return after
    slots_ = tuple(replace(slot, token=1) for slot in after.slots)
    return replace(after, slots=slots_, token=1)


def _skip_saving(self: World, name: str, actions: list[register.Action]) -> None:
    _original_execute(self, name, [action for action in actions if not isinstance(action, SaveState)])


_handle = Acceptor.handle
_promised = Proposer._promised
_grant = slots.grant
_original_take_step = World._take_step
_original_execute = World._execute
BREAKS: dict[str, tuple[str, list[tuple[Any, str, Any]]]] = {
    "no-majority": ("one voter is enough for a round", [(proposer, "has_majority", _any_majority)]),
    "promise-forgotten": ("a voter forgets its promises", [(Acceptor, "handle", _forgets_promise)]),
    "vote-forgotten": (
        "a voter that lost its disk keeps its old disk id",
        [(World, "_restart", _forget_keeping_disk_id)],
    ),
    "unsaved": ("votes are sent without being saved to disk", [(World, "_execute", _skip_saving)]),
    "not-read": (
        "a proposer ignores values that were accepted",
        [(Proposer, "_promised", _ignore_accepted_values)],
    ),
    "not-counted": ("budgets are not checked", [(slots, "exceeded_budget", _no_budget)]),
    "on-silence": (
        "a slot counts as returned without a request",
        [(slots, "grant", _release_without_return)],
    ),
    "on-a-word": (
        "a slot is returned without checking that its member is back",
        [(World, "_take_step", _return_early), (slots, "objection", _no_objection)],
    ),
    "same-token": ("fencing tokens do not increase", [(slots, "grant", _no_tokens)]),
}


@contextlib.contextmanager
def broken(name: str) -> Iterator[None]:
    """Apply one of `BREAKS` while the context lasts; "" for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in BREAKS[name][1] if name else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield
