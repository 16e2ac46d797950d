"""The channel to a control service, over gRPC on loopback.

Versions, refusals, streams that end, floods of versions, and malformed messages.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any as AnyMessage

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Part
from orchidferry.balancing.version_events import Answer
from orchidferry.node.config import ConfigError
from orchidferry.node.control import channel as channel_module
from orchidferry.node.control.channel import MAX_BACK_OFF_S, Channel, Resources, back_off_s
from orchidferry.node.control.helper import open_store
from orchidferry.node.control.messages import (
    EDS,
    ResourceDecodeError,
    node_message,
    pool_message,
    read_node,
    read_pool,
)
from orchidferry.node.control.settings import read_control
from orchidferry.node.server_listing import server_id
from orchidferry.testkit.control.service import Service
from orchidferry.testkit.quic import certs
from tests.node.control.harness import (
    POOL,
    RecordingAgent,
    endpoint,
    members,
    node,
    reasons,
    run,
    service_and_agents,
)
from tests.node.peers import LIMIT_S, until


@pytest.fixture(autouse=True)
def short_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "BACK_OFF_S", 0.02)
    monkeypatch.setattr(channel_module, "MAX_BACK_OFF_S", 0.1)


def test_a_version_is_applied_and_acknowledged_by_every_node() -> None:
    async def test() -> None:
        async with service_and_agents({}, {}, {}) as (service, agents):
            service.push("v1", members(1, 2, 3), node(permissions={"max_attempts": 2}))
            await until(
                lambda: all(a.applied_version() == "v1" == a.applied_version(Part.SETTINGS) for a in agents)
            )
            for agent in agents:
                assert [m.entry.server for m in agent.servers()] == [server_id(f"s{n}") for n in (1, 2, 3)]
                assert agent.servers()[0].address == ("127.0.0.1", 9001)
                assert agent.applied[-1].node.settings.max_attempts == 2
            await until(lambda: len(reasons(service, "v1")) == 6)
            assert set(reasons(service, "v1")) == {""}

    run(test())


def response_with(**fields: Any) -> Any:
    """Return a response of the pool's type with one resource, an `Any` message with these fields."""
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="bad")
    response.resources.add(name=POOL, version="bad", resource=AnyMessage(**fields))
    return response


# By name of the fault: a change for `Service.push` or a response, and text in the reason of the refusal.
BAD_VERSIONS: dict[str, tuple[Any, str]] = {
    "no live server": (members(1, 2, status="leaving"), "names no live server"),
    "looser rule": (node(rules={"stop_sending_within_ms": 90_000.0}), "drain_grace_ms: 90000 is looser"),
    "unknown pool": (node("nowhere"), "'nowhere' is none of catalogo"),
    "missing setting": (
        (Part.SETTINGS, "entrada", node_message("entrada", POOL, {"classes": []})),
        "is missing",
    ),
    "wrong name": ((Part.MEMBERS, POOL, pool_message("other", [endpoint(1)])), "cluster_name is 'other'"),
    "no port": (members(1, address="127.0.0.1:0"), "endpoints[0].lb_endpoints[0]: no address"),
    "pool removed": ((Part.MEMBERS, POOL, None), "is none of no pools"),
    "no settings": ((Part.SETTINGS, "entrada", None), "no settings"),
    "wrong type": (response_with(type_url="x", value=b""), "is a 'x', not a"),
    "random bytes": (response_with(type_url=EDS, value=b"\xff\xff\xff"), "can't be parsed"),
}


@pytest.mark.parametrize(("bad", "expected"), BAD_VERSIONS.values(), ids=BAD_VERSIONS.keys())
def test_every_node_refuses_a_bad_version_with_a_reason_and_applies_the_next_good_one(
    bad: Any, expected: str
) -> None:
    async def test() -> None:
        async with service_and_agents({}, {}) as (service, agents):
            if isinstance(bad, tuple):
                service.push("bad", bad)
            else:
                for stream in service.streams:
                    service.send_raw(
                        stream, discovery_pb2.DeltaDiscoveryResponse.FromString(bad.SerializeToString())
                    )
            await until(lambda: len(reasons(service, "bad")) == 2)
            assert all(expected in reason for reason in reasons(service, "bad")), reasons(service, "bad")
            for agent in agents:
                assert len(agent.applied) <= 2 and (
                    agent.applied_version(),
                    agent.applied_version(Part.SETTINGS),
                ) == ("v0", "v0")
                [refused] = agent.status()["refused"]
                assert refused["version"] == "bad" and expected in refused["reason"]
            service.push("v2", members(4), node())
            await until(
                lambda: all(a.applied_version() == "v2" == a.applied_version(Part.SETTINGS) for a in agents)
            )

    run(test())


