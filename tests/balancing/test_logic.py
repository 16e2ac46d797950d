"""The operating rules, the server list, and the reactions to faults: a small case for each."""

from __future__ import annotations

import math

import pytest

from orchidferry.balancing import delay, logic, server_set
from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from tests.balancing.helpers import Node, ends, entries, sends, timers


def test_first_attempts_are_spread_evenly() -> None:
    node = Node(servers=4)
    picked = node.serve(40)
    assert {picked.count(n) for n in range(4)} == {10}


def test_first_attempts_follow_weights() -> None:
    node = Node(servers=0)
    node.list_all([api.ServerEntry(1, share=3.0), api.ServerEntry(2, share=1.0)])
    picked = node.serve(40)
    assert picked.count(1) == pytest.approx(30, abs=1)


def test_a_failed_attempt_is_retried_elsewhere_after_a_backoff() -> None:
    node = Node()
    node.ask("a")
    [timer] = timers(node.end("a", Result.ERROR))
    assert timer.delay_ms > 0
    [send] = sends(node.do(api.TimerFired(timer.token), timer.delay_ms))
    assert send.server != node.sent["a"][0]


def test_backoff_doubles_with_jitter() -> None:
    # Without jitter, retries after a common stall would come at the same time.
    firsts = []
    seconds = []
    for salt in range(200):
        node = Node(salt=salt)
        node.ask("a", ttl_ms=30_000.0)
        [first] = timers(node.end("a", Result.ERROR))
        node.do(api.TimerFired(first.token), first.delay_ms)
        [second] = timers(node.end("a", Result.ERROR))
        firsts.append(first.delay_ms)
        seconds.append(second.delay_ms)
    assert sum(seconds) == pytest.approx(2.0 * sum(firsts), rel=0.1)
    assert max(firsts) > 2.0 * min(firsts)


def test_rule_1_a_timeout_at_the_deadline_ends_the_request_once() -> None:
    node = Node()
    node.ask("a", "unsafe", 800.0)
    assert len(ends(node.end("a", Result.TIMEOUT, 800.0))) == 1
    assert node.do(api.ClientGone("a")) == []


def test_rule_1_without_servers_a_request_still_ends_in_time() -> None:
    node = Node(servers=0)
    actions = node.ask("a", ttl_ms=900.0)
    start = node.now
    while not ends(actions):
        [timer] = timers(actions)
        actions = node.do(api.TimerFired(timer.token), timer.delay_ms)
    assert isinstance(ends(actions)[0], api.Refuse)
    assert node.now - start < 900.0


def test_rule_1_nothing_is_sent_after_the_client_has_gone() -> None:
    node = Node()
    node.ask("a")
    [timer] = timers(node.end("a", Result.ERROR))
    node.do(api.ClientGone("a"))
    assert node.do(api.TimerFired(timer.token), timer.delay_ms) == []


def test_rule_2_unsafe_is_not_repeated_once_it_may_have_run() -> None:
    for result in (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED):
        node = Node()
        node.ask("a", "unsafe")
        assert ends(node.end("a", result)) == [api.Fail("a")]


def test_rule_2_unsafe_is_retried_when_it_never_ran() -> None:
    node = Node()
    node.ask("a", "unsafe")
    [timer] = timers(node.end("a", Result.REFUSED))
    assert sends(node.do(api.TimerFired(timer.token), timer.delay_ms))


def test_rule_2_keyed_stays_in_its_group() -> None:
    for salt in range(20):
        node = Node(servers=8, salt=salt)
        node.ask("a", "keyed")
        [timer] = timers(node.end("a", Result.ERROR))
        [send] = sends(node.do(api.TimerFired(timer.token), timer.delay_ms))
        assert send.server % 2 == node.sent["a"][0] % 2


def test_rule_2_keyed_is_not_sent_after_its_window() -> None:
    node = Node()
    node.ask("a", "keyed", ttl_ms=3000.0)
    actions = node.end("a", Result.TIMEOUT, 1990.0)
    assert ends(actions) == [api.Fail("a")] and not timers(actions)


def test_rule_3_a_draining_server_gets_nothing() -> None:
    node = Node(servers=2)
    node.change(api.ServerEntry(0, health=api.Health.DRAINING))
    assert set(node.serve(10)) == {1}


