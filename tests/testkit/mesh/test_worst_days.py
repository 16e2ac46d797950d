"""The worst-days scenarios: schedules, identifiable versions, isolations, resends, and faulty servers."""

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
def test_each_schedule_has_all_actions_and_the_orders_differ(day: Day) -> None:
    orders = set()
    for seed in range(2400):
        found = schedule(day, seed, day.seconds)
        assert found == schedule(day, seed, day.seconds)
        actions = [one.action for one in found]
        assert sorted(actions[1:-2]) == sorted(action for block in WORST_BLOCKS for action in block)
        assert actions[0] == "changes" and actions[-2] in CLOSING_FAULTS and actions[-1] == "send-again"
        assert {one.for_s for one in found if one.action == "isolate"} == {ISOLATED_S}
        assert found[-2].at * day.seconds >= found[-3].at * day.seconds + found[-3].for_s
        for one, following_one in itertools.pairwise(found):
            gap_s = (following_one.at - one.at) * day.seconds
            planned = one.action in ("replace-planned", "changes", *CLOSING_FAULTS)
            assert gap_s >= one.for_s + (0.0 if planned else day.bounds.catch_up_s)
        orders.add(tuple(actions))
    assert len(orders) == 240  # 120 orders of five blocks, two closing faults


@pytest.mark.parametrize("day", WORST, ids=[day.name for day in WORST])
def test_settings_have_the_tolerance_from_which_the_group_size_follows(day: Day) -> None:
    cores, sidecars = machines(day, 64, 7)
    assert len(cores) == 2 * day.tolerance + 1
    text = settings(day, ports_from(8140), sidecars[0], cores[1 : MAX_SEEDS + 1], True, Path("/data"))
    assert parse_settings(tomllib.loads(text)).group_size == len(cores)


def test_versions_are_identified_by_their_routes() -> None:
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
        has_route = [find_route(one, host, own + "x") is not None for one in versions]
        assert has_route == [n <= other < n + MAX_VERSION_ROUTES for other in range(len(versions))]
    race = [next_version(day, 7, 99, versions[-1], tag) for tag in ("", "b")]
    assert content_digest(race[0]) != content_digest(race[1])


def test_resent_changes_are_the_last_any_or_an_old_one() -> None:
    async def main() -> None:
        day = DAYS["worst-days"]
        unused = Any
        context: Any = type("Scene", (), {"seed": 7})
        changes = ChangeStream(context, day, [], (unused, unused), unused, unused)  # type: ignore[arg-type]
        config = build_configuration(day, 7, 3, False)
        changes._acknowledged = [Put(0.0, "o", n, 0, True, config, 0.0, 0.0, 200) for n in range(100)]
        chosen = [changes._index_to_resend(turn) for turn in range(300)]
        assert chosen.count(99) > 60 and sum(n <= 100 - OLD_CHANGE_AGE for n in chosen) > 60
        assert len(set(chosen)) > 50

    asyncio.run(main())


@pytest.mark.parametrize("day", WORST, ids=[day.name for day in WORST])
def test_isolations_stay_within_the_tolerance_and_occur_in_all_variants(day: Day) -> None:
    cores, sidecars = machines(day, 64, 7)
    variants = set()
    counts = set()
    for seed in range(100):
        platform = SimpleNamespace(removed=())
        env: Any = SimpleNamespace(seed=seed, day=day, cores=cores, sidecars=sidecars, platform=platform)
        chosen = controllers_to_isolate(env, ScheduledAction(0.1, "isolate"))
        links = links_to_cut(env, chosen)
        pairs, description = links.directions, links.description
        names = {one.name for one in chosen}
        controllers = {one.name for one in cores}
        assert 1 <= len(names) <= day.tolerance
        assert pairs and all(names & set(pair) for pair in pairs)
        # Cut from every other controller, in at least one direction.
        assert {frozenset(pair) for pair in pairs} >= {
            frozenset((one, other)) for one in names for other in controllers - names
        }
        with_sidecars = any(not set(pair) <= controllers for pair in pairs)
        assert with_sidecars == ("from all" in description)
        variants.add((with_sidecars, description.rsplit(", ", 1)[1]))
        counts.add(len(names))
    assert len(variants) == 6 and counts == set(range(1, day.tolerance + 1))


