"""SIGHUP while a process starts must not end it.

Failure: in a series of restarts and reloads, a proxy that had just been started exited with nothing in its
log. It got SIGHUP while it imported its modules, because its settings file had changed (`start` at 19.22 s,
`reloaded` at 19.47 s, `exit` at 19.52 s). The handler was installed only once the role was serving; until
then the default action of the signal ended the process. For a controller, that included the wait for its
store.
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
def test_a_process_that_gets_sighup_while_it_starts_continues(module: str, status: int) -> None:
    """The mesh then prints its help; the node reports that no configuration file is named."""
    command = [sys.executable, "-c", SIGNALLED_WHILE_IMPORTING.format(module=module)]
    if "mesh" in module:
        command.append("--help")
    ended = subprocess.run(command, capture_output=True, timeout=TIMEOUT_S, check=False, env={})
    assert ended.returncode == status, ended.stderr


class FakeLoop:
    """Stores the callbacks of signals."""

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
def test_an_early_signal_leads_to_one_reload_once_that_is_possible(early: int) -> None:
    reload_signal = ReloadSignal()
    for _ in range(early):
        signal.raise_signal(signal.SIGHUP)
    loop = FakeLoop()
    reloads: list[int] = []
    reload_signal.connect(loop, lambda: reloads.append(1))
    assert len(reloads) == min(early, 1)
    loop.callbacks[signal.SIGHUP]()
    assert len(reloads) == min(early, 1) + 1
