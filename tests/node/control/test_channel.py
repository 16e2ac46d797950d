"""The channel to a control service, over gRPC on loopback: versions, refusals, cuts, floods and noise."""

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
from tests.node.control.scene import POOL, Told, endpoint, members, node, reasons, run, scene
from tests.node.peers import LIMIT_S, until


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(channel_module, "BACK_OFF_S", 0.02)
    monkeypatch.setattr(channel_module, "MAX_BACK_OFF_S", 0.1)


def test_a_version_reaches_every_node_and_is_acknowledged_by_each() -> None:
    async def test() -> None:
        async with scene({}, {}, {}) as (service, agents):
            service.push("v1", members(1, 2, 3), node(permissions={"max_attempts": 2}))
            await until(lambda: all(a.held() == "v1" == a.held(Part.SETTINGS) for a in agents))
            for agent in agents:
                assert [m.entry.server for m in agent.servers()] == [server_id(f"s{n}") for n in (1, 2, 3)]
                assert agent.servers()[0].address == ("127.0.0.1", 9001)
                assert agent.applied[-1].node.settings.max_attempts == 2
            await until(lambda: len(reasons(service, "v1")) == 6)
            assert set(reasons(service, "v1")) == {""}

    run(test())


def raw(**changes: Any) -> Any:
    """A response of the pool's type with a resource that can't be read."""
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="bad")
    response.resources.add(name=POOL, version="bad", resource=AnyMessage(**changes))
    return response


BAD: dict[str, tuple[Any, str]] = {
    "no live server": (members(1, 2, status="leaving"), "names no live server"),
    "looser rule": (node(rules={"stop_sending_within_ms": 90_000.0}), "drain_grace_ms: 90000 is looser"),
    "to no pool": (node("nowhere"), "'nowhere' is none of catalogo"),
    "share": ((Part.SETTINGS, "entrada", node_message("entrada", POOL, {"classes": []})), "is missing"),
    "wrong name": ((Part.MEMBERS, POOL, pool_message("other", [endpoint(1)])), "cluster_name is 'other'"),
    "no port": (members(1, address="127.0.0.1:0"), "endpoints[0].lb_endpoints[0]: no address"),
    "gone": ((Part.MEMBERS, POOL, None), "is none of no pools"),
    "no settings": ((Part.SETTINGS, "entrada", None), "no settings"),
    "another type": (raw(type_url="x", value=b""), "is a 'x', not a"),
    "noise": (raw(type_url=EDS, value=b"\xff\xff\xff"), "can't be parsed"),
}


@pytest.mark.parametrize(("bad", "words"), BAD.values(), ids=BAD.keys())
def test_a_bad_version_is_refused_by_each_node_with_its_reason_and_the_next_good_one_taken(
    bad: Any, words: str
) -> None:
    async def test() -> None:
        async with scene({}, {}) as (service, agents):
            if isinstance(bad, tuple):
                service.push("bad", bad)
            else:
                for line in service.streams:
                    service.send_raw(
                        line, discovery_pb2.DeltaDiscoveryResponse.FromString(bad.SerializeToString())
                    )
            await until(lambda: len(reasons(service, "bad")) == 2)
            assert all(words in reason for reason in reasons(service, "bad")), reasons(service, "bad")
            for agent in agents:
                assert len(agent.applied) <= 2 and (agent.held(), agent.held(Part.SETTINGS)) == ("v0", "v0")
                [refused] = agent.status()["refused"]
                assert refused["version"] == "bad" and words in refused["reason"]
            service.push("v2", members(4), node())
            await until(lambda: all(a.held() == "v2" == a.held(Part.SETTINGS) for a in agents))

    run(test())


def test_a_stream_that_breaks_comes_again_with_what_is_held_and_is_sent_only_what_changed() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            for n in range(1, 4):
                joined = service.streams_opened
                service.end_streams()
                await until(lambda joined=joined: service.streams_opened > joined and agent.channel.up)  # type: ignore[misc]
                service.push(f"v{n}", members(n, n + 1))
                await until(lambda n=n: agent.held() == f"v{n}")  # type: ignore[misc]
                assert service.streams[0].initial_versions[EDS] == {POOL: f"v{n - 1}"}
            assert agent.held(Part.SETTINGS) == "v0"
            assert (
                len([answer for answer in service.answers if "Extension" in answer.type_url]) == 1
            )  # once, ever
            assert len(agent.applied) == 5 or len(agent.applied) == 4  # the first two may come as one

    run(test())


def test_a_service_that_vanishes_drains_nobody_and_may_come_back_older_or_empty() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            service.push("v1", members(1, 2, 3))
            await until(lambda: agent.held() == "v1")
            await service.stop()
            await until(lambda: not agent.channel.up)
            applied = len(agent.applied)
            assert agent.drained == []
            empty = Service()
            empty.address = service.address
            await empty.start()  # another life of it, that knows nothing
            await until(lambda: empty.streams_opened == 1)
            empty.push("e1")  # nothing to send
            await empty.stop()
            assert len(agent.applied) == applied and agent.held() == "v1"
            service.push("v0", members(1, 2))
            await service.start()
            await until(lambda: agent.held() == "v0")
            assert len(agent.servers()) == 2

    run(test())


