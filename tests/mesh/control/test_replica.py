"""Replicas of a group: what hundreds of changes of a large configuration cost, and how one catches up."""

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
    """The order that follows the revision before."""
    text = example_configuration(revision)
    return shard_state.PutConfiguration(compress(text), revision, digest(text), revision - 1)


def test_a_voter_that_missed_the_accept_requests_the_decided_state() -> None:
    group = ReplicaGroup(3)
    group.run(4.05)  # the next beats are far
    group.request_change("b", "1", put_of(1))
    group.run(0.0045)  # all have promised
    group.isolated.add("c")
    group.run(0.0045)
    group.isolated.clear()
    group.run(0.011)
    assert group.controllers["c"].shard.body.revision == 1 and group.bytes_by_type["decided_state_request"]
    assert shard_state.body(group.controllers["c"].shard.accepted_value or INITIAL).revision == 0


@pytest.mark.parametrize(("replicas", "most"), [(3, 16_000), (5, 32_000), (11, 80_000)])
def test_bytes_of_one_change(replicas: int, most: int) -> None:
    group = ReplicaGroup(replicas)
    group.run(4.0)
    group.bytes_by_type.clear()
    for revision in range(1, 6):
        group.request_change("a", str(revision), put_of(revision))
        group.run(0.2)
        assert group.ended_requests[str(revision)][1].value and not group.ended_requests[str(revision)][1].why
    assert sum(group.bytes_by_type.values()) < 5 * most, group.bytes_by_type


@pytest.mark.parametrize("replicas", [3, 5])
@pytest.mark.parametrize("different", [False, True], ids=["copies", "different"])
def test_eight_concurrent_orders_on_one_version_fit_a_slow_link(replicas: int, different: bool) -> None:
    """Copies of one order are all acknowledged; of different ones one is, and the others are refused."""
    group = ReplicaGroup(replicas, bits_per_s=3.5e6)
    group.run(4.0)
    texts = [example_configuration(n if different else 1) for n in range(1, 9)]
    for n, text in enumerate(texts):
        number = 1 + n % 2 if different else 1  # some under one number, some under another
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
    """Whether a replica knows this version of the state, or a later one."""
    return controller.shard.known.version >= version


def acknowledged(group: ReplicaGroup, asker: str, revision: int) -> float:
    """Have a revision taken, at the pace of ten a second; the seconds until it was."""
    id = f"put {revision} {group.now}"
    began = group.now
    group.request_change(asker, id, put_of(revision))
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
    away = group.controllers[last]
    assert isinstance(away, StoredController)

    def heard() -> int:
        return sum(size for (_, to), size in group.bytes_by_link.items() if to == last)

    slowest = 0.0
    for revision in range(1, 601):
        if revision == 50:
            group.isolated.add(last)
        elif revision == 300:
            group.request_read(last, "dark")  # has no answer of what it knows
        elif revision == 550:
            assert group.ended_requests["dark"][1].value is None and away.shard.body.revision == 49
            group.isolated.clear()
            group.request_read(last, "back")
            before, newest = heard(), group.controllers["a"].shard.known.version
            caught_s = group.run_until(partial(knows, away, newest), 1.0)
            state = len(pack(shard_state_codec.pack_value(away.shard.known)))
            assert caught_s < 0.5 and heard() - before < (replicas - 1) * 1.1 * state < replicas * 10_000
            # Nobody had acknowledged it yet as it was asked: that is said at once.
            assert group.ended_requests["back"][1].why == OUT_OF_CONTACT
            group.request_read(last, "again")
            group.run_until(lambda: "again" in group.ended_requests, 3.0)
            found = group.ended_requests["again"][1].value
            assert found is not None and shard_state.body(found).revision == 549
        elif revision == 560:
            group.restart(last, wipe=True)
        elif revision == 570:
            fence, owner = group.ownerships[-1]
            assert away.shard.voter in away.shard.known.voters  # it has a place again
            group.restart(owner, downtime_s=4.0)
        alive = [name for name in group.seeds if name not in group.isolated and group.controllers[name].alive]
        slowest = max(slowest, acknowledged(group, alive[revision % 2], revision))
    group.run(5.0)
    assert slowest < 2.0, slowest
    assert [fence for fence, _ in group.ownerships] == sorted({fence for fence, _ in group.ownerships})
    assert group.ownerships[-1][0] > fence and all(
        one.shard.body.revision == 600 and one.shard.standing.caught_up for one in group.controllers.values()
    )
    assert away.file_bytes < 200_000  # of 50 MB that were taken
    group.restart(last)
    group.run(1.0)
    assert away.opening_s < 2.0 and away.shard.body.revision == 600
    away.close()


def test_a_node_that_was_isolated_through_500_changes_fetches_once() -> None:
    world = World(3, 1)
    nodes = [world.start(f"n{n}", 0) for n in range(20)]
    world.run(12.0)
    dark, fetched = nodes[7], list[int]()
    take = dark._configuration_received

    def counted(message: ConfigurationText) -> None:
        fetched.append(message.revision)
        take(message)

    dark._configuration_received = counted  # type: ignore[method-assign]
    others = [*world.nodes, *world.controllers]
    for revision in range(1, 501):
        for controller in world.controllers.values():
            controller.configuration_decided(revision, b"text")
        if revision == 1:
            world.run(1.0)
            assert dark.revision == 1
            world.cuts = {pair for name in others for pair in ((dark.name, name), (name, dark.name))}
        world.run(0.1)
    assert dark.revision == 1 and {node.revision for node in nodes if node is not dark} == {500}
    fetched.clear()
    world.cuts.clear()
    world.run(4.0)
    assert dark.revision == 500 and [revision for revision in fetched if revision > 1] == [500]
    assert all(len(one.stream._log) <= MAX_LOG_CHANGES for one in world.controllers.values())
    assert all(
        len(stream._log) <= MAX_LOG_CHANGES for node in nodes for stream in node.subscriber.streams.values()
    )
