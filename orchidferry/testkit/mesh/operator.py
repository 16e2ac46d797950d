"""Simulated operators, who send configurations to any of the controllers and read the newest one back."""

from __future__ import annotations

import asyncio
import contextlib
import json

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.configuration import Config, content_digest
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.control_api import CALL_TIMEOUT_S, call
from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.mesh.facts import ControlCall, Put, Read
from orchidferry.testkit.wire import Address, Outcome, Pool

FINAL_STATUSES = (400, 409, 412, 413, 422)
"""Status codes that reject a change for good."""

RETRYABLE_STATUSES = (408, 429)
MAX_OTHER_REFUSALS = 3
"""After this many responses with any other 4xx status an operator gives up."""

CONFIGURATION_PATH = "/orchidferry/configuration"
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
READ_INTERVAL_S = 0.5
"""From one read of the newest version to the next in `Operator.read_for`."""


def error_kind(outcome: Outcome) -> str:
    """The kind of error that a response names in its JSON body; empty if it names none."""
    if outcome.how != "answer" or outcome.status < 400:
        return ""
    try:
        found = json.loads(outcome.body)
    except ValueError:
        return ""
    return str(found.get("error", "")) if isinstance(found, dict) else ""


class Operator:
    """A simulated operator; records each call and the outcome of each change."""

    def __init__(self, context: RunContext, cores: list[Machine], name: str, ip: str) -> None:
        """Create an operator.

        :param cores: the controllers that it calls; the list may change during the run
        :param name: name of the operator in the record
        :param ip: source address of its calls, by which the kit's relays recognise it
        """
        self._context = context
        self._cores = cores
        self.name = name
        self._pool = Pool(lambda _: None, ip)
        self._controller_names: dict[str, str] = {}  # by IP address
        self._calls = 0  # number of calls so far

    def _address(self, controller: Machine | None = None) -> Address:
        """The control address of a controller; None: of one chosen by the seed and the number of the call."""
        self._controller_names |= {machine.ip: machine.name for machine in self._cores}
        self._calls += 1
        if controller is None:
            seed = self._context.seed
            chosen = seeded_random.uniform(seed, "controller", self.name, self._calls, high=len(self._cores))
            controller = self._cores[int(chosen)]
        return controller.ip, self._context.ports.control

    async def _call(self, address: Address, change: Put | None, lose_answer: bool = False) -> Outcome:
        """Make one call, and record it.

        :param change: the change to send; None: read the newest configuration
        :param lose_answer: discard the response, so that the call times out for the operator
        """
        context = self._context
        began = context.now()
        if change is None:
            outcome, by = await call(self._pool, address, "GET", CONFIGURATION_PATH)
        else:
            outcome, by = await call(
                self._pool, address, "PUT", CONFIGURATION_PATH, change.config, change.base
            )
            change.tries += f"{by[0]} {outcome.status or outcome.how} at {context.now():.3f}; "
        answered = outcome.how == "answer"
        context.record(
            ControlCall(
                began,
                context.now(),
                self.name,
                self._controller_names.get(by[0], by[0]),
                0 if change is None else change.revision,
                "" if change is None else content_digest(change.config),
                outcome.status if answered else 0,
                outcome.how,
                lose_answer and answered,
                error_kind(outcome),
                outcome.headers.get("retry-after", ""),
            )
        )
        if lose_answer and answered:
            await asyncio.sleep(max(0.0, began + CALL_TIMEOUT_S - context.now()))
            return Outcome("timeout", outcome.t)
        return outcome

    async def put(
        self,
        config: Config,
        base: int,
        valid: bool,
        limit_s: float,
        first: Machine | None = None,
        lost_answers: int = 0,
    ) -> Put:
        """Send a configuration until it is accepted or rejected for good.

        :param base: the revision on which it is based
        :param valid: whether the configuration is valid, for the record
        :param limit_s: how long sending is retried
        :param first: the controller to call first; None: any
        :param lost_answers: for how many calls the kit discards the response, if there is one
        :returns: the entry in the record, with the outcome
        """
        context = self._context
        backoff = MIN_BACKOFF_S
        other_refusals = 0
        until = context.now() + limit_s
        revision = config["revision_number"]
        put = Put(context.now(), self.name, revision, base, valid, config, until, None, 0)
        context.record(put)
        while context.now() < until:
            outcome = await self._call(self._address(first), put, lost_answers > 0)
            first = None
            if outcome.how == "answer":
                put.status = outcome.status
                if 200 <= outcome.status < 300:
                    put.acked = context.now()
                    break
                if outcome.status in FINAL_STATUSES:
                    break
                other_refusals += 400 <= outcome.status < 500 and outcome.status not in RETRYABLE_STATUSES
                if other_refusals >= MAX_OTHER_REFUSALS:
                    break
            else:
                lost_answers -= 1
            await asyncio.sleep(backoff)
            backoff = min(MAX_BACKOFF_S, backoff * 2.0)
        if put.acked is None and put.status not in FINAL_STATUSES:
            put.status = 0
        put.until = context.now()
        return put

    async def resend(self, change: Put, controller: Machine | None = None) -> None:
        """Send a change once more, unmodified; the outcome is recorded only as a `ControlCall`.

        :param controller: the controller to call; None: any
        """
        now = self._context.now()
        copy = Put(now, self.name, change.revision, change.base, True, change.config, 0.0, None, 0)
        await self._call(self._address(controller), copy)

    async def read_for(self, for_s: float) -> None:
        """Read the newest configuration periodically.

        :param for_s: for how long, in seconds
        """
        until = self._context.now() + for_s
        while self._context.now() < until:
            await self.read()
            await asyncio.sleep(READ_INTERVAL_S)

    async def newest_revision(self, limit_s: float) -> int | None:
        """Read the newest revision, retrying failed reads; None if none succeeds within `limit_s`."""
        until = self._context.now() + limit_s
        while self._context.now() < until:
            found = await self.read()
            if found is not None and isinstance(found.get("revision_number"), int):
                return int(found["revision_number"])
            await asyncio.sleep(MIN_BACKOFF_S)
        return None

    async def read(self) -> Config | None:
        """Read the newest configuration once; None if the read failed."""
        asked = self._context.now()
        found = None
        outcome = await self._call(self._address(), None)
        if outcome.how == "answer" and outcome.status == 200:
            with contextlib.suppress(ValueError):
                found = json.loads(outcome.body)
        found = found if isinstance(found, dict) else None
        self._context.record(Read(self._context.now(), found, asked))
        return found