def test_the_same_nonce_twice_is_answered_once() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="v1")
            response.resources.add(name=POOL, version="v1", resource=members(5)[2])
            line = service.streams[0]
            for _ in range(3):
                again = discovery_pb2.DeltaDiscoveryResponse()
                again.CopyFrom(response)
                service.send_raw(line, again, nonce="same")
            service.push("v2", members(6))
            await until(lambda: agent.held() == "v2")
            assert [answer.nonce for answer in service.answers].count("same") == 1
            assert agent.versions.counts["offered"] == 4

    run(test())


def test_a_thousand_versions_at_once_end_on_the_last_and_each_has_its_answer() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            for n in range(1000):
                service.push(f"f{n}", members(n % 40, 50))
            await until(lambda: agent.held() == "f999")
            assert len(agent.applied) < 40
            await until(lambda: len([a for a in service.answers if a.label[:1] == "f"]) == 1000)
            assert not [a for a in service.answers if a.reason]
            assert not any(agent.channel.resources._unanswered.values())

    run(test())


def test_a_drain_in_a_version_that_waits_is_told_at_once() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            for n in range(12):
                service.push(f"f{n}", members(1, 2, 10 + n))
            service.push("last", members(1))
            await until(lambda: server_id("s2") in agent.drained)
            assert agent.held() != "last"
            await until(lambda: agent.held() == "last")

    run(test())


def test_what_the_node_cannot_apply_is_refused_and_what_it_held_is_put_back() -> None:
    async def test() -> None:
        async with scene({}) as (service, [agent]):
            agent.problem = "no room"
            service.push("v1", members(3))
            await until(lambda: reasons(service, "v1") == ["it could not be applied: no room"])
            agent.problem = ""
            service.push("v2", members(4))
            await until(lambda: agent.held() == "v2")

    run(test())


# A start


def test_a_start_without_the_service_takes_the_last_good_one_and_the_service_later(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene({"state": tmp_path}) as (service, [agent]):
            service.push("v1", members(7, 8))
            await until(lambda: agent.held() == "v1")
            await agent.close()
            await service.stop()
            again = Told(service, "n0", tmp_path, first_wait_s=0.2)
            again.start()
            await until(lambda: again.held() == "v1")
            assert again.status()["source"] == "the last good one on disk"
            assert [m.entry.server for m in again.servers()] == [server_id("s7"), server_id("s8")]
            service.push("v2", members(9))
            await service.start()
            await until(lambda: again.held() == "v2" and again.status()["source"] == "the control service")
            await again.close()

    run(test())


def test_a_folder_that_another_node_has_or_that_cannot_be_leaves_the_node_without_one(
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
        first.close()  # a killed node's helper lets go a moment after the next one's start
        second = await waiting
        assert second is not None
        second.close()

    run(test())


def test_tls_with_a_clients_certificate_and_not_without(tmp_path: Path) -> None:
    files = certs.make(tmp_path, "localhost")
    credentials = grpc.ssl_server_credentials(
        [(files.key.read_bytes(), files.certificate.read_bytes())], files.ca.read_bytes(), True
    )

    async def test() -> None:
        service = Service()
        service.push("v1", members(1), node())
        await service.start(credentials)
        service.address = ("localhost", service.address[1])
        told = Told(service, "n0", None, ca=files.ca, certificate=files.certificate, key=files.key)
        bare = Told(service, "n1", None, ca=files.ca)
        plain = Told(service, "n2", None)
        for agent in (told, bare, plain):
            agent.start()
        await until(lambda: told.held() == "v1")
        await until(lambda: bare.channel.failures > 2 and plain.channel.failures > 2)
        assert not bare.applied and not plain.applied
        assert {line.node for line in service.streams} == {"n0"}
        for agent in (told, bare, plain):
            await agent.close()
        await service.stop()
        with pytest.raises(ConfigError, match="no-such"):
            Told(service, "n3", None, ca=tmp_path / "no-such.pem")

    run(test())


# Noise


def test_noise_on_the_stream_never_ends_the_node() -> None:
    """Random, cut off and oversized messages; after all of it the next good version is taken."""

    async def test() -> None:
        async with scene({}) as (service, [agent]):
            rng = random.Random(7)
            good = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, system_version_info="fuzz")
            good.resources.add(name=POOL, version="fuzz", resource=members(*range(1, 30))[2])
            whole = good.SerializeToString()
            sent = 0
            for _ in range(300):
                data = bytearray(whole)
                if rng.random() < 0.3:
                    del data[rng.randrange(len(data)) :]
                for _ in range(rng.randrange(1, 8)):
                    if data:
                        data[rng.randrange(len(data))] = rng.randrange(256)
                try:
                    response = discovery_pb2.DeltaDiscoveryResponse.FromString(bytes(data))
                except Exception:  # would be refused by gRPC itself
                    continue
                await until(lambda: bool(service.streams))
                sent += 1
                service.send_raw(service.streams[0], response)
            assert sent > 50
            huge = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS)
            huge.resources.add(name="x" * (channel_module.MAX_MESSAGE + 1), version="huge")
            await until(lambda: bool(service.streams))
            line = service.streams[0]
            joined = service.streams_opened
            service.send_raw(line, huge)
            await until(lambda: service.streams_opened > joined)  # the stream broke, and another came
            service.push("after", members(3), node())
            await until(lambda: agent.held() == "after" == agent.held(Part.SETTINGS))
            assert [m.entry.server for m in agent.servers()] == [server_id("s3")]

    run(test())


