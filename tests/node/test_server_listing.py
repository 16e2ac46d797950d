"""Long server lists: decoded and passed on in steps, with requests served in between and drains at once."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer
from orchidferry.node import discovery, server_listing, server_table
from orchidferry.node.clock import unix_offset_ms
from orchidferry.node.server_listing import decode_listing, read_listing, server_id
from tests.node.peers import Server, run, until, world


def listed(count: int, **changes: Any) -> list[dict[str, Any]]:
    return [
        {
            "name": f"far-{n}",
            "address": "127.0.0.1:9",
            "zone": "z",
            "type": "k",
            "group": n % 7,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        | changes
        for n in range(count)
    ]


def run_steps(steps: Generator[None, None, Any]) -> tuple[Any, int]:
    """Return the result of a generator that works in steps, and the number of its steps."""
    count = 0
    while True:
        try:
            next(steps)
            count += 1
        except StopIteration as done:
            return done.value, count


@pytest.fixture
def list_events(monkeypatch: pytest.MonkeyPatch) -> list[api.ServerList]:
    """Make the steps so small that a list of some dozen entries is long.

    :returns: all events with server lists that the balancer gets.
    """
    monkeypatch.setattr(discovery, "LONG_LIST_BYTES", 1_000)
    monkeypatch.setattr(server_listing, "ENTRIES_PER_STEP", 5)
    monkeypatch.setattr(server_table, "ENTRIES_PER_EVENT", 10)
    events: list[api.ServerList] = []
    handle = Balancer.handle

    def watched(self: Balancer, event: api.Event, now_ms: float) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            events.append(event)
        return handle(self, event, now_ms)

    monkeypatch.setattr(Balancer, "handle", watched)
    return events


def test_a_long_list_is_passed_on_in_steps_with_requests_served_in_between(
    tmp_path: Path, list_events: list[api.ServerList]
) -> None:
    async def test() -> None:
        near = Server(name="near")
        async with world(tmp_path, near) as scene:
            assert scene.node is not None
            assert (await scene.ask("before")).status == 200
            list_events.clear()
            far = listed(95)
            far[60]["status"] = "leaving"
            scene.registry.tell(near.entry(), *far, snapshot=True)
            await until(lambda: sum(len(event.entries) for event in list_events) >= 96)
            assert max(len(event.entries) for event in list_events) <= 10
            assert list_events[0].entries[0].server == server_id("far-60")  # servers that drain come first
            await until(lambda: not scene.node._list_feed.active if scene.node else False)
            entries = scene.node._balancer.server_set.entries
            assert entries.keys() == {server_id("near"), *(server_id(f"far-{n}") for n in range(95))}
            # Afterwards, a few changes, and complete lists that remove many servers.
            scene.registry.tell(*(entry | {"status": "left"} for entry in far[:3]))
            await until(lambda: len(entries) == 93)
            scene.registry.tell(near.entry(), *far[3:40], snapshot=True)
            await until(lambda: len(entries) == 38)
            scene.registry.tell(near.entry(), snapshot=True)
            await until(lambda: len(entries) == 1)
            assert (await scene.ask("after")).status == 200

    run(test())


def test_a_drain_in_a_long_list_takes_effect_before_the_balancer_is_notified(
    tmp_path: Path, list_events: list[api.ServerList], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        one, other = Server(name="one"), Server(name="other")
        async with world(tmp_path, one, other) as scene:
            assert scene.node is not None
            monkeypatch.setattr(
                server_table.ServerListFeed, "_pass_on_next", lambda self: None
            )  # the balancer is not notified
            scene.registry.tell(one.entry(status="leaving"), other.entry(), *listed(50), snapshot=True)
            in_service = scene.node.servers.in_service
            await until(lambda: server_id("far-0") in in_service)
            assert server_id("one") not in in_service
            seen = len(one.seen)
            answers = await asyncio.gather(*(scene.ask(f"r{n}") for n in range(20)))
            assert len(one.seen) == seen
            assert any(answer.status == 200 for answer in answers)

    run(test())


def test_a_long_list_that_can_not_be_decoded_is_a_failure_and_requested_again(
    tmp_path: Path, list_events: list[api.ServerList]
) -> None:
    async def test() -> None:
        near = Server(name="near")
        async with world(tmp_path, near) as scene:
            assert scene.node is not None
            bad = listed(60)
            bad[59]["status"] = "dancing"
            scene.registry.tell(*bad, snapshot=True)
            await until(lambda: any(event.kind is api.ListKind.FAILED for event in list_events))
            assert (await scene.ask("still")).status == 200
            scene.registry.tell(near.entry(), *listed(30), snapshot=True)
            entries = scene.node._balancer.server_set.entries
            await until(lambda: len(entries) == 31)

    run(test())


def test_a_list_that_is_being_decoded_is_dropped_when_the_discovery_address_changes(
    tmp_path: Path, list_events: list[api.ServerList]
) -> None:
    async def test() -> None:
        near = Server(name="near")
        async with world(tmp_path, near) as scene:
            assert scene.node is not None
            client = scene.node._discovery
            await until(lambda: bool(scene.registry.seen))
            client._end_call()
            client._call = client._loop.create_task(
                client._read_in_steps(
                    json.dumps({"index": 9, "snapshot": True, "endpoints": listed(200)}).encode(), True
                )
            )
            await asyncio.sleep(0)
            client.move(client._address)
            await asyncio.sleep(0.05)
            assert not any(server_id("far-0") in {e.server for e in event.entries} for event in list_events)
            assert (await scene.ask("still")).status == 200

    run(test())


def test_decoding_in_steps_and_in_one_go_give_the_same_list() -> None:
    obj = {"index": 3, "snapshot": True, "endpoints": listed(1_003, since_ms=1_700_000_000_000)}
    listing, count = run_steps(decode_listing(obj))
    assert listing == read_listing(obj)
    assert count == 1_003 // server_listing.ENTRIES_PER_STEP


def test_an_unchanged_entry_is_decoded_to_the_same_value_again(monkeypatch: pytest.MonkeyPatch) -> None:
    obj = {"index": 3, "snapshot": True, "endpoints": listed(1, since_ms=1_700_000_000_000)}
    first = read_listing(obj)
    now = time.time()
    monkeypatch.setattr("time.time", lambda: now + 0.01)  # the clocks drift a little
    assert read_listing(obj) == first
    monkeypatch.setattr("time.time", lambda: now + 100.0)  # one of the clocks is set
    assert read_listing(obj) != first
    monkeypatch.undo()
    unix_offset_ms()


def parsed(body: bytes) -> Any:
    return run_steps(server_listing.parse_listing(body))[0]


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**53), 2**53)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner, max_size=4),
    max_leaves=12,
)


# Without a deadline and this health check, as the machine may be busy
@hypothesis_settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.dictionaries(st.sampled_from(["index", "endpoints", "snapshot", "x"]), JSON, max_size=4), st.booleans()
)
def test_parsing_in_steps_gives_the_same_result_as_the_json_module(obj: dict[str, Any], wide: bool) -> None:
    body = json.dumps(obj, indent=2 if wide else None).encode()
    assert parsed(body) == json.loads(body)


@hypothesis_settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_parsing_in_steps_rejects_the_same_input_as_the_json_module(data: bytes) -> None:
    for body in (data, b'{"endpoints":[' + data + b"]}", b'{"index":1,"endpoints":[{}' + data):
        try:
            expected = json.loads(body)
        except ValueError:
            with pytest.raises(ValueError):
                parsed(body)
            continue
        if isinstance(expected, dict):
            assert parsed(body) == expected
        else:
            with pytest.raises(ValueError):
                parsed(body)
