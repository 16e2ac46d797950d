"""Budgets along a chain of tiers: admission, retries, propagation and authenticity of the headers."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing import interface as api
from orchidferry.balancing.chain import MAX_HOPS, Chain, Gate, Limits, Rejection, RetryBudget
from orchidferry.balancing.interface import Carried, Result
from orchidferry.balancing.logic import Balancer
from orchidferry.node.chain.settings import ChainSettings, read_chain
from orchidferry.node.chain.wire import MAX_CALLS, HeaderCodec, read_answer, write_answer
from orchidferry.node.config import ConfigError
from tests.node.peers import Seen, Server, answer, run, world

KEYS = (("k2", b"b" * 32), ("k1", b"a" * 32))
CARRIED = Carried("entrada-n0-1-7", 1, 8.0, ("entrada/n0", "catalogo/n3"))


def limits(**changes: object) -> Limits:
    values = {"tier": "catalogo", "node": "n1", "first": False, "share": 1.0, "floor_per_s": 1e4} | changes
    return Limits(**values)  # type: ignore[arg-type]


# Attempts over a whole chain


def ask(
    tiers: list[Chain],
    at: int,
    carried: Carried | None,
    counts: list[int],
    calls: int,
    passes: bool,
    serial: list[int],
    fails: random.Random,
    share: float,
) -> tuple[bool, bool, int]:
    """Send a request to the tier `at`, with as many attempts as the budget allows.

    :param carried: the chain values that come with the request.
    :param counts: attempts by tier, which this function increases.
    :param calls: calls that each attempt makes to the next tier.
    :param passes: whether servers forward the chain headers.
    :param serial: the next request id, in a list of one item.
    :param share: probability that an attempt at the last tier fails.
    :returns: whether the request was served; whether a tier below is overloaded; retries used below.
    """
    chain = tiers[at]
    id = str(serial[0])
    serial[0] += 1
    if chain.admit(id, carried, "a", 1.0, 1e6, 0.0) is not None:
        return False, True, 0
    served = False
    while not served and chain.may_send(id, 0.0):
        goes = chain.send(id, 0.0)
        counts[at] = counts[at] + 1
        if at + 1 == len(tiers):
            served = fails.random() >= share
            below = False
            used = 0
        else:
            below = False
            used = 0
            served = True
            for _ in range(calls):
                one, its_below, its_used = ask(
                    tiers, at + 1, goes if passes else None, counts, calls, passes, serial, fails, share
                )
                below = below or its_below
                used = used + its_used
                served = served and one
        chain.attempt_ended(
            id, Result.SERVED if served else Result.ERROR, below and passes, used if passes else 0, 1.0, 0.0
        )
    verdict = chain.verdict(id)
    chain.done(id)
    return served, *verdict


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 4), st.integers(0, 3), st.floats(0.0, 1.0), st.integers(0, 99))
def test_no_tier_of_a_chain_makes_more_attempts_than_the_budget_of_a_request_allows(
    depth: int, extra: int, share: float, seed: int
) -> None:
    tiers = [Chain(limits(tier=f"t{n}", first=n == 0, extra=extra)) for n in range(depth)]
    counts = [0] * depth
    requests = 20
    fails = random.Random(seed)
    serial = [0]
    for _ in range(requests):
        ask(tiers, 0, None, counts, 1, True, serial, fails, share)
    assert all(count <= (1 + extra) * requests for count in counts), counts
    assert all(chain.open == 0 for chain in tiers)


def test_if_servers_drop_the_headers_each_tier_still_keeps_its_own_budget() -> None:
    counts = {}  # attempts by tier; the key tells whether servers forward the headers
    for passes in (True, False):
        tiers = [Chain(limits(tier=f"t{n}", first=n == 0)) for n in range(3)]
        counts[passes] = [0, 0, 0]
        ask(tiers, 0, None, counts[passes], 1, passes, [0], random.Random(1), 1.0)
    assert counts[True] == [1, 1, 2] and counts[False] == [2, 4, 8]


@settings(max_examples=50, deadline=None)
@given(st.integers(1, 200), st.floats(0.0, 0.5), st.floats(0.0, 50.0), st.integers(0, 99))
def test_nodes_with_few_requests_share_the_floor_and_each_has_one_retry(
    nodes: int, share: float, floor: float, seed: int
) -> None:
    rng = random.Random(seed)
    budgets = [RetryBudget(share, floor, nodes) for _ in range(nodes)]
    tries = made = 0
    for now in range(0, 5_000, 50):
        for budget in rng.sample(budgets, min(nodes, 3)):
            budget.record_request(float(now))
            tries += 1
            while budget.allows(float(now)):
                budget.spend()
                made += 1
    assert made <= nodes + share * tries + floor * 5.0 + 1e-6
    lonely = RetryBudget(share, floor, nodes)
    lonely.record_request(0.0)
    assert lonely.allows(0.0)


# The gate


def feed(gate: Gate, rng: random.Random, bad: float, count: int, now: float, out: int = 10) -> int:
    """Make `count` calls, `bad` of which fail and `out` of which are in flight; return the number allowed."""
    went = 0
    for n in range(count):
        at = now + n * 10.0
        if gate.allows(at):
            gate.call_started(at)
            went += 1
        if gate.inflight and (gate.inflight >= out or not gate.allows(at)):
            gate.call_ended(rng.random() < bad, True, 100.0, at)
    return went


@pytest.mark.parametrize(
    ("bad", "shuts"), [(0.0, False), (0.1, False), (0.25, False), (0.8, True), (1.0, True)]
)
def test_the_gate_closes_if_most_calls_fail_but_not_for_one_slow_server(bad: float, shuts: bool) -> None:
    went = [feed(Gate(), random.Random(seed), bad, 500, 0.0) for seed in range(20)]
    assert max(went) < 200 if shuts else sum(went) >= (1.0 if bad <= 0.1 else 0.97) * 500 * 20


def test_a_closed_gate_opens_within_a_few_round_trips_once_calls_are_served() -> None:
    gate = Gate()
    rng = random.Random(1)
    feed(gate, rng, 0.0, 100, 0.0)
    feed(gate, rng, 1.0, 200, 1_000.0)
    assert gate.closed and gate.limit == 1.0
    went = sum(feed(gate, rng, 1.0, 1, 3_000.0 + t) for t in range(10_000))
    assert 25 <= went <= 40  # three per second, though all fail at once
    rounds = 0
    while gate.closed:  # each round makes as many calls as the gate allows, and all are served
        rounds += 1
        now = 15_000.0 + 100.0 * rounds
        while gate.allows(now) and gate.inflight < 100:
            gate.call_started(now)
        for _ in range(gate.inflight):
            gate.call_ended(False, True, 20.0, now)
    assert rounds <= 5


# Admission


@pytest.mark.parametrize(
    ("carried", "changes", "left_ms", "why"),
    [
        (None, {}, 1_000.0, None),
        (CARRIED, {"tier": "registro"}, 1_000.0, None),
        (CARRIED, {}, 1_000.0, Rejection.LOOP),  # the tier catalogo is in the path already
        (
            CARRIED,
            {"tier": "entrada", "node": "n9", "first": True},
            1_000.0,
            Rejection.LOOP,
        ),  # back at the first tier
        (Carried("r", 1, 1.0, ("x/y",) * MAX_HOPS), {}, 1_000.0, Rejection.LOOP),
        (None, {}, 5.0, Rejection.LATE),
        (None, {}, 0.0, Rejection.LATE),
        (None, {}, -7.0, Rejection.LATE),
    ],
)
def test_admission_rejects_loops_and_late_requests(
    carried: Carried | None, changes: dict[str, object], left_ms: float, why: Rejection | None
) -> None:
    chain = Chain(limits(**changes))
    for n in range(5):  # answers take 20 ms
        assert chain.admit(f"before{n}", None, "a", 1.0, 1e6, 0.0) is None
        chain.send(f"before{n}", 0.0)
        chain.attempt_ended(f"before{n}", Result.SERVED, False, 0, 20.0, 0.0)
        chain.done(f"before{n}")
    assert chain.admit("x", carried, "a", 1.0, left_ms, 0.0) is why
    assert chain.open == (why is None) and sum(chain.rejected.values()) == (why is not None)


def test_values_from_clients_are_ignored_and_values_from_tiers_are_capped() -> None:
    first = Chain(limits(tier="entrada", first=True, extra=1), "e")
    first.admit("1", Carried("forged", 8, 1e6, ()), "a", 2.0, 1e6, 0.0)
    assert first.send("1", 0.0) == Carried("e1", 1, 2.0, ("entrada/n1",))
    inner = Chain(limits(extra=1))
    inner.admit("1", Carried("r", 8, 1e9, ("entrada/n0",)), "a", 2.0, 1e6, 0.0)
    assert inner.send("1", 0.0) == Carried("r", 1, 1e6, ("entrada/n0", "catalogo/n1"))


def test_the_balancer_ends_requests_that_the_chain_rejects_and_retries_within_its_budget() -> None:
    cls = api.RequestClass("a", 100.0, 1_000.0, repeat=api.Repeat.SAFE)
    node = Balancer(api.Settings([cls], max_attempts=5), 1, Chain(limits(extra=1)))
    node.handle(api.ServerList(api.ListKind.FULL, 1, [api.ServerEntry(n) for n in range(4)]), 0.0)
    (end,) = node.handle(api.Request("1", "a", 900.0, carried=CARRIED), 1.0)
    assert end == api.Fail("1", True, 0)  # a loop
    (sent,) = node.handle(api.Request("2", "a", 900.0), 2.0)
    assert isinstance(sent, api.Send) and sent.carried is not None and sent.carried.extra == 1
    (wait,) = node.handle(api.AttemptEnded("2", 0, sent.server, Result.ERROR, 5.0, False), 7.0)
    assert isinstance(wait, api.SetTimer)
    (again,) = node.handle(api.TimerFired(wait.token), 7.0 + wait.delay_ms)
    assert isinstance(again, api.Send) and again.carried is not None and again.carried.extra == 0
    (end,) = node.handle(api.AttemptEnded("2", 1, again.server, Result.ERROR, 5.0, False), 200.0)
    assert end == api.Refuse("2", end.retry_after_ms, False, 1)  # type: ignore[union-attr]
    # Overload below: no retry although an attempt is left, and the overload is reported to the tier above.
    (sent,) = node.handle(api.Request("3", "a", 900.0), 300.0)
    assert isinstance(sent, api.Send)
    (end,) = node.handle(api.AttemptEnded("3", 0, sent.server, Result.ERROR, 5.0, False, below=True), 305.0)
    assert isinstance(end, api.Refuse) and end.below
    assert node.chain is not None and node.chain.open == 0


@pytest.mark.parametrize(
    ("repeat", "can_cancel", "cancels"),
    [
        (api.Repeat.SAFE, True, 1),
        (api.Repeat.KEYED, True, 1),
        (api.Repeat.UNSAFE, True, 0),
        (api.Repeat.SAFE, False, 0),
    ],
)
def test_an_attempt_whose_client_has_disconnected_is_cancelled_if_that_is_allowed(
    repeat: api.Repeat, can_cancel: bool, cancels: int
) -> None:
    cls = api.RequestClass("a", 100.0, 1_000.0, repeat=repeat, window_ms=500.0)
    node = Balancer(api.Settings([cls], can_cancel=can_cancel), 1, Chain(limits()))
    node.handle(api.ServerList(api.ListKind.FULL, 1, [api.ServerEntry(1)]), 0.0)
    node.handle(api.Request("1", "a", 900.0), 1.0)
    assert node.handle(api.ClientGone("1"), 2.0) == [api.Cancel("1", 0)] * cancels
    node.handle(api.AttemptEnded("1", 0, 1, Result.CANCELLED, 1.0, True), 3.0)
    assert node.chain is not None and (node.chain.open, node.chain.gate.inflight) == (0, 0)


# Headers

HOPS = st.from_regex(r"[a-z0-9.-]{1,9}/[a-z0-9.-]{1,9}", fullmatch=True)


@given(
    st.builds(
        Carried,
        st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True),
        st.integers(0, 8),
        st.integers(0, 10**9).map(lambda n: n / 1000.0),
        st.lists(HOPS, min_size=1, max_size=16).map(tuple),
    )
)
def test_values_written_to_headers_are_read_back_unchanged(carried: Carried) -> None:
    assert (
        HeaderCodec(KEYS, lambda: 1e9).read(dict(HeaderCodec(KEYS, lambda: 1e9).write(carried, 3.0)))
        == carried
    )


@given(st.sampled_from([b"baggage", b"cdn-loop"]), st.integers(0, 200), st.binary(max_size=4))
def test_modified_headers_are_rejected(name: bytes, at: int, put: bytes) -> None:
    headers = dict(HeaderCodec(KEYS, lambda: 1e9).write(CARRIED, 3.0))
    old = headers[name]
    headers[name] = old[:at] + put + old[at + len(put) :]
    found = HeaderCodec(KEYS, lambda: 1e9).read(headers)
    assert found is None or found == CARRIED  # entries of other applications in the headers may change


def test_key_rotation_expiry_and_replay_of_tags() -> None:
    now = [1e9]
    old, new = HeaderCodec(KEYS[1:], lambda: now[0]), HeaderCodec(KEYS, lambda: now[0])
    theirs = dict(old.write(CARRIED, 3.0))
    assert new.read(theirs) == CARRIED  # signed with the previous key
    assert old.read(dict(new.write(CARRIED, 3.0))) is None and old.counts == {"unknown key": 1}
    assert HeaderCodec(()).read(theirs) is None and HeaderCodec(()).write(CARRIED, 1.0)[0][0] == b"cdn-loop"
    now[0] += 34.0
    assert new.read(theirs) is None and new.counts == {"expired tag": 1}
    now[0] -= 34.0
    for _ in range(MAX_CALLS - 1):
        assert new.read(theirs) == CARRIED
    assert new.read(theirs) is None and new.counts["tag used too often"] == 1
    other = HeaderCodec((("k2", b"c" * 32),), lambda: now[0])
    assert new.read(dict(other.write(CARRIED, 3.0))) is None and new.counts["wrong tag"] == 1


@pytest.mark.parametrize(
    "value", [None, b"", b"below", b"below; used=1; x", b"kept; used=-1", b"\xff", b"kept; used=999"]
)
def test_malformed_answer_headers_count_as_missing(value: bytes | None) -> None:
    assert read_answer(value) == (False, 0)
    assert write_answer(False, 0) == []
    assert all(
        read_answer(write_answer(b, n)[0][1]) == (b, n) for b, n in ((True, 0), (False, 3), (True, 99))
    )


# A node over sockets


def chain_settings(tier: str, first: bool = False, **changes: object) -> ChainSettings:
    return ChainSettings(Limits(tier, "n1", first, share=1.0, **changes), KEYS)  # type: ignore[arg-type]


def chain_headers(seen: Seen) -> str:
    """Return the chain headers of a request to a server, as lines for the server's own request."""
    return "".join(f"{name}: {seen.headers[name]}\r\n" for name in ("baggage", "cdn-loop"))


