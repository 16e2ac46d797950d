"""Whose a request is, by what a node sees, beside a world that knows; and what follows at gate and tier."""

from __future__ import annotations

import math
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from athenaeum import gate as gates
from athenaeum import tier as tiers
from athenaeum.accessions import IN_SERVICE, Server
from athenaeum.allowance import LATE_S, STATIC_SHARE
from athenaeum.boot import Bounds
from athenaeum.lines import Mark
from athenaeum.recalls import BEYOND_MS, LINGER_MS, PROOFS, Origin, Recalls
from athenaeum.tier import RATIO_SHARE
from nickelbridge.interface import Result, TimerFired
from nickelbridge.logic import Balancer
from orchidferry import turns
from tests.mesh.fakes import asked, rig, route, said
from tests.mesh.test_gate import Scene as GateScene
from tests.mesh.test_tier import Scene, Taken

CLIENTS, CALLS = ("h", "/clients/"), ("h", "/calls/")


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**40), st.floats(0.0, 6.0))
def test_no_call_of_a_repeated_run_is_missed(seed: int, busy: float) -> None:
    """No call is taken for a client's request, nor a repeated run's for another's; clients soon are known."""
    rng, now, recalls = random.Random(seed), 10_000.0, Recalls(0.0)
    recalls.began(1_000.0, [CLIENTS, CALLS])
    runs: dict[int, tuple[bool, float]] = {}  # whether a repeat, and when it must end
    hidden: list[tuple[float, bool]] = []  # broken off, and at work until then all the same
    marks = [Mark() for _ in range(4)]
    keyed_seen, missed = [0] * 4, 0
    for _ in range(400):
        now += rng.expovariate(1.0 / 30.0)
        hidden = [one for one in hidden if one[0] > now]
        if rng.random() < 0.4:
            while len(runs) < busy and rng.random() < 0.7:
                again = rng.random() < 0.2
                must = now + rng.uniform(100.0, 1_500.0)
                runs[recalls.enter(again, must)] = again, must
        elif runs and rng.random() < 0.5:
            run = rng.choice(list(runs))
            again, must = runs.pop(run)
            ends = now if rng.random() < 0.7 else max(now, must)
            recalls.leave(run, ends)
            if ends > now:
                hidden.append((ends, again))
        callers = [*((must, again) for again, must in runs.values()), *hidden]
        if callers and rng.random() < 0.5:
            must, again = rng.choice(callers)
            origin = recalls.asked("m", CALLS, False, Mark(), now, max(0.0, must - now))
            assert not origin.client and (origin.again or not again)
        client, keyed = rng.randrange(4), rng.random() < 0.2
        origin = recalls.asked("m", CLIENTS, keyed, marks[client], now)
        assert origin.client or not (keyed or keyed_seen[client] or sum(keyed_seen) >= PROOFS)
        keyed_seen[client] += keyed
        latest = max((must for must, _ in callers), default=now)
        longer = recalls.asked("m", CLIENTS, False, Mark(), now, latest - now + 2.0 * BEYOND_MS + LINGER_MS)
        assert longer.client or now < 1_000.0  # no call may go on for so long
        missed += not origin.client
        assert missed <= 60
    recalls.began(1_000.0, [CALLS])  # the clients' route is gone; by that name another may come
    assert (
        not recalls.enter(True, now + 900.0)
        or not recalls.asked("m", CLIENTS, False, Mark(), now + LINGER_MS).client
    )


def test_room_is_kept_for_the_calls_of_runs_inside() -> None:
    recalls = Recalls(0.0)
    recalls.began(0.0, [CALLS])
    for n in range(300):  # lone runs of two calls each
        run = recalls.enter(False, math.inf)
        for _ in range(2):
            recalls.asked("m", CALLS, False, Mark(), n * 500.0)
        recalls.leave(run, n * 500.0)
    assert 1.9 < recalls.needs()["m"] < 2.1 and recalls.kept("m") == 0.0
    run = recalls.enter(True, math.inf)
    assert 1.9 < recalls.kept("m") < 2.1
    assert 3.8 < recalls.needs()["m"] < 4.2  # with a neighbour, whose calls can't be told from its own
    recalls.asked("m", CALLS, False, Mark(), 150_000.0)
    assert recalls.kept("m") < 1.1
    recalls.leave(run, 150_001.0)
    assert recalls.kept("m") == 0.0


def test_a_repeat_whose_calls_are_not_borne_stays_out(monkeypatch: pytest.MonkeyPatch) -> None:
    scene, poor = GateScene(monkeypatch), [True]
    recalls = Recalls(0.0)
    scene.gate = gates.Gate(
        ("127.0.0.1", 1), Bounds(), 1_000.0, scene.loop, rig()[1], scene.lines, lambda: None, lambda: False,
        lambda message, answer: None, recalls, lambda: not poor[0],
    )  # fmt: skip
    assert scene.gate.beat(Server("i", "s", "z", IN_SERVICE, 4, 0.0), 1) is None
    scene.ask("a", orchid_again=b"try")
    assert scene.word("a") == b"unrun" and not scene.inside()
    scene.ask("b", orchid_again=b"call")  # its first try: nobody but its caller can spare it
    scene.ask("c")
    poor[0] = False
    scene.ask("d", orchid_again=b"try")
    assert scene.inside() == ["b", "c", "d"] and recalls._repeats == 2
    for visit in [a for a in scene.lines.sent if a.message.id != "d"]:
        visit.sent_whole()
        visit.end(Result.REFUSED, said(503, visit.message.id.encode(), not_run=True))
    assert scene.word("b") == b"full" and recalls._repeats == 1  # it came to a server, which turned it away


