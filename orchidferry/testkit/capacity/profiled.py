"""A proxy under the interpreter's profiler: `python -m orchidferry.testkit.capacity.profiled FILE`.

It profiles from one SIGUSR1 to the next, and then writes what it found to FILE and begins anew.
"""

from __future__ import annotations

import cProfile
import signal
import sys
import time
from typing import Any

from orchidferry.mesh.__main__ import main


def run(path: str) -> int:
    """Be a proxy, profiled between two signals."""
    profile = cProfile.Profile(time.thread_time)
    state = {"on": False}

    def signalled(number: int, frame: Any) -> None:
        if state["on"]:
            profile.disable()
            profile.dump_stats(path)
            profile.clear()
        else:
            profile.enable()
        state["on"] = not state["on"]

    signal.signal(signal.SIGUSR1, signalled)
    return main(["proxy"])


if __name__ == "__main__":
    sys.exit(run(sys.argv[1]))
