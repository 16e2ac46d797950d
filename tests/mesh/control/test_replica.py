"""Replicas of a group: cost of hundreds of changes of a large configuration, and catching up."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest

from orchidferry.mesh.control import configuration_text, shard_state, shard_state_codec
from orchidferry.mesh.control.configuration import digest
from orchidferry.mesh.control.configuration_text import compress, expand
from orchidferry.mesh.control.contact import OUT_OF_CONTACT
from orchidferry.mesh.control.update_stream import MAX_LOG_CHANGES
from orchidferry.mesh.storage.record_format import pack
from orchidferry.mesh.wire.messages import ConfigurationText
from orchidferry.testkit.explore.controller import Controller
from orchidferry.testkit.model.fanout_world import World
from orchidferry.testkit.model.replica_group import ReplicaGroup, example_configuration
from orchidferry.testkit.model.stored_controller import StoredController

INITIAL = shard_state.genesis(("a", "b", "c"))


def put_of(revision: int) -> shard_state.PutConfiguration:
    """Return the order for a revision, based on the previous one."""
    text = example_configuration(revision)
    return shard_state.PutConfiguration(compress(text), revision, digest(text), revision - 1)


def test_a_voter_that_missed_the_accept_requests_the_decided_state() -> None:
    group = ReplicaGroup(3)
    group.run(4.05)  # no heartbeats are due during the change
    group.request_change("b", "1", put_of(1))
    group.run(0.0045)  # all voters have promised
    group.isolated.add("c")
    group.run(0.0045)
    group.isolated.clear()
    group.run(0.011)
    assert group.controllers["c"].shard.body.revision == 1 and group.bytes_by_type["decided_state_request"]
    assert shard_state.body(group.controllers["c"].shard.accepted_value or INITIAL).revision == 0


@pytest.mark.parametrize(("replicas", "max_bytes"), [(3, 16_000), (5, 32_000), (11, 80_000)])
def test_bytes_of_one_change(replicas: int, max_bytes: int) -> None:
    group = ReplicaGroup(replicas)
    group.run(4.0)
    group.bytes_by_type.clear()
    for revision in range(1, 6):
        group.request_change("a", str(revision), put_of(revision))
        group.run(0.2)
        assert group.ended_requests[str(revision)][1].value and not group.ended_requests[str(revision)][1].why
    assert sum(group.bytes_by_type.values()) < 5 * max_bytes, group.bytes_by_type


@pytest.mark.parametrize("replicas", [3, 5])
@pytest.mark.parametrize("different", [False, True], ids=["copies", "different"])
def test_eight_concurrent_orders_on_one_version_fit_a_slow_link(replicas: int, different: bool) -> None:
    """Copies of one order are all acknowledged; of different orders one is, and the others are refused."""
    group = ReplicaGroup(replicas, bits_per_s=3.5e6)
    group.run(4.0)
    texts = [example_configuration(n if different else 1) for n in range(1, 9)]
    for n, text in enumerate(texts):
        number = 1 + n % 2 if different else 1  # different orders share two numbers
        order = shard_state.PutConfiguration(compress(text), number, digest(text), 0)
        group.request_change(group.seeds[n % replicas], str(n), order)
    group.run(4.0)
    ends = [group.ended_requests[str(n)] for n in range(8)]
    taken = [texts[n] for n, (_, end) in enumerate(ends) if end.value is not None and not end.why]
    refused = [end for _, end in ends if end.why == shard_state.OTHER_VERSION]
    assert (len(taken), len(refused)) == ((1, 7) if different else (8, 0)), ends
    assert all(expand(one.shard.body.compressed_text) == taken[0] for one in group.controllers.values())
    assert max(at for at, _ in ends) - 5.0 < (2.0 if different else 1.0), [at - 5.0 for at, _ in ends]


def test_ten_changes_a_second_fit_a_slow_link() -> None:
    group = ReplicaGroup(3, bits_per_s=3.5e6)
    group.run(4.0)
    for revision in range(1, 101):
        group.request_change("abc"[revision % 3], str(revision), put_of(revision))
        group.run(0.1)
    group.run(2.0)
    waits = [group.ended_requests[str(n)][0] - (5.0 + 0.1 * (n - 1)) for n in range(1, 101)]
    assert all(
        group.ended_requests[str(n)][1].value and not group.ended_requests[str(n)][1].why
        for n in range(1, 101)
    )
    assert max(waits) < 1.0, max(waits)
    assert configuration_text.COMPRESSION_LEVEL == 6


def knows(controller: Controller, version: int) -> bool:
    """Whether a replica knows this version of the state or a newer one."""
    return controller.shard.known.version >= version


def commit_revision(group: ReplicaGroup, controller: str, revision: int) -> float:
    """Have a revision committed, at a rate of at most ten per second.

    :returns: the time until it was acknowledged, in seconds.
    """
    id = f"put {revision} {group.now}"
    began = group.now
    group.request_change(controller, id, put_of(revision))
    group.run(0.1)
    group.run_until(lambda: id in group.ended_requests, 5.0)
    at, end = group.ended_requests[id]
    assert end.value is not None and not end.why, (revision, end)
    return at - began


@pytest.mark.parametrize("replicas", [3, 5])
def test_600_changes_with_an_isolated_a_wiped_and_a_killed_replica(replicas: int, tmp_path: Path) -> None:
    group = ReplicaGroup(replicas, bits_per_s=3.5e6, directory=tmp_path / "data")
    group.run(4.0)
    last = group.seeds[-1]
    returning = group.controllers[last]
    assert isinstance(returning, StoredController)

    def received_bytes() -> int:
        return sum(size for (_, to), size in group.bytes_by_link.items() if to == last)

    slowest = 0.0
    for revision in range(1, 601):
        if revision == 50:
            group.isolated.add(last)
        elif revision == 300:
            group.request_read(last, "isolated")  # must not be answered with its outdated state
        elif revision == 550:
            assert group.ended_requests["isolated"][1].value is None and returning.shard.body.revision == 49
            group.isolated.clear()
            group.request_read(last, "back")
            before, newest = received_bytes(), group.controllers["a"].shard.known.version
            catch_up_s = group.run_until(partial(knows, returning, newest), 1.0)
            state = len(pack(shard_state_codec.pack_value(returning.shard.known)))
            assert (
                catch_up_s < 0.5
                and received_bytes() - before < (replicas - 1) * 1.1 * state < replicas * 10_000
            )
            # No heartbeat had been acknowledged yet when the read was requested, so it was refused at once.
            assert group.ended_requests["back"][1].why == OUT_OF_CONTACT
            group.request_read(last, "again")
            group.run_until(lambda: "again" in group.ended_requests, 3.0)
            found = group.ended_requests["again"][1].value
            assert found is not None and shard_state.body(found).revision == 549
        elif revision == 560:
            group.restart(last, wipe=True)
        elif revision == 570:
            token, owner = group.ownerships[-1]
            assert returning.shard.voter in returning.shard.known.voters  # it has been admitted again
            group.restart(owner, downtime_s=4.0)
        alive = [name for name in group.seeds if name not in group.isolated and group.controllers[name].alive]
        slowest = max(slowest, commit_revision(group, alive[revision % 2], revision))
    group.run(5.0)
    assert slowest < 2.0, slowest
    assert [token for token, _ in group.ownerships] == sorted({token for token, _ in group.ownerships})
    assert group.ownerships[-1][0] > token and all(
        one.shard.body.revision == 600 and one.shard.standing.caught_up for one in group.controllers.values()
    )
    assert returning.file_bytes < 200_000  # though 50 MB were committed
    group.restart(last)
    group.run(1.0)
    assert returning.opening_s < 2.0 and returning.shard.body.revision == 600
    returning.close()


def test_a_node_that_was_isolated_through_500_changes_fetches_once() -> None:
    world = World(3, 1)
    nodes = [world.start(f"n{n}", 0) for n in range(20)]
    world.run(12.0)
    isolated, fetched = nodes[7], list[int]()
    receive = isolated._configuration_received

    def record_and_receive(message: ConfigurationText) -> None:
        fetched.append(message.revision)
        receive(message)

    isolated._configuration_received = record_and_receive  # type: ignore[method-assign]
    others = [*world.nodes, *world.controllers]
    for revision in range(1, 501):
        for controller in world.controllers.values():
            controller.configuration_decided(revision, b"text")
        if revision == 1:
            world.run(1.0)
            assert isolated.revision == 1
            world.cuts = {pair for name in others for pair in ((isolated.name, name), (name, isolated.name))}
        world.run(0.1)
    assert isolated.revision == 1 and {node.revision for node in nodes if node is not isolated} == {500}
    fetched.clear()
    world.cuts.clear()
    world.run(4.0)
    assert isolated.revision == 500 and [revision for revision in fetched if revision > 1] == [500]
    assert all(len(one.stream._log) <= MAX_LOG_CHANGES for one in world.controllers.values())
    assert all(
        len(stream._log) <= MAX_LOG_CHANGES for node in nodes for stream in node.subscriber.streams.values()
    )
