"""Runs a plan and prints its figures; simulations in virtual time run in parallel to real processes."""

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
from orchidferry.testkit.capacity.figures import BY_SERVICES, Figure, plot, slopes, table, to_json
from orchidferry.testkit.capacity.plan import Plan, services_of
from orchidferry.testkit.mesh.processes import ROOT
from orchidferry.testkit.stop_signals import StoppedBySignalError, until_stopped
from orchidferry.testkit.world.nodes import prepare_child

MAX_LINE = 2**20
SHARE_OF_ROUND = 0.6  # duration of a load of calls or claims, as a share of a round: many loads take turns
DESCRIPTORS = 256  # file descriptor limit of a simulation process, which opens none of its own


async def run_simulation(module: str, *arguments: str) -> list[Figure]:
    """Run a simulation in a process of its own, which has ended when this returns.

    :param module: name of the module in this package
    :param arguments: arguments of the module
    :returns: the figures that it prints, one per line
    :raises ValueError: if it fails
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"orchidferry.testkit.capacity.{module}",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=MAX_LINE,
        env=os.environ | {"PYTHONHASHSEED": "0"},
        start_new_session=True,
        preexec_fn=partial(prepare_child, DESCRIPTORS),
    )
    try:
        out, error = await process.communicate()
        if process.returncode:
            last = error.decode("utf-8", "replace").strip().splitlines()[-1:]
            raise ValueError(f"{module} {' '.join(arguments)}: {' '.join(last)}")
        return [Figure(**json.loads(line)) for line in out.splitlines()]
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)  # including the processes that it has forked
            await process.wait()


async def simulate_fleets(plan: Plan) -> list[Figure]:
    """Simulate fleets of all sizes, one after the other."""
    figures: list[Figure] = []
    for nodes in plan.nodes:
        figures += await run_simulation("fleets", str(nodes), str(services_of(nodes)))
        _print_progress(f"fleet of {nodes} in virtual time")
    return figures


async def measure_processes(plan: Plan) -> list[Figure]:
    """Measure real processes at all sizes, then at all numbers of services at one size."""
    figures: list[Figure] = []
    for nodes in plan.nodes:
        size_figures = await processes.by_nodes(nodes, plan.seconds)
        figures += size_figures
        if nodes == plan.main_size:
            figures += [replace(one, axis=BY_SERVICES, at=services_of(nodes)) for one in size_figures]
        _print_progress(f"{nodes} nodes with real processes")
    for services in plan.services:
        figures += await processes.by_services(plan.main_size, services, plan.seconds)
        _print_progress(f"{services} services at {plan.main_size} nodes with real processes")
    return figures


async def run_simulations(plan: Plan) -> list[Figure]:
    """Simulate failure scenarios and, in parallel, fleets of all sizes."""
    async with asyncio.TaskGroup() as group:
        hour_tasks = [group.create_task(simulate_hours(plan))] if "hours" in plan.parts else []
        fleet_tasks = [group.create_task(simulate_fleets(plan))] if "fleets" in plan.parts else []
    return [figure for task in (*fleet_tasks, *hour_tasks) for figure in task.result()]


async def simulate_hours(plan: Plan) -> list[Figure]:
    """Simulate the failure scenarios at the main size."""
    figures = await run_simulation("hours", str(plan.main_size))
    _print_progress(f"hours of {plan.main_size} nodes in virtual time")
    return figures


async def run_real_parts(plan: Plan) -> list[Figure]:
    """Run the parts that use real processes, one after the other."""
    figures: list[Figure] = []
    if "processes" in plan.parts:
        figures += await measure_processes(plan)
    if "calls" in plan.parts:
        figures += await calls.measure(plan.calls, SHARE_OF_ROUND * plan.seconds)
        _print_progress("calls")
    if "claims" in plan.parts:
        figures += await claims.measure(SHARE_OF_ROUND * plan.seconds)
        _print_progress("claims")
    return figures


async def measure(plan: Plan) -> list[Figure]:
    """Run all parts of a plan."""
    async with asyncio.TaskGroup() as group:
        parts = [group.create_task(part(plan)) for part in (run_simulations, run_real_parts)]
    return [figure for part in parts for figure in part.result()]


def main(plan: Plan, json_file: str | None, plot_file: str | None) -> int:
    """Run a plan, print its figures and write them to files.

    :param json_file: JSON file to write; None for none
    :param plot_file: image file to write; None for none
    :returns: the exit status
    """
    began = time.monotonic()
    _print_progress(f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}")
    try:
        figures = uvloop.run(until_stopped(measure(plan)))
    except StoppedBySignalError:
        return 130
    except (ValueError, OSError, ExceptionGroup) as error:
        print(f"orchidferry capacity: {_first_cause(error)}", file=sys.stderr)
        return 1
    lines = slopes(figures)
    print(table(figures))
    for one in lines:
        print(one.table_line())
    if json_file:
        run_data = {
            "seconds": round(time.monotonic() - began, 1),
            "load": os.getloadavg(),
            "cores": os.cpu_count(),
        }
        Path(json_file).write_text(json.dumps(run_data | to_json(figures, lines), indent=1))
    if plot_file:
        plot(figures, plot_file)
    _print_progress(f"done in {time.monotonic() - began:.0f} s, load {os.getloadavg()[0]:.1f}")
    return 0


def _first_cause(error: BaseException) -> BaseException:
    """Return the first exception of a group; raise it again if it is a programming error."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if not isinstance(error, ValueError | OSError):
        raise error
    return error


def _print_progress(text: str) -> None:
    print(f"capacity: {text}", file=sys.stderr, flush=True)
