"""Answers over HTTP/3 whose only datagram is lost when no time is left to send it again.

A retry had 0.273 s left when it was sent. Its last attempt ended 58 ms before its client gave up, and the
client had nothing 70 ms after: a probe timeout was 55 ms in the median there and 185 ms for one in 100.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from orchidferry.node.h3.client_connection import Connection, RequestStream
from orchidferry.node.reply import Reply
from tests.node.h3.environment import accepted_by, h3_environment, send_request
from tests.node.peers import LIMIT_S, Server, run, until

LONG_RTT_S = 4 * LIMIT_S  # a probe timeout after which nobody waits any more


def test_an_answer_without_time_for_a_resend_survives_the_loss_of_its_datagram(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plain = Connection.send_response

    async def test() -> None:
        async with h3_environment(tmp_path, Server()) as env:
            connection = await env.connect()
            accepted = accepted_by(env)

            lost: list[bytes] = []

            def lose_first_datagram(answering: Connection, stream: RequestStream, reply: Reply) -> None:
                plain(answering, stream, reply)
                transport = answering.transport
                send = transport._sendto
                transport._sendto = lambda data, _: lost.append(data)
                transport.flush()
                transport._sendto = send

            await until(lambda: accepted.up and accepted.quic._loss._rtt_initialized)
            accepted.quic._loss._rtt_smoothed = LONG_RTT_S
            monkeypatch.setattr(Connection, "send_response", lose_first_datagram)
            asked = send_request(connection, "short", budget="20")
            assert asked.outcome is not None
            outcome = await asyncio.wait_for(asked.outcome, LIMIT_S)
            assert lost
            assert outcome.status == 200

    run(test())


def test_an_answer_with_time_for_a_resend_is_sent_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with h3_environment(tmp_path, Server()) as env:
            connection = await env.connect()
            accepted = accepted_by(env)
            sent: list[bytes] = []
            plain = accepted.transport._sendto

            def noted(data: bytes, peer: tuple[object, ...]) -> None:
                sent.append(data)
                plain(data, peer)

            accepted.transport._sendto = noted
            asked = send_request(connection, "long", budget="20")
            assert asked.outcome is not None
            assert (await asked.outcome).status == 200
            await asyncio.sleep(0.05)
            assert len(sent) == len(set(sent)) >= 1

    run(test())
