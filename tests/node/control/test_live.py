"""Changes of settings and members while requests are pending: in the balancer, and in a node that serves."""

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
from tests.node.control.harness import POOL, node, reasons, run
from tests.node.peers import LIMIT_S, Server, World, request, until
from tests.node.test_node import Program

ROOT = Path(__file__).parents[3]
NEW = api.RequestClass("new", 1000.0, 3000.0, 1.0, repeat=api.Repeat.SAFE)


# In the balancer


def change(driver: helpers.Node, **changes: Any) -> list[api.Action]:
    """Apply changed settings to a balancer; return its actions."""
    return driver.do(api.NewSettings(helpers.settings(**changes)))


def test_learned_values_and_pending_requests_survive_new_settings() -> None:
    driver = helpers.Node(start_capacity=1.0)
    driver.serve(60)
    driver.ask("open", "unsafe")
    balancer = driver.balancer
    before = {
        id: (s.slowness, s.last_used_ms, dict(s.outstanding)) for id, s in balancer.server_set.servers.items()
    }
    rate = balancer.controller.tuned_rate
    share = balancer.outliers.baseline_share
    change(driver, start_capacity=1.0, classes=[SAFE, NEW], max_attempts=1)
    assert {
        id: (s.slowness, s.last_used_ms, dict(s.outstanding)) for id, s in balancer.server_set.servers.items()
    } == before
    assert (balancer.controller.tuned_rate, balancer.outliers.baseline_share, balancer.inflight) == (
        rate,
        share,
        1,
    )
    driver.end("open", api.Result.SERVED)  # a request of a class that no longer exists
    assert balancer.inflight == 0 and not balancer._calls
    assert sends(driver.ask("n", "new"))
    driver.end("n", api.Result.SERVED)


def test_a_key_keeps_the_window_of_the_settings_it_was_accepted_under() -> None:
    for old_ms, new_ms, resent in ((2000.0, 10.0, True), (100.0, 2000.0, False)):
        driver = helpers.Node(classes=[dataclasses.replace(KEYED, window_ms=old_ms)])
        driver.ask("k", "keyed")
        change(driver, classes=[dataclasses.replace(KEYED, window_ms=new_ms)])
        actions = driver.end("k", api.Result.ERROR, 200.0)
        driver.now += 300.0
        for token in list(driver.balancer._timers):
            actions += driver.do(api.TimerFired(token))
        assert bool(sends(actions)) is resent, (old_ms, new_ms)
        assert resent or ends(actions)


def test_a_request_is_not_resent_once_its_class_has_become_unsafe() -> None:
    driver = helpers.Node(classes=[SAFE])
    change(driver, classes=[dataclasses.replace(SAFE, repeat=api.Repeat.UNSAFE)])
    driver.ask("u")
    [end] = ends(driver.end("u", api.Result.RESET))
    assert isinstance(end, api.Fail)


def test_servers_are_grouped_at_once_when_a_class_first_needs_the_group() -> None:
    driver = helpers.Node(servers=6, classes=[SAFE])
    change(driver, classes=[KEYED])  # this class groups servers by cell
    driver.ask("k", "keyed")
    cell = driver.sent["k"][0] % 2
    driver.end("k", api.Result.ERROR)
    driver.now += 100.0
    for token in list(driver.balancer._timers):
        driver.do(api.TimerFired(token))
    assert [server % 2 for server in driver.sent["k"]] == [cell] * len(driver.sent["k"])
    driver.change(*helpers.entries([6, 7]))
    assert {len(bag) for bag in driver.balancer.server_set._groups[api.Group.CELL].values()} == {4}


def test_a_longer_ramp_time_applies_to_servers_that_started_recently() -> None:
    driver = helpers.Node(servers=1, ramp_time_ms=0.0)
    driver.list_all(helpers.entries([1], started_ms=driver.now))
    assert sum(bool(sends(driver.ask(f"a{n}"))) for n in range(20)) >= 4
    change(driver, ramp_time_ms=60_000.0)
    server = driver.balancer.server_set.servers[1]
    assert driver.balancer.slow_start.capacity_share(server, driver.now) < 0.3
    sent = sum(bool(sends(driver.ask(f"b{n}"))) for n in range(50))
    assert sent <= 2  # rule 4's budget


