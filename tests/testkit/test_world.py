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
QUICK: Scenario = replace(SCENARIO, classes=(SAFE, KEYED, UNSAFE))
ALONE: Scenario = replace(QUICK, tiers=(replace(QUICK.tiers[0], work=1.0),))


class Stage:
    """One stand-in server on a free address, with a requester."""

    def __init__(self, tmp_path: Path, scenario: Scenario, below: Address | None = None) -> None:
        self.scenario = scenario
        self.recorder = Recorder(tmp_path / "x.facts", 0.0)
        self.exchanges = RequestSender(scenario, self.recorder)
        self.fallen: list[str] = []
        keys = SeenKeys()
        node = None if below is None else ("s/node", below)
        server = Server("s", 0, 0, 1.0, 0, 0)
        context = WorkerContext(scenario, self.recorder, self.exchanges)
        self.standin = StandIn(server, context, lambda cls: keys, node, self.fallen.append)

    async def up(self, cold: bool = False) -> None:
        await self.standin.start(("127.0.0.1", 0), cold)
        listener = self.standin._listener
        assert listener is not None
        self.address: Address = listener.sockets[0].getsockname()[:2]

    async def ask(self, id: str, cls: Any = SAFE, key: str = "", limit_s: float = LIMIT_S) -> Outcome:
        connection = await Pool(lambda _: None).connection(self.address)
        assert isinstance(connection, RequesterSide)
        try:
            data = encode_request(cls, id, key or f"k-{id}", 1, 2.0, False, b"x")
            return await asyncio.wait_for(connection.ask(id, data), limit_s)
        except TimeoutError:
            return Outcome("timeout", 0.0)
        finally:
            connection.drop()


def play(
    tmp_path: Path,
    work: Callable[[Stage], Coroutine[Any, Any, None]],
    scenario: Scenario = ALONE,
    below: Address | None = None,
    cold: bool = False,
) -> list[Fact]:
    async def test() -> None:
        stage = Stage(tmp_path, scenario, below)
        await stage.up(cold)
        await work(stage)
        stage.standin.stop("end")
        await stage.exchanges.close()
        stage.recorder.close()

    run(test())
    return read_folder(tmp_path)


