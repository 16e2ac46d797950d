"""`orchidferry control serve`, `push` and `diff`: run the stand-in service, roll out and compare versions."""

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
from orchidferry.testkit.control.files import VersionFileError, differences, read_comparable, read_version
from orchidferry.testkit.control.rollout_service import RolloutService, call
from orchidferry.testkit.control.service import Service

HELD_TIMEOUT_S = 5.0  # time limit for the service to return its version
PUSH_TIMEOUT_S = 7 * 86_400.0  # time limit of a rollout; each of its waves is observed for a day at most


def _require_loopback(address: Address) -> Address:
    if address[0] not in ("localhost", "::1") and not address[0].startswith("127."):
        raise SettingsFormatError(f"{address[0]!r}: the stand-in service uses loopback addresses only")
    return address


async def _serve(args: argparse.Namespace) -> int:
    base = read_version(args.file)
    service = Service()
    service.address = _require_loopback(parse_address(args.listen))
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
    version = read_version(args.file)  # reports errors here already, with the name of the file
    request = {
        "file": version.to_json(),
        "canary": args.canary,
        "widen": args.widen,
        "watch_s": args.watch,
        "least": args.least,
        "doors": args.doors,
    }
    console = Console(highlight=False)
    state = "offering"
    async for step in call(_require_loopback(parse_address(args.to)), "Push", request, PUSH_TIMEOUT_S):
        state = step["state"]
        console.print(f"[bold]{state:9}[/] ", end="")
        console.print(step["text"], markup=False, soft_wrap=True)
    return 0 if state == "done" else 1


async def _fetch_version(source: str) -> Any:
    """Return the JSON form of the version in a file, or of the one that a service at HOST:PORT has.

    :param source: the path of the file, or HOST:PORT.
    """
    try:
        address = _require_loopback(parse_address(source))
    except SettingsFormatError:
        return read_comparable(source)
    async for answer in call(address, "Held", {}, HELD_TIMEOUT_S):
        return answer["content"]
    raise VersionFileError(f"{source}: no answer")


async def _diff(args: argparse.Namespace) -> int:
    before = await _fetch_version(args.before)
    after = await _fetch_version(args.after)
    lines = differences(before, after, (args.before, args.after))
    for line in lines:
        print(line)
    if not lines:
        print(f"{before['version']} and {after['version']} are equivalent")
    return 1 if lines else 0


def main(args: argparse.Namespace) -> int:
    """Run the command.

    :returns: the exit status.
    """
    command = {"serve": _serve, "push": _push, "diff": _diff}[args.what]
    try:
        return asyncio.run(command(args))
    except (VersionFileError, SettingsFormatError) as problem:
        print(f"orchidferry control {args.what}: {problem}", file=sys.stderr)
        return 2
    except grpc.RpcError as problem:
        code = getattr(problem, "code", lambda: None)()
        details = getattr(problem, "details", lambda: "")()
        print(f"orchidferry control {args.what}: {details or code}"[:300].splitlines()[0], file=sys.stderr)
        return 2
