"""A power loss at each creation, renaming or removal of a file in a data directory.

Afterwards acknowledged writes are still on disk, or the controller knows that it has lost its state.
"""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.shard import initial_records
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage import compaction, environment, quarantine, storage_check
from orchidferry.mesh.storage import snapshot as snapshots
from orchidferry.mesh.storage import store as store_module
from orchidferry.mesh.storage.record_format import pack
from orchidferry.mesh.storage.store import Store
from orchidferry.testkit.model.power_loss import FileTree, PowerLossDisk, write_tree
from tests.mesh.storage.fakes import Loop, close

FOUNDERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class PowerLossCheck:
    """Checks each state of the disk that a power loss could leave, as a controller does when it starts again.

    :ivar top: the directory on the simulated disk
    :ivar folder: name of the data directory in it
    :ivar restart_directory: where the states of the disk are written to be checked
    :ivar acknowledged: records that were acknowledged as written
    :ivar may_lose_state: whether a quarantined store is allowed
    :ivar check_count: number of states that were checked
    :ivar lost: descriptions of the losses that were found
    """

    def __init__(self, top: Path, folder: str = "data") -> None:
        self.top = top
        self.folder = folder
        self.restart_directory = top.parent / "left"
        self.acknowledged: dict[bytes, bytes] = {}
        self.may_lose_state = False
        self.check_count = 0
        self.lost: list[str] = []

    def __call__(self, trees: list[FileTree]) -> None:
        for tree in trees:
            self.check_count += 1
            write_tree(tree, self.restart_directory)
            data = self.restart_directory / self.folder
            storage_check.prepare_store(str(data))
            if quarantine.has_lost_state(str(data)):
                if not self.may_lose_state:
                    self.lost.append(f"quarantined in {sorted(tree)}")
            elif missing := self.acknowledged.items() - read_all(data).items():
                self.lost.append(f"{sorted(missing)} in {sorted(tree)}")


def read_all(folder: Path) -> dict[bytes, bytes]:
    """Return the controller's own records in the store of a folder."""
    loop: Any = Loop()
    store = Store(str(folder), loop)
    found = dict(store.read_all("about"))
    close(store)
    return found


def put(store: Store, check: PowerLossCheck, key: bytes, value: bytes) -> None:
    """Write a record, and expect it to survive a power loss from its acknowledgement on."""
    results: list[bool] = []
    store.write([("about", key, value)], results.append)
    loop: Any = store._loop
    while not results:
        loop.step()
    assert results == [True]
    check.acknowledged[key] = value


def test_the_first_writes_of_a_new_store_survive_a_power_loss(tmp_path: Path) -> None:
    top = tmp_path / "disk"
    top.mkdir()
    check = PowerLossCheck(top)
    with PowerLossDisk(top, check) as disk:
        for n in range(2):  # the second start finds the file that the first one created
            loop: Any = Loop()
            storage_check.prepare_store(str(top / "data"))
            store = Store(str(top / "data"), loop)
            for key in (b"first", b"second"):
                put(store, check, key, b"promised %d" % n)
                disk.lose_power()
            close(store)
    assert not check.lost and check.check_count > 10


@pytest.mark.parametrize("killed", [False, True])
def test_a_compaction_survives_a_power_loss(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, killed: bool
) -> None:
    top = tmp_path / "disk"
    top.mkdir()
    check = PowerLossCheck(top)
    loop = Loop()
    folder = top / "data"
    any_loop = loop
    with PowerLossDisk(top, check) as disk:
        store = Store(str(folder), any_loop)  # type: ignore[arg-type]
        for n in range(40):
            store.write([("slips", b"k%d" % n, b"x" * 4_000)])
        put(store, check, b"kept/0", b"first")
        store.write([("slips", b"k%d" % n, None) for n in range(40)])
        put(store, check, b"kept/0", pack([5, [0, ""], [0, ""], None]))
        close(store)
        monkeypatch.setattr(compaction, "MIN_COMPACT_BYTES", 4_096)
        size = (folder / "data.mdb").stat().st_size
        if killed:  # right after the rename; the restarted controller writes
            with monkeypatch.context() as patch:
                patch.setattr(compaction, "sync_directory", _interrupt)
                with pytest.raises(KeyboardInterrupt):
                    storage_check.prepare_store(str(folder))
        storage_check.prepare_store(str(folder))
        assert (folder / "data.mdb").stat().st_size < size
        store = Store(str(folder), any_loop)  # type: ignore[arg-type]
        put(store, check, b"later", b"word")
        disk.lose_power()
        close(store)
    assert not check.lost and check.check_count > 10


