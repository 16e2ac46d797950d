"""The agent: keeps a node's configuration up to date with what a control service offers.

`orchidferry.balancing.versions` makes all decisions. The agent hands it the events of the channel and of the
node, and performs the actions that it returns.
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
class NodeCallbacks:
    """The callbacks through which the agent acts on its node."""

    # Applies a configuration, given the parts of it that have changed. Returns an empty text on success, a
    # description of the failure, or None if the result will be passed to `Agent.node_applied` later.
    apply: Callable[[Configuration, frozenset[Part]], str | None]
    drain: Callable[[tuple[int, ...]], None]  # stops sending new requests to servers, given their ids
    after_event: Callable[[], None] = _ignore  # called when the agent's status may have changed


def file_configuration(control: Control, settings: api.Settings) -> Configuration:
    """Return the configuration in the node's own file. It has no pool: discovery lists the servers.

    :param settings: the node's settings in that file.
    """
    return Configuration(Pools({}), NodeSettings(control.pools[0], settings))


class Agent:
    """Keeps a node's configuration up to date."""

    def __init__(
        self,
        control: Control,
        file: Configuration,
        node: NodeCallbacks,
        rng: random.Random | None = None,
        store: Store | None = None,
        applied: Configuration | None = None,
    ) -> None:
        """Create an `Agent`.

        :param control: the settings of the control channel.
        :param file: the configuration in the node's own file.
        :param node: callbacks of the node.
        :param rng: draws the jitter of the channel's backoff.
        :param store: stores the last good configuration; None: it is not saved.
        :param applied: the configuration that the node has applied already; it takes precedence over the
            one in the store.
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
        self._unsaved: Configuration | None = None  # the newest configuration that waits to be saved
        self._saving: asyncio.Task[None] | None = None
        self._save_problem = ""  # why the most recent save failed; empty if it succeeded

    def start(self) -> None:
        """Load the last good configuration, and open the stream to the control service."""
        saved = None
        if self._store is not None:
            saved, problem = self._store.load()
            if problem:
                log.error("%s", problem)
        self._handle(events.Started(self._file, self._already_applied or saved))
        self.channel.start()

    async def close(self) -> None:
        """Close the stream and the store. The node keeps the configuration that it has applied."""
        await self.channel.close()
        if self._saving is not None:
            await self._saving
        for timer in self._timers:
            timer.cancel()
        if self._store is not None:
            self._store.close()

    def status(self) -> dict[str, Any]:
        """Return the status of this node's configuration, as `orchidferry control status` shows it."""
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
                follow_up = self._perform(action)
                if follow_up is not None:
                    pending.append(follow_up)
        self._node.after_event()

    def _perform(self, action: events.Action) -> events.Event | None:
        """Perform an action; return the event that it causes, unless there is none or it comes later."""
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
                self._set_timer(action.delay_ms)
            case events.Log():
                log.warning("control: %s", action.text)
        return None

    def _apply(self, action: events.Apply) -> str | None:
        try:
            return self._node.apply(action.configuration, action.changed)
        except Exception as problem:  # no content of a configuration may stop the node from serving
            log.exception("control: applying a configuration failed")
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
        """Take the result of applying a configuration, if `NodeCallbacks.apply` returned None.

        Has no effect if no configuration is being applied.

        :param problem: why the configuration could not be applied; empty if it was.
        """
        if self._applying is not None:
            self._handle(self._applied(problem))

    def _save(self, configuration: Configuration) -> None:
        """Save a configuration in a thread, as a slow disk must not block the event loop."""
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

    def _set_timer(self, delay_ms: float) -> None:
        def fire() -> None:
            self._timers.discard(timer)
            self._handle(events.TimerFired())

        timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, fire)
        self._timers.add(timer)
