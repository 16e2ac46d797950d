"""A controller's store is believed, set aside or waited for; a snapshot of it begins a group anew."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import lmdb
import pytest

from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import (
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    ChangeDecided,
    Prepare,
    Promise,
    SendToVoter,
    Value,
    Voter,
)
from orchidferry.mesh import __main__ as program
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.quorum_read import AcceptedReport, decided_value
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage import compaction, inspection, quarantine, snapshot_file, storage_check
from orchidferry.mesh.storage import snapshot as snapshots
from orchidferry.mesh.storage import store as store_module
from orchidferry.mesh.storage.environment import DATABASE_NAMES, open_environment
from orchidferry.mesh.storage.record_format import FORMAT_KEY, STORE_FORMAT, add_checksum, pack, write_seal
from orchidferry.mesh.storage.snapshot_file import SnapshotError
from orchidferry.mesh.storage.store import Store
from tests.mesh.control.fakes import controller_settings
from tests.mesh.storage.test_store import Loop, close

FOUNDERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
BODY = shard_state.Body(3, 7, b"{}", ((7, b"d"),), "10.0.0.2", 4)
OLD = Value(12, (Voter("10.0.0.1", 5), Voter("10.0.0.2", 6)), BODY)
KEPT = {
    n: AcceptorState(5, (9, "x"), (8, "y"), OLD) if n != 2 else AcceptorState(5) for n in shard_state.SHARDS
}


def fill(folder: Path, keys: int = 300) -> dict[bytes, bytes]:
    loop: Any = Loop()
    store = Store(str(folder), loop)
    rows = {b"k%d" % n: pack([f"t{n}", n, b"x" * (n % 7) * 40]) for n in range(keys)}
    for name, key, value in (
        *(put for n, kept in KEPT.items() for put in initial_records(n, kept, True)),
        ("about", b"founders", pack(list(FOUNDERS))),
        *(("slips", key, raw) for key, raw in rows.items()),
    ):
        store.write([(name, key, value)])
    close(store)
    return rows


def stored(folder: Path) -> dict[bytes, bytes]:
    loop: Any = Loop()
    store = Store(str(folder), loop)
    found = dict(store.read_all("slips"))
    close(store)
    return found


def rewrite(folder: Path, change: Any) -> None:
    """Change a store behind the store's back."""
    env = open_environment(str(folder))
    dbs = {name: env.open_db(name.encode()) for name in DATABASE_NAMES}
    with env.begin(write=True) as txn:
        change(txn, dbs)
    env.close()


def unsealed(txn: Any, dbs: Any) -> None:
    txn.put(b"k1", add_checksum("slips", b"k1", pack(["t1", 1, None])), db=dbs["slips"])


def elsewhere(txn: Any, dbs: Any) -> None:
    txn.put(b"k2", txn.get(b"k3", db=dbs["slips"]), db=dbs["slips"])
    write_seal(txn, dbs)


def memory(value: Any) -> Any:
    def change(txn: Any, dbs: Any) -> None:
        txn.put(b"kept/0", add_checksum("about", b"kept/0", value), db=dbs["about"])
        write_seal(txn, dbs)

    return change


def no_memory(txn: Any, dbs: Any) -> None:
    for n in shard_state.SHARDS:
        txn.delete(b"kept/%d" % n, db=dbs["about"])
    write_seal(txn, dbs)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        (unsealed, "the root is that of transaction"),
        (elsewhere, "record b'k2' of slips"),
        (memory(b"\xff"), "record 'kept/0' of about can't be read"),
        (memory(pack([1, 2])), "'kept/0' of about"),
        (memory(pack(["5", [1, "a"], [1, "a"], None])), "no voter's memory"),
        (no_memory, "'kept' of about are missing"),
    ],
)
def test_what_can_not_be_believed_is_forgotten(tmp_path: Path, change: Any, why: str) -> None:
    rows = fill(tmp_path)
    storage_check.prepare_store(str(tmp_path))
    assert stored(tmp_path) == rows and not quarantine.has_lost_state(str(tmp_path))
    rewrite(tmp_path, change)
    with pytest.raises(StoreError, match=why):
        storage_check.read_contents(str(tmp_path))
    before = (tmp_path / "data.mdb").read_bytes()
    storage_check.prepare_store(str(tmp_path))
    assert why in (tmp_path / "bad" / "why").read_text()
    assert (tmp_path / "bad" / "data.mdb").read_bytes() == before
    assert quarantine.has_lost_state(str(tmp_path)) and stored(tmp_path) == {}