def test_rule_3_a_server_missing_from_a_full_list_is_gone() -> None:
    node = Node(servers=2)
    node.list_all(entries([1]), 2)
    assert set(node.serve(10)) == {1}


def test_rule_3_changes_leave_the_rest_of_the_list() -> None:
    node = Node(servers=2)
    node.change(api.ServerEntry(7))
    assert set(node.serve(30)) == {0, 1, 7}


def test_a_failed_subscription_is_retried_with_jitter() -> None:
    delays = set()
    for salt in range(5):
        node = Node(salt=salt, follow_list=True)
        assert api.Subscribe() in [a for _, a in node.log]
        [timer] = timers(node.do(api.ServerList(api.ListKind.FAILED)))
        delays.add(timer.delay_ms)
        assert node.do(api.TimerFired(timer.token), timer.delay_ms) == [api.Subscribe()]
        assert timer.delay_ms < node.balancer.settings.ask_every_ms / 4
    assert len(delays) == 5


def test_rule_4_a_warming_server_gets_a_reduced_share() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.change(api.ServerEntry(9, started_ms=node.now))
    picked = node.serve(100)  # for 6 s, most of the ramp from a quarter to the full capacity
    assert 0 < picked.count(9) < 100 / 5


def test_a_server_started_long_ago_is_warm() -> None:
    node = Node(servers=0)
    node.list_all([api.ServerEntry(1), api.ServerEntry(2, started_ms=node.now - 9000.0)])
    picked = node.serve(40)
    assert picked.count(2) == 20


def test_a_stuck_server_gets_no_more_calls() -> None:
    # In akl, big-2, two overloaded servers of fifty blocked the whole tier.
    node = Node(servers=4)
    node.serve(80)
    stuck = next(iter(node.balancer.server_set.assigned))
    sent_to_stuck = 0
    for n in range(100):
        node.ask(f"r{n}")
        if node.sent[f"r{n}"][0] == stuck:
            sent_to_stuck += 1
        else:
            node.end(f"r{n}", Result.SERVED)
    assert sent_to_stuck <= 5


def test_a_slow_server_loses_weight_and_regains_it() -> None:
    node = Node(servers=4)
    for _ in range(200):
        id = f"s{node.now}"
        node.ask(id)
        node.end(id, Result.SERVED, 400.0 if node.sent[id][0] == 0 else 50.0)
    slow = node.balancer.server_set.servers[0]
    health_factor = node.balancer.outliers.health_factor
    assert not slow.outstanding and health_factor(slow, node.now) < 0.5
    assert node.serve(20, gap_ms=0.0).count(0) <= 2  # an even share would be 5
    assert not slow.outstanding and health_factor(slow, node.now + 60_000.0) == pytest.approx(1.0)


def test_a_server_that_fails_fast_is_ejected_and_returns() -> None:
    node = Node(servers=4)
    node.serve(100)
    bad = 0
    for n in range(60):
        node.ask(f"e{n}", "unsafe")
        failing = node.sent[f"e{n}"][0] == 0
        bad += failing
        node.end(f"e{n}", Result.ERROR if failing else Result.SERVED, 20.0)
    assert bad <= 4
    node.now += 60_000.0
    assert 0 in node.serve(8)


def test_at_most_half_of_the_servers_are_ejected_for_errors() -> None:
    node = Node(servers=4)
    node.serve(100)
    for n in range(80):
        node.ask(f"e{n}", "unsafe")
        node.end(f"e{n}", Result.ERROR, 20.0)
        assert (
            sum(node.now < server.ejected_until_ms for server in node.balancer.server_set.assigned.values())
            <= 2
        )


def test_nodes_divide_many_servers_evenly() -> None:
    """Many nodes that use all servers need more connections than these accept."""
    callers = dict.fromkeys(range(60), 0)
    load = dict.fromkeys(callers, 0.0)
    for number in range(40):
        server_set_of_node = Node(60, nodes=40, number=number).balancer.server_set
        assert len(server_set_of_node.assigned) < 30
        assert math.isclose(
            sum(server.assigned_share for server in server_set_of_node.assigned.values()),
            server_set.SLICES * 60 / 40,
        )
        for server in server_set_of_node.assigned.values():
            callers[server.id] += 1
            load[server.id] += server.assigned_share
    assert max(callers.values()) <= 40 / 2
    assert all(math.isclose(share, server_set.SLICES) for share in load.values())