@pytest.mark.parametrize(
    ("result", "word", "again"),
    [
        (Result.REFUSED, b"unrun", False), (Result.MOOT, b"gone", False), (Result.REFUSED, b"full", True),
        (Result.MOOT, b"other", True), (Result.RESET, b"lost", True), (Result.RESET, None, True),
    ],
)  # fmt: skip
def test_gates_hear_which_tries_are_repeats(
    monkeypatch: pytest.MonkeyPatch, result: Result, word: bytes | None, again: bool
) -> None:
    scene = Scene(monkeypatch, route())
    monkeypatch.setattr(Balancer, "_in_budget", lambda self, now: True)
    taken = Taken(scene, route())
    [first] = scene.out()
    assert b"orchid-again" not in first.head_bytes()
    first.sent_whole()
    first.end(result, said(503, taken.id.encode(), gate=word) if word else None)
    scene.loop.pass_ms(300.0)
    [second] = scene.out()
    assert (b"orchid-again: try" in second.head_bytes()) == again


@pytest.mark.parametrize(("word", "tried"), [(b"unrun", True), (b"gone", True), (b"full", False)])
def test_only_what_came_to_a_server_makes_the_next_a_further_try(
    monkeypatch: pytest.MonkeyPatch, word: bytes, tried: bool
) -> None:
    """A try that a gate turned away was no arrival: with no budget at all the next is made all the same."""
    scene = Scene(monkeypatch, route())
    monkeypatch.setattr(Balancer, "_in_budget", lambda self, now: False)
    taken = Taken(scene, route())
    [first] = scene.out()
    first.sent_whole()
    first.end(Result.MOOT if word == b"gone" else Result.REFUSED, said(503, taken.id.encode(), gate=word))
    scene.loop.pass_ms(300.0)
    assert (len(scene.out()) == 1) is tried


def test_a_tier_goes_by_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is dealt is in force at once, asked for while there is traffic, and over with its lease."""
    scene = Scene(monkeypatch, route())
    tier, bounds = scene.tier, Bounds()

    def floor() -> float:
        assert tier._balancer is not None
        return tier._balancer.settings.extra_floor

    def ask() -> Any:
        scene.loop.now_s += 1.0  # without the timers: a lease must not need one
        return tier.share_asked()

    assert floor() == 0.0 and tier.share_asked() is not None and ask() is None  # a knock, with no traffic
    Taken(scene, route())
    number, used, wanted, held, fence, wide = ask()
    assert (used, wanted, held, fence, wide) == (0.0, 0.0, 0.0, -1, False)
    tier.share_told(4, number, 6.0, 3.0)
    assert floor() == 6.0 and tier.share_asked() is None
    assert ask()[3:5] == (6.0, 4) and ask()[3] == 6.0
    scene.loop.now_s += 0.5
    tier.handle(TimerFired(-1))
    assert floor() == 6.0
    scene.loop.now_s += 0.6
    tier.handle(TimerFired(-1))
    assert floor() == 0.0 and ask()[5]
    scene.loop.pass_ms(1e3 * (bounds.retry_window_s + LATE_S))
    assert floor() == STATIC_SHARE * bounds.retry_slack / tiers.SPARE_NODES
    assert ask() is None  # no traffic in the window: what others need more is not asked for


def test_what_may_be_a_call_counts_against_the_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(monkeypatch, route())
    monkeypatch.setattr(turns, "now_ms", scene.loop.now_ms)
    tier, each = scene.tier, RATIO_SHARE * 0.2 * 10.0 / (10.0 + LATE_S)
    assert tier._balancer is not None

    def take(id: str, client: bool, again: bool) -> float:
        origin = Origin(client, again)
        tier.take(asked(id), route(), scene.loop.now_ms() + 900.0, lambda reply: None, origin=origin)
        assert tier._balancer is not None
        return tier._balancer.spare(scene.loop.now_ms())

    assert take("a", True, False) == pytest.approx(each) and take("b", False, False) == pytest.approx(each)
    assert take("c", False, True) == pytest.approx(each - 1.0) and not tier.bears(0.5)
    assert b"orchid-again: call" in scene.of("c")[0].head_bytes()
    assert tier._balancer.beyond(scene.loop.now_ms()) == pytest.approx((1.0 - each, 2.0 - each))


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**40))
def test_the_ratio_bears_traffic_that_moves(seed: int) -> None:
    """Nodes that use their ratio in full, in bursts that jump from one to another."""
    rng, window, span = random.Random(seed), 10.0, 10.0 + LATE_S
    asks: list[list[float]] = [[] for _ in range(4)]
    tries: list[list[float]] = [[] for _ in range(4)]
    arrived: list[float] = []
    for step in range(240):
        now, burst = step * 0.25, rng.randrange(4) if step % 20 == 0 or rng.random() < 0.02 else -1
        for n in range(4):
            asks[n] += [now] * (rng.randrange(2) + (60 if n == burst else 0))
            most = RATIO_SHARE * 0.2 * window / span * sum(now - span <= at for at in asks[n])
            while rng.random() < 0.9 and sum(now - span <= at for at in tries[n]) + 1 <= most:
                tries[n].append(now)
                arrived.append(now + rng.uniform(0.0, LATE_S))
    every = sorted(at for mine in asks for at in mine)
    for end in sorted(arrived):
        seen = [sum(end - back - window <= at <= end - back for at in every) for back in (0.0, 5.0, 10.0)]
        assert sum(end - window <= at <= end for at in arrived) <= 0.2 * max(seen)
