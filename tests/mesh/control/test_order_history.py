"""At most one configuration is committed under a revision number, and no verdict contradicts that.

Histories of orders, and whole groups of controllers, are compared with a list of all committed orders, under
random events.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import (
    order_history,
    order_log,
    shard_state,
)
from orchidferry.mesh.control.actions import RequestEnded, StateChanged
from orchidferry.mesh.control.contact import LOST_CONTACT, OUT_OF_CONTACT
from orchidferry.mesh.control.order_history import Entry, OrderHistory, Verdict
from orchidferry.mesh.control.order_records import orders_of, record
from orchidferry.mesh.storage import quarantine, storage_check
from orchidferry.mesh.storage.store import Store
from orchidferry.testkit.explore.controller import Controller
from tests.mesh.control.fakes import make_controller
from tests.mesh.control.test_membership import World
from tests.mesh.storage.fakes import Loop, close

LISTED = 4  # number of orders that a state lists in these tests


# Histories, compared with the list of all committed orders


class Chain:
    """The list of all orders ever committed."""

    def __init__(self) -> None:
        self.orders: list[tuple[int, bytes]] = []

    def commit(self, step: int) -> None:
        """Commit an order whose number is `step` above the last one."""
        number = (self.orders[-1][0] if self.orders else 0) + step
        self.orders.append((number, b"d%d" % number))

    def is_committed(self, number: int, digest: bytes, base: int, count: int) -> bool:
        """Return whether the order is among the first `count` committed ones."""
        numbers = [0, *(n for n, _ in self.orders[:count])]
        index = numbers.index(number) if number in numbers[1:] else 0
        return index > 0 and numbers[index - 1] == base and self.orders[index - 1][1] == digest


class StoredHistory:
    """A replica's history, with its records on a disk. It has learned the first `learned` orders."""

    def __init__(self, chain: Chain) -> None:
        self.chain, self.disk, self.learned = chain, dict[bytes, bytes](), 0
        self.history = OrderHistory(max_orders=12)

    def learn(self) -> None:
        orders = self.chain.orders
        if self.learned < len(orders):
            self.learned = len(orders)
            self.history.merge(tuple(orders[-LISTED:]), len(orders) < LISTED)

    def save(self) -> None:
        history = self.history
        puts = [record(0, n, history.entries[n]) for n in history.unsaved]
        puts += [record(0, n, None) for n in history.outdated if n not in history.entries]
        history.outdated.clear()
        history.mark_saved(list(history.unsaved))
        for _, key, value in puts:
            self.disk.pop(key, None)
            if value is not None:
                self.disk[key] = value

    def restart(self) -> None:
        self.history = OrderHistory(max_orders=12)
        self.history.load(orders_of(0, self.disk.items()))
        newest = self.history.newest
        self.learned = [0, *(n for n, _ in self.chain.orders)].index(newest)

    def request_older(self, other: StoredHistory) -> None:
        floor = self.history.floor
        if floor and not self.history.is_complete:
            found = other.history.older_than(floor, self.history.entries[floor].digest, 3)
            if found is not None:
                self.history.prepend(*found)

    def check(self) -> None:
        history = self.history
        numbers = [n for n, _ in self.chain.orders]
        learned = self.learned
        current = self.history.newest
        assert list(history.numbers) == [n for n in numbers[:learned] if n >= (history.floor or 1)]
        assert len(history.numbers) <= 12
        for index, number in enumerate(numbers):
            previous = numbers[index - 1] if index else 0
            for digest, base in (
                (b"d%d" % number, previous),
                (b"other", previous),
                (b"d%d" % number, previous - 1),
            ):
                if base < 0:
                    continue
                verdict = history.verdict(number, digest, base, current)
                committed = self.chain.is_committed(number, digest, base, learned)
                if number > current:
                    assert verdict in (Verdict.NEW, Verdict.NOT_YET, Verdict.OTHER_VERSION)
                    assert verdict is not Verdict.OTHER_VERSION or not self.chain.is_committed(
                        number, digest, base, len(numbers)
                    )
                elif number <= history.floor:
                    assert verdict is Verdict.UNKNOWN
                else:
                    assert verdict is (Verdict.COMMITTED if committed else Verdict.OTHER_VERSION)
            absent = history.verdict(number - 1, b"x", number - 2, current)
            assert absent is not Verdict.COMMITTED


EVENT_KINDS = [*["commit"] * 4, *["learn"] * 2, "request", "save", "restart", "wipe"]
EVENTS = st.lists(st.tuples(st.sampled_from(EVENT_KINDS), st.integers(0, 2), st.integers(1, 3)), max_size=80)


