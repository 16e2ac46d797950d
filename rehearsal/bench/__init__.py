"""`orchidferry bench`: measurements that are too long for CI, each printed with the machine's size."""

from __future__ import annotations

import argparse
import json
import os
import sys
from pathlib import Path
from typing import Any

from rehearsal.scenario import BadScenario, load_scenario

GIB = 1024**3


def machine() -> str:
    """This machine's size, for whoever reads the figures elsewhere."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    python = ".".join(map(str, sys.version_info[:3]))
    return f"{len(os.sched_getaffinity(0))} cores, {pages / GIB:.0f} GiB, Python {python}"


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    try:
        rows = _rows(args)
    except (BadScenario, ValueError) as problem:
        print(f"orchidferry bench: {problem}", file=sys.stderr)
        return 2
    except InterruptedError:
        return 130
    if args.json is not None:
        Path(args.json).write_text(json.dumps({"machine": machine(), "rows": rows}, indent=1) + "\n")
    return 1 if any(row.get("broken") for row in rows) else 0


def _rows(args: argparse.Namespace) -> list[dict[str, Any]]:
    if args.what == "decisions":
        from rehearsal.bench import decisions

        print(f"{args.what}: {machine()}", flush=True)
        return decisions.main(args)
    if args.what == "forward":
        from rehearsal.bench import forward

        print(f"{args.what}: {machine()}", flush=True)
        return forward.main(args)
    if args.what == "lists":
        from rehearsal.bench import lists

        print(f"{args.what}: {machine()}", flush=True)
        return lists.main(args)
    if args.what == "apply":
        from rehearsal.bench import apply

        print(f"{args.what}: {machine()}", flush=True)
        return apply.main(args)
    if args.what == "libraries":
        from rehearsal.bench import libraries

        if args.requests < 100 or args.turns < 1:
            raise ValueError("--requests must be 100 at least, --turns 1")
        print(f"{args.what}: {machine()}", flush=True)
        return libraries.main(args)
    from rehearsal.bench import kit

    if args.what == "rehearsal":
        print(f"{args.what}: {machine()}", flush=True)
        return kit.capacity()
    scenario = load_scenario(args.scenario)
    if not 1 <= args.runs <= 100:
        raise ValueError(f"--runs {args.runs}: not within 1 to 100")
    print(f"{args.what}: {machine()}", flush=True)
    return (kit.spread if args.what == "spread" else kit.retries)(scenario, args.runs)
