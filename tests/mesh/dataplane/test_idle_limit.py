"""The limit on the idle time of connections, from a server's header and from observations."""

from __future__ import annotations

import pytest

from orchidferry.mesh.dataplane.idle_limit import OBSERVATION_VALID_MS, IdleLimit


def test_the_loss_of_a_connection_after_a_short_idle_time_is_ignored() -> None:
    limit = IdleLimit(7_000.0, 500.0)
    limit.closed_after(10.0, 0.0)
    assert limit.allows(400.0, True, 0.0) and limit.allows(6_000.0, False, 0.0)


def test_the_shortest_observed_idle_time_counts_until_it_expires() -> None:
    limit = IdleLimit(7_000.0, 500.0)
    limit.closed_after(1_000.0, 0.0)
    limit.closed_after(2_000.0, 10.0)
    assert limit.allows(500.0, False, 11.0) and not limit.allows(501.0, False, 11.0)
    later_ms = 10.0 + OBSERVATION_VALID_MS
    assert limit.allows(7_000.0, False, later_ms)
    limit.closed_after(2_000.0, later_ms)
    assert limit.allows(1_000.0, False, later_ms) and not limit.allows(1_001.0, False, later_ms)


@pytest.mark.parametrize(
    ("header", "max_idle_ms"),
    [
        (b"timeout=4", 2_800.0),
        (b"max=9, Timeout=4", 2_800.0),
        (b"timeout=60", 7_000.0),
        (b"timeout=x", 7_000.0),
        (b"notimeout=4", 7_000.0),
    ],
)
def test_a_stated_timeout_lowers_the_limit(header: bytes, max_idle_ms: float) -> None:
    limit = IdleLimit(7_000.0, 500.0)
    limit.keep_alive_stated(header)
    assert limit.allows(max_idle_ms - 1.0, False, 0.0) and not limit.allows(max_idle_ms + 1.0, False, 0.0)