@settings(max_examples=200, deadline=None)
@given(EVENTS)
def test_histories_agree_with_the_list_of_all_orders(events: list[tuple[str, int, int]]) -> None:
    """Whatever the order of events, a verdict is never wrong; it may be `UNKNOWN`."""
    chain = Chain()
    histories = [StoredHistory(chain) for _ in range(3)]
    for event, index, step in events:
        history = histories[index]
        if event == "commit":
            chain.commit(step)
        elif event == "learn":
            history.learn()
        elif event == "request":
            history.request_older(histories[(index + step) % 3])
        elif event == "save":
            history.save()
        elif event == "restart":
            history.restart()
        else:
            history.disk.clear()
            history.restart()
        history.check()


@given(st.integers(1, 40), st.integers(1, 5))
def test_a_wiped_replica_learns_all_orders_by_pages(orders: int, page: int) -> None:
    chain = Chain()
    complete = OrderHistory()
    for _ in range(orders):
        chain.commit(2)
        complete.merge(tuple(chain.orders[-LISTED:]), len(chain.orders) < LISTED)
    assert complete.floor == 0
    wiped = OrderHistory()
    wiped.merge(tuple(chain.orders[-LISTED:]), orders < LISTED)
    for _ in range(orders):
        if wiped.floor:
            found = complete.older_than(wiped.floor, wiped.entries[wiped.floor].digest, page)
            assert found is not None and len(found[0]) <= page + 1
            wiped.prepend(*found)
    assert (wiped.floor, wiped.entries) == (0, complete.entries)


# A group of controllers


