"""The operator: sends configurations to any node that serves control, and reads the newest back."""

from __future__ import annotations

import asyncio
import contextlib
import json

from rehearsal import draws
from rehearsal.mesh.ask import Scene, call
from rehearsal.mesh.configuration import Config
from rehearsal.mesh.day import Machine
from rehearsal.mesh.facts import Put, Read
from rehearsal.wire import Pool

FINAL = (400, 409, 412, 413, 422)
PATH = "/orchidferry/configuration"
PAUSE_S, MOST_PAUSE_S = 0.1, 1.0
READ_EVERY_S = 0.5


class Operator:
    """One of the operators; `name` tells them apart."""

    def __init__(self, scene: Scene, cores: list[Machine], name: str) -> None:
        self._scene, self._cores, self.name = scene, cores, name
        self._pool = Pool(lambda _: None)
        self._calls = 0

    def _pick(self) -> tuple[str, int]:
        self._calls += 1
        drawn = draws.uniform(self._scene.seed, "controller", self.name, self._calls, high=len(self._cores))
        return self._cores[int(drawn)].bind, self._scene.ports.control

    async def put(self, config: Config, base: int, valid: bool, limit_s: float) -> Put:
        """Send a version until it has a clear answer."""
        scene, pause, other = self._scene, PAUSE_S, 0
        fact = Put(scene.now(), self.name, config["revision_number"], base, valid, config, 0.0, None, 0)
        until = scene.now() + limit_s
        while scene.now() < until:
            outcome, by = await call(self._pool, self._pick(), "PUT", PATH, config, base)
            fact.tries += f"{by[0]} {outcome.status or outcome.how} at {scene.now():.3f}; "
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
            await asyncio.sleep(pause)
            pause = min(MOST_PAUSE_S, pause * 2.0)
        if fact.acked is None and fact.status not in FINAL:
            fact.status = 0
        fact.until = scene.now()
        scene.note(fact)
        return fact

    async def read(self, for_s: float) -> None:
        """Ask for the newest again and again."""
        until = self._scene.now() + for_s
        while self._scene.now() < until:
            await self._read()
            await asyncio.sleep(READ_EVERY_S)

    async def newest(self, limit_s: float) -> int | None:
        """The number of the version that is read first; None if none comes in time."""
        until = self._scene.now() + limit_s
        while self._scene.now() < until:
            found = await self._read()
            if found is not None and isinstance(found.get("revision_number"), int):
                return int(found["revision_number"])
            await asyncio.sleep(PAUSE_S)
        return None

    async def _read(self) -> Config | None:
        asked, found = self._scene.now(), None
        outcome, _ = await call(self._pool, self._pick(), "GET", PATH)
        if outcome.how == "answer" and outcome.status == 200:
            with contextlib.suppress(ValueError):
                found = json.loads(outcome.body)
        found = found if isinstance(found, dict) else None
        self._scene.note(Read(self._scene.now(), found, asked))
        return found
