"""The commands that take and restore a snapshot, and `controller --check`."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from orchidferry.mesh import program
from orchidferry.mesh.storage import snapshot as snapshots
from orchidferry.mesh.storage.snapshot_file import SnapshotError
from orchidferry.mesh.storage.store import Store
from tests.mesh.storage.fakes import (
    FOUNDERS,
    Loop,
    close,
    fill_store,
)

BOOT = """own_node = {{ node_name = "n", ip = "10.0.0.1", zone = "z", data_dir = "{folder}" }}
network = {{ internal_ports = [1, 2], seed_nodes = ["10.0.0.1:2"], listen_points = {{ control = "10.0.0.1:9" }} }}
term_settings = {{}}
"""  # noqa: E501


VALID_OPTIONS = ("--founders", ",".join(FOUNDERS), "--majority-is-gone")


def test_the_commands_take_and_restore_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: Any
) -> None:
    folder, path, boot = tmp_path / "d", str(tmp_path / "s"), tmp_path / "boot.toml"
    boot.write_text(BOOT.format(folder=folder))
    monkeypatch.setenv("ORCHIDFERRY_BOOT", str(boot))

    def run(*arguments: str) -> tuple[int, str, str]:
        status = program.main(["controller", *arguments])
        return (status, *capsys.readouterr())

    assert run("--check")[0] == 0 and not folder.exists()
    assert run("snapshot", "take", path)[0] == 2
    fill_store(folder)
    before = (folder / "data.mdb").read_bytes()
    status, out, _ = run("--check")
    assert status == 0 and "version 12, epoch 3, revision 7" in out and "keys: 300" in out
    assert "shard 2: disk id 5, caught up, accepted nothing yet" in out
    assert (folder / "data.mdb").read_bytes() == before
    loop: Any = Loop()
    running = Store(str(folder), loop)
    assert run("--check")[0] == 1 and run("snapshot", "take", path)[0] == 1
    close(running)
    assert run("snapshot", "take", path)[0] == 0
    raw = bytearray(Path(path).read_bytes())
    for arguments, error in (
        ((path, *VALID_OPTIONS), "not empty"),
        ((path, *VALID_OPTIONS[:2]), "--majority-is-gone"),
        ((path, "--founders", "10.0.0.1,10.0.0.2", VALID_OPTIONS[2]), "3 are needed"),
        ((path, "--founders", "10.0.0.4,10.0.0.2,10.0.0.3", VALID_OPTIONS[2]), "not among"),
        ((path, "--founders", "10.0.0.1,10.0.0.2,10.0.0.2", VALID_OPTIONS[2]), "twice"),
        ((path, "--founders", "10.0.0.1,10.0.0.2,h", VALID_OPTIONS[2]), "'h' is not an IPv4 address"),
        ((path + "x", *VALID_OPTIONS), "No such file"),
        ((str(boot), *VALID_OPTIONS), "not a snapshot"),
    ):
        status, _, line = run("snapshot", "put", *arguments)
        assert status == 2 and error in line and line.count("\n") == 1
    for damaged in (raw[:-40], raw + b"x", raw[:200] + b"\0" + raw[201:]):
        Path(path).write_bytes(damaged)
        with pytest.raises(SnapshotError):
            snapshots.restore_snapshot(str(tmp_path / "new"), path, FOUNDERS)
        assert not (tmp_path / "new").exists()
    Path(path).write_bytes(raw)
    for name in os.listdir(folder):
        (folder / name).unlink()
    status, out, _ = run("snapshot", "put", path, *VALID_OPTIONS)
    assert status == 0 and "revision 7" in out
    (folder / "data.mdb").write_bytes(b"no store" * 999)
    status, _, line = run("--check")
    assert status == 2 and str(folder) in line
    assert run("snapshot", "put", "--help")[0] == 0
