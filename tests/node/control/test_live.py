"""New settings and members under way: in the module, and in a node that serves."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Part
from orchidferry.node.config import read_config
from orchidferry.node.control.messages import pool_message
from orchidferry.node.control.settings import Control
from orchidferry.node.control.store import FORM, decode
from orchidferry.node.extensions import Extensions
from orchidferry.node.node import Node
from orchidferry.node.server_listing import server_id
from orchidferry.testkit.control.service import Service
from tests.balancing import helpers
from tests.balancing.helpers import KEYED, SAFE, UNSAFE, ends, sends
from tests.node import peers
from tests.node.control.scene import POOL, node, reasons, run
from tests.node.peers import LIMIT_S, Server, World, request, until
from tests.node.test_node import Program

ROOT = Path(__file__).parents[3]
NEW = api.RequestClass("new", 1000.0, 3000.0, 1.0, repeat=api.Repeat.SAFE)


# In the module


def change(made: helpers.Node, **changes: Any) -> list[api.Action]:
    return made.do(api.NewSettings(helpers.settings(**changes)))


def test_what_is_learned_and_what_is_out_outlasts_new_settings() -> None:
    made = helpers.Node(start_capacity=1.0)
    made.serve(60)
    made.ask("open", "unsafe")
    module = made.balancer
    before = {
        id: (s.slowness, s.last_used_ms, dict(s.outstanding)) for id, s in module.server_set.servers.items()
    }
    rate = module.controller.tuned_rate
    share = module.outliers.baseline_share
    change(made, start_capacity=1.0, classes=[SAFE, NEW], max_attempts=1)
    assert {
        id: (s.slowness, s.last_used_ms, dict(s.outstanding)) for id, s in module.server_set.servers.items()
    } == before
    assert (module.controller.tuned_rate, module.outliers.baseline_share, module.inflight) == (rate, share, 1)
    made.end("open", api.Result.SERVED)  # of a class that is not there any more
    assert module.inflight == 0 and not module._calls
    assert sends(made.ask("n", "new"))
    made.end("n", api.Result.SERVED)


def test_a_key_keeps_the_window_that_it_was_taken_under() -> None:
    for old_ms, new_ms, again in ((2000.0, 10.0, True), (100.0, 2000.0, False)):
        made = helpers.Node(classes=[dataclasses.replace(KEYED, window_ms=old_ms)])
        made.ask("k", "keyed")
        change(made, classes=[dataclasses.replace(KEYED, window_ms=new_ms)])
        actions = made.end("k", api.Result.ERROR, 200.0)
        made.now += 300.0
        for token in list(made.balancer._timers):
            actions += made.do(api.TimerFired(token))
        assert bool(sends(actions)) is again, (old_ms, new_ms)
        assert again or ends(actions)


def test_a_class_that_becomes_unsafe_is_not_sent_twice_from_then_on() -> None:
    made = helpers.Node(classes=[SAFE])
    change(made, classes=[dataclasses.replace(SAFE, repeat=api.Repeat.UNSAFE)])
    made.ask("u")
    [end] = ends(made.end("u", api.Result.RESET))
    assert isinstance(end, api.Fail)


def test_a_group_that_was_not_needed_before_is_known_at_once() -> None:
    made = helpers.Node(servers=6, classes=[SAFE])
    change(made, classes=[KEYED])  # by cell
    made.ask("k", "keyed")
    cell = made.sent["k"][0] % 2
    made.end("k", api.Result.ERROR)
    made.now += 100.0
    for token in list(made.balancer._timers):
        made.do(api.TimerFired(token))
    assert [server % 2 for server in made.sent["k"]] == [cell] * len(made.sent["k"])
    made.change(*helpers.entries([6, 7]))
    assert {len(bag) for bag in made.balancer.server_set._groups[api.Group.CELL].values()} == {4}


def test_a_longer_warm_up_counts_for_servers_that_are_within_it() -> None:
    made = helpers.Node(servers=1, ramp_time_ms=0.0)
    made.list_all(helpers.entries([1], started_ms=made.now))
    assert sum(bool(sends(made.ask(f"a{n}"))) for n in range(20)) >= 4
    change(made, ramp_time_ms=60_000.0)
    server = made.balancer.server_set.servers[1]
    assert made.balancer.slow_start.capacity_share(server, made.now) < 0.3
    sent = sum(bool(sends(made.ask(f"b{n}"))) for n in range(50))
    assert sent <= 2  # rule 4's budget


def test_quotas_of_tenants_that_stay_are_not_filled_up_anew() -> None:
    tenant = api.Tenant("t", 0.5, 1.0)
    made = helpers.Node(tenants=[tenant])
    made.ask("a", tenant="t")
    change(made, tenants=[tenant, api.Tenant("u", 0.1, 5.0)])
    assert set(made.balancer.admission.quotas) == {"t", "u"}
    assert made.balancer.admission.quotas["t"][1].tokens < 1.0
    change(made, tenants=[])
    made.ask("b", tenant="t")


CLASSES = [SAFE, KEYED, UNSAFE, NEW, helpers.KEYED_ALL]


@hypothesis_settings(max_examples=150, deadline=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["ask", "end", "lose", "settings", "list"]), strategies.integers(0, 31)
        ),
        max_size=60,
    )
)
def test_whatever_settings_come_between_requests_the_books_stay_even(script: list[tuple[str, int]]) -> None:
    made = helpers.Node(start_capacity=1.0)
    open_ids: list[str] = []

    def did(actions: list[api.Action]) -> None:  # any event may set a send off
        open_ids.extend(send.id for send in sends(actions))

    def fire(after_ms: float) -> None:
        for token in list(made.balancer._timers):
            did(made.do(api.TimerFired(token), after_ms))

    for at, (what, number) in enumerate(script):
        names = list(made.balancer.classes)
        if what == "ask":
            did(made.ask(f"r{at}", names[number % len(names)]))
        elif what in ("end", "lose") and open_ids:
            result = api.Result.SERVED if what == "end" else api.Result.RESET
            did(made.end(open_ids.pop(number % len(open_ids)), result, 5.0))
        elif what == "settings":
            some = [cls for n, cls in enumerate(CLASSES) if number >> n & 1] or [SAFE]
            did(change(made, classes=some, max_attempts=1 + number % 3, ramp_time_ms=number * 10.0))
        elif what == "list":
            did(made.list_all(helpers.entries(range(number % 7)), version=at + 2))
        fire(0.0)
    for _ in range(200):
        if not open_ids:
            break
        did(made.end(open_ids.pop(), api.Result.SERVED, 1.0))
        fire(1.0)
    assert made.balancer.inflight == len(open_ids) == 0


# In a node


def pool(*servers: Server, **changes: Any) -> tuple[Part, str, Any]:
    return Part.MEMBERS, POOL, pool_message(POOL, [server.entry(**changes) for server in servers])


@contextlib.asynccontextmanager
async def scene(path: Path, *servers: Server, state: bool = False) -> AsyncIterator[tuple[World, Service]]:
    """A node, its peers and a control service that says nothing yet; discovery lists the first server."""
    service = Service()
    await service.start()
    async with peers.world(path, *servers, start=False) as made:
        made.registry.whole = [servers[0].entry()]
        made.config["known"]["endpoints"] = made.registry.whole
        made.path.write_text(json.dumps(made.config))
        loop = asyncio.get_running_loop()
        control = Control(
            service.address, "n0", "", (POOL, "other"), "entrada", path / "state" if state else None, 0.1
        )
        live = made.node = Node(read_config(str(made.path)), loop, Extensions(control=control))
        made.address = await live.frontend.listen(loop, ("127.0.0.1", 0))
        live.start()
        await until(lambda: service.joined == 1 and live.control is not None and bool(live.control._versions))
        try:
            yield made, service
        finally:
            await service.stop()


async def becomes(service: Service, made: World, label: str, *changes: Any) -> None:
    service.push(label, *changes)
    live = made.node
    assert live is not None and live.control is not None
    link = live.control
    parts = {change[0] for change in changes}
    await until(lambda: all(link._versions[part.value] == label for part in parts))


def test_members_of_the_service_take_the_place_of_discoverys_and_nothing_held_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        async with scene(tmp_path, old, new) as (made, service):
            assert (await made.ask("before")).status == 200
            assert len(old.seen) == 1
            old.gate.clear()
            caller = await made.client()
            caller.write(request("held", "pay"))
            await until(lambda: len(old.seen) == 2)
            await becomes(service, made, "v1", pool(new))
            assert [(await made.ask(f"a{n}")).status for n in range(4)] == [200] * 4
            assert len(new.seen) == 4 and len(old.seen) == 2
            old.gate.set()
            assert (await caller.read()).status == 200  # it was out before, and is answered

    run(test())


def test_classes_that_come_go_and_change_count_for_what_is_taken_from_then_on(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(name="s")
        async with scene(tmp_path, server) as (made, service):
            assert (await made.ask("a", "save-new")).status == 400
            usual = peers.settings()["classes"]
            more = [*usual, next(c for c in usual if c["name"] == "save") | {"name": "save-new"}]
            await becomes(service, made, "v1", pool(server), node(classes=more))
            assert (await made.ask("b", "save-new")).status == 200
            server.gate.clear()
            caller = await made.client()
            caller.write(request("open", "save-new"))
            await until(lambda: server.seen[-1].id == "open")
            await becomes(service, made, "v2", node(classes=usual))
            assert (await made.ask("c", "save-new")).status == 400
            server.gate.set()
            assert (await caller.read()).status == 200
            assert made.node is not None
            assert b"node.calls.save-new.success=2\n" in made.node.render_metrics()
            await until(lambda: made.node is not None and not made.node._balancer.inflight)

    run(test())


def test_a_drain_by_the_channel_and_one_by_discovery_both_count_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        one, two, three = (Server(name=name) for name in "abc")
        async with scene(tmp_path, one, two, three) as (made, service):
            await becomes(service, made, "v1", pool(one, two, three))
            changed = [one.entry(status="leaving"), two.entry(), three.entry()]
            await becomes(service, made, "v2", (Part.MEMBERS, POOL, pool_message(POOL, changed)))
            for n in range(6):
                assert (await made.ask(f"x{n}")).status == 200
            assert one.seen == []
            made.registry.tell(two.entry(status="leaving"))
            live = made.node
            assert live is not None
            await until(lambda: server_id("b") not in live.servers.in_service)
            count = len(two.seen)
            await becomes(
                service,
                made,
                "v3",
                (
                    Part.MEMBERS,
                    POOL,
                    pool_message(
                        POOL,
                        [
                            *changed,
                        ],
                    ),
                ),
            )
            for n in range(6):
                assert (await made.ask(f"y{n}")).status == 200
            assert len(two.seen) == count and one.seen == []  # the service has it in service still
            made.registry.tell(two.entry())
            await until(lambda: server_id("b") in live.servers.in_service)

    run(test())


def test_a_drain_whose_version_was_superseded_ends_with_the_next(tmp_path: Path) -> None:
    """Its member was as before, so that it was not listed anew and got nothing any more."""

    async def test() -> None:
        one, two = Server(name="a"), Server(name="b")
        async with scene(tmp_path, one, two) as (made, service):
            await becomes(service, made, "v1", pool(one, two))
            live = made.node
            assert live is not None
            assert live.control is not None
            live.control.members.drain([server_id("b")])
            assert server_id("b") not in live.servers.in_service
            await becomes(service, made, "v2", pool(one, two))
            await until(lambda: server_id("b") in live.servers.in_service)

    run(test())


def test_a_cold_server_by_the_channel_is_not_pushed_over(tmp_path: Path) -> None:
    async def test() -> None:
        warm = Server(name="warm")
        cold = Server(name="cold")
        async with scene(tmp_path, warm, cold) as (made, service):
            import time

            entries = [warm.entry(), cold.entry(since_ms=int(time.time() * 1000.0))]
            await becomes(service, made, "v1", (Part.MEMBERS, POOL, pool_message(POOL, entries)))
            live = made.node
            assert live is not None
            found = live._balancer.server_set.servers[server_id("cold")]
            assert found.started_ms is not None
            from orchidferry.node.clock import now_ms

            assert live._balancer.slow_start.capacity_share(found, now_ms()) < 0.5

    run(test())


def test_bad_versions_and_an_outage_leave_the_node_serving(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = Server(name="a"), Server(name="b")
        async with scene(tmp_path, one, two, state=True) as (made, service):
            await becomes(service, made, "v1", pool(one, two))
            service.push("bad", pool(one, two, status="leaving"))
            await until(lambda: len(reasons(service, "bad")) == 1)
            assert "no live server" in reasons(service, "bad")[0]
            await service.stop()
            assert [(await made.ask(f"a{n}")).status for n in range(6)] == [200] * 6
            assert one.seen and two.seen

    run(test())


# The process


def kept(path: Path) -> dict[Part, str]:
    """The versions on disk, so far."""
    return dict(decode(path.read_bytes()).versions) if path.exists() else {}


def test_with_the_channel_off_nothing_of_it_is_imported() -> None:
    code = (
        "import sys, orchidferry.__main__, orchidferry.node.node; "
        "bad = [m for m in sys.modules if m.split('.')[0] in ('grpc', 'google', 'envoy', 'xds') "
        "or m.startswith(('orchidferry.node.control', 'orchidferry.balancing.version', "
        "'orchidferry.balancing.configuration'))]; "
        "print(bad); sys.exit(bool(bad))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.parametrize("text", ["service = 3", None])
def test_a_bad_file_of_the_operators_ends_the_start_with_2_and_one_line(
    text: str | None, tmp_path: Path
) -> None:
    async def test() -> None:
        file = tmp_path / "control.toml"
        if text is not None:
            file.write_text(text)
        async with peers.world(tmp_path, Server(), start=False) as made:
            done = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "orchidferry",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"NODE_CONFIG": str(made.path), "ORCHIDFERRY_CONTROL": str(file)},
            )
            _, errors = await asyncio.wait_for(done.communicate(), LIMIT_S)
            assert done.returncode == 2 and errors.count(b"\n") == 1 and b"control.toml" in errors

    run(test())


def test_a_node_that_was_killed_starts_with_the_last_good_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        listed, member = Server(name="listed"), Server(name="member")
        service = Service()
        await service.start()
        file = tmp_path / "control.toml"
        file.write_text(
            f'service = "127.0.0.1:{service.address[1]}"\nnode = "n0"\npools = ["{POOL}"]\n'
            'settings = "entrada"\nstate = "state"\nfirst_wait_s = 0.5\n'
        )
        monkeypatch.setenv("ORCHIDFERRY_CONTROL", str(file))
        async with peers.world(tmp_path, listed, member, start=False) as made:
            service.push("v1", pool(member), node())
            made.config["known"]["endpoints"] = made.registry.whole = [listed.entry()]
            made.path.write_text(json.dumps(made.config))
            program = await Program.start(made)
            await until(lambda: len(service.words) == 2)
            await until(
                lambda: kept(tmp_path / "state" / FORM.file_name) == {Part.MEMBERS: "v1", Part.SETTINGS: "v1"}
            )
            assert (await made.ask("a")).status == 200
            assert [len(member.seen), len(listed.seen)] == [1, 0]
            program.process.send_signal(signal.SIGKILL)
            await asyncio.wait_for(program.process.wait(), LIMIT_S)
            await service.stop()  # and it has nobody to ask
            program = await Program.start(made)
            async with asyncio.timeout(LIMIT_S):
                n = 0
                while len(member.seen) < 2:
                    n += 1
                    assert (await made.ask(f"b{n}")).status == 200
                    await asyncio.sleep(0.05)
            program.process.terminate()
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0

    run(test())
