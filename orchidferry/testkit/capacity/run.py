"""Runs a plan: fleets in virtual time beside the real processes, then calls; prints what was found."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import replace
from functools import partial
from pathlib import Path

import uvloop

from orchidferry.testkit.capacity import calls, claims, processes
from orchidferry.testkit.capacity.figures import BY_SERVICES, Figure, packed, plot, slopes, table
from orchidferry.testkit.capacity.plan import Plan, services_of
from orchidferry.testkit.mesh.processes import ROOT
from orchidferry.testkit.stop_signals import StoppedBySignalError, until_stopped
from orchidferry.testkit.world.nodes import prepare_child

MAX_LINE = 2**20
SHARE_OF_ROUND = 0.6  # of the seconds of a round, for calls and for claims: many loads are asked by turns
DESCRIPTORS = 256  # of a process in virtual time, which opens none


async def virtual(module: str, *words: str) -> list[Figure]:
    """Figures that a module prints, one a line; its process is gone when this ends."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"orchidferry.testkit.capacity.{module}",
        *words,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=MAX_LINE,
        env=os.environ | {"PYTHONHASHSEED": "0"},
        start_new_session=True,
        preexec_fn=partial(prepare_child, DESCRIPTORS),
    )
    try:
        out, problem = await process.communicate()
        if process.returncode:
            last = problem.decode("utf-8", "replace").strip().splitlines()[-1:]
            raise ValueError(f"{module} {' '.join(words)}: {' '.join(last)}")
        return [Figure(**json.loads(line)) for line in out.splitlines()]
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)  # with those that it has forked
            await process.wait()


async def fleets(plan: Plan) -> list[Figure]:
    """Each size in virtual time, one after the other."""
    found: list[Figure] = []
    for nodes in plan.nodes:
        found += await virtual("fleets", str(nodes), str(services_of(nodes)))
        _say(f"fleet of {nodes} in virtual time")
    return found


async def real(plan: Plan) -> list[Figure]:
    """Each size with real controllers and proxies, then the number of services at one size."""
    found: list[Figure] = []
    for nodes in plan.nodes:
        of_size = await processes.by_nodes(nodes, plan.seconds)
        found += of_size
        if nodes == plan.wide:
            found += [replace(one, axis=BY_SERVICES, at=services_of(nodes)) for one in of_size]
        _say(f"{nodes} nodes round real processes")
    for services in plan.services:
        found += await processes.by_services(plan.wide, services, plan.seconds)
        _say(f"{services} services at {plan.wide} nodes round real processes")
    return found


async def in_virtual_time(plan: Plan) -> list[Figure]:
    """Special hours, and beside them fleets of all sizes."""
    async with asyncio.TaskGroup() as group:
        wide = [group.create_task(hours(plan))] if "hours" in plan.parts else []
        sizes = [group.create_task(fleets(plan))] if "fleets" in plan.parts else []
    return [figure for task in (*sizes, *wide) for figure in task.result()]


async def hours(plan: Plan) -> list[Figure]:
    """Special hours at the size nearest to the target's."""
    found = await virtual("hours", str(plan.wide))
    _say(f"hours of {plan.wide} nodes in virtual time")
    return found


async def with_processes(plan: Plan) -> list[Figure]:
    """What is measured on real processes, one part after the other."""
    found: list[Figure] = []
    if "processes" in plan.parts:
        found += await real(plan)
    if "calls" in plan.parts:
        found += await calls.measure(plan.calls, SHARE_OF_ROUND * plan.seconds)
        _say("calls")
    if "claims" in plan.parts:
        found += await claims.measure(SHARE_OF_ROUND * plan.seconds)
        _say("claims")
    return found


async def measure(plan: Plan) -> list[Figure]:
    """All parts of a plan."""
    async with asyncio.TaskGroup() as group:
        parts = [group.create_task(part(plan)) for part in (in_virtual_time, with_processes)]
    return [figure for part in parts for figure in part.result()]


def main(plan: Plan, json_file: str | None, plot_file: str | None) -> int:
    """Measure, print, write; the exit status."""
    began = time.monotonic()
    _say(f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}")
    try:
        figures = uvloop.run(until_stopped(measure(plan)))
    except StoppedBySignalError:
        return 130
    except (ValueError, OSError, ExceptionGroup) as problem:
        print(f"orchidferry capacity: {_first(problem)}", file=sys.stderr)
        return 1
    lines = slopes(figures)
    print(table(figures))
    for one in lines:
        print(one.told())
    if json_file:
        about = {
            "seconds": round(time.monotonic() - began, 1),
            "load": os.getloadavg(),
            "cores": os.cpu_count(),
        }
        Path(json_file).write_text(json.dumps(about | packed(figures, lines), indent=1))
    if plot_file:
        plot(figures, plot_file)
    _say(f"done in {time.monotonic() - began:.0f} s, load {os.getloadavg()[0]:.1f}")
    return 0


def _first(problem: BaseException) -> BaseException:
    """What a task of a group failed with; a fault of the program itself is raised again."""
    while isinstance(problem, BaseExceptionGroup):
        problem = problem.exceptions[0]
    if not isinstance(problem, ValueError | OSError):
        raise problem
    return problem


def _say(what: str) -> None:
    print(f"capacity: {what}", file=sys.stderr, flush=True)
