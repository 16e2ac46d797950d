"""Stand-in servers and discovery on sockets, without nodes."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidferry.testkit.exchange import RequestSender, encode_request, expected_body
from orchidferry.testkit.record import (
    ExecutionEnded,
    ExecutionStarted,
    Fact,
    Recorder,
    RequestReceived,
    ServerDown,
    ServerUp,
    StatusAnnounced,
    read_folder,
)
from orchidferry.testkit.scenario import Scenario, read_scenario
from orchidferry.testkit.wire import Address, Outcome, Pool, RequesterSide, get
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.discovery import DiscoveryService, ListedServer, Registry
from orchidferry.testkit.world.machine import SeenKeys
from orchidferry.testkit.world.plan import Server
from orchidferry.testkit.world.standin import StandIn, WorkerContext
from tests.node.peers import LIMIT_S, Peer, Seen, answer, run, until

SCENARIO = read_scenario({"name": "x"}, "x")
SAFE, KEYED, UNSAFE = (replace(cls, work_s=0.01, spread=0.0) for cls in SCENARIO.classes)
FAST_SCENARIO: Scenario = replace(SCENARIO, classes=(SAFE, KEYED, UNSAFE))
ONE_TIER: Scenario = replace(FAST_SCENARIO, tiers=(replace(FAST_SCENARIO.tiers[0], work=1.0),))


class ServerFixture:
    """One stand-in server at a free address, and a client that sends requests to it."""

    def __init__(self, tmp_path: Path, scenario: Scenario, next_tier: Address | None = None) -> None:
        self.scenario = scenario
        self.recorder = Recorder(tmp_path / "x.facts", 0.0)
        self.sender = RequestSender(scenario, self.recorder)
        self.collapsed: list[str] = []
        keys = SeenKeys()
        node = None if next_tier is None else ("s/node", next_tier)
        server = Server("s", 0, 0, 1.0, 0, 0)
        context = WorkerContext(scenario, self.recorder, self.sender)
        self.standin = StandIn(server, context, lambda cls: keys, node, self.collapsed.append)

    async def start(self, cold: bool = False) -> None:
        await self.standin.start(("127.0.0.1", 0), cold)
        listener = self.standin._listener
        assert listener is not None
        self.address: Address = listener.sockets[0].getsockname()[:2]

    async def ask(self, id: str, cls: Any = SAFE, key: str = "", timeout_s: float = LIMIT_S) -> Outcome:
        connection = await Pool(lambda _: None).connection(self.address)
        assert isinstance(connection, RequesterSide)
        try:
            data = encode_request(cls, id, key or f"k-{id}", 1, 2.0, False, b"x")
            return await asyncio.wait_for(connection.ask(id, data), timeout_s)
        except TimeoutError:
            return Outcome("timeout", 0.0)
        finally:
            connection.drop()


def run_server(
    tmp_path: Path,
    use_server: Callable[[ServerFixture], Coroutine[Any, Any, None]],
    scenario: Scenario = ONE_TIER,
    next_tier: Address | None = None,
    cold: bool = False,
) -> list[Fact]:
    async def test() -> None:
        fixture = ServerFixture(tmp_path, scenario, next_tier)
        await fixture.start(cold)
        await use_server(fixture)
        fixture.standin.stop("end")
        await fixture.sender.close()
        fixture.recorder.close()

    run(test())
    return read_folder(tmp_path)


def test_served_request_is_recorded_from_receipt_to_end(tmp_path: Path) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        outcome = await fixture.ask("r1.0")
        assert (outcome.status, outcome.body) == (200, expected_body(ONE_TIER.seed, "r1.0"))

    facts = run_server(tmp_path, use_server)
    assert [fact.tag for fact in facts] == ["up", "got", "began", "ended", "down"]
    [received] = [fact for fact in facts if isinstance(fact, RequestReceived)]
    assert received.cls == "ler-feed"
    assert received.work == pytest.approx(0.01)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /ler-feed HTTP/1.1\r\n\r\n", 404),
        (b"GET /nothing HTTP/1.1\r\nX-Call-Id: a\r\n\r\n", 400),
        (b"POST /ler-feed HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /salvar-episodio HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n", 400),
    ],
)
def test_malformed_request_is_rejected_and_not_recorded(tmp_path: Path, data: bytes, status: int) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        connection = await Pool(lambda _: None).connection(fixture.address)
        assert isinstance(connection, RequesterSide)
        assert (await connection.ask("a", data)).status == status
        connection.drop()

    assert not any(isinstance(fact, RequestReceived) for fact in run_server(tmp_path, use_server))


def test_silent_server_never_answers_and_resets_connections_afterwards(tmp_path: Path) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        fixture.standin.set_fault("silent", 1.0, 0)
        assert (await fixture.ask("r1.0", timeout_s=0.1)).how == "timeout"
        waiting = asyncio.ensure_future(fixture.ask("r2.0"))
        await until(lambda: fixture.recorder.facts >= 3)
        fixture.standin.set_fault("silent", 0.0, 0)
        assert (await waiting).how == "reset"
        assert (await fixture.ask("r3.0")).status == 200

    facts = run_server(tmp_path, use_server)
    assert [fact.id for fact in facts if isinstance(fact, RequestReceived)] == ["r1.0", "r2.0", "r3.0"]
    assert [fact.id for fact in facts if isinstance(fact, ExecutionStarted)] == ["r3.0"]


def test_rejected_and_lost_requests_are_recorded_as_such(tmp_path: Path) -> None:
    one_slot = replace(ONE_TIER, tiers=(replace(ONE_TIER.tiers[0], slots=1, room=0),))

    async def use_server(fixture: ServerFixture) -> None:
        fixture.standin.set_fault("freeze", 1.0, 0)
        first = asyncio.ensure_future(fixture.ask("r1.0"))
        await until(lambda: fixture.recorder.facts >= 2)
        assert (await fixture.ask("r2.0")).headers["x-rejected"] == "1"
        fixture.standin.stop("crashed")
        assert (await first).how == "reset"

    facts = run_server(tmp_path, use_server, one_slot)
    assert [(f.id, f.how) for f in facts if isinstance(f, ExecutionEnded)] == [
        ("r2.0", "rejected"),
        ("r1.0", "lost"),
    ]


def test_reset_requests_are_executed_in_part(tmp_path: Path) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        fixture.standin.set_fault("resets", 1.0, 0)
        outcomes = await asyncio.gather(*(fixture.ask(f"r{n}.0") for n in range(30)))
        assert {outcome.how for outcome in outcomes} == {"reset"}
        await until(lambda: not fixture.standin._pending)

    facts = run_server(tmp_path, use_server)
    assert sum(isinstance(fact, RequestReceived) for fact in facts) == 30
    assert 5 < sum(isinstance(fact, ExecutionStarted) for fact in facts) < 25


def test_faults_of_one_kind_may_overlap(tmp_path: Path) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        fixture.standin.set_fault("freeze", 1.0, 0)
        fixture.standin.set_fault("freeze", 1.0, 1)
        fixture.standin.set_fault("freeze", 0.0, 0)
        assert (await fixture.ask("r1.0", timeout_s=0.1)).how == "timeout"  # the other freeze is still active
        fixture.standin.set_fault("freeze", 0.0, 1)
        assert (await fixture.ask("r2.0")).status == 200

    run_server(tmp_path, use_server)


def test_repeated_key_is_answered_without_execution(tmp_path: Path) -> None:
    async def use_server(fixture: ServerFixture) -> None:
        assert (await fixture.ask("r1.0", KEYED, "k")).status == 200
        again = await fixture.ask("r1.1", KEYED, "k")
        assert (again.status, again.body) == (200, expected_body(ONE_TIER.seed, "r1.1"))

    facts = run_server(tmp_path, use_server)
    assert [fact.how for fact in facts if isinstance(fact, ExecutionEnded)] == ["served", "repeat"]
    assert [fact.id for fact in facts if isinstance(fact, ExecutionStarted)] == ["r1.0"]


def test_overloaded_cold_server_collapses_and_refuses_connections(tmp_path: Path) -> None:
    heavy_work = replace(ONE_TIER, classes=(replace(SAFE, work_s=0.4), KEYED, UNSAFE))

    async def use_server(fixture: ServerFixture) -> None:
        outcomes = await asyncio.gather(*(fixture.ask(f"r{n}.0") for n in range(8)))
        assert "reset" in {outcome.how for outcome in outcomes}
        assert fixture.collapsed == ["s"]
        assert isinstance(await Pool(lambda _: None).connection(fixture.address), Outcome)

    facts = run_server(tmp_path, use_server, heavy_work, cold=True)
    assert [fact.cold for fact in facts if isinstance(fact, ServerUp)] == [True]
    assert [fact.why for fact in facts if isinstance(fact, ServerDown)] == ["fell"]


@pytest.mark.parametrize(("status", "end"), [(200, 200), (502, 500), (503, 500)])
def test_call_to_the_next_tier_determines_the_answer(tmp_path: Path, status: int, end: int) -> None:
    class Node(Peer):
        async def script(self, message: Seen) -> bytes:
            return answer(status, expected_body(FAST_SCENARIO.seed, message.id) if status == 200 else b"")

    async def test() -> None:
        node = Node()
        await node.start()
        host, _, port = node.address.partition(":")
        fixture = ServerFixture(
            tmp_path, replace(FAST_SCENARIO, tiers=FAST_SCENARIO.tiers[:2]), (host, int(port))
        )
        await fixture.start()
        assert (await fixture.ask("r1.0", UNSAFE)).status == end
        assert all(seen.id.startswith("r1-") for seen in node.seen)
        assert 1 <= len(node.seen) <= 2
        fixture.standin.stop("end")
        await fixture.sender.close()
        await node.stop()

    run(test())


# Discovery


def entry(name: str, status: str = "active", since: float = 0.0) -> ListedServer:
    return ListedServer(name, 0, "127.0.0.1:9", "z", 0, status, since)


def test_registry_returns_the_latest_change_of_each_server() -> None:
    registry = Registry()
    for change in (entry("a"), entry("b"), entry("a", "leaving"), entry("a", "left")):
        registry.change(change)
    assert registry.index == 5
    is_snapshot, entries = registry.since(None)
    assert is_snapshot and [e.name for e in entries] == ["b"]
    is_snapshot, entries = registry.since(2)
    assert not is_snapshot and [(e.name, e.status) for e in entries] == [("b", "active"), ("a", "left")]
    assert registry.since(5) == (False, [])
    assert registry.since(9)[0], "an index that the registry has not reached gets a snapshot"


def test_registry_returns_a_snapshot_for_an_index_that_is_too_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("orchidferry.testkit.world.discovery.MAX_CHANGES", 3)
    registry = Registry()
    for n in range(6):
        registry.change(entry(f"s{n}"))
    assert registry.since(2)[0]
    assert not registry.since(5)[0]


def test_discovery_records_which_node_was_sent_which_status(tmp_path: Path) -> None:
    async def test() -> None:
        recorder = Recorder(tmp_path / "d.facts", 0.0)
        service = DiscoveryService(1, recorder, 0.0)
        service.registries[0].servers["a"] = entry("a")
        block, reservation = claim()
        addresses = [Block.discovery_for(block.front_node(n)) for n in range(2)]
        for n in range(2):
            await service.attach(f"n{n}", 0, addresses[n])
        assert json.loads((await get(addresses[0], "/api/targets")).body)["snapshot"] is True
        watch = asyncio.ensure_future(get(addresses[0], "/api/targets?index=1&wait=20000", LIMIT_S))
        await until(lambda: bool(service._subscribers["n0"].watches))
        service.list_later(entry("a", "leaving"), 0.0)
        changes = json.loads((await watch).body)
        assert (changes["index"], changes["snapshot"]) == (2, False)
        assert [e["status"] for e in changes["endpoints"]] == ["leaving"]
        idle = json.loads((await get(addresses[0], "/api/targets?index=2&wait=10", LIMIT_S)).body)
        assert idle["endpoints"] == []
        service.set_down(True)
        assert (await get(addresses[1], "/api/targets")).status == 503
        service.close()
        recorder.close()
        reservation.close()

    run(test())
    announced = [
        (f.node, f.server, f.status) for f in read_folder(tmp_path) if isinstance(f, StatusAnnounced)
    ]
    assert announced == [("n0", "a", "active"), ("n0", "a", "leaving")]  # n1 was sent no list


def test_change_counts_as_known_after_a_time_even_if_no_node_asked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("orchidferry.testkit.world.discovery.ASSUMED_KNOWN_AFTER_S", 0.05)

    async def test() -> None:
        recorder = Recorder(tmp_path / "d.facts", 0.0)
        service = DiscoveryService(1, recorder, 0.0)
        service.registries[0].servers["a"] = entry("a")
        block, reservation = claim()
        await service.attach("n0", 0, Block.discovery_for(block.front_node(0)))
        service.known_list(0, "n0")
        service.list_later(entry("a", "leaving"), 0.0)
        await until(lambda: recorder.facts == 2)
        service.close()
        recorder.close()
        reservation.close()

    run(test())
    assert [(f.status, f.deemed) for f in read_folder(tmp_path) if isinstance(f, StatusAnnounced)] == [
        ("active", False),
        ("leaving", True),
    ]


def test_concurrent_runs_have_distinct_addresses() -> None:
    (first_block, first_reservation), (second_block, second_reservation) = claim(), claim()
    assert first_block.number != second_block.number
    first_reservation.close()
    second_reservation.close()
    addresses = [first_block.server(n) for n in range(5000)] + [
        first_block.sidecar_node(n) for n in range(5000)
    ]
    addresses += [first_block.front_node(n) for n in range(500)]
    assert len(set(addresses)) == len(addresses)
    assert all(0 < int(part) < 255 for host, _ in addresses for part in host.split(".")[2:])
