"""The last good configuration: stopped at every step of a write, on bad disks, in files that are none."""

from __future__ import annotations

import dataclasses
import errno
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings, strategies

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.node.control import store as module
from orchidferry.node.control.store import (
    FORM,
    FileSystem,
    StateFileError,
    StateLockedError,
    Store,
    decode,
    encode,
)
from orchidferry.node.state_store import LOCK, MAX_SET_ASIDE, checksum
from tests.balancing import helpers


def made(version: str, servers: int = 3) -> Configuration:
    members = tuple(
        Member(
            api.ServerEntry(2**63 + n, "z1", "k", n % 2, list(api.Health)[n == 1], 0.5),
            ("127.0.0.1", 9000 + n),
        )
        for n in range(servers)
    )
    node = NodeSettings("catalogo", helpers.settings(tenants=[api.Tenant("a", 0.5, 10.0)], repeat_ratio=0.1))
    return Configuration(
        Pools({"catalogo": members, "empty": ()}), node, {Part.MEMBERS: version, Part.SETTINGS: "s"}
    )


NAME = FORM.file_name
OLD = made("old")
NEW = made("new", 5)


class Killed(BaseException):
    """The process is gone: no handler of its own runs."""


class Stopping(FileSystem):
    """Stops at one step of one write: a step is a byte, a sync, a rename or the folder's sync."""

    def __init__(self, at: int, problem: OSError | None = None) -> None:
        self.left = at
        self.problem = problem
        self.stopped = False

    def step(self) -> None:
        if self.left == 0 and not self.stopped:
            self.stopped = True
            raise self.problem or Killed
        self.left -= 1

    def write(self, path: Path, data: bytes) -> None:
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            for at in range(len(data)):
                self.step()
                os.write(handle, data[at : at + 1])
            self.step()
        finally:
            os.close(handle)

    def rename(self, old: Path, new: Path) -> None:
        self.step()
        super().rename(old, new)

    def sync_folder(self, path: Path) -> None:
        self.step()


def left_behind(folder: Path) -> set[str]:
    return {path.name for path in folder.iterdir()} - {LOCK}


def test_what_is_kept_is_what_is_read(tmp_path: Path) -> None:
    store = Store(tmp_path / "state")
    assert store.load() == (None, "")
    assert store.save(OLD) == "" and store.save(NEW) == ""
    store.close()
    store = Store(tmp_path / "state")
    assert store.load() == (NEW, "")
    assert left_behind(tmp_path / "state") == {NAME}
    assert (tmp_path / "state" / NAME).stat().st_mode & 0o777 == 0o600
    assert (tmp_path / "state").stat().st_mode & 0o777 == 0o700
    store.close()


def test_a_kill_at_any_byte_or_step_leaves_the_old_one_or_the_new_one(tmp_path: Path) -> None:
    steps = len(encode(NEW)) + 3
    seen = []
    for at in range(steps):
        folder = tmp_path / "state"
        store = Store(folder)
        store.save(OLD)
        store._files = Stopping(at)
        with pytest.raises(Killed):
            store.save(NEW)
        store.close()
        again = Store(folder)
        found, line = again.load()
        again.close()
        assert line == "" and found in (OLD, NEW)
        assert left_behind(folder) == {NAME}  # what was begun is gone
        seen.append(found == NEW)
    assert seen == sorted(seen) and seen.count(True) == 1  # from the rename on it is the new one
    assert seen.count(False) == steps - 1


@pytest.mark.parametrize(
    "number", [errno.ENOSPC, errno.EROFS, errno.EIO], ids=["full", "read-only", "broken"]
)
def test_a_disk_that_takes_nothing_leaves_the_old_one_and_says_so(number: int, tmp_path: Path) -> None:
    problem = OSError(number, os.strerror(number))
    for at in (0, 100, len(encode(NEW)), len(encode(NEW)) + 1):
        store = Store(tmp_path / "state")
        store.save(OLD)
        store._files = Stopping(at, problem)
        line = store.save(NEW)
        assert os.strerror(number) in line and "the old one stays" in line and "\n" not in line
        assert store.load() == (OLD, "")
        assert left_behind(tmp_path / "state") == {NAME}
        assert store.save(NEW) == ""  # room came up
        assert store.load() == (NEW, "")
        store.close()


