"""The operators: each sends configurations to any node that serves control, and reads the newest back."""

from __future__ import annotations

import asyncio
import contextlib
import json

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.ask import CALL_S, Scene, call
from orchidferry.testkit.mesh.configuration import Config, content
from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.mesh.facts import ControlCall, Put, Read
from orchidferry.testkit.wire import Address, Outcome, Pool

FINAL = (400, 409, 412, 413, 422)
PATH = "/orchidferry/configuration"
PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
READ_EVERY_S = 0.5


def error_kind(outcome: Outcome) -> str:
    """The kind of refusal that an answer names; empty: it names none."""
    if outcome.how != "answer" or outcome.status < 400:
        return ""
    try:
        found = json.loads(outcome.body)
    except ValueError:
        return ""
    return str(found.get("error", "")) if isinstance(found, dict) else ""


class Operator:
    """One of the operators; `name` tells them apart."""

    def __init__(self, scene: Scene, cores: list[Machine], name: str, ip: str) -> None:
        """`ip`: where its calls come from, so that the kit's relays know it."""
        self._scene = scene
        self._cores = cores
        self.name = name
        self._pool = Pool(lambda _: None, ip)
        self._names: dict[str, str] = {}  # of controllers, by address
        self._calls = 0

    def _pick(self, at: Machine | None = None) -> Address:
        self._names |= {machine.ip: machine.name for machine in self._cores}
        self._calls += 1
        if at is None:
            drawn = draws.uniform(
                self._scene.seed, "controller", self.name, self._calls, high=len(self._cores)
            )
            at = self._cores[int(drawn)]
        return at.ip, self._scene.ports.control

    async def _call(self, where: Address, order: Put | None, lose: bool = False) -> Outcome:
        """One call, in the record. `lose`: its answer is lost on its way, and the caller hears nothing."""
        scene = self._scene
        sent = self._scene.now()
        if order is None:
            outcome, by = await call(self._pool, where, "GET", PATH)
        else:
            outcome, by = await call(self._pool, where, "PUT", PATH, order.config, order.base)
            order.tries += f"{by[0]} {outcome.status or outcome.how} at {scene.now():.3f}; "
        answered = outcome.how == "answer"
        scene.note(
            ControlCall(
                sent,
                scene.now(),
                self.name,
                self._names.get(by[0], by[0]),
                0 if order is None else order.revision,
                "" if order is None else content(order.config),
                outcome.status if answered else 0,
                outcome.how,
                lose and answered,
                error_kind(outcome),
                outcome.headers.get("retry-after", ""),
            )
        )
        if lose and answered:
            await asyncio.sleep(max(0.0, sent + CALL_S - scene.now()))
            return Outcome("timeout", outcome.t)
        return outcome

    async def put(
        self,
        config: Config,
        base: int,
        valid: bool,
        limit_s: float,
        at: Machine | None = None,
        lost: int = 0,
    ) -> Put:
        """Send a version until it has a clear answer, first `at` a controller; `lost`: so many of its clear
        answers are lost on their way.
        """
        scene = self._scene
        pause = PAUSE_S
        other = 0
        until = scene.now() + limit_s
        fact = Put(scene.now(), self.name, config["revision_number"], base, valid, config, until, None, 0)
        scene.note(fact)
        while scene.now() < until:
            outcome = await self._call(self._pick(at), fact, lost > 0)
            at = None
            if outcome.how == "answer":
                fact.status = outcome.status
                if 200 <= outcome.status < 300:
                    fact.acked = scene.now()
                    break
                if outcome.status in FINAL:
                    break
                other += 400 <= outcome.status < 500 and outcome.status not in (408, 429)
                if other >= 3:
                    break
            else:
                lost -= 1
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE_S, pause * 2.0)
        if fact.acked is None and fact.status not in FINAL:
            fact.status = 0
        fact.until = scene.now()
        return fact

    async def resend(self, order: Put, at: Machine | None = None) -> None:
        """Send an order once more as it was; what comes of it is in the record of calls alone."""
        copy = Put(self._scene.now(), self.name, order.revision, order.base, True, order.config, 0.0, None, 0)
        await self._call(self._pick(at), copy)

    async def read_for(self, for_s: float) -> None:
        """Ask for the newest again and again."""
        until = self._scene.now() + for_s
        while self._scene.now() < until:
            await self.read()
            await asyncio.sleep(READ_EVERY_S)

    async def newest(self, limit_s: float) -> int | None:
        """The number of the version that is read first; None if none comes in time."""
        until = self._scene.now() + limit_s
        while self._scene.now() < until:
            found = await self.read()
            if found is not None and isinstance(found.get("revision_number"), int):
                return int(found["revision_number"])
            await asyncio.sleep(PAUSE_S)
        return None

    async def read(self) -> Config | None:
        """Ask for the newest once."""
        asked = self._scene.now()
        found = None
        outcome = await self._call(self._pick(), None)
        if outcome.how == "answer" and outcome.status == 200:
            with contextlib.suppress(ValueError):
                found = json.loads(outcome.body)
        found = found if isinstance(found, dict) else None
        self._scene.note(Read(self._scene.now(), found, asked))
        return found
