"""Requests over HTTP/3 that a node reads late, or that came late: their clients have waited since they asked.

A client that had 3.000 s left sent its request at 420.906 s; its node began with it at 421.055 s, counted
3.000 s from there, and the client gave up at 423.977 s with no answer. The datagram had waited in the socket
of a process without a core. A first datagram that is lost comes again only after a probe timeout, and so does
an answer: one was due by 553.486 s and sent at 553.462 s, and its client had nothing at 553.558 s.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from orchidferry.node.clock import now_ms
from tests.node.h3.environment import H3Environment, accepted_by, h3_environment, send_request
from tests.node.peers import HANG, LIMIT_S, Server, run, until

BLOCKED_S = 0.3
BUDGET_MS = 5_000.0


async def pending_ends_ms(env: H3Environment) -> float:
    """Wait until the node has one request; return when its time ends."""
    await until(lambda: len(env.node._pending) == 1)
    [pending] = env.node._pending.values()
    return pending.ends_ms


def test_a_request_that_waited_in_the_socket_ends_when_its_client_does(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            asked_ms = now_ms()
            send_request(connection, "late", budget="5")
            time.sleep(BLOCKED_S)  # in the node's own event loop
            assert await pending_ends_ms(env) <= asked_ms + BUDGET_MS

    run(test())


def probe_timeout_ms(env: H3Environment) -> float:
    """Return after how long a lost datagram comes again, as the node's connection to its client knows."""
    connection = accepted_by(env)
    return min(1_000.0 * connection.quic._loss.get_probe_timeout(), BUDGET_MS / 20.0)


def test_an_answer_is_due_early_enough_to_be_sent_twice(tmp_path: Path) -> None:
    """Its one datagram may be lost, and comes again after a probe timeout."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            send_request(connection, "plain", budget="5")
            ends_ms = await pending_ends_ms(env)
            assert 0.0 < ends_ms <= now_ms() + BUDGET_MS - probe_timeout_ms(env)

    run(test())


def test_a_request_whose_first_datagram_was_lost_has_waited_for_a_probe_timeout(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            connection.outgoing_path.black_hole = True
            send_request(connection, "lost", budget="5")
            connection.outgoing_path.black_hole = False
            ends_ms = await pending_ends_ms(env)
            assert connection.outgoing_path.lost == 1
            assert ends_ms <= now_ms() + BUDGET_MS - 2.0 * probe_timeout_ms(env)  # there, and back

    run(test())


def test_a_request_whose_loss_was_noticed_at_once_counts_from_then(tmp_path: Path) -> None:
    """A loss noticed over one probe timeout before the request came again did not count, in 2 plays of 20."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            accepted = accepted_by(env)
            await until(lambda: accepted.up)
            connection._quic._loss._rtt_smoothed = LIMIT_S  # so that it resends nothing by itself
            accepted.quic._loss._rtt_smoothed = 0.3
            accepted.quic._loss._rtt_variance = 0.0
            connection.outgoing_path.black_hole = True
            asked_ms = now_ms()
            send_request(connection, "lost", budget="20")
            connection.outgoing_path.black_hole = False
            connection._quic.send_ping(0)
            connection.transmit()
            await asyncio.sleep(1.25 * accepted.quic._loss.get_probe_timeout())
            connection._quic._loss.reschedule_data(now=time.monotonic())
            connection.transmit()
            assert await pending_ends_ms(env) <= asked_ms + 4.0 * BUDGET_MS

    run(test())


def test_a_request_that_a_later_one_overtakes_counts_from_before_that_one(tmp_path: Path) -> None:
    """Streams are opened in order (RFC 9000, section 2.1): what comes before it was sent after it."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            node = env.node
            connection.outgoing_path.black_hole = True
            asked_ms = now_ms()
            send_request(connection, "lost", budget="2")
            connection.outgoing_path.black_hole = False
            send_request(connection, "overtakes", budget="2")
            connection.outgoing_path.black_hole = True
            await until(lambda: len(node._pending) == 1)
            await asyncio.sleep(0.3)
            connection.outgoing_path.black_hole = False
            await until(lambda: len(node._pending) == 2)
            ends_ms = {pending.message.id: pending.ends_ms for pending in node._pending.values()}
            assert now_ms() - asked_ms >= 300.0
            assert all(end <= asked_ms + 0.4 * BUDGET_MS for end in ends_ms.values()), ends_ms

    run(test())