def test_a_busy_node_widens_its_subset() -> None:
    node = Node(60, nodes=40, tier=1)
    few = len(node.balancer.server_set.assigned)
    node.serve(50)
    assert len(node.balancer.server_set.assigned) == few
    for n in range(40):
        node.ask(f"{n}")
    assert len(node.balancer.server_set.assigned) > few
    assert len({server for sent in node.sent.values() for server in sent}) > few
    node.list_all(entries(range(60)))
    assert len(node.balancer.server_set.assigned) == few


def test_a_keyed_repeat_may_leave_the_nodes_subset_but_not_the_group() -> None:
    node = Node(40, nodes=40)
    own = {server.id for server in node.balancer.server_set.assigned.values()}
    node.ask("k", "keyed")
    (first,) = node.sent["k"]
    node.list_all(entries(n for n in range(40) if n == first or n % 2 != first % 2 or n not in own))
    node.change(*entries([first], health=api.Health.GONE))
    (timer,) = timers(node.end("k", Result.ERROR))
    node.do(api.TimerFired(timer.token), timer.delay_ms)
    again = node.sent["k"][1]
    assert again not in own
    assert again % 2 == first % 2


def test_a_burst_is_queued_in_the_first_tier_and_refused_in_time() -> None:
    # Issue i4cdd30: requests that clients had given up on filled every slot of the servers.
    node = Node(servers=2)
    node.serve(200)
    for n in range(300):
        node.ask(f"b{n}")
    out = sum(s.inflight for s in node.balancer.server_set.assigned.values())
    assert out < 100
    waiting = [a for _, a in node.log if isinstance(a, api.SetTimer)]
    assert len(waiting) >= 200
    refused = 0
    for timer in waiting:
        refused += len(ends(node.do(api.TimerFired(timer.token))))
    assert refused >= 200


def test_deeper_tiers_do_not_queue_for_a_full_window() -> None:
    node = Node(servers=2, tier=1)
    node.serve(200)
    for n in range(300):
        node.ask(f"b{n}")
    assert sum(s.inflight for s in node.balancer.server_set.assigned.values()) == 300


def fill(node: Node) -> int:
    """Send calls of little worth until one has to wait, and return how many were sent."""
    n = 0
    while not timers(node.ask(f"fill{n}")):
        n += 1
    return n


def test_queued_calls_of_most_worth_are_sent_first() -> None:
    node = Node(servers=2)
    node.serve(200)
    n = fill(node)
    while sends(node.ask(f"valuable{n}", "unsafe")):  # uses the reserved part of the window
        n += 1
    sent = [send for k in range(5) for send in sends(node.end(f"fill{k}", Result.SERVED, 1.0))]
    assert sent[0].id == f"valuable{n}"


