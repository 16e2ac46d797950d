"""How a process of the mesh exits: at once when its role has ended, and before the platform kills it anyway.

When a role has ended its data is on disk and its messages are sent. Taking down the event loop and the
interpreter would only be one more thing that can hang or be slow.
"""

from __future__ import annotations

import asyncio
import faulthandler
import os
import signal
import sys
from typing import NoReturn

from loguru import logger

EXIT_MARGIN_S = 0.2  # before the platform kills the process; a proxy is done as long before that
MAX_EXIT_MARGIN_FRACTION = 0.04  # of the grace: less than half of the proxy's own margin
MIN_EXIT_LIMIT_S = 0.01


def stop_on_sigterm(loop: asyncio.AbstractEventLoop, stopping: asyncio.Event, grace_s: float) -> None:
    """Set an event on SIGTERM, and give the process the grace time from then on.

    Before this is called SIGTERM has its default action, and ends a process that has done nothing yet.

    :param stopping: the event
    :param grace_s: after it the platform kills the process
    """

    def on_sigterm() -> None:
        if not stopping.is_set():
            stopping.set()
            exit_within(grace_s - min(EXIT_MARGIN_S, MAX_EXIT_MARGIN_FRACTION * grace_s))

    loop.add_signal_handler(signal.SIGTERM, on_sigterm)


def exit_within(limit_s: float) -> None:
    """If the process still runs after this time, write the stacks of its threads to stderr and end it.

    The watchdog is not a Python thread: it works even if the interpreter's lock is held or the interpreter is
    being finalized.
    """
    faulthandler.dump_traceback_later(max(MIN_EXIT_LIMIT_S, limit_s), exit=True, file=sys.stderr)


def exit_now(status: int = 0) -> NoReturn:
    """End the process without taking anything down.

    :param status: the exit status
    """
    logger.remove()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
