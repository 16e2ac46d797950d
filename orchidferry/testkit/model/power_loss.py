"""Enumerates the states in which a power loss can leave a directory tree.

`PowerLossDisk` watches one directory while production code works on it. Before each call that changes or
syncs directory entries it reports all trees that a power loss could leave there. File contents are taken as
they are now; a directory entry that has changed since the last sync of its directory is either in its current
or in its last synced state.
"""

from __future__ import annotations

import itertools
import os
import shutil
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

WATCHED_CALLS = ("rename", "replace", "remove", "mkdir", "fsync")  # functions of module `os`

FileTree = dict[str, bytes | None]  # by path relative to the top: content of a file, None for a directory


@dataclass(frozen=True, slots=True)
class _Entry:
    inode: int
    content: bytes | None  # None for a directory


class PowerLossDisk:
    """A context manager that watches the directories below `top`; `top` itself is never lost.

    :ivar top: the watched directory
    """

    def __init__(self, top: Path, on_power_loss: Callable[[list[FileTree]], None]) -> None:
        """Create a `PowerLossDisk`.

        :param top: the directory to watch
        :param on_power_loss: called before each watched call with all trees that a power loss could leave
        """
        self.top = top
        self._on_power_loss = on_power_loss
        self._reporting = False
        self._synced = self._current_entries()
        self._patches = [mock.patch.object(os, name, self._watched(name)) for name in WATCHED_CALLS]

    def __enter__(self) -> PowerLossDisk:
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *_: Any) -> None:
        for patch in self._patches:
            patch.stop()

    def _watched(self, name: str) -> Callable[..., Any]:
        call = getattr(os, name)

        def watched(*args: Any, **options: Any) -> Any:
            if self._reporting:
                return call(*args, **options)
            self.lose_power()
            result = call(*args, **options)
            if name == "fsync":
                self._record_sync(os.readlink(f"/proc/self/fd/{args[0]}"))
            return result

        return watched

    def lose_power(self) -> None:
        """Report all trees that a power loss could leave now."""
        self._reporting = True
        try:
            self._on_power_loss(self._possible_trees())
        finally:
            self._reporting = False

    def _current_entries(self) -> dict[str, _Entry]:
        entries = {}
        for path in sorted(self.top.rglob("*")):
            content = path.read_bytes() if path.is_file() else None
            entries[str(path.relative_to(self.top))] = _Entry(path.stat().st_ino, content)
        return entries

    def _record_sync(self, path: str) -> None:
        """Record a directory's entries as durable; syncing a file makes no directory entry durable."""
        if not os.path.isdir(path):
            return
        directory = os.path.relpath(path, self.top)
        current = self._current_entries()
        for name in {*current, *self._synced}:
            if (os.path.dirname(name) or ".") == directory:
                if name in current:
                    self._synced[name] = current[name]
                else:
                    self._synced.pop(name, None)

    def _possible_trees(self) -> list[FileTree]:
        current = self._current_entries()
        for name, entry in self._synced.items():  # writes to a file are independent of its directory entry
            if name in current and current[name].inode == entry.inode:
                self._synced[name] = current[name]
        names = sorted({*current, *self._synced})
        changed = [name for name in names if current.get(name) != self._synced.get(name)]
        trees = []
        for lost in itertools.product((False, True), repeat=len(changed)):
            entries = dict(current)
            for name in itertools.compress(changed, lost):
                entries.pop(name, None)
                if name in self._synced:
                    entries[name] = self._synced[name]
            trees.append(_reachable_tree(entries))
        return trees


def _reachable_tree(entries: dict[str, _Entry]) -> FileTree:
    """Return the tree without the entries below a lost directory."""
    tree: FileTree = {"": None}
    for name, entry in sorted(entries.items()):
        if tree.get(os.path.dirname(name), b"") is None:
            tree[name] = entry.content
    del tree[""]
    return tree


def write_tree(tree: FileTree, top: Path) -> None:
    """Write a tree to a directory after emptying it."""
    shutil.rmtree(top, ignore_errors=True)
    top.mkdir(parents=True)
    for name, content in sorted(tree.items()):
        if content is None:
            (top / name).mkdir()
        else:
            (top / name).write_bytes(content)
