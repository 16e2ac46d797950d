"""Responses that this node gives up while they come: why, for logs and metrics.

The peer that sends such a response sees a connection that its client has closed; only this node knows why.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from orchidferry.mesh.log_limit import LogLimit
from orchidferry.node.address import Address

MAX_LOGGED = 20  # of a pool, in `LOG_WINDOW_S`; all are counted
LOG_WINDOW_S = 1.0


class AbandonCause(Enum):
    """Why a response is given up."""

    TIMEOUT = "timeout"  # the attempt's own time was over
    SUPERSEDED = "superseded"  # another attempt of its request is preferred
    ANSWERED = "answered"  # its request had been answered by then
    DEADLINE = "deadline"  # its request's time was over
    CLIENT_CLOSED = "client_closed"  # nobody waited for it any more


@dataclass(frozen=True, slots=True)
class AbandonedResponse:
    """A response whose first bytes had come when it was given up."""

    cause: AbandonCause
    request_id: str  # the `Attempt-Id` of its request
    peer: Address  # that sends it
    received_bytes: int
    elapsed_ms: float  # since the request was written


class AbandonedResponses:
    """Counts them by cause, and logs some."""

    def __init__(self, pool: str) -> None:
        """:param pool: name of the pool of connections, for logs."""
        self._pool = pool
        self._log_limit = LogLimit(MAX_LOGGED, LOG_WINDOW_S)
        self.by_cause: Counter[AbandonCause] = Counter()

    def record(self, response: AbandonedResponse, now_s: float) -> None:
        """Count one, and log it unless many were logged just now.

        :param now_s: time by the event loop's clock.
        """
        self.by_cause[response.cause] += 1
        if not self._log_limit.allows(now_s):
            return
        logger.warning(
            "connection_pool: response abandoned, pool={} cause={} request={} peer={}:{} received_bytes={} "
            "elapsed_ms={:.0f}",
            self._pool,
            response.cause.value,
            response.request_id,
            *response.peer,
            response.received_bytes,
            response.elapsed_ms,
        )
