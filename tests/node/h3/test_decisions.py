"""The logic of HTTP/3 without sockets: choice of transport, flood limits, settings file, path faults."""

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


def new_transports(max_connections: int = 10) -> Transports:
    return Transports(random.Random(1), max_connections)


def establish(transports: Transports, server: int, now: float) -> None:
    """Establish a QUIC connection to a server."""
    assert transports.choose(server, now).connect
    transports.connecting(server)
    transports.connected(server, now)


def test_attempts_take_tcp_until_quic_is_up() -> None:
    transports = new_transports()
    first = transports.choose(1, 0.0)
    assert (first.transport, first.connect) == (Transport.TCP, True)
    transports.connecting(1)
    assert transports.choose(1, 1.0) == type(first)(Transport.TCP, False)  # one handshake at a time
    transports.connected(1, 2.0)
    assert transports.choose(1, 3.0) == type(first)(Transport.QUIC, False)


def test_unrepeatable_attempts_take_quic_only_if_something_was_received_recently() -> None:
    transports = new_transports()
    establish(transports, 1, 0.0)
    assert transports.choose(1, 900.0, unrepeatable=True).transport is Transport.QUIC
    assert transports.choose(1, 1_100.0, unrepeatable=True).transport is Transport.TCP
    assert transports.choose(1, 1_100.0).transport is Transport.QUIC
    transports.received(1, 1_200.0)
    assert transports.choose(1, 1_300.0, unrepeatable=True).transport is Transport.QUIC


def test_backoff_doubles_with_jitter_after_failures_and_a_success_resets_it() -> None:
    transports = new_transports()
    now = 0.0
    waits = []
    for _ in range(MAX_BACKOFF_DOUBLINGS + 3):
        assert transports.choose(1, now).connect
        transports.connecting(1)
        transports.closed(1, now)
        assert not transports.choose(1, now + 1.0).connect
        retry_at = now
        while not transports.choose(1, retry_at).connect:
            retry_at += 10.0
        waits.append(retry_at - now)
        now = retry_at
    for n, wait in enumerate(waits):
        max_wait = BASE_BACKOFF_MS * 2.0 ** min(n, MAX_BACKOFF_DOUBLINGS)
        assert max_wait / 2.0 <= wait <= max_wait + 10.0
    establish(transports, 1, now)
    transports.closed(1, now)
    assert not transports.choose(1, now + 1.0).connect and transports.choose(1, now + BASE_BACKOFF_MS).connect


def test_an_orderly_close_causes_no_backoff() -> None:
    transports = new_transports()
    establish(transports, 1, 0.0)
    transports.closed(1, 5.0, orderly=True)
    assert transports.choose(1, 5.0).connect


def test_silence_makes_a_connection_suspect_until_a_datagram_arrives_or_it_is_dead() -> None:
    transports = new_transports()
    establish(transports, 1, 0.0)
    transports.received(1, 50.0)
    assert not transports.timed_out(1, 40.0, 100.0)  # something was received after the attempt was sent
    assert transports.timed_out(1, 60.0, 100.0) and transports.state(1) is State.SUSPECT
    assert not transports.timed_out(1, 60.0, 101.0)  # a PING is under way already
    assert transports.choose(1, 102.0).transport is Transport.TCP and not transports.is_dead(1, 102.0)
    transports.received(1, 103.0)
    assert transports.choose(1, 104.0).transport is Transport.QUIC
    assert transports.idle_distrusted(1, 110.0) and not transports.idle_distrusted(1, 111.0)
    assert transports.is_dead(1, 110.0 + SUSPECT_TIMEOUT_MS)
    assert (
        not transports.idle_distrusted(2, 110.0)
        and not transports.timed_out(2, 0.0, 1.0)
        and not transports.is_dead(2, 1e9)
    )


def test_the_number_of_connections_is_limited_and_a_forgotten_server_makes_room() -> None:
    transports = new_transports(2)
    establish(transports, 1, 0.0)
    establish(transports, 2, 0.0)
    assert not transports.choose(3, 0.0).connect
    transports.forget(1)
    assert transports.choose(3, 0.0).connect and len(transports) == 2


@given(st.lists(st.tuples(st.sampled_from("dulshfgo"), st.integers(1, 4)), max_size=80), st.integers(1, 3))
@hypothesis_settings(max_examples=200, deadline=None)
def test_the_count_of_open_connections_is_correct_and_bounded(
    steps: list[tuple[str, int]], max_connections: int
) -> None:
    transports = new_transports(max_connections)
    now = 0.0
    for step, server in steps:
        now += 700.0
        if step in "du":  # dial, or establish
            if transports.choose(server, now).connect:
                transports.connecting(server)
                if step == "u":
                    transports.connected(server, now)
        elif step == "l":  # lost
            transports.closed(server, now)
        elif step == "s":  # silent
            transports.timed_out(server, now - 1.0, now)
        elif step == "h":  # a datagram was received
            transports.received(server, now)
        elif step == "f":
            transports.forget(server)
        elif step == "o":  # orderly end
            transports.closed(server, now, orderly=True)
        open = [s for s in range(1, 5) if transports.state(s) in (State.CONNECTING, State.UP, State.SUSPECT)]
        assert len(open) == transports._open <= max_connections
        for candidate in range(1, 5):
            if transports.state(candidate) is not State.UP:
                assert transports.choose(candidate, now).transport is Transport.TCP


