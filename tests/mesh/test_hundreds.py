"""Hundreds of changes of a large configuration: what they cost, and what a member that missed them does."""

from __future__ import annotations

import json
import zlib
from pathlib import Path
from typing import Any

import pytest

from mesh.control import configuration_text, shard_state
from mesh.control.configuration import digest
from mesh.control.configuration_resource import ConfigurationResource
from mesh.control.configuration_text import TEXT_MOST, compress, expand
from mesh.control.control_api import call
from mesh.control.replica import Ended
from mesh.control.shard import remembered
from mesh.storage import snapshot as snapshots
from mesh.storage import storage_check
from mesh.storage import store as store_module
from mesh.storage.store import FORMAT, Store, pack
from nickelbridge.register import Kept, Value, Voter
from rehearsal.model.replica_group import ReplicaGroup, example
from tests.mesh.test_store import Loop, close


def put_of(revision: int) -> shard_state.Put:
    """The order that follows the revision before."""
    text = example(revision)
    return shard_state.Put(compress(text), revision, digest(text), revision - 1)


# The text


@pytest.mark.parametrize("encoding", ["utf-8", "utf-8-sig", "utf-16", "utf-16-be", "utf-32"])
def test_a_text_of_an_earlier_build_is_told_from_a_compressed_one(encoding: str) -> None:
    text = json.dumps({"revision_number": 1}).encode(encoding)
    assert expand(text) == text and expand(compress(text)) == text
    assert expand(b"") == b""


def test_a_text_that_is_damaged_or_grows_beyond_any_order_is_refused() -> None:
    kept = compress(example(1))
    for wrong in (kept[:-1], kept + b"x", kept[:40] + bytes([kept[40] ^ 1]) + kept[41:]):
        with pytest.raises(ValueError, match="text is"):
            expand(wrong)
    assert len(expand(zlib.compress(bytes(TEXT_MOST)))) == TEXT_MOST
    with pytest.raises(ValueError, match="more than 8388608 bytes"):
        expand(zlib.compress(bytes(TEXT_MOST * 8)))


def test_the_operator_reads_the_very_bytes_that_were_sent() -> None:
    state = [shard_state.genesis(("a", "b", "c"))]
    replies: list[Any] = []

    def ask(change: shard_state.Change, for_s: float, told: Any) -> None:
        found = change(state[0])
        assert isinstance(found, Value)
        state[0] = found
        told(Ended("", found))

    resource = ConfigurationResource(ask, lambda told: told(state[0]), lambda: False)
    text = b" \n" + example(1)
    resource(call(b"PUT", b"/", {b"if-match": b"0"}, text), "", replies.append)
    resource(call(b"GET", b"/", {}, b""), "", replies.append)
    assert [reply.status for reply in replies] == [200, 200] and replies[1].body == text
    body = shard_state.body(state[0])
    assert len(body.raw) * 10 < len(text) and body.taken == ((1, digest(text)),)


def test_a_store_and_a_snapshot_of_the_build_before_still_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop: Any = Loop()
    folder, text = str(tmp_path / "data"), example(7)
    body = shard_state.Body(3, 7, text, ((7, digest(text)),), "10.0.0.2", 4)
    kept = Kept(5, (9, "x"), (8, "y"), Value(12, (Voter("10.0.0.1", 5),), body))
    with monkeypatch.context() as before:
        before.setattr(store_module, "FORMAT", 2)
        before.setattr(snapshots, "FORMAT", 1)
        store = Store(folder, loop)
        for number in shard_state.SHARDS:
            store.write(remembered(number, kept, True))
        store.write([("about", b"founders", pack(["10.0.0.1"]))])
        close(store)
        snapshots.take_from(folder, str(tmp_path / "old"))
    storage_check.prepare(folder)
    stock = storage_check.look(folder)
    assert stock is not None and stock.format == FORMAT == 3
    state = stock.kept[shard_state.CONFIGURATION].value
    assert state is not None and expand(shard_state.body(state).raw) == text
    old = snapshots.read_snapshot(str(tmp_path / "old")).states[shard_state.CONFIGURATION]
    assert expand(shard_state.body(old).raw) == text
    snapshots.take_from(folder, str(tmp_path / "new"))
    with monkeypatch.context() as before:
        before.setattr(snapshots, "FORMATS", (1,))
        with pytest.raises(snapshots.BadSnapshot, match="format 2 is not known here"):
            snapshots.read_snapshot(str(tmp_path / "new"))


# What a change costs


@pytest.mark.parametrize(("replicas", "most"), [(3, 45_000), (5, 90_000), (11, 225_000)])
def test_bytes_of_one_change(replicas: int, most: int) -> None:
    group = ReplicaGroup(replicas)
    group.run(4.0)
    group.bytes.clear()
    for revision in range(1, 6):
        group.put("a", str(revision), put_of(revision))
        group.run(0.2)
        assert group.ended[str(revision)][1].value and not group.ended[str(revision)][1].why
    assert sum(group.bytes.values()) < 5 * most, group.bytes


def test_eight_in_flight_and_ten_a_second_do_not_choke_a_thin_link() -> None:
    group = ReplicaGroup(3, bits_per_s=3.5e6)
    group.run(4.0)
    for revision in range(1, 101):
        group.put("abc"[revision % 3], str(revision), put_of(revision))
        group.run(0.1)
    group.run(2.0)
    waits = [group.ended[str(n)][0] - (5.0 + 0.1 * (n - 1)) for n in range(1, 101)]
    assert all(group.ended[str(n)][1].value and not group.ended[str(n)][1].why for n in range(1, 101))
    assert max(waits) < 1.0, max(waits)
    assert configuration_text.LEVEL == 6
