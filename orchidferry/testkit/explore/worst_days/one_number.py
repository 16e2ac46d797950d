"""Conflicting and repeated orders: one order per number is committed, and resends get consistent answers.

Checked: of two orders with the same base version or the same number at most one is acknowledged; every
acknowledged order is in the chain of states; an order in the chain is never refused, however late it is sent
again; and a read at the end returns the newest state, which is not older than any acknowledged one.
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
from orchidferry.testkit.explore.worst_days.scene_setup import SceneSetup

MAX_LISTED = 3  # orders that a state lists in these scenes, so that lists are truncated early
SILENCE_S = 1.0  # time without an answer after which an order is sent again
PAUSE_S = 0.1  # pause before an order is sent again after an unclear answer
MAX_TRIES = 8  # calls after which the outcome of an order or a read is unclear


@dataclass(frozen=True, slots=True)
class Order:
    """A configuration with a number.

    :param number: the configuration's revision
    :param content: its text
    :param base: the revision that it is based on
    """

    number: int
    content: str
    base: int

    def change(self) -> shard_state.PutConfiguration:
        """Return the order as a change of the shard's state."""
        text = self.content.encode()
        return shard_state.PutConfiguration(text, self.number, text, self.base)


@dataclass(slots=True)
class Submission:
    """An order that is sent until its answer is definite.

    :param controllers: those that it is sent to, in turn
    :param not_before_s: the earliest time at which it is sent, in seconds since the scene began
    """

    order: Order
    controllers: str
    not_before_s: float = 0.0


@dataclass
class Operator:
    """A client that sends its orders one after the other, and reads the state at the end.

    :param read_at: the controllers at which it reads, in turn
    :ivar step: `send`, `read` or `over`
    :ivar pending_request: the controller and the id of the request that it waits for; "" for none
    :ivar next_step_s: when it makes its next call
    :ivar tries: calls for the current order or read
    :ivar outcomes: of each order, `taken`, `refused` or `unclear`, and of the read, `read` or `unclear`
    :ivar acknowledged_before: the highest number that was acknowledged to any operator before it read
    """

    name: str
    submissions: list[Submission]
    read_at: str
    step: str = "send"
    pending_request: str = ""
    next_step_s: float = 0.0
    tries: int = 0
    outcomes: list[str] = field(default_factory=list)
    acknowledged_before: int = 0

    @property
    def read(self) -> bool:
        """Whether it is done and knows the outcome of all its orders."""
        return self.step == "over" and "unclear" not in self.outcomes