def test_forged_headers_are_ignored_and_a_request_in_a_loop_fails_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        front = Server(name="front")
        middle = Server(name="middle")
        (tmp_path / "a").mkdir()
        (tmp_path / "b").mkdir()
        async with (
            world(tmp_path / "a", front, chain=chain_settings("entrada", True)) as a,
            world(tmp_path / "b", middle, chain=chain_settings("catalogo")) as b,
        ):
            forged = "baggage: of-root=x, of-extra=8, of-worth=999, of-until=9999999999, of-tag=k1.%s\r\n" % (
                "0" * 32
            )
            assert (await a.ask("r1", extra=forged)).status == 200
            first = front.seen[0].headers
            assert "of-extra=1, of-worth=1.000" in first["baggage"] and "999" not in first["baggage"]
            assert first["cdn-loop"] == 'orchidferry; hop="entrada/n1"'
            # The server calls the next tier with an id of its own, whose `CDN-Loop` names the tier above.
            assert (await b.ask("r1-0.front.1", extra=chain_headers(front.seen[0]))).status == 200
            assert (
                middle.seen[0]
                .headers["cdn-loop"]
                .endswith('hop="entrada/n1", orchidferry; hop="catalogo/n1"')
            )
            back = await a.ask("other-id", extra=chain_headers(middle.seen[0]))
            assert (back.status, back.headers["x-chain"]) == (502, "below; used=0")
            assert len(front.seen) == 1
            assert (
                a.node is not None
                and a.node.chain_headers is not None
                and a.node.chain_headers.chain.open == 0
            )

    run(test())
    loops = [line for line in caplog.messages if "entrada/n1 > catalogo/n1 > entrada/n1" in line]
    assert len(loops) == 1


