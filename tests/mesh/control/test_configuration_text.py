"""The compressed text of a configuration, and stores of earlier builds with uncompressed text."""

from __future__ import annotations

import json
import zlib
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.configuration import digest
from orchidferry.mesh.control.configuration_resource import ConfigurationResource
from orchidferry.mesh.control.configuration_text import MAX_TEXT_BYTES, compress, expand
from orchidferry.mesh.control.control_api import control_request
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.storage import record_format, snapshot_file, storage_check
from orchidferry.mesh.storage import snapshot as snapshots
from orchidferry.mesh.storage.record_format import STORE_FORMAT, pack
from orchidferry.mesh.storage.store import Store
from orchidferry.testkit.model.replica_group import example_configuration
from tests.mesh.storage.fakes import Loop, close


@pytest.mark.parametrize("encoding", ["utf-8", "utf-8-sig", "utf-16", "utf-16-be", "utf-32"])
def test_uncompressed_text_of_an_earlier_build_is_recognised(encoding: str) -> None:
    text = json.dumps({"revision_number": 1}).encode(encoding)
    assert expand(text) == text and expand(compress(text)) == text
    assert expand(b"") == b""


def test_text_that_is_corrupt_or_expands_beyond_the_limit_is_rejected() -> None:
    stored = compress(example_configuration(1))
    for corrupt in (stored[:-1], stored + b"x", stored[:40] + bytes([stored[40] ^ 1]) + stored[41:]):
        with pytest.raises(ValueError, match="text is"):
            expand(corrupt)
    assert len(expand(zlib.compress(bytes(MAX_TEXT_BYTES)))) == MAX_TEXT_BYTES
    with pytest.raises(ValueError, match="more than 8388608 bytes"):
        expand(zlib.compress(bytes(MAX_TEXT_BYTES * 8)))


def test_the_operator_reads_the_exact_bytes_that_were_sent() -> None:
    state = [shard_state.genesis(("a", "b", "c"))]
    replies: list[Any] = []

    def request_change(change: shard_state.Change, timeout_s: float, on_ended: Any) -> None:
        after = change(state[0])
        assert isinstance(after, Value)
        state[0] = after
        on_ended(RequestEnded("", after))

    resource = ConfigurationResource(
        request_change, lambda on_ended: on_ended(RequestEnded("", state[0])), lambda: False, lambda: True
    )
    text = b" \n" + example_configuration(1)
    resource(control_request(b"PUT", b"/", {b"if-match": b"0"}, text), "", replies.append)
    resource(control_request(b"GET", b"/", {}, b""), "", replies.append)
    assert [reply.status for reply in replies] == [200, 200] and replies[1].body == text
    body = shard_state.body(state[0])
    assert len(body.compressed_text) * 10 < len(text) and body.orders == ((1, digest(text)),)


def test_a_store_and_a_snapshot_of_an_earlier_build_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop: Any = Loop()
    folder = str(tmp_path / "data")
    text = example_configuration(7)
    body = shard_state.Body(3, 7, text, ((7, digest(text)),), "10.0.0.2", 4)
    stored = AcceptorState(5, (9, "x"), (8, "y"), Value(12, (Voter("10.0.0.1", 5),), body))
    with monkeypatch.context() as earlier_build:
        earlier_build.setattr(record_format, "STORE_FORMAT", 2)
        earlier_build.setattr(snapshot_file, "SNAPSHOT_FORMAT", 1)
        store = Store(folder, loop)
        for number in shard_state.SHARDS:
            store.write(initial_records(number, stored, True))
        store.write([("about", b"founders", pack(["10.0.0.1"]))])
        close(store)
        snapshots.take_snapshot(folder, str(tmp_path / "old"))
    storage_check.prepare_store(folder)
    contents = storage_check.read_contents(folder)
    assert contents is not None and contents.format == STORE_FORMAT == 3
    state = contents.acceptor_states[shard_state.CONFIGURATION].value
    assert state is not None and expand(shard_state.body(state).compressed_text) == text
    old = snapshot_file.read_snapshot(str(tmp_path / "old")).states[shard_state.CONFIGURATION]
    assert expand(shard_state.body(old).compressed_text) == text
    snapshots.take_snapshot(folder, str(tmp_path / "new"))
    with monkeypatch.context() as earlier_build:
        earlier_build.setattr(snapshot_file, "READABLE_FORMATS", (1,))
        with pytest.raises(snapshot_file.SnapshotError, match="format 2 is not known here"):
            snapshot_file.read_snapshot(str(tmp_path / "new"))
