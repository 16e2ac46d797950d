"""`orchidferry controller snapshot take|put`, the command that restores a lost group of controllers."""

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


def parse_founders(text: str, own_ip: str, tolerated_losses: int) -> tuple[str, ...]:
    """Parse and check the list of founders.

    :param text: IPv4 addresses, separated by commas
    :param own_ip: IPv4 address of this machine, which must be among the founders
    :param tolerated_losses: how many machines the group must be able to lose
    :returns: the founders in the given order
    :raises SnapshotError: if the list is invalid
    """
    names = tuple(text.split(","))
    for name in names:
        try:
            ipaddress.IPv4Address(name)
        except ValueError:
            raise SnapshotError(f"{name!r} is not an IPv4 address", FOUNDERS_OPTION) from None
    if len(set(names)) != len(names):
        raise SnapshotError("a founder is listed twice", FOUNDERS_OPTION)
    if own_ip not in names:
        raise SnapshotError(f"this machine, {own_ip}, is not among the founders", FOUNDERS_OPTION)
    if len(names) < 2 * tolerated_losses + 1:
        problem = f"{2 * tolerated_losses + 1} are needed to tolerate the loss of {tolerated_losses}"
        raise SnapshotError(problem, FOUNDERS_OPTION)
    return names


def _read_settings() -> tuple[Settings, str]:
    """Return the settings, and the data directory in them."""
    path = settings_path()
    settings = read_settings(path)
    if settings.data_dir is None:
        raise data_dir_missing().in_file(path)
    return settings, settings.data_dir


def take(file: str) -> int:
    """Write the state of this machine's controller to a file. The controller must not be running.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot take monday.snapshot

    :param file: path of the snapshot; an existing file is replaced once the new one is complete
    """
    _, directory = _read_settings()
    snapshot = take_snapshot(directory, file)
    print(f"{file}: {snapshot.summary}, digest {snapshot.digest.hex()[:16]}")
    return 0


def put(file: str, *, founders: str, majority_is_gone: bool = False) -> int:
    """Restore a lost group of controllers: create a store in this machine's empty data directory.

    Do this only if a majority of the controllers' disks is lost for good. Run it once on each founder, with
    the same file and the same list of founders, before any of them is started. A founder that loses its disk
    later starts with an empty directory.

    example: ORCHIDFERRY_BOOT=local.toml orchidferry controller snapshot put monday.snapshot
    --founders 10.0.0.1,10.0.0.2,10.0.0.9 --majority-is-gone

    :param file: a file that `snapshot take` wrote
    :param founders: IPv4 addresses of the controllers of the new group, including this one
    :param majority_is_gone: confirm that the old group can't come back
    """
    settings, directory = _read_settings()
    if not majority_is_gone:
        raise SnapshotError(
            "--majority-is-gone is missing: if the old group came back, both would grant keys"
        )
    names = parse_founders(founders, settings.ip, settings.tolerated_losses)
    group = restore_snapshot(directory, file, names)
    disk_id = group.acceptor_states[shard_state.CONFIGURATION].disk_id
    voters = " ".join(sorted(names))
    print(f"{directory}: {group.snapshot.summary}; disk id {disk_id}, must be the same on all of {voters}")
    return 0


def main(arguments: list[str]) -> int:
    """Run the command.

    :param arguments: of the command line, after `snapshot`
    :returns: the exit status: 0, 1 if the store is in use, 2 for any other error; errors are printed
    """
    defopt = importlib.import_module("defopt")
    try:
        status = defopt.run(
            [take, put], argv=arguments, short={}, no_negated_flags=True, argparse_kwargs={"prog": PROGRAM}
        )
        return int(status)
    except StoreInUseError as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 1
    except (SnapshotError, MeshSettingsError, StoreError) as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 2
    except SystemExit as end:  # raised after the help, and for invalid arguments
        return int(end.code or 0)
