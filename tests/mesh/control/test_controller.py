"""How a controller ends."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from orchidferry.mesh.control import controller as module
from orchidferry.mesh.control.controller import Controller
from orchidferry.mesh.settings import Bounds
from tests.mesh.dataplane.test_proxy_stop import Clock, played


@pytest.mark.parametrize(("needed_s", "ends_s"), [(0.0, 1.0), (2.5, 2.5), (1e6, 5.0)])
def test_a_stopping_controller_stays_as_long_as_it_is_needed(
    monkeypatch: Any, needed_s: float, ends_s: float
) -> None:
    """1 s at least, 1 s before the platform's kill at most, and between as long as it is needed."""
    loop = Clock()
    began_s = loop.now_s

    class Needed:
        def must_stay(self, now: float) -> bool:
            return now < began_s + needed_s

    async def turn(self: Any, stopping: asyncio.Event, until_s: float) -> None:
        await asyncio.sleep(until_s - loop.time())

    monkeypatch.setattr(module.Controller, "_run_until", turn)
    leaving: Any = Controller.__new__(Controller)
    leaving._loop, leaving._shards = loop, {1: Needed()}
    leaving._settings = type("Settings", (), {"bounds": Bounds(grace_s=6.0)})
    played(loop, leaving._hand_over())
    assert loop.now_s - began_s == pytest.approx(ends_s, abs=0.12)
