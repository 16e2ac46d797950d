"""Servers that crash while they are connected over QUIC: attempts there must not wait until their timeouts.

Over HTTP/1.1 the connections of a crashed server are reset, and its attempts are retried elsewhere at once.
Over HTTP/3 nothing was noticed: an attempt waited for 2,842 of its 3,000 ms on a connection that had been
silent for 3.1 s, although its probes went to a closed port. In 38 runs with a crash, 40 requests ended at
their deadlines; over HTTP/1.1 it was 6 in 45 runs.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from orchidferry.balancing import transports
from orchidferry.balancing.interface import Result
from orchidferry.balancing.transports import State
from tests.node.h3.environment import (
    h3_upstream,
    quic_environment,
    record_results,
    transport_state,
    upstream_connection,
)
from tests.node.peers import run, until


@pytest.fixture(autouse=True)
def trusts_quiet_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send unrepeatable requests over QUIC, too, if this process has stood still for a second before."""
    monkeypatch.setattr(transports, "MAX_QUIET_MS", 60_000.0)


def test_an_attempt_at_a_closed_port_ends_at_once_as_possibly_run(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.gate.clear()
            kinds = ("read", "pay")
            requests = [asyncio.create_task(env.world.ask(kind, kind)) for kind in kinds]
            await until(lambda: len(h3_server.seen) == len(kinds))
            h3_server.quic.stop(abruptly=True)
            read, pay = await asyncio.wait_for(asyncio.gather(*requests), 5.0)  # their budget is 20 s
            assert read.body == b"done" and pay.status == 502
            assert results.count(Result.RESET) == len(kinds)
            assert transport_state(env) is State.BACKING_OFF and env.no_state_left()

    run(test())


def test_a_forged_icmp_error_without_the_connection_id_is_ignored(tmp_path: Path) -> None:
    """An ICMP error quotes the undelivered datagram; only hosts on the path know its connection id."""

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, _):
            connection = upstream_connection(env)
            h3_upstream(env).port_unreachable(b"\x41" + b"n" * 30, connection.peer)
            assert connection.up and not connection.closed and transport_state(env) is State.UP
            h3_upstream(env).port_unreachable(
                b"\x41" + connection.quic._peer_cid.cid + b"n" * 30, connection.peer
            )
            assert connection.closed and transport_state(env) is State.BACKING_OFF

    run(test())


def test_new_requests_take_tcp_after_consecutive_unanswered_probes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Unanswered probes make a connection suspect before any attempt has timed out."""
    monkeypatch.setattr(transports, "SUSPECT_TIMEOUT_MS", 60_000.0)

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            results = record_results(env)
            h3_server.gate.clear()
            request = asyncio.create_task(env.world.ask("pay", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = True
            upstream_connection(env).quic.send_ping(0)
            upstream_connection(env).transport.flush()
            await until(lambda: transport_state(env) is State.SUSPECT)
            assert not results  # the attempt may still be answered
            assert (await env.world.ask("next")).body == b"done"
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = False
            h3_server.gate.set()
            assert (await request).body == b"by quic"
            await until(lambda: transport_state(env) is State.UP)

    run(test())
