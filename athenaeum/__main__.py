"""The roles of the mesh: `python -m athenaeum carrel|archive`."""

from __future__ import annotations

import asyncio
import dataclasses
import faulthandler
import os
import signal
import sys
import threading
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

from athenaeum.boot import BadBoot, Boot, read_boot
from athenaeum.faults import BadDeposit
from orchidferry.collector import settle

if TYPE_CHECKING:
    from athenaeum.archive import Archive
    from athenaeum.carrel import Carrel

HELP = """orchidferry carrel|archive [--check]
orchidferry archive snapshot take|put FILE ...

A role of the mesh, from the settings file that ORCHIDFERRY_BOOT names: `carrel`, the node beside a server;
`archive`, a keeper of the mesh's state. --check reads the settings, and a keeper's store if there is one, and
ends: 0, all can be used; 1, the settings can, and the store is in use; 2, something can't, which is named.
`snapshot` writes what a stopped keeper knows to a file, or begins a lost group anew from one: see its --help.

example: ORCHIDFERRY_BOOT=/etc/orchidferry/local.toml orchidferry archive --check"""
POINTS = {"carrel": ("outbound", "inbound", "ready", "control"), "archive": ("control",)}
ROLES = tuple(POINTS)
END_S = 0.3  # for a process to end after its role has; the platform kills 0.4 s after a node has
FILE_S = 3.0  # how often the settings file is looked at


def boot_file() -> Boot:
    """The settings file that ORCHIDFERRY_BOOT names."""
    path = os.environ.get("ORCHIDFERRY_BOOT")
    if not path:
        raise BadBoot("ORCHIDFERRY_BOOT must name the settings file")
    return read_boot(path)


def check_role(role: str, boot: Boot) -> None:
    """What a role cannot do without; `BadBoot` names the field."""
    if role == "archive" and boot.data_dir is None:
        raise BadBoot("own_node.data_dir: a keeper needs one")
    if role == "carrel" and boot.application is None:
        raise BadBoot("own_node.application: a node needs one")
    for name in POINTS[role]:
        if name not in boot.listen:
            raise BadBoot(f"network.listen_points.{name}: this role needs one")


async def serve(role: str, boot: Boot) -> None:
    """Run a role until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    one: Carrel | Archive | None
    if role == "carrel":
        from athenaeum.carrel import Carrel

        one = Carrel(boot, loop)
    else:
        one = await keeper(boot, loop, stopping)
    if one is None:
        return
    loop.add_signal_handler(signal.SIGHUP, reread, role, one)
    watch_file(loop, role, one, changed_at())
    running = one.run(stopping)
    settle()
    await running
    end_surely()


def end_surely() -> None:
    """A role that has ended owes nothing more: taking the loop and the interpreter down gets `END_S`, and
    what holds it up is told.
    """

    def leave() -> None:
        logger.error("the process did not end by itself; where it stood:")
        faulthandler.dump_traceback()
        os._exit(0)

    timer = threading.Timer(END_S, leave)
    timer.daemon = True
    timer.start()


async def keeper(boot: Boot, loop: asyncio.AbstractEventLoop, stopping: asyncio.Event) -> Archive | None:
    """A keeper, once its store can be used; None if told to stop before."""
    from athenaeum import stocktake
    from athenaeum.archive import Archive

    assert boot.data_dir is not None
    while await stocktake.ready(boot.data_dir, stopping):
        if stocktake.forgot(boot.data_dir):
            boot = dataclasses.replace(boot, first_start=False)
        try:
            return Archive(boot, loop)
        except BadDeposit as problem:
            logger.error("deposit: {}; looked at again", problem)
            await asyncio.sleep(stocktake.AGAIN_S)
    return None


def check_store(folder: str) -> int:
    """Tell what a keeper's store holds, with nothing written; the exit status."""
    from athenaeum import stocktake
    from athenaeum.deposit import InUse

    try:
        stock = stocktake.look(folder)
    except InUse as problem:
        print(f"store: {problem}; it is not looked at")
        return 1
    except BadDeposit as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    for line in stock.lines() if stock is not None else ["store: none yet"]:
        print(line)
    return 0


def reread(role: str, one: Carrel | Archive) -> None:
    """Take the settings file as it is now; one that can't be used changes nothing."""
    try:
        boot = boot_file()
        check_role(role, boot)
    except BadBoot as problem:
        logger.error("{}: the old settings stay: {}", role, problem)
        return
    one.reread(boot)
    logger.info("{}: settings read again", role)


def changed_at() -> float:
    """When the settings file was last written, as far as can be told."""
    try:
        return os.stat(os.environ.get("ORCHIDFERRY_BOOT", "")).st_mtime
    except OSError:
        return 0.0


def watch_file(loop: asyncio.AbstractEventLoop, role: str, one: Carrel | Archive, seen: float) -> None:
    """The file may change without a signal."""
    now = changed_at()
    if now != seen:
        reread(role, one)
    loop.call_later(FILE_S, watch_file, loop, role, one, now)


def main(arguments: list[str] | None = None) -> int:
    """The program."""
    words = sys.argv[1:] if arguments is None else arguments
    if words[:2] == ["archive", "snapshot"]:
        from athenaeum.facsimile import main as snapshot

        return snapshot(words[2:])
    if not words or words[0] not in ROLES or any(word != "--check" for word in words[1:]):
        if words[:1] and words[0] in ROLES and words[1:] in (["--help"], ["-h"]):
            print(HELP)
            return 0
        print(f"orchidferry: usage: {'|'.join(ROLES)} [--check|--help]", file=sys.stderr)
        return 2
    try:
        boot = boot_file()
        check_role(words[0], boot)
        if words[1:]:
            print(f"{boot.name}: {boot.role} in {boot.zone}, settings can be used")
            return check_store(boot.data_dir) if words[0] == "archive" and boot.data_dir is not None else 0
    except BadBoot as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO")
    try:
        uvloop.run(serve(words[0], boot))
    except (OSError, BadDeposit) as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
