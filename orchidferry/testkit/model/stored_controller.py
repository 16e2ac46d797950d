"""A controller in virtual time that keeps its state in the production store, in a real directory."""

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

STORE_TIMEOUT_S = 10.0  # real time to wait for the store's thread


class StoreLoop:
    """The subset of an event loop that the store needs; its clock does not advance."""

    def __init__(self) -> None:
        self._calls: queue.SimpleQueue[Callable[[], object]] = queue.SimpleQueue()

    def time(self) -> float:
        """Return a constant time."""
        return 0.0

    def call_soon(self, call: Callable[..., object], *args: Any) -> None:
        """Queue a call for `step`."""
        self._calls.put(lambda: call(*args))

    call_soon_threadsafe = call_soon

    def call_later(self, delay_s: float, call: Callable[..., object], *args: Any) -> Any:
        """Return a timer that never fires."""
        return self

    def cancel(self) -> None:
        """Do nothing: timers never fire."""

    def step(self) -> None:
        """Wait for the next queued call and run it."""
        self._calls.get(timeout=STORE_TIMEOUT_S)()


class StoredController(Controller):
    """A controller that writes to a store synchronously, and checks it at each start as in production.

    :ivar directory: the data directory
    :ivar opening_s: real time that the last check and opening of the store took
    """

    def __init__(self, directory: Path, *args: Any) -> None:
        """Create a `StoredController`.

        :param directory: the data directory
        :param args: positional arguments of `Controller`
        """
        self.directory = directory
        self._loop: Any = StoreLoop()
        self._store: Store | None = None
        self.opening_s = 0.0
        self._open()
        super().__init__(*args)

    def _open(self) -> None:
        began_s = time.perf_counter()
        storage_check.prepare_store(str(self.directory))
        self._store = Store(str(self.directory), self._loop)
        self.opening_s = time.perf_counter() - began_s

    def write_to_disk(self, puts: list[RecordWrite]) -> None:
        """Write records to the store and wait until they are synced."""
        super().write_to_disk(puts)
        results: list[bool] = []
        assert self._store is not None
        self._store.write(puts, results.append)
        while not results:
            self._loop.step()
        assert results == [True]

    def start(self) -> None:
        """Start a new incarnation from the store's content."""
        self.close()
        self._open()
        assert self._store is not None
        self.disk = {
            (name, key): value for name in DATABASE_NAMES for key, value in self._store.read_all(name)
        }
        super().start()

    def wipe(self) -> None:
        """Start over with an empty directory and a new disk id."""
        self.close()
        shutil.rmtree(self.directory)
        self._open()
        super().wipe()

    def close(self) -> None:
        """Close the store."""
        if self._store is not None:
            self._store.close()
            self._store._env.close()
            self._store = None

    @property
    def file_bytes(self) -> int:
        """The size of the store's file."""
        return (self.directory / STORE_FILE).stat().st_size
