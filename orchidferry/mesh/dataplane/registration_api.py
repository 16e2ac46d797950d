"""The API by which the server on this machine registers: heartbeats (PUT) and deregistration (DELETE)."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass

from orchidferry.mesh.control.control_api import JSON, ControlRequest, rejection_reply
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, Server
from orchidferry.mesh.dataplane.admission import AdmissionGate
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.reply import Reply

PATH = "/orchidferry/instances"  # followed by a slash and the server's id


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The content of a heartbeat."""

    server: Server
    sequence: int  # orders the heartbeats of one incarnation


class RegistrationApi:
    """Handles the calls below `PATH`."""

    def __init__(self, gate: AdmissionGate) -> None:
        self._gate = gate

    def handle(self, call: ControlRequest, rest: str, answer: Callable[[Reply], None]) -> None:
        """Answer a call.

        :param rest: the server's id.
        """
        answer(self._reply_to(call, rest))

    def _reply_to(self, call: ControlRequest, id: str) -> Reply:
        if not id or "/" in id:
            return rejection_reply(Rejection(RejectionReason.NOT_FOUND, f"{PATH}/ID"))
        if call.method == b"DELETE":
            self._gate.deregister(id)
            return Reply(200, b"{}", JSON)
        if call.method != b"PUT":
            return rejection_reply(Rejection(RejectionReason.MALFORMED, "PUT or DELETE"))
        heartbeat = read_heartbeat(id, call.body)
        if isinstance(heartbeat, Rejection):
            return rejection_reply(heartbeat)
        self._gate.heartbeat(heartbeat.server, heartbeat.sequence)
        return Reply(200, b"{}", JSON)


def read_heartbeat(id: str, raw: bytes) -> Heartbeat | Rejection:
    """Parse the body of a heartbeat.

    :param id: the server's id.
    :param raw: the body, JSON.
    :returns: the heartbeat, or a rejection that names the invalid field.
    """
    try:
        data = json.loads(raw)
        information = data["information"]
        condition = data["condition"]
        state = condition["state"]
        if state not in (IN_SERVICE, DRAINING):
            return Rejection(RejectionReason.INVALID, f"beat: condition.state: {state!r} is no state")
        server = Server(
            id,
            str(information["service_name"]),
            str(information.get("zone", "")),
            state,
            int(information["capacity"]),
            float(condition.get("cold_left_ms", 0.0)),
            str(information.get("revision_number", "")),
        )
        return Heartbeat(server, int(condition["call_sequence"]))
    except KeyError as problem:
        return Rejection(RejectionReason.INVALID, f"beat: {problem.args[0]} is missing")
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as problem:
        return Rejection(RejectionReason.MALFORMED, f"beat: {problem}")
