"""The budget of an HTTP/3 request counts from when its client sent it, even if the node reads it late.

Guards against responses that miss the client's deadline:

- A node that got no CPU read a request 149 ms after it was sent, counted its budget of 3.000 s from then, and
  had not answered when the client gave up 3.071 s after sending.
- Lost datagrams are resent only after a probe timeout, those of requests and of responses alike. A response
  was sent 24 ms before it was due, and 96 ms later the client had not received it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from orchidferry.node.clock import now_ms
from tests.node.h3.environment import H3Environment, accepted_by, h3_environment, send_request
from tests.node.peers import HANG, LIMIT_S, Server, run, until

BLOCKED_S = 0.3  # time for which the event loop is blocked while a request waits in the socket
BUDGET_MS = 5_000.0


async def pending_ends_ms(env: H3Environment) -> float:
    """Wait until the node has one pending request; return when the node ends it, by the node's clock."""
    await until(lambda: len(env.node._pending) == 1)
    [pending] = env.node._pending.values()
    return pending.ends_ms


def test_a_request_that_waited_in_the_socket_ends_by_its_clients_deadline(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            sent_ms = now_ms()
            send_request(connection, "late", budget="5")
            time.sleep(BLOCKED_S)  # blocks the node's event loop
            assert await pending_ends_ms(env) <= sent_ms + BUDGET_MS

    run(test())


def probe_timeout_ms(env: H3Environment) -> float:
    """Return the time after which the node resends a lost datagram, at most 5% of the budget."""
    connection = accepted_by(env)
    return min(1_000.0 * connection.quic._loss.get_probe_timeout(), BUDGET_MS / 20.0)


def test_a_response_is_due_early_enough_for_one_resend(tmp_path: Path) -> None:
    """The only datagram of the response may be lost, and is resent after a probe timeout."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            send_request(connection, "plain", budget="5")
            ends_ms = await pending_ends_ms(env)
            assert 0.0 < ends_ms <= now_ms() + BUDGET_MS - probe_timeout_ms(env)

    run(test())


def test_a_request_that_was_resent_counts_as_sent_a_probe_timeout_earlier(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            connection.outgoing_path.black_hole = True
            send_request(connection, "lost", budget="5")
            connection.outgoing_path.black_hole = False
            ends_ms = await pending_ends_ms(env)
            assert connection.outgoing_path.lost == 1
            # One probe timeout for the request, and one for its response
            assert ends_ms <= now_ms() + BUDGET_MS - 2.0 * probe_timeout_ms(env)

    run(test())


def test_a_request_counts_from_when_its_loss_was_noticed(tmp_path: Path) -> None:
    """Guards against ignoring losses noticed over one probe timeout before the resend (2 of 20 runs)."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            accepted = accepted_by(env)
            await until(lambda: accepted.up)
            connection._quic._loss._rtt_smoothed = LIMIT_S  # so that no probe timeout resends anything
            accepted.quic._loss._rtt_smoothed = 0.3
            accepted.quic._loss._rtt_variance = 0.0
            connection.outgoing_path.black_hole = True
            sent_ms = now_ms()
            send_request(connection, "lost", budget="20")
            connection.outgoing_path.black_hole = False
            connection._quic.send_ping(0)
            connection.transmit()
            await asyncio.sleep(1.25 * accepted.quic._loss.get_probe_timeout())
            connection._quic._loss.reschedule_data(now=time.monotonic())
            connection.transmit()
            assert await pending_ends_ms(env) <= sent_ms + 4.0 * BUDGET_MS

    run(test())


def test_a_request_that_a_later_one_overtook_counts_from_before_the_later_one(tmp_path: Path) -> None:
    """Streams are opened in order (RFC 9000, section 2.1): the overtaking request was sent later."""

    async def test() -> None:
        async with h3_environment(tmp_path, Server(usual=HANG)) as env:
            connection = await env.connect()
            node = env.node
            connection.outgoing_path.black_hole = True
            sent_ms = now_ms()
            send_request(connection, "lost", budget="2")
            connection.outgoing_path.black_hole = False
            send_request(connection, "overtakes", budget="2")
            connection.outgoing_path.black_hole = True
            await until(lambda: len(node._pending) == 1)
            await asyncio.sleep(0.3)
            connection.outgoing_path.black_hole = False
            await until(lambda: len(node._pending) == 2)
            ends_ms = {pending.message.id: pending.ends_ms for pending in node._pending.values()}
            assert now_ms() - sent_ms >= 300.0
            assert all(end <= sent_ms + 0.4 * BUDGET_MS for end in ends_ms.values()), ends_ms

    run(test())
