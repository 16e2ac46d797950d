"""The last good configuration on disk: interrupted writes, full or broken disks, and unusable files."""

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
from orchidferry.node.control import store as store_module
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


def configuration(version: str, servers: int = 3) -> Configuration:
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
OLD = configuration("old")
NEW = configuration("new", 5)


class Killed(BaseException):
    """Stands for a kill of the process. Not an `Exception`, so that no handler of the store runs."""


class InterruptedFileSystem(FileSystem):
    """Fails once, at one step of a save: a byte, the file's sync, the rename or the directory's sync."""

    def __init__(self, failing_step: int, problem: OSError | None = None) -> None:
        self.steps_left = failing_step
        self.problem = problem  # raised at that step; None: `Killed`
        self.failed = False

    def step(self) -> None:
        if self.steps_left == 0 and not self.failed:
            self.failed = True
            raise self.problem or Killed
        self.steps_left -= 1

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


def file_names(directory: Path) -> set[str]:
    """Return the names of all files in a directory apart from the lock."""
    return {path.name for path in directory.iterdir()} - {LOCK}


def test_a_saved_configuration_is_loaded_again(tmp_path: Path) -> None:
    store = Store(tmp_path / "state")
    assert store.load() == (None, "")
    assert store.save(OLD) == "" and store.save(NEW) == ""
    store.close()
    store = Store(tmp_path / "state")
    assert store.load() == (NEW, "")
    assert file_names(tmp_path / "state") == {NAME}
    assert (tmp_path / "state" / NAME).stat().st_mode & 0o777 == 0o600
    assert (tmp_path / "state").stat().st_mode & 0o777 == 0o700
    store.close()


def test_a_kill_at_any_step_of_a_save_leaves_the_old_or_the_new_configuration(tmp_path: Path) -> None:
    steps = len(encode(NEW)) + 3
    seen = []
    for at in range(steps):
        directory = tmp_path / "state"
        store = Store(directory)
        store.save(OLD)
        store._files = InterruptedFileSystem(at)
        with pytest.raises(Killed):
            store.save(NEW)
        store.close()
        again = Store(directory)
        found, line = again.load()
        again.close()
        assert line == "" and found in (OLD, NEW)
        assert file_names(directory) == {NAME}  # the unfinished file has been removed
        seen.append(found == NEW)
    assert seen == sorted(seen) and seen.count(True) == 1  # the new one from the rename on
    assert seen.count(False) == steps - 1


@pytest.mark.parametrize(
    "number", [errno.ENOSPC, errno.EROFS, errno.EIO], ids=["full", "read-only", "broken"]
)
def test_a_failing_disk_keeps_the_old_configuration_and_returns_the_error(
    number: int, tmp_path: Path
) -> None:
    problem = OSError(number, os.strerror(number))
    for at in (0, 100, len(encode(NEW)), len(encode(NEW)) + 1):
        store = Store(tmp_path / "state")
        store.save(OLD)
        store._files = InterruptedFileSystem(at, problem)
        line = store.save(NEW)
        assert os.strerror(number) in line and "the old one stays" in line and "\n" not in line
        assert store.load() == (OLD, "")
        assert file_names(tmp_path / "state") == {NAME}
        assert store.save(NEW) == ""  # the disk works again
        assert store.load() == (NEW, "")
        store.close()


def test_a_second_process_cannot_open_a_locked_directory(tmp_path: Path) -> None:
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


VALID = encode(OLD)
UNUSABLE = {
    "empty": (b"", "foreign"),
    "another program's": (b"PK\x03\x04" + bytes(100), "foreign"),
    "a later format": (VALID.replace(b"last-good 1\n", b"last-good 2\n", 1), "future"),
    "no checksum": (VALID.split(b"\n")[0], "truncated"),
    "truncated": (VALID[:-1], "truncated"),
    "one byte too many": (VALID + b" ", "corrupt"),
    "a byte changed": (VALID[:-30] + bytes([VALID[-30] ^ 1]) + VALID[-29:], "corrupt"),
    "valid checksum, but no configuration": (b"%b 1\n%b 2\n{}" % (FORM.magic, checksum(b"{}")), "corrupt"),
    "valid checksum, but a list": (b"%b 1\n%b 2\n[]" % (FORM.magic, checksum(b"[]")), "corrupt"),
}


@pytest.mark.parametrize(("data", "kind"), UNUSABLE.values(), ids=UNUSABLE.keys())
def test_an_unusable_file_is_set_aside_with_one_line_for_the_log(
    data: bytes, kind: str, tmp_path: Path
) -> None:
    path = tmp_path / NAME
    path.write_bytes(data)
    path.chmod(0o600)
    store = Store(tmp_path)
    found, line = store.load()
    assert found is None and line.count("\n") == 0
    assert line.startswith(f"{path}: ") and f"set aside as {NAME}.{kind}.0" in line
    assert (tmp_path / f"{NAME}.{kind}.0").read_bytes() == data  # the content is kept
    assert store.save(NEW) == "" and store.load() == (NEW, "")
    store.close()


@pytest.mark.parametrize("what", ["others may read it", "a link", "a directory", "huge"])
def test_only_a_plain_file_that_nobody_else_may_read_is_read(
    what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / NAME
    elsewhere = tmp_path / "elsewhere"
    elsewhere.write_bytes(VALID)
    elsewhere.chmod(0o600)
    if what == "a link":
        path.symlink_to(elsewhere)
    elif what == "a directory":
        path.mkdir(mode=0o700)
    else:
        path.write_bytes(VALID)
        path.chmod(0o644 if what == "others may read it" else 0o600)
        if what == "huge":
            monkeypatch.setattr(store_module, "FORM", dataclasses.replace(FORM, max_bytes=10))
    store = Store(tmp_path)
    found, line = store.load()
    assert found is None and "set aside as last-good.foreign.0" in line
    store.close()


def test_the_number_of_files_set_aside_is_limited(tmp_path: Path) -> None:
    store = Store(tmp_path)
    for n in range(MAX_SET_ASIDE + 3):
        (tmp_path / NAME).write_bytes(b"junk %d" % n)
        (tmp_path / NAME).chmod(0o600)
        store.load()
    aside = sorted(name for name in file_names(tmp_path) if "foreign" in name)
    assert len(aside) == MAX_SET_ASIDE
    assert (tmp_path / aside[-1]).read_bytes() == b"junk %d" % (MAX_SET_ASIDE + 2)
    store.close()


def test_a_directory_that_cannot_be_created_raises_an_os_error(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError, match="file"):
        Store(tmp_path / "file" / "state")


@settings(max_examples=300, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(strategies.integers(0, len(VALID) - 1), strategies.integers(1, 255))
def test_a_change_of_any_byte_is_detected(at: int, by: int) -> None:
    data = bytearray(VALID)
    data[at] ^= by
    try:
        found = decode(bytes(data))
    except StateFileError:
        return
    # The checksum covers the body. A change of its own hex digits must be detected too, also to upper case.
    raise AssertionError(f"a change of byte {at} was not detected: {found.versions}")


@settings(max_examples=200, deadline=None)
@given(strategies.binary(max_size=300))
def test_random_bytes_raise_only_a_state_file_error(data: bytes) -> None:
    for text in (data, b"%b 1\n%b %d\n%b" % (FORM.magic, checksum(data), len(data), data)):
        with pytest.raises(StateFileError):
            decode(text)
