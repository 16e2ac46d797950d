"""A controller that is cut off from the others for long neither confirms anything nor hands out old state.

Operators call one controller after another, as the operators' page has it: on after an answer that is not
clear, and after a second of silence. Calls that come to a frozen process wait in its buffers.
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
from orchidferry.testkit.explore.worst_days.play import Play

SILENCE_S = 1.0  # after which a caller goes on to another controller
PROMPT_S = 0.05  # for an answer to a call once there is no contact
PAUSE_S = 0.1  # of a caller before its next try
MAX_TRIES = 12
REFUSALS = (shard_state.OTHER_VERSION, shard_state.OLD_VERSION)


@dataclass(frozen=True)
class IsolatedScene(Scene):
    """A scene with operators.

    `operators`: name, `put` or `read`, a revision, and the controllers that it calls in turn; the script's
    `call NAME` begins its first call.
    """

    operators: tuple[tuple[str, str, int, str], ...] = ()


@dataclass
class Operator:
    """One operator with one order or one reading."""

    name: str
    what: str
    revision: int
    route: str
    tries: int = 0
    outcome: str = ""
    next_s: float = float("inf")  # when it calls again

    def change(self) -> shard_state.PutConfiguration:
        """Its order, the same in every call."""
        mark = self.name.encode()
        return shard_state.PutConfiguration(mark, self.revision, mark, 0)


@dataclass
class Attempt:
    """One call of an operator at a controller."""

    id: str
    operator: str
    at: str
    asked_s: float
    newest: int  # revision that was acknowledged to anybody before
    arrived_s: float = float("inf")  # when the controller's process took it


@dataclass
class Record:
    """What was seen from outside."""

    sent: dict[tuple[str, int], float] = field(default_factory=dict)  # beats: sender, number, when
    acknowledged: dict[str, dict[str, float]] = field(default_factory=dict)  # by sender, by who heard
    never: set[tuple[int, bytes]] = field(default_factory=set)  # orders that were refused
    thawed: dict[str, float] = field(default_factory=dict)


class IsolatedWorld(MeshWorld):
    """Operators at controllers that lose contact with the others."""

    scene: IsolatedScene

    def __init__(self, scene: IsolatedScene, faults: int, kinds: tuple[str, ...]) -> None:
        self.operators = {one[0]: Operator(*one) for one in scene.operators}
        self.attempts: dict[str, Attempt] = {}
        self.record = Record()
        super().__init__(scene, faults, kinds)

    @property
    def over(self) -> bool:
        """Whether nothing more can happen."""
        asked = all(one.outcome for one in self.operators.values())
        owed = any(one.arrived_s < float("inf") for one in self.attempts.values())  # others were lost
        return super().over and asked and not owed

    def succeeded(self) -> bool:
        """Whether this run shows what the scene is about."""
        return all(one.outcome in ("confirmed", "refused", "read") for one in self.operators.values())

    def fingerprint(self) -> bytes:
        """A digest of the state: equal ones have the same futures."""
        held = (
            sorted(map(repr, self.operators.values())),
            sorted(map(repr, self.attempts.values())),
            sorted(self.record.sent.items()),
            sorted(self.record.never),
            sorted(self.record.thawed.items()),
            [(name, sorted(times.items())) for name, times in sorted(self.record.acknowledged.items())],
        )
        return hashlib.blake2b(super().fingerprint() + repr(held).encode(), digest_size=16).digest()

    # Operators

    def _apply_fault(self, what: str, about: list[str]) -> None:
        if what == "call":
            self.operators[about[0]].next_s = self.now
        else:
            super()._apply_fault(what, about)

    def stop_process(self, name: str, for_s: float) -> None:
        """Let a controller do nothing for a time."""
        super().stop_process(name, for_s)
        for attempt in [one for one in self.attempts.values() if one.at == name]:
            del self.attempts[attempt.id]
            self._unclear(self.operators[attempt.operator], attempt)

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
            self.attempts[id] = Attempt(id, operator.name, at, self.now, self.newest_acknowledged)
            self.log(f"{operator.name} calls {at}")
            self.next_messages.append(MessageInFlight("operator", at, "call", (id,)))

    def _deliver(self, mail: MessageInFlight) -> None:
        if mail.method != "call":
            return super()._deliver(mail)
        self.last_receiver = mail.to
        attempt = self.attempts[mail.arguments[0]]
        attempt.arrived_s = self.now
        operator = self.operators[attempt.operator]
        shard = self.controllers[attempt.at].shard
        if operator.what == "read":
            actions = shard.request_read(attempt.id, self.now)
        else:
            actions = shard.request_change(attempt.id, operator.change(), 4.0, self.now)
        self.controllers[attempt.at].execute(actions)
        return None

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Take the end of a request that was made at a controller."""
        attempt = self.attempts.pop(end.id, None)
        if attempt is None:
            return None
        operator = self.operators[attempt.operator]
        if end.value is None:
            return self._unclear(operator, attempt)
        self._record_decided(end.value)
        if self.now - self._contact_s(name) > CONTACT_S + 1e-6:
            self.report_violation(
                f"contact: {name} serves {operator.name}, and was last heard {self._ago(name)} ago"
            )
        if operator.what == "read":
            found = shard_state.body(end.value).revision
            self.log(f"{operator.name} reads {found} at {name}")
            if found < attempt.newest:
                self.report_violation(
                    f"older: {attempt.newest} was acknowledged before {operator.name} asked"
                )
            operator.outcome = operator.outcome or "read"
        elif end.why:
            self.log(f"{operator.name} is refused at {name}: {end.why}")
            self._refused(operator)
        else:
            self.log(f"{operator.name} is confirmed at {name}")
            self._confirmed(operator)
        return None

    def _unclear(self, operator: Operator, attempt: Attempt) -> None:
        """It calls the next one, unless it has done so already after a second of silence."""
        self.log(f"{operator.name} has no clear answer of {attempt.at}")
        if not operator.outcome and attempt.id == f"{operator.name}{operator.tries}":
            operator.next_s = self.now + PAUSE_S

    def _confirmed(self, operator: Operator) -> None:
        change = operator.change()
        mark = (change.revision, change.digest)
        if self.acknowledged_by_base.setdefault(0, operator.name) != operator.name:
            self.report_violation("two-puts: two changes of one version were acknowledged")
        voters = {voter.name for voter in self.newest_state.voters}
        holders = [name for name in voters if mark in self._stored_orders(name)]
        if 2 * len(holders) <= len(voters):
            self.report_violation(
                f"undecided: {operator.name} is confirmed, and only {holders} have it on disk"
            )
        self.newest_acknowledged = max(self.newest_acknowledged, operator.revision)
        operator.outcome = operator.outcome or "confirmed"

    def _refused(self, operator: Operator) -> None:
        change = operator.change()
        self.record.never.add((change.revision, change.digest))
        operator.outcome = operator.outcome or "refused"
        for value in self.decided_states.values():
            self._look_at_refused(value)

    def _look_at_refused(self, value: Any) -> None:
        for mark in self.record.never.intersection(shard_state.body(value).orders):
            self.report_violation(f"refused: {mark[0]} is in force after it was refused")

    def _record_decided(self, value: Any) -> None:
        super()._record_decided(value)
        self._look_at_refused(value)

    def _stored_orders(self, name: str) -> tuple[tuple[int, bytes], ...]:
        packed = self.controllers[name].disk.get(("about", f"kept/{self.number}".encode()))
        kept = shard_state_codec.unpack_acceptor_state(unpack(packed)) if packed is not None else None
        return shard_state.body(kept.value).orders if kept is not None and kept.value is not None else ()

    # Contact, as it is seen from outside

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message."""
        if kind == ControllerCall.HEARTBEAT:
            self.record.sent[sender, message[1]] = self.now
            old = [key for key, when in self.record.sent.items() if when < self.now - 10.0]
            for key in old:
                del self.record.sent[key]
        elif kind == ControllerCall.HEARTBEAT_ACK and self._reaches(sender, to):
            when = self.record.sent.get((to, message[1]), float("-inf"))
            times = self.record.acknowledged.setdefault(to, {})
            times[sender] = max(when, times.get(sender, when))
        super().send(sender, to, kind, *message)

    def _contact_s(self, name: str) -> float:
        """When the newest beat was sent that a majority acknowledged, whenever that came."""
        times = self.record.acknowledged.get(name, {})
        voters = self.controllers[name].shard.known.voters
        newest = sorted((times.get(v.name, float("-inf")) for v in voters if v.name != name), reverse=True)
        return newest[len(voters) // 2 - 1] if len(voters) > 1 else self.now

    def _ago(self, name: str) -> str:
        return f"{(self.now - self._contact_s(name)) * 1e3:.0f} ms"

    def _advance_time(self) -> None:
        frozen = set(self.frozen_until)
        before = self.now
        super()._advance_time()
        self.record.thawed |= dict.fromkeys(frozen - set(self.frozen_until), self.now)
        if before > self.began_s:
            self._judge_silence()

    def _judge_silence(self) -> None:
        """Whoever has no contact answers at once."""
        for attempt in self.attempts.values():
            if attempt.at in self.frozen_until or attempt.arrived_s == float("inf"):
                continue
            lost_s = self._contact_s(attempt.at) + CONTACT_S
            since_s = max(lost_s, attempt.arrived_s, self.record.thawed.get(attempt.at, lost_s))
            if self.now - since_s > PROMPT_S + 1e-6:
                self.report_violation(
                    f"silent: {attempt.at} owes {attempt.operator} an answer without contact"
                )


def _scene(about: str, fault_duration_s: float, operators: str, script: str, **more: Any) -> Play:
    """`operators`: `name what revision route`, `script`: `seconds what`, each parted by commas."""
    calls = [one.split() for one in operators.split(",")]
    steps = [one.split(maxsplit=1) for one in script.split(",")]
    scene = IsolatedScene(
        "worst-days",
        about,
        fault_duration_s,
        operators=tuple((name, what, int(revision), route) for name, what, revision, route in calls),
        script=tuple((float(at), what) for at, what in steps),
        **more,
    )
    return Play(scene, IsolatedWorld)


TWO_ORDERS = "p put 2 ab, q put 3 bc, r read 0 ac"
CUT_FIVE = ", ".join(f"0.1 cut {one} {other}" for one in "ab" for other in "cde")

SCENES: dict[str, Play] = {
    "isolated": _scene(
        "one is cut off for 20 s; orders and readings come to it and to others before and during that",
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
        "one is cut off at any moment of an order's rounds",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 call r, 1.4 call q",
        min_duration_s=2.8,
        kinds=("cut", "oneway", "beat"),
    ),
    "isolated-unheard": _scene(
        "one is heard by nobody, and hears all",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 oneway a b, 0.0 oneway a c, 0.6 call r, 1.6 call q",
        min_duration_s=2.4,
        kinds=("lose", "cut"),
    ),
    "isolated-deaf": _scene(
        "one hears nobody, and is heard by all",
        2.0,
        TWO_ORDERS,
        "0.0 call p, 0.0 oneway b a, 0.0 oneway c a, 0.6 call r, 1.6 call q",
        min_duration_s=2.4,
        kinds=("lose", "cut"),
    ),
    "frozen": _scene(
        "one is frozen for 5 s with an order under way, and finds calls and acknowledgements as it wakes",
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
        "five replicas, two of them cut off from the other three",
        2.0,
        "p put 2 ac, q put 3 cd, r read 0 bd",
        f"0.0 call p, {CUT_FIVE}, 0.4 call q, 1.6 call r",
        min_duration_s=2.4,
        group_size=5,
        kinds=("lose",),
    ),
}


def _always(self: Contact, *_: Any) -> bool:
    return True


def _from_arrival(self: Controller, sender: str, number: int, fence: int) -> None:
    self.shard.heartbeat_acknowledged(sender, self.world.now, fence)


def _keeps_waiting(self: Replica) -> None:
    """Those that wait are not told."""


def _any_one(self: Contact, voters: Any, own: Any) -> float:
    return max((self.acknowledged.get(v.name, float("-inf")) for v in voters), default=float("-inf"))


def _local_read(self: Shard, id: str, now: float) -> list[Action]:
    """Only contact is asked for, and no round is run."""
    return [RequestEnded(id, self.known if self.in_contact(now) else None, "")]


def _confirms_early(self: Shard, id: str, *args: Any) -> list[Action]:
    """Contact is taken for a majority's vote."""
    change: shard_state.Change = args[0]
    actions = _ask(self, id, *args)
    after = change(self.known)
    if isinstance(after, str) or not self.in_contact(self.context.now):
        return actions
    return [*actions, RequestEnded(id, after, "")]


