"""Calls of repeated runs: what a node can tell of the requests that its own machine sends. Pure.

A repeated run makes its calls again, and the service that is called counts them as further tries. They
leave through the node beside the server that runs it. Clients of the machine use the same door, and a call
bears no mark. What is sure: whoever asks for longer than any run inside may go on is a client, as a call
ends with its parent; so is whoever asks while nothing runs inside, or brings an operation key, and whatever
else comes on that connection. A route that clients were seen to use is taken for theirs. All else may be a
call, and of a repeated run while one is inside. docs/design/allowance.md tells what can't be told.

>>> recalls = Recalls(0.0)
>>> recalls.began(4_000.0, [])
>>> recalls.asked("midia", ("h", "/x/"), False, Mark(), 3_000.0)  # runs of a life before may call still
Origin(client=False, again=False)
>>> recalls.asked("midia", ("h", "/x/"), False, Mark(), 5_000.0)
Origin(client=True, again=False)
>>> run = recalls.enter(True, 7_500.0)
>>> recalls.asked("midia", ("h", "/calls/"), False, Mark(), 6_000.0)
Origin(client=False, again=True)
>>> recalls.asked("midia", ("h", "/y/"), False, Mark(), 6_000.0, left_ms=2_000.0)  # no call may take so long
Origin(client=True, again=False)
>>> recalls.leave(run, 6_100.0)
>>> recalls.asked("midia", ("h", "/calls/"), False, Mark(), 6_300.0)  # nothing inside: a client's
Origin(client=True, again=False)
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from athenaeum.lines import Mark

LINGER_MS = 100.0  # a call is read at most so long after the answer of its run
BEYOND_MS = 20.0  # what a request asks for must end so much after all runs inside: clocks and ways differ
PROOFS = 3  # requests by which a route is known as the clients': a stray one proves nothing of others
RUNS = 200.0  # over so many runs the calls of one are averaged

Place = tuple[str, str]  # host and prefix of a route


@dataclass(frozen=True, slots=True)
class Origin:
    """Whose a request is: surely a client's; or maybe a call of a repeated run."""

    client: bool
    again: bool


class Recalls:
    """The runs inside this machine's server, and which requests may be calls of theirs."""

    def __init__(self, now_ms: float) -> None:
        self._began_ms = now_ms
        self._inside: dict[int, tuple[bool, float]] = {}  # runs: whether each is a repeat, when it must end
        self._repeats = 0
        self._serial = 0
        # Until then runs that are out of sight may make calls, and repeated ones. What a life before let in
        # was borne by its own budget, so only whose a request is isn't known until that is over.
        self._busy_ms, self._again_ms = math.inf, -math.inf
        self._proofs: dict[Place, int] = {}  # requests that were surely clients', by route
        self._runs, self._calls = 0.0, dict[str, float]()  # averaged; by service
        self._kept: dict[str, float] = {}  # room set apart for the calls of repeated runs inside, by service

    def began(self, longest_ms: float, places: Iterable[Place]) -> None:
        """The routes are known: no run of a life before goes on for longer than the longest."""
        if math.isinf(self._busy_ms):
            self._busy_ms = self._began_ms + longest_ms
        self._proofs = {place: self._proofs.get(place, 0) for place in places}

    def enter(self, again: bool, ends_ms: float) -> int:
        """A run begins, and is told to end by then; its number."""
        self._serial += 1
        self._repeats += again
        if again:
            for service, need in self.needs().items():
                self._kept[service] = self._kept.get(service, 0.0) + need
        self._inside[self._serial] = (again, ends_ms)
        self._runs += 1.0 - self._runs / RUNS
        for service in self._calls:
            self._calls[service] *= 1.0 - 1.0 / RUNS
        return self._serial

    def leave(self, run: int, ends_ms: float) -> None:
        """A run is out of sight, and ends by then at the latest."""
        again, _ = self._inside.pop(run)
        self._busy_ms = max(self._busy_ms, ends_ms + LINGER_MS)
        if again:
            self._repeats -= 1
            self._again_ms = max(self._again_ms, ends_ms + LINGER_MS)
            if not self._repeats:
                self._kept.clear()

    def asked(
        self, service: str, place: Place, keyed: bool, mark: Mark, now_ms: float, left_ms: float = 0.0
    ) -> Origin:
        """Someone on this machine asks for a service by a route, on a connection with this mark; `left_ms`:
        for how long it will wait, by its own word.
        """
        proofs = self._proofs.get(place, 0)
        if keyed or (not self._inside and now_ms >= self._busy_ms):
            mark.client = True
        elif not mark.client and proofs < PROOFS and left_ms:
            latest = max((ends for _, ends in self._inside.values()), default=0.0)
            mark.client = now_ms + left_ms > max(latest, self._busy_ms) + BEYOND_MS
        sure = mark.client
        if sure and proofs < PROOFS:
            self._proofs[place] = proofs + 1
        if sure or proofs >= PROOFS:
            return Origin(True, False)
        if self._inside:
            self._calls[service] = self._calls.get(service, 0.0) + 1.0
        again = bool(self._repeats) or now_ms < self._again_ms
        if again and service in self._kept:
            self._kept[service] = max(0.0, self._kept[service] - 1.0)
        return Origin(False, again)

    def needs(self) -> dict[str, float]:
        """By service: the further tries that a repeated run would cost if it came in now, as all calls count
        while it is inside, those of its neighbours too.
        """
        runs = max(1.0, self._runs)
        return {s: calls / runs * (1 + len(self._inside)) for s, calls in self._calls.items() if calls > 0.01}

    def kept(self, service: str) -> float:
        """What of them those inside have yet to make."""
        return self._kept.get(service, 0.0)
