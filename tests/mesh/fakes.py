"""A loop whose time is moved by hand, lines that only note what is sent, and small examples."""

from __future__ import annotations

import heapq
import importlib
import pkgutil
from collections.abc import Callable
from typing import Any

import pytest

from orchidferry.mesh import dataplane
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.dataplane.messages import (
    ProxiedRequest,
    ServerResponse,
)
from orchidferry.node import upstream
from orchidferry.node.frontend import Reply
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import Attempt


class Timer:
    """A call of the loop."""

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class Loop:
    """As much of a loop as the code under test asks for."""

    def __init__(self) -> None:
        self.now_s, self._calls, self._number = 1_000.0, list[tuple[float, int, Timer]](), 0

    def time(self) -> float:
        return self.now_s

    def now_ms(self) -> float:
        return self.now_s * 1e3

    def call_at(self, due_s: float, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(lambda: call(*args))
        self._number += 1
        heapq.heappush(self._calls, (due_s, self._number, timer))
        return timer

    def call_later(self, delay_s: float, call: Callable[..., object], *args: Any) -> Timer:
        return self.call_at(self.now_s + delay_s, call, *args)

    def pass_ms(self, ms: float) -> None:
        """Let time pass, with all that is due in it."""
        until = self.now_s + ms / 1e3
        while self._calls and self._calls[0][0] <= until:
            due, _, timer = heapq.heappop(self._calls)
            self.now_s = max(self.now_s, due)
            if timer.call is not None:
                timer.call()
        self.now_s = until


class FakeLines:
    """Notes what is sent."""

    def __init__(self, alarms: Any) -> None:
        self.alarms, self.sent = alarms, list[Attempt]()

    def send(self, attempt: Attempt) -> None:
        attempt.set_timeout(self.alarms, attempt.timeout_ms / 1e3)
        self.sent.append(attempt)

    def server_removed(self, server: int) -> None:
        pass

    close_idle = server_removed


def rig() -> tuple[Any, Any, Any]:
    """A loop, its alarms and lines."""
    loop: Any = Loop()
    alarms = TimerQueue(loop)
    return loop, alarms, FakeLines(alarms)


def asked(id: str = "t1", **headers: bytes) -> ProxiedRequest:
    """A request with these headers."""
    named = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    return ProxiedRequest(
        b"GET", b"/x/", id, "", 1_000.0, None, False, None, None, b"", host=b"h", headers=named
    )


def said(status: int = 200, id: bytes | None = b"t1", seal: bool = True, **more: Any) -> ServerResponse:
    """A server's answer."""
    return ServerResponse(status, b"", None, None, seal=seal, id=id, **more)


def route(kind: str = "idempotent", attempts: int = 3, **more: Any) -> Route:
    """A route."""
    return Route("r", "h", "/x/", kind, 200.0, 0, 1_000.0, attempts, (("s", 1.0),), **more)


def header(reply: Reply, name: bytes) -> bytes | None:
    """One header of an answer."""
    return dict(reply.more).get(name)


def patch_clock(patch: pytest.MonkeyPatch, now_ms: Callable[[], float]) -> None:
    """Let the data plane and the connections below it read this clock."""
    names = [f"{dataplane.__name__}.{module.name}" for module in pkgutil.iter_modules(dataplane.__path__)]
    for module in (*map(importlib.import_module, names), upstream):
        if hasattr(module, "now_ms"):
            patch.setattr(module, "now_ms", now_ms)
