"""A connection belongs to one incarnation of a server, and to one run of the process that it leads to."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest

from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.admission import AdmissionGate
from orchidferry.node.reply import Reply
from tests.mesh.dataplane.test_http_connection_answers import answer
from tests.mesh.fakes import admission_gate, patch_clock, proxied_request, route, service_client
from tests.mesh.wire_fakes import Pool, close_all, pool


def played_pool(monkeypatch: pytest.MonkeyPatch) -> tuple[Any, Pool]:
    loop, made = pool()
    patch_clock(monkeypatch, loop.now_ms)
    return loop, made


def heartbeat(gate: AdmissionGate, id: str) -> None:
    gate.heartbeat(Server(id, "s", "z", IN_SERVICE, 4, 0.0), 1)


def connections_of_two_incarnations(monkeypatch: pytest.MonkeyPatch) -> int:
    """A server is replaced at its address while a request is at work; connections that the gate made."""
    _, made = played_pool(monkeypatch)
    gate = admission_gate(made)
    replies: list[Reply] = []
    heartbeat(gate, "i")
    gate.accept(proxied_request("a"), replies.append)
    heartbeat(gate, "j")
    made.peers[0].put(answer(b"a", b"of the incarnation before"))
    made.peers[0].read()
    gate.accept(proxied_request("b"), replies.append)
    made.peers[-1].put(answer(b"b", b"of this incarnation"))
    made.peers[-1].read()
    gate.accept(proxied_request("c"), replies.append)  # a incarnation's own connections are used again
    close_all(made)
    assert [reply.status for reply in replies] == [200, 200]
    return len(made.peers)


def test_no_connection_of_a_former_incarnation_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    assert connections_of_two_incarnations(monkeypatch) == 2


def test_the_break_reuse_across_incarnations_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    always = property(lambda self: 1, lambda self, value: None)
    with mock.patch.object(AdmissionGate, "incarnation", always, create=True):
        assert connections_of_two_incarnations(monkeypatch) == 1


@pytest.mark.parametrize(("id", "boot", "reconnected"), [("i", 1, False), ("i", 2, True), ("j", 2, True)])
def test_a_connection_to_a_restarted_gate_is_not_used(
    monkeypatch: pytest.MonkeyPatch, id: str, boot: int, reconnected: bool
) -> None:
    """Its end may have been lost in a cut; what is sent on it is reset, and may have run."""
    loop, made = played_pool(monkeypatch)
    numbers = {"i": 1, "j": 2}
    service = service_client(loop, made, server_number=lambda server: numbers[server])
    kind = route("non_idempotent", 2)
    for number, (server, incarnation) in enumerate((("i", 1), (id, boot))):
        listed = Server(server, "s", "z", IN_SERVICE, 4, 0.0)
        service.update_servers({"n": NodeRecord("n", incarnation, 1, "z", "127.0.0.1", 1, listed)})
        if not number:
            service.set_routes([kind])
        replies: list[Reply] = []
        service.take(proxied_request(f"t{number}"), kind, loop.now_ms() + 1_000.0, replies.append)
        made.peers[-1].put(answer(b"t%d" % number, b"x"))
        made.peers[-1].read()
        assert [reply.status for reply in replies] == [200]
    assert (len(made.peers) == 2) is reconnected
    close_all(made)
