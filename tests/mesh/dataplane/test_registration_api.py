"""The API by which a server registers: the parsing of its calls, and the replies."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from orchidferry.mesh.control.control_api import control_request
from orchidferry.mesh.control.endpoints import IN_SERVICE, Server
from orchidferry.mesh.dataplane.registration_api import PATH, RegistrationApi, read_heartbeat
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.reply import Reply
from tests.mesh.control.examples import spoil

HEARTBEAT = {
    "information": {"service_name": "s", "capacity": 4, "odd": 1},
    "condition": {"state": "draining", "call_sequence": 9, "odd": {}},
    "odd": [],
}


class Gate:
    """A gate that records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def heartbeat(self, server: Server, sequence: int) -> None:
        self.calls.append((server, sequence))

    def deregister(self, id: str) -> None:
        self.calls.append((id,))


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("condition/state", "gone", "condition.state"),
        ("condition/call_sequence", None, ""),
        ("condition/call_sequence", 1e400, ""),
        ("information/capacity", "x", "'x'"),
        ("information", [], ""),
        ("information", {"capacity": 1}, "service_name"),
        ("condition", {"state": "draining"}, "call_sequence"),
    ],
)
def test_the_rejection_of_a_bad_heartbeat_names_the_field(path: str, value: Any, named: str) -> None:
    heartbeat = read_heartbeat("i", json.dumps(HEARTBEAT).encode())
    assert not isinstance(heartbeat, Rejection)
    assert (heartbeat.server.capacity, heartbeat.sequence) == (4, 9)
    data = copy.deepcopy(HEARTBEAT)
    spoil(path, value)(data)
    for raw in (json.dumps(data).encode(), b"{", b"[]", b"[" * 100_000):
        rejection = read_heartbeat("i", raw)
        assert isinstance(rejection, Rejection) and rejection.reason in (
            RejectionReason.INVALID,
            RejectionReason.MALFORMED,
        )
        assert named in rejection.line or raw[:1] != b"{" or raw == b"{"


IN_SERVICE_HEARTBEAT = (
    b'{"information": {"service_name": "s", "capacity": 4},'
    b' "condition": {"state": "in_service", "call_sequence": 1}}'
)


@pytest.mark.parametrize(
    ("method", "id", "body", "status", "calls"),
    [
        (b"PUT", "i", IN_SERVICE_HEARTBEAT, 200, [(Server("i", "s", "", IN_SERVICE, 4, 0.0), 1)]),
        (b"DELETE", "i", b"", 200, [("i",)]),
        (b"PUT", "i", b"{", 400, []),
        (b"GET", "i", b"", 400, []),
        (b"PUT", "", IN_SERVICE_HEARTBEAT, 404, []),
        (b"PUT", "i/j", IN_SERVICE_HEARTBEAT, 404, []),
        (b"PUT", "i", IN_SERVICE_HEARTBEAT.replace(b"in_service", b"x" * 9_000), 400, []),
    ],
)
def test_a_call_is_answered_at_once_and_briefly(
    method: bytes, id: str, body: bytes, status: int, calls: list[Any]
) -> None:
    gate: Any = Gate()
    replies: list[Reply] = []
    RegistrationApi(gate).handle(
        control_request(method, f"{PATH}/{id}".encode(), {}, body), id, replies.append
    )
    assert [reply.status for reply in replies] == [status] and len(replies[0].body) < 3_500
    assert gate.calls == calls
