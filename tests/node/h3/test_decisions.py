"""What HTTP/3 decides, without sockets: transports, floods, settings, the scripted path."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing.floods import (
    MALFORMED_BURST,
    MAX_HALF_OPEN,
    RESETS_BURST,
    UNVALIDATED_HALF_OPEN,
    ConnectionLimits,
    FirstPacketDecision,
    FirstPacketLimiter,
    StrayPacketLimiter,
)
from orchidferry.balancing.transports import (
    BASE_BACKOFF_MS,
    MAX_BACKOFF_DOUBLINGS,
    SUSPECT_TIMEOUT_MS,
    State,
    Transport,
    Transports,
)
from orchidferry.node.config import ConfigError
from orchidferry.node.h3.settings import read_http3
from orchidferry.testkit.quic import certs
from orchidferry.testkit.quic.faults import NO_FAULTS, PathConditions, PathFaults


def made(most: int = 10) -> Transports:
    return Transports(random.Random(1), most)


def up(ways: Transports, server: int, now: float) -> None:
    assert ways.choose(server, now).connect
    ways.connecting(server)
    ways.connected(server, now)


def test_a_server_is_spoken_to_by_tcp_until_quic_is_up() -> None:
    ways = made()
    first = ways.choose(1, 0.0)
    assert (first.transport, first.connect) == (Transport.TCP, True)
    ways.connecting(1)
    assert ways.choose(1, 1.0) == type(first)(Transport.TCP, False)  # one handshake at a time
    ways.connected(1, 2.0)
    assert ways.choose(1, 3.0) == type(first)(Transport.QUIC, False)


def test_what_must_not_be_lost_goes_only_where_something_was_heard_of_late() -> None:
    ways = made()
    up(ways, 1, 0.0)
    assert ways.choose(1, 900.0, unrepeatable=True).transport is Transport.QUIC
    assert ways.choose(1, 1_100.0, unrepeatable=True).transport is Transport.TCP
    assert ways.choose(1, 1_100.0).transport is Transport.QUIC
    ways.received(1, 1_200.0)
    assert ways.choose(1, 1_300.0, unrepeatable=True).transport is Transport.QUIC


def test_failures_rest_longer_each_time_with_jitter_and_success_begins_anew() -> None:
    ways = made()
    now = 0.0
    waits = []
    for _ in range(MAX_BACKOFF_DOUBLINGS + 3):
        assert ways.choose(1, now).connect
        ways.connecting(1)
        ways.closed(1, now)
        assert not ways.choose(1, now + 1.0).connect
        step = now
        while not ways.choose(1, step).connect:
            step += 10.0
        waits.append(step - now)
        now = step
    for n, wait in enumerate(waits):
        most = BASE_BACKOFF_MS * 2.0 ** min(n, MAX_BACKOFF_DOUBLINGS)
        assert most / 2.0 <= wait <= most + 10.0
    up(ways, 1, now)
    ways.closed(1, now)
    assert not ways.choose(1, now + 1.0).connect and ways.choose(1, now + BASE_BACKOFF_MS).connect


def test_an_orderly_end_needs_no_rest() -> None:
    ways = made()
    up(ways, 1, 0.0)
    ways.closed(1, 5.0, orderly=True)
    assert ways.choose(1, 5.0).connect


def test_silence_is_doubt_a_datagram_ends_it_and_too_long_a_silence_the_connection() -> None:
    ways = made()
    up(ways, 1, 0.0)
    ways.received(1, 50.0)
    assert not ways.timed_out(1, 40.0, 100.0)  # something came since it was sent
    assert ways.timed_out(1, 60.0, 100.0) and ways.state(1) is State.SUSPECT
    assert not ways.timed_out(1, 60.0, 101.0)  # one ping is enough
    assert ways.choose(1, 102.0).transport is Transport.TCP and not ways.is_dead(1, 102.0)
    ways.received(1, 103.0)
    assert ways.choose(1, 104.0).transport is Transport.QUIC
    assert ways.idle_distrusted(1, 110.0) and not ways.idle_distrusted(1, 111.0)
    assert ways.is_dead(1, 110.0 + SUSPECT_TIMEOUT_MS)
    assert not ways.idle_distrusted(2, 110.0) and not ways.timed_out(2, 0.0, 1.0) and not ways.is_dead(2, 1e9)


def test_only_so_many_servers_have_a_connection_and_one_that_goes_makes_room() -> None:
    ways = made(2)
    up(ways, 1, 0.0)
    up(ways, 2, 0.0)
    assert not ways.choose(3, 0.0).connect
    ways.forget(1)
    assert ways.choose(3, 0.0).connect and len(ways) == 2


@given(st.lists(st.tuples(st.sampled_from("dulshfgo"), st.integers(1, 4)), max_size=80), st.integers(1, 3))
@hypothesis_settings(max_examples=200, deadline=None)
def test_whatever_comes_the_count_of_open_ones_is_true_and_bounded(
    steps: list[tuple[str, int]], most: int
) -> None:
    ways = made(most)
    now = 0.0
    for what, server in steps:
        now += 700.0
        if what in "du":
            if ways.choose(server, now).connect:
                ways.connecting(server)
                if what == "u":
                    ways.connected(server, now)
        elif what == "l":
            ways.closed(server, now)
        elif what == "s":
            ways.timed_out(server, now - 1.0, now)
        elif what == "h":
            ways.received(server, now)
        elif what == "f":
            ways.forget(server)
        elif what == "o":
            ways.closed(server, now, orderly=True)
        open = [s for s in range(1, 5) if ways.state(s) in (State.CONNECTING, State.UP, State.SUSPECT)]
        assert len(open) == ways._open <= most
        for one in range(1, 5):
            if ways.state(one) is not State.UP:
                assert ways.choose(one, now).transport is Transport.TCP


def test_first_packets_are_believed_then_proven_then_dropped() -> None:
    guard = FirstPacketLimiter(0.0)
    assert guard.decide(0, False, 0.0) is FirstPacketDecision.ACCEPT
    assert guard.decide(UNVALIDATED_HALF_OPEN, False, 0.0) is FirstPacketDecision.VALIDATE
    assert guard.decide(UNVALIDATED_HALF_OPEN, True, 0.0) is FirstPacketDecision.ACCEPT
    assert guard.decide(MAX_HALF_OPEN, True, 0.0) is FirstPacketDecision.DROP
    taken = [guard.decide(0, False, 1.0) for _ in range(200)]
    assert (
        FirstPacketDecision.VALIDATE in taken and taken[0] is FirstPacketDecision.ACCEPT
    )  # by their rate, too
    assert guard.decide(0, False, 2_000.0) is FirstPacketDecision.ACCEPT  # it comes back


def test_patience_runs_out_and_comes_back() -> None:
    patience = ConnectionLimits(0.0)
    assert all(patience.allows_reset(0.0) for _ in range(int(RESETS_BURST))) and not patience.allows_reset(
        0.0
    )
    assert all(
        patience.allows_malformed(0.0) for _ in range(int(MALFORMED_BURST))
    ) and not patience.allows_malformed(0.0)
    assert patience.allows_reset(1_000.0) and patience.allows_malformed(1_000.0)
    strays = StrayPacketLimiter(0.0)
    assert sum(strays.allows_answer(0.0) for _ in range(1_000)) == 100 and strays.allows_answer(10.0)


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("", "neither front nor servers"),
        ("x = 1", "x is not known"),
        ("front = 1", "front must be a table"),
        ("[front]\n", "front.listen is missing"),
        ('[front]\nlisten = "here"', "front.listen must be HOST:PORT"),
        ('[front]\nlisten = "a:70000"', "front.listen"),
        (
            '[front]\nlisten = "a:1"\ncertificate = "none.pem"',
            "front.certificate names a file that does not exist",
        ),
        ("[servers]\nconnections = 0", "servers.connections must be"),
        ("[servers]\nconnections = true", "servers.connections must be"),
        ('[servers]\nca = ""', "servers.ca is missing"),
        ("[servers]\nodd = 1", "servers.odd is not known"),
        ("[servers", "http3.toml: "),
    ],
)
def test_a_bad_file_gives_one_line_with_file_and_key(tmp_path: Path, text: str, names: str) -> None:
    file = tmp_path / "http3.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_http3(str(file))
    line = str(caught.value)
    assert "\n" not in line and "http3.toml" in line
    assert names.replace("is missing", "") in line


def test_a_good_file_is_read_with_paths_beside_it(tmp_path: Path) -> None:
    known = certs.make(tmp_path / "keys")
    file = tmp_path / "http3.toml"
    file.write_text(
        '[front]\nlisten = "127.0.0.1:8443"\ncertificate = "keys/server.pem"\nkey = "keys/server.key"\n'
        'alt_svc_s = 0\n[servers]\nca = "keys/ca.pem"\nname = "inner.test"\nconnections = 7\n'
    )
    found = read_http3(str(file))
    assert found.front is not None and found.servers is not None
    assert found.front.certificate == known.certificate and found.front.alt_svc_s == 0
    assert (found.servers.name, found.servers.connections) == ("inner.test", 7)
    assert known.key.stat().st_mode & 0o077 == 0
    with pytest.raises(ConfigError, match=r"nowhere\.toml"):
        read_http3(str(tmp_path / "nowhere.toml"))


def test_a_scripted_path_meets_the_same_fate_by_its_seed() -> None:
    conditions = PathConditions(0.2, 0.2, 0.2, 0.01, 0.02)
    one = PathFaults(7, conditions)
    two = PathFaults(7, conditions)
    other = PathFaults(8, conditions)
    fates = [one.copy_delays_s() for _ in range(500)]
    assert fates == [two.copy_delays_s() for _ in range(500)] != [other.copy_delays_s() for _ in range(500)]
    assert 0.14 < one.lost / 500 < 0.26 and one.lost + one.passed == 500
    assert any(len(delays_s) == 2 for delays_s in fates)
    assert all(0.01 <= wait <= 0.01 + 0.02 + 0.005 + 0.002 for delays_s in fates for wait in delays_s)
    two.black_hole = True
    assert [two.copy_delays_s() for _ in range(5)] == [[]] * 5
    assert PathFaults(1, NO_FAULTS).copy_delays_s() == [0.0]
    for bad in ({"loss": 1.1}, {"reorder": -0.1}, {"delay_s": -1.0}):
        with pytest.raises(ValueError):
            PathConditions(**bad)