class OrdersWorld(MeshWorld):
    """A world of operators, which checks the answers to their orders against the chain of states.

    :cvar submissions: each operator's orders
    :cvar requires_definite_answers: whether each order must get a definite answer if no fault may happen
    :ivar committed_contents: the committed contents, by number
    :ivar acknowledged: orders that were acknowledged
    :ivar refused: orders that were refused
    :ivar without_faults: whether no fault may happen, besides those of the scene's script
    """

    submissions: tuple[tuple[Submission, ...], ...] = ()
    requires_definite_answers = True

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.committed_contents: dict[int, str] = {}
        self.acknowledged: list[Order] = []
        self.refused: list[Order] = []
        self.without_faults = not faults
        super().__init__(scene, faults, kinds)
        operators = [
            Operator(f"o{n}", [replace(one) for one in submissions], "cba"[n:] + "cba"[:n])
            for n, submissions in enumerate(self.submissions)
        ]
        self.clients = operators  # type: ignore[assignment]
        self._run_clients()
        self._begin_step()

    def apply(self, label: str) -> None:
        """Play one of `actions`."""
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", MAX_LISTED):
            super().apply(label)

    def _send_request(self, client: Any) -> None:
        operator: Operator = client
        submission = operator.submissions[0] if operator.submissions else None
        if submission is not None and self.now < self.began_s + submission.not_before_s - 1e-6:
            operator.next_step_s = self.began_s + submission.not_before_s
            return None
        controllers = submission.controllers if submission is not None else operator.read_at
        name = controllers[operator.tries % len(controllers)]
        operator.tries += 1
        controller = self.controllers[name]
        if operator.tries > MAX_TRIES:
            return self._finish_order(operator, "unclear")
        if not controller.alive or name in self.frozen_until:
            operator.next_step_s = self.now + PAUSE_S
            return None
        id = f"{operator.name}.{len(operator.outcomes)}.{operator.tries}"
        operator.pending_request = f"{name} {id}"
        operator.next_step_s = self.now + SILENCE_S
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", MAX_LISTED):
            if submission is not None:
                controller.execute(
                    controller.shard.request_change(id, submission.order.change(), 1.2, self.now)
                )
            else:
                operator.acknowledged_before = max((order.number for order in self.acknowledged), default=0)
                controller.execute(controller.shard.request_read(id, self.now))
        return None

    def _advance_client(self, client: Any, settled: bool = False) -> None:
        """Send the same request to the next controller, after a time-out."""
        client.pending_request = ""
        client.next_step_s = self.now

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Handle the end of a client's request at a controller."""
        operator: Any = next((o for o in self.clients if o.pending_request == f"{name} {end.id}"), None)
        if operator is None:
            return
        # A controller without contact answers at once; waiting as for no answer keeps the pace of the calls.
        pause_s = SILENCE_S if end.why == OUT_OF_CONTACT else PAUSE_S
        operator.pending_request = ""
        operator.next_step_s = self.now + pause_s
        if end.value is None or end.why == shard_state.UNKNOWN_ORDER:
            self.log(f"{operator.name} gets no definite answer from {name}")
            return
        if operator.step == "read":
            self._check_read(operator, shard_state.body(end.value))
        else:
            self._finish_order(operator, "refused" if end.why else "taken")

    def _check_read(self, operator: Operator, state: shard_state.Body) -> None:
        self.log(f"{operator.name} reads {state.revision}")
        if (
            state.revision < operator.acknowledged_before
            or self.committed_contents.get(state.revision, "") != state.compressed_text.decode()
        ):
            self.report_violation(
                f"read: {state.revision} {state.compressed_text!r},"
                f" but {operator.acknowledged_before} had been acknowledged before"
            )
        operator.step = "over"
        operator.outcomes.append("read")

    def _finish_order(self, operator: Operator, outcome: str) -> None:
        operator.outcomes.append(outcome)
        operator.tries = 0
        operator.next_step_s = self.now + 0.02
        if operator.step == "read":
            operator.step = "over"
            return
        order = operator.submissions.pop(0).order
        operator.step = "send" if operator.submissions else "read"
        self.log(f"{operator.name}'s order {order.number} {order.content!r} based on {order.base}: {outcome}")
        if outcome == "taken":
            if self.committed_contents.get(order.number) != order.content:
                self.report_violation(f"not-there: {order} was acknowledged, but was not committed")
            for other in self.acknowledged:
                if other != order and (other.base == order.base or other.number == order.number):
                    self.report_violation(f"two-orders: {order} and {other} were acknowledged")
            self.acknowledged.append(order)
        elif outcome == "refused":
            self.refused.append(order)
        self._check_refused()

    def _check_refused(self) -> None:
        sent = {submission.order for submissions in self.submissions for submission in submissions}
        for order in self.refused:
            committed_base = max(
                (number for number in self.committed_contents if number < order.number), default=0
            )
            with_committed_base = replace(order, base=committed_base)
            if self.committed_contents.get(order.number) == order.content and (
                with_committed_base == order or with_committed_base not in sent
            ):
                self.report_violation(f"refused: {order} was refused, but was committed")

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Handle that a controller knows a newer state, and record its order."""
        super().state_changed(name, changed)
        state = shard_state.body(changed.new)
        if state.revision:
            self.committed_contents[state.revision] = state.compressed_text.decode()
            self._check_refused()

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""
        checked = repr((sorted(self.committed_contents.items()), self.acknowledged, self.refused))
        return super().fingerprint() + checked.encode()

    def succeeded(self) -> bool:
        """Return whether the run ended as in a run without faults."""
        return all(operator.read for operator in self.clients) and bool(self.acknowledged)

    def finish(self) -> None:
        """Check the properties that must hold at the end of the run."""
        if self.without_faults and self.requires_definite_answers and not self.succeeded():
            self.report_violation(f"unclear: {[operator.outcomes for operator in self.clients]}")  # type: ignore[attr-defined]


def _order_on_nothing(content: str, number: int = 1) -> Order:
    return Order(number, content, 0)


def _chain_of_orders(last: int) -> list[Order]:
    """Return orders 1 to `last`, each based on the one before."""
    return [Order(n, f"c{n}", n - 1) for n in range(1, last + 1)]


class TwoContents(OrdersWorld):
    """Two contents with one number are sent to two controllers, and each again to another controller."""

    submissions = (
        (Submission(_order_on_nothing("x"), "ab"), Submission(_order_on_nothing("x"), "c")),
        (Submission(_order_on_nothing("y"), "bc"), Submission(_order_on_nothing("y"), "a")),
    )


class TwoNumbers(OrdersWorld):
    """Two orders with one base and two numbers are sent to two controllers, and each again to another one."""

    submissions = (
        (Submission(_order_on_nothing("x", 2), "ab"), Submission(_order_on_nothing("x", 2), "c")),
        (Submission(_order_on_nothing("y"), "bc"), Submission(_order_on_nothing("y"), "a")),
    )


class Minority(OrdersWorld):
    """An order reaches one replica, and is sent to it again while the others commit another order."""

    submissions = (
        (Submission(_order_on_nothing("x"), "aab"),),
        (Submission(_order_on_nothing("y"), "bc", 0.1),),
    )


class SameTwice(OrdersWorld):
    """One order is sent to two controllers at once, and again after it was acknowledged."""

    submissions = (
        (Submission(_order_on_nothing("x"), "abc"), Submission(_order_on_nothing("x"), "ca")),
        (Submission(_order_on_nothing("x"), "bca"),),
    )


class OtherBase(OrdersWorld):
    """A refused order is sent again with another base, is committed, and is sent once more as at first."""

    submissions = (
        (
            Submission(_order_on_nothing("c1"), "ab"),
            Submission(Order(2, "c2", 1), "bc"),
            Submission(Order(2, "c2", 0), "cab"),
            Submission(Order(2, "c2", 1), "cab"),
        ),
    )


class LongAgo(OrdersWorld):
    """The first order is sent again after more other orders than a state lists."""

    submissions = (
        (
            *(Submission(order, "ab") for order in _chain_of_orders(5)),
            Submission(_order_on_nothing("c1"), "bca"),
        ),
    )


class MissedOrder(OrdersWorld):
    """An order that one replica missed, along with later ones, is sent again to that replica."""

    submissions = (
        (
            *(Submission(order, "ab") for order in _chain_of_orders(1)),
            *(Submission(order, "ab", 0.1) for order in _chain_of_orders(5)[1:]),
            Submission(Order(2, "c2", 1), "c", 1.3),
        ),
    )


class WipedReplica(OrdersWorld):
    """The first order is sent again to a replica that has lost its disk in the meantime."""

    submissions = (
        (
            *(Submission(order, "ab") for order in _chain_of_orders(5)),
            Submission(_order_on_nothing("c1"), "c", 0.3),
        ),
    )


class AllKilled(OrdersWorld):
    """The first order is sent again after all replicas were killed."""

    submissions = (
        (
            *(Submission(order, "ab") for order in _chain_of_orders(6)),
            Submission(_order_on_nothing("c1"), "abc", 0.3),
        ),
    )


_KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "lose", "late")
_CUT_C = ((0.06, "cut c"),)
_WIPE_C = ((0.1, "wipe c"),)
_KILL_ALL = ((0.1, "kill a"), (0.1, "kill b"), (0.1, "kill c"))


def _scene(
    description: str, script: tuple[tuple[float, str], ...] = (), kinds: tuple[str, ...] = _KINDS
) -> Scene:
    return Scene("worst-days", description, 1.2, script=script, kinds=kinds)


SCENES: dict[str, SceneSetup] = {
    "two-contents": SceneSetup(_scene("two contents with one number at two controllers"), TwoContents),
    "two-numbers": SceneSetup(_scene("two orders with one base version at two controllers"), TwoNumbers),
    "minority": SceneSetup(_scene("an order that one replica accepted, and another order"), Minority),
    "same-twice": SceneSetup(_scene("one order at two controllers at once, and again later"), SameTwice),
    "other-base": SceneSetup(
        _scene("an order is sent with another base, and again with its first one"), OtherBase
    ),
    "long-ago": SceneSetup(_scene("an order is sent again after more others than a state lists"), LongAgo),
    "dark-replica": SceneSetup(
        _scene("an order is sent again to a replica that missed it", _CUT_C), MissedOrder
    ),
    "wiped-replica": SceneSetup(
        _scene("an order is sent again to a replica that lost its disk", _WIPE_C), WipedReplica
    ),
    "all-killed": SceneSetup(
        _scene("an order is sent again after all controllers were killed", _KILL_ALL), AllKilled
    ),
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
        "digests of contents are not compared", "two-contents", (OrderHistory, "verdict", _number_only)
    ),
    "any-version": deliberate_break(
        "an order is committed whatever version it is based on",
        "two-numbers",
        (OrderHistory, "verdict", _any_version),
    ),
    "any-base": deliberate_break(
        "base versions are not compared", "other-base", (OrderHistory, "verdict", _any_base)
    ),
    "short-memory": deliberate_break(
        "an order older than the history is refused", "dark-replica", (OrderHistory, "verdict", _short_memory)
    ),
    "gap-unseen": deliberate_break(
        "a list is merged despite a gap to the known history",
        "dark-replica",
        (OrderHistory, "merge", _gap_unseen),
        (OrderHistory, "_forget", _never),
    ),
    "not-asked": deliberate_break(
        "a replica whose history is too short asks no other replica",
        "wiped-replica",
        (OrderRequests, "ask_for_older", _never),
    ),
    "not-saved": deliberate_break(
        "orders are not saved to disk", "all-killed", (OrderLog, "take_unsaved", _nothing_saved)
    ),
    "told-early": deliberate_break(
        "an order counts as committed once one replica has accepted it",
        "minority",
        (OrderRequests, "request", _told_before_decided),
        faults=1,
        kinds="cut",
    ),
}
