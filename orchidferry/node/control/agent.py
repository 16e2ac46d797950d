"""The agent: keeps a node's configuration up to date with the channel, the version rules and the store.

Everything is decided in `orchidferry.balancing.versions`; here its actions are performed.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing import version_events as events
from orchidferry.balancing.configuration import Configuration, NodeSettings, Part, Pools
from orchidferry.balancing.versions import Versions
from orchidferry.node.clock import now_ms
from orchidferry.node.control.channel import Channel
from orchidferry.node.control.settings import Control
from orchidferry.node.control.store import Store

log = logging.getLogger("orchidferry")


def _ignore() -> None:
    pass


@dataclass(frozen=True, slots=True)
class NodeCalls:
    """What the agent calls at its node."""

    # Applies a configuration, of which some parts have changed. Returns an empty text, or what went wrong;
    # None if `Agent.node_applied` will be called with that.
    apply: Callable[[Configuration, frozenset[Part]], str | None]
    drain: Callable[[tuple[int, ...]], None]  # sends nothing new to some servers
    after_event: Callable[[], None] = _ignore  # called when the status may have changed


def file_configuration(control: Control, settings: api.Settings) -> Configuration:
    """Return the configuration in the node's own file, which has no pool: discovery names the servers."""
    return Configuration(Pools({}), NodeSettings(control.pools[0], settings))


class Agent:
    """Keeps a node's configuration up to date."""

    def __init__(
        self,
        control: Control,
        file: Configuration,
        node: NodeCalls,
        rng: random.Random | None = None,
        store: Store | None = None,
        applied: Configuration | None = None,
    ) -> None:
        """Create a `Agent`.

        :param file: the configuration in the node's own file.
        :param applied: the configuration that the node has; it goes before one in the store.
        :raises ConfigError: if a certificate can't be read.
        """
        self._control = control
        self._file = file
        self._node = node
        self._already_applied = applied
        self.versions = Versions(control.first_wait_s * 1000.0)
        self.channel = Channel(control, self._on_offer, self._on_stream, rng)
        self._store = store
        self._timers: set[asyncio.TimerHandle] = set()
        self._applying: events.Apply | None = None
        self._unsaved: Configuration | None = None  # the newest one that waits to be saved
        self._saving: asyncio.Task[None] | None = None
        self._save_problem = ""  # why the last good one could not be saved the last time

    def start(self) -> None:
        """Open the stream, and wait for a first version."""
        saved = None
        if self._store is not None:
            saved, line = self._store.load()
            if line:
                log.error("%s", line)
        self._handle(events.Started(self._file, self._already_applied or saved))
        self.channel.start()

    async def close(self) -> None:
        """Close the stream and the store; what is applied stays so."""
        await self.channel.close()
        if self._saving is not None:
            await self._saving
        for timer in self._timers:
            timer.cancel()
        if self._store is not None:
            self._store.close()

    def status(self) -> dict[str, Any]:
        """Return what `control status` shows of this node."""
        status = self.versions.status()
        status |= {
            "node": self._control.node,
            "stream": "up" if self.channel.up else "down",
            "now_ms": now_ms(),
        }
        status["saved"] = "off" if self._store is None else self._save_problem or "yes"
        return status

    def _on_offer(self, offer: events.Offered) -> None:
        self._handle(offer)

    def _on_stream(self, up: bool) -> None:
        self._handle(events.StreamChanged(up))

    def _handle(self, event: events.Event) -> None:
        pending = [event]
        while pending:
            for action in self.versions.handle(pending.pop(0), now_ms()):
                raised = self._perform(action)
                if raised is not None:
                    pending.append(raised)
        self._node.after_event()

    def _perform(self, action: events.Action) -> events.Event | None:
        """Perform an action; return the event that it leads to, if there is one at once."""
        match action:
            case events.Apply():
                self._applying = action
                problem = self._apply(action)
                if problem is not None:
                    return self._applied(problem)
            case events.Answer():
                self.channel.answer(action)
            case events.Drain():
                self._node.drain(action.servers)
            case events.SaveLastGood():
                self._save(action.configuration)
            case events.SetTimer():
                self._wake(action.delay_ms)
            case events.Log():
                log.warning("control: %s", action.text)
        return None

    def _apply(self, action: events.Apply) -> str | None:
        try:
            return self._node.apply(action.configuration, action.changed)
        except Exception as problem:  # whatever is in it, the node serves on
            log.exception("applying a configuration")
            return f"{type(problem).__name__}: {problem}"

    def _applied(self, problem: str) -> events.Applied:
        action = self._applying
        self._applying = None
        if not problem and action is not None:
            versions = ", ".join(
                f"{part.value} {text!r}" for part, text in action.configuration.versions.items()
            )
            log.info("control: applied %s, from %s", versions, action.source.value)
        return events.Applied(problem)

    def node_applied(self, problem: str) -> None:
        """Learn how applying went, where `NodeCalls.apply` did not say; no effect if none is in progress."""
        if self._applying is not None:
            self._handle(self._applied(problem))

    def _save(self, configuration: Configuration) -> None:
        """Save it in a thread: a disk may be slow, and nothing waits for it."""
        self._unsaved = configuration
        if self._store is not None and self._saving is None:
            self._saving = asyncio.get_running_loop().create_task(self._write(self._store))

    async def _write(self, store: Store) -> None:
        while self._unsaved is not None:
            configuration = self._unsaved
            self._unsaved = None
            problem = await asyncio.to_thread(store.save, configuration)
            if problem and problem != self._save_problem:
                log.error("%s", problem)
            self._save_problem = problem
        self._saving = None

    def _wake(self, delay_ms: float) -> None:
        def due() -> None:
            self._timers.discard(timer)
            self._handle(events.TimerFired())

        timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, due)
        self._timers.add(timer)
