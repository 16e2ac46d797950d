"""A damaged store is moved to the quarantine, and its controller must not act as a founder again."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from orchidferry.mesh import program
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.storage import quarantine, storage_check
from tests.mesh.control.fakes import controller_settings
from tests.mesh.storage.fakes import (
    change_behind_store,
    close,
    delete_voter_records,
    fill_store,
)


def test_a_store_that_crashes_the_process_is_quarantined(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fill_store(tmp_path)
    (tmp_path / "opening").write_bytes(b"x")
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path)) and not (tmp_path / "opening").exists()
    (tmp_path / "opening").write_bytes(b"x" * storage_check.MAX_CRASHES)
    storage_check.prepare_store(str(tmp_path))
    assert quarantine.has_lost_state(str(tmp_path)) and not (tmp_path / "opening").exists()
    fill_store(tmp_path)  # the quarantine keeps the newest store only, and none above the size limit
    monkeypatch.setattr(quarantine, "MAX_QUARANTINE_BYTES", 1)
    change_behind_store(tmp_path, delete_voter_records)
    storage_check.prepare_store(str(tmp_path))
    assert os.listdir(tmp_path / "bad") == ["why"]


def test_a_controller_that_lost_its_state_does_not_act_as_founder(tmp_path: Path) -> None:
    async def start() -> int:
        controller = await program.start_controller(
            controller_settings(tmp_path), asyncio.get_running_loop(), asyncio.Event()
        )
        assert controller is not None
        close(controller._store)
        return controller._runner.configuration_shard.voter.disk_id

    first = asyncio.run(start())
    assert first == shard_state.FOUNDER_DISK_ID
    (tmp_path / "data.mdb").write_bytes(b"this is no store" * 1_000)
    second = asyncio.run(start())
    assert second != first and asyncio.run(start()) == second