def test_a_class_of_more_worth_but_much_longer_calls_waits() -> None:
    """A class of 1.5 times the worth took twice the time: no better use of a full tier."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "keyed_all", delay_ms=400.0)
    n = fill(node)
    node.ask("slow", "keyed_all")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.end(f"fill{k}", Result.SERVED, 1.0))
    assert next(send.id for send in sent if send.id in (f"fill{n}", "slow")) == f"fill{n}"


def test_the_worst_served_class_is_not_starved_if_worst_class_is_set() -> None:
    """Strict order of worth served only 9% of the class of less worth."""

    def first(worst_class: float) -> str:
        node = Node(servers=2, worst_class=worst_class)
        node.serve(100)
        node.serve(100, "keyed_all")
        for n in range(20):
            node.ask(f"f{n}")
            node.end(f"f{n}", Result.ERROR, 1.0, settled=False)
            node.do(api.TimerFired(node.balancer._token), 3000.0)
        n = fill(node)
        node.ask("valuable", "keyed_all")
        for k in range(n):
            sent = sends(node.end(f"fill{k}", Result.SERVED, 1.0))
            if sent:
                return sent[0].id
        raise AssertionError("nothing was released")

    assert first(0.0) == "valuable"
    assert first(2.0).startswith("fill")


def test_a_part_of_the_window_is_reserved_for_the_class_of_most_value() -> None:
    """A fifth of the class of most worth was refused while the other was sent."""
    node = Node(servers=2)
    node.serve(200)
    node.serve(200, "unsafe")
    n = fill(node)
    assert sends(node.ask("valuable", "unsafe"))
    window = node.balancer.controller.window(2.0, node.now)
    assert n < window <= n + 3


def test_tenants_over_quota_wait_longest() -> None:
    tenants = [api.Tenant("x", 0.5, 5.0), api.Tenant("y", 0.5, 5.0)]
    node = Node(servers=2, tenants=tenants, over_share_worth=0.05)
    node.serve(200)
    n = 0
    while not timers(node.ask(f"b{n}", tenant="x")):
        n += 1
    for k in range(5):
        node.ask(f"x{k}", tenant="x")
    node.ask("fair", tenant="y")
    sent: list[api.Send] = []
    for k in range(n):
        sent += sends(node.end(f"b{k}", Result.SERVED, 1.0))
        if sent:
            break
    assert sent[0].id == "fair"


def test_unknown_ids_and_timers_change_nothing() -> None:
    node = Node()
    assert node.do(api.TimerFired(999)) == []
    assert node.do(api.ClientGone("nobody")) == []
    node.do(api.AttemptEnded("nobody", 0, 0, Result.SERVED, 5.0, True))
    node.do(api.AttemptEnded("nobody", 0, 77, Result.ERROR, 5.0, True))
    assert math.isfinite(node.balancer.controller.allowed_rate)


def test_a_request_is_not_retried_after_its_response_started() -> None:
    node = Node()
    node.ask("a")
    node.do(api.StreamStarted("a", 0, node.sent["a"][0]))
    assert not sends(node.end("a", Result.RESET, 50.0, settled=True))


def test_a_node_that_has_seen_only_failures_still_sends() -> None:
    # In pohjola, rules-1, a restarted node divided by zero samples after a second of refusals.
    node = Node()
    for n in range(40):
        node.ask(f"f{n}")
        node.end(f"f{n}", Result.UNREACHABLE, 100.0)
    assert node.balancer.controller.window(4.0, node.now) == delay.INITIAL_PER_SERVER * 4.0
    assert sends(node.ask("later"))


def send_directly(node: Node, id: str, server: int) -> bool:
    """Call `_send`, as a new feature without checks of its own would; return whether it sent the call."""
    balancer = node.balancer
    return balancer._send(balancer._calls[id], balancer.server_set.servers[server], node.now)


def test_send_enforces_rules_1_and_2() -> None:
    node = Node(servers=4)
    node.ask("out", "safe")
    assert not send_directly(node, "out", 1)  # an attempt is in flight already
    node.ask("late", "safe", 400.0)
    node.end("late", Result.ERROR, 100.0)
    node.now += 298.0
    assert not send_directly(node, "late", 1)  # no time left
    node.ask("keyed", "keyed")
    node.end("keyed", Result.ERROR, 10.0)
    other = 1 - node.sent["keyed"][0] % 2
    assert not send_directly(node, "keyed", other)  # another group
    node.now += 1995.0
    assert not send_directly(node, "keyed", 1 - other)  # the deduplication window has passed
    node.ask("again", "safe")
    node.end("again", Result.ERROR, 10.0)
    assert send_directly(node, "again", 1)  # allowed: safe, and no attempt in flight


def test_send_enforces_rule_4() -> None:
    node = Node(servers=4)
    node.serve(200)
    node.change(api.ServerEntry(9, started_ms=node.now))
    sent = 0
    for n in range(60):  # all at the same time
        node.ask(f"c{n}")
        node.end(f"c{n}", Result.UNREACHABLE, 0.0)
        sent += send_directly(node, f"c{n}", 9)
    assert sent <= 4


def test_the_rotation_gives_a_warming_server_less_than_rule_4_allows() -> None:
    node = Node(servers=4, overload_factor=50.0)
    node.serve(200)
    node.change(api.ServerEntry(9, started_ms=node.now))
    assert node.serve(20).count(9) <= 2


def test_the_timeout_of_an_attempt_is_a_few_baseline_delays() -> None:
    """Calls to a lost zone waited until their deadline, and filled the tier above."""
    node = Node(servers=4, tier=1, passes_deadline=False)
    (early,) = sends(node.ask("early"))
    assert early.timeout_ms > 2000.0  # there is no baseline yet
    node.end("early", Result.SERVED)
    node.serve(100, delay_ms=50.0)
    (send,) = sends(node.ask("lost"))
    assert 100.0 < send.timeout_ms < 600.0
    (other,) = sends(node.ask("brief", ttl_ms=100.0))
    assert other.timeout_ms < 100.0


def test_the_time_until_a_timeout_counts_towards_the_backoff() -> None:
    """Calls lost on a dead connection were retried only after their latency target."""
    node = Node(servers=4)
    node.serve(100)
    [first] = sends(node.ask("a"))
    assert 0.0 < first.timeout_ms < 300.0  # a few times the baseline of 50 ms
    [timer] = timers(node.end("a", Result.TIMEOUT, 1000.0))
    assert timer.delay_ms == 0.0
    [second] = sends(node.do(api.TimerFired(timer.token)))
    assert second.server != first.server and second.timeout_ms > 1.5 * first.timeout_ms
    [timer] = timers(node.end("a", Result.ERROR, 1.0))
    assert timer.delay_ms > 0.0


def test_a_request_is_sent_a_third_time_after_two_timeouts_beyond_its_latency_target() -> None:
    """Two consecutive timeouts exceed a latency target of 500 ms; the request must not be refused then."""
    read = api.RequestClass("read", 500.0, 20_000.0, 1.0, repeat=api.Repeat.SAFE)
    pay = api.RequestClass("pay", 500.0, 20_000.0, 1.0)
    for salt in range(20):
        node = Node(servers=2, salt=salt, classes=[read, pay])
        node.serve(20, "read")
        asked_ms = node.now
        [first] = sends(node.ask("a", "read", 20_000.0))
        [timer] = timers(node.end("a", Result.TIMEOUT, first.timeout_ms))
        [second] = sends(node.do(api.TimerFired(timer.token), timer.delay_ms))
        [timer] = timers(node.end("a", Result.TIMEOUT, second.timeout_ms))
        [_] = sends(node.do(api.TimerFired(timer.token), timer.delay_ms))
        assert ends(node.end("a", Result.SERVED)) == []
        assert first.timeout_ms < 0.7 * second.timeout_ms
        assert node.now - asked_ms > read.aim_ms
        [unsafe] = sends(node.ask("once", "pay", 20_000.0))
        assert unsafe.timeout_ms > 1.5 * first.timeout_ms


def test_a_first_attempt_gets_the_long_timeout_if_a_retry_would_be_late() -> None:
    """Calls to a slow tier timed out early, and their retries failed at a full window."""
    node = Node(servers=4)
    node.serve(100, delay_ms=350.0)
    [first] = sends(node.ask("a"))
    assert first.timeout_ms > 1.5 * 4.0 * 350.0


def test_the_timeout_has_a_minimum_where_answers_take_a_millisecond() -> None:
    """First attempts timed out after 2 ms, and the backoff was 100 times as long."""
    node = Node(servers=4)
    node.serve(100, delay_ms=0.5)
    [send] = sends(node.ask("a"))
    assert send.timeout_ms >= 50.0


def test_calls_lost_on_dead_connections_do_not_fill_the_window() -> None:
    node = Node(servers=1)
    node.serve(100)
    silent = [f"silent-{n}" for n in range(3)]
    for id in silent:
        assert sends(node.ask(id, "unsafe"))
    node.now += 1.0
    node.serve(1)
    window = node.balancer.controller.window(1.0, node.now + 300.0)
    node.balancer.controller.window = lambda servers, now: 3.0  # type: ignore[method-assign]
    assert window > 0.0 and not sends(node.ask("held", "unsafe"))
    node.now += 300.0
    assert sends(node.ask("room", "unsafe"))


def test_a_new_node_starts_with_a_few_calls_per_server_and_grows_with_answers() -> None:
    """A node without a limit in its first second overloaded an entire tier."""
    node = Node(servers=4)
    for n in range(100):
        node.ask(f"a{n}")
    first = list(node.sent)
    assert delay.INITIAL_PER_SERVER * 4 * 0.8 <= len(first) <= delay.INITIAL_PER_SERVER * 4
    for id in first[:10]:
        node.end(id, Result.SERVED, 1.0)
    assert len(node.sent) >= len(first) + 18  # each answer frees its slot and opens one more


def test_a_node_whose_number_is_too_high_still_has_servers() -> None:
    node = Node(60, nodes=40, number=57)
    assert node.balancer.server_set.assigned
    assert sends(node.ask("a"))


def test_rule_5_retries_stay_within_the_budget() -> None:
    """There were 4 retries where 13 accepted requests allow 3.4."""
    node = Node(8, repeat_ratio=0.1, extra_floor=2.0, resend_span_ms=5000.0)

    def retries_sent(count: int) -> int:
        """Accept `count` requests whose first attempt fails, and return how many retries were sent."""
        retries = 0
        for n in range(count):
            id = f"{node.now}-{n}"
            node.ask(id)
            node.end(id, Result.UNREACHABLE, 0.0)
            retries += send_directly(node, id, n % 8)
        return retries

    assert retries_sent(9) == 2
    assert retries_sent(1) == 1  # the tenth accepted request earns a retry
    node.now += 4990.0
    assert retries_sent(1) == 0  # all retries so far are still in the window
    node.now += 20.0
    assert retries_sent(8) == 2  # the first retries have left the window; nine requests earn none


def test_without_a_budget_retries_are_not_limited() -> None:
    node = Node(8)
    for n in range(20):
        node.ask(f"{n}")
        node.end(f"{n}", Result.UNREACHABLE, 0.0)
        assert send_directly(node, f"{n}", 1)


def test_rule_6_a_refusal_may_have_run_if_the_settings_say_so() -> None:
    node = Node(full_may_have_run=True)
    node.ask("a", "unsafe")
    assert ends(node.end("a", Result.REFUSED)) == [api.Fail("a")]
    node.ask("b", "keyed")
    node.end("b", Result.REFUSED, 10.0)
    assert not send_directly(node, "b", 1 - node.sent["b"][0] % 2)  # a repeat must stay in the group
    node.ask("c", "unsafe")
    assert timers(node.end("c", Result.UNREACHABLE))  # this still proves that it never ran


def test_first_attempts_are_shed_while_the_delay_is_over_the_target() -> None:
    """Servers with too many calls became overloaded one after another, and stayed so."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    assert node.balancer.controller.shed_share(node.now) == 0.0
    for n in range(30):
        node.ask(f"slow{n}", "unsafe")
        if node.sent.get(f"slow{n}"):
            node.end(f"slow{n}", Result.SERVED, 900.0)
    assert node.balancer.controller.shed_share(node.now) > 0.3
    cheap = sum(bool(sends(node.ask(f"cheap{n}"))) for n in range(100))
    assert cheap < 70  # the class of least value is shed first
    deeper = Node(servers=4, tier=1)
    deeper.balancer.controller._shed_share = 0.8
    deeper.balancer.controller._last_ms = deeper.now
    assert sends(deeper.ask("a"))  # in a deeper tier a refusal wastes work done above


