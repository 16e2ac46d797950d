"""The replies of a node itself: readiness, requests that it can't forward, and expired deadlines."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from orchidferry.mesh import program, role_settings
from orchidferry.mesh.control.configuration import Configuration, RouteTable
from orchidferry.mesh.control.control_api import control_request
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.dataplane.keyed_requests import KeyedRequests
from orchidferry.mesh.dataplane.proxy import Proxy
from orchidferry.mesh.settings import parse_settings
from orchidferry.node.reply import Reply
from tests.mesh.dataplane.test_service_client import ServiceHarness
from tests.mesh.examples import SETTINGS_TABLES as BOOT_TABLES
from tests.mesh.fakes import Loop, patch_clock, proxied_request, route


class Claims:
    """A control client whose claims no controller answers."""

    def __init__(self) -> None:
        self.claims = self

    def claim(self, key: str, holder: str, for_s: float, callback: Callable[[str, Any], None]) -> None:
        self.for_s = for_s
        self.callback = callback


class Harness:
    """A node with one service and three servers that accept requests and never answer."""

    def __init__(self, patch: pytest.MonkeyPatch, kind: str = "idempotent") -> None:
        self.service_harness = ServiceHarness(patch, route(kind, 1))
        self.loop = self.service_harness.loop
        patch_clock(patch, self.loop.now_ms)
        claims: Any = Claims()
        self.claims = claims
        proxy: Any = Proxy.__new__(Proxy)
        proxy._services = {"s": self.service_harness.service}
        proxy._drain_deadline_ms = math.inf
        proxy._draining = False
        proxy._configuration = Configuration(1)
        proxy._route_table = RouteTable([route(kind, 1)])
        proxy._control_client = self.claims
        proxy._keyed_requests = KeyedRequests(claims)
        self.proxy = proxy
        self.replies: list[tuple[float, Reply]] = []

    def ask(self, path: bytes = b"/x/1", remaining_ms: float = 9_000.0, key: bytes | None = None) -> Any:
        message = proxied_request()
        message.target = path
        message.budget_ms = remaining_ms
        message.key = key
        asked_ms = self.loop.now_ms()
        return self.proxy._accept(
            message, lambda reply: self.replies.append((self.loop.now_ms() - asked_ms, reply))
        )


@pytest.mark.parametrize("path", [b"/x/1", b"/none/"])
def test_a_node_without_a_configuration_is_unavailable(monkeypatch: pytest.MonkeyPatch, path: bytes) -> None:
    """401, 403 or 404 would be wrong, as a configuration that the node doesn't know may allow the request."""
    harness = Harness(monkeypatch)
    harness.proxy._configuration = None
    harness.ask(path)
    [(_, reply)] = harness.replies
    assert reply.status == 503 and reply.retry_after_s and not harness.service_harness.connections.sent


@pytest.mark.parametrize("kind", ["idempotent", "download", "non_idempotent"])
@pytest.mark.parametrize(("written", "status"), [(False, 503), (True, 504)])
def test_a_request_is_answered_within_the_guard_timer_of_its_route(
    monkeypatch: pytest.MonkeyPatch, kind: str, written: bool, status: int
) -> None:
    """The client would wait for longer, and the server never answers."""
    harness = Harness(monkeypatch, kind)
    harness.ask()
    [attempt] = harness.service_harness.open_attempts()
    if written:
        attempt.on_sent()
    attempt.extend_timeout(60.0)
    harness.loop.pass_ms(1_100.0)  # the guard timer of the route is 1,000 ms
    [(after_ms, reply)] = harness.replies
    assert after_ms <= 1_000.5 and reply.status == status


def test_a_keyed_request_whose_claim_times_out_is_refused_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness(monkeypatch, "keyed")
    harness.ask(key=b"k")
    assert 0.0 < harness.claims.for_s <= 0.4
    harness.claims.callback(ClaimOutcome.UNDECIDED, None)
    [(_, reply)] = harness.replies
    assert reply.status == 503 and not harness.service_harness.connections.sent


@pytest.mark.parametrize(
    ("configured", "initial_configuration", "served", "draining", "status"),
    [
        (True, True, True, False, 200),
        (False, True, True, False, 503),
        (True, False, True, False, 503),
        (True, True, False, False, 503),
        (True, True, True, True, 503),
    ],
)
def test_readiness(
    monkeypatch: pytest.MonkeyPatch,
    configured: bool,
    initial_configuration: bool,
    served: bool,
    draining: bool,
    status: int,
) -> None:
    """`draining`: from SIGTERM until the process ends."""
    harness = Harness(monkeypatch)
    if not configured:
        harness.proxy._configuration = None
    if not served:
        harness.service_harness.servers()
    harness.proxy._control_client = SimpleNamespace(has_initial_configuration=initial_configuration)
    harness.proxy._draining = draining
    replies: list[Reply] = []
    harness.proxy._readiness(control_request(b"GET", b"/orchidferry/readiness", {}, b""), "", replies.append)
    assert [reply.status for reply in replies] == [status]


def test_changed_settings_apply_to_controllers_and_the_service_name(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness(monkeypatch)
    seeds: list[tuple[str, ...]] = []
    harness.proxy._settings, harness.proxy._control_client = (
        parse_settings(BOOT_TABLES),
        SimpleNamespace(set_seeds=seeds.append),
    )
    harness.proxy.reload_settings(
        dataclasses.replace(parse_settings(BOOT_TABLES), service="other", seeds=("10.0.0.9",))
    )
    harness.ask()
    [attempt] = harness.service_harness.open_attempts()
    assert seeds == [("10.0.0.9",)] and b"Calling-Service: other\r\n" in attempt.head_bytes()


def test_a_changed_settings_file_is_read_without_a_signal(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Any
) -> None:
    """An invalid file changes nothing, and is read again when it changes."""
    seen: list[tuple[str, ...]] = []
    server: Any = SimpleNamespace(reload_settings=lambda settings: seen.append(settings.seeds))
    loop: Any = Loop()
    path = tmp_path / "local.toml"
    monkeypatch.setenv("ORCHIDFERRY_BOOT", str(path))
    monkeypatch.setattr(role_settings, "validate_role", lambda role, settings: None)
    path.write_text(BOOT % "10.0.0.2")
    program.watch_settings_file(loop, "proxy", server, program.settings_file_version())
    loop.pass_ms(10_000.0)
    assert seen == []
    for text, wanted in (
        (BOOT % "10.0.0.3", ["10.0.0.3"]),
        (BOOT[:-9], ["10.0.0.3"]),
        (BOOT % "10.0.0.4", ["10.0.0.3", "10.0.0.4"]),
    ):
        path.write_text(text)
        loop.pass_ms(1e3 * program.WATCH_INTERVAL_S)
        assert [seed for seeds in seen for seed in seeds] == wanted


BOOT = """
[own_node]
node_name = "n"
ip = "10.0.0.1"
zone = "z"
[network]
internal_ports = [7380]
[term_settings]
[platform_settings]
beat_interval_ms = 1500
[network.listen_points]
[own_node.limit_set]
[network.zones]
[term_settings.bound_set]
[unknown]
seed_nodes = 1
[more]
""".replace("internal_ports = [7380]", 'internal_ports = [7380]\nseed_nodes = ["%s:80"]')
