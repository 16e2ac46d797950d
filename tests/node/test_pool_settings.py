"""Pools of servers and moves between them, in the balancer and in a node."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Health, ListKind, Repeat, Result
from orchidferry.balancing.moves import Plan, State
from orchidferry.balancing.pools import KEY_AFFINITY_MS, PoolRule, Router, Rules
from orchidferry.node.config import ConfigError
from orchidferry.node.pool_settings import read_pools
from tests.node.peers import Server, answer, run, until, world

POOLS = (PoolRule("old"), PoolRule("new", frozenset({"v2"})))
CLASSES = [
    api.RequestClass("read", 100.0, 1_000.0, repeat=Repeat.SAFE),
    api.RequestClass("save", 100.0, 1_000.0, repeat=Repeat.KEYED, window_ms=6_000.0),
    api.RequestClass("pay", 100.0, 1_000.0),
]
PLAN = Plan(("read", "save", "pay"), (0.2, 1.0), step_ms=1_000.0, rare_ms=60_000.0)


class Scene:
    """A router whose servers answer at once; the servers of the new pool fail with a given probability."""

    def __init__(self, rules: Rules, fails: float = 0.0, old: int = 4, new: int = 4) -> None:
        self.router = Router(api.Settings(CLASSES, max_attempts=3), 5, rules)
        self.fails, self.rng, self.now, self.serial = fails, random.Random(3), 0.0, 0
        self.timers: list[tuple[float, int]] = []
        self.sent: list[tuple[str, int]] = []  # request and server
        self.ends: dict[str, str] = {}
        self.say(api.Started())
        self.news(
            *[api.ServerEntry(n) for n in range(old)],
            *[api.ServerEntry(100 + n, kind="v2") for n in range(new)],
        )

    def news(self, *entries: api.ServerEntry, kind: ListKind = ListKind.FULL) -> None:
        self.say(api.ServerList(kind, 1, list(entries)))

    def say(self, event: api.Event) -> None:
        events = [event]
        while events:
            for action in self.router.handle(events.pop(0), self.now):
                match action:
                    case api.Send():
                        self.sent.append((action.id, action.server))
                        bad = action.server >= 100 and self.rng.random() < self.fails
                        number = sum(id == action.id for id, _ in self.sent) - 1
                        result = Result.ERROR if bad else Result.SERVED
                        end = api.AttemptEnded(action.id, number, action.server, result, 20.0, not bad)
                        events.append(end)
                        if not bad:
                            self.ends[action.id] = "served"
                    case api.SetTimer():
                        self.timers.append((self.now + action.delay_ms, action.token))
                    case api.Fail() | api.Refuse():
                        self.ends[action.id] = type(action).__name__

    def wait(self, ms: float) -> None:
        end = self.now + ms
        while due := [timer for timer in self.timers if timer[0] <= end]:
            first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, first[0])
            self.say(api.TimerFired(first[1]))
        self.now = end

    def ask(self, cls: str = "read", key: str | None = None) -> str:
        self.serial += 1
        id = str(self.serial)
        self.say(api.Request(id, cls, 900.0, key=key))
        self.wait(10.0)
        return id

    def pools(self, since: int = 0) -> list[bool]:
        return [server >= 100 for _, server in self.sent[since:]]


def test_without_a_move_all_requests_go_to_the_first_pool() -> None:
    scene = Scene(Rules(POOLS))
    for n in range(50):
        scene.ask(("read", "pay", "save")[n % 3], f"k{n}" if n % 3 == 2 else None)
    assert not any(scene.pools()) and len(scene.ends) == 50


def test_a_move_sends_the_share_of_its_step_and_finally_all_requests() -> None:
    scene = Scene(Rules(POOLS, "new", PLAN))
    for n in range(100):
        scene.ask(("read", "pay")[n % 2])
    assert 0.15 < sum(scene.pools()) / 100 < 0.25
    for n in range(6_000):
        scene.ask(("read", "save", "pay")[n % 3], f"k{n}" if n % 3 == 1 else None)
    assert scene.router.move is not None and scene.router.move.state is State.DONE
    assert all(scene.pools(len(scene.sent) - 50)) and set(scene.ends.values()) == {"served"}
    assert scene.router._requests == {}


def test_a_move_to_a_failing_pool_is_rolled_back_and_no_unsafe_request_is_sent_twice() -> None:
    scene = Scene(Rules(POOLS, "new", PLAN), fails=1.0)
    for n in range(600):
        scene.ask(("read", "save", "pay")[n % 3], f"k{n}" if n % 3 == 1 else None)
    move = scene.router.move
    assert move is not None and move.state in (State.ROLLING_BACK, State.FAILED)
    assert not any(scene.pools(len(scene.sent) - 100))
    # All attempts at a request go to the same pool, and an unsafe request has one attempt.
    by_id: dict[str, list[int]] = {}
    for id, server in scene.sent:
        by_id.setdefault(id, []).append(server)
    assert all(len({server >= 100 for server in servers}) == 1 for servers in by_id.values())
    assert all(len(servers) == 1 for id, servers in by_id.items() if int(id) % 3 == 0)
    assert len(scene.ends) == 600 and scene.router._requests == {}


def test_a_key_keeps_its_pool_across_a_rollback_until_its_affinity_expires() -> None:
    scene = Scene(Rules(POOLS, "new", PLAN))
    keys = [f"k{n}" for n in range(100)]
    first = {key: scene.ask("save", key) for key in keys}
    went = {key: dict(scene.sent)[id] >= 100 for key, id in first.items()}
    assert 0.08 < sum(went.values()) / 100 < 0.35
    assert scene.router.move is not None
    scene.router.move.roll_back(scene.now)
    again = {key: scene.ask("save", key) for key in keys}
    assert {key: dict(scene.sent)[id] >= 100 for key, id in again.items()} == went
    scene.wait(KEY_AFFINITY_MS + 1.0)
    since = len(scene.sent)
    for key in keys:
        scene.ask("save", key)
    assert not any(scene.pools(since)) and len(scene.router._keys) <= 100


@pytest.mark.parametrize(("live", "low", "high"), [(4, 0.15, 0.25), (1, 0.02, 0.08), (0, 0.0, 0.0)])
def test_a_pool_with_few_live_servers_gets_a_smaller_share(live: int, low: float, high: float) -> None:
    scene = Scene(Rules(POOLS, "new", Plan(("read",), (0.2, 1.0), step_ms=1e6)))
    drain = [api.ServerEntry(100 + n, kind="v2", health=Health.DRAINING) for n in range(live, 4)]
    scene.news(*drain, kind=ListKind.CHANGES)
    for _ in range(200):
        scene.ask()
    assert low <= sum(scene.pools()) / 200 <= high and set(scene.ends.values()) == {"served"}


def test_a_server_whose_kind_changes_moves_to_another_pool() -> None:
    scene = Scene(Rules(POOLS, "new", Plan(("read",), (0.5, 1.0), step_ms=1e6)), new=1)
    scene.news(api.ServerEntry(0, kind="v2"), kind=ListKind.CHANGES)
    for _ in range(60):
        scene.ask()
    servers = {server for _, server in scene.sent}
    shares = sum(server in (0, 100) for _, server in scene.sent) / 60
    assert {0, 100} <= servers and 0.4 < shares < 0.6
    scene.news(api.ServerEntry(0, kind="v2", health=Health.GONE), kind=ListKind.CHANGES)
    since = len(scene.sent)
    scene.ask()
    assert 0 not in {server for _, server in scene.sent[since:]} and 0 not in scene.router._pool_of_server


def test_a_node_with_pools_moves_requests_and_rolls_back(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = Server(name="old"), Server(usual=answer(500), name="new")
        rules = Rules(POOLS, "new", Plan(("read", "pay", "save"), (0.5, 1.0), step_ms=100.0))
        async with world(tmp_path, old, new, pools=rules) as scene:
            scene.registry.tell(new.entry(type="v2"), old.entry())
            await until(lambda: len(scene.registry.seen) == 2)
            client = await scene.client()
            for n in range(300):
                await client.ask(f"r{n}")
            assert new.seen and len(new.seen) < 150  # with three attempts per request
            count = len(new.seen)
            for n in range(50):
                assert (await client.ask(f"s{n}")).status == 200
            assert len(new.seen) == count

    run(test())


GOOD = '[[pool]]\nname = "old"\n[[pool]]\nname = "new"\nkinds = ["v2"]\n[move]\nto = "new"\n'


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("pool = []", "at least one"),
        ("", "'pool' is missing"),
        (GOOD + "y = 1", "move: 'y'"),
        ("pool = []\nx = 1", "'x' is not known"),
        ("[[pool", "not TOML"),
        (GOOD.replace('"new"\nkinds', '"old"\nkinds'), "of its own"),
        (GOOD.replace('to = "new"', 'to = "old"'), "none of the pools behind the first"),
        (GOOD + "alpha = 2", "alpha: 2.0"),
        (GOOD + "steps = [0.5]", "end with 1"),
        (GOOD + 'rare = "x"', "rare"),
        (GOOD.replace('["v2"]', "[1]"), "'kinds' must be texts"),
    ],
)
def test_a_bad_settings_file_is_reported_in_one_line(text: str, words: str, tmp_path: Path) -> None:
    path = tmp_path / "pools.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_pools(str(path), ("read",))
    assert words in str(caught.value) and str(path) in str(caught.value) and "\n" not in str(caught.value)
    path.write_text(GOOD + "steps = [0.5, 1]\nalpha = 0.001\n")
    rules = read_pools(str(path), ("read",))
    assert rules.to == "new" and rules.plan == Plan(("read",), (0.5, 1.0), alpha=0.001)
