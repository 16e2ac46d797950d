"""Runs a plan: fleets in virtual time beside the real processes, then calls; prints what was found."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

import uvloop

from rehearsal.capacity import calls, processes
from rehearsal.capacity.figures import Figure, packed, plot, slopes, table
from rehearsal.capacity.plan import Plan, services_of
from rehearsal.mesh.processes import ROOT
from rehearsal.stop_signals import Stopped, until_stopped

LINE_MOST = 2**20


async def virtual(module: str, *words: str) -> list[Figure]:
    """Figures that a module prints, one a line; its process is gone when this ends."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", f"rehearsal.capacity.{module}", *words, cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE, limit=LINE_MOST,
    )  # fmt: skip
    try:
        out, problem = await process.communicate()
        if process.returncode:
            last = problem.decode("utf-8", "replace").strip().splitlines()[-1:]
            raise ValueError(f"{module} {' '.join(words)}: {' '.join(last)}")
        return [Figure(**json.loads(line)) for line in out.splitlines()]
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
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
        found += await processes.by_nodes(nodes, plan.seconds)
        _say(f"{nodes} nodes round real processes")
    for services in plan.services:
        found += await processes.by_services(plan.wide, services, plan.seconds)
        _say(f"{services} services at {plan.wide} nodes round real processes")
    return found


async def measure(plan: Plan) -> list[Figure]:
    """All parts of a plan."""
    found: list[Figure] = []
    beside: list[asyncio.Task[list[Figure]]] = []
    async with asyncio.TaskGroup() as group:
        if "fleets" in plan.parts:
            beside.append(group.create_task(fleets(plan)))
        if "processes" in plan.parts:
            beside.append(group.create_task(real(plan)))
    for task in beside:
        found += task.result()
    if "calls" in plan.parts:
        found += await calls.measure(plan.calls, plan.seconds)
    if "hours" in plan.parts:
        found += await virtual("hours", str(plan.wide))
    return found


def main(plan: Plan, json_file: str | None, plot_file: str | None) -> int:
    """Measure, print, write; the exit status."""
    began = time.monotonic()
    _say(f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}")
    try:
        figures = uvloop.run(until_stopped(measure(plan)))
    except Stopped:
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
