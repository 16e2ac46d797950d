"""The command line of the mesh, which runs one of its roles: a proxy or a controller."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import sys
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, NoReturn

import uvloop
from loguru import logger

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.process_end import exit_now, stop_on_sigterm
from orchidferry.mesh.role_settings import ROLES, SETTINGS_VARIABLE, settings_for
from orchidferry.mesh.settings import MeshSettingsError, Settings
from orchidferry.node.garbage_collector import freeze_startup_objects
from orchidferry.node.reload_signal import ReloadSignal

if TYPE_CHECKING:
    from orchidferry.mesh.control.controller import Controller
    from orchidferry.mesh.dataplane.proxy import Proxy

OVERVIEW = """usage: orchidferry proxy [--check]
       orchidferry controller [--check]
       orchidferry controller snapshot take|put FILE ...

Run a role of the mesh until SIGTERM, with the settings file that ORCHIDFERRY_BOOT names.
See `orchidferry ROLE --help` for details."""
HELP = {
    "proxy": """usage: orchidferry proxy [--check]

Run the sidecar proxy of a server: it sends the server's requests to other services, and receives requests
for the server. The settings file that ORCHIDFERRY_BOOT names is read again on SIGHUP, and when it changes.

  --check   check the settings and exit: status 0 if they can be used, 2 with a one-line error if not

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry proxy""",
    "controller": """usage: orchidferry controller [--check]
       orchidferry controller snapshot take|put FILE ...

Run a controller: one of the replicas of the mesh's configuration, membership and operation keys.
The settings file that ORCHIDFERRY_BOOT names is read again on SIGHUP, and when it changes.

  --check   check the settings and the store, if there is one, print the store's contents and exit: status 0
            if both can be used, 1 if the store is in use, 2 with a one-line error if one can't be used
  snapshot  write the state of a stopped controller to a file, or restore a lost group from such a file: see
            `orchidferry controller snapshot --help`

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry controller --check""",
}
HELP_OPTIONS = (["--help"], ["-h"])
WATCH_INTERVAL_S = 3.0  # interval at which the settings file is checked for changes


@dataclass(frozen=True, slots=True)
class FileVersion:
    """File metadata that differs between two versions of a file."""

    modified_ns: int
    size: int
    inode: int


async def serve(
    role: str, settings: Settings, version: FileVersion | None, reload_signal: ReloadSignal
) -> NoReturn:
    """Run a role until SIGTERM, then end the process.

    :param role: one of `ROLES`
    :param version: version of the settings file, determined before the file was read
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    stop_on_sigterm(loop, stopping, settings.bounds.grace_s)
    server: Proxy | Controller | None
    if role == "proxy":
        from orchidferry.mesh.dataplane.proxy import Proxy

        server = Proxy(settings, loop)
    else:
        server = await start_controller(settings, loop, stopping)
    if server is None:
        logger.info("{}: stopped before it began", role)
        exit_now()
    reload_signal.connect(loop, partial(reload_settings, role, server))
    watch_settings_file(loop, role, server, version)
    running = server.run(stopping)
    freeze_startup_objects()
    await running
    exit_now()


async def start_controller(
    settings: Settings, loop: asyncio.AbstractEventLoop, stopping: asyncio.Event
) -> Controller | None:
    """Wait until the store can be used and return a controller; None if the process is stopped before."""
    from orchidferry.mesh.control.controller import Controller
    from orchidferry.mesh.storage.quarantine import has_lost_state
    from orchidferry.mesh.storage.storage_check import RETRY_INTERVAL_S, wait_until_ready

    assert settings.data_dir is not None
    last_problem = ""
    while await wait_until_ready(settings.data_dir, stopping):
        if has_lost_state(settings.data_dir):
            settings = dataclasses.replace(settings, first_start=False)
        try:
            return Controller(settings, loop)
        except StoreError as error:
            if str(error) != last_problem:
                logger.error("store: {}; retrying", error)
            last_problem = str(error)
            await asyncio.sleep(RETRY_INTERVAL_S)
    return None


def check_store(directory: str) -> int:
    """Print the contents of a controller's store, read-only.

    :param directory: the controller's data directory
    :returns: the exit status: 0, 1 if the store is in use, 2 if it can't be used
    """
    from orchidferry.mesh.storage.environment import StoreInUseError
    from orchidferry.mesh.storage.storage_check import read_contents

    try:
        contents = read_contents(directory)
    except StoreInUseError as error:
        print(f"store: {error}; it is not looked at")
        return 1
    except StoreError as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 2
    for line in contents.lines() if contents is not None else ["store: none yet"]:
        print(line)
    return 0


def reload_settings(role: str, server: Proxy | Controller) -> None:
    """Reread the settings file and apply it; if it is invalid, keep the current settings."""
    try:
        settings = settings_for(role)
    except MeshSettingsError as error:
        logger.error("{}: the old settings stay: {}", role, error)
        return
    server.reload_settings(settings)
    logger.info("{}: settings read again", role)


def settings_file_version() -> FileVersion | None:
    """Return the version of the settings file; None if the file does not exist."""
    try:
        status = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)


def watch_settings_file(
    loop: asyncio.AbstractEventLoop, role: str, server: Proxy | Controller, applied: FileVersion | None
) -> None:
    """Reload the settings whenever their file has changed, as SIGHUP may not be sent.

    :param applied: version of the file that was applied last
    """
    current = settings_file_version()
    if current != applied:
        reload_settings(role, server)
    loop.call_later(WATCH_INTERVAL_S, watch_settings_file, loop, role, server, current)


def check(role: str, settings: Settings) -> int:
    """Print that the settings of a role are valid, and check a controller's store; return the exit status."""
    print(f"{settings.name}: {settings.role} in {settings.zone}, settings can be used")
    if role == "controller" and settings.data_dir is not None:
        return check_store(settings.data_dir)
    return 0


def run(role: str, settings: Settings, version: FileVersion | None, reload_signal: ReloadSignal) -> int:
    """Run a role; return the exit status if it could not start.

    :param version: version of the settings file, determined before the file was read
    """
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO")
    try:
        uvloop.run(serve(role, settings, version, reload_signal))
    except (OSError, StoreError) as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 1
    return 0


def main(arguments: list[str] | None = None, reload_signal: ReloadSignal | None = None) -> int:
    """Run the program.

    :param arguments: command-line arguments; None for those of the process
    :param reload_signal: the SIGHUP handler installed at the start of the process; None: one is installed now
    :returns: the exit status
    """
    words = sys.argv[1:] if arguments is None else arguments
    if words[:2] == ["controller", "snapshot"]:
        from orchidferry.mesh.storage.snapshot_command import main as snapshot

        return snapshot(words[2:])
    if words in HELP_OPTIONS:
        print(OVERVIEW)
        return 0
    role = words[0] if words else ""
    options = words[1:]
    if role in ROLES and options in HELP_OPTIONS:
        print(HELP[role])
        return 0
    if role not in ROLES or any(option != "--check" for option in options):
        print(f"orchidferry: usage: {'|'.join(ROLES)} [--check|--help]", file=sys.stderr)
        return 2
    version = settings_file_version()
    try:
        settings = settings_for(role)
    except MeshSettingsError as error:
        print(f"orchidferry: {error}", file=sys.stderr)
        return 2
    if options:
        return check(role, settings)
    return run(role, settings, version, reload_signal or ReloadSignal())
