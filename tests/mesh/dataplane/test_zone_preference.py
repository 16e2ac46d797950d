"""The weight of servers in the node's own zone, depending on their queue length."""

from __future__ import annotations

import pytest

from orchidferry.mesh.dataplane.zone_preference import MIN_RISE_INTERVAL_MS, ZonePreference
from tests.mesh.fakes import Loop, patch_clock


def test_the_weight_falls_at_once_and_rises_again_after_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = Loop()
    patch_clock(monkeypatch, loop.now_ms)
    preference = ZonePreference()
    assert preference.weight == 4.0 and not preference.observe(0.0)
    assert preference.observe(1.0) and preference.weight == 2.0
    assert [preference.observe(1.0) for _ in range(3)] == [False, True, False] and preference.weight == 1.0
    for _ in range(200):
        assert not preference.observe(0.0)
    assert preference.weight == 1.0
    loop.pass_ms(MIN_RISE_INTERVAL_MS + 1.0)
    assert preference.observe(0.0) and preference.weight == 4.0
