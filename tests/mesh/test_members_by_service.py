"""Each service of a node is told of its own servers alone, and knows what it knew when told of everybody."""

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


class Told(ServiceClient):
    """Counts what it is told."""

    lists = 0

    def update_servers(self, records: Mapping[str, NodeRecord]) -> None:
        self.lists += 1
        super().update_servers(records)


def known(client: ServiceClient) -> Any:
    """What a service knows of its servers, by their own ids."""
    table = client.endpoints
    endpoints = {
        endpoint.server_id: dataclasses.replace(endpoint, entry=dataclasses.replace(endpoint.entry, server=0))
        for endpoint in table._endpoints.values()
    }
    ready = {endpoint.server_id for endpoint in table._ready.values()}
    return ready, endpoints, client._retry_slack.retries()


def step(rng: random.Random, members: dict[str, NodeRecord], number: int) -> dict[str, NodeRecord]:
    """Some node comes, goes, restarts, or its server changes, also to another service."""
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
def test_grouped_lists_give_what_whole_lists_gave(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    rng = random.Random(seed)
    loop, connections = loop_and_connections()
    patch_clock(monkeypatch, loop.now_ms)
    settings = dataclasses.replace(parse_settings(SETTINGS_TABLES), application=("127.0.0.1", 1))
    proxy: Any = Proxy(settings, loop)
    numbers: dict[str, int] = {}
    plain, grouped = (
        {name: service_client(loop, connections, name, number, Told) for name in SERVICES}
        for number in (lambda id: numbers.setdefault(id, len(numbers)), proxy._server_number)
    )
    proxy._services = grouped
    routes: list[Route] = [route()]
    for client in (*plain.values(), *grouped.values()):
        client.set_routes(routes)
    members: dict[str, NodeRecord] = {}
    for number in range(60):
        members = step(rng, members, number)
        proxy._on_members(members)
        for client in plain.values():
            client.update_servers(members)
            client.set_node_count(len(members))
        loop.pass_ms(rng.choice((0.0, 50.0, 2_000.0)))
        assert [known(c) for c in grouped.values()] == [known(c) for c in plain.values()]
    assert sum(c.lists for c in grouped.values()) < sum(c.lists for c in plain.values())


def test_a_new_service_sets_one_timer_for_its_slack_however_many_nodes_join(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop, connections = loop_and_connections()
    patch_clock(monkeypatch, loop.now_ms)
    client = service_client(loop, connections)
    client.set_routes([route()])
    applied: list[float] = []
    apply = client._retry_slack._on_available

    def noted() -> None:
        applied.append(loop.time())
        apply()

    monkeypatch.setattr(client, "_apply_settings", noted)
    monkeypatch.setattr(client._retry_slack, "_on_available", noted)
    began, timers = loop.time(), len(loop._calls)
    for count in range(2, 700):
        client.set_node_count(count)
    assert len(loop._calls) == timers and not applied
    assert client._retry_slack.retries() == 0.0
    loop.pass_ms(Bounds().retry_window_s * 1e3 + 1.0)
    assert len(applied) == 1 and loop.time() > began
    assert client._retry_slack.retries() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 699))
    client.set_node_count(1_000)
    assert client._retry_slack.retries() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 1_000))