@pytest.mark.parametrize(
    ("header", "attempts", "reported"),
    [
        ("X-Chain: below; used=0\r\n", 1, "below; used=0"),
        ("X-Chain: kept; used=1\r\n", 1, "kept; used=1"),
        ("", 2, "kept; used=1"),
    ],
)
def test_overload_and_retries_below_are_reported_upwards_and_prevent_retries(
    header: str, attempts: int, reported: str, tmp_path: Path
) -> None:
    async def test() -> None:
        servers = [Server(usual=answer(500, headers=header), name=f"s{n}") for n in range(3)]
        async with world(tmp_path, *servers, chain=chain_settings("catalogo")) as scene:
            seen = await scene.ask("r1")
            assert (seen.status, seen.headers["x-chain"]) == (503, reported)
            assert sum(len(server.seen) for server in servers) == attempts

    run(test())


def test_without_the_feature_no_chain_header_is_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(), usual=answer(500, headers="X-Chain: below; used=0\r\n"))
        async with world(tmp_path, server) as scene:
            tagged = "".join(
                f"{n.decode()}: {v.decode()}\r\n" for n, v in HeaderCodec(KEYS).write(CARRIED, 3.0)
            )
            assert (await scene.ask("r1", extra=tagged)).status == 200
            assert not {"baggage", "cdn-loop"} & server.seen[0].headers.keys()
            assert "x-chain" not in (await scene.ask("r2", "pay")).headers

    run(test())


