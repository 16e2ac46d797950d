"""Complete rehearsals with real processes: faults that they detect, how they end, and their clean-up."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from orchidferry.testkit.judge.verdict import Verdict, judge
from orchidferry.testkit.record import (
    ExecutionStarted,
    Fact,
    Incident,
    RequestReceived,
    RequestScheduled,
    RequestSent,
    ServerUp,
)
from orchidferry.testkit.scenario import Scenario, load_scenario, read_scenario
from orchidferry.testkit.world.director import Progress, Run, rehearse
from tests.balancing.test_wirehost import ROOT
from tests.node.peers import LIMIT_S

TIERS = [
    {"name": "front", "servers": 4, "work": 0.4, "calls": 1, "cell": 2, "cold_from": 0.15},
    {"name": "back", "servers": 4, "work": 0.6, "cell": 2},
]
# Generous limits, as tests share the machine: these runs check rules, not the service level.
LIMITS = {"lag_p99": "5s", "lag_most": "5s", "stall": "5s", "starved": 1.0}
# Longest stall of the kit's processes in a valid run: clients give up after 2 s, and a stall of the machine
# is not a fault of the node.
MAX_STALL_S = 0.5
PLAYS_MOST = 4


def scenario(*timeline: dict[str, Any], **changes: Any) -> Scenario:
    table = {
        "name": "small",
        "length": "5s",
        "tier": TIERS,
        "limits": LIMITS,
        "load": {"rate": 30},
        "front": {"nodes": 2},
        "timeline": list(timeline),
        "workers": 1,
    }
    return read_scenario(table | changes, "test")


def play(one: Scenario, keep: Path | None = None) -> tuple[Run, Verdict]:
    """Run and judge a scenario; repeat runs in which the kit itself stalled, at most `PLAYS_MOST` in all.

    Such a run is void, whatever its verdict. The result of the last run counts in any case.
    """
    import uvloop

    for _ in range(PLAYS_MOST):
        run = uvloop.run(rehearse(one, Progress(), keep))
        verdict = judge(one, run.facts, run.start, run.end, run.complete, run.why)
        if verdict.lateness.stall_s <= MAX_STALL_S:
            break
    return run, verdict


def faulty_node(fault: str) -> dict[str, Any]:
    return {"command": [sys.executable, "-B", "-m", "tests.testkit.broken_node", fault]}


DRAIN = {"at": "1s", "do": "drain", "tier": "front", "count": 1, "after": "5s"}
ERRORS = {"at": "500ms", "do": "errors", "tier": "front", "share": 1.0, "rate": 0.5, "for": "4s"}
ADD = {"at": "500ms", "do": "add", "tier": "front", "count": 1}
QUICK = {"notice": "200ms", "add": "200ms"}


def test_a_run_of_correct_nodes_breaks_no_rule_and_checks_each() -> None:
    one = scenario(
        DRAIN | {"after": "3s", "back": "200ms", "renamed": True},
        {"at": "500ms", "do": "crash", "tier": "back", "count": 1, "back": "500ms"},
        length="6s",
        discovery=QUICK,
    )
    run, verdict = play(one)
    assert run.complete, run.why
    assert verdict.broken_rules == [], [f.violations for f in verdict.rules.values()]
    assert all(finding.checked for finding in verdict.rules.values())
    assert verdict.service.overall is not None and verdict.service.overall > 0.8


@pytest.mark.parametrize(
    ("fault", "rule", "timeline"),
    [
        ("answers-twice", "no_request_lost", []),
        ("loses-answers", "no_request_lost", []),
        ("makes-up-answers", "no_request_lost", [ERRORS]),
        ("resends-unsafe", "no_effect_twice", [ERRORS]),
        ("ignores-drains", "drains_kept", [DRAIN]),
        ("floods-cold", "cold_servers_spared", [ADD]),
    ],
)
def test_a_node_that_breaks_a_rule_is_detected(fault: str, rule: str, timeline: list[dict[str, Any]]) -> None:
    one = scenario(*timeline, node=faulty_node(fault), discovery=QUICK, load={"rate": 50})
    run, verdict = play(one)
    assert run.complete, run.why
    assert rule in verdict.broken_rules
    assert verdict.rules[rule].violations[0].history
    assert not verdict.passed


def test_a_seed_determines_arrivals_faults_and_random_choices() -> None:
    one = scenario(
        {"at": "1s", "do": "slow", "tier": "back", "count": 1, "factor": 4, "for": "1s"}, ERRORS, length="3s"
    )
    (first, _), (second, _) = play(one), play(one)

    def seeded_facts(run: Run) -> dict[str, Any]:
        facts_by_kind: dict[str, Any] = {"wanted": [], "incidents": [], "work": {}, "speeds": {}, "tries": {}}
        for fact in run.facts:
            match fact:
                case RequestScheduled():
                    facts_by_kind["wanted"].append((round(fact.t - run.start, 6), fact.root, fact.cls))
                case Incident():
                    facts_by_kind["incidents"].append((round(fact.t - run.start, 6), fact.do, fact.whom))
                case RequestReceived():
                    facts_by_kind["work"][fact.tier, fact.id.partition(".")[0]] = fact.work
                case ServerUp():
                    facts_by_kind["speeds"][fact.server] = fact.capacity
                case RequestSent() if fact.tier == 0 and fact.number == 0:
                    facts_by_kind["tries"][fact.id] = (fact.cls, round(fact.ends - fact.intended, 6))
        return facts_by_kind

    a, b = seeded_facts(first), seeded_facts(second)
    assert a["wanted"] == b["wanted"] and len(a["wanted"]) > 60
    assert a["incidents"] == b["incidents"]
    assert a["speeds"] == b["speeds"]
    assert a["tries"] == b["tries"]
    both = a["work"].keys() & b["work"].keys()  # a call that an error ended early may occur in only one run
    assert len(both) > 0.9 * len(a["work"])
    assert {k: a["work"][k] for k in both} == {k: b["work"][k] for k in both}


def start_command(tmp_path: Path, *args: str, **changes: Any) -> subprocess.Popen[str]:
    """Start the command as a process, with a long scenario from a file."""
    lines = [
        'name = "long"',
        'length = "60s"',
        "workers = 1",
        "[load]",
        "rate = 20",
        "[[tier]]",
        'name = "front"',
        "servers = 2",
        "work = 0.5",
        "calls = 1",
        "[[tier]]",
        'name = "back"',
        "servers = 2",
        "work = 0.5",
    ]
    for table, values in changes.items():
        lines += [f"[{table}]", *(f"{key} = {json.dumps(value)}" for key, value in values.items())]
    path = tmp_path / "long.toml"
    path.write_text("\n".join(lines) + "\n")
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "orchidferry.testkit.cli",
            "rehearse",
            str(path),
            "--json",
            str(tmp_path / "out.json"),
            "--keep",
            str(tmp_path / "kept"),
            *args,
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def processes_of(folder: Path) -> list[int]:
    """Return the processes that name the folder in their command line or environment.

    When none is left, the ports of the run are free too.
    """
    pids = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            text = (path / "cmdline").read_bytes() + (path / "environ").read_bytes()
        except OSError:
            continue
        if str(folder).encode() in text and int(path.name) != os.getpid():
            pids.append(int(path.name))
    return pids


def wait_until(holds: Any) -> None:
    deadline = time.monotonic() + LIMIT_S
    while not holds():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def wait_until_playing(tmp_path: Path) -> None:
    """Wait until the record shows more than 20 answered requests; attempts of one request count once."""
    record = tmp_path / "kept" / "clients0.facts"

    def answered() -> int:
        complete_lines = record.read_text().rpartition("\n")[0].splitlines() if record.exists() else []
        rows = [json.loads(line) for line in complete_lines if line.startswith('["answered"')]
        return len({id.partition(".")[0] for _, _, _, id, *_ in rows})

    wait_until(lambda: answered() > 20)


@pytest.mark.parametrize(("number", "status"), [(signal.SIGINT, 130), (signal.SIGTERM, 130)])
def test_a_stopped_run_reports_its_results_so_far(
    tmp_path: Path, number: signal.Signals, status: int
) -> None:
    process = start_command(tmp_path)
    wait_until_playing(tmp_path)
    process.send_signal(number)
    out, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == status, err
    verdict = json.loads((tmp_path / "out.json").read_text())
    assert verdict["complete"] is False
    assert verdict["run"]["why"] == f"stopped by {number.name}"
    assert verdict["requests"]["asked"] > 10
    assert verdict["rules"]["no_request_lost"]["checked"] > 10
    assert verdict["rules"]["no_request_lost"]["held"], verdict["rules"]["no_request_lost"]["broken"]
    assert "cut off" in out
    assert processes_of(tmp_path) == []


def test_a_node_that_exits_ends_the_run_with_the_results_so_far(tmp_path: Path) -> None:
    process = start_command(tmp_path, node=faulty_node("dies"))
    _out, err = process.communicate(timeout=2 * LIMIT_S)
    assert process.returncode == 1, err
    verdict = json.loads((tmp_path / "out.json").read_text())
    assert verdict["complete"] is False
    assert "ended by itself (exit 3)" in verdict["run"]["why"]
    assert "simulated unexpected failure" in verdict["run"]["why"]
    assert verdict["requests"]["asked"] > 0
    assert processes_of(tmp_path) == []


def test_a_killed_worker_process_ends_the_run_with_the_results_so_far(tmp_path: Path) -> None:
    process = start_command(tmp_path)
    wait_until_playing(tmp_path)
    [world] = [
        pid for pid in processes_of(tmp_path) if b"world0" in Path(f"/proc/{pid}/cmdline").read_bytes()
    ]
    os.kill(world, signal.SIGKILL)
    _, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 1, err
    verdict = json.loads((tmp_path / "out.json").read_text())
    assert verdict["complete"] is False
    assert "world0, a process of the kit, ended with status -9" in verdict["run"]["why"]
    assert verdict["requests"]["asked"] > 10
    assert processes_of(tmp_path) == []


def test_a_killed_director_leaves_no_process_behind(tmp_path: Path) -> None:
    process = start_command(tmp_path)
    wait_until_playing(tmp_path)
    assert len(processes_of(tmp_path)) >= 6
    process.kill()
    process.communicate(timeout=LIMIT_S)
    wait_until(lambda: processes_of(tmp_path) == [])


def test_a_node_that_can_not_start_ends_the_run_with_the_reason(tmp_path: Path) -> None:
    process = start_command(tmp_path, node={"command": ["/nonexistent/node"]})
    process.communicate(timeout=LIMIT_S)
    assert process.returncode == 1
    assert "No such file" in json.loads((tmp_path / "out.json").read_text())["run"]["why"]


def test_unsafe_requests_are_executed_at_most_once_while_servers_fail() -> None:
    one = scenario(ERRORS, {"at": "1s", "do": "resets", "tier": "back", "count": 2, "rate": 0.5, "for": "3s"})
    run, verdict = play(one)
    assert run.complete, run.why
    assert verdict.broken_rules == [], [f.violations for f in verdict.rules.values()]
    unsafe = {
        fact.id for fact in run.facts if isinstance(fact, RequestReceived) and fact.cls == "repasse-socio"
    }
    began: list[Fact] = [f for f in run.facts if isinstance(f, ExecutionStarted) and f.id in unsafe]
    assert len(began) == len({(f.tier, f.id) for f in began if isinstance(f, ExecutionStarted)})
    assert verdict.service.classes["repasse-socio"].failed > 0


def test_make_demo_runs_the_shipped_slow_server_scenario() -> None:
    assert "rehearse slow-server" in (ROOT / "Makefile").read_text()
    assert load_scenario("slow-server").length_s <= 30.0