def test_a_reopened_stream_names_the_applied_versions_and_gets_only_changed_resources() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            for n in range(1, 4):
                opened = service.streams_opened
                service.end_streams()
                await until(lambda opened=opened: service.streams_opened > opened and agent.channel.up)  # type: ignore[misc]
                service.push(f"v{n}", members(n, n + 1))
                await until(lambda n=n: agent.applied_version() == f"v{n}")  # type: ignore[misc]
                assert service.streams[0].initial_versions[EDS] == {POOL: f"v{n - 1}"}
            assert agent.applied_version(Part.SETTINGS) == "v0"
            # The settings are sent only once.
            assert len([answer for answer in service.answers if "Extension" in answer.type_url]) == 1
            assert len(agent.applied) == 5 or len(agent.applied) == 4  # the first two may be applied as one

    run(test())


def test_losing_the_service_changes_nothing_and_it_may_return_empty_or_with_an_older_version() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            service.push("v1", members(1, 2, 3))
            await until(lambda: agent.applied_version() == "v1")
            await service.stop()
            await until(lambda: not agent.channel.up)
            applied = len(agent.applied)
            assert agent.drained == []
            empty = Service()
            empty.address = service.address
            await empty.start()  # the service restarts and has lost its resources
            await until(lambda: empty.streams_opened == 1)
            empty.push("e1")  # there are no resources to send
            await empty.stop()
            assert len(agent.applied) == applied and agent.applied_version() == "v1"
            service.push("v0", members(1, 2))
            await service.start()
            await until(lambda: agent.applied_version() == "v0")
            assert len(agent.servers()) == 2

    run(test())


def test_a_repeated_nonce_is_answered_once() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="v1")
            response.resources.add(name=POOL, version="v1", resource=members(5)[2])
            stream = service.streams[0]
            for _ in range(3):
                copy = discovery_pb2.DeltaDiscoveryResponse()
                copy.CopyFrom(response)
                service.send_raw(stream, copy, nonce="same")
            service.push("v2", members(6))
            await until(lambda: agent.applied_version() == "v2")
            assert [answer.nonce for answer in service.answers].count("same") == 1
            assert agent.versions.counts["offered"] == 4

    run(test())


def test_of_a_thousand_versions_at_once_the_last_is_applied_and_all_are_answered() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            for n in range(1000):
                service.push(f"f{n}", members(n % 40, 50))
            await until(lambda: agent.applied_version() == "f999")
            assert len(agent.applied) < 40
            await until(lambda: len([a for a in service.answers if a.label[:1] == "f"]) == 1000)
            assert not [a for a in service.answers if a.reason]
            assert not any(agent.channel.resources._unanswered.values())

    run(test())


def test_a_drain_in_a_deferred_version_takes_effect_at_once() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            for n in range(12):
                service.push(f"f{n}", members(1, 2, 10 + n))
            service.push("last", members(1))
            await until(lambda: server_id("s2") in agent.drained)
            assert agent.applied_version() != "last"
            await until(lambda: agent.applied_version() == "last")

    run(test())


def test_a_version_that_the_node_fails_to_apply_is_refused() -> None:
    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            agent.problem = "no room"
            service.push("v1", members(3))
            await until(lambda: reasons(service, "v1") == ["it could not be applied: no room"])
            agent.problem = ""
            service.push("v2", members(4))
            await until(lambda: agent.applied_version() == "v2")

    run(test())


# The start of a node


def test_a_start_without_the_service_applies_the_last_good_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        async with service_and_agents({"state": tmp_path}) as (service, [agent]):
            service.push("v1", members(7, 8))
            await until(lambda: agent.applied_version() == "v1")
            await agent.close()
            await service.stop()
            restarted = RecordingAgent(service, "n0", tmp_path, first_wait_s=0.2)
            restarted.start()
            await until(lambda: restarted.applied_version() == "v1")
            assert restarted.status()["source"] == "the last good one on disk"
            assert [m.entry.server for m in restarted.servers()] == [server_id("s7"), server_id("s8")]
            service.push("v2", members(9))
            await service.start()
            await until(
                lambda: (
                    restarted.applied_version() == "v2"
                    and restarted.status()["source"] == "the control service"
                )
            )
            await restarted.close()

    run(test())


