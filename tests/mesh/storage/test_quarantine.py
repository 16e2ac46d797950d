"""A damaged store is moved to the quarantine, and its controller must not act as a founder again."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
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
    read_keys,
)

# Ends the process by a signal while it checks its store; by `os._exit` if the signal's number is 0.
INTERRUPTED_CHECK = """
import os, sys
from orchidferry.mesh.storage import storage_check
number = int(sys.argv[2])
storage_check._check_file = lambda *_: os.kill(os.getpid(), number) if number else os._exit(0)
storage_check.prepare_store(sys.argv[1])
"""
CRASHES = (signal.SIGABRT, signal.SIGBUS, signal.SIGSEGV)
STOPS = (signal.SIGKILL, signal.SIGTERM, 0)


def interrupt_check(folder: Path, number: int) -> None:
    """Check a store in a process that ends by a signal before the check has completed."""
    command = [sys.executable, "-c", INTERRUPTED_CHECK, str(folder), str(int(number))]
    done = subprocess.run(command, timeout=20.0, capture_output=True, check=False)
    assert done.returncode == -number


@pytest.mark.parametrize("number", STOPS, ids=["SIGKILL", "SIGTERM", "exit"])
def test_a_store_whose_checks_are_cut_short_from_outside_is_kept(tmp_path: Path, number: int) -> None:
    """Failure: after two kills during its start, a controller set its sound store aside."""
    rows = fill_store(tmp_path)
    for _ in range(storage_check.MAX_CRASHES + 2):
        interrupt_check(tmp_path, number)
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == rows
    assert not (tmp_path / "opening").exists()


@pytest.mark.parametrize("number", CRASHES)
def test_a_store_that_crashes_the_process_is_quarantined(tmp_path: Path, number: signal.Signals) -> None:
    """Crashes count until a check has completed, whatever cuts other checks short between them."""
    rows = fill_store(tmp_path)
    interrupt_check(tmp_path, number)
    storage_check.prepare_store(str(tmp_path))
    for _ in range(storage_check.MAX_CRASHES):
        assert not quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == rows
        interrupt_check(tmp_path, signal.SIGKILL)
        interrupt_check(tmp_path, number)
    storage_check.prepare_store(str(tmp_path))
    assert quarantine.has_lost_state(str(tmp_path)) and not (tmp_path / "opening").exists()


def test_checks_that_an_earlier_build_counted_are_not_taken_for_crashes(tmp_path: Path) -> None:
    """Its count does not tell a crash from a kill; a store that crashes the process does so again."""
    rows = fill_store(tmp_path)
    (tmp_path / "opening").write_bytes(b"x" * storage_check.MAX_CRASHES)
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == rows


def test_crashes_of_a_store_that_is_gone_are_not_those_of_the_next_one(tmp_path: Path) -> None:
    """Failure: a process that was killed while it set a store aside set the next store aside as well."""
    fill_store(tmp_path)
    for _ in range(storage_check.MAX_CRASHES):
        interrupt_check(tmp_path, signal.SIGABRT)
    (tmp_path / "data.mdb").unlink()
    storage_check.prepare_store(str(tmp_path))
    rows = fill_store(tmp_path)
    storage_check.prepare_store(str(tmp_path))
    assert not quarantine.has_lost_state(str(tmp_path)) and read_keys(tmp_path) == rows


def test_the_quarantine_keeps_no_store_above_its_size_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fill_store(tmp_path)
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
