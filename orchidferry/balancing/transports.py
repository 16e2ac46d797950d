"""Which transport an attempt takes: a QUIC connection that is known to work, else TCP. No I/O, no clock.

Requests to a server that lists both take TCP until a QUIC connection has been established beside them, so
that no request waits for a handshake that UDP may never carry. A connection that fails is tried again after a
backoff that doubles, with jitter. One that has become silent is suspect: requests take TCP at once, a ping is
sent, and the first datagram that comes back ends the suspicion.

At most `max_connections` servers have a connection that is established or being established.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

# After a failure: 1 s, at most 64 s
BASE_BACKOFF_MS = 1_000.0
MAX_BACKOFF_DOUBLINGS = 6
SUSPECT_TIMEOUT_MS = 3_000.0  # a suspect connection that is silent for so long is closed
MAX_QUIET_MS = 1_000.0  # what must not be lost is sent only where something was received within this time


class State(Enum):
    """The state of the QUIC connection to a server."""

    UNTRIED = "nothing was tried"
    CONNECTING = "a handshake is under way"
    UP = "it works as far as is known"
    SUSPECT = "it is open, and silent"
    BACKING_OFF = "it did not come up, or broke: tried again later"


class Transport(Enum):
    """The transport of an attempt."""

    TCP = "tcp"
    QUIC = "quic"


@dataclass(slots=True)
class Choice:
    """The transport of an attempt, and whether to begin a QUIC handshake beside it."""

    transport: Transport
    connect: bool = False


@dataclass(slots=True)
class QuicState:
    """What is known of the QUIC connection to one server."""

    state: State = State.UNTRIED
    until_ms: float = 0.0  # the end of the backoff, or of the suspicion
    failures: int = 0  # in a row
    received_ms: float = float("-inf")


class Transports:
    """The connections to all servers. Times are milliseconds of one monotonic clock."""

    def __init__(self, rng: random.Random, max_connections: int) -> None:
        self._rng = rng
        self._max_connections = max_connections
        self._by_server: dict[int, QuicState] = {}
        self._open = 0  # connections that are up, suspect, or connecting

    def __len__(self) -> int:
        return len(self._by_server)

    def state(self, server: int) -> State:
        """The state of the connection to a server."""
        quic = self._by_server.get(server)
        return quic.state if quic is not None else State.UNTRIED

    def choose(self, server: int, now: float, unrepeatable: bool = False) -> Choice:
        """Choose the transport of an attempt to a server that lists QUIC.

        :param unrepeatable: the attempt could not be repeated if it were lost
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
        """A handshake has begun."""
        self._set_state(server, State.CONNECTING)

    def connected(self, server: int, now: float) -> None:
        """The handshake is complete."""
        quic = self._set_state(server, State.UP)
        quic.failures = 0
        quic.received_ms = now

    def received(self, server: int, now: float) -> None:
        """Something was received on an open connection."""
        quic = self._by_server.get(server)
        if quic is not None and quic.state in (State.UP, State.SUSPECT):
            quic.received_ms = now
            if quic.state is State.SUSPECT:
                quic.state = State.UP

    def timed_out(self, server: int, sent_ms: float, now: float) -> bool:
        """An attempt sent at `sent_ms` timed out; whether to ping, as nothing was heard since."""
        quic = self._by_server.get(server)
        if quic is None or quic.state is not State.UP or quic.received_ms >= sent_ms:
            return False
        self._suspect(quic, now)
        return True

    def probes_unanswered(self, server: int, now: float) -> None:
        """The connection has probed its server several times and got nothing back."""
        quic = self._by_server.get(server)
        if quic is not None and quic.state is State.UP:
            self._suspect(quic, now)

    def _suspect(self, quic: QuicState, now: float) -> None:
        quic.state = State.SUSPECT
        quic.until_ms = now + SUSPECT_TIMEOUT_MS

    def idle_distrusted(self, server: int, now: float) -> bool:
        """Idle connections are not trusted any more; whether to ping."""
        quic = self._by_server.get(server)
        return quic is not None and self.timed_out(server, quic.received_ms + 1.0, now)

    def is_dead(self, server: int, now: float) -> bool:
        """Whether a suspect connection has been silent for too long, and is to be closed."""
        quic = self._by_server.get(server)
        return quic is not None and quic.state is State.SUSPECT and now >= quic.until_ms

    def closed(self, server: int, now: float, orderly: bool = False) -> None:
        """The handshake failed, or the connection is closed.

        :param orderly: the server closed it, or it was idle for too long: there is no backoff
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
        """The server is not listed any more."""
        if server in self._by_server:
            self._set_state(server, State.UNTRIED)
            del self._by_server[server]

    def _set_state(self, server: int, state: State) -> QuicState:
        quic = self._by_server.setdefault(server, QuicState())
        open_states = (State.CONNECTING, State.UP, State.SUSPECT)
        self._open += (state in open_states) - (quic.state in open_states)
        quic.state = state
        return quic
