"""The drain of a node: when it is published, how long requests are accepted, and when all are answered."""

from __future__ import annotations

import asyncio
import dataclasses
import selectors
from collections.abc import Coroutine
from typing import Any

import pytest

from orchidferry.mesh.dataplane import proxy as module
from orchidferry.mesh.dataplane.proxy import Proxy
from orchidferry.mesh.settings import Bounds, parse_settings
from tests.mesh.examples import SETTINGS_TABLES
from tests.mesh.fakes import patch_clock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time: waiting advances the time and takes none."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())
        self.now_s = 1_000.0
        select = self._selector.select  # type: ignore[attr-defined]

        def advance(timeout: float | None = None) -> Any:
            self.now_s += timeout or 0.0
            return select(0)

        self._selector.select = advance  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now_s


class FakeListener:
    """A listener whose callers all disconnect at `disconnect_s`; it records when it is closed."""

    def __init__(self, loop: VirtualTimeLoop, disconnect_s: float) -> None:
        self.loop = loop
        self.disconnect_s = disconnect_s
        self.closing_s = -1.0
        self.refusing_s = -1.0
        self.reported_s = -1.0

    def count(self) -> int:
        return int(self.loop.now_s < self.disconnect_s)

    async def wait_closed(self) -> None:
        await asyncio.sleep(max(0.0, self.disconnect_s - self.loop.now_s))

    def close_listener(self) -> None:
        self.refusing_s = self.loop.now_s

    def report_open_connections(self) -> None:
        self.reported_s = self.loop.now_s

    async def close_gracefully(self) -> None:
        self.closing_s = self.loop.now_s
        await self.wait_closed()


def run_and_close(loop: VirtualTimeLoop, work: Coroutine[Any, Any, None]) -> None:
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()


@pytest.mark.parametrize("grace_s", [2.0, 6.0, 30.0])
@pytest.mark.parametrize("stay_s", [0.1, 1.0, 5.0, 1e6])  # how long callers stay connected
def test_a_node_drains_within_its_grace_time(
    monkeypatch: pytest.MonkeyPatch, grace_s: float, stay_s: float
) -> None:
    """It publishes the drain at once, still accepts requests until callers know of it, and ends in time."""
    loop = VirtualTimeLoop()
    patch_clock(monkeypatch, lambda: loop.now_s * 1e3)

    async def main() -> None:
        node = ("127.0.0.1", 1)
        point = {"inbound": ("127.0.0.1", 2)}
        boot = dataclasses.replace(
            parse_settings(SETTINGS_TABLES), application=node, listen=point, bounds=Bounds(grace_s=grace_s)
        )
        proxy: Any = Proxy(boot, loop)
        began = loop.now_s
        outbound, inbound = FakeListener(loop, began + stay_s), FakeListener(loop, began + stay_s)
        proxy._outbound = outbound
        proxy._inbound = inbound
        published_s: list[float] = []
        proxy._publish = lambda: published_s.append(loop.now_s)
        stop = loop.create_task(proxy._stop())
        await asyncio.sleep(0.01)
        assert (
            proxy._draining and published_s == [began] and not proxy._gate.draining and outbound.closing_s < 0
        )
        # The deadline of requests accepted from now on is before the end, but not before its last sixth.
        margin_s = min(module.STOP_MARGIN_S, grace_s / 12.0)
        last_sixth_s = began + grace_s * 5.0 / 6.0
        assert last_sixth_s - 0.01 <= proxy._drain_deadline_ms / 1e3 <= began + grace_s - margin_s
        await stop
        assert proxy._gate.draining and loop.now_s <= began + grace_s - margin_s + 0.01
        assert outbound.closing_s - began >= min(stay_s, module.STOP_ACCEPTING_S, grace_s / 2.0) - 0.01
        # The gate's connections are closed last, so that none is closed while a request is in transit.
        outbound_closed_s = max(outbound.closing_s, min(began + stay_s, began + grace_s))
        if stay_s < grace_s - margin_s:
            assert inbound.closing_s == pytest.approx(outbound_closed_s, abs=0.01)
        assert (outbound.refusing_s, inbound.refusing_s) == (outbound.closing_s, inbound.closing_s)
        if stay_s < grace_s - margin_s:
            assert loop.now_s - began < max(stay_s, module.STOP_ADMITTING_S) + 0.02
        # Connections that are still open when the process ends are reported.
        cut = stay_s > grace_s - margin_s
        assert (outbound.reported_s >= began, inbound.reported_s >= began) == (cut, cut)

    run_and_close(loop, main())
