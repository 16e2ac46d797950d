"""Runs a proxy under cProfile: `python -m orchidferry.testkit.capacity.profiled FILE`.

SIGUSR1 starts profiling; the next SIGUSR1 stops it, writes the profile to FILE and resets the profile.
"""

from __future__ import annotations

import cProfile
import signal
import sys
import time
from typing import Any

from orchidferry.mesh.__main__ import main


def run(path: str) -> int:
    """Run a proxy that is profiled between two signals.

    :param path: file to which profiles are written
    :returns: the exit status of the proxy
    """
    profile = cProfile.Profile(time.thread_time)
    state = {"on": False}

    def on_signal(number: int, frame: Any) -> None:
        if state["on"]:
            profile.disable()
            profile.dump_stats(path)
            profile.clear()
        else:
            profile.enable()
        state["on"] = not state["on"]

    signal.signal(signal.SIGUSR1, on_signal)
    return main(["proxy"])


if __name__ == "__main__":
    sys.exit(run(sys.argv[1]))