GOOD = 'tier = "a"\nnode = "b"\nfirst = true\n'


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("tier = 1", "tier"),
        (GOOD + "x = 1", "'x' is not known"),
        (GOOD.replace('"a"', '"a b"'), "tier: 'a b' is no name"),
        (GOOD + "extra = 9", "extra: 9 is not within 0 to 8"),
        (GOOD + "share = 1.5", "share: 1.5"),
        (GOOD + "nodes = 0", "nodes: 0"),
        (GOOD + 'keys = ["k1=short"]', "keys[0]: the secret has less than"),
        (GOOD + 'keys = ["k1"]', "keys[0]: is not NAME=SECRET"),
        (GOOD + 'keys = ["k=' + "a" * 32 + '", "k=' + "b" * 32 + '"]', "each with a name of its own"),
        ("tier = ", "not TOML"),
    ],
)
def test_a_bad_settings_file_is_reported_in_one_line(text: str, words: str, tmp_path: Path) -> None:
    path = tmp_path / "chain.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_chain(str(path))
    assert words in str(caught.value) and str(path) in str(caught.value) and "aaaa" not in str(caught.value)
    path.write_text(GOOD + f'extra = 2\nkeys = ["k1={"s" * 40}"]\n')
    assert read_chain(str(path)).limits == Limits("a", "b", True, 2)
