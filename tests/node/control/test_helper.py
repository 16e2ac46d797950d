"""The helper process of a node with a control service: what is said, and what becomes of a node."""

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
from tests.node.control.scene import POOL, run
from tests.node.control.test_live import becomes, pool, scene
from tests.node.peers import LIMIT_S, Server, until

CONTROL = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.1, Path("a"), Path("b"), Path("c"))


def member(number: int, health: api.Health = api.Health.IN_SERVICE, share: float = 1.0) -> Member:
    return Member(api.ServerEntry(number, "z", "t", 1, health, share, 5.0), ("127.0.0.1", 9000 + number))


def whole(*members: Member, **changes: Any) -> Configuration:
    node = NodeSettings(POOL, read_settings(peers.settings(**changes)))
    return Configuration(Pools({POOL: members}) if members else Pools({}), node, dict.fromkeys(Part, "v"))


class Home:
    """A node that notes what it is told, and may fail."""

    def __init__(self, known: dict[int, bool] | None = None) -> None:
        self.known = dict(known or {})  # whether each may be sent to
        self.settings: list[api.Settings] = []
        self.broken: set[int] = set()

    def known_servers(self) -> Any:
        return self.known.keys()

    def serves(self, server: int) -> bool:
        return self.known.get(server, False)

    def stop_sending(self, servers: Any) -> None:
        for server in servers:
            if server in self.known:  # nothing new to what is not known either way
                self.known[server] = False

    def apply_settings(self, settings: api.Settings) -> None:
        if self.broken:
            raise RuntimeError("no settings today")
        self.settings.append(settings)

    def apply_listing(self, listing: ServerListing, kind: api.ListKind) -> None:
        if listing.complete:
            self.known = {s: v for s, v in self.known.items() if s in listing.addresses}
        for entry in listing.entries:
            if entry.server in self.broken:
                raise RuntimeError("not this one")
            if entry.health is api.Health.GONE:
                self.known.pop(entry.server, None)
            else:
                self.known[entry.server] = entry.health is api.Health.IN_SERVICE


def changes(teller: ChangeWriter, configuration: Configuration) -> Change:
    taker = ChangeReader()
    found = None
    for data in teller.change(configuration):
        assert found is None and len(data) < MAX_LINE
        found = taker.read(decode_line(data))
    assert found is not None
    return found


async def applied(members: Members, change: Change) -> str:
    said: list[str] = []
    members.apply(change, said.append)
    await members.idle.wait()
    [problem] = said
    return problem


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
def test_whatever_comes_and_fails_a_node_holds_the_last_change_that_it_said_it_took(
    fleets: list[Any], failing: set[int], drained: set[int]
) -> None:
    async def test() -> None:
        home = Home({3: True, 4: False, 20: True})
        teller = ChangeWriter()
        members = Members(home, asyncio.get_running_loop())
        held: dict[int, Member] = {}
        for at, fleet in enumerate(fleets):
            if at in drained:  # told ahead of a version that never comes, or of this one
                told = (min(fleet),)
                decode_line(teller.drain(told))
                members.drain(list(told))
                assert members.members is None or not any(home.known.get(s) for s in told)
            made = [held.get(n) or member(n, *how) for n, how in fleet.items()]
            made = [
                m
                if (m.entry.health, m.entry.share) == fleet[m.entry.server]
                else member(m.entry.server, *fleet[m.entry.server])
                for m in made
            ]
            change = changes(teller, whole(*made))
            home.broken = {made[0].entry.server} if at in failing else set()
            problem = await applied(members, change)
            home.broken = set()
            assert teller.applied(change.number, problem) and not teller.applied(change.number, problem)
            if problem:
                continue
            held = {m.entry.server: m for m in made}
            assert members.members == held
            draining = {4} if 4 in held else set()  # discovery's word from before
            assert home.known == {
                s: m.entry.health is api.Health.IN_SERVICE and s not in draining for s, m in held.items()
            }
        assert gc.isenabled()

    asyncio.run(test())


