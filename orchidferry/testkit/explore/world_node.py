"""The node of a world: its configuration, and stand-ins for time, polling and randomness."""

from __future__ import annotations

import logging
import random
import time
from typing import Any

import orchidferry.node.clock
import orchidferry.node.unread_input
from orchidferry.balancing import interface as api
from orchidferry.node.address import parse_address
from orchidferry.node.config import Config
from orchidferry.node.node import MARGIN_MS
from orchidferry.node.server_listing import read_listing
from orchidferry.testkit.explore.loop import FakePoll, VirtualTimeLoop
from orchidferry.testkit.explore.world_size import WorldSize

DISCOVERY = ("10.9.9.9", 1)
LISTEN = ("10.0.0.1", 80)
LATENCY_TARGET_MS = 200.0
DEADLINE_MS = 1_000.0
RESEND_WINDOW_MS = 300.0
CONNECT_TIMEOUT_MS = 100.0
PATCHED = ((orchidferry.node.clock, "time"), (orchidferry.node.unread_input, "select"))
KINDS = {"read": api.Repeat.SAFE, "pay": api.Repeat.UNSAFE, "save": api.Repeat.KEYED}


class FixedRandom(random.Random):
    """A random generator that always returns 0.5: jitter is not explored."""

    def random(self) -> float:
        """Always 0.5."""
        return 0.5


class ErrorLines(logging.Handler):
    """A log handler that collects records of errors and of missed deadlines."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Collect a record that reports an error or a missed deadline."""
        if record.levelno >= logging.ERROR or "deadline" in record.getMessage():
            error = record.exc_info[1] if record.exc_info else None
            self.lines.append(record.getMessage() + (f": {error!r}" if error else ""))


class FakeTime:
    """Stands in for the module `time` in `orchidferry.node.clock`."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.now

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.now

    def __getattr__(self, name: str) -> Any:
        return getattr(time, name)


class FakeSelect:
    """Stands in for the module `select` in `orchidferry.node.unread_input`."""

    POLLIN = 1

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def poll(self) -> FakePoll:
        """Return a poll object for the loop's connections."""
        return FakePoll(self._loop)


def no_retries(now: float) -> float:
    """Return 0.0, in place of the delay controller's retry probability."""
    return 0.0


def server_entry(server: int) -> dict[str, Any]:
    """Return a server's entry in discovery's list."""
    return {
        "name": f"s{server}",
        "address": f"10.1.0.{server}:80",
        "zone": f"z{server % 2}",
        "type": "k",
        "group": server % 2,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }


def node_config(size: WorldSize) -> Config:
    """Return the node's configuration, which lists all servers from the start."""
    classes = [
        api.RequestClass(
            name,
            LATENCY_TARGET_MS,
            DEADLINE_MS,
            1.0,
            0.2,
            repeat,
            api.Group.CELL if repeat is api.Repeat.KEYED else api.Group.ALL,
            RESEND_WINDOW_MS,
        )
        for name, repeat in KINDS.items()
    ]
    settings = api.Settings(
        classes,
        max_attempts=size.attempts,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        keepalive_ms=30_000.0,
        can_cancel=True,
        drain_grace_ms=0.0,
        start_capacity=0.3,
        ramp_time_ms=8_000.0,
        overload_factor=3.0,
        overload_for_ms=1_000.0,
        answer_slack_ms=MARGIN_MS,
    )
    entries = [server_entry(n) for n in range(size.servers)]
    for entry in entries[size.servers - size.cold :]:
        entry["since_ms"] = 1_000_000
    known = read_listing({"index": 1, "snapshot": True, "endpoints": entries})
    return Config("n0", parse_address("10.0.0.1:80"), DISCOVERY, 7, 1024, 64.0, known, settings)
