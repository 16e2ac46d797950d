"""The selection of an idle connection for a request, and what is learnt from connections that were lost."""

from __future__ import annotations

import pytest

from orchidferry.balancing.interface import Result
from tests.mesh.dataplane.test_attempt import answer
from tests.mesh.fakes import patch_clock, proxied_request
from tests.mesh.wire_fakes import RecordedAttempt, close_all, loop_and_pool


@pytest.mark.parametrize(
    ("at_most_once", "idle_ms", "keep_alive", "reused"),
    [
        (False, 6_900.0, b"", True),
        (False, 7_100.0, b"", False),
        (True, 400.0, b"", True),
        (True, 600.0, b"", False),  # the server may have dropped it, and a lost request can't be retried
        (False, 2_700.0, b"Keep-Alive: timeout=4\r\n", True),
        (False, 2_900.0, b"Keep-Alive: timeout=4\r\n", False),  # the server may close it meanwhile
        (True, 600.0, b"Keep-Alive: timeout=1\r\n", False),
    ],
)
def test_which_idle_connections_are_reused(
    monkeypatch: pytest.MonkeyPatch, at_most_once: bool, idle_ms: float, keep_alive: bytes, reused: bool
) -> None:
    loop, pool = loop_and_pool()
    patch_clock(monkeypatch, loop.now_ms)
    pool.send(RecordedAttempt(proxied_request("t1")))
    pool.peers[0].send_bytes(answer("t1", more=keep_alive))
    pool.peers[0].read()
    loop.now_s += idle_ms / 1e3
    pool.send(RecordedAttempt(proxied_request("t2"), at_most_once=at_most_once))
    assert (len(pool.peers) == 1) is reused and len(pool._open) == 1
    close_all(pool)


def test_the_idle_time_after_which_connections_are_lost_is_learnt(monkeypatch: pytest.MonkeyPatch) -> None:
    loop, pool = loop_and_pool()
    patch_clock(monkeypatch, loop.now_ms)
    for number, idle_ms in enumerate((0.0, 1_000.0, 600.0)):
        loop.now_s += idle_ms / 1e3
        sent = RecordedAttempt(proxied_request(f"t{number}"))
        pool.send(sent)
        if idle_ms == 1_000.0:  # the server dropped it and resets it now
            pool.peers[-1].lose(ConnectionResetError())
            assert sent.ends[0][0] is Result.RESET and len(pool.peers) == 1
            pool.send(sent := RecordedAttempt(proxied_request("again")))
        pool.peers[-1].send_bytes(answer(sent.message.id))
        pool.peers[-1].read()
        assert sent.ends[0][0] is Result.SERVED
    assert len(pool.peers) == 3  # a connection that was idle for 600 ms is not reused any more
    close_all(pool)
