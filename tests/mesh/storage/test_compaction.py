"""A store with mostly free pages is replaced by a compact copy; if that fails, the store is not changed."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.storage import compaction, inspection, storage_check
from orchidferry.mesh.storage.store import Store
from tests.mesh.storage.fakes import (
    Loop,
    close,
    fill_store,
    read_keys,
)


@pytest.mark.parametrize("fails", ["", "rename", "copy", "sync"])
def test_a_store_is_compacted_or_remains_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str
) -> None:
    rows = fill_store(tmp_path, 2_000)
    file = tmp_path / "data.mdb"
    deleted = [key for n, key in enumerate(rows) if n % 10]
    loop: Any = Loop()
    store = Store(str(tmp_path), loop)
    store.write([("slips", key, None) for key in deleted])
    close(store)
    remaining, size = {key: raw for key, raw in rows.items() if key not in deleted}, file.stat().st_size
    monkeypatch.setattr(compaction, "MIN_COMPACT_BYTES", 4_096)

    def refuse(*args: Any, **kwargs: Any) -> Any:
        raise OSError(28, "no space")

    if fails == "rename":
        monkeypatch.setattr("os.rename", refuse)
        storage_check.prepare_store(str(tmp_path))
    elif fails == "sync":  # the rename may not be durable: the store must not be used before it is
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
    assert sorted(os.listdir(tmp_path)) == ["data.mdb", "lock"] and read_keys(tmp_path) == remaining


def test_a_store_is_compacted_only_if_both_files_fit() -> None:
    def contents(used: int, size: int) -> inspection.StoreContents:
        return inspection.StoreContents(2, {}, None, (), frozenset(), 0, used, size)

    assert compaction.should_compact(contents(70_000_000, 167_000_000), 0)
    assert not compaction.should_compact(contents(70_000_000, 167_000_000), 64_000_000)
    assert not compaction.should_compact(contents(100_000_000, 167_000_000), 0)
    assert not compaction.should_compact(contents(1_000, 10_000_000), 0)
