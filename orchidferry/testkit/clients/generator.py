"""Worker process of the clients: an open-loop load generator.

Latency counts from when a request was due, not from when it was sent. A generator that falls behind therefore
makes the measured latency worse, and records its lag (`Lag`), but cannot hide a stalled node (coordinated
omission).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Iterator

from orchidferry.testkit import seeded_random
from orchidferry.testkit.clients.pacer import Pacer
from orchidferry.testkit.clients.schedule import Arrival, abandoned_after, arrivals
from orchidferry.testkit.exchange import HOST, Attempt, RequestOptions, RequestSender, encode_request
from orchidferry.testkit.process import Order, SendReport, WorkerScript, run_worker
from orchidferry.testkit.record import Lag, Recorder, RequestScheduled
from orchidferry.testkit.traffic.guard import Permission
from orchidferry.testkit.wire import Address, Outcome
from orchidferry.testkit.world.addresses import Block

MIN_LAG_S = 0.002  # smallest delay of a request after its due time that is recorded
MAX_RETRY_AFTER_S = 10.0  # limit on the delay that a client takes from a Retry-After header
MAX_OPEN_REQUESTS = 50_000  # beyond this, the generator itself is the bottleneck and sends no more
MIN_ATTEMPT_S = 0.01  # time left until the client gives up below which it makes no further attempt


class Clients:
    """The clients of one process; with n processes, each process takes every n-th arrival."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, send_report: SendReport, index: int
    ) -> None:
        self._scenario = script.plan.scenario
        self._block = block
        self._recorder = recorder
        self._send_report = send_report
        self._arrivals = (
            self._recorded_arrivals(index) if self._scenario.traffic else self._drawn_arrivals(script, index)
        )
        self._sender = RequestSender(self._scenario, recorder, script.files, script.proof_key)
        self._guard = self._scenario.guard
        self._paths = dict(self._scenario.paths)
        self._nodes: list[str] = []  # names of the nodes that clients may use
        self._node_numbers = {name: number for number, name in enumerate(script.plan.nodes)}
        self._open: set[asyncio.Task[None]] = set()  # clients that have not ended
        self._pacer = Pacer()
        self._loop = asyncio.get_running_loop()
        self._load_task: asyncio.Task[None] | None = None
        # Number of first attempts made and of attempts served so far, for the progress display.
        self._started_count = 0
        self._served_count = 0

    def _drawn_arrivals(self, script: WorkerScript, index: int) -> Iterator[Arrival]:
        return iter(arrivals(script.plan)[index :: self._scenario.clients.processes])

    def _recorded_arrivals(self, index: int) -> Iterator[Arrival]:
        from orchidferry.testkit.traffic.replay import replayed_arrivals

        remaining = replayed_arrivals(self._scenario, index, self._scenario.clients.processes)
        # The first block of the recording is read here, before the load begins.
        first = list(itertools.islice(remaining, 1))
        return itertools.chain(first, remaining)

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director: `deal` gives the usable nodes, `play` starts the load."""
        if order["do"] == "deal":
            self._nodes = list(order["nodes"])
        elif order["do"] == "play":
            self._load_task = self._loop.create_task(self._offer_load(float(order["at"])))

    async def _offer_load(self, start: float) -> None:
        """Start a client for each arrival when the arrival is due, and wait until all clients have ended.

        :param start: when the load begins, in seconds on the record's clock
        """
        now = self._recorder.now
        # A replay records the lag of every request, as its report shows the distribution of the lags.
        min_lag_s = -1.0 if self._scenario.traffic else MIN_LAG_S
        for arrival in self._arrivals:
            due = start + arrival.t
            await self._pacer.until(self._recorder.zero + due)
            started = now()
            if started - due >= min_lag_s:
                self._recorder.put(Lag(started, "clients", "late", started - due))
            self._started_count += 1
            self._recorder.put(RequestScheduled(due, arrival.root, arrival.cls.name))
            if len(self._open) >= MAX_OPEN_REQUESTS:
                self._recorder.put(Lag(now(), "clients", "late", self._scenario.limits.lag_most_s * 2.0))
                continue
            task = self._loop.create_task(self._run_client(arrival, due))
            self._open.add(task)
            task.add_done_callback(self._on_client_ended)
        while self._open:
            await asyncio.wait(set(self._open))
        self._recorder.flush()
        self._send_report({"did": "played"})

    def _on_client_ended(self, task: asyncio.Task[None]) -> None:
        self._open.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._send_report({"did": "failed", "order": "play", "why": repr(task.exception())[:200]})

    def _address_of(self, node: str) -> Address:
        if self._guard.target is not None:
            return self._guard.target.address
        return self._block.front_node(self._node_numbers[node])

    async def _run_client(self, arrival: Arrival, due: float) -> None:
        """Make the first attempt of an arrival, and its retries.

        :param due: when the first attempt should start, in seconds on the record's clock
        """
        scenario = self._scenario
        cls = arrival.cls
        now = self._recorder.now
        clients = scenario.clients
        gives_up = due + cls.gives_up_s
        intended = due
        for number in range(1 + clients.retries):
            if intended + MIN_ATTEMPT_S >= gives_up:
                return
            wait = intended - now()
            if wait > 0:
                await asyncio.sleep(wait)
            attempt_id = f"{arrival.root}.{number}"
            ends = min(intended + arrival.attempt_timeout_s, gives_up)
            abandoned_s = abandoned_after(clients, scenario.seed, attempt_id, arrival.attempt_timeout_s)
            abandoned_at = None if abandoned_s is None else intended + abandoned_s
            attempt = Attempt(0, attempt_id, cls, number, intended, ends, abandoned_at)
            outcome = await self._send(attempt, arrival)
            self._served_count += outcome.how == "answer" and outcome.status == 200
            backoff_s = self._retry_backoff_s(arrival, outcome, abandoned_s is not None)
            if backoff_s is None:
                return
            intended = now() + backoff_s

    async def _send(self, attempt: Attempt, arrival: Arrival) -> Outcome:
        """Send one attempt to a randomly chosen usable node."""
        if not self._nodes:
            return Outcome("refused", 0.0)
        drawn = seeded_random.uniform(self._scenario.seed, "deal", attempt.id, high=len(self._nodes))
        node = self._nodes[int(drawn)]
        key = f"k-{arrival.root}"
        body = b"x" * self._scenario.clients.body
        host = HOST
        class_header = ""
        target = ""
        method = ""
        if self._guard.target is not None:
            # The permission is checked for each attempt, in addition to the selection of the requests, so
            # that no request can bypass it.
            if self._guard.permission(attempt.cls.name, attempt.cls.repeat) is not Permission.MARKED:
                raise RuntimeError(f"{attempt.cls.name} may not be sent to {self._guard.target}")
            key = f"{key}-{self._scenario.run}"
            host = str(self._guard.target).removeprefix("http://")
            class_header = f"{attempt.cls.name}; {attempt.cls.repeat}"
            method, target = self._paths.get(attempt.cls.name, ("", ""))
            target = target.replace("*", f"{arrival.object:x}")

        options = RequestOptions(host, target, method, class_header)

        def encode(budget_s: float) -> bytes:
            is_retry = attempt.number > 0
            return encode_request(
                attempt.cls, attempt.id, key, arrival.object, budget_s, is_retry, body, options
            )

        return await self._sender.send(attempt, node, self._address_of(node), encode)

    def _retry_backoff_s(self, arrival: Arrival, outcome: Outcome, abandoned: bool) -> float | None:
        """Decide whether a client retries.

        Idempotent requests, and requests with an operation key by which every server drops repeats, are
        retried after any failure. Others are retried only after a rejection, or if no node accepted the
        attempt. Some clients retry an unsafe request nevertheless, without knowing whether it was executed.

        :param abandoned: whether the client abandons this attempt before its timeout
        :returns: seconds until the retry; None if the client does not retry
        """
        clients = self._scenario.clients
        cls = arrival.cls
        if abandoned and outcome.how == "timeout":
            return None
        if outcome.how == "answer" and outcome.status == 200:
            return None
        rejected = outcome.how == "answer" and outcome.status in (429, 503)
        unaccepted = outcome.how in ("refused", "silent")
        idempotent = cls.repeat == "safe" or (cls.repeat == "keyed" and cls.group == "all")
        if not (rejected or unaccepted or idempotent or arrival.retries_unsafe):
            return None
        backoff_s = clients.wait_s
        if rejected and arrival.honours_retry_after:
            with contextlib.suppress(ValueError):
                retry_after_s = float(outcome.headers.get("retry-after", "0"))
                backoff_s = max(backoff_s, min(retry_after_s, MAX_RETRY_AFTER_S))
        return backoff_s

    def on_second(self) -> None:
        """Close idle connections, and report the progress."""
        self._sender.sweep()
        if self._load_task is not None:
            counts = {"asked": self._started_count, "served": self._served_count, "open": len(self._open)}
            self._send_report({"did": "tick", **counts})

    async def close(self) -> None:
        """Cancel all requests and close all connections."""
        if self._load_task is not None:
            self._load_task.cancel()
        for task in set(self._open):
            task.cancel()
        self._pacer.close()
        await self._sender.close()


if __name__ == "__main__":
    sys.exit(run_worker(Clients))