def test_quotas_of_unchanged_tenants_are_not_refilled() -> None:
    tenant = api.Tenant("t", 0.5, 1.0)
    driver = helpers.Node(tenants=[tenant])
    driver.ask("a", tenant="t")
    change(driver, tenants=[tenant, api.Tenant("u", 0.1, 5.0)])
    assert set(driver.balancer.admission.quotas) == {"t", "u"}
    assert driver.balancer.admission.quotas["t"][1].tokens < 1.0
    change(driver, tenants=[])
    driver.ask("b", tenant="t")


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
def test_no_request_stays_in_flight_after_any_sequence_of_settings_and_requests(
    script: list[tuple[str, int]],
) -> None:
    driver = helpers.Node(start_capacity=1.0)
    open_ids: list[str] = []

    def record(actions: list[api.Action]) -> None:  # any event may cause a send
        open_ids.extend(send.id for send in sends(actions))

    def fire(after_ms: float) -> None:
        for token in list(driver.balancer._timers):
            record(driver.do(api.TimerFired(token), after_ms))

    for at, (what, number) in enumerate(script):
        names = list(driver.balancer.classes)
        if what == "ask":
            record(driver.ask(f"r{at}", names[number % len(names)]))
        elif what in ("end", "lose") and open_ids:
            result = api.Result.SERVED if what == "end" else api.Result.RESET
            record(driver.end(open_ids.pop(number % len(open_ids)), result, 5.0))
        elif what == "settings":
            some = [cls for n, cls in enumerate(CLASSES) if number >> n & 1] or [SAFE]
            record(change(driver, classes=some, max_attempts=1 + number % 3, ramp_time_ms=number * 10.0))
        elif what == "list":
            record(driver.list_all(helpers.entries(range(number % 7)), version=at + 2))
        fire(0.0)
    for _ in range(200):
        if not open_ids:
            break
        record(driver.end(open_ids.pop(), api.Result.SERVED, 1.0))
        fire(1.0)
    assert driver.balancer.inflight == len(open_ids) == 0


# In a node


def pool(*servers: Server, **changes: Any) -> tuple[Part, str, Any]:
    return Part.MEMBERS, POOL, pool_message(POOL, [server.entry(**changes) for server in servers])


@contextlib.asynccontextmanager
async def node_and_service(
    path: Path, *servers: Server, state: bool = False
) -> AsyncIterator[tuple[World, Service]]:
    """Run a node, its peers and a control service without any versions; discovery lists the first server.

    :param state: whether the node saves the last good configuration.
    """
    service = Service()
    await service.start()
    async with peers.world(path, *servers, start=False) as world:
        world.registry.whole = [servers[0].entry()]
        world.config["known"]["endpoints"] = world.registry.whole
        world.path.write_text(json.dumps(world.config))
        loop = asyncio.get_running_loop()
        control = Control(
            service.address, "n0", "", (POOL, "other"), "entrada", path / "state" if state else None, 0.1
        )
        running = world.node = Node(read_config(str(world.path)), loop, Extensions(control=control))
        world.address = await running.frontend.listen(loop, ("127.0.0.1", 0))
        running.start()
        await until(
            lambda: (
                service.streams_opened == 1
                and running.control is not None
                and bool(running.control._versions)
            )
        )
        try:
            yield world, service
        finally:
            await service.stop()


async def push_and_wait(service: Service, world: World, label: str, *changes: Any) -> None:
    """Push a version, and wait until the node has applied it."""
    service.push(label, *changes)
    running = world.node
    assert running is not None and running.control is not None
    link = running.control
    parts = {change[0] for change in changes}
    await until(lambda: all(link._versions[part.value] == label for part in parts))