@pytest.mark.parametrize("seed", range(9))
def test_no_damage_passes_for_memory(tmp_path: Path, seed: int) -> None:
    """Pages of chance, bits turned, an end cut off: the very records are there, or none is."""
    rows = fill(tmp_path)
    file = tmp_path / "data.mdb"
    rng = random.Random(seed)
    raw = bytearray(file.read_bytes())
    at = rng.randrange(len(raw) // 4096) * 4096
    if seed % 3 == 0:
        raw[at : at + 4096] = rng.randbytes(4096)
    elif seed % 3 == 1:
        raw[at + rng.randrange(4096)] ^= 1 << rng.randrange(8)
    else:
        at = at if seed > 2 else 4_096  # once in the second root
        raw[at + 100 :] = rng.randbytes(512)
    file.write_bytes(raw)
    words = [
        sys.executable,
        "-c",
        f"from orchidferry.mesh.storage import storage_check; storage_check.prepare_store({str(tmp_path)!r})",
    ]
    ends = [subprocess.run(words, timeout=20.0, capture_output=True).returncode]
    while ends[-1] and len(ends) <= storage_check.MAX_CRASHES:  # lmdb may end it
        assert ends[-1] < 0
        ends.append(subprocess.run(words, timeout=20.0, capture_output=True).returncode)
    assert not ends[-1]
    found = stored(tmp_path)
    assert found == ({} if quarantine.has_lost_state(str(tmp_path)) else rows)


def test_a_store_that_ends_the_process_is_set_aside(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fill(tmp_path)
    (tmp_path / "opening").write_bytes(b"x")
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path)) and not (tmp_path / "opening").exists()
    (tmp_path / "opening").write_bytes(b"x" * storage_check.MAX_CRASHES)
    storage_check.prepare_store(str(tmp_path))
    assert quarantine.has_lost_state(str(tmp_path)) and not (tmp_path / "opening").exists()
    fill(tmp_path)  # of two that were set aside the newer is kept, and a large one is not
    monkeypatch.setattr(quarantine, "MAX_QUARANTINE_BYTES", 1)
    rewrite(tmp_path, no_memory)
    storage_check.prepare_store(str(tmp_path))
    assert os.listdir(tmp_path / "bad") == ["why"]


def test_what_only_can_not_be_read_now_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rows = fill(tmp_path)

    def newer(txn: Any, dbs: Any) -> None:
        write_seal(txn, dbs)
        txn.put(FORMAT_KEY, add_checksum("about", FORMAT_KEY, pack(9)), db=dbs["about"])

    rewrite(tmp_path, newer)
    with pytest.raises(StoreError, match="format 9 is of a later build"):
        storage_check.prepare_store(str(tmp_path))
    rewrite(tmp_path, write_seal)

    async def opened(problems: list[Exception]) -> bool:
        stopping = asyncio.Event()
        real = open_environment

        def open_(path: str, **how: Any) -> Any:
            if problems:
                raise problems.pop()
            return real(path, **how)

        monkeypatch.setattr(storage_check, "open_environment", open_)
        monkeypatch.setattr(storage_check, "RETRY_INTERVAL_S", 0.001)
        return await asyncio.wait_for(storage_check.wait_until_ready(str(tmp_path), stopping), 10.0)

    assert asyncio.run(opened([OSError(5, "no"), lmdb.Error("Input/output error"), lmdb.DiskError("no")]))
    assert not quarantine.has_lost_state(str(tmp_path)) and stored(tmp_path) == rows


def test_a_later_builds_database_is_sealed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    rows = fill(tmp_path)
    for module in (store_module, storage_check, compaction):
        monkeypatch.setattr(module, "DATABASE_NAMES", (*DATABASE_NAMES, "more"))
    for _ in range(2):
        storage_check.prepare_store(str(tmp_path))
        assert stored(tmp_path) == rows and not quarantine.has_lost_state(str(tmp_path))


