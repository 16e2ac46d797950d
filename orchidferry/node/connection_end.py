"""Connections that ended while their client was still owed something, by cause: for logs and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndCause(Enum):
    """Why a connection ended."""

    EVICTED = "evicted"  # closed here for a new connection, at the limit of connections
    STAGE_TIMEOUT = "stage_timeout"  # closed here, as its stage had lasted too long
    RESPONSE_FAILED = "response_failed"  # closed here, as the rest of the response never came
    INVALID_INPUT = "invalid_input"  # closed here, as what the client sent could not be read
    SHUTDOWN = "shutdown"  # closed here, at the end of the process
    CLIENT_CLOSED = "client_closed"  # closed or reset by the client


class Owed(Enum):
    """What the client of a connection is owed."""

    RESPONSE = "response"  # to a request that has been read
    REST_OF_RESPONSE = "rest_of_response"  # that has begun


@dataclass(frozen=True, slots=True)
class IncompleteEnd:
    """The end of a connection whose client was owed something."""

    cause: EndCause
    owed: Owed
    detail: str  # what is known besides, such as how the response failed; else empty
    unsent_bytes: int  # of a response, that the kernel has not taken
    stage_age_s: float  # for which the connection had been in its stage
    connection_age_s: float