def test_a_node_runs_without_a_state_directory_that_is_locked_or_unusable(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        (tmp_path / "file").write_text("")
        first = await open_store(tmp_path / "a", 0.0)
        assert first is not None
        assert await open_store(tmp_path / "a", 0.0) is None
        assert await open_store(tmp_path / "file", 0.0) is None
        assert await open_store(None) is None
        assert [r.getMessage().partition(": ")[0] for r in caplog.records] == [
            "the last good configuration is not kept"
        ] * 2
        waiting = asyncio.ensure_future(open_store(tmp_path / "a", LIMIT_S))
        await asyncio.sleep(0)
        first.close()  # the helper of a killed node unlocks the directory only after the next one has started
        second = await waiting
        assert second is not None
        second.close()

    run(test())


def test_tls_requires_a_client_certificate(tmp_path: Path) -> None:
    files = certs.make(tmp_path, "localhost")
    credentials = grpc.ssl_server_credentials(
        [(files.key.read_bytes(), files.certificate.read_bytes())], files.ca.read_bytes(), True
    )

    async def test() -> None:
        service = Service()
        service.push("v1", members(1), node())
        await service.start(credentials)
        service.address = ("localhost", service.address[1])
        trusted = RecordingAgent(
            service, "n0", None, ca=files.ca, certificate=files.certificate, key=files.key
        )
        no_certificate = RecordingAgent(service, "n1", None, ca=files.ca)
        no_tls = RecordingAgent(service, "n2", None)
        for agent in (trusted, no_certificate, no_tls):
            agent.start()
        await until(lambda: trusted.applied_version() == "v1")
        await until(lambda: no_certificate.channel.failures > 2 and no_tls.channel.failures > 2)
        assert not no_certificate.applied and not no_tls.applied
        assert {stream.node for stream in service.streams} == {"n0"}
        for agent in (trusted, no_certificate, no_tls):
            await agent.close()
        await service.stop()
        with pytest.raises(ConfigError, match="no-such"):
            RecordingAgent(service, "n3", None, ca=tmp_path / "no-such.pem")

    run(test())


# Malformed messages


def test_malformed_messages_never_end_the_channel() -> None:
    """After random, truncated and oversized messages, the next good version is still applied."""

    async def test() -> None:
        async with service_and_agents({}) as (service, [agent]):
            rng = random.Random(7)
            good = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="fuzz")
            good.resources.add(name=POOL, version="fuzz", resource=members(*range(1, 30))[2])
            encoded = good.SerializeToString()
            sent = 0
            for _ in range(300):
                data = bytearray(encoded)
                if rng.random() < 0.3:
                    del data[rng.randrange(len(data)) :]
                for _ in range(rng.randrange(1, 8)):
                    if data:
                        data[rng.randrange(len(data))] = rng.randrange(256)
                try:
                    response = discovery_pb2.DeltaDiscoveryResponse.FromString(bytes(data))
                except Exception:  # gRPC would not accept such a message
                    continue
                await until(lambda: bool(service.streams))
                sent += 1
                service.send_raw(service.streams[0], response)
            assert sent > 50
            huge = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS)
            huge.resources.add(name="x" * (channel_module.MAX_MESSAGE + 1), version="huge")
            await until(lambda: bool(service.streams))
            stream = service.streams[0]
            opened = service.streams_opened
            service.send_raw(stream, huge)
            await until(lambda: service.streams_opened > opened)  # the stream failed and was opened again
            service.push("after", members(3), node())
            await until(lambda: agent.applied_version() == "after" == agent.applied_version(Part.SETTINGS))
            assert [m.entry.server for m in agent.servers()] == [server_id("s3")]

    run(test())


def test_too_many_unanswered_responses_end_the_stream() -> None:
    resources = Resources()
    for n in range(channel_module.MAX_UNANSWERED):
        resources.receive(Part.MEMBERS, discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, nonce=f"{n}"))
    with pytest.raises(ResourceDecodeError, match="1024 responses unanswered"):
        resources.receive(Part.MEMBERS, discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, nonce="more"))


