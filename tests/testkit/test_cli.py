"""Command line of the kit: exit statuses, one-line errors, imports of the node, and printed reports."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from rich.console import Console

from orchidferry.testkit import bench, cli
from orchidferry.testkit.bench import decisions, kit
from orchidferry.testkit.judge.verdict import Verdict
from orchidferry.testkit.mesh.day import DAYS
from orchidferry.testkit.record import ConnectionClosed, Incident
from orchidferry.testkit.report import terminal
from orchidferry.testkit.report.page import page
from orchidferry.testkit.report.series import series
from orchidferry.testkit.scenario import load_scenario, shipped
from orchidferry.testkit.world.director import Progress
from tests.balancing.test_wirehost import ROOT
from tests.testkit.judge.test_verdict import clean, resent_unsafe


def call(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], *args: str
) -> tuple[int, str, str]:
    monkeypatch.setattr(sys, "argv", ["orchidferry", *args])
    try:
        status = cli.main()
    except SystemExit as program_exit:
        status = int(program_exit.code or 0)
    captured = capsys.readouterr()
    return status, captured.out, captured.err


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (("rehearse",), "no scenario is given"),
        (("rehearse", "no-such"), "no-such: no such scenario"),
        (("rehearse", "none.toml"), "none.toml: No such file"),
        (("rehearse", "calm", "--seed", "-3"), "--seed -3"),
        (("rehearse", "calm", "--seed", "x"), "--seed: invalid int value"),
        (("rehearse", "calm", "--seeds", "3"), "--seeds: only scenarios of the mesh take it"),
        (("rehearse", "mesh-calm", "--seeds", "0"), "--seeds 0: not within 1 to 1000"),
        (("rehearse", "calm", "--seconds", "nan"), "--seconds nan"),
        (("rehearse", "calm", "--seconds", "0"), "--seconds 0"),
        (("rehearse", "calm", "--protocol", "h9"), "--protocol: invalid choice"),
        (("rehearse", "calm", "--protocol", "h3", "--loss", "0.7"), "--loss 0.7"),
        (("rehearse", "calm", "--loss", "0.01"), "--loss: only datagrams"),
        (
            ("rehearse", "calm", "--json", "/no/such/folder/x.json"),
            "/no/such/folder/x.json: can't be written",
        ),
        (("rehearse", "slow-server", "--seconds", "3"), "timeline[0].at"),
        (("rehears",), "invalid choice"),
        (("bench", "spread", "no-such"), "no such scenario"),
        (("bench", "spread", "calm", "--runs", "0"), "--runs 0"),
        (("bench",), "WHAT"),
    ],
)
def test_bad_usage_is_one_line_and_status_2(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], args: tuple[str, ...], message: str
) -> None:
    status, out, err = call(monkeypatch, capsys, *args)
    assert status == 2
    assert message in err
    assert len(err.splitlines()) == 1
    assert out == ""


def test_a_scenario_file_error_names_file_and_field(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    path = tmp_path / "mine.toml"
    path.write_text('name = "x"\n[load]\nrate = "fast"\n')
    status, _, err = call(monkeypatch, capsys, "rehearse", str(path))
    assert (status, err) == (2, f"orchidferry rehearse: {path}: [load].rate: 'fast' is not a number\n")


def test_a_folder_to_keep_must_be_empty(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    (tmp_path / "precious").write_text("x")
    status, _, err = call(monkeypatch, capsys, "rehearse", "calm", "--keep", str(tmp_path))
    assert status == 2 and "is not empty" in err


def test_list_prints_one_line_per_scenario(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    status, out, _ = call(monkeypatch, capsys, "rehearse", "--list")
    assert status == 0
    assert [line.split()[0] for line in out.splitlines()] == [*shipped(), *DAYS]


@pytest.mark.parametrize("args", [("rehearse", "--help"), ("bench", "--help"), ("bench", "spread", "--help")])
def test_help_has_an_example(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], args: tuple[str, ...]
) -> None:
    status, out, _ = call(monkeypatch, capsys, *args)
    assert status == 0 and "example: orchidferry" in out


def test_the_node_imports_neither_the_kit_nor_its_libraries() -> None:
    code = (
        "import sys, orchidferry.__main__\n"
        "print(*[m for m in sys.modules if m.startswith('orchidferry.testkit')])\n"
        "print(*sorted({m.partition('.')[0] for m in sys.modules} & "
        "{'rich', 'hdrh', 'matplotlib', 'numpy', 'argparse'}))"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.strip() == ""


def test_both_entry_points_run_the_node_without_arguments() -> None:
    for module in ("orchidferry", "orchidferry.testkit.cli"):
        completed = subprocess.run(
            [sys.executable, "-m", module], cwd=ROOT, capture_output=True, text=True, check=False, env={}
        )
        assert completed.returncode == 2
        assert completed.stderr == "orchidferry: NODE_CONFIG must name the configuration file\n"


def test_the_module_orchidferry_runs_commands_of_the_kit() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "orchidferry", "rehearse", "--list"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 0 and "slow-server" in completed.stdout


def test_a_missing_library_is_named(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def missing(name: str) -> Any:
        raise ModuleNotFoundError("No module named 'rich'", name="rich")

    monkeypatch.setattr("importlib.import_module", missing)
    status, _, err = call(monkeypatch, capsys, "rehearse", "calm")
    assert status == 2
    assert err == "orchidferry: rehearse needs rich: pip install 'orchidferry[kit]'\n"


def test_a_closed_output_pipe_causes_no_traceback() -> None:
    completed = subprocess.run(
        f"{sys.executable} -m orchidferry.testkit.cli rehearse --list | true",
        shell=True,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.stderr == ""


# Reports


def terminal_text(verdict: Verdict) -> str:
    console = Console(file=io.StringIO(), width=120)
    terminal.show(console, verdict)
    assert isinstance(console.file, io.StringIO)
    return console.file.getvalue()


def verdict_with_incident(complete: bool = True) -> Verdict:
    run = clean()
    run.put(Incident(3.0, 9.0, "slow", "<b>a</b>"))
    verdict = run.judge(complete)
    verdict.why = "" if complete else "node <n0> ended by itself"
    return verdict


def test_the_terminal_report_shows_rules_incidents_and_that_no_rule_broke() -> None:
    text = terminal_text(verdict_with_incident())
    assert "no rule broken" in text
    assert "3 s slow: <b>a</b>" in text
    assert text.count("│ pass ") == 4


def test_the_terminal_report_shows_a_violation_with_its_history() -> None:
    run = clean()
    resent_unsafe(run)
    text = terminal_text(run.judge())
    assert "FAIL" in text and "no rule broken" not in text
    assert "request r2.0 to entrada, at 3.060 s" in text
    assert "server b (cell 1) had read it" in text


def test_the_terminal_report_shows_an_incomplete_and_a_void_run() -> None:
    verdict = verdict_with_incident(complete=False)
    verdict.lateness.void.append("clients asked late")
    text = terminal_text(verdict)
    assert "cut off: node <n0> ended by itself" in text
    assert "void: clients asked late" in text
    assert "no rule broken" not in text


def test_the_html_report_is_self_contained_and_escapes_text() -> None:
    text = page(verdict_with_incident(complete=False))
    assert "<b>a</b>" not in text and "&lt;b&gt;a&lt;/b&gt;" in text
    assert "node &lt;n0&gt; ended" in text
    assert text.count("<svg") == 1 and text.rstrip().endswith("</html>")
    assert "<script" not in text and "<link" not in text and "src=" not in text


def test_series_add_up_to_the_requests_and_attempts() -> None:
    verdict = verdict_with_incident()
    figures = series(verdict)
    assert sum(figures.asked) * figures.step_s == verdict.client_requests
    assert sum(figures.attempts[0]) * figures.step_s == verdict.arrivals_by_tier[0]
    assert sum(figures.rejected[0]) * figures.step_s == 2
    assert figures.in_flight[-1] == 0.0 and max(figures.in_flight) >= 1.0


def test_a_request_whose_connection_closes_twice_is_in_flight_once() -> None:
    run = clean()
    run.ask("x.0", "ler-feed", 10.0)
    run.put(
        ConnectionClosed(10.1, 0, "x.0", "n0", "reset", True),
        ConnectionClosed(10.1, 0, "x.0", "n0", "refused", False),
    )
    assert min(series(run.judge()).in_flight) == 0.0


def test_the_status_line_shows_counts_and_current_incidents() -> None:
    progress = Progress("playing", 6.0, 100, 90, 5, [(5.0, 13.0, "slow a"), (14.0, 15.0, "crash b")])
    line = terminal.status_line(load_scenario("slow-server"), progress)
    assert "asked 100, served 90, open 5" in line
    assert "slow a" in line and "crash b" not in line


def test_the_bench_names_the_machine_and_its_scenarios_are_valid() -> None:
    assert "cores" in bench.machine()
    for _, scenario_of in kit.sizes():
        small = scenario_of(0)
        large = scenario_of(1)
        assert small != large
        assert sum(cls.share for cls in small.classes) == 1.0


def test_the_decisions_bench_measures_requests_and_changes() -> None:
    for trouble in decisions.FLEET_STATES:
        row = decisions.measure(10, 1, trouble, 60)
        assert row["requests"] == 60
        assert 0.0 < row["request_us"] < 1e5 and 0.0 < row["change_ms"] < 1e3


def test_a_folder_without_the_module_to_compare_is_an_error(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    status, _, err = call(monkeypatch, capsys, "bench", "decisions", "--against", str(tmp_path))
    assert status == 2 and "holds no orchidferry/balancing/logic.py" in err
