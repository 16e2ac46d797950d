"""Runs a controller's shards: calls their `tick` and carries out the actions that they return."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import (
    Action,
    Log,
    RequestEnded,
    SendMessage,
    SendReply,
    StateChanged,
    WriteRecords,
)
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.storage.store import Store
from orchidferry.mesh.wire.messages import Message

TICK_S = 0.05  # interval between two regular ticks of a shard
MIN_TICK_S = 0.002  # minimum delay before an additional tick

OnEnded = Callable[[RequestEnded], None]


class ShardRunner:
    """Carries out the actions of one controller's shards.

    :ivar shards: the shards, by number.
    """

    def __init__(
        self,
        shards: dict[int, Shard],
        store: Store,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[str, Message], None],
        on_state_changed: Callable[[Shard, StateChanged], None],
    ) -> None:
        """Create a `ShardRunner`.

        :param shards: the shards, by number.
        :param store: the controller's store.
        :param loop: the event loop.
        :param send: sends a message to the controller with the given name, if there is a link to it.
        :param on_state_changed: called when a shard has learned a newer state.
        """
        self.shards = shards
        self._store = store
        self._loop = loop
        self._send = send
        self._on_state_changed = on_state_changed
        self._last_request = 0
        self._on_ended: dict[str, OnEnded] = {}  # by request id

    @property
    def configuration_shard(self) -> Shard:
        """The shard that holds the configuration."""
        return self.shards[shard_state.CONFIGURATION]

    def shard_of(self, key: str) -> Shard:
        """Return the shard of an operation key, or of a service whose name is given (for its retry quota)."""
        return self.shards[shard_state.shard_of(key)]

    def carry_out(self, shard: Shard, actions: list[Action]) -> None:
        """Carry out the actions of a shard in the given order."""
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action.to, action.message)
                case SendReply():
                    action.to.send(action.message)
                case WriteRecords():
                    self._write(shard, action)
                case StateChanged():
                    self._on_state_changed(shard, action)
                case RequestEnded():
                    on_ended = self._on_ended.pop(action.id, None)
                    if on_ended is not None:
                        on_ended(action)
                case Log():
                    logger.info("controller: shard {}: {}", shard.number, action.text)

    def _write(self, shard: Shard, write: WriteRecords) -> None:
        completion = write.completion
        if completion is None:
            return self._store.write(write.puts)

        def write_finished(ok: bool) -> None:
            self.carry_out(shard, shard.write_finished(completion, ok, self._loop.time()))

        self._store.write(write.puts, write_finished)
        return None

    def tick(self) -> None:
        """Tick each shard; schedule an additional tick for shards with work due before the next call."""
        for shard in self.shards.values():
            now = self._loop.time()
            self.carry_out(shard, shard.tick(now))
            wait_s = shard.due_s - now
            if wait_s < TICK_S:
                self._loop.call_later(max(MIN_TICK_S, wait_s), self._tick_if_due, shard)

    def _tick_if_due(self, shard: Shard) -> None:
        now = self._loop.time()
        if shard.due_s <= now:
            self.carry_out(shard, shard.tick(now))

    def change_configuration(self, change: shard_state.Change, timeout_s: float, on_ended: OnEnded) -> None:
        """Propose a change of the configuration shard's state.

        :param change: the change to propose.
        :param timeout_s: time within which the change must be decided, in seconds.
        :param on_ended: called exactly once, with the result.
        """
        request = self._register(on_ended)
        shard = self.configuration_shard
        self.carry_out(shard, shard.request_change(request, change, timeout_s, self._loop.time()))

    def read_configuration(self, on_ended: OnEnded) -> None:
        """Read the newest decided state of the configuration shard, confirmed by a majority.

        :param on_ended: called exactly once, with the result.
        """
        request = self._register(on_ended)
        shard = self.configuration_shard
        self.carry_out(shard, shard.request_read(request, self._loop.time()))

    def _register(self, on_ended: OnEnded) -> str:
        self._last_request += 1
        request = str(self._last_request)
        self._on_ended[request] = on_ended
        return request