def test_a_refusal_is_a_delay_sample_of_the_latency_target() -> None:
    """Refusals came fast, so that nothing was shed while 61% of attempts were refused."""
    node = Node(servers=4)
    node.serve(100, delay_ms=50.0)
    for n in range(20):
        node.ask(f"f{n}", "unsafe")
        if node.sent.get(f"f{n}"):
            node.end(f"f{n}", Result.REFUSED, 5.0)
    assert node.balancer.controller.shed_share(node.now) > 0.0


def test_an_overdue_call_lowers_the_weight_of_its_server_before_it_ends() -> None:
    """Slow and silent servers got several more calls before a first one timed out."""
    node = Node(servers=4, tier=1)
    node.serve(200)
    node.ask("stuck")
    [stuck] = node.sent["stuck"]
    node.now += 1000.0
    assert stuck not in node.serve(30)
    node.end("stuck", Result.SERVED, 0.0)
    assert stuck in node.serve(30)


def test_an_overtaken_call_does_not_lower_the_weight_of_its_server() -> None:
    """Neither while it is outstanding nor by its timeout: the server answers, so its connection died."""
    node = Node(servers=4, tier=1)
    node.serve(200)
    for n in range(8):
        node.now += 1.0
        node.ask(f"c{n}")
    silent = next(n for n in range(8) if node.sent[f"c{n}"] in [node.sent[f"c{m}"] for m in range(n + 1, 8)])
    for n in range(8):
        if n != silent:
            node.end(f"c{n}", Result.SERVED, 5.0)
    [server] = node.sent[f"c{silent}"]
    node.now += 1000.0
    assert server in node.serve(12)
    node.end(f"c{silent}", Result.TIMEOUT, 500.0)
    assert server in node.serve(12)