def test_nothing_new_goes_to_what_leaves_from_the_moment_of_the_change_on() -> None:
    async def test() -> None:
        home = Home()
        teller = ChangeWriter()
        members = Members(home, asyncio.get_running_loop())
        many = [member(n) for n in range(MIN_LONG_CHANGE + 10)]
        before = changes(teller, whole(*many))
        assert await applied(members, before) == "" and teller.applied(before.number, "")
        assert members.handle_discovery(
            ServerListing(0, False, [api.ServerEntry(7, health=api.Health.DRAINING)], {})
        )
        assert not home.known[7]
        leaving = [member(n, api.Health.DRAINING) for n in range(5)]
        change = changes(teller, whole(*leaving, *many[100:]))
        assert not change.complete and len(change.stopped) == 100 and len(change.rows) == 1
        said: list[str] = []
        members.apply(change, said.append)
        assert not said and not any(home.known[n] for n in range(100)) and home.known[100]
        members.handle_discovery(
            ServerListing(0, True, [api.ServerEntry(n) for n in range(100)], {})
        )  # as discovery sees it
        await members.idle.wait()
        assert said == [""] and sorted(home.known) == [*range(5), *range(100, MIN_LONG_CHANGE + 10)]
        assert not any(home.known[n] for n in range(5)) and gc.isenabled()

    asyncio.run(test())


def test_settings_that_break_the_node_are_a_problem_and_leave_the_collector_on() -> None:
    async def test() -> None:
        home = Home()
        teller = ChangeWriter()
        members = Members(home, asyncio.get_running_loop())
        home.broken = {-1}
        change = changes(teller, whole(*(member(n) for n in range(MIN_LONG_CHANGE))))
        assert "no settings today" in await applied(members, change) and gc.isenabled()
        home.broken = set()
        assert teller.applied(change.number, "no settings today")
        again = changes(teller, whole())  # the node's own file: no pool
        assert await applied(members, again) == "" and members.members is None and len(home.settings) == 1
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
def test_lines_that_cannot_be_meant_are_told_as_such(lines: list[Any]) -> None:
    taker = ChangeReader()
    first = next(ChangeWriter().change(whole(member(1))))
    with pytest.raises(PipeDecodeError):
        for data in lines:
            taker.read(decode_line(first if data == "apply" else data))


def test_what_a_node_holds_is_whole_again_in_a_new_helper() -> None:
    before = whole(member(1), member(2, api.Health.DRAINING, 0.5))
    held = AppliedState(POOL, {part.value: "v" for part in Part}, before.node.settings)
    assert held.configuration(map(member_row, before.members())) == before
    assert control_from(plain_control(CONTROL)) == CONTROL
    assert [len(step) for step in batches(range(70))] == [32, 32, 6]