def test_a_disk_that_refuses_all_writes_is_no_reason_to_wait(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What it has can be told to others; votes and grants fail one by one."""
    rows = fill(tmp_path)
    real = open

    def refuse(path: Any, mode: str = "r", **how: Any) -> Any:
        if set(mode) & set("wax+") and str(path).startswith(str(tmp_path)):
            raise OSError(28, "no space")
        return real(path, mode, **how)

    monkeypatch.setattr("builtins.open", refuse)
    before = (tmp_path / "data.mdb").read_bytes()
    storage_check.prepare_store(str(tmp_path))
    assert stored(tmp_path) == rows and (tmp_path / "data.mdb").read_bytes() == before


def test_one_that_has_forgotten_is_no_founder(tmp_path: Path) -> None:
    async def start() -> int:
        settings = controller_settings(tmp_path)
        found = await program.start_controller(settings, asyncio.get_running_loop(), asyncio.Event())
        assert found is not None
        close(found._store)
        return found._runner.configuration_shard.voter.disk_id

    first = asyncio.run(start())
    assert first == shard_state.GENESIS
    (tmp_path / "data.mdb").write_bytes(b"this is no store" * 1_000)
    second = asyncio.run(start())
    assert second != first and asyncio.run(start()) == second


def test_the_first_format_is_brought_up(tmp_path: Path) -> None:
    rows = {b"k%d" % n: pack(["t", n, None]) for n in range(50)}

    def old(txn: Any, dbs: Any) -> None:
        puts = [put for n, kept in KEPT.items() for put in initial_records(n, kept, True)]
        for _, key, value in (*puts, ("about", b"founders", pack(list(FOUNDERS)))):
            txn.put(key, value, db=dbs["about"])
        for key, value in rows.items():
            txn.put(key, value, db=dbs["slips"])

    rewrite(tmp_path, old)
    loop: Any = Loop()
    with pytest.raises(StoreError, match="not made ready"):
        Store(str(tmp_path), loop)
    storage_check.prepare_store(str(tmp_path))
    stock = storage_check.read_contents(str(tmp_path))
    assert stock is not None and (stock.format, stock.acceptor_states, stock.key_count) == (
        STORE_FORMAT,
        KEPT,
        50,
    )
    assert stored(tmp_path) == rows


def test_a_store_from_before_parts_is_carried_over_by_a_snapshot(tmp_path: Path) -> None:
    def early(txn: Any, dbs: Any) -> None:
        value = shard_state_codec.pack_value(OLD)[:7]
        for key, record in ((b"kept", [5, [9, "x"], [8, "y"], value]), (b"founders", list(FOUNDERS))):
            txn.put(key, pack(record), db=dbs["about"])
        txn.put(b"k", pack(["t", 1, None]), db=dbs["slips"])

    rewrite(tmp_path, early)
    with pytest.raises(StoreError, match="by a snapshot"):
        storage_check.prepare_store(str(tmp_path))
    taken = snapshots.take_snapshot(str(tmp_path), str(tmp_path / "s"))
    assert taken.states[0] == replace(OLD, body=replace(BODY, owner="", fencing_token=0))
    snapshots.restore_snapshot(str(tmp_path / "new"), str(tmp_path / "s"), FOUNDERS)
    assert stored(tmp_path / "new") == {b"k": pack(["t", 1, None])}


@pytest.mark.parametrize("fails", ["", "rename", "copy", "sync"])
def test_a_store_shrinks_or_stays(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    rows = fill(tmp_path, 2_000)
    file = tmp_path / "data.mdb"
    gone = [key for n, key in enumerate(rows) if n % 10]
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    store.write([("slips", key, None) for key in gone])
    close(store)
    left, size = {key: raw for key, raw in rows.items() if key not in gone}, file.stat().st_size
    monkeypatch.setattr(compaction, "MIN_COMPACT_BYTES", 4_096)

    def refuse(*words: Any, **more: Any) -> Any:
        raise OSError(28, "no space")

    if fails == "rename":
        monkeypatch.setattr("os.rename", refuse)
        storage_check.prepare_store(str(tmp_path))
    elif fails == "sync":  # the name may not last: nothing may be written to it before it does
        monkeypatch.setattr("os.fsync", refuse)
        for _ in range(2):
            with pytest.raises(StoreError, match="no space"):
                storage_check.prepare_store(str(tmp_path))
    elif fails == "copy":
        monkeypatch.setattr(compaction, "write_seal", refuse)
        storage_check.prepare_store(str(tmp_path))
    else:
        storage_check.prepare_store(str(tmp_path))
        assert file.stat().st_size < size / 2
    monkeypatch.undo()
    storage_check.prepare_store(str(tmp_path))
    assert sorted(os.listdir(tmp_path)) == ["data.mdb", "lock"] and stored(tmp_path) == left


def test_a_copy_is_made_only_where_both_fit() -> None:
    def stock(used: int, size: int) -> inspection.StoreContents:
        return inspection.StoreContents(2, {}, None, (), frozenset(), 0, used, size)

    assert compaction.should_compact(stock(70_000_000, 167_000_000), 0)
    assert not compaction.should_compact(stock(70_000_000, 167_000_000), 64_000_000)
    assert not compaction.should_compact(stock(100_000_000, 167_000_000), 0)
    assert not compaction.should_compact(stock(1_000, 10_000_000), 0)


# Snapshots


def test_three_restored_keepers_agree_and_outrank_the_lost_group(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(snapshots, "KEYS_PER_TRANSACTION", 70)
    rows = fill(tmp_path / "old")
    path = str(tmp_path / "s")
    taken = snapshots.take_snapshot(str(tmp_path / "old"), path)
    assert (
        snapshot_file.read_snapshot(path) == taken and taken.states[0] == OLD and taken.states[2].version == 0
    )
    names = {name: tmp_path / name for name in FOUNDERS}
    kept = {
        name: snapshots.restore_snapshot(str(folder), path, FOUNDERS)[1] for name, folder in names.items()
    }
    for folder in names.values():
        storage_check.prepare_store(str(folder))
        assert stored(folder) == rows and not quarantine.has_lost_state(str(folder))
    one = kept[FOUNDERS[0]][shard_state.CONFIGURATION]
    assert all(k == kept[FOUNDERS[0]] for k in kept.values()) and one.disk_id not in (1, 5, 6)
    assert one.value is not None and one.value.version > 12 and one.value.former_voters == ()
    body = shard_state.body(one.value)
    assert (
        body.epoch > 3
        and body.fencing_token > 4
        and (body.compressed_text, body.orders) == (BODY.compressed_text, BODY.orders)
    )
    assert {n: k.value.version > 2**31 for n, k in kept[FOUNDERS[0]].items() if k.value} == dict.fromkeys(
        shard_state.SHARDS, True
    )
    # Two of them know it decided, with nothing written, and grant keys; a lone one does not.
    voters = {name: Acceptor(name, kept[name][0]) for name in FOUNDERS}
    seen = [AcceptedReport(v.voter, v.state.accepted, v.state.value) for v in voters.values()]
    known = decided_value(seen[:2], None, (0, ""), None)
    assert known == one.value and decided_value(seen[:1], None, (0, ""), None) is None
    assert Standing(True).grants(shard_state.body(known).epoch, voters[FOUNDERS[0]].voter, known, one.value)
    # A survivor of the lost group has no voice, and its ballots and versions are behind.
    survivor = AcceptedReport(Voter("10.0.0.2", 6), (8, "y"), OLD)
    assert decided_value([seen[0], survivor], None, (0, ""), None) is None
    # A change builds on it, whoever of them asks, with no more known than the first state.
    proposer = Proposer("10.0.0.3 life", shard_state.genesis(FOUNDERS), random.Random(1))
    change = shard_state.PutConfiguration(b"new", 8, b"e", 7)
    todo: list[Any] = list(proposer.ask("a", change, 0.0, 1e6))
    now = 0.0
    done = None
    while done is None:
        if not todo:
            now += 10_000.0
            todo += proposer.tick(now)
        action = todo.pop(0)
        if isinstance(action, ChangeDecided):
            done = action.value
        elif isinstance(action, SendToVoter) and isinstance(action.message, Prepare | Accept):
            answers = voters[action.to].handle(action.message, "p") if action.to != FOUNDERS[1] else []
            for answer in answers:
                if isinstance(answer, SendToVoter) and isinstance(answer.message, Promise | Accepted):
                    todo += proposer.handle(answer.message, now)
    assert shard_state.body(done).compressed_text == b"new" and done.voters == one.value.voters


def test_a_file_or_another_list_makes_other_voters(tmp_path: Path) -> None:
    fill(tmp_path / "old")
    digests = [snapshots.take_snapshot(str(tmp_path / "old"), str(tmp_path / "s")).digest for _ in range(2)]
    memories = {snapshots.restored_disk_id(d, names) for d in digests for names in (FOUNDERS, FOUNDERS[:2])}
    assert len(memories) == 4
    assert snapshots.restored_disk_id(digests[0], FOUNDERS) == snapshots.restored_disk_id(
        digests[0], FOUNDERS[::-1]
    )


BOOT = """own_node = {{ node_name = "n", ip = "10.0.0.1", zone = "z", data_dir = "{folder}" }}
network = {{ internal_ports = [1, 2], seed_nodes = ["10.0.0.1:2"], listen_points = {{ control = "10.0.0.1:9" }} }}
term_settings = {{}}
"""  # noqa: E501
GOOD = ("--founders", ",".join(FOUNDERS), "--majority-is-gone")


def test_the_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: Any) -> None:
    folder, path, boot = tmp_path / "d", str(tmp_path / "s"), tmp_path / "boot.toml"
    boot.write_text(BOOT.format(folder=folder))
    monkeypatch.setenv("ORCHIDFERRY_BOOT", str(boot))

    def run(*words: str) -> tuple[int, str, str]:
        status = program.main(["controller", *words])
        return (status, *capsys.readouterr())

    assert run("--check")[0] == 0 and not folder.exists()
    assert run("snapshot", "take", path)[0] == 2
    fill(folder)
    before = (folder / "data.mdb").read_bytes()
    status, out, _ = run("--check")
    assert status == 0 and "version 12, epoch 3, revision 7" in out and "keys: 300" in out
    assert "part 2: memory 5, caught up, accepted nothing yet" in out
    assert (folder / "data.mdb").read_bytes() == before
    loop: Any = Loop()
    running = Store(str(folder), loop)
    assert run("--check")[0] == 1 and run("snapshot", "take", path)[0] == 1
    close(running)
    assert run("snapshot", "take", path)[0] == 0
    raw = bytearray(Path(path).read_bytes())
    for words, why in (
        ((path, *GOOD), "not empty"),
        ((path, *GOOD[:2]), "--majority-is-gone"),
        ((path, "--founders", "10.0.0.1,10.0.0.2", GOOD[2]), "3 are needed"),
        ((path, "--founders", "10.0.0.4,10.0.0.2,10.0.0.3", GOOD[2]), "not among"),
        ((path, "--founders", "10.0.0.1,10.0.0.2,10.0.0.2", GOOD[2]), "twice"),
        ((path, "--founders", "10.0.0.1,10.0.0.2,h", GOOD[2]), "no IP number"),
        ((path + "x", *GOOD), "No such file"),
        ((str(boot), *GOOD), "no snapshot"),
    ):
        status, _, line = run("snapshot", "put", *words)
        assert status == 2 and why in line and line.count("\n") == 1
    for spoilt in (raw[:-40], raw + b"x", raw[:200] + b"\0" + raw[201:]):
        Path(path).write_bytes(spoilt)
        with pytest.raises(SnapshotError):
            snapshots.restore_snapshot(str(tmp_path / "new"), path, FOUNDERS)
        assert not (tmp_path / "new").exists()
    Path(path).write_bytes(raw)
    for name in os.listdir(folder):
        (folder / name).unlink()
    status, out, _ = run("snapshot", "put", path, *GOOD)
    assert status == 0 and "revision 7" in out
    (folder / "data.mdb").write_bytes(b"no store" * 999)
    status, _, line = run("--check")
    assert status == 2 and str(folder) in line
    assert run("snapshot", "put", "--help")[0] == 0
