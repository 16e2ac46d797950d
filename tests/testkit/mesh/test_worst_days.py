"""The worst days as they are drawn: tables, versions that show themselves, settings of a larger tolerance."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import tomllib
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from orchidferry.mesh.control.configuration_validation import validate
from orchidferry.mesh.settings import parse_settings
from orchidferry.testkit.mesh import servers
from orchidferry.testkit.mesh.actions.isolation import controllers_to_isolate, links_to_cut
from orchidferry.testkit.mesh.call_faults import CallFault, call_fault
from orchidferry.testkit.mesh.changes import OLD_CHANGE_AGE, RESENDS_AFTER_MANY, ChangeStream
from orchidferry.testkit.mesh.configuration import (
    MAX_VERSION_ROUTES,
    build_configuration,
    content_digest,
    find_route,
    next_version,
    path_prefix,
    version_routes,
)
from orchidferry.testkit.mesh.context import RunContext, encode_request
from orchidferry.testkit.mesh.control_api import CALL_TIMEOUT_S
from orchidferry.testkit.mesh.day import DAYS, KINDS, Day, ScheduledAction, machines, ports_from
from orchidferry.testkit.mesh.environment import free_ports
from orchidferry.testkit.mesh.facts import Arrived, Began, ControlCall, Dropped, Fact, Put, Sent
from orchidferry.testkit.mesh.operator import Operator
from orchidferry.testkit.mesh.processes import MAX_SEEDS
from orchidferry.testkit.mesh.revisions import FIRST_REVISION
from orchidferry.testkit.mesh.schedule import CLOSING_FAULTS, ISOLATED_S, WORST_BLOCKS, schedule
from orchidferry.testkit.mesh.servers import Server
from orchidferry.testkit.mesh.settings_file import settings
from orchidferry.testkit.wire import Outcome, Request, RequesterSide, ServerSide
from orchidferry.testkit.world.addresses import claim

WORST = [day for day in DAYS.values() if day.generated == "worst"]


@pytest.mark.parametrize("day", WORST, ids=[day.name for day in WORST])
def test_each_schedule_has_all_its_actions_and_the_orders_differ(day: Day) -> None:
    drawn = set()
    for seed in range(2400):
        found = schedule(day, seed, day.seconds)
        assert found == schedule(day, seed, day.seconds)
        whats = [one.action for one in found]
        assert sorted(whats[1:-2]) == sorted(what for block in WORST_BLOCKS for what in block)
        assert whats[0] == "changes" and whats[-2] in CLOSING_FAULTS and whats[-1] == "send-again"
        assert {one.for_s for one in found if one.action == "isolate"} == {ISOLATED_S}
        assert found[-2].at * day.seconds >= found[-3].at * day.seconds + found[-3].for_s
        for one, following_one in itertools.pairwise(found):
            gap_s = (following_one.at - one.at) * day.seconds
            planned = one.action in ("replace-planned", "changes", *CLOSING_FAULTS)
            assert gap_s >= one.for_s + (0.0 if planned else day.bounds.catch_up_s)
        drawn.add(tuple(whats))
    assert len(drawn) == 240  # orders of five blocks, two closing losses


@pytest.mark.parametrize("day", WORST, ids=[day.name for day in WORST])
def test_settings_say_what_may_be_lost_and_name_a_controller_first(day: Day) -> None:
    cores, sidecars = machines(day, 64, 7)
    assert len(cores) == 2 * day.tolerance + 1
    text = settings(day, ports_from(8140), sidecars[0], cores[1 : MAX_SEEDS + 1], True, Path("/data"))
    assert parse_settings(tomllib.loads(text)).group_size == len(cores)


def test_versions_tell_themselves_and_their_forerunners_apart() -> None:
    day = DAYS["worst-days"]
    versions = [build_configuration(DAYS["worst-days"], 7, 3, False)]
    for number in range(5, 80, 3):
        versions.append(next_version(day, 7, number, versions[-1]))
        assert not hasattr(
            validate(str(versions[-1]).replace("'", '"').replace("False", "false").encode()), "line"
        )
    for n in range(MAX_VERSION_ROUTES, len(versions)):
        own = version_routes(versions[n])[0]
        host = versions[n]["access_points"][0]["host_name"]
        having = [find_route(one, host, own + "x") is not None for one in versions]
        assert having == [n <= other < n + MAX_VERSION_ROUTES for other in range(len(versions))]
    race = [next_version(day, 7, 99, versions[-1], tag) for tag in ("", "b")]
    assert content_digest(race[0]) != content_digest(race[1])


def test_old_orders_that_are_sent_again_are_the_last_any_or_one_of_long_ago() -> None:
    async def main() -> None:
        day = DAYS["worst-days"]
        nobody = Any
        context: Any = type("Scene", (), {"seed": 7})
        changes = ChangeStream(context, day, [], (nobody, nobody), nobody, nobody)  # type: ignore[arg-type]
        config = build_configuration(day, 7, 3, False)
        changes._acknowledged = [Put(0.0, "o", n, 0, True, config, 0.0, 0.0, 200) for n in range(100)]
        chosen = [changes._index_to_resend(turn) for turn in range(300)]
        assert chosen.count(99) > 60 and sum(n <= 100 - OLD_CHANGE_AGE for n in chosen) > 60
        assert len(set(chosen)) > 50

    asyncio.run(main())


@pytest.mark.parametrize("day", WORST, ids=[day.name for day in WORST])
def test_isolations_cut_no_more_than_may_be_lost_in_all_ways(day: Day) -> None:
    cores, sidecars = machines(day, 64, 7)
    drawn = set()
    counts = set()
    for seed in range(100):
        platform = SimpleNamespace(removed=())
        env: Any = SimpleNamespace(seed=seed, day=day, cores=cores, sidecars=sidecars, platform=platform)
        chosen = controllers_to_isolate(env, ScheduledAction(0.1, "isolate"))
        links = links_to_cut(env, chosen)
        pairs, words = links.directions, links.description
        names = {one.name for one in chosen}
        controllers = {one.name for one in cores}
        assert 1 <= len(names) <= day.tolerance
        assert pairs and all(names & set(pair) for pair in pairs)
        # From every other controller, in one direction at least.
        assert {frozenset(pair) for pair in pairs} >= {
            frozenset((one, other)) for one in names for other in controllers - names
        }
        with_nodes = any(not set(pair) <= controllers for pair in pairs)
        assert with_nodes == ("from all" in words)
        drawn.add((with_nodes, words.rsplit(", ", 1)[1]))
        counts.add(len(names))
    assert len(drawn) == 6 and counts == set(range(1, day.tolerance + 1))


def test_an_order_whose_answer_is_lost_is_sent_again_as_it_was() -> None:
    day, facts, bodies = DAYS["worst-days"], list[Fact](), list[bytes]()
    config = build_configuration(day, 7, 5, False)

    async def main() -> Put:
        block, held = claim()
        with contextlib.closing(held):
            cores, _ = machines(day, block.number, 7)
            places = free_ports([machine.ip for machine in cores])

            def asked(connection: ServerSide, request: Request) -> None:
                bodies.append(request.body + request.headers["if-match"].encode())
                connection.answer(200, b"{}")

            def side() -> ServerSide:
                return ServerSide(asked, lambda _: None, lambda _: None)

            loop = asyncio.get_running_loop()
            listeners = [await loop.create_server(side, one.ip, places.control) for one in cores]
            context = RunContext(7, places, facts.append, time.monotonic())
            operator = Operator(context, cores, "operator-1", f"127.{block.number}.200.1")
            put = await operator.put(config, 3, True, 10.0, cores[2], lost_answers=1)
            await operator.resend(put, cores[1])
            for listener in listeners:
                listener.close()
            return put

    put = asyncio.run(main())
    calls = [fact for fact in facts if isinstance(fact, ControlCall)]
    assert len(bodies) == 3 and len(set(bodies)) == 1 and bodies[0].endswith(b"3")
    assert [(call.status, call.lost) for call in calls] == [(200, True), (200, False), (200, False)]
    assert calls[0].machine == machines(day, 64, 7)[0][2].name
    assert {call.content for call in calls} == {content_digest(config)}
    assert [fact for fact in facts if isinstance(fact, Put)] == [put]
    assert put.acked is not None and put.acked - put.t >= CALL_TIMEOUT_S and put.status == 200


def test_many_changes_build_on_each_other_and_older_orders_are_sent_again_everywhere() -> None:
    day, resent = DAYS["worst-days"], list[tuple[int, str]]()
    orders = list[tuple[int, int]]()

    class Acknowledging:
        async def put(self, config: Any, base: int, *_: Any) -> Put:
            orders.append((base, config["revision_number"]))
            return Put(0.0, "o", config["revision_number"], base, True, config, 0.0, 0.0, 200)

        async def resend(self, order: Put, at: Any) -> None:
            resent.append((order.revision, at.name))

    async def main() -> str:
        context: Any = SimpleNamespace(seed=7, now=lambda: 0.0)
        operators: Any = (Acknowledging(), Acknowledging())
        nobody: Any = None
        cores, _ = machines(day, 64, 7)
        changes = ChangeStream(context, day, cores, operators, nobody, nobody)
        await changes.change_in_a_row(RESENDS_AFTER_MANY, 1.0)
        return await changes.change_in_a_row(200, 1.0)

    assert asyncio.run(main()) == "200 in a row"
    assert len(orders) == 200 + RESENDS_AFTER_MANY and orders[0][0] == FIRST_REVISION
    assert all(before[1] == after[0] < after[1] for before, after in itertools.pairwise(orders))
    assert {revision for revision, _ in resent} == {revision for _, revision in orders[:RESENDS_AFTER_MANY]}
    assert len(resent) == len(set(resent)) == RESENDS_AFTER_MANY * day.cores


@pytest.mark.parametrize("fault", CallFault)
def test_a_faulty_server_breaks_off_calls_that_may_not_be_repeated(
    fault: CallFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it did is in the record, and nobody hears a whole answer."""
    monkeypatch.setattr(servers, "SILENCE_BEYOND_DEADLINE_S", 0.0)
    day, facts = DAYS["worst-days"], list[Fact]()
    id = next(id for id in map(str, range(1000)) if call_fault(7, id) is fault)
    charge = next(kind for kind in KINDS if kind.route_type == "non_idempotent")

    async def main() -> list[Outcome]:
        block, held = claim()
        with contextlib.closing(held):
            machine = machines(day, block.number, 7)[1][0]
            context = RunContext(7, free_ports([machine.ip]), facts.append, time.monotonic())
            server = Server(context, day, machine)
            server.faulty = True
            await server.start()
            outcomes = []
            for route in (charge, KINDS[0]):
                sent = Sent(
                    context.now(),
                    id if route is charge else "read",
                    route.name,
                    machine.name,
                    "h",
                    "POST" if route is charge else "GET",
                    f"{path_prefix(7, route.name)}x",
                    "",
                    "",
                    route.repeatable,
                    context.now() + (0.05 if route is charge else 1.0),
                    id,
                    0.0,
                )
                connection = await context.pool(machine).connection(server.address)
                assert isinstance(connection, RequesterSide)
                asked = connection.ask(sent.id, encode_request(sent, context.now(), b"", False))
                outcomes.append(await asked)
            server.close()
            context.close()
            return outcomes

    broken, sound = asyncio.run(main())
    assert sound.how == "answer" and sound.status == 200
    assert broken.how == ("broken" if fault is CallFault.RESET_DURING_ANSWER else "reset")
    number = next(fact.n for fact in facts if isinstance(fact, Arrived) and fact.id == id)
    own = [type(fact) for fact in facts if getattr(fact, "n", None) == number]
    assert (
        own == [Arrived, Dropped] if fault is CallFault.RESET_BEFORE_EXECUTION else [Arrived, Began, Dropped]
    )


def test_a_servers_successor_starts_at_its_address_as_another_one() -> None:
    async def main() -> None:
        block, held = claim()
        with contextlib.closing(held):
            machine = machines(DAYS["worst-days"], block.number, 7)[1][0]
            context = RunContext(7, free_ports([machine.ip]), list[Fact]().append, time.monotonic())
            ids = set[str]()
            server = Server(context, DAYS["worst-days"], machine)
            for _ in range(3):
                await server.start()
                connection = await context.pool(machine).connection(server.address, fresh=True)
                assert isinstance(connection, RequesterSide)
                ids.add(server.id)
                server.close()
                server = server.successor()
            context.close()
            assert len(ids) == 3

    asyncio.run(main())