def test_first_packets_are_accepted_then_validated_then_dropped() -> None:
    limiter = FirstPacketLimiter(0.0)
    assert limiter.decide(0, False, 0.0) is FirstPacketDecision.ACCEPT
    assert limiter.decide(UNVALIDATED_HALF_OPEN, False, 0.0) is FirstPacketDecision.VALIDATE
    assert limiter.decide(UNVALIDATED_HALF_OPEN, True, 0.0) is FirstPacketDecision.ACCEPT
    assert limiter.decide(MAX_HALF_OPEN, True, 0.0) is FirstPacketDecision.DROP
    # The rate of handshakes without address validation is limited too.
    decisions = [limiter.decide(0, False, 1.0) for _ in range(200)]
    assert FirstPacketDecision.VALIDATE in decisions and decisions[0] is FirstPacketDecision.ACCEPT
    assert limiter.decide(0, False, 2_000.0) is FirstPacketDecision.ACCEPT  # the token bucket refills


def test_connection_limits_are_exhausted_and_refill() -> None:
    limits = ConnectionLimits(0.0)
    assert all(limits.allows_reset(0.0) for _ in range(int(RESETS_BURST))) and not limits.allows_reset(0.0)
    assert all(
        limits.allows_malformed(0.0) for _ in range(int(MALFORMED_BURST))
    ) and not limits.allows_malformed(0.0)
    assert limits.allows_reset(1_000.0) and limits.allows_malformed(1_000.0)
    strays = StrayPacketLimiter(0.0)
    assert sum(strays.allows_answer(0.0) for _ in range(1_000)) == 100 and strays.allows_answer(10.0)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "neither front nor servers"),
        ("x = 1", "x is not known"),
        ("front = 1", "front must be a table"),
        ("[front]\n", "front.listen is missing"),
        ('[front]\nlisten = "here"', "front.listen must be HOST:PORT"),
        ('[front]\nlisten = "a:70000"', "front.listen"),
        (
            '[front]\nlisten = "a:1"\ncertificate = "none.pem"',
            "front.certificate names no file",
        ),
        ("[servers]\nconnections = 0", "servers.connections must be"),
        ("[servers]\nconnections = true", "servers.connections must be"),
        ('[servers]\nca = ""', "servers.ca is missing"),
        ("[servers]\nodd = 1", "servers.odd is not known"),
        ("[servers", "http3.toml: "),
    ],
)
def test_an_invalid_file_gives_a_one_line_error_with_file_and_key(
    tmp_path: Path, text: str, message: str
) -> None:
    file = tmp_path / "http3.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as caught:
        read_http3(str(file))
    line = str(caught.value)
    assert "\n" not in line and "http3.toml" in line
    assert message.replace("is missing", "") in line


def test_a_valid_file_is_read_with_paths_relative_to_it(tmp_path: Path) -> None:
    files = certs.make(tmp_path / "keys")
    file = tmp_path / "http3.toml"
    file.write_text(
        '[front]\nlisten = "127.0.0.1:8443"\ncertificate = "keys/server.pem"\nkey = "keys/server.key"\n'
        'alt_svc_s = 0\n[servers]\nca = "keys/ca.pem"\nname = "inner.test"\nconnections = 7\n'
    )
    http3 = read_http3(str(file))
    assert http3.front is not None and http3.servers is not None
    assert http3.front.certificate == files.certificate and http3.front.alt_svc_s == 0
    assert (http3.servers.name, http3.servers.connections) == ("inner.test", 7)
    assert files.key.stat().st_mode & 0o077 == 0
    with pytest.raises(ConfigError, match=r"nowhere\.toml"):
        read_http3(str(tmp_path / "nowhere.toml"))


def test_path_faults_with_the_same_seed_are_the_same() -> None:
    conditions = PathConditions(0.2, 0.2, 0.2, 0.01, 0.02)
    one = PathFaults(7, conditions)
    two = PathFaults(7, conditions)
    other = PathFaults(8, conditions)
    delays_of_datagrams = [one.copy_delays_s() for _ in range(500)]
    assert (
        delays_of_datagrams
        == [two.copy_delays_s() for _ in range(500)]
        != [other.copy_delays_s() for _ in range(500)]
    )
    assert 0.14 < one.lost / 500 < 0.26 and one.lost + one.passed == 500
    assert any(len(delays_s) == 2 for delays_s in delays_of_datagrams)
    assert all(
        0.01 <= wait <= 0.01 + 0.02 + 0.005 + 0.002 for delays_s in delays_of_datagrams for wait in delays_s
    )
    two.black_hole = True
    assert [two.copy_delays_s() for _ in range(5)] == [[]] * 5
    assert PathFaults(1, NO_FAULTS).copy_delays_s() == [0.0]
    for invalid in ({"loss": 1.1}, {"reorder": -0.1}, {"delay_s": -1.0}):
        with pytest.raises(ValueError):
            PathConditions(**invalid)
