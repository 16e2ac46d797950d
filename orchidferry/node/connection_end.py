"""Ends of connections whose client was still owed a response or part of one, for logs and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndCause(Enum):
    """Why a connection ended."""

    EVICTED = "evicted"  # closed by this process for a new connection, at the limit on connections
    STAGE_TIMEOUT = "stage_timeout"  # closed by this process because its stage had lasted too long
    RESPONSE_FAILED = "response_failed"  # closed by this process: the rest of the response never arrived
    INVALID_INPUT = "invalid_input"  # closed by this process because the client's input was malformed
    SHUTDOWN = "shutdown"  # closed by this process because it shut down
    CLIENT_CLOSED = "client_closed"  # closed or reset by the client


class Owed(Enum):
    """What the client of a connection is still owed."""

    RESPONSE = "response"  # the whole response to a request that has been read
    REST_OF_RESPONSE = "rest_of_response"  # the rest of a response that was partly sent


@dataclass(frozen=True, slots=True)
class IncompleteEnd:
    """The end of a connection whose client was still owed something."""

    cause: EndCause
    owed: Owed
    detail: str  # additional information, such as how the response failed; empty if there is none
    unsent_bytes: int  # bytes of responses that the kernel has not accepted
    stage_age_s: float  # how long the connection had been in its stage
    connection_age_s: float  # how long the connection had been open
