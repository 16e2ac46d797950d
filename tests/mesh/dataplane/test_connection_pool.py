"""Which idle connection carries a request, and what is learnt of servers that forget idle connections."""

from __future__ import annotations

import pytest

from orchidferry.balancing.interface import Result
from tests.mesh.dataplane.test_attempt import answer
from tests.mesh.fakes import patch_clock, proxied_request
from tests.mesh.wire_fakes import Sent, close_all, pool


@pytest.mark.parametrize(
    ("at_most_once", "idle_ms", "keep_alive", "reused"),
    [
        (False, 6_900.0, b"", True),
        (False, 7_100.0, b"", False),
        (True, 400.0, b"", True),
        (True, 600.0, b"", False),  # one that the server may have forgotten: a loss could not be made good
        (False, 2_700.0, b"Keep-Alive: timeout=4\r\n", True),
        (False, 2_900.0, b"Keep-Alive: timeout=4\r\n", False),  # the server may close it as we write
        (True, 600.0, b"Keep-Alive: timeout=1\r\n", False),
    ],
)
def test_which_idle_connections_are_reused(
    monkeypatch: pytest.MonkeyPatch, at_most_once: bool, idle_ms: float, keep_alive: bytes, reused: bool
) -> None:
    loop, made = pool()
    patch_clock(monkeypatch, loop.now_ms)
    made.send(Sent(proxied_request("t1")))
    made.peers[0].put(answer("t1", more=keep_alive))
    made.peers[0].read()
    loop.now_s += idle_ms / 1e3
    made.send(Sent(proxied_request("t2"), at_most_once=at_most_once))
    assert (len(made.peers) == 1) is reused and len(made._open) == 1
    close_all(made)


def test_a_server_that_forgets_idle_connections_is_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    loop, made = pool()
    patch_clock(monkeypatch, loop.now_ms)
    for number, idle_ms in enumerate((0.0, 1_000.0, 600.0)):
        loop.now_s += idle_ms / 1e3
        sent = Sent(proxied_request(f"t{number}"))
        made.send(sent)
        if idle_ms == 1_000.0:  # reset: it was forgotten
            made.peers[-1].lose(ConnectionResetError())
            assert sent.ends[0][0] is Result.RESET and len(made.peers) == 1
            made.send(sent := Sent(proxied_request("again")))
        made.peers[-1].put(answer(sent.message.id))
        made.peers[-1].read()
        assert sent.ends[0][0] is Result.SERVED
    assert len(made.peers) == 3  # the last one did not trust an idle time of 600 ms any more
    close_all(made)
