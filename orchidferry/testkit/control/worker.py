"""The process of a rehearsal's control service: gRPC brings threads, and the director forks nodes."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from orchidferry.balancing.configuration import Part
from orchidferry.testkit.control.script import Control
from orchidferry.testkit.process import (
    LAG_INTERVAL_S,
    Order,
    SendReport,
    WorkerScript,
    monotonic_at,
    run_worker,
)
from orchidferry.testkit.record import Recorder, StatusAnnounced
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.director import RESULT
from orchidferry.testkit.world.node_files import settings


class ControlProcess:
    """Plays the script of versions, and says what the nodes made of it."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, say: SendReport, index: int
    ) -> None:
        self._zero = script.zero
        self._nodes = script.plan.nodes
        self._recorder = recorder
        self._say = say
        scenario, count = script.plan.scenario, len(script.plan.nodes)
        self._control = Control(scenario, script.plan.nodes, lambda n: settings(scenario, 0, count, n))
        self._endpoints: list[dict[str, Any]] = []
        self._playing: asyncio.Task[None] | None = None
        self._heard = 0

    async def handle_order(self, order: Order) -> None:
        """Carry out an order."""
        match order["do"]:
            case "listen":
                self._endpoints = order["endpoints"]
                self._control.begin(self._endpoints)
                address = await self._control.service.start()
                self._say({"did": "listening", "port": address[1]})
            case "endpoints":
                self._endpoints = order["endpoints"]
            case "play":
                self._playing = asyncio.current_task()
                await self._play(float(order["at"]))
            case "tell":
                found = asdict(self._control.outcome())
                found["final_versions"], found["reasons"] = found.pop("final"), found["refused"]
                found["refused"] = sum(map(len, found["reasons"].values()))
                found["streams"] = self._control.service.joined
                Path(order["folder"], RESULT).write_text(json.dumps(found))
                self._say({"did": "told"})

    async def _play(self, start: float) -> None:
        """Send all versions and cut all streams at their times; the drains of a version go on record."""
        control = self._control
        steps = sorted(
            [(push.t, number, push) for number, push in enumerate(control.pushes, 1)]
            + [(t, 0, None) for t in control.cuts],
            key=lambda step: step[0],
        )
        for t, number, push in steps:
            while (wait := monotonic_at(self._zero, start + t)) > 0:
                await asyncio.sleep(min(wait, LAG_INTERVAL_S))
                self._note_drains()
            if push is None:
                control.service.cut()
                continue
            before = control.drained
            if before and push.part is Part.MEMBERS and not push.bad:  # from now on a node may use it again
                for node in self._nodes:
                    self._put(node, before, "active")
            control.push(push, number, self._endpoints)

    def _put(self, node: str, server: str, status: str) -> None:
        self._recorder.put(StatusAnnounced(self._recorder.now(), node, server, status, 0.0, False))

    def _note_drains(self) -> None:
        """A node that acknowledged a version that drains a server was told of it by then."""
        control = self._control
        draining = {push.label for push in control.pushes if push.drain}
        for answer in control.service.answers[self._heard :]:
            newest = control.service.resources[answer.type_url].get(control.pool, ("",))
            if answer.label in draining and not answer.reason and newest[0] == answer.label:
                self._put(answer.node, control.drained, "leaving")
        self._heard = len(control.service.answers)

    def on_second(self) -> None:
        """Nothing."""

    async def close(self) -> None:
        """Close it."""
        if self._playing is not None:
            self._playing.cancel()
        await self._control.service.stop()


if __name__ == "__main__":
    sys.exit(run_worker(ControlProcess, plain=True))