def test_a_served_request_is_read_begun_and_ended_in_the_record(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        outcome = await stage.ask("r1.0")
        assert (outcome.status, outcome.body) == (200, expected_body(ALONE.seed, "r1.0"))

    facts = play(tmp_path, work)
    assert [fact.tag for fact in facts] == ["up", "got", "began", "ended", "down"]
    [got] = [fact for fact in facts if isinstance(fact, RequestReceived)]
    assert got.cls == "ler-feed"
    assert got.work == pytest.approx(0.01)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /ler-feed HTTP/1.1\r\n\r\n", 404),
        (b"GET /nothing HTTP/1.1\r\nX-Call-Id: a\r\n\r\n", 400),
        (b"POST /ler-feed HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /salvar-episodio HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n", 400),
    ],
)
def test_what_no_client_would_send_is_turned_away_and_not_in_the_record(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def work(stage: Stage) -> None:
        connection = await Pool(lambda _: None).connection(stage.address)
        assert isinstance(connection, RequesterSide)
        assert (await connection.ask("a", data)).status == status
        connection.drop()

    assert not any(isinstance(fact, RequestReceived) for fact in play(tmp_path, work))


def test_a_silent_server_reads_and_never_answers_and_resets_when_it_is_back(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        stage.standin.set_fault("silent", 1.0, 0)
        assert (await stage.ask("r1.0", limit_s=0.1)).how == "timeout"
        waiting = asyncio.ensure_future(stage.ask("r2.0"))
        await until(lambda: stage.recorder.facts >= 3)
        stage.standin.set_fault("silent", 0.0, 0)
        assert (await waiting).how == "reset"
        assert (await stage.ask("r3.0")).status == 200

    facts = play(tmp_path, work)
    assert [fact.id for fact in facts if isinstance(fact, RequestReceived)] == ["r1.0", "r2.0", "r3.0"]
    assert [fact.id for fact in facts if isinstance(fact, ExecutionStarted)] == ["r3.0"]


def test_a_refusal_that_nobody_hears_is_no_proof(tmp_path: Path) -> None:
    tiny = replace(ALONE, tiers=(replace(ALONE.tiers[0], slots=1, room=0),))

    async def work(stage: Stage) -> None:
        stage.standin.set_fault("freeze", 1.0, 0)
        first = asyncio.ensure_future(stage.ask("r1.0"))
        await until(lambda: stage.recorder.facts >= 2)
        assert (await stage.ask("r2.0")).headers["x-rejected"] == "1"
        stage.standin.stop("crashed")
        assert (await first).how == "reset"

    facts = play(tmp_path, work, tiny)
    assert [(f.id, f.how) for f in facts if isinstance(f, ExecutionEnded)] == [
        ("r2.0", "rejected"),
        ("r1.0", "lost"),
    ]


def test_a_resetting_server_resets_and_some_of_what_it_reset_has_run(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        stage.standin.set_fault("resets", 1.0, 0)
        outcomes = await asyncio.gather(*(stage.ask(f"r{n}.0") for n in range(30)))
        assert {outcome.how for outcome in outcomes} == {"reset"}
        await until(lambda: not stage.standin._pending)

    facts = play(tmp_path, work)
    assert sum(isinstance(fact, RequestReceived) for fact in facts) == 30
    assert 5 < sum(isinstance(fact, ExecutionStarted) for fact in facts) < 25


def test_troubles_of_one_kind_lie_over_each_other(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        stage.standin.set_fault("freeze", 1.0, 0)
        stage.standin.set_fault("freeze", 1.0, 1)
        stage.standin.set_fault("freeze", 0.0, 0)
        assert (await stage.ask("r1.0", limit_s=0.1)).how == "timeout"  # the other still holds it
        stage.standin.set_fault("freeze", 0.0, 1)
        assert (await stage.ask("r2.0")).status == 200

    play(tmp_path, work)


def test_a_repeat_of_a_key_is_answered_and_has_no_effect(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        assert (await stage.ask("r1.0", KEYED, "k")).status == 200
        again = await stage.ask("r1.1", KEYED, "k")
        assert (again.status, again.body) == (200, expected_body(ALONE.seed, "r1.1"))

    facts = play(tmp_path, work)
    assert [fact.how for fact in facts if isinstance(fact, ExecutionEnded)] == ["served", "repeat"]
    assert [fact.id for fact in facts if isinstance(fact, ExecutionStarted)] == ["r1.0"]


def test_a_cold_server_that_is_rushed_falls_and_refuses_from_then_on(tmp_path: Path) -> None:
    heavy = replace(ALONE, classes=(replace(SAFE, work_s=0.4), KEYED, UNSAFE))

    async def work(stage: Stage) -> None:
        outcomes = await asyncio.gather(*(stage.ask(f"r{n}.0") for n in range(8)))
        assert "reset" in {outcome.how for outcome in outcomes}
        assert stage.fallen == ["s"]
        assert isinstance(await Pool(lambda _: None).connection(stage.address), Outcome)

    facts = play(tmp_path, work, heavy, cold=True)
    assert [fact.cold for fact in facts if isinstance(fact, ServerUp)] == [True]
    assert [fact.why for fact in facts if isinstance(fact, ServerDown)] == ["fell"]


@pytest.mark.parametrize(("status", "end"), [(200, 200), (502, 500), (503, 500)])
def test_a_call_to_the_tier_below_decides_how_the_request_ends(tmp_path: Path, status: int, end: int) -> None:
    class Node(Peer):
        async def script(self, encode_request: Seen) -> bytes:
            return answer(status, expected_body(QUICK.seed, encode_request.id) if status == 200 else b"")

    async def test() -> None:
        node = Node()
        await node.start()
        host, _, port = node.address.partition(":")
        stage = Stage(tmp_path, replace(QUICK, tiers=QUICK.tiers[:2]), (host, int(port)))
        await stage.up()
        assert (await stage.ask("r1.0", UNSAFE)).status == end
        assert all(seen.id.startswith("r1-") for seen in node.seen)
        assert 1 <= len(node.seen) <= 2
        stage.standin.stop("end")
        await stage.exchanges.close()
        await node.stop()

    run(test())


# Discovery


def entry(name: str, status: str = "active", since: float = 0.0) -> ListedServer:
    return ListedServer(name, 0, "127.0.0.1:9", "z", 0, status, since)


def test_a_registry_tells_what_changed_since_once_each() -> None:
    registry = Registry()
    for change in (entry("a"), entry("b"), entry("a", "leaving"), entry("a", "left")):
        registry.change(change)
    assert registry.index == 5
    whole, entries = registry.since(None)
    assert whole and [e.name for e in entries] == ["b"]
    whole, entries = registry.since(2)
    assert not whole and [(e.name, e.status) for e in entries] == [("b", "active"), ("a", "left")]
    assert registry.since(5) == (False, [])
    assert registry.since(9)[0], "a version from elsewhere gets the whole list"


def test_a_registry_that_has_forgotten_a_version_gives_the_whole_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("orchidferry.testkit.world.discovery.MAX_CHANGES", 3)
    registry = Registry()
    for n in range(6):
        registry.change(entry(f"s{n}"))
    assert registry.since(2)[0]
    assert not registry.since(5)[0]


def test_discovery_notes_what_it_has_told_to_whom(tmp_path: Path) -> None:
    async def test() -> None:
        recorder = Recorder(tmp_path / "d.facts", 0.0)
        service = DiscoveryService(1, recorder, 0.0)
        service.registries[0].servers["a"] = entry("a")
        block, held = claim()
        at = [Block.discovery_for(block.front_node(n)) for n in range(2)]
        for n in range(2):
            await service.attach(f"n{n}", 0, at[n])
        assert json.loads((await get(at[0], "/api/targets")).body)["snapshot"] is True
        watch = asyncio.ensure_future(get(at[0], "/api/targets?index=1&wait=20000", LIMIT_S))
        await until(lambda: bool(service._subscribers["n0"].watches))
        service.list_later(entry("a", "leaving"), 0.0)
        news = json.loads((await watch).body)
        assert (news["index"], news["snapshot"]) == (2, False)
        assert [e["status"] for e in news["endpoints"]] == ["leaving"]
        idle = json.loads((await get(at[0], "/api/targets?index=2&wait=10", LIMIT_S)).body)
        assert idle["endpoints"] == []
        service.set_down(True)
        assert (await get(at[1], "/api/targets")).status == 503
        service.close()
        recorder.close()
        held.close()

    run(test())
    told = [(f.node, f.server, f.status) for f in read_folder(tmp_path) if isinstance(f, StatusAnnounced)]
    assert told == [("n0", "a", "active"), ("n0", "a", "leaving")]  # n1 has never been told


def test_a_change_counts_as_told_after_a_while_whether_or_not_it_was_asked_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("orchidferry.testkit.world.discovery.ASSUMED_KNOWN_AFTER_S", 0.05)

    async def test() -> None:
        recorder = Recorder(tmp_path / "d.facts", 0.0)
        service = DiscoveryService(1, recorder, 0.0)
        service.registries[0].servers["a"] = entry("a")
        block, held = claim()
        await service.attach("n0", 0, Block.discovery_for(block.front_node(0)))
        service.known_list(0, "n0")
        service.list_later(entry("a", "leaving"), 0.0)
        await until(lambda: recorder.facts == 2)
        service.close()
        recorder.close()
        held.close()

    run(test())
    assert [(f.status, f.deemed) for f in read_folder(tmp_path) if isinstance(f, StatusAnnounced)] == [
        ("active", False),
        ("leaving", True),
    ]


def test_runs_side_by_side_have_addresses_of_their_own() -> None:
    (one, first), (two, second) = claim(), claim()
    assert one.number != two.number
    first.close()
    second.close()
    addresses = [one.server(n) for n in range(5000)] + [one.sidecar_node(n) for n in range(5000)]
    addresses += [one.front_node(n) for n in range(500)]
    assert len(set(addresses)) == len(addresses)
    assert all(0 < int(part) < 255 for host, _ in addresses for part in host.split(".")[2:])