def test_answers_to_clients_that_have_gone_count_in_the_measurements() -> None:
    """Clients leave slow calls: without these, the measured delay and answer rate were too low."""
    node = Node(servers=2)
    node.serve(20)
    share = node.balancer.outliers.baseline_share
    answers = node.balancer.controller.answers.events
    node.ask("left")
    node.do(api.ClientGone("left"), 10.0)
    node.end("left", Result.SERVED, 800.0, settled=True)
    assert node.balancer.outliers.baseline_share > 1.2 * share
    assert node.balancer.controller.answers.events > 0.8 * answers + 0.9
    node.ask("left late")
    node.do(api.ClientGone("left late"), 10.0)
    node.end("left late", Result.TIMEOUT, 2850.0, settled=True)
    assert node.balancer.server_set.servers[node.sent["left late"][0]].slowness > 2.0


def test_calls_sent_before_a_server_was_listed_again_are_not_counted_for_it() -> None:
    node = Node(servers=1)
    node.ask("before")
    node.list_all([])
    node.list_all(entries([0]))
    node.ask("after")
    server = node.balancer.server_set.servers[0]
    assert server.inflight == 1
    node.end("before", Result.SERVED)
    assert server.inflight == 1 and node.balancer.inflight == 1
    node.end("after", Result.SERVED)
    assert server.inflight == node.balancer.inflight == 0


