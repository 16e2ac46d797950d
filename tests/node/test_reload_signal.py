"""SIGHUP while a process starts.

Symptom: in a series of restarts and reloads a proxy that had just been started ended by itself, with nothing
in its log.

Sequence: the proxy is started. While it imports its modules it gets SIGHUP, as its settings file has changed.

Cause: the signal was handled from when the role served. Until then its default action ended the process; for
a controller that waits for its store, for as long as that took.

What settled it: the record of the run, with `start` at 19.22 s, `reloaded` at 19.47 s and `exit` at 19.52 s.
"""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable, Iterator

import pytest

from orchidferry.node.reload_signal import ReloadSignal

TIMEOUT_S = 30.0
SIGNALLED_WHILE_IMPORTING = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
from {module} import main
sys.exit(main())
"""


@pytest.mark.parametrize(
    ("module", "status"), [("orchidferry.mesh.__main__", 0), ("orchidferry.__main__", 2)]
)
def test_a_process_that_is_told_to_reload_while_it_starts_goes_on(module: str, status: int) -> None:
    """The mesh prints its help; the node in service says that it has no configuration file."""
    command = [sys.executable, "-c", SIGNALLED_WHILE_IMPORTING.format(module=module)]
    if "mesh" in module:
        command.append("--help")
    ended = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=False, env={})
    assert ended.returncode == status, ended.stderr


class FakeLoop:
    """Keeps the callback of a signal."""

    def __init__(self) -> None:
        self.callbacks: dict[int, Callable[[], object]] = {}

    def add_signal_handler(self, sig: int, callback: Callable[[], object]) -> None:
        self.callbacks[sig] = callback


@pytest.fixture
def _restored() -> Iterator[None]:
    before = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.usefixtures("_restored")
@pytest.mark.parametrize("early", [0, 1, 3])
def test_a_signal_that_came_too_early_is_served_once_it_can_be(early: int) -> None:
    reload_signal = ReloadSignal()
    for _ in range(early):
        signal.raise_signal(signal.SIGHUP)
    loop = FakeLoop()
    reloads: list[int] = []
    reload_signal.connect(loop, lambda: reloads.append(1))
    assert len(reloads) == min(early, 1)
    loop.callbacks[signal.SIGHUP]()
    assert len(reloads) == min(early, 1) + 1
