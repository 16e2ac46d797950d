"""The control helper: its messages, the changes that a node applies, and failures of the helper process."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import Phase, given, settings, strategies

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.balancing.settings import read_settings
from orchidferry.node.config import ConfigError
from orchidferry.node.control import helper as helper_module
from orchidferry.node.control import link as link_module
from orchidferry.node.control.helper import Helper, control_from
from orchidferry.node.control.link import Link, plain_control
from orchidferry.node.control.members import MIN_LONG_CHANGE, Members
from orchidferry.node.control.pipe import (
    MAX_LINE,
    AppliedState,
    Change,
    ChangeReader,
    ChangeWriter,
    PipeDecodeError,
    batches,
    decode_line,
)
from orchidferry.node.control.plain import member_row
from orchidferry.node.control.settings import Control
from orchidferry.node.server_listing import ServerListing
from tests.node import peers
from tests.node.control.harness import POOL, run
from tests.node.control.test_live import node_and_service, pool, push_and_wait
from tests.node.peers import LIMIT_S, Server, until

CONTROL = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.1, Path("a"), Path("b"), Path("c"))


def member(number: int, health: api.Health = api.Health.IN_SERVICE, share: float = 1.0) -> Member:
    return Member(api.ServerEntry(number, "z", "t", 1, health, share, 5.0), ("127.0.0.1", 9000 + number))


def configuration(*members: Member, **changes: Any) -> Configuration:
    """Return a configuration; without members it has no pool."""
    node = NodeSettings(POOL, read_settings(peers.settings(**changes)))
    return Configuration(Pools({POOL: members}) if members else Pools({}), node, dict.fromkeys(Part, "v"))


class FakeNode:
    """A node that records what is applied to it, and can be listed to fail."""

    def __init__(self, known: dict[int, bool] | None = None) -> None:
        self.known = dict(known or {})  # whether requests may be sent to each known server
        self.settings: list[api.Settings] = []
        self.broken: set[int] = set()  # servers whose listing fails; if there are any, settings fail too

    def known_servers(self) -> Any:
        return self.known.keys()

    def serves(self, server: int) -> bool:
        return self.known.get(server, False)

    def stop_sending(self, servers: Any) -> None:
        for server in servers:
            if server in self.known:  # unknown servers receive no requests anyway
                self.known[server] = False

    def apply_settings(self, settings: api.Settings) -> None:
        if self.broken:
            raise RuntimeError("settings failed")
        self.settings.append(settings)

    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        if listing.complete:
            self.known = {s: v for s, v in self.known.items() if s in listing.addresses}
        for entry in listing.entries:
            if entry.server in self.broken:
                raise RuntimeError("listing failed")
            if entry.health is api.Health.GONE:
                self.known.pop(entry.server, None)
            else:
                self.known[entry.server] = entry.health is api.Health.IN_SERVICE


def encode_and_read(writer: ChangeWriter, configuration: Configuration) -> Change:
    """Return the change to a configuration after it has been encoded and read again."""
    reader = ChangeReader()
    change = None
    for data in writer.change(configuration):
        assert change is None and len(data) < MAX_LINE
        change = reader.read(decode_line(data))
    assert change is not None
    return change


async def apply(members: Members, change: Change) -> str:
    """Apply a change completely; return the problem that was reported."""
    reported: list[str] = []
    members.apply(change, reported.append)
    await members.idle.wait()
    [problem] = reported
    return problem


# The members of successive versions: health and share by server id.
FLEETS = strategies.lists(
    strategies.dictionaries(
        strategies.integers(0, 9),
        strategies.tuples(
            strategies.sampled_from([api.Health.IN_SERVICE, api.Health.DRAINING]),
            strategies.sampled_from([0.5, 1.0]),
        ),
        min_size=1,
    ),
    min_size=1,
    max_size=6,
)


@settings(max_examples=100, deadline=None, phases=(Phase.explicit, Phase.generate))  # runs too slow to shrink
@given(FLEETS, strategies.sets(strategies.integers(0, 5)), strategies.sets(strategies.integers(0, 5)))
def test_after_any_changes_and_failures_a_node_has_the_last_change_that_it_confirmed(
    fleets: list[Any], failing: set[int], drained: set[int]
) -> None:
    async def test() -> None:
        node = FakeNode({3: True, 4: False, 20: True})
        writer = ChangeWriter()
        members = Members(node, asyncio.get_running_loop())
        held: dict[int, Member] = {}
        for at, fleet in enumerate(fleets):
            if at in drained:  # announced ahead of this version, or of one that never comes
                announced = (min(fleet),)
                decode_line(writer.drain(announced))
                members.drain(list(announced))
                assert members.members is None or not any(node.known.get(s) for s in announced)
            listed = [held.get(n) or member(n, *how) for n, how in fleet.items()]
            listed = [
                m
                if (m.entry.health, m.entry.share) == fleet[m.entry.server]
                else member(m.entry.server, *fleet[m.entry.server])
                for m in listed
            ]
            change = encode_and_read(writer, configuration(*listed))
            node.broken = {listed[0].entry.server} if at in failing else set()
            problem = await apply(members, change)
            node.broken = set()
            assert writer.applied(change.number, problem) and not writer.applied(change.number, problem)
            if problem:
                continue
            held = {m.entry.server: m for m in listed}
            assert members.members == held
            draining = {4} if 4 in held else set()  # drained by discovery before the first version
            assert node.known == {
                s: m.entry.health is api.Health.IN_SERVICE and s not in draining for s, m in held.items()
            }
        assert gc.isenabled()

    asyncio.run(test())


def test_a_change_stops_requests_to_drained_and_removed_servers_at_once() -> None:
    async def test() -> None:
        node = FakeNode()
        writer = ChangeWriter()
        members = Members(node, asyncio.get_running_loop())
        many = [member(n) for n in range(MIN_LONG_CHANGE + 10)]
        before = encode_and_read(writer, configuration(*many))
        assert await apply(members, before) == "" and writer.applied(before.number, "")
        assert members.handle_discovery(
            ServerListing(0, False, [api.ServerEntry(7, health=api.Health.DRAINING)], {})
        )
        assert not node.known[7]
        leaving = [member(n, api.Health.DRAINING) for n in range(5)]
        change = encode_and_read(writer, configuration(*leaving, *many[100:]))
        assert not change.complete and len(change.stopped) == 100 and len(change.rows) == 1
        reported: list[str] = []
        members.apply(change, reported.append)
        assert not reported and not any(node.known[n] for n in range(100)) and node.known[100]
        # A complete list of discovery, with the health that it reports.
        members.handle_discovery(ServerListing(0, True, [api.ServerEntry(n) for n in range(100)], {}))
        await members.idle.wait()
        assert reported == [""] and sorted(node.known) == [*range(5), *range(100, MIN_LONG_CHANGE + 10)]
        assert not any(node.known[n] for n in range(5)) and gc.isenabled()

    asyncio.run(test())


def test_failing_settings_are_reported_and_garbage_collection_is_enabled_again() -> None:
    async def test() -> None:
        node = FakeNode()
        writer = ChangeWriter()
        members = Members(node, asyncio.get_running_loop())
        node.broken = {-1}
        change = encode_and_read(writer, configuration(*(member(n) for n in range(MIN_LONG_CHANGE))))
        assert "settings failed" in await apply(members, change) and gc.isenabled()
        node.broken = set()
        assert writer.applied(change.number, "settings failed")
        without_pool = encode_and_read(writer, configuration())  # as in the node's own file
        assert (
            await apply(members, without_pool) == "" and members.members is None and len(node.settings) == 1
        )
        assert not members.handle_discovery(ServerListing(0, True, [], {}))

    asyncio.run(test())


@pytest.mark.parametrize(
    "lines",
    [
        [b"\xff\n"],
        [b"[]\n"],
        [b"{}\n"],
        [b'{"do":"commit","n":1}\n'],
        [b'{"do":"rows","rows":[]}\n'],
        [b'{"do":"apply","n":"x"}\n'],
        ["apply", b'{"do":"commit","n":2}\n'],
        ["apply", b'{"do":"rows"}\n'],
        ["apply", b'{"do":"away","n":1}\n'],
        ["apply", *[b'{"do":"gone","servers":[%s1]}\n' % (b"1," * 40_000)] * 3],
    ],
)
def test_invalid_lines_raise_a_pipe_decode_error(lines: list[Any]) -> None:
    reader = ChangeReader()
    first = next(ChangeWriter().change(configuration(member(1))))
    with pytest.raises(PipeDecodeError):
        for data in lines:
            reader.read(decode_line(first if data == "apply" else data))


def test_a_new_helper_restores_what_the_node_has_applied() -> None:
    before = configuration(member(1), member(2, api.Health.DRAINING, 0.5))
    held = AppliedState(POOL, {part.value: "v" for part in Part}, before.node.settings)
    assert held.configuration(map(member_row, before.members())) == before
    assert control_from(plain_control(CONTROL)) == CONTROL
    assert [len(step) for step in batches(range(70))] == [32, 32, 6]


class RecordingWriter:
    """The helper's end of the pipe, which records the messages that the helper sends."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.transport = self

    def write(self, data: bytes) -> None:
        self.lines.append(decode_line(data))

    def get_write_buffer_size(self) -> int:
        return 10**9

    async def drain(self) -> None:
        await asyncio.sleep(0)