class Orders(World):
    """Sends orders to any controller: new, repeated, with other content, or with another base."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.sent: list[shard_state.PutConfiguration] = []
        self.acknowledged: list[shard_state.PutConfiguration] = []
        self.refused: list[shard_state.PutConfiguration] = []
        self.committed_orders: dict[int, tuple[bytes, int]] = {}  # content and number, by revision
        self.counts |= {"again": 0, "refused": 0, "unclear": 0}

    def state_changed(self, name: str, changed: StateChanged) -> None:
        super().state_changed(name, changed)
        state = shard_state.body(changed.new)
        if state.revision:
            known = self.committed_orders.setdefault(state.revision, (state.compressed_text, state.revision))
            assert known[0] == state.compressed_text, "two contents were committed under one number"

    def _order(self) -> shard_state.PutConfiguration:
        rng = self.rng
        draw = self.rng.random()
        newest = max(self.committed_orders, default=0)
        if draw < 0.45 or not self.sent:
            mark = str(self.number()).encode()
            return shard_state.PutConfiguration(mark, newest + rng.randrange(1, 3), mark, newest)
        old = rng.choice(self.sent)
        if draw < 0.8:
            return old
        if draw < 0.9:
            mark = str(self.number()).encode()
            return replace(old, compressed_text=mark, digest=mark)
        earlier = [0, *(number for number in self.committed_orders if number < old.revision)]
        return replace(old, on=rng.choice(earlier))  # operators base orders on revisions that they have read

    def put(self) -> None:
        controller, order = self.random_controller(), self._order()
        if controller is None:
            return
        self.sent.append(order)
        id = str(self.number())

        def record_end(end: RequestEnded) -> None:
            if end.value is None or end.why == shard_state.UNKNOWN_ORDER:
                self.counts["unclear"] += 1
            elif end.why:
                self.counts["refused"] += 1
                self.refused.append(order)
            else:
                self.counts["again" if order in self.acknowledged else "put"] += 1
                self.acknowledged.append(order)

        self.waiting[id] = record_end
        controller.execute(controller.shard.request_change(id, order, 3.0, self.now))

    def judge(self) -> None:
        """Compare acknowledged and refused orders with the list of all committed ones."""
        numbers = [0, *sorted(self.committed_orders)]
        committed = {(n, self.committed_orders[n][0], base) for base, n in itertools.pairwise(numbers)}
        for order in self.acknowledged:
            assert (order.revision, order.digest, order.on) in committed
        for order in self.refused:
            assert (order.revision, order.digest, order.on) not in committed


def _simulate(seed: int, fault_level: float, steps: int = 2_500) -> Orders:
    world = Orders(random.Random(seed))
    with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", 2):  # so that a state settles one order only
        for _ in range(steps):
            world.step(fault_level)
            if world.rng.random() < 0.05:
                world.put()
    return world


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
def test_outcomes_of_orders_are_right_under_random_faults(seed: int, fault_level: float) -> None:
    """Acknowledged orders were committed on their base, and refused ones were not, despite lost disks."""
    _simulate(seed, fault_level).judge()


@pytest.mark.parametrize(
    "broken",
    [
        lambda verdict: Verdict.OTHER_VERSION if verdict is Verdict.UNKNOWN else verdict,
        lambda verdict: Verdict.COMMITTED if verdict is Verdict.UNKNOWN else verdict,
    ],
    ids=["short-memory", "believes-all"],
)
def test_wrong_verdicts_on_unknown_orders_are_detected(broken: Callable[[Verdict], Verdict]) -> None:
    verdict = OrderHistory.verdict
    patch = mock.patch.object(OrderHistory, "verdict", lambda *args: broken(verdict(*args)))
    with patch, pytest.raises(AssertionError):
        for seed in range(100):
            _simulate(seed, 1.0).judge()


def _is_acknowledged(world: Orders, controller: Controller, order: shard_state.PutConfiguration) -> bool:
    """Return whether a controller acknowledges an order in the absence of faults."""
    for _ in range(6):  # heartbeats are sent at random: a controller out of contact is asked again
        ends: list[RequestEnded] = []
        id = str(world.number())
        world.waiting[id] = ends.append
        controller.execute(controller.shard.request_change(id, order, 3.0, world.now))
        world.run_without_faults(1.0)
        if not ends or ends[0].why not in (OUT_OF_CONTACT, LOST_CONTACT):
            return bool(ends) and ends[0].value is not None and not ends[0].why
    return False


def _put(number: int) -> shard_state.PutConfiguration:
    mark = str(number).encode()
    return shard_state.PutConfiguration(mark, number, mark, number - 1)


def test_an_old_order_is_known_after_consecutive_disk_losses() -> None:
    """All orders are still known after each disk was lost in turn and all controllers were killed.

    There are more orders than a state lists, and between two losses there is time to copy them.
    """
    world = Orders(random.Random(3))
    world.controllers.pop("d")
    world.run_without_faults(2.0)
    controllers = list(world.controllers.values())
    for number in range(1, 71):
        assert _is_acknowledged(world, controllers[number % 3], _put(number))
    for one in controllers:
        one.wipe()
        one.start()
        world.run_without_faults(12.0)
        assert one.shard.orders.history.floor == 0
        assert _is_acknowledged(world, one, _put(1))
    for one in controllers:
        one.start()
    world.run_without_faults(1.0)
    for one in controllers:
        assert _is_acknowledged(world, one, _put(1)) and _is_acknowledged(world, one, _put(70))
        assert not _is_acknowledged(world, one, replace(_put(1), digest=b"other"))


def test_a_history_is_bounded_and_its_oldest_records_are_deleted() -> None:
    history = OrderHistory(max_orders=5)
    for number in range(1, 9):
        history.merge(tuple((n, b"") for n in range(max(1, number - 3), number + 1)), number < LISTED)
    assert list(history.numbers) == [4, 5, 6, 7, 8] and history.floor == 4 and history.outdated == [1, 2, 3]
    assert history.verdict(4, b"", 3, 8) is Verdict.UNKNOWN
    assert history.verdict(5, b"", 4, 8) is Verdict.COMMITTED
    assert history.entries[4] == Entry(b"", -1) and order_log.PAGE_ORDERS < order_history.MAX_ORDERS


def test_the_state_of_a_restored_group_overrides_the_disk() -> None:
    history = OrderHistory()
    history.load([(1, Entry(b"a", 0)), (2, Entry(b"b", 1)), (5, Entry(b"c", 2))])
    history.merge(((1, b"a"), (2, b"b")), True)  # an older state of the same group changes nothing
    assert list(history.numbers) == [1, 2, 5]
    history.merge(((1, b"a"), (2, b"b"), (4, b"x")), True)
    assert list(history.numbers) == [1, 2, 4] and sorted(history.outdated) == [1, 2, 5]


def test_orders_are_loaded_from_the_store_after_a_restart(tmp_path: Path) -> None:
    """The records of orders are stored beside those that the storage check examines at the start."""
    history, loop = OrderHistory(), Loop()
    history.merge(tuple((n, b"%d" % n) for n in range(1, 200)), True)
    store = Store(str(tmp_path), loop)  # type: ignore[arg-type]
    store.write([record(shard_state.CONFIGURATION, n, history.entries[n]) for n in history.numbers])
    close(store)
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path))

    async def load() -> OrderHistory:
        controller = make_controller(tmp_path)
        controller._store.close()
        return controller._runner.configuration_shard.orders.history

    found = asyncio.run(load())
    assert found.entries == history.entries and found.floor == 0
    assert found.verdict(7, b"7", 6, 199) is Verdict.COMMITTED
