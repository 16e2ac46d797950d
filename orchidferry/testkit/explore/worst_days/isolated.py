"""A controller that is partitioned from the others neither acknowledges changes nor returns stale state.

Operators call one controller after another, as the operators' guide prescribes: they go on to the next one
after an indefinite answer, and after one second without an answer. Calls to a frozen process wait in its
buffers.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.actions import Action, RequestEnded
from orchidferry.mesh.control.contact import CONTACT_S, Contact
from orchidferry.mesh.control.register_replica import Purpose
from orchidferry.mesh.control.replica import Replica
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.storage.record_format import unpack
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.explore.mesh import Break, MeshWorld, Scene
from orchidferry.testkit.explore.mesh_actors import MessageInFlight
from orchidferry.testkit.explore.mesh_breaks import deliberate_break
from orchidferry.testkit.explore.worst_days.scene_setup import SceneSetup

SILENCE_S = 1.0  # time without an answer after which an operator calls another controller
PROMPT_S = 0.05  # time limit for answering a call once the controller has lost contact
PAUSE_S = 0.1  # pause before an operator's next call after an indefinite answer
MAX_TRIES = 12  # calls after which an operator gives up
REFUSALS = (shard_state.OTHER_VERSION, shard_state.OLD_VERSION)


@dataclass(frozen=True)
class IsolatedScene(Scene):
    """A scene with operators.

    :param operators: for each one its name, `put` or `read`, a revision, and the controllers that it calls in
        turn; the script's `call NAME` starts its first call
    """

    operators: tuple[tuple[str, str, int, str], ...] = ()


@dataclass
class Operator:
    """An operator with one order or one read.

    :param action: `put` or `read`
    :param revision: of its order
    :param route: the controllers that it calls, in turn
    :ivar tries: its calls so far
    :ivar outcome: `confirmed`, `refused`, `read` or `gave up`; "" before that
    :ivar next_s: when it makes its next call; infinite before its first call is started
    """

    name: str
    action: str
    revision: int
    route: str
    tries: int = 0
    outcome: str = ""
    next_s: float = float("inf")

    def change(self) -> shard_state.PutConfiguration:
        """Return its order, the same in every call."""
        digest = self.name.encode()
        return shard_state.PutConfiguration(digest, self.revision, digest, 0)


@dataclass
class Call:
    """A call of an operator to a controller.

    :param operator: the operator's name
    :param at: the controller's name
    :param made_s: when the call was made
    :param acknowledged_before: the highest revision that was acknowledged to any operator before the call
    :ivar arrived_s: when the controller's process handled it; infinite before that
    """

    id: str
    operator: str
    at: str
    made_s: float
    acknowledged_before: int
    arrived_s: float = float("inf")


@dataclass
class Observations:
    """Observations from outside the controllers.

    :ivar sent: when each heartbeat was sent, by sender and number
    :ivar acknowledged: when the newest acknowledged heartbeat was sent, by its sender and its receiver
    :ivar refused: number and digest of orders that were refused
    :ivar thawed: when each process was last unfrozen
    """

    sent: dict[tuple[str, int], float] = field(default_factory=dict)
    acknowledged: dict[str, dict[str, float]] = field(default_factory=dict)
    refused: set[tuple[int, bytes]] = field(default_factory=set)
    thawed: dict[str, float] = field(default_factory=dict)


class IsolatedWorld(MeshWorld):
    """A world of operators and controllers that lose contact with each other."""

    scene: IsolatedScene

    def __init__(self, scene: IsolatedScene, faults: int, kinds: tuple[str, ...]) -> None:
        self.operators = {one[0]: Operator(*one) for one in scene.operators}
        self.calls: dict[str, Call] = {}
        self.observed = Observations()
        super().__init__(scene, faults, kinds)

    @property
    def over(self) -> bool:
        """Whether the scene is over, all operators are done, and all calls that arrived are answered."""
        done = all(operator.outcome for operator in self.operators.values())
        # Calls that have not arrived were lost.
        unanswered = any(call.arrived_s < float("inf") for call in self.calls.values())
        return super().over and done and not unanswered

    def succeeded(self) -> bool:
        """Return whether the run ended as in a run without faults."""
        return all(
            operator.outcome in ("confirmed", "refused", "read") for operator in self.operators.values()
        )

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""
        observed = (
            sorted(map(repr, self.operators.values())),
            sorted(map(repr, self.calls.values())),
            sorted(self.observed.sent.items()),
            sorted(self.observed.refused),
            sorted(self.observed.thawed.items()),
            [(name, sorted(times.items())) for name, times in sorted(self.observed.acknowledged.items())],
        )
        return hashlib.blake2b(super().fingerprint() + repr(observed).encode(), digest_size=16).digest()

    # Operators

    def _apply_fault(self, kind: str, target: list[str]) -> None:
        if kind == "call":
            self.operators[target[0]].next_s = self.now
        else:
            super()._apply_fault(kind, target)

    def stop_process(self, name: str, for_s: float) -> None:
        """Stop a controller's process; the operators see their calls to it fail."""
        super().stop_process(name, for_s)
        for call in [one for one in self.calls.values() if one.at == name]:
            del self.calls[call.id]
            self._indefinite_answer(self.operators[call.operator], call)

    def _run_clients(self) -> None:
        super()._run_clients()
        for operator in self.operators.values():
            if not operator.outcome and self.now >= operator.next_s - 1e-6:
                self._call(operator)

    def _call(self, operator: Operator) -> None:
        at = operator.route[operator.tries % len(operator.route)]
        operator.tries += 1
        if operator.tries > MAX_TRIES:
            operator.outcome = "gave up"
        elif not self.controllers[at].alive:
            operator.next_s = self.now + PAUSE_S
        else:
            operator.next_s = self.now + SILENCE_S
            id = f"{operator.name}{operator.tries}"
            self.calls[id] = Call(id, operator.name, at, self.now, self.newest_acknowledged)
            self.log(f"{operator.name} calls {at}")
            self.next_messages.append(MessageInFlight("operator", at, "call", (id,)))

    def _deliver(self, message: MessageInFlight) -> None:
        if message.method != "call":
            return super()._deliver(message)
        self.last_receiver = message.to
        call = self.calls[message.arguments[0]]
        call.arrived_s = self.now
        operator = self.operators[call.operator]
        shard = self.controllers[call.at].shard
        if operator.action == "read":
            actions = shard.request_read(call.id, self.now)
        else:
            actions = shard.request_change(call.id, operator.change(), 4.0, self.now)
        self.controllers[call.at].execute(actions)
        return None

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Handle the end of a client's request at a controller."""
        call = self.calls.pop(end.id, None)
        if call is None:
            return None
        operator = self.operators[call.operator]
        if end.value is None:
            return self._indefinite_answer(operator, call)
        self._record_decided(end.value)
        if self.now - self._contact_s(name) > CONTACT_S + 1e-6:
            self.report_violation(
                f"contact: {name} serves {operator.name}, but its last contact was {self._ago(name)} ago"
            )
        if operator.action == "read":
            found = shard_state.body(end.value).revision
            self.log(f"{operator.name} reads {found} at {name}")
            if found < call.acknowledged_before:
                self.report_violation(
                    f"older: {call.acknowledged_before} was acknowledged before {operator.name} read {found}"
                )
            operator.outcome = operator.outcome or "read"
        elif end.why:
            self.log(f"{operator.name} is refused at {name}: {end.why}")
            self._refused(operator)
        else:
            self.log(f"{operator.name} is confirmed at {name}")
            self._confirmed(operator)
        return None

    def _indefinite_answer(self, operator: Operator, call: Call) -> None:
        """Handle an indefinite answer: the operator calls the next controller, unless it already has."""
        self.log(f"{operator.name} gets no definite answer from {call.at}")
        if not operator.outcome and call.id == f"{operator.name}{operator.tries}":
            operator.next_s = self.now + PAUSE_S

    def _confirmed(self, operator: Operator) -> None:
        change = operator.change()
        order = (change.revision, change.digest)
        if self.acknowledged_by_base.setdefault(0, operator.name) != operator.name:
            self.report_violation("two-puts: two changes based on one version were acknowledged")
        voters = {voter.name for voter in self.newest_state.voters}
        holders = [name for name in voters if order in self._stored_orders(name)]
        if 2 * len(holders) <= len(voters):
            self.report_violation(
                f"undecided: {operator.name} is confirmed, but only {holders} have its order on disk"
            )
        self.newest_acknowledged = max(self.newest_acknowledged, operator.revision)
        operator.outcome = operator.outcome or "confirmed"

    def _refused(self, operator: Operator) -> None:
        change = operator.change()
        self.observed.refused.add((change.revision, change.digest))
        operator.outcome = operator.outcome or "refused"
        for value in self.decided_states.values():
            self._check_refused(value)

    def _check_refused(self, value: Any) -> None:
        for order in self.observed.refused.intersection(shard_state.body(value).orders):
            self.report_violation(f"refused: order {order[0]} is committed, but was refused")

    def _record_decided(self, value: Any) -> None:
        super()._record_decided(value)
        self._check_refused(value)

    def _stored_orders(self, name: str) -> tuple[tuple[int, bytes], ...]:
        packed = self.controllers[name].disk.get(("about", f"kept/{self.number}".encode()))
        acceptor_state = (
            shard_state_codec.unpack_acceptor_state(unpack(packed)) if packed is not None else None
        )
        return (
            shard_state.body(acceptor_state.value).orders
            if acceptor_state is not None and acceptor_state.value is not None
            else ()
        )

    # Contact, as observed from outside the controllers

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message, and record heartbeats and their acknowledgements."""
        if kind == ControllerCall.HEARTBEAT:
            self.observed.sent[sender, message[1]] = self.now
            old = [key for key, when in self.observed.sent.items() if when < self.now - 10.0]
            for key in old:
                del self.observed.sent[key]
        elif kind == ControllerCall.HEARTBEAT_ACK and self._reaches(sender, to):
            when = self.observed.sent.get((to, message[1]), float("-inf"))
            times = self.observed.acknowledged.setdefault(to, {})
            times[sender] = max(when, times.get(sender, when))
        super().send(sender, to, kind, *message)

    def _contact_s(self, name: str) -> float:
        """Return when the newest heartbeat was sent that a majority acknowledged."""
        times = self.observed.acknowledged.get(name, {})
        voters = self.controllers[name].shard.known.voters
        newest = sorted((times.get(v.name, float("-inf")) for v in voters if v.name != name), reverse=True)
        return newest[len(voters) // 2 - 1] if len(voters) > 1 else self.now

    def _ago(self, name: str) -> str:
        return f"{(self.now - self._contact_s(name)) * 1e3:.0f} ms"

    def _advance_time(self) -> None:
        frozen = set(self.frozen_until)
        before = self.now
        super()._advance_time()
        self.observed.thawed |= dict.fromkeys(frozen - set(self.frozen_until), self.now)
        if before > self.began_s:
            self._check_answers_without_contact()

    def _check_answers_without_contact(self) -> None:
        """Check that controllers without contact answer calls promptly."""
        for call in self.calls.values():
            if call.at in self.frozen_until or call.arrived_s == float("inf"):
                continue
            lost_s = self._contact_s(call.at) + CONTACT_S
            since_s = max(lost_s, call.arrived_s, self.observed.thawed.get(call.at, lost_s))
            if self.now - since_s > PROMPT_S + 1e-6:
                self.report_violation(
                    f"silent: {call.at} has no contact and has not answered {call.operator}"
                )


def _scene(description: str, fault_duration_s: float, operators: str, script: str, **more: Any) -> SceneSetup:
    """Return a scene with operators.

    :param operators: `NAME ACTION REVISION ROUTE` for each operator, separated by commas
    :param script: `SECONDS EVENT` for each event, separated by commas
    """
    calls = [one.split() for one in operators.split(",")]
    steps = [one.split(maxsplit=1) for one in script.split(",")]
    scene = IsolatedScene(
        "worst-days",
        description,
        fault_duration_s,
        operators=tuple((name, action, int(revision), route) for name, action, revision, route in calls),
        script=tuple((float(at), event) for at, event in steps),
        **more,
    )
    return SceneSetup(scene, IsolatedWorld)


TWO_ORDERS = "p put 2 ab, q put 3 bc, r read 0 ac"
CUT_FIVE = ", ".join(f"0.1 cut {one} {other}" for one in "ab" for other in "cde")

SCENES: dict[str, SceneSetup] = {
    "isolated": _scene(
        "a controller is cut off for 20 s; it and others get orders and reads before and during that",
        20.0,
        TWO_ORDERS + ", s read 0 ab",
        "0.0 call p, 0.01 cut a, 0.4 call q, 3.0 call r, 12.0 call s",
        min_duration_s=21.6,
        kinds=("kill", "lose"),
    ),
    "isolated-briefly": _scene(
        "the same for 2 s, with faults",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.01 cut a, 0.4 call q, 0.7 call r",
        min_duration_s=2.4,
        kinds=("lose", "kill"),
    ),
    "isolated-at-once": _scene(
        "a controller is cut off at any moment of an order's rounds",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 call r, 1.4 call q",
        min_duration_s=2.8,
        kinds=("cut", "oneway", "beat"),
    ),
    "isolated-unheard": _scene(
        "no other controller hears one that hears all others",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 oneway a b, 0.0 oneway a c, 0.6 call r, 1.6 call q",
        min_duration_s=2.4,
        kinds=("lose", "cut"),
    ),
    "isolated-deaf": _scene(
        "a controller hears no other, and all others hear it",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 oneway b a, 0.0 oneway c a, 0.6 call r, 1.6 call q",
        min_duration_s=2.4,
        kinds=("lose", "cut"),
    ),
    "frozen": _scene(
        "a controller is frozen for 5 s during an order, and then handles buffered calls and replies",
        5.0,
        "p put 2 ab, q put 3 bc, r read 0 a",
        "0.0 call p, 0.0 freeze a, 4.5 call r, 4.5 call q",
        min_duration_s=5.4,
        kinds=("lose", "cut"),
    ),
    "frozen-briefly": _scene(
        "the same for 2 s, with faults",
        2.0,
        "p put 2 ab, q put 3 bc, r read 0 a",
        "0.0 call p, 0.0 freeze a, 1.5 call r, 1.5 call q",
        min_duration_s=2.4,
        kinds=("lose", "cut"),
    ),
    "halves": _scene(
        "five replicas, of which two are partitioned from the other three",
        2.0,
        "p put 2 ac, q put 3 cd, r read 0 bd",
        f"0.0 call p, {CUT_FIVE}, 0.4 call q, 1.6 call r",
        min_duration_s=2.4,
        group_size=5,
        kinds=("lose",),
    ),
}


def _always_in_contact(self: Contact, *_: Any) -> bool:
    return True


def _contact_from_arrival(self: Controller, sender: str, number: int, fence: int) -> None:
    self.shard.heartbeat_acknowledged(sender, self.world.now, fence)


def _keeps_waiting(self: Replica) -> None:
    """Leave the pending requests without an answer."""


def _any_one(self: Contact, voters: Any, own: Any) -> float:
    return max((self.acknowledged.get(v.name, float("-inf")) for v in voters), default=float("-inf"))


def _local_read(self: Shard, id: str, now: float) -> list[Action]:
    """Answer a read after checking contact, without a quorum read."""
    return [RequestEnded(id, self.known if self.in_contact(now) else None, "")]


def _confirms_early(self: Shard, id: str, *args: Any) -> list[Action]:
    """Acknowledge a change after checking contact, without a majority's votes."""
    change: shard_state.Change = args[0]
    actions = _request_change(self, id, *args)
    after = change(self.known)
    if isinstance(after, str) or not self.in_contact(self.context.now):
        return actions
    return [*actions, RequestEnded(id, after, "")]


