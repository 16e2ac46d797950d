"""The roles of the mesh: `python -m mesh proxy|controller`."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import signal
import sys
from typing import TYPE_CHECKING, NoReturn

import uvloop
from loguru import logger

from mesh.errors import BadStore
from mesh.process_end import end_now, stop_on_sigterm
from mesh.settings import BadSettings, Settings, read_settings
from orchidferry.collector import settle

if TYPE_CHECKING:
    from mesh.control.controller import Controller
    from mesh.dataplane.proxy import Proxy

HELP = """orchidferry proxy|controller [--check]
orchidferry controller snapshot take|put FILE ...

A role of the mesh, from the settings file that ORCHIDFERRY_BOOT names: `proxy`, the node beside a server;
`controller`, a controller of the mesh's state. --check reads the settings, and a controller's store if
there is one, and ends: 0, all can be used; 1, the settings can, and the store is in use; 2, something
can't, which is named. `snapshot` writes what a stopped controller knows to a file, or begins a lost group
anew from one: see its --help.

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry controller --check"""
POINTS = {"proxy": ("outbound", "inbound", "ready", "control"), "controller": ("control",)}
ROLES = tuple(POINTS)
FILE_S = 3.0  # how often the settings file is looked at
FileMark = tuple[int, int, int] | None  # when it was written, its size, its number on the disk


def settings_file() -> Settings:
    """The settings file that ORCHIDFERRY_BOOT names."""
    path = os.environ.get("ORCHIDFERRY_BOOT")
    if not path:
        raise BadSettings("ORCHIDFERRY_BOOT must name the settings file")
    return read_settings(path)


def check_role(role: str, settings: Settings) -> None:
    """What a role cannot do without; `BadSettings` names the field."""
    if role == "controller" and settings.data_dir is None:
        raise BadSettings("own_node.data_dir: a controller needs one")
    if role == "proxy" and settings.application is None:
        raise BadSettings("own_node.application: a node needs one")
    for name in POINTS[role]:
        if name not in settings.listen:
            raise BadSettings(f"network.listen_points.{name}: this role needs one")


async def serve(role: str, settings: Settings) -> NoReturn:
    """Run a role until SIGTERM; the process ends with it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    stop_on_sigterm(loop, stopping, settings.bounds.grace_s)
    one: Proxy | Controller | None
    if role == "proxy":
        from mesh.dataplane.proxy import Proxy

        one = Proxy(settings, loop)
    else:
        one = await controller(settings, loop, stopping)
    if one is None:
        logger.info("{}: stopped before it began", role)
        end_now()
    loop.add_signal_handler(signal.SIGHUP, reread, role, one)
    watch_file(loop, role, one, file_mark())
    running = one.run(stopping)
    settle()
    await running
    end_now()


async def controller(
    settings: Settings, loop: asyncio.AbstractEventLoop, stopping: asyncio.Event
) -> Controller | None:
    """A controller, once its store can be used; None if told to stop before."""
    from mesh.control.controller import Controller
    from mesh.storage import storage_check

    assert settings.data_dir is not None
    said = ""
    while await storage_check.ready(settings.data_dir, stopping):
        if storage_check.forgot(settings.data_dir):
            settings = dataclasses.replace(settings, first_start=False)
        try:
            return Controller(settings, loop)
        except BadStore as problem:
            if str(problem) != said:
                logger.error("store: {}; looked at again", problem)
            said = str(problem)
            await asyncio.sleep(storage_check.AGAIN_S)
    return None


def check_store(folder: str) -> int:
    """Tell what a controller's store holds, with nothing written; the exit status."""
    from mesh.storage import storage_check
    from mesh.storage.environment import InUse

    try:
        stock = storage_check.look(folder)
    except InUse as problem:
        print(f"store: {problem}; it is not looked at")
        return 1
    except BadStore as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    for line in stock.lines() if stock is not None else ["store: none yet"]:
        print(line)
    return 0


def reread(role: str, one: Proxy | Controller) -> None:
    """Take the settings file as it is now; one that can't be used changes nothing."""
    try:
        settings = settings_file()
        check_role(role, settings)
    except BadSettings as problem:
        logger.error("{}: the old settings stay: {}", role, problem)
        return
    one.reread(settings)
    logger.info("{}: settings read again", role)


def file_mark() -> FileMark:
    """What tells the settings file as it is now from what it was; None if there is none."""
    try:
        found = os.stat(os.environ.get("ORCHIDFERRY_BOOT", ""))
    except OSError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino


def watch_file(loop: asyncio.AbstractEventLoop, role: str, one: Proxy | Controller, seen: FileMark) -> None:
    """The file may change without a signal."""
    now = file_mark()
    if now != seen:
        reread(role, one)
    loop.call_later(FILE_S, watch_file, loop, role, one, now)


def main(arguments: list[str] | None = None) -> int:
    """The program."""
    words = sys.argv[1:] if arguments is None else arguments
    if words[:2] == ["controller", "snapshot"]:
        from mesh.storage.snapshot_command import main as snapshot

        return snapshot(words[2:])
    if not words or words[0] not in ROLES or any(word != "--check" for word in words[1:]):
        if words[:1] and words[0] in ROLES and words[1:] in (["--help"], ["-h"]):
            print(HELP)
            return 0
        print(f"orchidferry: usage: {'|'.join(ROLES)} [--check|--help]", file=sys.stderr)
        return 2
    try:
        settings = settings_file()
        check_role(words[0], settings)
        if words[1:]:
            print(f"{settings.name}: {settings.role} in {settings.zone}, settings can be used")
            return (
                check_store(settings.data_dir)
                if words[0] == "controller" and settings.data_dir is not None
                else 0
            )
    except BadSettings as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO")
    try:
        uvloop.run(serve(words[0], settings))
    except (OSError, BadStore) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
