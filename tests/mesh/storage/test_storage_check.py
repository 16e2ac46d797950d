"""A store is checked before it is used: damaged records are never taken for valid ones."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import lmdb
import pytest

from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage import compaction, quarantine, storage_check
from orchidferry.mesh.storage import store as store_module
from orchidferry.mesh.storage.environment import DATABASE_NAMES, open_environment
from orchidferry.mesh.storage.record_format import FORMAT_KEY, STORE_FORMAT, add_checksum, pack, write_seal
from orchidferry.mesh.storage.store import Store
from tests.mesh.storage.fakes import (
    ACCEPTOR_STATES,
    FOUNDERS,
    Loop,
    change_behind_store,
    change_without_seal,
    delete_voter_records,
    fill_store,
    misplace_record,
    read_keys,
    replace_voter_record,
)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (change_without_seal, "the seal is of transaction"),
        (misplace_record, "record b'k2' in database slips"),
        (replace_voter_record(b"\xff"), "record 'kept/0' in database about can't be decoded"),
        (replace_voter_record(pack([1, 2])), "'kept/0' in database about"),
        (replace_voter_record(pack(["5", [1, "a"], [1, "a"], None])), "not the state of an acceptor"),
        (delete_voter_records, "'kept' in database about are missing"),
    ],
)
def test_a_damaged_store_is_quarantined(tmp_path: Path, change: Any, reason: str) -> None:
    rows = fill_store(tmp_path)
    storage_check.prepare_store(str(tmp_path))
    assert read_keys(tmp_path) == rows and not quarantine.has_lost_state(str(tmp_path))
    change_behind_store(tmp_path, change)
    with pytest.raises(StoreError, match=reason):
        storage_check.read_contents(str(tmp_path))
    before = (tmp_path / "data.mdb").read_bytes()
    storage_check.prepare_store(str(tmp_path))
    assert reason in (tmp_path / "bad" / "why").read_text()
    assert (tmp_path / "bad" / "data.mdb").read_bytes() == before
    assert quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == {}


@pytest.mark.parametrize("seed", range(9))
def test_no_random_damage_is_taken_for_valid_records(tmp_path: Path, seed: int) -> None:
    """After random pages, flipped bits or an overwritten tail, the store has exactly its records, or none."""
    rows = fill_store(tmp_path)
    file = tmp_path / "data.mdb"
    rng = random.Random(seed)
    raw = bytearray(file.read_bytes())
    offset = rng.randrange(len(raw) // 4096) * 4096
    if seed % 3 == 0:
        raw[offset : offset + 4096] = rng.randbytes(4096)
    elif seed % 3 == 1:
        raw[offset + rng.randrange(4096)] ^= 1 << rng.randrange(8)
    else:
        offset = offset if seed > 2 else 4_096  # in one of the runs the second meta page
        raw[offset + 100 :] = rng.randbytes(512)
    file.write_bytes(raw)
    command = [
        sys.executable,
        "-c",
        f"from orchidferry.mesh.storage import storage_check; storage_check.prepare_store({str(tmp_path)!r})",
    ]
    statuses = [subprocess.run(command, timeout=20.0, capture_output=True).returncode]
    while statuses[-1] and len(statuses) <= storage_check.MAX_CRASHES:  # LMDB may crash the process
        assert statuses[-1] < 0
        statuses.append(subprocess.run(command, timeout=20.0, capture_output=True).returncode)
    assert not statuses[-1]
    keys = read_keys(tmp_path)
    assert keys == ({} if quarantine.has_lost_state(str(tmp_path)) else rows)


def test_the_start_waits_for_a_store_that_cannot_be_read_yet(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rows = fill_store(tmp_path)

    def write_later_format(txn: Any, dbs: Any) -> None:
        write_seal(txn, dbs)
        txn.put(FORMAT_KEY, add_checksum("about", FORMAT_KEY, pack(9)), db=dbs["about"])

    change_behind_store(tmp_path, write_later_format)
    with pytest.raises(StoreError, match="format 9 was written by a later build"):
        storage_check.prepare_store(str(tmp_path))
    change_behind_store(tmp_path, write_seal)

    async def becomes_ready(errors: list[Exception]) -> bool:
        stopping = asyncio.Event()
        real = open_environment

        def fail_at_first(path: str, **kwargs: Any) -> Any:
            if errors:
                raise errors.pop()
            return real(path, **kwargs)

        monkeypatch.setattr(storage_check, "open_environment", fail_at_first)
        monkeypatch.setattr(storage_check, "RETRY_INTERVAL_S", 0.001)
        return await asyncio.wait_for(storage_check.wait_until_ready(str(tmp_path), stopping), 10.0)

    assert asyncio.run(
        becomes_ready([OSError(5, "no"), lmdb.Error("Input/output error"), lmdb.DiskError("no")])
    )
    assert not quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == rows


def test_a_later_builds_database_is_sealed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rows = fill_store(tmp_path)
    for module in (store_module, storage_check, compaction):
        monkeypatch.setattr(module, "DATABASE_NAMES", (*DATABASE_NAMES, "more"))
    for _ in range(2):
        storage_check.prepare_store(str(tmp_path))
        assert read_keys(tmp_path) == rows and not quarantine.has_lost_state(str(tmp_path))


def test_a_disk_that_refuses_writes_does_not_delay_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The controller can still send its state to others; its votes and grants fail one by one."""
    rows = fill_store(tmp_path)
    real = open

    def refuse(path: Any, mode: str = "r", **kwargs: Any) -> Any:
        if set(mode) & set("wax+") and str(path).startswith(str(tmp_path)):
            raise OSError(28, "no space")
        return real(path, mode, **kwargs)

    monkeypatch.setattr("builtins.open", refuse)
    before = (tmp_path / "data.mdb").read_bytes()
    storage_check.prepare_store(str(tmp_path))
    assert read_keys(tmp_path) == rows and (tmp_path / "data.mdb").read_bytes() == before


def test_a_store_of_the_first_format_is_migrated(tmp_path: Path) -> None:
    rows = {b"k%d" % n: pack(["t", n, None]) for n in range(50)}

    def write_first_format(txn: Any, dbs: Any) -> None:
        records = [
            record for n, state in ACCEPTOR_STATES.items() for record in initial_records(n, state, True)
        ]
        for _, key, value in (*records, ("about", b"founders", pack(list(FOUNDERS)))):
            txn.put(key, value, db=dbs["about"])
        for key, value in rows.items():
            txn.put(key, value, db=dbs["slips"])

    change_behind_store(tmp_path, write_first_format)
    loop: Any = Loop()
    with pytest.raises(StoreError, match="written by an earlier build and not migrated yet"):
        Store(str(tmp_path), loop)
    storage_check.prepare_store(str(tmp_path))
    contents = storage_check.read_contents(str(tmp_path))
    assert contents is not None and (contents.format, contents.acceptor_states, contents.key_count) == (
        STORE_FORMAT,
        ACCEPTOR_STATES,
        50,
    )
    assert read_keys(tmp_path) == rows
