"""Each service client of a node gets only the servers of its own service, as if it got all of them."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from typing import Any

import pytest

from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.control.endpoints import (
    DRAINING,
    GONE,
    IN_SERVICE,
    NodeRecord,
    Server,
)
from orchidferry.mesh.dataplane.proxy import Proxy
from orchidferry.mesh.dataplane.service_client import ServiceClient
from orchidferry.mesh.settings import Bounds, parse_settings
from tests.mesh.examples import SETTINGS_TABLES
from tests.mesh.fakes import loop_and_connections, patch_clock, route, service_client

SERVICES = ("s", "t", "u")


class CountingClient(ServiceClient):
    """Counts the lists of servers that it gets."""

    lists = 0

    def update_servers(self, records: Mapping[str, NodeRecord]) -> None:
        self.lists += 1
        super().update_servers(records)


def known_servers(client: ServiceClient) -> Any:
    """Return the state that depends on the known servers, by server id."""
    table = client.endpoints
    endpoints = {
        endpoint.server_id: dataclasses.replace(endpoint, entry=dataclasses.replace(endpoint.entry, server=0))
        for endpoint in table._endpoints.values()
    }
    ready = {endpoint.server_id for endpoint in table._ready.values()}
    return ready, endpoints, client._retry_slack.retries()


def step(rng: random.Random, members: dict[str, NodeRecord], number: int) -> dict[str, NodeRecord]:
    """Add, remove or restart a random node, or change its server, also to another service."""
    after = dict(members)
    name = f"n{rng.randrange(12)}"
    if name in after and rng.random() < 0.3:
        del after[name]
        return after
    boot = rng.randrange(3)
    state = rng.choice((IN_SERVICE, IN_SERVICE, DRAINING, GONE))
    server = Server(f"{name}-{boot}", rng.choice(SERVICES), "z", state, 4, rng.choice((0.0, 3_000.0)))
    after[name] = NodeRecord(name, boot, number, "z", "127.0.0.1", 1, rng.choice((server, server, None)))
    return after


@pytest.mark.parametrize("seed", range(40))
def test_grouped_lists_give_the_result_of_complete_lists(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    rng = random.Random(seed)
    loop, connections = loop_and_connections()
    patch_clock(monkeypatch, loop.now_ms)
    settings = dataclasses.replace(parse_settings(SETTINGS_TABLES), application=("127.0.0.1", 1))
    proxy: Any = Proxy(settings, loop)
    numbers: dict[str, int] = {}
    complete, grouped = (
        {name: service_client(loop, connections, name, number, CountingClient) for name in SERVICES}
        for number in (lambda id: numbers.setdefault(id, len(numbers)), proxy._server_number)
    )
    proxy._services = grouped
    routes: list[Route] = [route()]
    for client in (*complete.values(), *grouped.values()):
        client.set_routes(routes)
    members: dict[str, NodeRecord] = {}
    for number in range(60):
        members = step(rng, members, number)
        proxy._on_members(members)
        for client in complete.values():
            client.update_servers(members)
            client.set_node_count(len(members))
        loop.pass_ms(rng.choice((0.0, 50.0, 2_000.0)))
        assert [known_servers(c) for c in grouped.values()] == [known_servers(c) for c in complete.values()]
    assert sum(c.lists for c in grouped.values()) < sum(c.lists for c in complete.values())


def test_a_new_service_sets_one_timer_for_its_retry_slack_however_many_nodes_join(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop, connections = loop_and_connections()
    patch_clock(monkeypatch, loop.now_ms)
    client = service_client(loop, connections)
    client.set_routes([route()])
    applied: list[float] = []
    apply = client._retry_slack._on_available

    def record_application() -> None:
        applied.append(loop.time())
        apply()

    monkeypatch.setattr(client, "_apply_settings", record_application)
    monkeypatch.setattr(client._retry_slack, "_on_available", record_application)
    started_s, timers = loop.time(), len(loop._calls)
    for count in range(2, 700):
        client.set_node_count(count)
    assert len(loop._calls) == timers and not applied
    assert client._retry_slack.retries() == 0.0
    loop.pass_ms(Bounds().retry_window_s * 1e3 + 1.0)
    assert len(applied) == 1 and loop.time() > started_s
    assert client._retry_slack.retries() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 699))
    client.set_node_count(1_000)
    assert client._retry_slack.retries() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 1_000))
