"""`orchidferry controller snapshot take|put`, the command by which a lost group of controllers returns."""

from __future__ import annotations

import importlib
import ipaddress
import sys

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.role_settings import data_dir_missing, settings_path
from orchidferry.mesh.settings import MeshSettingsError, Settings, read_settings
from orchidferry.mesh.storage.environment import StoreInUseError
from orchidferry.mesh.storage.snapshot import restore_snapshot, take_snapshot
from orchidferry.mesh.storage.snapshot_file import SnapshotError

PROGRAM = "orchidferry controller snapshot"
FOUNDERS_OPTION = "--founders"


def read_founders(text: str, own: str, losses: int) -> tuple[str, ...]:
    """Parse and check the list of founders.

    :param text: IP numbers, separated by commas
    :param own: IP number of this machine, which must be among them
    :param losses: how many machines the group must be able to lose
    :returns: the founders in the given order
    :raises SnapshotError: if the list can't be used
    """
    names = tuple(text.split(","))
    for name in names:
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            raise SnapshotError(f"{name!r} is no IP number", FOUNDERS_OPTION) from None
    if len(set(names)) != len(names):
        raise SnapshotError("one is named twice", FOUNDERS_OPTION)
    if own not in names:
        raise SnapshotError(f"this machine, {own}, is not among them", FOUNDERS_OPTION)
    if len(names) < 2 * losses + 1:
        problem = f"{2 * losses + 1} are needed to bear the loss of {losses}"
        raise SnapshotError(problem, FOUNDERS_OPTION)
    return names


def _settings() -> tuple[Settings, str]:
    """Return the settings, and the data directory that they name."""
    path = settings_path()
    settings = read_settings(path)
    if settings.data_dir is None:
        raise data_dir_missing().in_file(path)
    return settings, settings.data_dir


def take(file: str) -> int:
    """Write what this machine's controller knows to a file. The controller must not run.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot take monday.snapshot

    :param file: where to; a file of that name is replaced once the new one is whole
    """
    _, directory = _settings()
    snapshot = take_snapshot(directory, file)
    print(f"{file}: {snapshot.summary}, digest {snapshot.digest.hex()[:16]}")
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
    settings, directory = _settings()
    if not majority_is_gone:
        raise SnapshotError("--majority-is-gone is missing: two groups at once would both grant keys")
    names = read_founders(founders, settings.ip, settings.tolerated_losses)
    group = restore_snapshot(directory, file, names)
    disk_id = group.acceptor_states[shard_state.CONFIGURATION].disk_id
    voters = " ".join(sorted(names))
    print(f"{directory}: {group.snapshot.summary}; memory {disk_id}, the same at all of {voters}?")
    return 0


def main(words: list[str]) -> int:
    """Run the command.

    :param words: of the command line, after `snapshot`
    :returns: the exit status: 0, 1 if the store is in use, 2 for any other error, which is printed
    """
    defopt = importlib.import_module("defopt")
    try:
        status = defopt.run(
            [take, put], argv=words, short={}, no_negated_flags=True, argparse_kwargs={"prog": PROGRAM}
        )
        return int(status)
    except StoreInUseError as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 1
    except (SnapshotError, MeshSettingsError, StoreError) as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 2
    except SystemExit as end:  # help, or words that can't be read
        return int(end.code or 0)
