"""Requests with an operation key (an idempotency key).

The key is claimed before the request is first run, and the answer is stored afterwards, for repeats of the
key.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.key_names import holder_name, key_name
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.dataplane.messages import ProxiedRequest, ServerResponse, refusal_reply, stored_answer
from orchidferry.mesh.dataplane.pending_request import PendingRequest
from orchidferry.mesh.dataplane.service_client import ServiceClient
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.clock import now_ms
from orchidferry.node.reply import Reply

MAX_CLAIM_S = 1.0  # upper bound of the timeout for claiming a key
CLAIM_FRACTION = 0.4  # timeout for claiming a key, as a fraction of the time until the request's deadline
NO_MAJORITY_RETRY_AFTER_S = 0.2  # Retry-After when too few controllers answered the claim
KEY_IN_PROGRESS_RETRY_AFTER_S = 0.1  # Retry-After while the first run of the key is in progress


class PendingClaim:
    """A request whose key is being claimed; the request is sent once the claim is granted."""

    def __init__(self) -> None:
        self.abandoned = False  # whether its caller has disconnected
        self.request: PendingRequest | None = None  # None until the claim is granted

    def client_disconnected(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self.abandoned = True
        if self.request is not None:
            self.request.client_disconnected()


class KeyedRequests:
    """Runs the request of each operation key once, and answers repeats with the stored answer."""

    def __init__(self, control_client: ControlClient) -> None:
        self._control_client = control_client

    def accept(
        self,
        message: ProxiedRequest,
        route: Route,
        client: ServiceClient,
        deadline_ms: float,
        answer: Callable[[Reply], None],
    ) -> PendingClaim:
        """Claim the key of a request, then send the request; a repeat gets the stored answer instead.

        :param client: sends the request.
        :param answer: called with the reply, unless the caller has disconnected.
        """
        assert message.key is not None
        pending = PendingClaim()
        if not message.key:
            answer(refusal_reply(message, Rejection(RejectionReason.MALFORMED, "Operation-Key is empty")))
            return pending
        key = key_name(message.key)
        holder = holder_name(message.id)
        claims = self._control_client.claims

        def ended(response: ServerResponse | None, may_have_run: bool) -> None:
            stored = stored_answer(response)
            if stored is not None:
                claims.record_answer(key, holder, stored)
            elif not may_have_run:
                claims.release(key, holder)

        def claimed(outcome: ClaimOutcome, stored: Any) -> None:
            if pending.abandoned:
                if outcome is ClaimOutcome.GRANTED:
                    claims.release(key, holder)
            elif outcome is ClaimOutcome.GRANTED:
                pending.request = client.accept(message, route, deadline_ms, answer, ended)
            elif outcome is ClaimOutcome.HELD_BY_OTHER:
                answer(_repeat_reply(message, stored))
            else:
                answer(
                    refusal_reply(message, Rejection(RejectionReason.NO_MAJORITY), NO_MAJORITY_RETRY_AFTER_S)
                )

        remaining_s = (deadline_ms - now_ms()) / 1000.0
        claim_s = max(0.0, min(MAX_CLAIM_S, CLAIM_FRACTION * remaining_s))
        self._control_client.claim(key, holder, claim_s, claimed)
        return pending

    def store_orphaned(self, message: ProxiedRequest, response: ServerResponse) -> None:
        """Store the response to a request whose sending node has disconnected, for repeats of its key."""
        stored = stored_answer(response)
        if message.key and stored is not None:
            claims = self._control_client.claims
            claims.record_answer(key_name(message.key), holder_name(message.id), stored)


def _repeat_reply(message: ProxiedRequest, stored: Any) -> Reply:
    """Return the reply to a repeat of a key.

    :param stored: the stored answer; None while the first run is in progress.
    """
    if stored is None:
        return refusal_reply(
            message, Rejection(RejectionReason.KEY_IN_PROGRESS), KEY_IN_PROGRESS_RETRY_AFTER_S
        )
    status, body, headers = stored
    attempt_id = (b"Attempt-Id", message.id.encode("latin-1"))
    return Reply(status, body, more=[*((name, value) for name, value in headers), attempt_id])
