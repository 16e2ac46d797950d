"""The roles of the mesh: `python -m athenaeum carrel|archive`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop
from loguru import logger

from athenaeum.boot import BadBoot, Boot, read_boot

ROLES = ("carrel", "archive")
GC_THRESHOLDS = (5_000, 20, 20)


def boot_file() -> Boot:
    """The settings file that ORCHIDFERRY_BOOT names."""
    path = os.environ.get("ORCHIDFERRY_BOOT")
    if not path:
        raise BadBoot("ORCHIDFERRY_BOOT must name the settings file")
    return read_boot(path)


async def serve(role: str, boot: Boot) -> None:
    """Run a role until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: logger.info("{}: SIGHUP", role))
    if role == "carrel":
        from athenaeum.carrel import Carrel

        running = Carrel(boot, loop).run(stopping)
    else:
        from athenaeum.archive import Archive

        running = Archive(boot, loop).run(stopping)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    await running


def main(arguments: list[str] | None = None) -> int:
    """The program."""
    words = sys.argv[1:] if arguments is None else arguments
    if not words or words[0] not in ROLES or any(word != "--check" for word in words[1:]):
        print(f"usage: {'|'.join(ROLES)} [--check]", file=sys.stderr)
        return 2
    try:
        boot = boot_file()
        if words[1:]:
            print(f"{boot.name}: {boot.role} in {boot.zone}, settings can be used")
            return 0
        if words[0] == "archive" and boot.data_dir is None:
            raise BadBoot("own_node.data_dir: a keeper needs one")
        if words[0] == "carrel" and boot.application is None:
            raise BadBoot("own_node.application: a node needs one")
    except BadBoot as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 2
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", level="INFO")
    try:
        uvloop.run(serve(words[0], boot))
    except OSError as problem:
        print(f"orchidferry: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
