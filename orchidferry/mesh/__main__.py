"""The roles of the mesh: `python -m orchidferry.mesh proxy|controller`."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import signal
import sys
from typing import TYPE_CHECKING, NoReturn

import uvloop
from loguru import logger

from orchidferry.mesh.errors import StoreError
from orchidferry.mesh.process_end import exit_now, stop_on_sigterm
from orchidferry.mesh.role_settings import ROLES, SETTINGS_VARIABLE, settings_for
from orchidferry.mesh.settings import MeshSettingsError, Settings
from orchidferry.node.garbage_collector import freeze_startup_objects

if TYPE_CHECKING:
    from orchidferry.mesh.control.controller import Controller
    from orchidferry.mesh.dataplane.proxy import Proxy

OVERVIEW = """usage: orchidferry proxy [--check]
       orchidferry controller [--check]
       orchidferry controller snapshot take|put FILE ...

The roles of the mesh. Each reads the settings file that ORCHIDFERRY_BOOT names, and runs until SIGTERM;
`orchidferry ROLE --help` says more."""
HELP = {
    "proxy": """usage: orchidferry proxy [--check]

Run the node beside a server: it sends the server's calls to other services, and takes the calls to it.
The settings file that ORCHIDFERRY_BOOT names is read again on SIGHUP, and when it changes.

  --check   read the settings, say whether they can be used, and end: 0 if so, 2 with one line if not

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry proxy""",
    "controller": """usage: orchidferry controller [--check]
       orchidferry controller snapshot take|put FILE ...

Run a controller: one of the replicas of the mesh's configuration, membership and operation keys.
The settings file that ORCHIDFERRY_BOOT names is read again on SIGHUP, and when it changes.

  --check   read the settings, then the store if there is one; say what it holds, and end: 0 if all can be
            used, 1 if the store is in use, 2 with one line if something can't be used
  snapshot  write what a stopped controller knows to a file, or begin a lost group anew from one: see
            `orchidferry controller snapshot --help`

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry controller --check""",
}
HELP_WORDS = (["--help"], ["-h"])
FILE_S = 3.0  # how often the settings file is looked at
FileMark = tuple[int, int, int] | None  # when it was written, its size, its number on the disk


async def serve(role: str, settings: Settings) -> NoReturn:
    """Run a role until SIGTERM; the process ends with it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    stop_on_sigterm(loop, stopping, settings.bounds.grace_s)
    server: Proxy | Controller | None
    if role == "proxy":
        from orchidferry.mesh.dataplane.proxy import Proxy

        server = Proxy(settings, loop)
    else:
        server = await controller(settings, loop, stopping)
    if server is None:
        logger.info("{}: stopped before it began", role)
        exit_now()
    loop.add_signal_handler(signal.SIGHUP, reread, role, server)
    watch_file(loop, role, server, file_mark())
    running = server.run(stopping)
    freeze_startup_objects()
    await running
    exit_now()


async def controller(
    settings: Settings, loop: asyncio.AbstractEventLoop, stopping: asyncio.Event
) -> Controller | None:
    """A controller, once its store can be used; None if told to stop before."""
    from orchidferry.mesh.control.controller import Controller
    from orchidferry.mesh.storage import storage_check

    assert settings.data_dir is not None
    last_problem = ""
    while await storage_check.wait_until_ready(settings.data_dir, stopping):
        if storage_check.has_lost_state(settings.data_dir):
            settings = dataclasses.replace(settings, first_start=False)
        try:
            return Controller(settings, loop)
        except StoreError as problem:
            if str(problem) != last_problem:
                logger.error("store: {}; looked at again", problem)
            last_problem = str(problem)
            await asyncio.sleep(storage_check.RETRY_INTERVAL_S)
    return None


def check_store(folder: str) -> int:
    """Print what a controller's store holds, with nothing written; the exit status."""
    from orchidferry.mesh.storage import storage_check
    from orchidferry.mesh.storage.environment import StoreInUseError

    try:
        contents = storage_check.read_contents(folder)
    except StoreInUseError as problem:
        print(f"store: {problem}; it is not looked at")
        return 1
    except StoreError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    for line in contents.lines() if contents is not None else ["store: none yet"]:
        print(line)
    return 0


def reread(role: str, server: Proxy | Controller) -> None:
    """Use the settings file as it is now; one that can't be used changes nothing."""
    try:
        settings = settings_for(role)
    except MeshSettingsError as problem:
        logger.error("{}: the old settings stay: {}", role, problem)
        return
    server.reread(settings)
    logger.info("{}: settings read again", role)


def file_mark() -> FileMark:
    """What tells the settings file as it is now from what it was; None if there is none."""
    try:
        found = os.stat(os.environ.get(SETTINGS_VARIABLE, ""))
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def watch_file(
    loop: asyncio.AbstractEventLoop, role: str, server: Proxy | Controller, seen: FileMark
) -> None:
    """Read the settings again whenever their file has changed: there may be no signal."""
    now = file_mark()
    if now != seen:
        reread(role, server)
    loop.call_later(FILE_S, watch_file, loop, role, server, now)


def check(role: str, settings: Settings) -> int:
    """Print whether a role could run; the exit status."""
    print(f"{settings.name}: {settings.role} in {settings.zone}, settings can be used")
    if role == "controller" and settings.data_dir is not None:
        return check_store(settings.data_dir)
    return 0


def run(role: str, settings: Settings) -> int:
    """Run a role; the exit status if it could not begin."""
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO")
    try:
        uvloop.run(serve(role, settings))
    except (OSError, StoreError) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    return 0


def main(arguments: list[str] | None = None) -> int:
    """The program; its exit status."""
    words = sys.argv[1:] if arguments is None else arguments
    if words[:2] == ["controller", "snapshot"]:
        from orchidferry.mesh.storage.snapshot_command import main as snapshot

        return snapshot(words[2:])
    if words in HELP_WORDS:
        print(OVERVIEW)
        return 0
    role = words[0] if words else ""
    options = words[1:]
    if role in ROLES and options in HELP_WORDS:
        print(HELP[role])
        return 0
    if role not in ROLES or any(option != "--check" for option in options):
        print(f"orchidferry: usage: {'|'.join(ROLES)} [--check|--help]", file=sys.stderr)
        return 2
    try:
        settings = settings_for(role)
    except MeshSettingsError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    return check(role, settings) if options else run(role, settings)


if __name__ == "__main__":
    sys.exit(main())
