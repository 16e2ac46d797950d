"""A connection is used for one incarnation of a server and one process of its gate only."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest

from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.admission import AdmissionGate
from orchidferry.node.reply import Reply
from tests.mesh.dataplane.test_http_connection_answers import answer
from tests.mesh.fakes import admission_gate, patch_clock, proxied_request, route, service_client
from tests.mesh.wire_fakes import Pool, close_all, loop_and_pool


def pool_with_clock(monkeypatch: pytest.MonkeyPatch) -> tuple[Any, Pool]:
    loop, pool = loop_and_pool()
    patch_clock(monkeypatch, loop.now_ms)
    return loop, pool


def heartbeat(gate: AdmissionGate, id: str) -> None:
    gate.heartbeat(Server(id, "s", "z", IN_SERVICE, 4, 0.0), 1)


def connections_of_two_incarnations(monkeypatch: pytest.MonkeyPatch) -> int:
    """Replace a server at its address during a request; return how many connections the gate opened."""
    _, pool = pool_with_clock(monkeypatch)
    gate = admission_gate(pool)
    replies: list[Reply] = []
    heartbeat(gate, "i")
    gate.accept(proxied_request("a"), replies.append)
    heartbeat(gate, "j")
    pool.peers[0].send_bytes(answer(b"a", b"of the incarnation before"))
    pool.peers[0].read()
    gate.accept(proxied_request("b"), replies.append)
    pool.peers[-1].send_bytes(answer(b"b", b"of this incarnation"))
    pool.peers[-1].read()
    gate.accept(proxied_request("c"), replies.append)  # connections are reused within an incarnation
    close_all(pool)
    assert [reply.status for reply in replies] == [200, 200]
    return len(pool.peers)


def test_no_connection_of_a_former_incarnation_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    assert connections_of_two_incarnations(monkeypatch) == 2


def test_reuse_across_incarnations_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    always = property(lambda self: 1, lambda self, value: None)
    with mock.patch.object(AdmissionGate, "incarnation", always, create=True):
        assert connections_of_two_incarnations(monkeypatch) == 1


@pytest.mark.parametrize(("id", "boot", "reconnected"), [("i", 1, False), ("i", 2, True), ("j", 2, True)])
def test_a_connection_to_a_restarted_gate_is_not_used(
    monkeypatch: pytest.MonkeyPatch, id: str, boot: int, reconnected: bool
) -> None:
    """Its close may have been lost in a network cut; a request sent on it is reset, and may have run."""
    loop, pool = pool_with_clock(monkeypatch)
    numbers = {"i": 1, "j": 2}
    service = service_client(loop, pool, server_number=lambda server: numbers[server])
    unsafe_route = route("non_idempotent", 2)
    for number, (server, incarnation) in enumerate((("i", 1), (id, boot))):
        listed = Server(server, "s", "z", IN_SERVICE, 4, 0.0)
        service.update_servers({"n": NodeRecord("n", incarnation, 1, "z", "127.0.0.1", 1, listed)})
        if not number:
            service.set_routes([unsafe_route])
        replies: list[Reply] = []
        service.accept(proxied_request(f"t{number}"), unsafe_route, loop.now_ms() + 1_000.0, replies.append)
        pool.peers[-1].send_bytes(answer(b"t%d" % number, b"x"))
        pool.peers[-1].read()
        assert [reply.status for reply in replies] == [200]
    assert (len(pool.peers) == 2) is reconnected
    close_all(pool)
