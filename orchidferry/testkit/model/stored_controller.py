"""A controller's process in virtual time whose disk is the shipping store, in a folder."""

from __future__ import annotations

import queue
import shutil
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from orchidferry.mesh.storage import storage_check
from orchidferry.mesh.storage.environment import DATABASE_NAMES, STORE_FILE
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.storage.store import Store
from orchidferry.testkit.explore.controller import Controller

WAIT_S = 10.0  # of real time, for the store's thread


class StoreLoop:
    """As much of a loop as the store asks for; its clock stands still."""

    def __init__(self) -> None:
        self._calls: queue.SimpleQueue[Callable[[], object]] = queue.SimpleQueue()

    def time(self) -> float:
        """Now."""
        return 0.0

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """Have something called by `step`."""
        self._calls.put(lambda: call(*args))

    call_soon_threadsafe = call_soon

    def call_later(self, delay_s: float, call: Callable[..., object], *args: Any) -> Any:
        """Timers never run out here."""
        return self

    def cancel(self) -> None:
        """A timer's end."""

    def step(self) -> None:
        """Wait for the next call and make it."""
        self._calls.get(timeout=WAIT_S)()


class StoredController(Controller):
    """Writes go to the store at once; a new life looks through the folder as the program does."""

    def __init__(self, folder: Path, *args: Any) -> None:
        self.folder = folder
        self._loop: Any = StoreLoop()
        self._store: Store | None = None
        self.opened_s = 0.0  # real time of the last look through and opening
        self._open()
        super().__init__(*args)

    def _open(self) -> None:
        began = time.perf_counter()
        storage_check.prepare_store(str(self.folder))
        self._store = Store(str(self.folder), self._loop)
        self.opened_s = time.perf_counter() - began

    def write_to_disk(self, puts: list[RecordWrite]) -> None:
        """Have these in the store, synced."""
        super().write_to_disk(puts)
        told: list[bool] = []
        assert self._store is not None
        self._store.write(puts, told.append)
        while not told:
            self._loop.step()
        assert told == [True]

    def start(self) -> None:
        """A new life, with what the store has."""
        self.close()
        self._open()
        assert self._store is not None
        self.disk = {
            (name, key): value for name in DATABASE_NAMES for key, value in self._store.read_all(name)
        }
        super().start()

    def wipe(self) -> None:
        """An empty folder, with a new memory."""
        self.close()
        shutil.rmtree(self.folder)
        self._open()
        super().wipe()

    def close(self) -> None:
        """Let the folder go."""
        if self._store is not None:
            self._store.close()
            self._store._env.close()
            self._store = None

    @property
    def file_bytes(self) -> int:
        """The size of the store's file."""
        return (self.folder / STORE_FILE).stat().st_size
