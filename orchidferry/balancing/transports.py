"""Selection of the transport of an attempt: a QUIC connection that is known to work, else TCP.

Requests to a server that supports both use TCP until a QUIC connection has been established in the
background, so that no request waits for a handshake where UDP may be blocked. A failed connection is retried
after an exponential backoff with jitter. A connection that has become silent is suspect: requests use TCP at
once, a ping is sent, and the first datagram received ends the suspicion.

At most `max_connections` servers have a QUIC connection that is established or being established. This module
does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

# Backoff after a failed connection: from 1 s up to 64 s
BASE_BACKOFF_MS = 1_000.0
MAX_BACKOFF_DOUBLINGS = 6
SUSPECT_TIMEOUT_MS = 3_000.0  # a suspect connection is closed after being silent for this time
MAX_QUIET_MS = 1_000.0  # unrepeatable requests use QUIC only if data was received within this time


class State(Enum):
    """The state of the QUIC connection to a server."""

    UNTRIED = "no connection has been tried"
    CONNECTING = "handshake in progress"
    UP = "established"
    SUSPECT = "established, but silent"
    BACKING_OFF = "failed or closed; retried after a backoff"


class Transport(Enum):
    """The transport of an attempt."""

    TCP = "tcp"
    QUIC = "quic"


@dataclass(slots=True)
class Choice:
    """The transport of an attempt, and whether to start a QUIC handshake in the background."""

    transport: Transport
    connect: bool = False


@dataclass(slots=True)
class QuicState:
    """The state of the QUIC connection to one server."""

    state: State = State.UNTRIED
    until_ms: float = 0.0  # end of the backoff, or time at which a suspect connection is closed
    failures: int = 0  # consecutive failures
    received_ms: float = float("-inf")  # time at which data was last received


class Transports:
    """The QUIC connections to all servers. Times are milliseconds of one monotonic clock."""

    def __init__(self, rng: random.Random, max_connections: int) -> None:
        self._rng = rng
        self._max_connections = max_connections
        self._by_server: dict[int, QuicState] = {}
        self._open = 0  # number of connections that are up, suspect or connecting

    def __len__(self) -> int:
        return len(self._by_server)

    def state(self, server: int) -> State:
        """The state of the QUIC connection to a server."""
        quic = self._by_server.get(server)
        return quic.state if quic is not None else State.UNTRIED

    def choose(self, server: int, now: float, unrepeatable: bool = False) -> Choice:
        """Choose the transport of an attempt to a server that supports QUIC.

        :param unrepeatable: the request can't be repeated if the attempt is lost
        """
        quic = self._by_server.get(server)
        if quic is None:
            quic = self._by_server[server] = QuicState()
        if quic.state is State.UP:
            quiet = unrepeatable and now - quic.received_ms > MAX_QUIET_MS
            return Choice(Transport.TCP if quiet else Transport.QUIC)
        waits = quic.state is State.UNTRIED or (quic.state is State.BACKING_OFF and now >= quic.until_ms)
        return Choice(Transport.TCP, connect=waits and self._open < self._max_connections)

    def connecting(self, server: int) -> None:
        """Record that a handshake was started."""
        self._set_state(server, State.CONNECTING)

    def connected(self, server: int, now: float) -> None:
        """Record that the handshake is complete."""
        quic = self._set_state(server, State.UP)
        quic.failures = 0
        quic.received_ms = now

    def received(self, server: int, now: float) -> None:
        """Record that data was received on an open connection."""
        quic = self._by_server.get(server)
        if quic is not None and quic.state in (State.UP, State.SUSPECT):
            quic.received_ms = now
            if quic.state is State.SUSPECT:
                quic.state = State.UP

    def timed_out(self, server: int, sent_ms: float, now: float) -> bool:
        """Record the timeout of an attempt; the connection is suspect if nothing was received since its send.

        :returns: whether to send a ping
        """
        quic = self._by_server.get(server)
        if quic is None or quic.state is not State.UP or quic.received_ms >= sent_ms:
            return False
        self._suspect(quic, now)
        return True

    def probes_unanswered(self, server: int, now: float) -> None:
        """Record that several probes (PTO) in a row were not answered: the connection is suspect."""
        quic = self._by_server.get(server)
        if quic is not None and quic.state is State.UP:
            self._suspect(quic, now)

    def _suspect(self, quic: QuicState, now: float) -> None:
        quic.state = State.SUSPECT
        quic.until_ms = now + SUSPECT_TIMEOUT_MS

    def idle_distrusted(self, server: int, now: float) -> bool:
        """Mark a connection that has been idle as suspect; return whether to send a ping."""
        quic = self._by_server.get(server)
        return quic is not None and self.timed_out(server, quic.received_ms + 1.0, now)

    def is_dead(self, server: int, now: float) -> bool:
        """Whether a suspect connection has been silent for too long and must be closed."""
        quic = self._by_server.get(server)
        return quic is not None and quic.state is State.SUSPECT and now >= quic.until_ms

    def closed(self, server: int, now: float, orderly: bool = False) -> None:
        """Record that the handshake failed or the connection was closed.

        :param orderly: the server closed it, or it reached its idle timeout; there is no backoff then
        """
        if server not in self._by_server:
            return
        quic = self._set_state(server, State.BACKING_OFF)
        if orderly:
            quic.until_ms = now
        else:
            wait = BASE_BACKOFF_MS * 2.0 ** min(quic.failures, MAX_BACKOFF_DOUBLINGS)
            quic.until_ms = now + wait * (0.5 + 0.5 * self._rng.random())
            quic.failures += 1

    def forget(self, server: int) -> None:
        """Remove a server that is no longer listed."""
        if server in self._by_server:
            self._set_state(server, State.UNTRIED)
            del self._by_server[server]

    def _set_state(self, server: int, state: State) -> QuicState:
        quic = self._by_server.setdefault(server, QuicState())
        open_states = (State.CONNECTING, State.UP, State.SUSPECT)
        self._open += (state in open_states) - (quic.state in open_states)
        quic.state = state
        return quic
