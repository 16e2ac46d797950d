"""`orchidferry control status`: what each node holds of its configuration, asked at its operators' door."""

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

AT_ONCE = 64
HEAD = ("node", "members", "settings", "from", "since", "stream", "last refusal, or what is wrong")


async def ask(where: str) -> dict[str, Any]:
    """One node's word, or `error` with why there is none."""
    return await admin_client.fetch_state(parse_address(where), "/-/control", "has no control service")


async def ask_all(nodes: list[str]) -> list[dict[str, Any]]:
    """All of them, so many at once, in their order."""
    gate = asyncio.Semaphore(AT_ONCE)

    async def one(where: str) -> dict[str, Any]:
        async with gate:
            return await ask(where)

    return list(await asyncio.gather(*(one(where) for where in nodes)))


def row(found: dict[str, Any]) -> list[str]:
    """A node's line: what it holds, from where, for how long, and its last refusal."""
    if "error" in found:
        return ["", "", "", "", "", found["error"]]
    since_s = max(0.0, (found["now_ms"] - found["since_ms"]) / 1000.0)
    refused = found["refused"]
    last = f"{refused[-1]['part']} {refused[-1]['version']}: {refused[-1]['reason']}" if refused else ""
    versions = found["versions"]
    return [
        versions["members"] or "-",
        versions["settings"] or "-",
        found["source"],
        f"{since_s:.0f} s",
        f"{found['stream']}, saved: {found['saved']}",
        last,
    ]


def main(args: argparse.Namespace) -> int:
    """The command: 0 if every node answered and all hold the same, 1 if not, 2 for bad usage."""
    try:
        for where in args.nodes:
            parse_address(where)
    except SettingsFormatError as problem:
        print(f"orchidferry control status: {problem}", file=sys.stderr)
        return 2
    found = asyncio.run(ask_all(args.nodes))
    if args.json:
        print(json.dumps(dict(zip(args.nodes, found, strict=True)), indent=1))
    else:
        table = Table()
        for name in HEAD:
            table.add_column(name, overflow="fold")
        for where, one in zip(args.nodes, found, strict=True):
            table.add_row(f"{one.get('node', '?')} ({where})", *row(one))
        Console(width=None if sys.stdout.isatty() else 160).print(table)
    held = Counter(json.dumps(one.get("versions")) for one in found)
    if any("error" in one for one in found) or len(held) > 1:
        if not args.json:
            print(f"{len(held)} different configurations over {len(found)} nodes")
        return 1
    return 0