def _interrupt(folder: str) -> None:
    raise KeyboardInterrupt


def test_a_quarantined_store_survives_a_power_loss(tmp_path: Path) -> None:
    top = tmp_path / "disk"
    top.mkdir()
    check = PowerLossCheck(top)
    loop = Loop()
    folder = top / "data"
    any_loop = loop
    with PowerLossDisk(top, check):
        store = Store(str(folder), any_loop)  # type: ignore[arg-type]
        put(store, check, b"kept/0", pack([5, [0, ""], [0, ""], None]))
        close(store)
        check.may_lose_state = True
        file = folder / "data.mdb"
        file.write_bytes(b"\xff" * file.stat().st_size)
        storage_check.prepare_store(str(folder))
    assert quarantine.has_lost_state(str(folder)) and not check.lost and check.check_count > 10


def test_a_restored_snapshot_survives_a_power_loss(tmp_path: Path) -> None:
    old = tmp_path / "old"
    top = tmp_path / "disk"
    loop = Loop()
    top.mkdir()
    any_loop: Any = loop
    store = Store(str(old), any_loop)
    for number in shard_state.SHARDS:
        store.write(initial_records(number, AcceptorState(5), True))
    store.write([("about", b"founders", pack(list(FOUNDERS)))])
    close(store)
    snapshots.take_snapshot(str(old), str(tmp_path / "file"))
    check = PowerLossCheck(top)
    with PowerLossDisk(top, check) as disk:
        snapshots.restore_snapshot(str(top / "data"), str(tmp_path / "file"), FOUNDERS)
        check.acknowledged = {b"founders": pack(sorted(FOUNDERS))}
        disk.lose_power()
    assert not check.lost and check.check_count > 3


@pytest.mark.parametrize("broken", ["no-names-synced", "parent-not-synced", "bad-not-synced"])
def test_a_missing_sync_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, broken: str) -> None:
    if broken == "no-names-synced":
        monkeypatch.setattr(store_module, "sync_directory_and_parent", lambda folder: None)
    elif broken == "parent-not-synced":
        monkeypatch.setattr(snapshots, "sync_directory_and_parent", environment.sync_directory)
    else:
        monkeypatch.setattr(quarantine, "sync_directory", lambda folder: None)
    test = {
        "no-names-synced": test_the_first_writes_of_a_new_store_survive_a_power_loss,
        "parent-not-synced": test_a_restored_snapshot_survives_a_power_loss,
        "bad-not-synced": test_a_quarantined_store_survives_a_power_loss,
    }[broken]
    with pytest.raises(AssertionError):
        test(tmp_path)


# A disk that is full from the first write on


def test_a_controller_without_a_store_waits_for_space(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def refuse(*args: Any, **kwargs: Any) -> Any:
        raise OSError(errno.ENOSPC, "no space")

    folder, loop = str(tmp_path / "data"), Loop()
    any_loop: Any = loop
    for name in ("makedirs", "open_environment", "sync_directory_and_parent"):
        with monkeypatch.context() as patch:
            if name == "makedirs":
                patch.setattr("os.makedirs", refuse)
            else:
                patch.setattr(store_module, name, refuse)
            if name == "sync_directory_and_parent":  # the store can be opened, but commits fail
                store, results = Store(folder, any_loop), list[bool]()
                store.write([("about", b"k", b"v")], results.append)
                while not results:
                    loop.step()
                assert results == [False] and store.failing_since_s
                patch.undo()
                store.write([("about", b"k", b"v")], results.append)
                while store.failing_since_s:
                    loop.step()
                assert results[-1]
                close(store)
            else:
                with pytest.raises(StoreError, match="no space"):
                    Store(folder, any_loop)
    assert read_all(Path(folder))[b"k"] == b"v"
