"""Each service of a node is told of its own servers alone, and knows what it knew when told of everybody."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import pytest

from mesh.control.configuration import Route
from mesh.control.endpoints import DRAINING, GONE, IN_SERVICE, Record, Server
from mesh.dataplane import service_client as module
from mesh.dataplane.proxy import Proxy
from mesh.dataplane.service_client import ServiceClient
from mesh.settings import Bounds, check_settings
from tests.mesh.fakes import rig, route
from tests.mesh.test_records import BOOT

SERVICES = ("s", "t", "u")


class Told(ServiceClient):
    """Counts what it is told."""

    lists = 0

    def servers(self, records: dict[str, Record]) -> None:
        self.lists += 1
        super().servers(records)


def known(client: ServiceClient) -> Any:
    """What a service knows of its servers, by their own ids."""
    ids = {number: id for number, (id, _) in client._targets.items()}
    entries = {ids[n]: dataclasses.replace(entry, server=0) for n, entry in client._entries.items()}
    return {ids[n] for n in client._ready}, entries, sorted(client._targets.values()), client._slack()


def step(rng: random.Random, members: dict[str, Record], number: int) -> dict[str, Record]:
    """Some node comes, goes, restarts, or its server changes, also to another service."""
    after, name = dict(members), f"n{rng.randrange(12)}"
    if name in after and rng.random() < 0.3:
        del after[name]
        return after
    boot = rng.randrange(3)
    state = rng.choice((IN_SERVICE, IN_SERVICE, DRAINING, GONE))
    server = Server(f"{name}-{boot}", rng.choice(SERVICES), "z", state, 4, rng.choice((0.0, 3_000.0)))
    after[name] = Record(name, boot, number, "z", "127.0.0.1", 1, rng.choice((server, server, None)))
    return after


@pytest.mark.parametrize("seed", range(40))
def test_grouped_lists_give_what_whole_lists_gave(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    rng = random.Random(seed)
    loop, alarms, lines = rig()
    monkeypatch.setattr(module, "now_ms", loop.now_ms)
    settings = dataclasses.replace(check_settings(BOOT), application=("127.0.0.1", 1))
    proxy: Any = Proxy(settings, loop)
    numbers: dict[str, int] = {}
    plain, grouped = (
        {name: Told(name, "me", "z", Bounds(), loop, alarms, lines, number) for name in SERVICES}
        for number in (lambda id: numbers.setdefault(id, len(numbers)), proxy._number)
    )
    proxy._services = grouped
    routes: list[Route] = [route()]
    for client in (*plain.values(), *grouped.values()):
        client.configure(routes)
    members: dict[str, Record] = {}
    for number in range(60):
        members = step(rng, members, number)
        proxy._on_members(members)
        for client in plain.values():
            client.servers(members)
            client.members(len(members))
        loop.pass_ms(rng.choice((0.0, 50.0, 2_000.0)))
        assert [known(c) for c in grouped.values()] == [known(c) for c in plain.values()]
    assert sum(c.lists for c in grouped.values()) < sum(c.lists for c in plain.values())


def test_a_new_service_sets_one_timer_for_its_slack_however_many_nodes_join(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    loop, alarms, lines = rig()
    monkeypatch.setattr(module, "now_ms", loop.now_ms)
    client = ServiceClient("s", "me", "z", Bounds(), loop, alarms, lines, int)
    client.configure([route()])
    settled: list[float] = []
    settle = client._settle

    def noted() -> None:
        settled.append(loop.time())
        settle()

    monkeypatch.setattr(client, "_settle", noted)
    began, timers = loop.time(), len(loop._calls)
    for count in range(2, 700):
        client.members(count)
    assert len(loop._calls) == timers and not settled
    assert client._slack() == 0.0
    loop.pass_ms(Bounds().retry_window_s * 1e3 + 1.0)
    assert len(settled) == 1 and loop.time() > began
    assert client._slack() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 699))
    client.members(1_000)
    assert client._slack() == pytest.approx(0.4 * Bounds().retry_slack / (1.5 * 1_000))
