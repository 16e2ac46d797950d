"""How a process of the mesh exits: at once when its role has stopped, and before the platform kills it.

When a role has stopped, its data is on disk and its messages are sent. Shutting down the event loop and the
interpreter could only hang or take time.
"""

from __future__ import annotations

import asyncio
import faulthandler
import os
import signal
import sys
from typing import NoReturn

from loguru import logger

# The process exits this long before the platform kills it; a proxy has stopped as long before that.
EXIT_MARGIN_S = 0.2
# Upper bound of this margin, as a fraction of the grace time: less than half of the proxy's own margin.
MAX_EXIT_MARGIN_FRACTION = 0.04
MIN_EXIT_LIMIT_S = 0.01


def stop_on_sigterm(loop: asyncio.AbstractEventLoop, stopping: asyncio.Event, grace_s: float) -> None:
    """Set an event on SIGTERM, and limit the life of the process to the grace time from then on.

    Before this is called, SIGTERM has its default action and ends the process, which has done nothing yet.

    :param stopping: the event
    :param grace_s: time from SIGTERM until the platform kills the process, in seconds
    """

    def on_sigterm() -> None:
        if not stopping.is_set():
            stopping.set()
            exit_within(grace_s - min(EXIT_MARGIN_S, MAX_EXIT_MARGIN_FRACTION * grace_s))

    loop.add_signal_handler(signal.SIGTERM, on_sigterm)


def exit_within(limit_s: float) -> None:
    """Start a watchdog: after this time it writes the stacks of all threads to stderr and ends the process.

    The watchdog is not a Python thread, so it works even while the global interpreter lock (GIL) is held or
    the interpreter is being finalized.

    :param limit_s: time from now, in seconds
    """
    faulthandler.dump_traceback_later(max(MIN_EXIT_LIMIT_S, limit_s), exit=True, file=sys.stderr)


def exit_now(status: int = 0) -> NoReturn:
    """End the process at once, without shutting down the event loop or the interpreter.

    :param status: the exit status
    """
    logger.remove()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
