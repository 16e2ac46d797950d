"""The stages of a client's HTTP/1.1 connection, and how long each may last."""

from __future__ import annotations

from enum import Enum

PROGRESS = 32 * 1024  # bytes after which a client that sends or reads has the time of its stage restarted


class Stage(Enum):
    """The stages of a client's connection; the value says what the connection waits for."""

    NEW = "its first request, complete"
    READING = "the rest of a request"
    SERVING = "an answer from the node"
    FLOWING = "the rest of a streamed answer, or the client to read it"
    IDLE = "the next request"
    BLOCKED = "the client to read the data that was sent"
    LEAVING = "the client to read the last data that was sent, before the connection closes"


# How long a stage may last, in seconds. SERVING and FLOWING have no limit of their own: requests end at their
# deadline, and flows when they stall.
LIMITS_S = {
    # A silent or slow client must get an error or a close within 3 s of connecting. A healthy client may take
    # 2 s for the headers, and then sends at least 64 kB/s: each `PROGRESS` bytes of a body restart the time.
    Stage.NEW: 2.6,
    Stage.READING: 2.6,
    Stage.IDLE: 10.0,  # many clients send one request and stay connected; a reconnect costs the others little
    Stage.BLOCKED: 8.0,  # some clients take seconds to read
    Stage.LEAVING: 2.0,
}

EXTENDABLE_STAGES = (Stage.BLOCKED, Stage.LEAVING)  # extended as long as the client makes progress
