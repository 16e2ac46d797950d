"""An HTTP/3 response survives the loss of its only datagram even if no time is left for a resend.

Guards against a response that misses its client's deadline because it is resent only after a probe timeout.
In one run a client retried with 0.273 s left; the last attempt ended 58 ms before the client's deadline, and
70 ms later the client had not received the response. The probe timeout there was 55 ms in the median, 185 ms
for 1%.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from orchidferry.node.h3.client_connection import Connection, RequestStream
from orchidferry.node.reply import Reply
from tests.node.h3.environment import accepted_by, h3_environment, send_request
from tests.node.peers import LIMIT_S, Server, run, until

LONG_RTT_S = 4 * LIMIT_S  # makes the probe timeout longer than the test waits


def test_a_response_without_time_for_a_resend_survives_the_loss_of_its_datagram(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = Connection.send_response

    async def test() -> None:
        async with h3_environment(tmp_path, Server()) as env:
            connection = await env.connect()
            accepted = accepted_by(env)

            lost: list[bytes] = []

            def lose_first_datagram(connection: Connection, stream: RequestStream, reply: Reply) -> None:
                original(connection, stream, reply)
                transport = connection.transport
                send = transport._sendto
                transport._sendto = lambda data, _: lost.append(data)
                transport.flush()
                transport._sendto = send

            await until(lambda: accepted.up and accepted.quic._loss._rtt_initialized)
            accepted.quic._loss._rtt_smoothed = LONG_RTT_S
            monkeypatch.setattr(Connection, "send_response", lose_first_datagram)
            stream = send_request(connection, "short", budget="20")
            assert stream.outcome is not None
            outcome = await asyncio.wait_for(stream.outcome, LIMIT_S)
            assert lost
            assert outcome.status == 200

    run(test())


def test_a_response_with_time_for_a_resend_is_sent_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server()) as env:
            connection = await env.connect()
            accepted = accepted_by(env)
            sent: list[bytes] = []
            original = accepted.transport._sendto

            def record(data: bytes, peer: tuple[object, ...]) -> None:
                sent.append(data)
                original(data, peer)

            accepted.transport._sendto = record
            stream = send_request(connection, "long", budget="20")
            assert stream.outcome is not None
            assert (await stream.outcome).status == 200
            await asyncio.sleep(0.05)
            assert len(sent) == len(set(sent)) >= 1

    run(test())
