"""`orchidferry controller snapshot take|put`: a lost group of controllers is begun anew from a file."""

from __future__ import annotations

import importlib
import ipaddress
import sys

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.role_settings import DATA_DIR_MISSING, settings_path
from orchidferry.mesh.settings import MeshSettingsError, Settings, read_settings
from orchidferry.mesh.storage.environment import StoreInUseError
from orchidferry.mesh.storage.snapshot import restore_snapshot, take_snapshot
from orchidferry.mesh.storage.snapshot_file import SnapshotError

PROGRAM = "orchidferry controller snapshot"


def read_founders(text: str, own: str, losses: int) -> tuple[str, ...]:
    """The list as it was given, checked. `SnapshotError`."""
    names = tuple(text.split(","))
    for name in names:
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            raise SnapshotError(f"--founders: {name!r} is no IP number") from None
    if len(set(names)) != len(names):
        raise SnapshotError("--founders: one is named twice")
    if own not in names:
        raise SnapshotError(f"--founders: this machine, {own}, is not among them")
    if len(names) < 2 * losses + 1:
        raise SnapshotError(f"--founders: {2 * losses + 1} are needed to bear the loss of {losses}")
    return names


def _settings() -> tuple[Settings, str]:
    """The settings, and the directory that they name for the store."""
    path = settings_path()
    settings = read_settings(path)
    if settings.data_dir is None:
        raise MeshSettingsError(f"{path}: {DATA_DIR_MISSING}")
    return settings, settings.data_dir


def take(file: str) -> int:
    """Write what this machine's controller knows to a file. The controller must not run.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot take monday.snapshot

    :param file: where to; a file of that name is replaced once the new one is whole
    """
    _, folder = _settings()
    found = take_snapshot(folder, file)
    print(f"{file}: {found.line}, digest {found.digest.hex()[:16]}")
    return 0


def put(file: str, *, founders: str, majority_is_gone: bool = False) -> int:
    """Begin a lost group anew: fill this machine's empty data directory from a file.

    Only when a majority of the controllers' disks is gone for good. The same file and the same founders at
    each of them, once, before any is started. A founder that loses its disk later starts with an
    empty directory.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot put monday.snapshot
    --founders 10.0.0.1,10.0.0.2,10.0.0.9 --majority-is-gone

    :param file: a file that `snapshot take` wrote
    :param founders: IP numbers of the controllers of the new group, this one among them
    :param majority_is_gone: say that the old group can't come back
    """
    settings, folder = _settings()
    if not majority_is_gone:
        raise SnapshotError("--majority-is-gone is missing: two groups at once would both grant keys")
    names = read_founders(founders, settings.ip, settings.machines)
    snapshot, kept = restore_snapshot(folder, file, names)
    memory = kept[shard_state.CONFIGURATION].disk_id
    print(f"{folder}: {snapshot.line}; memory {memory}, the same at all of {' '.join(sorted(names))}?")
    return 0


def main(words: list[str]) -> int:
    """The command; its exit status: 0, 1 for a store in use, 2 with one line."""
    defopt = importlib.import_module("defopt")
    parser = {"prog": "orchidferry controller snapshot"}
    try:
        return int(
            defopt.run([take, put], argv=words, short={}, no_negated_flags=True, argparse_kwargs=parser)
        )
    except StoreInUseError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    except (SnapshotError, MeshSettingsError, StoreError) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    except SystemExit as end:  # help, or words that can't be read
        return int(end.code or 0)
