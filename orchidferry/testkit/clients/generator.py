"""The clients: an open loop that asks at the times drawn ahead, whatever becomes of what it asked.

Each request's time counts from when it should have been sent: a late generator makes its own figures
worse, and says so (`Lag`), but can't hide that a node stood still (coordinated omission).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Iterator

from orchidferry.testkit import seeded_random
from orchidferry.testkit.clients.pacer import Pacer
from orchidferry.testkit.clients.schedule import Arrival, arrivals, leaves_after
from orchidferry.testkit.exchange import HOST, Attempt, RequestOptions, RequestSender, encode_request
from orchidferry.testkit.process import Order, SendReport, WorkerScript, run_worker
from orchidferry.testkit.record import Lag, Recorder, RequestScheduled
from orchidferry.testkit.traffic.guard import May
from orchidferry.testkit.wire import Address, Outcome
from orchidferry.testkit.world.addresses import Block

LATE_S = 0.002  # what of being late is kept
MAX_ADVICE_S = 10.0  # of Retry-After that a client keeps to
MAX_OPEN = 50_000  # clients that wait at once: past that the generator itself is the bottleneck


class Clients:
    """A share of the clients: each process takes every so-manieth arrival."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, say: SendReport, index: int
    ) -> None:
        self._scenario = script.plan.scenario
        self._block = block
        self._recorder = recorder
        self._say = say
        self._arrivals = (
            self._from_recordings(index) if self._scenario.traffic else self._drawn(script, index)
        )
        self._exchanges = RequestSender(self._scenario, recorder, script.files, script.proof_key)
        self._guard, self._paths = self._scenario.guard, dict(self._scenario.paths)
        self._nodes: list[str] = []  # that the front deals to
        self._numbers = {name: n for n, name in enumerate(script.plan.nodes)}
        self._open: set[asyncio.Task[None]] = set()
        self._pacer = Pacer()
        self._loop = asyncio.get_running_loop()
        self._playing: asyncio.Task[None] | None = None
        self._asked = self._served = 0  # first tries so far, for whoever watches

    def _drawn(self, script: WorkerScript, index: int) -> Iterator[Arrival]:
        return iter(arrivals(script.plan)[index :: self._scenario.clients.processes])

    def _from_recordings(self, index: int) -> Iterator[Arrival]:
        from orchidferry.testkit.traffic.replay import replayed

        found = replayed(self._scenario, index, self._scenario.clients.processes)
        first = list(itertools.islice(found, 1))  # so that the first block is read before the load begins
        return itertools.chain(first, found)

    async def handle_order(self, order: Order) -> None:
        if order["do"] == "deal":
            self._nodes = list(order["nodes"])
        elif order["do"] == "play":
            self._playing = self._loop.create_task(self._play(float(order["at"])))

    async def _play(self, start: float) -> None:
        """Ask all; `start` is when the load begins, on the record's clock."""
        now = self._recorder.now
        pacer = self._pacer
        keep = -1.0 if self._scenario.traffic else LATE_S  # of a replay all: when each was sent is its result
        for arrival in self._arrivals:
            due = start + arrival.t
            await pacer.until(self._recorder.zero + due)
            at = now()
            if at - due >= keep:
                self._recorder.put(Lag(at, "clients", "late", at - due))
            self._asked += 1
            self._recorder.put(RequestScheduled(due, arrival.root, arrival.cls.name))
            if len(self._open) >= MAX_OPEN:
                self._recorder.put(Lag(now(), "clients", "late", self._scenario.limits.lag_most_s * 2.0))
                continue
            task = self._loop.create_task(self._client(arrival, due))
            self._open.add(task)
            task.add_done_callback(self._over)
        while self._open:
            await asyncio.wait(set(self._open))
        self._recorder.flush()
        self._say({"did": "played"})

    def _over(self, task: asyncio.Task[None]) -> None:
        self._open.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._say({"did": "failed", "order": "play", "why": repr(task.exception())[:200]})

    def _address(self, node: str) -> Address:
        if self._guard.target is not None:
            return self._guard.target.address
        return self._block.front_node(self._numbers[node])

    async def _client(self, arrival: Arrival, due: float) -> None:
        """A first try and its retries."""
        scenario = self._scenario
        cls = arrival.cls
        now = self._recorder.now
        clients = scenario.clients
        gives_up = due + cls.gives_up_s
        intended = due
        for number in range(1 + clients.retries):
            if intended + 0.01 >= gives_up:
                return
            wait = intended - now()
            if wait > 0:
                await asyncio.sleep(wait)
            id = f"{arrival.root}.{number}"
            ends = min(intended + arrival.try_s, gives_up)
            leaves = leaves_after(clients, scenario.seed, id, arrival.try_s)
            ask = Attempt(0, id, cls, number, intended, ends, None if leaves is None else intended + leaves)
            outcome = await self._try(ask, arrival)
            self._served += outcome.how == "answer" and outcome.status == 200
            again = self._again(arrival, outcome, leaves is not None)
            if again is None:
                return
            intended = now() + again

    async def _try(self, ask: Attempt, arrival: Arrival) -> Outcome:
        """One try at a node that the front deals."""
        if not self._nodes:
            return Outcome("refused", 0.0)
        dealt = seeded_random.uniform(self._scenario.seed, "deal", ask.id, high=len(self._nodes))
        node = self._nodes[int(dealt)]
        key, body = f"k-{arrival.root}", b"x" * self._scenario.clients.body
        host = HOST
        mark = ""
        target = ""
        method = ""
        if self._guard.target is not None:
            # Looked at for each try, beside the choice of what is sent at all: no way leads round it.
            if self._guard.may(ask.cls.name, ask.cls.repeat) is not May.MARKED:
                raise RuntimeError(f"{ask.cls.name} may not be sent to {self._guard.target}")
            key = f"{key}-{self._scenario.run}"
            host = str(self._guard.target).removeprefix("http://")
            mark = f"{ask.cls.name}; {ask.cls.repeat}"
            method, target = self._paths.get(ask.cls.name, ("", ""))
            target = target.replace("*", f"{arrival.object:x}")

        options = RequestOptions(host, target, method, mark)

        def make(left: float) -> bytes:
            return encode_request(ask.cls, ask.id, key, arrival.object, left, ask.number > 0, body, options)

        return await self._exchanges.send(ask, node, self._address(node), make)

    def _again(self, arrival: Arrival, outcome: Outcome, left: bool) -> float | None:
        """How long a client waits before it asks again; None if it does not.

        What is safe to repeat, or has a key that every server drops, is asked for again after any failure;
        the rest only after a refusal or where no node took it. (Some clients ask for an unsafe one again all
        the same: nobody could tell them whether it ran.)
        """
        clients = self._scenario.clients
        cls = arrival.cls
        if left and outcome.how == "timeout":
            return None  # it went away
        if outcome.how == "answer" and outcome.status == 200:
            return None
        refused = outcome.how == "answer" and outcome.status in (429, 503)
        untaken = outcome.how in ("refused", "silent")
        anyhow = cls.repeat == "safe" or (cls.repeat == "keyed" and cls.group == "all") or arrival.again
        if not (refused or untaken or anyhow):
            return None
        wait = clients.wait_s
        if refused and arrival.honours:
            with contextlib.suppress(ValueError):
                wait = max(wait, min(float(outcome.headers.get("retry-after", "0")), MAX_ADVICE_S))
        return wait

    def on_second(self) -> None:
        self._exchanges.sweep()
        if self._playing is not None:
            counts = {"asked": self._asked, "served": self._served, "open": len(self._open)}
            self._say({"did": "tick", **counts})

    async def close(self) -> None:
        if self._playing is not None:
            self._playing.cancel()
        for task in set(self._open):
            task.cancel()
        self._pacer.close()
        await self._exchanges.close()


if __name__ == "__main__":
    sys.exit(run_worker(Clients))
