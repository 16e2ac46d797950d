"""The console script `orchidferry`: runs the node, a role of the mesh, or a command of the test kit.

Code of a command is imported only when that command runs, because small machines lack the libraries of
the kit. Exit status: 0 success, 1 a rule was broken or a proof failed, 2 bad input or usage, 130 interrupted.
"""

from __future__ import annotations

import argparse
import importlib
import os
import sys

from orchidferry.testkit import capacity, control, explore, fleet, traffic
from orchidferry.testkit.arguments import bench, rehearse

MESH_ROLES = ("proxy", "controller")
"""Roles of the mesh; they parse their own arguments and need no code of the kit."""

PACKAGES = {
    "control": control,
    "traffic": traffic,
    "explore": explore,
    "fleet": fleet,
    "capacity": capacity,
}
"""Commands that define their arguments in their package, which imports no further library for this."""

USAGE_ERROR = 2
INTERRUPTED = 130


class _Parser(argparse.ArgumentParser):
    """An argument parser that reports errors in one line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        print(f"{self.prog}: {message}; see {self.prog} --help", file=sys.stderr)
        raise SystemExit(USAGE_ERROR)


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the console script, with all commands."""
    parser = _Parser(
        prog="orchidferry",
        description="A load-balancing node, and its test and rehearsal kit. With no command: the node, "
        "from the file that NODE_CONFIG names. The roles of the mesh are `orchidferry proxy` and "
        "`orchidferry controller`: see their --help.",
        epilog=f"example: {rehearse.EXAMPLE}",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    rehearse.add_parser(commands)
    bench.add_parser(commands)
    for name, package in PACKAGES.items():
        package.arguments(commands.add_parser(name, help=package.ABOUT, epilog=f"example: {package.EXAMPLE}"))
    return parser


def main() -> int:
    """Run the node, a role of the mesh or a command, and return the exit status."""
    if len(sys.argv) < 2:
        from orchidferry.node.main import main as run_node

        return run_node()
    if sys.argv[1] in MESH_ROLES:
        from orchidferry.mesh.__main__ import main as run_role

        return run_role(sys.argv[1:])
    try:
        return _run_command(build_parser().parse_args())
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:  # the reader closed the pipe; the interpreter's final flush must not fail
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 1


def _run_command(args: argparse.Namespace) -> int:
    if args.command is None:
        print("orchidferry: a command is missing; see orchidferry --help", file=sys.stderr)
        return USAGE_ERROR
    try:
        command = importlib.import_module(f"orchidferry.testkit.{args.command}")
    except ModuleNotFoundError as problem:
        if problem.name is None or problem.name.partition(".")[0] in ("orchidferry",):
            raise
        needs = f"{args.command} needs {problem.name}"
        print(f"orchidferry: {needs}: pip install 'orchidferry[kit]'", file=sys.stderr)
        return USAGE_ERROR
    status = int(command.main(args))
    sys.stdout.flush()
    return status


if __name__ == "__main__":
    sys.exit(main())
