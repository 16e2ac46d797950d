"""`orchidferry control status`: the configuration versions of nodes, fetched at their admin addresses."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections import Counter
from typing import Any

from rich.console import Console
from rich.table import Table

from orchidferry.balancing.settings import SettingsFormatError
from orchidferry.node.address import parse_address
from orchidferry.testkit import admin_client

MAX_CONCURRENT_REQUESTS = 64
COLUMNS = ("node", "members", "settings", "from", "since", "stream", "last refusal, or what is wrong")


async def fetch_status(address: str) -> dict[str, Any]:
    """Return the status of the node at an admin address; without an answer, `error` says why."""
    return await admin_client.fetch_state(parse_address(address), "/-/control", "has no control service")


async def fetch_all(nodes: list[str]) -> list[dict[str, Any]]:
    """Return the status of all nodes, in the order of their admin addresses."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch(address: str) -> dict[str, Any]:
        async with semaphore:
            return await fetch_status(address)

    return list(await asyncio.gather(*(fetch(address) for address in nodes)))


def row(status: dict[str, Any]) -> list[str]:
    """Return a node's row of the table without its first column."""
    if "error" in status:
        return ["", "", "", "", "", status["error"]]
    since_s = max(0.0, (status["now_ms"] - status["since_ms"]) / 1000.0)
    refused = status["refused"]
    last = f"{refused[-1]['part']} {refused[-1]['version']}: {refused[-1]['reason']}" if refused else ""
    versions = status["versions"]
    return [
        versions["members"] or "-",
        versions["settings"] or "-",
        status["source"],
        f"{since_s:.0f} s",
        f"{status['stream']}, saved: {status['saved']}",
        last,
    ]


def main(args: argparse.Namespace) -> int:
    """Run the command.

    :returns: the exit status: 0 if every node answered and all have the same versions, 1 if not, 2 for bad
        usage.
    """
    try:
        for address in args.nodes:
            parse_address(address)
    except SettingsFormatError as problem:
        print(f"orchidferry control status: {problem}", file=sys.stderr)
        return 2
    statuses = asyncio.run(fetch_all(args.nodes))
    if args.json:
        print(json.dumps(dict(zip(args.nodes, statuses, strict=True)), indent=1))
    else:
        table = Table()
        for name in COLUMNS:
            table.add_column(name, overflow="fold")
        for address, status in zip(args.nodes, statuses, strict=True):
            table.add_row(f"{status.get('node', '?')} ({address})", *row(status))
        Console(width=None if sys.stdout.isatty() else 160).print(table)
    configurations = Counter(json.dumps(status.get("versions")) for status in statuses)
    if any("error" in status for status in statuses) or len(configurations) > 1:
        if not args.json:
            print(f"{len(configurations)} different configurations over {len(statuses)} nodes")
        return 1
    return 0