def _says_refused(self: Replica) -> None:
    """What contact was lost over is told as refused, and goes on."""
    for proposal in self.register.proposals.values():
        if proposal.purpose is Purpose.REQUEST:
            self.context.actions += [
                RequestEnded(one, self.known, shard_state.OTHER_VERSION) for one in proposal.waiting
            ]
            proposal.waiting = []


_ask = Shard.request_change


BREAKS: dict[str, Break] = {
    "serves-without-contact": deliberate_break(
        "contact is not asked for", "isolated", (Contact, "holds", _always)
    ),
    "contact-from-arrival": deliberate_break(
        "contact runs from when an acknowledgement came",
        "frozen",
        (Controller, "receive_heartbeat_ack", _from_arrival),
    ),
    "silent-wait": deliberate_break(
        "who waits is not told that contact is lost", "isolated", (Replica, "_end_requests", _keeps_waiting)
    ),
    "contact-with-one": deliberate_break(
        "one other is enough for contact", "halves", (Contact, "since_s", _any_one)
    ),
    "reads-by-contact": deliberate_break(
        "a reading is answered by contact alone", "isolated-briefly", (Shard, "request_read", _local_read)
    ),
    "confirms-by-contact": deliberate_break(
        "an order is confirmed by contact alone",
        "isolated-briefly",
        (Shard, "request_change", _confirms_early),
    ),
    "unclear-as-refused": deliberate_break(
        "what is unclear is told as refused",
        "isolated-at-once",
        (Replica, "_end_requests", _says_refused),
        faults=1,
        kinds="cut oneway",
    ),
}
