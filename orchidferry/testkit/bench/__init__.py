"""`orchidferry bench`: measurements that take too long for CI, each printed with the size of the machine."""

from __future__ import annotations

import argparse
import importlib
import json
import os
import sys
from pathlib import Path
from typing import Any

from orchidferry.testkit.scenario import ScenarioError, load_scenario

GIB = 1024**3
MODULES = (
    "apply",
    "chain",
    "decisions",
    "fleet",
    "forward",
    "ingest",
    "libraries",
    "lists",
    "members",
    "mesh",
    "moves",
    "peers",
    "replay",
    "worth",
)  # each measurement is a module of that name in this package


def machine() -> str:
    """Return the size of this machine, which figures need to be comparable: cores, memory, Python version."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    python = ".".join(map(str, sys.version_info[:3]))
    return f"{len(os.sched_getaffinity(0))} cores, {pages / GIB:.0f} GiB, Python {python}"


def main(args: argparse.Namespace) -> int:
    """Run the command.

    :returns: the exit status: 0, 1 if a row is marked as broken, 2 for bad input, 130 if interrupted.
    """
    try:
        rows = _rows(args)
    except (ScenarioError, ValueError) as problem:
        print(f"orchidferry bench: {problem}", file=sys.stderr)
        return 2
    except InterruptedError:
        return 130
    if args.json is not None:
        Path(args.json).write_text(json.dumps({"machine": machine(), "rows": rows}, indent=1) + "\n")
    return 1 if any(row.get("broken") for row in rows) else 0


def _rows(args: argparse.Namespace) -> list[dict[str, Any]]:
    if args.what == "libraries" and (args.requests < 100 or args.turns < 1):
        raise ValueError("--requests must be at least 100, --turns at least 1")
    scenario = load_scenario(args.scenario) if args.what in ("spread", "retries") else None
    if scenario is not None and not 1 <= args.runs <= 100:
        raise ValueError(f"--runs {args.runs}: not within 1 to 100")
    print(f"{args.what}: {machine()}", flush=True)
    if args.what in MODULES:  # imported here, so that only the selected measurement needs its libraries
        rows: list[dict[str, Any]] = importlib.import_module(f"orchidferry.testkit.bench.{args.what}").main(
            args
        )
        return rows
    from orchidferry.testkit.bench import kit

    if scenario is None:
        return kit.capacity()
    return (kit.spread if args.what == "spread" else kit.retries)(scenario, args.runs)