def _report_as_refused(self: Replica) -> None:
    """Report pending requests as refused when contact is lost, while their proposals go on."""
    for proposal in self.register.proposals.values():
        if proposal.purpose is Purpose.REQUEST:
            self.context.actions += [
                RequestEnded(one, self.known, shard_state.OTHER_VERSION) for one in proposal.waiting
            ]
            proposal.waiting = []


_request_change = Shard.request_change


BREAKS: dict[str, Break] = {
    "serves-without-contact": deliberate_break(
        "contact is not checked", "isolated", (Contact, "holds", _always_in_contact)
    ),
    "contact-from-arrival": deliberate_break(
        "contact is counted from the arrival of an acknowledgement",
        "frozen",
        (Controller, "receive_heartbeat_ack", _contact_from_arrival),
    ),
    "silent-wait": deliberate_break(
        "pending requests are not answered when contact is lost",
        "isolated",
        (Replica, "_end_requests", _keeps_waiting),
    ),
    "contact-with-one": deliberate_break(
        "one other controller is enough for contact", "halves", (Contact, "since_s", _any_one)
    ),
    "reads-by-contact": deliberate_break(
        "a read is answered after a check of contact alone",
        "isolated-briefly",
        (Shard, "request_read", _local_read),
    ),
    "confirms-by-contact": deliberate_break(
        "an order is confirmed after a check of contact alone",
        "isolated-briefly",
        (Shard, "request_change", _confirms_early),
    ),
    "unclear-as-refused": deliberate_break(
        "an indefinite outcome is reported as refused",
        "isolated-at-once",
        (Replica, "_end_requests", _report_as_refused),
        faults=1,
        kinds="cut oneway",
    ),
}