def test_members_of_the_control_service_replace_those_of_discovery_and_no_request_is_lost(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(name="new")
        async with node_and_service(tmp_path, old, new) as (world, service):
            assert (await world.ask("before")).status == 200
            assert len(old.seen) == 1
            old.gate.clear()
            caller = await world.client()
            caller.write(request("held", "pay"))
            await until(lambda: len(old.seen) == 2)
            await push_and_wait(service, world, "v1", pool(new))
            assert [(await world.ask(f"a{n}")).status for n in range(4)] == [200] * 4
            assert len(new.seen) == 4 and len(old.seen) == 2
            old.gate.set()
            assert (await caller.read()).status == 200  # sent before the change, and answered

    run(test())


def test_added_and_removed_classes_apply_to_requests_accepted_afterwards(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(name="s")
        async with node_and_service(tmp_path, server) as (world, service):
            assert (await world.ask("a", "save-new")).status == 400
            usual = peers.settings()["classes"]
            more = [*usual, next(c for c in usual if c["name"] == "save") | {"name": "save-new"}]
            await push_and_wait(service, world, "v1", pool(server), node(classes=more))
            assert (await world.ask("b", "save-new")).status == 200
            server.gate.clear()
            caller = await world.client()
            caller.write(request("open", "save-new"))
            await until(lambda: server.seen[-1].id == "open")
            await push_and_wait(service, world, "v2", node(classes=usual))
            assert (await world.ask("c", "save-new")).status == 400
            server.gate.set()
            assert (await caller.read()).status == 200
            assert world.node is not None
            assert b"node.calls.save-new.success=2\n" in world.node.render_metrics()
            await until(lambda: world.node is not None and not world.node._balancer.inflight)

    run(test())


def test_drains_by_the_control_service_and_by_discovery_both_take_effect_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        one, two, three = (Server(name=name) for name in "abc")
        async with node_and_service(tmp_path, one, two, three) as (world, service):
            await push_and_wait(service, world, "v1", pool(one, two, three))
            changed = [one.entry(status="leaving"), two.entry(), three.entry()]
            await push_and_wait(service, world, "v2", (Part.MEMBERS, POOL, pool_message(POOL, changed)))
            for n in range(6):
                assert (await world.ask(f"x{n}")).status == 200
            assert one.seen == []
            world.registry.tell(two.entry(status="leaving"))
            running = world.node
            assert running is not None
            await until(lambda: server_id("b") not in running.servers.in_service)
            count = len(two.seen)
            await push_and_wait(
                service,
                world,
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
                assert (await world.ask(f"y{n}")).status == 200
            # The control service still lists the server `two` as in service.
            assert len(two.seen) == count and one.seen == []
            world.registry.tell(two.entry())
            await until(lambda: server_id("b") in running.servers.in_service)

    run(test())


def test_an_announced_drain_ends_if_the_next_version_does_not_have_it(tmp_path: Path) -> None:
    """Guards against a server that receives no requests for good after its announced drain is superseded.

    Its member was unchanged in the next version, so it was not listed again and stayed draining.
    """

    async def test() -> None:
        one, two = Server(name="a"), Server(name="b")
        async with node_and_service(tmp_path, one, two) as (world, service):
            await push_and_wait(service, world, "v1", pool(one, two))
            running = world.node
            assert running is not None
            assert running.control is not None
            running.control.members.drain([server_id("b")])
            assert server_id("b") not in running.servers.in_service
            await push_and_wait(service, world, "v2", pool(one, two))
            await until(lambda: server_id("b") in running.servers.in_service)

    run(test())


def test_a_new_server_from_the_control_service_ramps_up_slowly(tmp_path: Path) -> None:
    async def test() -> None:
        warm = Server(name="warm")
        cold = Server(name="cold")
        async with node_and_service(tmp_path, warm, cold) as (world, service):
            import time

            entries = [warm.entry(), cold.entry(since_ms=int(time.time() * 1000.0))]
            await push_and_wait(service, world, "v1", (Part.MEMBERS, POOL, pool_message(POOL, entries)))
            running = world.node
            assert running is not None
            found = running._balancer.server_set.servers[server_id("cold")]
            assert found.started_ms is not None
            from orchidferry.node.clock import now_ms

            assert running._balancer.slow_start.capacity_share(found, now_ms()) < 0.5

    run(test())


def test_the_node_keeps_serving_after_a_bad_version_and_without_the_service(tmp_path: Path) -> None:
    async def test() -> None:
        one, two = Server(name="a"), Server(name="b")
        async with node_and_service(tmp_path, one, two, state=True) as (world, service):
            await push_and_wait(service, world, "v1", pool(one, two))
            service.push("bad", pool(one, two, status="leaving"))
            await until(lambda: len(reasons(service, "bad")) == 1)
            assert "no live server" in reasons(service, "bad")[0]
            await service.stop()
            assert [(await world.ask(f"a{n}")).status for n in range(6)] == [200] * 6
            assert one.seen and two.seen

    run(test())


# The process of a node


def saved_versions(path: Path) -> dict[Part, str]:
    """Return the versions in the file of the last good configuration; empty if there is no file yet."""
    return dict(decode(path.read_bytes()).versions) if path.exists() else {}


def test_without_the_control_channel_none_of_its_modules_is_imported() -> None:
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
def test_a_bad_settings_file_ends_the_start_with_status_2_and_one_line(
    text: str | None, tmp_path: Path
) -> None:
    async def test() -> None:
        file = tmp_path / "control.toml"
        if text is not None:
            file.write_text(text)
        async with peers.world(tmp_path, Server(), start=False) as world:
            done = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "orchidferry",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"NODE_CONFIG": str(world.path), "ORCHIDFERRY_CONTROL": str(file)},
            )
            _, errors = await asyncio.wait_for(done.communicate(), LIMIT_S)
            assert done.returncode == 2 and errors.count(b"\n") == 1 and b"control.toml" in errors

    run(test())


def test_a_killed_node_restarts_with_the_last_good_configuration(
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
        async with peers.world(tmp_path, listed, member, start=False) as world:
            service.push("v1", pool(member), node())
            world.config["known"]["endpoints"] = world.registry.whole = [listed.entry()]
            world.path.write_text(json.dumps(world.config))
            program = await Program.start(world)
            await until(lambda: len(service.answers) == 2)
            await until(
                lambda: (
                    saved_versions(tmp_path / "state" / FORM.file_name)
                    == {Part.MEMBERS: "v1", Part.SETTINGS: "v1"}
                )
            )
            assert (await world.ask("a")).status == 200
            assert [len(member.seen), len(listed.seen)] == [1, 0]
            program.process.send_signal(signal.SIGKILL)
            await asyncio.wait_for(program.process.wait(), LIMIT_S)
            await service.stop()  # the node starts without the control service
            program = await Program.start(world)
            async with asyncio.timeout(LIMIT_S):
                n = 0
                while len(member.seen) < 2:
                    n += 1
                    assert (await world.ask(f"b{n}")).status == 200
                    await asyncio.sleep(0.05)
            program.process.terminate()
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0

    run(test())
