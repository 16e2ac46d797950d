"""Orders under one number: one content is taken, and whoever sends it again hears so.

Judged: of two orders on one version, or under one number, one at most is acknowledged; what is acknowledged
is in the chain of states; what is in the chain is never refused, however late it is sent again; and a reading
at the end brings what was taken last, none older than was acknowledged.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any
from unittest import mock

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, StateChanged
from orchidferry.mesh.control.contact import OUT_OF_CONTACT
from orchidferry.mesh.control.order_history import CommittedOrders, OrderHistory, Verdict
from orchidferry.mesh.control.order_log import OrderLog
from orchidferry.mesh.control.order_requests import OrderRequests
from orchidferry.testkit.explore.mesh import Break, MeshWorld, Scene
from orchidferry.testkit.explore.mesh_breaks import deliberate_break
from orchidferry.testkit.explore.worst_days.play import Play

LISTED = 3  # orders that a state lists in these scenes, so that lists are cut early
SILENCE_S = 1.0  # after which an order is sent again
PAUSE_S = 0.1  # after an unclear answer
TRIES = 8


@dataclass(frozen=True, slots=True)
class Order:
    """A configuration under a number, on top of a version."""

    number: int
    content: str
    base: int

    def change(self) -> shard_state.PutConfiguration:
        """It, for a replica."""
        mark = self.content.encode()
        return shard_state.PutConfiguration(mark, self.number, mark, self.base)


@dataclass(slots=True)
class Send:
    """An order that is sent until its answer is clear. `at`: the controllers that are asked, by turns."""

    order: Order
    at: str
    not_before_s: float = 0.0  # since the scene began


@dataclass
class Operator:
    """Sends its orders one after the other, and reads what is in force at the end."""

    name: str
    sends: list[Send]
    reads: str  # where it reads, by turns
    step: str = "send"  # read, over
    pending_request: str = ""
    next_step_s: float = 0.0
    tries: int = 0
    told: list[str] = field(default_factory=list)  # of each order: taken, refused, unclear; of the reading
    acknowledged_before: int = 0

    @property
    def read(self) -> bool:
        """Whether it knows of all its orders where they stand."""
        return self.step == "over" and "unclear" not in self.told


class Orders(MeshWorld):
    """Operators whose orders are judged beside the chain of states."""

    sends: tuple[tuple[Send, ...], ...] = ()  # by operator
    must_hear = True  # without a fault each order has a clear answer

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.chain: dict[int, str] = {}  # content by number, of each state that was decided
        self.acknowledged: list[Order] = []
        self.refused: list[Order] = []
        self.unharmed = not faults
        super().__init__(scene, faults, kinds)
        operators = [
            Operator(f"o{n}", [replace(one) for one in sends], "cba"[n:] + "cba"[:n])
            for n, sends in enumerate(self.sends)
        ]
        self.clients = operators  # type: ignore[assignment]
        self._run_clients()
        self._begin_step()

    def apply(self, label: str) -> None:
        """Play one of the actions, by its label."""
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", LISTED):
            super().apply(label)

    def _send_request(self, client: Any) -> None:
        operator: Operator = client
        send = operator.sends[0] if operator.sends else None
        if send is not None and self.now < self.began_s + send.not_before_s - 1e-6:
            operator.next_step_s = self.began_s + send.not_before_s
            return None
        at = send.at if send is not None else operator.reads
        name = at[operator.tries % len(at)]
        operator.tries += 1
        controller = self.controllers[name]
        if operator.tries > TRIES:
            return self._hears(operator, "unclear")
        if not controller.alive or name in self.frozen_until:
            operator.next_step_s = self.now + PAUSE_S
            return None
        id = f"{operator.name}.{len(operator.told)}.{operator.tries}"
        operator.pending_request = f"{name} {id}"
        operator.next_step_s = self.now + SILENCE_S
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", LISTED):
            if send is not None:
                controller.execute(controller.shard.request_change(id, send.order.change(), 1.2, self.now))
            else:
                operator.acknowledged_before = max((order.number for order in self.acknowledged), default=0)
                controller.execute(controller.shard.request_read(id, self.now))
        return None

    def _advance_client(self, client: Any, settled: bool = False) -> None:
        """No answer in time: the same again, to the next controller."""
        client.pending_request = ""
        client.next_step_s = self.now

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Take the end of a request that was made at a controller."""
        operator: Any = next((o for o in self.clients if o.pending_request == f"{name} {end.id}"), None)
        if operator is None:
            return
        pause_s = SILENCE_S if end.why == OUT_OF_CONTACT else PAUSE_S  # said at once: the same pace
        operator.pending_request = ""
        operator.next_step_s = self.now + pause_s
        if end.value is None or end.why == shard_state.UNKNOWN_ORDER:
            self.log(f"{operator.name} has no clear answer from {name}")
            return
        if operator.step == "read":
            self._reads(operator, shard_state.body(end.value))
        else:
            self._hears(operator, "refused" if end.why else "taken")

    def _reads(self, operator: Operator, state: shard_state.Body) -> None:
        self.log(f"{operator.name} reads {state.revision}")
        if (
            state.revision < operator.acknowledged_before
            or self.chain.get(state.revision, "") != state.compressed_text.decode()
        ):
            self.report_violation(
                f"read: {state.revision} {state.compressed_text!r},"
                f" but {operator.acknowledged_before} had been acknowledged"
            )
        operator.step = "over"
        operator.told.append("read")

    def _hears(self, operator: Operator, what: str) -> None:
        operator.told.append(what)
        operator.tries = 0
        operator.next_step_s = self.now + 0.02
        if operator.step == "read":
            operator.step = "over"
            return
        order = operator.sends.pop(0).order
        operator.step = "send" if operator.sends else "read"
        self.log(f"{operator.name} is told {what}: {order.number} {order.content!r} on {order.base}")
        if what == "taken":
            if self.chain.get(order.number) != order.content:
                self.report_violation(f"not-there: {order} was acknowledged, and was not taken")
            for other in self.acknowledged:
                if other != order and (other.base == order.base or other.number == order.number):
                    self.report_violation(f"two-orders: {order} and {other} were acknowledged")
            self.acknowledged.append(order)
        elif what == "refused":
            self.refused.append(order)
        self._judge_refused()

    def _judge_refused(self) -> None:
        sent = {send.order for sends in self.sends for send in sends}
        for order in self.refused:
            built_on = max((number for number in self.chain if number < order.number), default=0)
            on_that = replace(order, base=built_on)
            if self.chain.get(order.number) == order.content and (on_that == order or on_that not in sent):
                self.report_violation(f"refused: {order} was refused, and was taken")

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Take note that a controller knows a newer state."""
        super().state_changed(name, changed)
        state = shard_state.body(changed.new)
        if state.revision:
            self.chain[state.revision] = state.compressed_text.decode()
            self._judge_refused()

    def fingerprint(self) -> bytes:
        """A digest of the state: equal ones have the same futures."""
        judged = repr((sorted(self.chain.items()), self.acknowledged, self.refused))
        return super().fingerprint() + judged.encode()

    def succeeded(self) -> bool:
        """Whether this run shows what the scene is about."""
        return all(operator.read for operator in self.clients) and bool(self.acknowledged)

    def finish(self) -> None:
        """Let all that is under way come to its end, and judge it."""
        if self.unharmed and self.must_hear and not self.succeeded():
            self.report_violation(f"unclear: {[operator.told for operator in self.clients]}")  # type: ignore[attr-defined]


def _first(content: str, number: int = 1) -> Order:
    return Order(number, content, 0)


def _climb(most: int) -> list[Order]:
    """Orders 1 to `most`, each on the one before."""
    return [Order(n, f"c{n}", n - 1) for n in range(1, most + 1)]


class TwoContents(Orders):
    """Two contents under one number, at two controllers, each sent again elsewhere."""

    sends = (
        (Send(_first("x"), "ab"), Send(_first("x"), "c")),
        (Send(_first("y"), "bc"), Send(_first("y"), "a")),
    )


class TwoNumbers(Orders):
    """Two orders on one version under two numbers, at two controllers, each sent again elsewhere."""

    sends = (
        (Send(_first("x", 2), "ab"), Send(_first("x", 2), "c")),
        (Send(_first("y"), "bc"), Send(_first("y"), "a")),
    )


class Minority(Orders):
    """An order reaches one replica, which is asked again while the others take another one."""

    sends = ((Send(_first("x"), "aab"),), (Send(_first("y"), "bc", 0.1),))


class SameTwice(Orders):
    """One order at two controllers at once, and again when it was acknowledged."""

    sends = ((Send(_first("x"), "abc"), Send(_first("x"), "ca")), (Send(_first("x"), "bca"),))


class OtherBase(Orders):
    """An order that was refused is sent on another base, is taken, and comes once more as it first was."""

    sends = (
        (
            Send(_first("c1"), "ab"),
            Send(Order(2, "c2", 1), "bc"),
            Send(Order(2, "c2", 0), "cab"),
            Send(Order(2, "c2", 1), "cab"),
        ),
    )


class LongAgo(Orders):
    """The first order is sent again after more others than a state lists."""

    sends = ((*(Send(order, "ab") for order in _climb(5)), Send(_first("c1"), "bca")),)


class Dark(Orders):
    """An order that one replica missed, with others after it, is sent again to that one."""

    sends = (
        (
            *(Send(order, "ab") for order in _climb(1)),
            *(Send(order, "ab", 0.1) for order in _climb(5)[1:]),
            Send(Order(2, "c2", 1), "c", 1.3),
        ),
    )


class Wiped(Orders):
    """The first order is sent again to a replica that has lost its disk meanwhile."""

    sends = ((*(Send(order, "ab") for order in _climb(5)), Send(_first("c1"), "c", 0.3)),)


class AllKilled(Orders):
    """The first order is sent again after all replicas were killed."""

    sends = ((*(Send(order, "ab") for order in _climb(6)), Send(_first("c1"), "abc", 0.3)),)


_KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "lose", "late")
_CUT_C = ((0.06, "cut c"),)
_WIPE_C = ((0.1, "wipe c"),)
_KILL_ALL = ((0.1, "kill a"), (0.1, "kill b"), (0.1, "kill c"))


def _scene(about: str, script: tuple[tuple[float, str], ...] = (), kinds: tuple[str, ...] = _KINDS) -> Scene:
    return Scene("worst-days", about, 1.2, script=script, kinds=kinds)


SCENES: dict[str, Play] = {
    "two-contents": Play(_scene("two contents under one number at two controllers"), TwoContents),
    "two-numbers": Play(_scene("two orders on one version at two controllers"), TwoNumbers),
    "minority": Play(_scene("an order that one replica accepted, and another order"), Minority),
    "same-twice": Play(_scene("one order at two controllers at once, and again"), SameTwice),
    "other-base": Play(_scene("an order comes on another base, and again on its first"), OtherBase),
    "long-ago": Play(_scene("an order is sent again after more others than states list"), LongAgo),
    "dark-replica": Play(_scene("an order comes again to a replica that missed it", _CUT_C), Dark),
    "wiped-replica": Play(_scene("an order comes again to a replica that was wiped", _WIPE_C), Wiped),
    "all-killed": Play(_scene("an order comes again after all were killed", _KILL_ALL), AllKilled),
}


# Deliberate breaks


def _number_only(self: OrderHistory, number: int, digest: bytes, base: int, current: int) -> Verdict:
    entry = self.entries.get(number)
    return Verdict.COMMITTED if entry is not None else _verdict(self, number, digest, base, current)


def _any_base(self: OrderHistory, number: int, digest: bytes, base: int, current: int) -> Verdict:
    entry = self.entries.get(number)
    same = entry is not None and entry.digest == digest
    return Verdict.COMMITTED if same else _verdict(self, number, digest, base, current)


def _any_version(self: OrderHistory, number: int, digest: bytes, base: int, current: int) -> Verdict:
    return Verdict.NEW if number > current else _verdict(self, number, digest, base, current)


def _short_memory(self: OrderHistory, number: int, digest: bytes, base: int, current: int) -> Verdict:
    verdict = _verdict(self, number, digest, base, current)
    return Verdict.OTHER_VERSION if verdict is Verdict.UNKNOWN else verdict


def _gap_unseen(self: OrderHistory, taken: CommittedOrders, complete: bool) -> None:
    _merge(self, taken, complete or bool(self.numbers))


def _never(*_: Any) -> None:
    return None


def _nothing_saved(self: OrderLog) -> tuple[list[int], list[Any]]:
    return [], []


def _told_before_decided(
    self: OrderRequests, id: str, order: shard_state.PutConfiguration, for_s: float
) -> None:
    accepted = self.register.acceptor.state.value
    if accepted is not None and shard_state.body(accepted).compressed_text == order.compressed_text:
        self.context.actions.append(RequestEnded(id, accepted))
    else:
        _order(self, id, order, for_s)


_verdict = OrderHistory.verdict
_merge = OrderHistory.merge
_order = OrderRequests.request


BREAKS: dict[str, Break] = {
    "number-only": deliberate_break(
        "digests are not compared", "two-contents", (OrderHistory, "verdict", _number_only)
    ),
    "any-version": deliberate_break(
        "an order is taken on top of any version", "two-numbers", (OrderHistory, "verdict", _any_version)
    ),
    "any-base": deliberate_break(
        "bases are not compared", "other-base", (OrderHistory, "verdict", _any_base)
    ),
    "short-memory": deliberate_break(
        "what is older than remembered is refused", "dark-replica", (OrderHistory, "verdict", _short_memory)
    ),
    "gap-unseen": deliberate_break(
        "a list that does not reach what is known is joined to it",
        "dark-replica",
        (OrderHistory, "merge", _gap_unseen),
        (OrderHistory, "_forget", _never),
    ),
    "not-asked": deliberate_break(
        "a replica that forgot asks nobody", "wiped-replica", (OrderRequests, "ask_for_older", _never)
    ),
    "not-saved": deliberate_break(
        "orders are not put on disk", "all-killed", (OrderLog, "take_unsaved", _nothing_saved)
    ),
    "told-early": deliberate_break(
        "an order counts as taken once its replica has accepted it",
        "minority",
        (OrderRequests, "request", _told_before_decided),
        faults=1,
        kinds="cut",
    ),
}
