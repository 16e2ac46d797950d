"""Requests after a handshake with a lost last datagram: their budgets count from when they were sent.

A client sends requests as soon as its own handshake is complete, but a server can decrypt them only after it
has received the client's Finished message. In one run, that message was lost, and ten requests sent within 11
ms were readable at the node only 300 ms later. The node counted the budget of one of them, 957 ms, from then,
and the client gave up before the node's response was due. Of 37,895 requests 64 took more than 150 ms to
arrive, 49 of these at the start of a run.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from aioquic.quic.events import HandshakeCompleted, QuicEvent

from orchidferry.balancing.transports import State
from orchidferry.node.clock import now_ms
from orchidferry.node.h3 import held_datagrams
from orchidferry.node.h3.held_datagrams import Datagram, HeldDatagrams
from orchidferry.node.h3.server_connection import ServerConnection
from orchidferry.testkit.quic.client import RequesterConnection
from tests.node.h3.environment import (
    H3Environment,
    H3ScriptedServer,
    accepted_by,
    h3_environment,
    send_request,
    transport_state,
)
from tests.node.h3.test_input_age import pending_ends_ms
from tests.node.peers import HANG, LIMIT_S, Server, run, until

SHORT_BUDGET_MS = 1_000.0


async def connect_losing_finished(env: H3Environment) -> RequesterConnection:
    """Return a connection with a handshake that is complete at the client; its last datagram was lost."""
    connection = await env.connect(wait=False)
    original = connection.quic_event_received

    def lose_finished(event: QuicEvent) -> None:
        original(event)
        if isinstance(event, HandshakeCompleted):
            # Loses the datagrams that the client sends before this iteration of the event loop ends.
            connection.outgoing_path.black_hole = True

    connection.quic_event_received = lose_finished  # type: ignore[method-assign]
    await asyncio.wait_for(connection.wait_connected(), LIMIT_S)
    connection.outgoing_path.black_hole = False
    return connection


def test_requests_held_for_a_lost_end_of_the_handshake_count_from_when_they_were_sent(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await connect_losing_finished(env)
            sent_ms = now_ms()
            send_request(connection, "early", budget="1")
            ends_ms = await pending_ends_ms(env)
            assert connection.outgoing_path.lost >= 1
            assert ends_ms <= sent_ms + SHORT_BUDGET_MS

    run(test())


def test_datagrams_before_the_end_of_the_handshake_are_held_up_to_a_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the bound a client could fill the node's memory with datagrams that can't be decrypted yet."""
    original = HeldDatagrams.hold
    held_bytes = []

    def record(held: HeldDatagrams, datagram: Datagram) -> None:
        original(held, datagram)
        held_bytes.append(held.bytes)

    monkeypatch.setattr(HeldDatagrams, "hold", record)
    monkeypatch.setattr(held_datagrams, "MAX_HELD_BYTES", 4_096)

    async def test() -> None:
        async with h3_environment(tmp_path, Server()) as env:
            connection = await connect_losing_finished(env)
            streams = [send_request(connection, f"r{n}", "save", body=b"x" * 1_000) for n in range(30)]
            outcomes = await asyncio.gather(
                *(stream.outcome for stream in streams if stream.outcome is not None)
            )
            # A node that has just started rejects some requests.
            assert {outcome.status for outcome in outcomes} <= {200, 503}
            assert 0 < held_bytes[0] < max(held_bytes) <= 4_096
            accepted = accepted_by(env)
            assert not accepted._held_datagrams

    run(test())


def test_attempts_take_tcp_until_the_server_has_confirmed_the_handshake(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the Finished message was lost, an attempt would stay unread at the server for a probe timeout."""
    original = ServerConnection._on_event

    async def test() -> None:
        server, h3_server = Server(name="s0"), H3ScriptedServer()

        def lose_finished(connection: ServerConnection, event: QuicEvent) -> None:
            original(connection, event)
            if isinstance(event, HandshakeCompleted):
                h3_server.quic.from_requesters.black_hole = True

        monkeypatch.setattr(ServerConnection, "_on_event", lose_finished)
        async with h3_environment(tmp_path, server, quic={"s0": await h3_server.start()}) as env:
            assert (await env.world.ask("first")).body == b"done"
            await until(lambda: h3_server.quic.from_requesters.lost >= 1)
            assert transport_state(env) is State.CONNECTING
            assert (await env.world.ask("beside")).body == b"done"
            h3_server.quic.from_requesters.black_hole = False
            await until(lambda: transport_state(env) is State.UP)
            assert (await env.world.ask("next")).body == b"by quic"
        h3_server.stop()

    run(test())
