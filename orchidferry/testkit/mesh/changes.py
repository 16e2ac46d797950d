"""A stream of configuration changes by two operators, with races for one revision, lost answers and resends.

Both operators base their changes on the newest version that either has seen acknowledged or has read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.clients import Clients
from orchidferry.testkit.mesh.configuration import Config, build_configuration, next_version, version_routes
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.day import Day, Machine
from orchidferry.testkit.mesh.facts import Put
from orchidferry.testkit.mesh.operator import Operator
from orchidferry.testkit.mesh.revisions import FIRST_REVISION

MIN_PAUSE_S = 0.5
"""The shortest pause from one change to the next."""

MAX_PAUSE_S = 1.0
READ_INTERVAL_S = 0.3
PROBE_INTERVAL_S = 1.0
CHANGE_LIMIT_S = 6.0
"""How long a change is retried until it gets a definite answer."""

MAX_IN_FLIGHT = 8
"""How many changes may be in flight, resends included."""

MAX_NEW_CALLS = 3
"""How many of these one step may start: a change, one that races with it, and a resend of an earlier one."""

RACE_SHARE = 0.3
"""The fraction of changes that race with a change of the other operator."""

SAME_REVISION_SHARE = 0.6
"""The fraction of races in which both changes have the same revision."""

LOST_ANSWER_SHARE = 0.25
"""The fraction of changes whose first response is lost."""

RESEND_SHARE = 0.5
"""The fraction of changes along with which an earlier one is resent."""

OLD_CHANGE_AGE = 66
"""How many changes ago an old change was acknowledged: a history of some dozen entries no longer has it."""

ISOLATED_SHARE = 0.3
"""The fraction of changes that are sent to an isolated controller first, while there is one."""

MAX_REVISION_STEP = 3
RESENDS_AFTER_MANY = 3
"""How many earlier changes are resent to each controller after many changes in a row."""

FINAL_RESENDS = 8
"""How many earlier changes are resent at the end of a scenario."""

PROBED_VERSIONS = 6
"""The oldest of this many versions is probed too; its own route has been dropped by then."""


class ChangeStream:
    """The stream of changes; its random choices derive from the seed and the number of the change."""

    def __init__(
        self,
        context: RunContext,
        day: Day,
        cores: list[Machine],
        operators: tuple[Operator, Operator],
        clients: Clients,
        spawn: Callable[[Awaitable[object]], asyncio.Task[None]],
    ) -> None:
        """Create a stream without starting it.

        :param cores: the controllers; the list may change during the run
        :param spawn: runs an awaitable in the background; the run is aborted if that fails
        """
        self._context = context
        self._day = day
        self._cores = cores
        self._operators = operators
        self._clients = clients
        self._spawn = spawn
        self._newest: Config = build_configuration(day, context.seed, FIRST_REVISION, False)
        self._revision = FIRST_REVISION  # the highest revision known or assigned so far
        self._acknowledged: list[Put] = []
        self._in_flight: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []
        self._suspended = False  # no new changes, as `change_in_a_row` is running
        self.isolated: list[Machine] = []  # the controllers that are currently isolated

    def next_revision(self) -> int:
        """Assign the next revision; revisions increase in steps of 1 to `MAX_REVISION_STEP`."""
        self._revision += 1 + int(self._uniform("step", self._revision, high=MAX_REVISION_STEP))
        return self._revision

    def start(self) -> None:
        """Start the stream, which runs until `stop`."""
        loops = [self._change_loop(), self._probe_loop(), *map(self._read_loop, self._operators)]
        self._loops = [self._spawn(loop) for loop in loops]

    async def stop(self) -> None:
        """Start no more changes, and wait for those in flight."""
        for task in self._loops:
            task.cancel()
        self._loops = []
        await self._wait_in_flight()

    async def change_in_a_row(self, count: int, limit_s: float) -> str:
        """Send many changes, each once the previous one has its answer, then resend the last earlier ones.

        :param count: how many changes are to be acknowledged
        :param limit_s: the time after which no further change is sent
        :returns: the number of acknowledged changes, as a text for the record
        """
        earlier = self._acknowledged[-RESENDS_AFTER_MANY:]
        acknowledged = 0
        until = self._context.now() + limit_s
        self._suspended = True
        try:
            await self._wait_in_flight()
            while acknowledged < count and self._context.now() < until:
                revision = self.next_revision()
                acknowledged += await self._change(acknowledged % 2, revision, "", revision, False)
            for n, change in enumerate(earlier):
                for core in self._cores:
                    await self._operators[n % 2].resend(change, core)
        finally:
            self._suspended = False
        return f"{acknowledged} in a row"

    async def resend_some(self) -> None:
        """Resend evenly spaced acknowledged changes, including the first and the last."""
        count = len(self._acknowledged)
        steps = FINAL_RESENDS - 1
        chosen = sorted({n * (count - 1) // steps for n in range(FINAL_RESENDS)}) if count else []
        for n in chosen:
            await self._operators[n % 2].resend(self._acknowledged[n])

    async def _wait_in_flight(self) -> None:
        if self._in_flight:
            await asyncio.wait(set(self._in_flight))

    def _uniform(self, *purpose: object, high: float = 1.0) -> float:
        return seeded_random.uniform(self._context.seed, "changes", *purpose, high=high)

    def _first_controller(self, *purpose: object) -> Machine | None:
        """For some changes an isolated controller, which is to be called first; None: any controller."""
        if not self.isolated or self._uniform("to", *purpose) >= ISOLATED_SHARE:
            return None
        return self.isolated[int(self._uniform("which", *purpose, high=len(self.isolated)))]

    async def _change_loop(self) -> None:
        number = 0
        while True:
            number += 1
            pause = MIN_PAUSE_S + self._uniform("pause", number, high=MAX_PAUSE_S - MIN_PAUSE_S)
            await asyncio.sleep(pause)
            if not self._suspended and len(self._in_flight) <= MAX_IN_FLIGHT - MAX_NEW_CALLS:
                self._begin_change(number)

    def _begin_change(self, number: int) -> None:
        """Start one change; for some also a change of the other operator at the same time, or a resend."""
        revision = self.next_revision()
        first = number % 2
        lost = self._answer_is_lost(number)
        self._send(self._change(first, revision, "", number, lost))
        if self._uniform("race", number) < RACE_SHARE:
            same = self._uniform("same", number) < SAME_REVISION_SHARE
            revision = revision if same else self.next_revision()
            lost = self._answer_is_lost(number, "b")
            self._send(self._change(1 - first, revision, "b", number, lost))
        if self._acknowledged and self._uniform("again", number) < RESEND_SHARE:
            earlier = self._acknowledged[self._index_to_resend(number)]
            controller = self._first_controller(number, "again")
            self._send(self._operators[first].resend(earlier, controller))

    def _index_to_resend(self, number: int) -> int:
        """The index of the acknowledged change to resend: the last one, any, or an old one."""
        choice = int(self._uniform("old", number, high=3))
        count = len(self._acknowledged)
        if choice == 0:
            return count - 1
        candidates = count - OLD_CHANGE_AGE if choice == 2 and count > OLD_CHANGE_AGE else count
        return int(self._uniform("any", number, high=candidates))

    def _send(self, work: Awaitable[object]) -> None:
        task = self._spawn(work)
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    def _answer_is_lost(self, number: int, tag: str = "") -> bool:
        return self._uniform("lost", number, tag) < LOST_ANSWER_SHARE

    async def _change(self, operator_index: int, revision: int, tag: str, number: int, lost: bool) -> bool:
        """Send a change based on the newest version; returns whether it was acknowledged.

        :param operator_index: which of the two operators sends it
        :param tag: tells different contents of the same revision apart
        :param number: number of the change, from which random choices derive
        :param lost: whether its first response is lost
        """
        newest = self._newest
        base = int(newest["revision_number"])
        config = next_version(self._day, self._context.seed, revision, newest, tag)
        operator = self._operators[operator_index]
        first = self._first_controller(number, tag)
        put = await operator.put(config, base, True, CHANGE_LIMIT_S, first, int(lost))
        if put.acked is not None:
            self._acknowledged.append(put)
            self._build_on(config)
        elif (found := await operator.read()) is not None:
            self._build_on(found)
        return put.acked is not None

    def _build_on(self, config: Config) -> None:
        """Base further changes on a version if it is newer than the current base."""
        if config["revision_number"] > self._newest["revision_number"]:
            self._newest = config
            self._revision = max(self._revision, config["revision_number"])

    async def _read_loop(self, operator: Operator) -> None:
        while True:
            await operator.read()
            await asyncio.sleep(READ_INTERVAL_S)

    async def _probe_loop(self) -> None:
        """Probe the nodes for routes of the newest version, and for a route that has been dropped."""
        own_routes: list[str] = []
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            routes = version_routes(self._newest)
            own_routes = [*own_routes, *routes[:1]][-PROBED_VERSIONS:]
            paths = dict.fromkeys((*routes[:1], *routes[-1:], *own_routes[:1]))
            await self._clients.probe_routes(tuple(paths))
