"""Entry point of `python -m orchidferry.mesh proxy|controller`; see `program`."""

from __future__ import annotations

import sys

from orchidferry.node.reload_signal import ReloadSignal


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    :param arguments: command-line arguments; None for those of the process
    :returns: the exit status
    """
    reload_signal = ReloadSignal()  # before `program` is imported, as SIGHUP ends the process until then
    from orchidferry.mesh import program

    return program.main(arguments, reload_signal)


if __name__ == "__main__":
    sys.exit(main())
