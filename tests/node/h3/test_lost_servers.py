"""Servers over QUIC that have gone: attempts there must not wait until their time is over.

Over HTTP/1.1 a server that crashes resets its connections, and attempts go elsewhere at once. Over HTTP/3
nothing was noticed: an attempt at a server that had crashed waited for 2,842 of the 3,000 ms that its request
had, on a connection from which nothing had come for 3.1 s, though its probes went to a closed port. In 38
plays with a crash 40 requests ended at the end of their time, and 6 in 45 plays over HTTP/1.1.
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


def test_an_attempt_at_a_closed_port_ends_at_once_as_perhaps_run(tmp_path: Path) -> None:
    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.gate.clear()
            kinds = ("read", "pay")
            asked = [asyncio.create_task(env.world.ask(kind, kind)) for kind in kinds]
            await until(lambda: len(h3_server.seen) == len(kinds))
            h3_server.quic.stop(abruptly=True)
            read, pay = await asyncio.wait_for(asyncio.gather(*asked), 5.0)  # of 20 s
            assert read.body == b"done" and pay.status == 502
            assert ended.count(Result.RESET) == len(kinds)
            assert transport_state(env) is State.BACKING_OFF and env.no_state_left()

    run(test())


def test_somebody_who_only_guesses_cannot_report_a_port_as_closed(tmp_path: Path) -> None:
    """A report quotes the datagram that could not be delivered; only the path has seen its connection id."""

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, _):
            one = upstream_connection(env)
            h3_upstream(env).port_unreachable(b"\x41" + b"n" * 30, one.peer)
            assert one.up and not one.closed and transport_state(env) is State.UP
            h3_upstream(env).port_unreachable(b"\x41" + one.quic._peer_cid.cid + b"n" * 30, one.peer)
            assert one.closed and transport_state(env) is State.BACKING_OFF

    run(test())


def test_new_requests_take_tcp_once_probes_in_a_row_are_not_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Before, only an attempt that had timed out env a connection suspect."""
    monkeypatch.setattr(transports, "SUSPECT_TIMEOUT_MS", 60_000.0)

    async def test() -> None:
        async with quic_environment(tmp_path) as (env, h3_server):
            ended = record_results(env)
            h3_server.gate.clear()
            asked = asyncio.create_task(env.world.ask("pay", "pay"))
            await until(lambda: len(h3_server.seen) == 1)
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = True
            upstream_connection(env).quic.send_ping(0)
            upstream_connection(env).transport.flush()
            await until(lambda: transport_state(env) is State.SUSPECT)
            assert not ended  # it may still be answered
            assert (await env.world.ask("next")).body == b"done"
            h3_server.quic.to_requesters.black_hole = h3_server.quic.from_requesters.black_hole = False
            h3_server.gate.set()
            assert (await asked).body == b"by quic"
            await until(lambda: transport_state(env) is State.UP)

    run(test())