def test_two_nodes_given_one_folder_are_told_apart(tmp_path: Path) -> None:
    first = Store(tmp_path)
    with pytest.raises(StateLockedError, match="is another node's"):
        Store(tmp_path)
    code = f"from orchidferry.node.control.store import *\nStore(Path({str(tmp_path)!r}))"
    other = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False
    )
    assert "StateLockedError" in other.stderr
    first.close()
    Store(tmp_path).close()


WHOLE = encode(OLD)
BAD = {
    "empty": (b"", "foreign"),
    "another program's": (b"PK\x03\x04" + bytes(100), "foreign"),
    "a later format": (WHOLE.replace(b"last-good 1\n", b"last-good 2\n", 1), "future"),
    "no checksum": (WHOLE.split(b"\n")[0], "truncated"),
    "cut off": (WHOLE[:-1], "truncated"),
    "a byte more": (WHOLE + b" ", "corrupt"),
    "a byte changed": (WHOLE[:-30] + bytes([WHOLE[-30] ^ 1]) + WHOLE[-29:], "corrupt"),
    "whole, but no configuration": (b"%b 1\n%b 2\n{}" % (FORM.magic, checksum(b"{}")), "corrupt"),
    "whole, but a list": (b"%b 1\n%b 2\n[]" % (FORM.magic, checksum(b"[]")), "corrupt"),
}


@pytest.mark.parametrize(("data", "kind"), BAD.values(), ids=BAD.keys())
def test_a_file_that_cannot_be_used_is_set_aside_with_one_line(
    data: bytes, kind: str, tmp_path: Path
) -> None:
    path = tmp_path / NAME
    path.write_bytes(data)
    path.chmod(0o600)
    store = Store(tmp_path)
    found, line = store.load()
    assert found is None and line.count("\n") == 0
    assert line.startswith(f"{path}: ") and f"set aside as {NAME}.{kind}.0" in line
    assert (tmp_path / f"{NAME}.{kind}.0").read_bytes() == data  # nothing is lost
    assert store.save(NEW) == "" and store.load() == (NEW, "")
    store.close()


@pytest.mark.parametrize("what", ["others may read it", "a link", "a folder", "huge"])
def test_a_file_that_is_not_this_users_plain_own_is_not_read(
    what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / NAME
    elsewhere = tmp_path / "elsewhere"
    elsewhere.write_bytes(WHOLE)
    elsewhere.chmod(0o600)
    if what == "a link":
        path.symlink_to(elsewhere)
    elif what == "a folder":
        path.mkdir(mode=0o700)
    else:
        path.write_bytes(WHOLE)
        path.chmod(0o644 if what == "others may read it" else 0o600)
        if what == "huge":
            monkeypatch.setattr(module, "FORM", dataclasses.replace(FORM, max_bytes=10))
    store = Store(tmp_path)
    found, line = store.load()
    assert found is None and "set aside as last-good.foreign.0" in line
    store.close()


def test_only_so_many_are_kept_aside(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for n in range(MAX_SET_ASIDE + 3):
        (tmp_path / NAME).write_bytes(b"junk %d" % n)
        (tmp_path / NAME).chmod(0o600)
        store.load()
    aside = sorted(name for name in left_behind(tmp_path) if "foreign" in name)
    assert len(aside) == MAX_SET_ASIDE
    assert (tmp_path / aside[-1]).read_bytes() == b"junk %d" % (MAX_SET_ASIDE + 2)
    store.close()


def test_a_folder_that_cannot_be_is_an_error_of_the_systems(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError, match="file"):
        Store(tmp_path / "file" / "state")


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(strategies.integers(0, len(WHOLE) - 1), strategies.integers(1, 255))
def test_any_byte_changed_is_noticed(at: int, by: int) -> None:
    data = bytearray(WHOLE)
    data[at] ^= by
    try:
        found = decode(bytes(data))
    except StateFileError:
        return
    # The checksum covers the body; what is left is its own hex digits in capitals, which it does not take.
    raise AssertionError(f"byte {at} was taken as {found.versions}")


@settings(max_examples=200, deadline=None)
@given(strategies.binary(max_size=300))
def test_noise_is_never_more_than_unusable(data: bytes) -> None:
    for text in (data, b"%b 1\n%b %d\n%b" % (FORM.magic, checksum(data), len(data), data)):
        with pytest.raises(StateFileError):
            decode(text)
