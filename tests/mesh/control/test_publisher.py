"""A controller's leases and streams of updates."""

from __future__ import annotations

from typing import Any

from orchidferry.mesh.control.endpoints import LEASE_S, NodeRecord
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.wire.messages import (
    LeaseRenewal,
)
from tests.mesh.fakes import Loop


def test_an_isolated_controller_removes_dead_nodes() -> None:
    """Leases expire by the controller's own monotonic clock, even without contact with other controllers."""
    loop: Any = Loop()
    publisher = Publisher("k", "z", 7, loop, lambda: None)

    class Link:
        def send_encoded(self, data: bytes) -> None:
            """Discard the message."""

    link: Any = Link()
    dead, live = (NodeRecord(name, 1, 1, "z", "", 0, None) for name in ("dead", "live"))
    publisher.renew_lease(link, LeaseRenewal(1, "dead", 1, dead))
    for _ in range(round(LEASE_S / 0.5) + 1):
        publisher.renew_lease(link, LeaseRenewal(1, "live", 1, live))
        loop.pass_ms(500.0)
        publisher.tick()
    assert [record.name for record in publisher._members.records()] == ["live"]
