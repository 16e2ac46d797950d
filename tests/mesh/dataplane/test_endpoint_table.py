"""The servers of a service: their published entries, their weights, and the closing of connections."""

from __future__ import annotations

from typing import Any

import pytest

from orchidferry.balancing import interface as api
from orchidferry.mesh.control.endpoints import DRAINING, GONE, IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.endpoint_table import EndpointTable
from tests.mesh.fakes import Loop, patch_clock


class Connections:
    """A connection pool that records which connections it is asked to close."""

    def __init__(self) -> None:
        self.closed: list[tuple[str, int]] = []

    def close_idle(self, server: int) -> None:
        self.closed.append(("idle", server))

    def server_removed(self, server: int) -> None:
        self.closed.append(("removed", server))


class Harness:
    """The endpoint table of the service `s` on a node in the zone `z`."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        loop: Any = Loop()
        self.loop = loop
        patch_clock(patch, self.loop.now_ms)
        connections: Any = Connections()
        self.connections = connections
        self.published: list[api.ServerEntry] = []
        self.table = EndpointTable("s", "z", int, loop, connections, self.published.extend)

    def update(self, *servers: Server, boot: int = 1) -> list[tuple[int, api.Health, float]]:
        """List these servers; return the entries that are published."""
        self.published.clear()
        self.table.update({s.id: NodeRecord(s.id, boot, 1, s.zone, "127.0.0.1", 1, s) for s in servers})
        return [(entry.server, entry.health, entry.share) for entry in self.published]


def server(
    id: str, state: str = IN_SERVICE, zone: str = "z", service: str = "s", warmup_left_ms: float = 0.0
) -> Server:
    """Return a server with four slots."""
    return Server(id, service, zone, state, 4, warmup_left_ms)


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(monkeypatch)


def test_only_changes_are_published(harness: Harness) -> None:
    first = harness.update(server("1"), server("2", zone="y"), server("3", service="t"), server("4", GONE))
    assert first == [(1, api.Health.IN_SERVICE, 4.0), (2, api.Health.IN_SERVICE, 1.0)]
    assert harness.update(server("1"), server("2", zone="y")) == []
    assert harness.update(server("1", DRAINING)) == [
        (1, api.Health.DRAINING, 4.0),
        (2, api.Health.GONE, 1.0),
    ]
    assert not harness.table.is_ready(1) and harness.table.ready_count == 0
    assert harness.connections.closed == [("removed", 2)]


def test_idle_connections_to_a_restarted_gate_are_closed(harness: Harness) -> None:
    harness.update(server("1"), boot=1)
    harness.update(server("1"), boot=1)
    assert harness.connections.closed == []
    assert harness.update(server("1"), boot=2) == [] and harness.connections.closed == [("idle", 1)]
    endpoint = harness.table.ready_endpoint(1)
    assert endpoint is not None and endpoint.gate_boot_id == 2


def test_a_server_has_half_of_its_weight_during_its_warm_up(harness: Harness) -> None:
    assert harness.update(server("1", warmup_left_ms=100.0)) == [(1, api.Health.IN_SERVICE, 2.0)]
    harness.loop.pass_ms(105.0)
    assert [entry.share for entry in harness.published] == [2.0]
    harness.loop.pass_ms(10.0)
    assert [entry.share for entry in harness.published] == [2.0, 4.0]
    endpoint = harness.table.ready_endpoint(1)
    assert endpoint is not None and endpoint.entry.share == 4.0


def test_servers_of_the_same_zone_lose_weight_when_requests_queue_there(harness: Harness) -> None:
    harness.update(server("1"), server("2", zone="y"))
    harness.table.observe_queue(2, 9.0)  # in another zone
    harness.table.observe_queue(7, 9.0)  # not listed
    assert len(harness.published) == 2
    harness.table.observe_queue(1, 9.0)
    assert [(entry.server, entry.share) for entry in harness.published[2:]] == [(1, 1.0)]
