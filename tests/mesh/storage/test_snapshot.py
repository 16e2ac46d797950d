"""Snapshots: a lost group is restored from a file, and the new group outranks members of the old one."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Accept,
    Accepted,
    Acceptor,
    ChangeDecided,
    Prepare,
    Promise,
    SendToVoter,
    Voter,
)
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.quorum_read import AcceptedReport, decided_value
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage import quarantine, snapshot_file, storage_check
from orchidferry.mesh.storage import snapshot as snapshots
from orchidferry.mesh.storage.record_format import pack
from tests.mesh.storage.fakes import (
    BODY,
    FOUNDERS,
    STATE,
    change_behind_store,
    fill_store,
    read_keys,
)


def test_a_store_without_shards_is_migrated_by_a_snapshot(tmp_path: Path) -> None:
    def write_without_shards(txn: Any, dbs: Any) -> None:
        value = shard_state_codec.pack_value(STATE)[:7]
        for key, record in ((b"kept", [5, [9, "x"], [8, "y"], value]), (b"founders", list(FOUNDERS))):
            txn.put(key, pack(record), db=dbs["about"])
        txn.put(b"k", pack(["t", 1, None]), db=dbs["slips"])

    change_behind_store(tmp_path, write_without_shards)
    with pytest.raises(StoreError, match="by a snapshot"):
        storage_check.prepare_store(str(tmp_path))
    taken = snapshots.take_snapshot(str(tmp_path), str(tmp_path / "s"))
    assert taken.states[0] == replace(STATE, body=replace(BODY, owner="", fencing_token=0))
    snapshots.restore_snapshot(str(tmp_path / "new"), str(tmp_path / "s"), FOUNDERS)
    assert read_keys(tmp_path / "new") == {b"k": pack(["t", 1, None])}


def test_three_restored_controllers_agree_and_outrank_the_lost_group(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(snapshots, "KEYS_PER_TRANSACTION", 70)
    rows = fill_store(tmp_path / "old")
    path = str(tmp_path / "s")
    taken = snapshots.take_snapshot(str(tmp_path / "old"), path)
    assert (
        snapshot_file.read_snapshot(path) == taken
        and taken.states[0] == STATE
        and taken.states[2].version == 0
    )
    folders = {name: tmp_path / name for name in FOUNDERS}
    restored = {
        name: snapshots.restore_snapshot(str(folder), path, FOUNDERS)[1] for name, folder in folders.items()
    }
    for folder in folders.values():
        storage_check.prepare_store(str(folder))
        assert read_keys(folder) == rows and not quarantine.has_lost_state(str(folder))
    first = restored[FOUNDERS[0]][shard_state.CONFIGURATION]
    assert all(k == restored[FOUNDERS[0]] for k in restored.values()) and first.disk_id not in (1, 5, 6)
    assert first.value is not None and first.value.version > 12 and first.value.former_voters == ()
    body = shard_state.body(first.value)
    assert (
        body.epoch > 3
        and body.fencing_token > 4
        and (body.compressed_text, body.orders) == (BODY.compressed_text, BODY.orders)
    )
    assert {n: k.value.version > 2**31 for n, k in restored[FOUNDERS[0]].items() if k.value} == dict.fromkeys(
        shard_state.SHARDS, True
    )
    # Two of them know without another write that the state is decided, and grant keys; one alone does not.
    voters = {name: Acceptor(name, restored[name][0]) for name in FOUNDERS}
    seen = [AcceptedReport(v.voter, v.state.accepted, v.state.value) for v in voters.values()]
    known = decided_value(seen[:2], None, (0, ""), None)
    assert known == first.value and decided_value(seen[:1], None, (0, ""), None) is None
    assert Standing(True).grants(shard_state.body(known).epoch, voters[FOUNDERS[0]].voter, known, first.value)
    # A survivor of the lost group has no vote, and its ballots and versions are lower.
    survivor = AcceptedReport(Voter("10.0.0.2", 6), (8, "y"), STATE)
    assert decided_value([seen[0], survivor], None, (0, ""), None) is None
    # A change builds on the restored state, though its proposer knows only the initial state.
    proposer = Proposer("10.0.0.3 life", shard_state.genesis(FOUNDERS), random.Random(1))
    change = shard_state.PutConfiguration(b"new", 8, b"e", 7)
    actions: list[Any] = list(proposer.ask("a", change, 0.0, 1e6))
    now = 0.0
    decided = None
    while decided is None:
        if not actions:
            now += 10_000.0
            actions += proposer.tick(now)
        action = actions.pop(0)
        if isinstance(action, ChangeDecided):
            decided = action.value
        elif isinstance(action, SendToVoter) and isinstance(action.message, Prepare | Accept):
            replies = voters[action.to].handle(action.message, "p") if action.to != FOUNDERS[1] else []
            for reply in replies:
                if isinstance(reply, SendToVoter) and isinstance(reply.message, Promise | Accepted):
                    actions += proposer.handle(reply.message, now)
    assert shard_state.body(decided).compressed_text == b"new" and decided.voters == first.value.voters


def test_another_file_or_list_of_founders_results_in_another_disk_id(tmp_path: Path) -> None:
    fill_store(tmp_path / "old")
    digests = [snapshots.take_snapshot(str(tmp_path / "old"), str(tmp_path / "s")).digest for _ in range(2)]
    disk_ids = {snapshots.restored_disk_id(d, names) for d in digests for names in (FOUNDERS, FOUNDERS[:2])}
    assert len(disk_ids) == 4
    assert snapshots.restored_disk_id(digests[0], FOUNDERS) == snapshots.restored_disk_id(
        digests[0], FOUNDERS[::-1]
    )