def test_a_change_whose_answer_is_lost_is_resent_unmodified() -> None:
    day, facts, bodies = DAYS["worst-days"], list[Fact](), list[bytes]()
    config = build_configuration(day, 7, 5, False)

    async def main() -> Put:
        block, reservation = claim()
        with contextlib.closing(reservation):
            cores, _ = machines(day, block.number, 7)
            ports = free_ports([machine.ip for machine in cores])

            def on_request(connection: ServerSide, request: Request) -> None:
                bodies.append(request.body + request.headers["if-match"].encode())
                connection.answer(200, b"{}")

            def protocol() -> ServerSide:
                return ServerSide(on_request, lambda _: None, lambda _: None)

            loop = asyncio.get_running_loop()
            listeners = [await loop.create_server(protocol, one.ip, ports.control) for one in cores]
            context = RunContext(7, ports, facts.append, time.monotonic())
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


def test_many_changes_build_on_each_other_and_earlier_ones_are_resent_to_each_controller() -> None:
    day, resent = DAYS["worst-days"], list[tuple[int, str]]()
    sent = list[tuple[int, int]]()  # base and revision

    class AcknowledgingOperator:
        async def put(self, config: Any, base: int, *_: Any) -> Put:
            sent.append((base, config["revision_number"]))
            return Put(0.0, "o", config["revision_number"], base, True, config, 0.0, 0.0, 200)

        async def resend(self, change: Put, controller: Any) -> None:
            resent.append((change.revision, controller.name))

    async def main() -> str:
        context: Any = SimpleNamespace(seed=7, now=lambda: 0.0)
        operators: Any = (AcknowledgingOperator(), AcknowledgingOperator())
        unused: Any = None
        cores, _ = machines(day, 64, 7)
        changes = ChangeStream(context, day, cores, operators, unused, unused)
        await changes.change_in_a_row(RESENDS_AFTER_MANY, 1.0)
        return await changes.change_in_a_row(200, 1.0)

    assert asyncio.run(main()) == "200 in a row"
    assert len(sent) == 200 + RESENDS_AFTER_MANY and sent[0][0] == FIRST_REVISION
    assert all(before[1] == after[0] < after[1] for before, after in itertools.pairwise(sent))
    assert {revision for revision, _ in resent} == {revision for _, revision in sent[:RESENDS_AFTER_MANY]}
    assert len(resent) == len(set(resent)) == RESENDS_AFTER_MANY * day.cores


@pytest.mark.parametrize("fault", CallFault)
def test_a_faulty_server_injects_its_faults_into_non_idempotent_calls(
    fault: CallFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The record has how far the execution got, and the client gets no complete response."""
    monkeypatch.setattr(servers, "SILENCE_BEYOND_DEADLINE_S", 0.0)
    day, facts = DAYS["worst-days"], list[Fact]()
    id = next(id for id in map(str, range(1000)) if call_fault(7, id) is fault)
    charge = next(kind for kind in KINDS if kind.route_type == "non_idempotent")

    async def main() -> list[Outcome]:
        block, reservation = claim()
        with contextlib.closing(reservation):
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
                outcome = connection.ask(sent.id, encode_request(sent, context.now(), b"", False))
                outcomes.append(await outcome)
            server.close()
            context.close()
            return outcomes

    faulty, normal = asyncio.run(main())
    assert normal.how == "answer" and normal.status == 200
    assert faulty.how == ("broken" if fault is CallFault.RESET_DURING_ANSWER else "reset")
    number = next(fact.n for fact in facts if isinstance(fact, Arrived) and fact.id == id)
    kinds = [type(fact) for fact in facts if getattr(fact, "n", None) == number]
    executed = [] if fault is CallFault.RESET_BEFORE_EXECUTION else [Began]
    assert kinds == [Arrived, *executed, Dropped]


def test_a_servers_successor_starts_at_the_same_address_with_another_id() -> None:
    async def main() -> None:
        block, reservation = claim()
        with contextlib.closing(reservation):
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
