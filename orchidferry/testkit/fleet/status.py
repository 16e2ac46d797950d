"""The command `orchidferry fleet status`: prints the members of a fleet as one node sees them."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from typing import Any

from rich.console import Console
from rich.table import Table

from orchidferry.balancing.settings import SettingsFormatError
from orchidferry.node.address import Address, parse_address
from orchidferry.testkit import admin_client

HEAD = ("node", "status", "phase", "zone", "version", "address", "incarnation", "for", "reported by")
"""Column titles of the table; `for` is the time since the last change of status."""


async def ask(where: Address) -> dict[str, Any]:
    """Fetch a node's view of its fleet.

    :param where: the node's admin address
    :returns: the node's answer, or a dict with the reason of the failure as `error`
    """
    return await admin_client.fetch_state(where, "/-/fleet", "is not part of a fleet")


def row(member: dict[str, Any]) -> list[str]:
    """The cells of a member's row, in the columns of `HEAD`."""
    for_s = f"{member['for_s']:.0f} s" if "for_s" in member else "-"
    return [
        member["name"],
        member["status"],
        member["phase"],
        member["zone"] or "-",
        member["version"] or "-",
        member["address"],
        str(member["incarnation"]),
        for_s,
        member.get("word_of", "itself") or "-",
    ]


def main(args: argparse.Namespace) -> int:
    """Run the command; returns its exit status."""
    try:
        where = parse_address(args.node)
    except SettingsFormatError as problem:
        print(f"orchidferry fleet status: {problem}", file=sys.stderr)
        return 2
    found = asyncio.run(ask(where))
    if args.json:
        print(json.dumps(found, indent=1))
    if "error" in found:
        if not args.json:
            print(f"orchidferry fleet status: {args.node}: {found['error']}", file=sys.stderr)
        return 1
    members = found["members"]
    if not args.json:
        table = Table()
        for name in HEAD:
            table.add_column(name, overflow="fold")
        for member in (found["self"], *members):
            table.add_row(*row(member))
        console = Console(width=None if sys.stdout.isatty() else 160)
        console.print(table)
        rejected = sum(count for name, count in found["counts"].items() if name.startswith("refused_"))
        present = sum(member["status"] in ("alive", "suspect") for member in members)
        console.print(
            f"{found['state']}; {present} others present; own health {found['score']} of 8 (0 is best); "
            f"keys {', '.join(found['keys'])}; {rejected} messages rejected",
            highlight=False,
        )
    bad = found["state"] != "joined" or any(member["status"] in ("suspect", "lost") for member in members)
    return 1 if bad else 0
