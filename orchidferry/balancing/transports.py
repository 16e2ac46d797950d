"""Which transport an attempt goes by: a QUIC connection that is known to work, else TCP. No I/O, no clock.

A server that lists both is spoken to over TCP until a QUIC connection to it has come up beside the
requests, so that no request waits for a handshake that UDP may never carry. One that does not come up, or
breaks, rests for a time that doubles, with jitter (so that copies don't try in step). One that has gone
silent is doubted: requests take TCP at once, a ping goes out, and the first datagram that comes back ends
the doubt.

Every state belongs to a server; `forget` ends it. So many servers as `most` may have one that is up or
coming up.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

# after a failure: 1 s, at most 64 s
REST_MS = 1_000.0
REST_DOUBLINGS = 6
DOUBT_MS = 3_000.0  # a doubted connection that says nothing for so long is given up
QUIET_MS = 1_000.0  # what must not be lost goes out only where something was heard within this


class State(Enum):
    """Where the QUIC connection to a server stands."""

    UNTRIED = "nothing was tried"
    COMING = "a handshake is under way"
    UP = "it works as far as is known"
    DOUBTED = "it is open, and silent"
    RESTING = "it did not come up, or broke: tried again later"


class By(Enum):
    """What an attempt goes by."""

    TCP = "tcp"
    QUIC = "quic"


@dataclass(slots=True)
class Choice:
    """What to do for an attempt: the transport, and whether to begin a handshake beside it."""

    by: By
    dial: bool = False


@dataclass(slots=True)
class Known:
    """What is known of one server's QUIC."""

    state: State = State.UNTRIED
    until_ms: float = 0.0  # the end of its rest, or of the doubt
    failures: int = 0  # in a row
    heard_ms: float = float("-inf")


class Transports:
    """All servers' states. Times are milliseconds of one monotonic clock."""

    def __init__(self, rng: random.Random, most: int) -> None:
        self._rng = rng
        self._most = most
        self._known: dict[int, Known] = {}
        self._open = 0  # that are up, doubted, or coming up

    def __len__(self) -> int:
        return len(self._known)

    def state(self, server: int) -> State:
        """Where it stands."""
        known = self._known.get(server)
        return known.state if known is not None else State.UNTRIED

    def choose(self, server: int, now: float, careful: bool = False) -> Choice:
        """How an attempt to a server that lists QUIC goes out. `careful`: its loss could not be made good."""
        known = self._known.get(server)
        if known is None:
            known = self._known[server] = Known()
        if known.state is State.UP:
            quiet = careful and now - known.heard_ms > QUIET_MS
            return Choice(By.TCP if quiet else By.QUIC)
        waits = known.state is State.UNTRIED or (known.state is State.RESTING and now >= known.until_ms)
        return Choice(By.TCP, dial=waits and self._open < self._most)

    def dialled(self, server: int) -> None:
        """A handshake has begun."""
        self._move(server, State.COMING)

    def came_up(self, server: int, now: float) -> None:
        """It is done."""
        known = self._move(server, State.UP)
        known.failures = 0
        known.heard_ms = now

    def heard(self, server: int, now: float) -> None:
        """Something came on an open connection."""
        known = self._known.get(server)
        if known is not None and known.state in (State.UP, State.DOUBTED):
            known.heard_ms = now
            if known.state is State.DOUBTED:
                known.state = State.UP

    def silent(self, server: int, sent_ms: float, now: float) -> bool:
        """An attempt sent at `sent_ms` timed out; whether to ping, as nothing was heard since."""
        known = self._known.get(server)
        if known is None or known.state is not State.UP or known.heard_ms >= sent_ms:
            return False
        known.state = State.DOUBTED
        known.until_ms = now + DOUBT_MS
        return True

    def doubt(self, server: int, now: float) -> bool:
        """Connections that idle are not trusted any more; whether to ping."""
        known = self._known.get(server)
        return known is not None and self.silent(server, known.heard_ms + 1.0, now)

    def given_up(self, server: int, now: float) -> bool:
        """Whether a doubted connection has been silent for too long, and is to be closed."""
        known = self._known.get(server)
        return known is not None and known.state is State.DOUBTED and now >= known.until_ms

    def lost(self, server: int, now: float, orderly: bool = False) -> None:
        """It did not come up, or is over. `orderly`: the server said that it goes, or it idled out."""
        if server not in self._known:
            return
        known = self._move(server, State.RESTING)
        if orderly:
            known.until_ms = now
        else:
            wait = REST_MS * 2.0 ** min(known.failures, REST_DOUBLINGS)
            known.until_ms = now + wait * (0.5 + 0.5 * self._rng.random())
            known.failures += 1

    def forget(self, server: int) -> None:
        """The server is listed no more."""
        if server in self._known:
            self._move(server, State.UNTRIED)
            del self._known[server]

    def _move(self, server: int, state: State) -> Known:
        known = self._known.setdefault(server, Known())
        open = (State.COMING, State.UP, State.DOUBTED)
        self._open += (state in open) - (known.state in open)
        known.state = state
        return known
