"""How a process of the mesh ends: at once when its role has ended, in any case before the platform kills it.

A role that has ended owes nothing more: what it had to keep is on disk, and what it had to say is said.
Taking the event loop and the interpreter down would only be one more thing that can hang or be slow.
"""

from __future__ import annotations

import asyncio
import faulthandler
import os
import signal
import sys
from typing import NoReturn

from loguru import logger

EXIT_MARGIN_S = 0.2  # before the platform kills; a proxy is done 0.2 s earlier


def stop_on_sigterm(loop: asyncio.AbstractEventLoop, stopping: asyncio.Event, grace_s: float) -> None:
    """Set `stopping` on SIGTERM. The process has the grace time from then on, and no more.

    Before this is called SIGTERM has its default action, and ends a process that has done nothing yet.
    """

    def told() -> None:
        if not stopping.is_set():
            stopping.set()
            exit_within(grace_s - EXIT_MARGIN_S)

    loop.add_signal_handler(signal.SIGTERM, told)


def exit_within(limit_s: float) -> None:
    """If the process is still there after this time, write the stacks of its threads and end it.

    The watch is no Python thread: it needs neither the interpreter's lock nor an interpreter that is whole.
    """
    faulthandler.dump_traceback_later(max(0.01, limit_s), exit=True, file=sys.stderr)


def exit_now(status: int = 0) -> NoReturn:
    """End the process without taking anything down."""
    logger.remove()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
