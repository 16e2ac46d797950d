"""A loss of power and the names of files: without a sync of their folder each may be kept or lost by itself.

`NamesDisk` watches one folder while real code works on it. Before each call that changes or syncs names it
can tell all trees that a loss of power may leave there: the contents as they are, and of each name that
differs from what was last synced either what it is now or what it was then.
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

CALLS = ("rename", "replace", "remove", "mkdir", "fsync")

Names = dict[str, bytes | None]  # by path below the top: a file's contents, None for a folder


@dataclass(frozen=True)
class _Entry:
    inode: int
    content: bytes | None


class NamesDisk:
    """The folders below `top`, of which `top` itself is there for good."""

    def __init__(self, top: Path, crash: Callable[[list[Names]], None]) -> None:
        """`crash`: hears before each call what a loss of power could leave."""
        self.top = top
        self._crash = crash
        self._looking = False
        self._synced = self._now()
        self._patches = [mock.patch.object(os, name, self._watched(name)) for name in CALLS]

    def __enter__(self) -> NamesDisk:
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *_: Any) -> None:
        for patch in self._patches:
            patch.stop()

    def _watched(self, name: str) -> Callable[..., Any]:
        call = getattr(os, name)

        def watched(*args: Any, **options: Any) -> Any:
            if self._looking:
                return call(*args, **options)
            self.crash()
            done = call(*args, **options)
            if name == "fsync" and os.path.isdir(folder := os.readlink(f"/proc/self/fd/{args[0]}")):
                self._note_sync(folder)
            return done

        return watched

    def crash(self) -> None:
        """Have all looked at that a loss of power may leave now."""
        self._looking = True
        try:
            self._crash(self._left())
        finally:
            self._looking = False

    def _now(self) -> dict[str, _Entry]:
        found = {}
        for path in sorted(self.top.rglob("*")):
            content = path.read_bytes() if path.is_file() else None
            found[str(path.relative_to(self.top))] = _Entry(path.stat().st_ino, content)
        return found

    def _note_sync(self, folder: str) -> None:
        below = os.path.relpath(folder, self.top)
        now = self._now()
        for name in {*now, *self._synced}:
            if (os.path.dirname(name) or ".") == below:
                if name in now:
                    self._synced[name] = now[name]
                else:
                    self._synced.pop(name, None)

    def _left(self) -> list[Names]:
        now = self._now()
        for name, entry in self._synced.items():  # what is written to the same file stays with it
            if name in now and now[name].inode == entry.inode:
                self._synced[name] = now[name]
        names = sorted({*now, *self._synced})
        changed = [name for name in names if now.get(name) != self._synced.get(name)]
        trees = []
        for lost in itertools.product((False, True), repeat=len(changed)):
            tree = dict(now)
            for name in itertools.compress(changed, lost):
                tree.pop(name, None)
                if name in self._synced:
                    tree[name] = self._synced[name]
            kept: Names = {"": None}
            for name, entry in sorted(tree.items()):  # what is in a lost folder is lost
                if kept.get(os.path.dirname(name), b"") is None:
                    kept[name] = entry.content
            del kept[""]
            trees.append(kept)
        return trees


def make(tree: Names, top: Path) -> None:
    """Have what was left in a folder, which is emptied first."""
    shutil.rmtree(top, ignore_errors=True)
    top.mkdir(parents=True)
    for name, content in sorted(tree.items()):
        if content is None:
            (top / name).mkdir()
        else:
            (top / name).write_bytes(content)
