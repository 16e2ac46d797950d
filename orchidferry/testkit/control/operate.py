"""`orchidferry control serve`, `push` and `diff`: the stand-in service and what operators do with it."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import sys
from typing import Any

import grpc
from rich.console import Console

from orchidferry.balancing.settings import SettingsFormatError
from orchidferry.node.address import Address, parse_address
from orchidferry.testkit.control.files import VersionFileError, comparable, differences, read_version
from orchidferry.testkit.control.rollout_service import RolloutService, call
from orchidferry.testkit.control.service import Service

ASK_S = 5.0  # for what the service holds
PUSH_S = 7 * 86_400.0  # for a whole rollout: its waves are watched for a day each at most


def _loopback(where: Address) -> Address:
    if where[0] not in ("localhost", "::1") and not where[0].startswith("127."):
        raise SettingsFormatError(f"{where[0]!r}: the stand-in serves loopback addresses only")
    return where


async def _serve(args: argparse.Namespace) -> int:
    base = read_version(args.file)
    service = Service()
    service.address = _loopback(parse_address(args.listen))
    RolloutService(service, base)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    try:
        host, port = await service.start()
    except RuntimeError as problem:
        print(f"orchidferry control serve: can't listen on {args.listen}: {problem!s:.200}", file=sys.stderr)
        return 2
    print(f"serving {base.version!r} on {host}:{port}", flush=True)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stopping.wait(), args.seconds)
    await service.stop()
    return 0


async def _push(args: argparse.Namespace) -> int:
    pushed = read_version(args.file)  # what is bad in it is said here, with the file's name
    request = {
        "file": pushed.form(),
        "canary": args.canary,
        "widen": args.widen,
        "watch_s": args.watch,
        "least": args.least,
        "doors": args.doors,
    }
    console = Console(highlight=False)
    state = "offering"
    async for found in call(_loopback(parse_address(args.to)), "Push", request, PUSH_S):
        state = found["state"]
        console.print(f"[bold]{state:9}[/] ", end="")
        console.print(found["text"], markup=False, soft_wrap=True)
    return 0 if state == "done" else 1


async def _form(what: str) -> Any:
    """A file's form, or that of what a service at HOST:PORT holds."""
    try:
        where = _loopback(parse_address(what))
    except SettingsFormatError:
        return comparable(what)
    async for found in call(where, "Held", {}, ASK_S):
        return found["content"]
    raise VersionFileError(f"{what}: says nothing")


async def _diff(args: argparse.Namespace) -> int:
    before = await _form(args.before)
    after = await _form(args.after)
    found = differences(before, after, (args.before, args.after))
    for text in found:
        print(text)
    if not found:
        print(f"{before['version']} and {after['version']} mean the same")
    return 1 if found else 0


def main(args: argparse.Namespace) -> int:
    """The command; its exit status."""
    what = {"serve": _serve, "push": _push, "diff": _diff}[args.what]
    try:
        return asyncio.run(what(args))
    except (VersionFileError, SettingsFormatError) as problem:
        print(f"orchidferry control {args.what}: {problem}", file=sys.stderr)
        return 2
    except grpc.RpcError as problem:
        code = getattr(problem, "code", lambda: None)()
        details = getattr(problem, "details", lambda: "")()
        print(f"orchidferry control {args.what}: {details or code}"[:300].splitlines()[0], file=sys.stderr)
        return 2
