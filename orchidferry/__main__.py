"""`python -m orchidferry`: runs the node, or with arguments a command of the test kit.

The node does not need the test kit's libraries, so the kit is imported only if there are arguments.
"""

from __future__ import annotations

import importlib
import sys

from orchidferry.node.reload_signal import ReloadSignal


def main() -> int:
    """Run the node, or pass the arguments to the command line of the test kit.

    :returns: the exit status of the program.
    """
    if len(sys.argv) < 2:
        reload_signal = ReloadSignal()  # before the node is imported, as SIGHUP ends the process until then
        from orchidferry.node.main import main as run_node

        return run_node(reload_signal)
    try:
        command_line = importlib.import_module("orchidferry.testkit.cli")
    except ModuleNotFoundError:
        print("orchidferry: the node takes no arguments, and the kit is not installed", file=sys.stderr)
        return 2
    return int(command_line.main())


if __name__ == "__main__":
    sys.exit(main())