def test_after_an_unconfirmed_change_the_next_change_is_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(helper_module, "APPLY_TIMEOUT_S", 0.05)
        out, before = RecordingWriter(), configuration(member(1))
        control = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.05)
        helper = Helper(control, before.node.settings, before, None, out)  # type: ignore[arg-type]
        helper.agent.start()
        await until(lambda: any(line["do"] == "commit" for line in out.lines))
        assert helper.agent.versions.applied is None  # it may be applied in part
        await until(lambda: helper.agent.versions.applied is not None)
        with pytest.raises(PipeDecodeError):
            helper.receive({"do": "what"})
        helper.receive({"do": "applied", "n": 1, "problem": ""})  # too late
        assert helper._writer._members is None and next(helper._writer.change(before)).count(b'"whole":true')
        await helper.agent.close()

    run(test())


# A node with a helper process, and failures of the helper


def test_a_killed_helper_is_replaced_and_the_node_keeps_its_configuration_without_the_service(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(link_module, "BACK_OFF_S", 0.01)

    async def test() -> None:
        listed, one, two = Server(name="listed"), Server(name="a"), Server(name="b")
        async with node_and_service(tmp_path, listed, one, two) as (world, service):
            await push_and_wait(service, world, "v1", pool(one))
            assert world.node is not None and world.node.control is not None
            link = world.node.control
            await service.stop()
            assert link.process is not None
            first = link.process.pid
            link.process.send_signal(signal.SIGSTOP)  # the helper hangs; the node does not wait for it
            assert (await world.ask("h")).status == 200
            link.process.kill()
            await until(lambda: link.process is not None and link.process.pid != first)
            link.status = {}
            # After its first wait, the new helper uses what the node has applied, not the node's own file.
            await until(lambda: link.status.get("counts") is not None and link.status["since_ms"] > 0)
            assert [(await world.ask(f"a{n}")).status for n in range(3)] == [200] * 3
            assert len(one.seen) == 4 and not listed.seen and link.starts == 2
            assert link.status["versions"]["members"] == "v1"
            await service.start()
            await push_and_wait(service, world, "v2", pool(two))
            assert (await world.ask("z")).status == 200 and len(two.seen) == 1
            for number in (signal.SIGTERM, signal.SIGHUP):  # as if sent to the whole process group
                os.kill(link.process.pid, number)
            await push_and_wait(service, world, "v3", pool(one, two))
            process = link.process
            await link.close()
            assert process.returncode == 0

    run(test())


class ConstantRandom(random.Random):
    """A random number generator that always returns the same number."""

    def __init__(self, number: float) -> None:
        super().__init__()
        self._number = number

    def random(self) -> float:
        return self._number


# This test failed once because the status said that the helper is up, with `helper_starts` 2. The backoff is
# drawn from 0 s on, so the next helper may have started before the status is read: with a draw of 0 it had
# been started in all four cases. The test checks the time before that, so here the backoff lasts longer than
# all other waits of the test.
@pytest.mark.parametrize(
    ("script_body", "reason"),
    [
        ("echo hello", "can't be read: not JSON"),
        ("head -c 5000000 /dev/zero | tr '\\0' a", "a line of more than"),
        ("exit 3", "exit status 3"),
        (None, "can't be started"),
    ],
)
def test_a_faulty_helper_is_ended_and_the_node_keeps_serving(
    script_body: str | None,
    reason: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        script = tmp_path / "python"
        if script_body is not None:
            script.write_text(f"#!/bin/sh\n{script_body}\nexec sleep 60\n")
            script.chmod(0o700)
        async with peers.world(tmp_path, Server(name="s")) as world:
            assert world.node is not None
            loop = asyncio.get_running_loop()
            link = Link(
                CONTROL_WITHOUT_TLS, world.node._config.settings, world.node, loop, ConstantRandom(1.0)
            )
            monkeypatch.setattr(link_module, "BACK_OFF_S", LIMIT_S)
            monkeypatch.setattr(link_module, "MAX_BACK_OFF_S", LIMIT_S)
            monkeypatch.setattr(sys, "executable", str(script))
            link.start()
            await until(lambda: reason in caplog.text)
            assert (await world.ask("a")).status == 200
            assert b'"helper": "down"' in link.page() and link.starts == 1
            await asyncio.wait_for(link.close(), LIMIT_S)
            assert link.process is None

    run(test())


CONTROL_WITHOUT_TLS = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.1)


def test_a_missing_library_raises_a_config_error_at_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "REQUIRED_MODULES", ("no_such_library",))
    with pytest.raises(ConfigError, match="no_such_library is not installed"):
        Link(CONTROL_WITHOUT_TLS, configuration().node.settings, FakeNode(), asyncio.new_event_loop())
