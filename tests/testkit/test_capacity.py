"""`orchidferry capacity`: its plan, its lines, and one small size of each part with real processes."""

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
def test_a_line_through_points_of_a_line_is_that_line(slope: float, constant: float, xs: set[int]) -> None:
    fit = fit_line([(x, constant + slope * x) for x in xs])
    assert fit.slope == pytest.approx(slope, abs=1e-6)
    assert fit.at(740.0)[0] == pytest.approx(constant + slope * 740.0, abs=1e-3)
    assert fit.half_width == pytest.approx(0.0, abs=1e-6)


def test_points_off_the_line_widen_the_interval_most_far_from_them() -> None:
    fit = fit_line([(10, 1.0), (20, 2.3), (30, 2.9), (40, 4.2)])
    near = fit.at(25.0)
    far = fit.at(740.0)
    assert abs(fit.slope - 0.1) < fit.half_width
    assert 0.0 < near[1] < far[1]


def test_one_size_gives_no_slope_but_stands_in_the_table() -> None:
    figures = [Figure("proxy", "x", "MB", "nodes", 12, 30.0)]
    assert slopes(figures) == []
    assert "proxy      x" in table(figures)


@pytest.mark.parametrize(
    "words",
    [("--nodes", "0"), ("--nodes", "90000"), ("--nodes", "12,x"), ("--only", "tea"), ("--seconds", "0")],
)
def test_bad_input_is_one_line_and_status_2(words: tuple[str, ...]) -> None:
    ended = subprocess.run([*COMMAND, *words], capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2
    assert len(ended.stderr.splitlines()) == 1 and words[0] in ended.stderr


def test_a_fleet_over_the_memory_bound_is_refused() -> None:
    with pytest.raises(PlanError, match="GB"):
        parse_plan("5000", "2", "50", None, 1.0)


def test_a_small_fleet_in_virtual_time_gives_every_role_its_figures() -> None:
    figures = fleets.measure(16, 3)
    by = {(one.role, one.name): one.value for one in figures}
    assert by["proxy", "idle: messages out"] == 10.0  # two renewals a second at each of five controllers
    assert by["controller", "idle: messages in"] == 32.0
    text = by["proxy", "configuration: as kept and passed on"]
    assert text < by["proxy", "configuration: bytes in"] < 1.5 * text  # whole, and once; leases taken off
    assert by["proxy", "configuration: last node"] > 35.0  # the other region
    assert "0 missed" in [one.note for one in figures]


def test_hours_of_a_small_fleet_end_with_everybody_knowing_everybody() -> None:
    figures = list(hours.measure(24, partition_s=20.0))
    assert {one.note for one in figures if one.name.endswith("nodes that do not know all")} == {"24 nodes"}
    assert all(one.value == 0.0 for one in figures if one.name.endswith("nodes that do not know all"))


def test_two_runs_in_virtual_time_count_the_same() -> None:
    """The hash of words is drawn anew in each process, as on two days."""
    found = []
    for seed in ("1", "2"):
        command = [sys.executable, "-m", "orchidferry.testkit.capacity.hours", "16", "zone"]
        environment = os.environ | {"PYTHONHASHSEED": seed}
        ended = subprocess.run(command, env=environment, capture_output=True, check=True, timeout=60)
        figures = [Figure(**json.loads(words)) for words in ended.stdout.splitlines()]
        found.append([one for one in figures if "CPU" not in one.name])
    assert found[0] == found[1] and len(found[0]) >= 8


def test_two_runs_agree_by_values_or_by_intervals_and_what_does_not_is_told() -> None:
    def run(*values: tuple[float, float, float]) -> list[Figure]:
        return [
            Figure("proxy", f"x{n}", "ms", "nodes", 12, value, low=low, high=high)
            for n, (value, low, high) in enumerate(values)
        ]

    first = run((10.0, 9.9, 10.1), (10.0, 5.0, 12.0), (1.0, -1.0, 2.0), (10.0, 9.9, 10.1))
    second = run((11.0, 10.9, 11.1), (14.0, 11.0, 19.0), (1.0, -1.0, 2.0), (13.0, 12.9, 13.1))
    found = compare_runs(first, second)
    assert (found.precise, found.intervals, found.inconclusive, found.unmatched) == (2, 1, 1, 0)
    assert len(found.disagreements) == 1 and "x3" in found.disagreements[0]


def test_a_small_fleet_of_real_processes_gives_figures_and_ends_them() -> None:
    before = _children()
    figures = asyncio.run(processes.measure(20, 4, "nodes", 0.5))
    names = {(one.role, one.name) for one in figures}
    for role in ("proxy", "controller"):
        assert {(role, "peak memory"), (role, "record change: CPU"), (role, "configuration: CPU")} <= names
    assert set(_children()) <= set(before)


def test_told_to_end_it_ends_its_processes_first() -> None:
    words = ("--nodes", "12", "--only", "processes", "--seconds", "20")
    command = subprocess.Popen([*COMMAND, *words], stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30.0
    while len(_children(command.pid)) < 5 and time.monotonic() < deadline:
        time.sleep(0.1)
    started = _children(command.pid)
    command.send_signal(signal.SIGTERM)
    assert command.wait(30) == 130
    assert started and not [pid for pid in started if _runs(pid)]


def test_told_to_end_it_ends_the_hours_that_were_forked_too() -> None:
    command = subprocess.Popen([*COMMAND, "--nodes", "160", "--only", "hours"], stderr=subprocess.DEVNULL)
    deadline = time.monotonic() + 30.0
    started: list[int] = []
    while len(started) < 3 and time.monotonic() < deadline:
        time.sleep(0.1)
        started = [pid for one in _children(command.pid) for pid in (one, *_children(one))]
    command.send_signal(signal.SIGTERM)
    assert command.wait(30) == 130
    while any(map(_runs, started)) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert len(started) >= 3 and not any(map(_runs, started))


def test_the_figures_come_as_json(tmp_path: Path) -> None:
    file = tmp_path / "figures.json"
    words = ("--nodes", "8,16", "--only", "fleets", "--json", str(file), "--plot", str(tmp_path / "a.png"))
    subprocess.run([*COMMAND, *words], check=True, capture_output=True, timeout=120)
    found = json.loads(file.read_text())
    assert {one["at"] for one in found["figures"]} == {8, 16}
    messages = next(
        one for one in found["slopes"] if one["name"] == "idle: messages in" and one["role"] == "controller"
    )
    assert messages["fit"]["slope"] == pytest.approx(2.0)


def _children(parent: int | None = None) -> list[int]:
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == (parent or os.getpid()) and fields[0] != "Z":
            found.append(int(stat.parent.name))
    return found


def _runs(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False