def test_a_stream_with_too_many_unanswered_is_ended() -> None:
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


def taken(resources: Resources, nonce: str, *names: str) -> None:
    response = discovery_pb2.DeltaDiscoveryResponse(type_url=EDS, nonce=nonce)
    for name in names:
        response.resources.add(name=name, version=nonce, resource=pool_message(name, [endpoint(1)]))
    resources.receive(Part.MEMBERS, response)


def test_an_acknowledgement_takes_what_was_offered_by_then_and_no_more() -> None:
    resources = Resources()
    taken(resources, "1", "a")
    taken(resources, "2", "b")
    taken(resources, "3", "c")
    assert resources.record_answer(Answer(Part.MEMBERS, "", "2")) == ["1", "2"]  # the first was superseded
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2"}
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3", "unfit")) == ["3"]
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2"}
    taken(resources, "4", "d")
    resources.record_answer(Answer(Part.MEMBERS, "", "4"))
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2", "d": "4"}  # without what was refused
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3")) == ["3"]  # it fits by now
    assert resources.versions(Part.MEMBERS) == {"a": "1", "b": "2", "c": "3"}
    resources.restart()
    assert resources.record_answer(Answer(Part.MEMBERS, "", "3")) == []  # another stream's


def test_the_back_off_has_full_jitter_and_a_most() -> None:
    assert back_off_s(0, 0.0) == 0.0
    assert [back_off_s(n, 1.0) for n in range(3)] == [0.02, 0.04, 0.08]
    assert back_off_s(10_000, 1.0) == channel_module.MAX_BACK_OFF_S < MAX_BACK_OFF_S
    assert back_off_s(50, 0.5) == 0.5 * channel_module.MAX_BACK_OFF_S


# Messages


def test_an_endpoint_says_all_that_discovery_does() -> None:
    one = endpoint(1, type="m2", group=3, weight=0.25, since_ms=1_000.0, status="leaving")
    [member] = read_pool("p", pool_message("p", [one]))
    entry = member.entry
    assert entry.server == server_id("s1") and entry.zone == "z1" and entry.kind == "m2" and entry.cell == 3
    assert entry.health is api.Health.DRAINING and entry.share == 0.25
    assert entry.started_ms is not None
    [plain] = read_pool("p", pool_message("p", [endpoint(1)]))
    assert plain.entry.started_ms is None and plain.entry.share == 1.0


def test_settings_that_are_none_name_their_field() -> None:
    with pytest.raises(ResourceDecodeError, match="settings 'e': 'pool' must be a string, not 5"):
        read_node("e", node_message("e", 5, {}))  # type: ignore[arg-type]
    with pytest.raises(ResourceDecodeError, match="settings 'e': 'classes' is missing"):
        read_node("e", node_message("e", "p", {}))


FILES = {
    "not TOML": ("service = ", "not TOML"),
    "no service": ("node = 'n'\npools = ['p']\nsettings = 's'", "'service' is missing"),
    "no pools": ("service = 'a:1'\nnode = 'n'\npools = []\nsettings = 's'", "at least one pool"),
    "unknown": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nwat = 1", "'wat' is not known"),
    "key alone": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nkey = 'k'", "go together"),
    "wait": ("service = 'a:1'\nnode = 'n'\npools = ['p']\nsettings = 's'\nfirst_wait_s = 0", "above 0"),
}


@pytest.mark.parametrize(("text", "words"), FILES.values(), ids=FILES.keys())
def test_an_operators_file_that_cannot_be_used_is_named(text: str, words: str, tmp_path: Path) -> None:
    path = tmp_path / "control.toml"
    path.write_text(text)
    with pytest.raises(ConfigError, match=words) as found:
        read_control(str(path))
    assert str(path) in str(found.value) and "\n" not in str(found.value)


def test_the_file_that_ships_can_be_read() -> None:
    made = read_control(str(Path(__file__).parents[3] / "deploy" / "control.toml"))
    assert made.pools == ("catalogo",) and made.state is not None and made.key is not None


def test_a_channel_that_was_never_opened_closes() -> None:
    async def test() -> None:
        service = Service()
        agent = Told(service, "n0", None)
        assert isinstance(agent.channel, Channel)
        await asyncio.wait_for(agent.close(), 5.0)

    run(test())