class Out:
    """The helper's end of the pipe."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []
        self.transport = self

    def write(self, data: bytes) -> None:
        self.lines.append(decode_line(data))

    def get_write_buffer_size(self) -> int:
        return 10**9

    async def drain(self) -> None:
        await asyncio.sleep(0)


def test_a_node_that_says_nothing_of_a_change_is_told_all_of_it_the_next_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(helper_module, "APPLY_TIMEOUT_S", 0.05)
        out, before = Out(), whole(member(1))
        control = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.05)
        helper = Helper(control, before.node.settings, before, None, out)  # type: ignore[arg-type]
        helper.agent.start()
        await until(lambda: any(line["do"] == "commit" for line in out.lines))
        assert helper.agent.versions.applied is None  # it may be half in place
        await until(lambda: helper.agent.versions.applied is not None)
        with pytest.raises(PipeDecodeError):
            helper.receive({"do": "what"})
        helper.receive({"do": "applied", "n": 1, "problem": ""})  # too late
        assert helper._writer._members is None and next(helper._writer.change(before)).count(b'"whole":true')
        await helper.agent.close()

    run(test())


# Whole: a node, its helper, and what may happen to it


def test_a_helper_that_is_killed_with_its_service_away_changes_nothing_and_another_takes_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(link_module, "BACK_OFF_S", 0.01)

    async def test() -> None:
        listed, one, two = Server(name="listed"), Server(name="a"), Server(name="b")
        async with scene(tmp_path, listed, one, two) as (made, service):
            await becomes(service, made, "v1", pool(one))
            assert made.node is not None and made.node.control is not None
            link = made.node.control
            await service.stop()
            assert link.process is not None
            first = link.process.pid
            link.process.send_signal(signal.SIGSTOP)  # hung: the node does not wait for it
            assert (await made.ask("h")).status == 200
            link.process.kill()
            await until(lambda: link.process is not None and link.process.pid != first)
            link.status = {}
            # Past its first wait it would take what it has: that is what the node holds, not the node's file.
            await until(lambda: link.status.get("counts") is not None and link.status["since_ms"] > 0)
            assert [(await made.ask(f"a{n}")).status for n in range(3)] == [200] * 3
            assert len(one.seen) == 4 and not listed.seen and link.starts == 2
            assert link.status["versions"]["members"] == "v1"
            await service.start()
            await becomes(service, made, "v2", pool(two))
            assert (await made.ask("z")).status == 200 and len(two.seen) == 1
            for number in (signal.SIGTERM, signal.SIGHUP):  # sent to the whole group
                os.kill(link.process.pid, number)
            await becomes(service, made, "v3", pool(one, two))
            process = link.process
            await link.close()
            assert process.returncode == 0

    run(test())


class Draws(random.Random):
    """A source of chance that draws the same number each time."""

    def __init__(self, number: float) -> None:
        super().__init__()
        self._number = number

    def random(self) -> float:
        return self._number


# Once the page said that the helper is up, with `helper_starts` 2. The backoff is drawn from 0 s on, so the
# next helper may be there before anybody asks: with a draw of 0 it had been started in all four cases. What
# is checked here is the time before that: the backoff is longer than all else that the test waits for.
@pytest.mark.parametrize(
    ("says", "word"),
    [
        ("echo hello", "can't be read: not JSON"),
        ("head -c 5000000 /dev/zero | tr '\\0' a", "a line of more than"),
        ("exit 3", "exit status 3"),
        (None, "can't be started"),
    ],
)
def test_a_helper_that_makes_no_sense_is_ended_and_the_node_serves(
    says: str | None,
    word: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        script = tmp_path / "python"
        if says is not None:
            script.write_text(f"#!/bin/sh\n{says}\nexec sleep 60\n")
            script.chmod(0o700)
        async with peers.world(tmp_path, Server(name="s")) as made:
            assert made.node is not None
            loop = asyncio.get_running_loop()
            link = Link(CONTROL_PLAIN, made.node._config.settings, made.node, loop, Draws(1.0))
            monkeypatch.setattr(link_module, "BACK_OFF_S", LIMIT_S)
            monkeypatch.setattr(link_module, "MAX_BACK_OFF_S", LIMIT_S)
            monkeypatch.setattr(sys, "executable", str(script))
            link.start()
            await until(lambda: word in caplog.text)
            assert (await made.ask("a")).status == 200
            assert b'"helper": "down"' in link.page() and link.starts == 1
            await asyncio.wait_for(link.close(), LIMIT_S)
            assert link.process is None

    run(test())


CONTROL_PLAIN = Control(("127.0.0.1", 1), "n0", "", (POOL,), "entrada", None, 0.1)


def test_a_library_that_is_missing_is_told_at_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "REQUIRED_MODULES", ("no_such_library",))
    with pytest.raises(ConfigError, match="no_such_library is not installed"):
        Link(CONTROL_PLAIN, whole().node.settings, Home(), asyncio.new_event_loop())
