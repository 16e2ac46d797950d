"""A stream of changes by two operators: races under one number, lost answers, orders sent again.

Both build on the newest version that one of them has heard to be acknowledged or has read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.ask import Scene
from orchidferry.testkit.mesh.clients import Clients
from orchidferry.testkit.mesh.configuration import Config, build, following, markers
from orchidferry.testkit.mesh.day import Day, Machine
from orchidferry.testkit.mesh.facts import Put
from orchidferry.testkit.mesh.operator import Operator
from orchidferry.testkit.mesh.revisions import FIRST_REVISION

PAUSE_S = 0.5, 1.0  # from one change to the next
READ_EVERY_S = 0.3
PROBE_EVERY_S = 1.0
ORDER_S = 6.0  # for which an order is sent until it has a clear answer
MAX_IN_FLIGHT = 8  # orders under way
# of changes, those that race with another; of these, under one number
RACE = 0.3
SAME_NUMBER = 0.6
# of orders, whose answer is lost; of changes, beside which an old order is sent again
LOST = 0.25
RESEND = 0.5
LONG_AGO = 66  # orders since: what remembers some dozens has forgotten such an order
TO_ISOLATED = 0.3  # of orders, those that go to an isolated controller first
MAX_STEP = 3
MANY_AGAIN = 3  # orders from before many changes that are sent again after them, to each controller
AGAIN = 8  # old orders that are sent again at a day's end
GONE_FOR = 6  # versions since the route of one was dropped


class Changes:
    """The stream. Its chance is drawn by the seed and the number of the change."""

    def __init__(
        self,
        scene: Scene,
        day: Day,
        cores: list[Machine],
        operators: tuple[Operator, Operator],
        clients: Clients,
        spawn: Callable[[Awaitable[object]], asyncio.Task[None]],
    ) -> None:
        """`spawn`: have something done beside the rest; if it fails, the run ends."""
        self._scene = scene
        self._day = day
        self._cores = cores
        self._operators = operators
        self._clients = clients
        self._spawn = spawn
        self._head: Config = build(day, scene.seed, FIRST_REVISION, False)
        self._number = FIRST_REVISION
        self._acked: list[Put] = []
        self._orders: set[asyncio.Task[None]] = set()
        self._going: list[asyncio.Task[None]] = []
        self._many = False  # many changes in a row are made; the stream waits
        self.isolated: list[Machine] = []  # controllers that are cut off now

    def next_number(self) -> int:
        """A number that no version has; they climb in uneven steps."""
        self._number += 1 + int(self._draw("step", self._number, high=MAX_STEP))
        return self._number

    def start(self) -> None:
        """Begin, and go on until `stop`."""
        work = [self._change(), self._probe(), *(self._read(one) for one in self._operators)]
        self._going = [self._spawn(one) for one in work]

    async def stop(self) -> None:
        """Begin nothing more, and wait for the orders under way."""
        for task in self._going:
            task.cancel()
        self._going = []
        await self._settled()

    async def many(self, count: int, limit_s: float) -> str:
        """So many changes in a row while there is time, then the last orders from before once more at each
        controller; how many, in words.
        """
        old = self._acked[-MANY_AGAIN:]
        acknowledged = 0
        until = self._scene.now() + limit_s
        self._many = True
        try:
            await self._settled()
            while acknowledged < count and self._scene.now() < until:
                number = self.next_number()
                acknowledged += await self._order(acknowledged % 2, number, "", number, lost=False)
            for n, order in enumerate(old):
                for core in self._cores:
                    await self._operators[n % 2].resend(order, core)
        finally:
            self._many = False
        return f"{acknowledged} in a row"

    async def send_again(self) -> None:
        """Some of the acknowledged orders once more, the first and the last of them among these."""
        count = len(self._acked)
        chosen = sorted({n * (count - 1) // (AGAIN - 1) for n in range(AGAIN)}) if count else []
        for n in chosen:
            await self._operators[n % 2].resend(self._acked[n])

    async def _settled(self) -> None:
        """Wait for the orders under way."""
        if self._orders:
            await asyncio.wait(set(self._orders))

    def _draw(self, *what: object, high: float = 1.0) -> float:
        return draws.uniform(self._scene.seed, "changes", *what, high=high)

    def _at(self, *what: object) -> Machine | None:
        """An isolated controller for some orders, while there is one; else the operator's own choice."""
        if not self.isolated or self._draw("to", *what) >= TO_ISOLATED:
            return None
        return self.isolated[int(self._draw("which", *what, high=len(self.isolated)))]

    # What goes on beside each other

    async def _change(self) -> None:
        turn, (low, high) = 0, PAUSE_S
        while True:
            turn += 1
            await asyncio.sleep(low + self._draw("pause", turn, high=high - low))
            if self._many or len(self._orders) > MAX_IN_FLIGHT - 3:
                continue
            number = self.next_number()
            first = turn % 2
            self._send(self._order(first, number, "", turn, self._lost(turn)))
            if self._draw("race", turn) < RACE:
                same = self._draw("same", turn) < SAME_NUMBER
                number = number if same else self.next_number()
                self._send(self._order(1 - first, number, "b", turn, self._lost(turn, "b")))
            if self._acked and self._draw("again", turn) < RESEND:
                old = self._acked[self._old(turn)]
                self._send(self._operators[first].resend(old, self._at(turn, "again")))

    def _old(self, turn: int) -> int:
        """Which acknowledged order is sent again: the last, any, or one of long ago."""
        what = int(self._draw("old", turn, high=3))
        count = len(self._acked)
        if what == 0:
            return count - 1
        most = count - LONG_AGO if what == 2 and count > LONG_AGO else count
        return int(self._draw("any", turn, high=most))

    def _send(self, work: Awaitable[object]) -> None:
        task = self._spawn(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    def _lost(self, turn: int, tag: str = "") -> bool:
        """Whether the answer to an order is lost."""
        return self._draw("lost", turn, tag) < LOST

    async def _order(self, by: int, number: int, tag: str, turn: int, lost: bool) -> bool:
        """Send a change on top of the newest version; whether it was acknowledged."""
        head = self._head
        base = int(self._head["revision_number"])
        config = following(self._day, self._scene.seed, number, head, tag)
        operator = self._operators[by]
        put = await operator.put(config, base, True, ORDER_S, self._at(turn, tag), int(lost))
        if put.acked is not None:
            self._acked.append(put)
            self._build_on(config)
        elif (found := await operator.read()) is not None:
            self._build_on(found)
        return put.acked is not None

    def _build_on(self, config: Config) -> None:
        if config["revision_number"] > self._head["revision_number"]:
            self._head = config
            self._number = max(self._number, config["revision_number"])

    async def _read(self, operator: Operator) -> None:
        while True:
            await operator.read()
            await asyncio.sleep(READ_EVERY_S)

    async def _probe(self) -> None:
        """Ask nodes for the routes of the newest version, and for one that was dropped."""
        heads: list[str] = []
        while True:
            await asyncio.sleep(PROBE_EVERY_S)
            there = markers(self._head)
            heads = [*heads, *there[:1]][-GONE_FOR:]
            await self._clients.probes(tuple(dict.fromkeys((*there[:1], *there[-1:], *heads[:1]))))
