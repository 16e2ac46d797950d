"""Logs and metrics of responses that this node abandons while it receives them.

The peer that sends such a response sees only that its connection was closed; the cause is known to this node
alone.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from orchidferry.mesh.log_limit import LogLimit
from orchidferry.node.address import Address

MAX_LOGGED = 20  # log lines per pool and `LOG_WINDOW_S`; all abandoned responses are counted
LOG_WINDOW_S = 1.0


class AbandonCause(Enum):
    """Why a response is abandoned."""

    TIMEOUT = "timeout"  # the attempt timed out
    SUPERSEDED = "superseded"  # another attempt of the same request is preferred
    ANSWERED = "answered"  # the request was answered already
    DEADLINE = "deadline"  # the deadline of the request passed
    CLIENT_CLOSED = "client_closed"  # the caller disconnected


@dataclass(frozen=True, slots=True)
class AbandonedResponse:
    """A response that was abandoned after its first bytes had been received."""

    cause: AbandonCause
    request_id: str  # the `Attempt-Id` of the request
    peer: Address  # the server or gate that sent it
    received_bytes: int
    elapsed_ms: float  # milliseconds since the request was written


class AbandonedResponses:
    """Counts the abandoned responses of a connection pool by cause, and logs some of them."""

    def __init__(self, pool: str) -> None:
        """:param pool: name of the connection pool, for logs."""
        self._pool = pool
        self._log_limit = LogLimit(MAX_LOGGED, LOG_WINDOW_S)
        self.by_cause: Counter[AbandonCause] = Counter()

    def record(self, response: AbandonedResponse, now_s: float) -> None:
        """Count an abandoned response, and log it unless the limit of log lines is reached.

        :param now_s: time by the event loop's clock, in seconds.
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
