"""What the server on this machine has said of itself: which life of it is current, its state, its drain.

Pure: no I/O, the clock is handed in. Calls of a server may come late and out of order; `call_sequence` is
their order within one life, and nothing orders two lives but when they were heard.

>>> from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, Server
>>> registration = ServerRegistration(1_500.0, 0.0)
>>> a, b = (Server(id, "s", "z", IN_SERVICE, 4, 0.0) for id in "ab")
>>> registration.beat(a, 3, 0.0).name, registration.beat(a, 2, 9.0).name, registration.beat(b, 1, 20.0).name
('NEW_LIFE', 'LATE', 'NEW_LIFE')
>>> registration.beat(a, 4, 30.0).name, registration.beat(a, 5, 20.0 + 1.5 * 1_500.0).name
('LATE', 'NEW_LIFE')
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from msgspec import structs

from orchidferry.mesh.control.endpoints import DRAINING, GONE, IN_SERVICE, Server

SILENT_BEATS = 3.5  # a server that sent no beat for so long is gone
MAX_FORMER = 64
# A life that another one replaced is taken back if the other one has said nothing for so many beats: beats
# come late, and the first that a process hears may be the last one of a server that is gone.
REPLACED_BEATS = 1.5


class Heard(Enum):
    """What a beat has changed."""

    LATE = "nothing: a later call was heard, or its life is over"
    SAME = "nothing but the time of the last beat"
    CHANGED = "the server's state, service or capacity"
    NEW_LIFE = "the server: this life replaces the one before it"


@dataclass(frozen=True, slots=True)
class FormerLife:
    """A life of the server that signed off, or that another one has replaced."""

    signed_off: bool
    sequence: int  # of the last call that was heard of it
    drained_ms: float  # when its drain was acknowledged


class ServerRegistration:
    """One machine's server."""

    def __init__(self, beat_ms: float, now_ms: float) -> None:
        self.server: Server | None = None
        self.heard_ms = now_ms  # when the last beat came
        self._beat_ms = beat_ms
        self._sequence = -1
        self._drained_ms = math.inf  # when the drain was acknowledged
        self._former: dict[str, FormerLife] = {}  # by id, the oldest first

    @property
    def serving(self) -> bool:
        """Whether there is a server, and it is in service."""
        return self.server is not None and self.server.state == IN_SERVICE

    def beat(self, server: Server, sequence: int, now_ms: float) -> Heard:
        """Take a server's word of itself."""
        had = self.server
        same_life = had is not None and had.id == server.id
        if same_life and (sequence <= self._sequence or server.id in self._former):
            return Heard.LATE
        if not same_life and not self._begin_life(server.id, sequence, now_ms):
            return Heard.LATE
        self._sequence = sequence
        self.heard_ms = now_ms
        if server.state == DRAINING:
            self._drained_ms = min(self._drained_ms, now_ms)
        elif self._drained_ms < math.inf:  # a drain that was acknowledged is final
            server = structs.replace(server, state=DRAINING)
        if had is not None and _told(had) == _told(server):
            return Heard.SAME
        self.server = server
        return Heard.CHANGED if same_life else Heard.NEW_LIFE

    def sign_off(self, id: str) -> bool:
        """A life has signed off; whether it is the current one. No later call brings it back."""
        self._note_former(id, signed_off=True)
        return self.server is not None and self.server.id == id

    def take_for_gone(self) -> None:
        """The server has signed off, is silent, or can't be reached; only the first is final."""
        assert self.server is not None
        self.server = structs.replace(self.server, state=GONE, cold_left_ms=0.0)

    def is_silent(self, now_ms: float) -> bool:
        """Whether the server has said nothing for so long that it is taken for gone, and was not before."""
        late = now_ms - self.heard_ms > SILENT_BEATS * self._beat_ms
        return late and self.server is not None and self.server.state != GONE

    def drained_for_ms(self, now_ms: float) -> float:
        """How long ago the drain of the current life was acknowledged; below 0 if it was not."""
        return now_ms - self._drained_ms

    def _begin_life(self, id: str, sequence: int, now_ms: float) -> bool:
        """Take another life of the server in the place of the one before it; whether it counts."""
        former = self._former.get(id)
        if former is not None:
            returns = not former.signed_off and sequence > former.sequence
            if not returns or now_ms - self.heard_ms < REPLACED_BEATS * self._beat_ms:
                return False
            del self._former[id]
        if self.server is not None and self.server.id not in self._former:
            self._note_former(self.server.id, signed_off=False)
        self._drained_ms = former.drained_ms if former is not None else math.inf
        return True

    def _note_former(self, id: str, signed_off: bool) -> None:
        current = self.server is not None and self.server.id == id
        sequence, drained_ms = (self._sequence, self._drained_ms) if current else (-1, math.inf)
        self._former.pop(id, None)
        self._former[id] = FormerLife(signed_off, sequence, drained_ms)
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]


def _told(server: Server) -> tuple[str, str, str, int]:
    """What of a server other nodes are told at once when it changes."""
    return server.id, server.state, server.service, server.capacity
