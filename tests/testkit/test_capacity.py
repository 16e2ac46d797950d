"""`orchidferry capacity`: its plan, fitted lines and comparisons, small simulations and small real fleets."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.testkit.capacity import fleets, hours, processes
from orchidferry.testkit.capacity.compare import compare_runs
from orchidferry.testkit.capacity.figures import Figure, slopes, table
from orchidferry.testkit.capacity.fit import fit_line
from orchidferry.testkit.capacity.plan import PlanError, parse_plan

COMMAND = (sys.executable, "-m", "orchidferry.testkit.cli", "capacity")


@given(
    st.floats(-50, 50),
    st.floats(-50, 50),
    st.sets(st.integers(1, 2_000), min_size=3, max_size=8),
)
def test_fitting_collinear_points_returns_their_line(slope: float, constant: float, xs: set[int]) -> None:
    fit = fit_line([(x, constant + slope * x) for x in xs])
    assert fit.slope == pytest.approx(slope, abs=1e-6)
    assert fit.at(740.0)[0] == pytest.approx(constant + slope * 740.0, abs=1e-3)
    assert fit.half_width == pytest.approx(0.0, abs=1e-6)


def test_scattered_points_widen_the_interval_with_the_distance_from_them() -> None:
    fit = fit_line([(10, 1.0), (20, 2.3), (30, 2.9), (40, 4.2)])
    near = fit.at(25.0)
    far = fit.at(740.0)
    assert abs(fit.slope - 0.1) < fit.half_width
    assert 0.0 < near[1] < far[1]


def test_a_figure_with_one_size_has_no_slope_but_is_in_the_table() -> None:
    figures = [Figure("proxy", "x", "MB", "nodes", 12, 30.0)]
    assert slopes(figures) == []
    assert "proxy      x" in table(figures)


@pytest.mark.parametrize(
    "arguments",
    [("--nodes", "0"), ("--nodes", "90000"), ("--nodes", "12,x"), ("--only", "tea"), ("--seconds", "0")],
)
def test_invalid_options_print_one_line_and_return_status_2(arguments: tuple[str, ...]) -> None:
    completed = subprocess.run([*COMMAND, *arguments], capture_output=True, text=True, timeout=60)
    assert completed.returncode == 2
    assert len(completed.stderr.splitlines()) == 1 and arguments[0] in completed.stderr


def test_a_fleet_over_the_memory_limit_is_rejected() -> None:
    with pytest.raises(PlanError, match="GB"):
        parse_plan("5000", "2", "50", None, 1.0)


def test_a_small_simulated_fleet_has_figures_of_every_role() -> None:
    figures = fleets.measure(16, 3)
    values = {(one.role, one.name): one.value for one in figures}
    # Two renewals per second at each of five controllers.
    assert values["proxy", "idle: messages out"] == 10.0
    assert values["controller", "idle: messages in"] == 32.0
    text = values["proxy", "configuration: as kept and passed on"]
    # The text is received completely and just once; lease traffic is subtracted.
    assert text < values["proxy", "configuration: bytes in"] < 1.5 * text
    # The one-way delay to the other region is 35 ms.
    assert values["proxy", "configuration: last node"] > 35.0
    assert "0 missed" in [one.note for one in figures]


def test_in_each_hour_all_nodes_of_a_small_fleet_know_each_other_at_the_end() -> None:
    figures = list(hours.measure(24, partition_s=20.0))
    assert {one.note for one in figures if one.name.endswith("nodes that do not know all")} == {"24 nodes"}
    assert all(one.value == 0.0 for one in figures if one.name.endswith("nodes that do not know all"))


def test_two_simulations_have_the_same_counts() -> None:
    """Each process has its own hash seed, so iteration over sets differs as between real runs."""
    results = []
    for seed in ("1", "2"):
        command = [sys.executable, "-m", "orchidferry.testkit.capacity.hours", "16", "zone"]
        environment = os.environ | {"PYTHONHASHSEED": seed}
        completed = subprocess.run(command, env=environment, capture_output=True, check=True, timeout=60)
        figures = [Figure(**json.loads(line)) for line in completed.stdout.splitlines()]
        results.append([one for one in figures if "CPU" not in one.name])
    assert results[0] == results[1] and len(results[0]) >= 8


def test_runs_are_compared_by_values_or_by_intervals_and_differences_are_listed() -> None:
    def run(*values: tuple[float, float, float]) -> list[Figure]:
        return [
            Figure("proxy", f"x{n}", "ms", "nodes", 12, value, low=low, high=high)
            for n, (value, low, high) in enumerate(values)
        ]

    first = run((10.0, 9.9, 10.1), (10.0, 5.0, 12.0), (1.0, -1.0, 2.0), (10.0, 9.9, 10.1))
    second = run((11.0, 10.9, 11.1), (14.0, 11.0, 19.0), (1.0, -1.0, 2.0), (13.0, 12.9, 13.1))
    agreement = compare_runs(first, second)
    assert (agreement.precise, agreement.intervals, agreement.inconclusive, agreement.unmatched) == (
        2,
        1,
        1,
        0,
    )
    assert len(agreement.disagreements) == 1 and "x3" in agreement.disagreements[0]


def test_a_small_real_fleet_has_figures_and_leaves_no_processes() -> None:
    before = _child_pids()
    figures = asyncio.run(processes.measure(20, 4, "nodes", 0.5))
    names = {(one.role, one.name) for one in figures}
    for role in ("proxy", "controller"):
        assert {(role, "peak memory"), (role, "record change: CPU"), (role, "configuration: CPU")} <= names
    assert set(_child_pids()) <= set(before)


def test_told_to_end_it_ends_its_processes_first() -> None:
    arguments = ("--nodes", "12", "--only", "processes", "--seconds", "20")
    command = subprocess.Popen([*COMMAND, *arguments], stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30.0
    while len(_child_pids(command.pid)) < 5 and time.monotonic() < deadline:
        time.sleep(0.1)
    started = _child_pids(command.pid)
    command.send_signal(signal.SIGTERM)
    assert command.wait(30) == 130
    assert started and not [pid for pid in started if _is_running(pid)]


def test_sigterm_ends_the_forked_processes_of_hours_too() -> None:
    command = subprocess.Popen([*COMMAND, "--nodes", "160", "--only", "hours"], stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30.0
    started: list[int] = []
    while len(started) < 3 and time.monotonic() < deadline:
        time.sleep(0.1)
        started = [pid for one in _child_pids(command.pid) for pid in (one, *_child_pids(one))]
    command.send_signal(signal.SIGTERM)
    assert command.wait(30) == 130
    while any(map(_is_running, started)) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert len(started) >= 3 and not any(map(_is_running, started))


def test_figures_are_written_as_json(tmp_path: Path) -> None:
    file = tmp_path / "figures.json"
    options = ("--nodes", "8,16", "--only", "fleets", "--json", str(file), "--plot", str(tmp_path / "a.png"))
    subprocess.run([*COMMAND, *options], check=True, capture_output=True, timeout=120)
    document = json.loads(file.read_text())
    assert {one["at"] for one in document["figures"]} == {8, 16}
    messages = next(
        one
        for one in document["slopes"]
        if one["name"] == "idle: messages in" and one["role"] == "controller"
    )
    assert messages["fit"]["slope"] == pytest.approx(2.0)


def _child_pids(parent: int | None = None) -> list[int]:
    pids = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == (parent or os.getpid()) and fields[0] != "Z":
            pids.append(int(stat.parent.name))
    return pids


def _is_running(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False
