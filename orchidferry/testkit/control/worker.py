"""The control service of a rehearsal, in a process of its own.

gRPC starts threads, which don't go with the forks by which the director starts nodes.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from orchidferry.balancing.configuration import Part
from orchidferry.testkit.control.script import ScriptedService
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
    """Pushes the versions of the script, and reports how the nodes answered them."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, send_report: SendReport, index: int
    ) -> None:
        self._zero = script.zero
        self._nodes = script.plan.nodes
        self._recorder = recorder
        self._send_report = send_report
        scenario, count = script.plan.scenario, len(script.plan.nodes)
        self._control = ScriptedService(
            scenario, script.plan.nodes, lambda n: settings(scenario, 0, count, n)
        )
        self._endpoints: list[dict[str, Any]] = []
        self._playing: asyncio.Task[None] | None = None
        self._answers_checked = 0

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director."""
        match order["do"]:
            case "listen":
                self._endpoints = order["endpoints"]
                self._control.push_initial(self._endpoints)
                address = await self._control.service.start()
                self._send_report({"did": "listening", "port": address[1]})
            case "endpoints":
                self._endpoints = order["endpoints"]
            case "play":
                self._playing = asyncio.current_task()
                await self._play(float(order["at"]))
            case "tell":
                result = asdict(self._control.outcome())
                result["final_versions"], result["reasons"] = result.pop("final"), result["refused"]
                result["refused"] = sum(map(len, result["reasons"].values()))
                result["streams"] = self._control.service.streams_opened
                Path(order["folder"], RESULT).write_text(json.dumps(result))
                self._send_report({"did": "told"})

    async def _play(self, start: float) -> None:
        """Push all versions and end all streams at their times; record when servers drain.

        :param start: the start of the run, on the record's clock.
        """
        control = self._control
        steps = sorted(
            [(push.t, number, push) for number, push in enumerate(control.pushes, 1)]
            + [(t, 0, None) for t in control.stream_end_times],
            key=lambda step: step[0],
        )
        for t, number, push in steps:
            while (wait := monotonic_at(self._zero, start + t)) > 0:
                await asyncio.sleep(min(wait, LAG_INTERVAL_S))
                self._record_drains()
            if push is None:
                control.service.end_streams()
                continue
            before = control.drained
            if before and push.part is Part.MEMBERS and not push.bad:  # nodes may use the server again
                for node in self._nodes:
                    self._record_status(node, before, "active")
            control.push(push, number, self._endpoints)

    def _record_status(self, node: str, server: str, status: str) -> None:
        self._recorder.put(StatusAnnounced(self._recorder.now(), node, server, status, 0.0, False))

    def _record_drains(self) -> None:
        """Record for each node that acknowledged a draining version that it knows of the drain by now."""
        control = self._control
        draining = {push.label for push in control.pushes if push.drain}
        for answer in control.service.answers[self._answers_checked :]:
            newest = control.service.resources[answer.type_url].get(control.pool, ("",))
            if answer.label in draining and not answer.reason and newest[0] == answer.label:
                self._record_status(answer.node, control.drained, "leaving")
        self._answers_checked = len(control.service.answers)

    def on_second(self) -> None:
        """Do nothing: this worker has no periodic work."""

    async def close(self) -> None:
        """Stop pushing versions, and stop the service."""
        if self._playing is not None:
            self._playing.cancel()
        await self._control.service.stop()


if __name__ == "__main__":
    sys.exit(run_worker(ControlProcess, plain=True))