def test_too_many_resources_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "MAX_RESOURCES", 1)
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, nonce="1")
    for name in "ab":
        response.resources.add(name=name, version="1", resource=pool_message(name, []))
    offer = Resources().receive(Part.MEMBERS, response)
    assert offer is not None and offer.problem == "2 resources, 1 at most"


def receive_pools(resources: Resources, nonce: str, *names: str) -> None:
    """Take a response with the pools of these names."""
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, nonce=nonce)
    for name in names:
        response.resources.add(name=name, version=nonce, resource=pool_message(name, [endpoint(1)]))
    resources.receive(Part.MEMBERS, response)


def test_an_acknowledgement_covers_all_offers_up_to_its_own() -> None:
    resources = Resources()
    receive_pools(resources, "1", "a")
    receive_pools(resources, "2", "b")
    receive_pools(resources, "3", "c")
    assert resources.record_answer(Answer(Part.MEMBERS, "", "2")) == ["1", "2"]  # the first is superseded
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2"}
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3", "unfit")) == ["3"]
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2"}
    receive_pools(resources, "4", "d")
    resources.record_answer(Answer(Part.MEMBERS, "", "4"))
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2", "d": "4"}  # without the refused resource
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3")) == ["3"]  # accepted after its refusal
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2", "c": "3"}
    resources.restart()
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3")) == []  # the nonce of an earlier stream


def test_the_backoff_has_full_jitter_and_an_upper_limit() -> None:
    assert back_off_s(0, 0.0) == 0.0
    assert [back_off_s(n, 1.0) for n in range(3)] == [0.02, 0.04, 0.08]
    assert back_off_s(10_000, 1.0) == channel_module.MAX_BACK_OFF_S < MAX_BACK_OFF_S
    assert back_off_s(50, 0.5) == 0.5 * channel_module.MAX_BACK_OFF_S


# Resources and the settings file


def test_an_endpoint_carries_every_attribute_of_discovery() -> None:
    every_field = endpoint(1, type="m2", group=3, weight=0.25, since_ms=1_000.0, status="leaving")
    [member] = read_pool("p", pool_message("p", [every_field]))
    entry = member.entry
    assert entry.server == server_id("s1") and entry.zone == "z1" and entry.kind == "m2" and entry.cell == 3
    assert entry.health is api.Health.DRAINING and entry.share == 0.25
    assert entry.started_ms is not None
    [plain] = read_pool("p", pool_message("p", [endpoint(1)]))
    assert plain.entry.started_ms is None and plain.entry.share == 1.0


def test_invalid_settings_raise_an_error_that_names_the_field() -> None:
    with pytest.raises(ResourceDecodeError, match="settings 'e': 'pool' must be a string, not 5"):
        read_node("e", node_message("e", 5, {}))  # type: ignore[arg-type]
    with pytest.raises(ResourceDecodeError, match="settings 'e': 'classes' is missing"):
        read_node("e", node_message("e", "p", {}))


# By name of the fault: the content of the file, and text in the error.
BAD_FILES = {
    "not TOML": ("service = ", "not TOML"),
    "no service": ("node = 'n'\npools = ['p']\nsettings = 's'", "'service' is missing"),
    "no pools": ("service = 'a:1'\nnode = 'n'\npools = []\nsettings = 's'", "at least one pool"),
    "unknown": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nwat = 1", "'wat' is not known"),
    "key alone": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nkey = 'k'", "go together"),
    "wait": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nfirst_wait_s = 0", "above 0"),
}


@pytest.mark.parametrize(("text", "expected"), BAD_FILES.values(), ids=BAD_FILES.keys())
def test_the_error_for_an_unusable_settings_file_names_the_file(
    text: str, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "control.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=expected) as found:
        read_control(str(path))
    assert str(path) in str(found.value) and "\n" not in str(found.value)


def test_the_settings_file_in_deploy_is_valid() -> None:
    control = read_control(str(Path(__file__).parents[3] / "deploy" / "control.toml"))
    assert control.pools == ("catalogo",) and control.state is not None and control.key is not None


def test_a_channel_that_was_never_started_can_be_closed() -> None:
    async def test() -> None:
        service = Service()
        agent = RecordingAgent(service, "n0", None)
        assert isinstance(agent.channel, Channel)
        await asyncio.wait_for(agent.close(), 5.0)

    run(test())