def test_a_reported_queue_lowers_the_weight_and_decays() -> None:
    """An overloaded server reports its queue in its answers before it fails."""
    node = Node(servers=4, tier=1)
    node.serve(200)
    node.ask("a")
    [overloaded] = node.sent["a"]
    event = api.AttemptEnded("a", 0, overloaded, Result.SERVED, 50.0, True, {"queue": 6.0})
    node.do(event, 50.0)
    assert overloaded not in node.serve(20)
    node.now += 60_000.0
    assert overloaded in node.serve(20)


def test_a_request_is_refused_if_and_only_if_a_repeat_is_harmless() -> None:
    """Requests that could be repeated failed, which does not tell clients to repeat them."""
    for cls, result, end in (
        ("safe", Result.ERROR, api.Refuse),
        ("keyed_all", Result.ERROR, api.Refuse),
        ("unsafe", Result.UNREACHABLE, api.Refuse),
        ("keyed", Result.ERROR, api.Fail),
        ("unsafe", Result.ERROR, api.Fail),
    ):
        node = Node(max_attempts=1)
        node.ask("a", cls)
        [answer] = ends(node.end("a", result))
        assert isinstance(answer, end)


def test_idle_connections_are_closed_after_two_losses() -> None:
    """Calls on connections dropped while idle got no answer, at all servers alike."""
    node = Node(servers=4, tier=1)
    node.serve(40)

    def idle_send(id: str) -> list[api.Action]:
        node.now += 3000.0
        return node.ask(id)

    for n in range(2):
        assert not [a for a in idle_send(f"l{n}") if isinstance(a, api.CloseIdle)]
        node.end(f"l{n}", Result.TIMEOUT, 500.0)
    actions = idle_send("later")
    assert isinstance(actions[0], api.CloseIdle) and isinstance(actions[1], api.Send)
    assert actions[0].server == actions[1].server


def test_one_loss_on_an_idle_connection_closes_nothing() -> None:
    """Each timeout caused new handshakes, which cost the servers work."""
    node = Node(servers=1, tier=1)
    node.serve(10)
    for n, result in enumerate([Result.TIMEOUT, Result.SERVED, Result.TIMEOUT, Result.SERVED]):
        node.now += 3000.0 + 1000.0 * n
        assert not [a for a in node.ask(f"{n}") if isinstance(a, api.CloseIdle)]
        node.end(f"{n}", result, 500.0)


def test_a_busy_node_uses_no_more_slices_than_there_are() -> None:
    """Slices doubled with each send without limit, and all of them were recomputed each time."""
    settings = api.Settings([api.RequestClass("read", 1000.0, 3000.0)], nodes=20, tier=1, tiers=2)
    balancer = logic.Balancer(settings, 1)
    balancer.handle(api.ServerList(api.ListKind.FULL, 1, [api.ServerEntry(n) for n in range(4)]), 0.0)
    for n in range(200):
        balancer.handle(api.Request(f"{n}", "read", 3000.0), float(n))
    assert balancer.inflight == 200
    assert 20 <= balancer.server_set.slices.slices < 40
