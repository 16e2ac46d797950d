"""The channel, the versions and the store together: what the node is told of its configuration.

Two calls are given to it: `apply` makes a configuration the one that counts ('' or a problem, or None where
`node_applied` will say so), `drain` sends nothing new to some servers. Everything is decided in
`orchidferry.balancing.versions`; here its actions are done.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
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

ApplyCall = Callable[[Configuration, frozenset[Part]], str | None]
DrainCall = Callable[[tuple[int, ...]], None]


def own_file(control: Control, settings: api.Settings) -> Configuration:
    """What the node's own file says: no pool, as discovery has the say until one comes."""
    return Configuration(Pools({}), NodeSettings(control.pools[0], settings))


class Agent:
    """Keeps a node's configuration up to date."""

    def __init__(
        self,
        control: Control,
        file: Configuration,
        apply: ApplyCall,
        drain: DrainCall,
        rng: random.Random | None = None,
        store: Store | None = None,
        held: Configuration | None = None,
        said: Callable[[], None] = lambda: None,
    ) -> None:
        """`ConfigError` if a certificate can't be read. `held`: what the node holds already, before any that
        is saved; `said` is called after each event."""
        self._control = control
        self._file = file
        self._do_apply = apply
        self._do_drain = drain
        self._held = held
        self._said = said
        self.versions = Versions(control.first_wait_s * 1000.0)
        self.channel = Channel(control, self._hear, self._stream, rng)
        self._store = store
        self._timers: set[asyncio.TimerHandle] = set()
        self._applying: events.Apply | None = None  # what is being applied
        self._unsaved: Configuration | None = None  # the newest that waits to be written
        self._saving: asyncio.Task[None] | None = None
        self.refused_save = ""  # why the last good one could not be written, the last time

    def start(self) -> None:
        """Begin: open the stream, and wait so long for a first version."""
        saved = None
        if self._store is not None:
            saved, line = self._store.load()
            if line:
                log.error("%s", line)
        self._handle(events.Started(self._file, self._held or saved))
        self.channel.start()

    async def close(self) -> None:
        """Stop; what is applied stays so."""
        await self.channel.close()
        if self._saving is not None:
            await self._saving
        for timer in self._timers:
            timer.cancel()
        if self._store is not None:
            self._store.close()

    def status(self) -> dict[str, Any]:
        """What `control status` shows of this node."""
        found = self.versions.status()
        found |= {
            "node": self._control.node,
            "stream": "up" if self.channel.up else "down",
            "now_ms": now_ms(),
        }
        found["saved"] = "off" if self._store is None else self.refused_save or "yes"
        return found

    def _hear(self, offer: events.Offered) -> None:
        self._handle(offer)

    def _stream(self, up: bool) -> None:
        self._handle(events.StreamChanged(up))

    def _handle(self, event: events.Event) -> None:
        pending = [event]
        while pending:
            for action in self.versions.handle(pending.pop(0), now_ms()):
                match action:
                    case events.Apply():
                        self._applying = action
                        problem = self._apply(action)
                        if problem is not None:
                            pending.append(self._applied(problem))
                    case events.Answer():
                        self.channel.answer(action)
                    case events.Drain():
                        self._do_drain(action.servers)
                    case events.SaveLastGood():
                        self._save(action.configuration)
                    case events.SetTimer():
                        self._wake(action.delay_ms)
                    case events.Log():
                        log.warning("control: %s", action.text)
        self._said()

    def _apply(self, action: events.Apply) -> str | None:
        try:
            return self._do_apply(action.configuration, action.changed)
        except Exception as broken:  # whatever is in it, the node serves on
            log.exception("applying a configuration")
            return f"{type(broken).__name__}: {broken}"

    def _applied(self, problem: str) -> events.Applied:
        action = self._applying
        self._applying = None
        if not problem and action is not None:
            applied = ", ".join(
                f"{part.value} {text!r}" for part, text in action.configuration.versions.items()
            )
            log.info("control: applied %s, from %s", applied, action.source.value)
        return events.Applied(problem)

    def node_applied(self, problem: str) -> None:
        """How applying went, where `apply` did not say; nothing if none is out."""
        if self._applying is not None:
            self._handle(self._applied(problem))

    def _save(self, whole: Configuration) -> None:
        """Have it written, in a thread: a disk may take its time, and requests don't wait for it."""
        self._unsaved = whole
        if self._store is not None and self._saving is None:
            self._saving = asyncio.get_running_loop().create_task(self._write(self._store))

    async def _write(self, store: Store) -> None:
        while self._unsaved is not None:
            whole = self._unsaved
            self._unsaved = None
            line = await asyncio.to_thread(store.save, whole)
            if line and line != self.refused_save:
                log.error("%s", line)
            self.refused_save = line
        self._saving = None

    def _wake(self, delay_ms: float) -> None:
        def due() -> None:
            self._timers.discard(timer)
            self._handle(events.TimerFired())

        timer = asyncio.get_running_loop().call_later(delay_ms / 1000.0, due)
        self._timers.add(timer)
