"""The phases of a run: start-up, traffic with scheduled actions, reading the configuration back, shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.mesh.actions import ACTIONS
from orchidferry.testkit.mesh.configuration import build_configuration
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import Event
from orchidferry.testkit.mesh.revisions import FIRST_REVISION
from orchidferry.testkit.mesh.schedule import UNPLANNED, schedule

MAX_START_S = 10.0
"""The longest wait for all machines to become ready after their start; the run continues once all are."""

WARM_UP_S = 3.0
"""The time from the end of the start-up to the traffic: all servers announce that they are warm."""

FIRST_CHANGE_LIMIT_S = MAX_START_S + 5.0
"""How long the first configuration is retried until it gets a definite answer."""

START_POLL_S = 0.05
MONITOR_INTERVAL_S = 0.02
SWEEP_INTERVAL_S = 1.0
DRAIN_S = 6.0
"""How long requests that are in flight after the last arrival are waited for."""

PLAYING = "playing"
"""The phase of `Progress` in which the traffic runs."""


class RunAbortedError(OrchidferryError):
    """The run can't continue; the message gives the reason."""


@dataclass
class Progress:
    """The progress of a run, for display."""

    phase: str = "starting"
    traffic_s: float = 0.0  # since the start of the traffic
    asked: int = 0  # client requests made so far
    served: int = 0  # client requests answered with success so far
    current_action: str = ""  # name of the scheduled action in progress; empty: none


class DayRun:
    """Runs a scenario in an environment."""

    def __init__(self, env: Environment, progress: Progress) -> None:
        """Prepare a run.

        :param progress: updated during the run
        """
        self.env = env
        self._progress = progress

    async def play(self) -> None:
        """Run the scenario up to, but not including, the shutdown.

        :raises RunAbortedError: if no machine becomes ready
        """
        env = self.env
        await self._start()
        await asyncio.sleep(WARM_UP_S)
        self._progress.phase = PLAYING
        env.starting = False
        start = env.record.start = env.context.now()
        env.spawn(self._play_schedule(start))
        sessions = env.spawn(env.sessions.play(start + env.seconds))
        await env.clients.play(start)
        await sessions
        await env.clients.drain(DRAIN_S)
        env.record.end = env.context.now()
        self._progress.phase = "reading the configuration back"
        await env.operator.read_for(env.day.bounds.contact_ms / 1000.0)

    async def close(self) -> None:
        """Shut the environment down."""
        self._progress.phase = "ending"
        await self.env.close()

    async def _start(self) -> None:
        """Start all parts, send the first configuration, and wait until the machines are ready."""
        env = self.env
        await asyncio.gather(*(node.start() for node in env.nodes.values()))
        started = env.context.now()
        env.spawn(self._monitor())
        env.spawn(env.platform.probe_readiness())
        for server in env.servers.values():
            await server.start()
        first = build_configuration(env.day, env.seed, FIRST_REVISION, False)
        put = env.spawn(env.operator.put(first, 0, True, FIRST_CHANGE_LIMIT_S))
        while env.context.now() - started < MAX_START_S:
            if put.done() and len(env.platform.seen_ready) == len(env.sidecars):
                break
            await asyncio.sleep(START_POLL_S)
        await put
        if not env.platform.seen_ready:
            raise RunAbortedError(f"no machine was ready within {MAX_START_S:g} s of the start")

    async def _play_schedule(self, start: float) -> None:
        """Execute the scheduled actions in order.

        Unless the scenario lets actions overlap, each starts after the end of the previous one, and after a
        fault the machines get `catch_up_s` to recover.

        :param start: the start of the traffic, in seconds on the run's clock
        """
        env = self.env
        earliest = 0.0
        last_in_lane: dict[str, asyncio.Task[None]] = {}
        for scheduled in schedule(env.day, env.seed, env.seconds):
            due = max(start + scheduled.at * env.seconds, earliest)
            await asyncio.sleep(max(0.0, due - env.context.now()))
            if env.day.overlapping:
                task = env.spawn(self._play_after(scheduled, last_in_lane.get(scheduled.lane)))
                if scheduled.lane:
                    last_in_lane[scheduled.lane] = task
                continue
            await self._play_action(scheduled)
            if scheduled.action in UNPLANNED:
                earliest = env.context.now() + env.day.bounds.catch_up_s

    async def _play_after(self, scheduled: ScheduledAction, last: asyncio.Task[None] | None) -> None:
        """Execute an action, after the last one of its lane.

        :param last: the last action of its lane; None if there is none
        """
        if last is not None:
            await asyncio.wait([last])
        await self._play_action(scheduled)
        if scheduled.lane:
            await asyncio.sleep(self.env.day.bounds.catch_up_s)

    async def _play_action(self, scheduled: ScheduledAction) -> None:
        env = self.env
        action = ACTIONS[scheduled.action]
        now = env.context.now()
        event = Event(now, now + scheduled.for_s, scheduled.action, scheduled.target)
        env.record.facts.append(event)
        self._progress.current_action = scheduled.action
        event.whom = await action(env, scheduled) or event.whom
        event.until = max(event.until, env.context.now())
        self._progress.current_action = ""

    async def _monitor(self) -> None:
        """Measure the event loop's lag, update the progress, and sample the processes once per second."""
        env = self.env
        loop = asyncio.get_running_loop()
        last_sweep = 0.0
        while True:
            due = loop.time() + MONITOR_INTERVAL_S
            await asyncio.sleep(MONITOR_INTERVAL_S)
            lag = loop.time() - due
            now = env.context.now()
            if self._progress.phase == PLAYING:
                env.record.stall_s = max(env.record.stall_s, lag)
                self._progress.traffic_s = now - env.record.start
                self._progress.asked = env.clients.counts["asked"]
                self._progress.served = env.clients.counts["served"]
            if now - last_sweep > SWEEP_INTERVAL_S:
                last_sweep = now
                self._sweep()

    def _sweep(self) -> None:
        """Close idle connections, and sample the resource usage of the processes."""
        env = self.env
        env.context.sweep()
        for server in env.servers.values():
            server.sweep()
        for node in env.nodes.values():
            node.read_usage()
            if self._progress.phase == PLAYING:
                env.record.starved = max(env.record.starved, node.starved)
