"""Rehearsals with a control service: the script drawn by seed, the check of its outcome, and a short run."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from orchidferry.balancing.configuration import Part
from orchidferry.node.control.messages import EDS, TYPES
from orchidferry.testkit.control.script import FAULTS, draw_pushes, draw_stream_end_times, outcome
from orchidferry.testkit.control.service import NodeAnswer
from orchidferry.testkit.scenario import Scenario, ScenarioError, load_scenario, override, read_scenario
from tests.balancing.test_wirehost import ROOT

SCENARIO = load_scenario("hundred-versions")


def test_the_script_depends_on_the_seed_and_has_every_fault() -> None:
    pushes = draw_pushes(SCENARIO)
    assert pushes == draw_pushes(SCENARIO) and draw_stream_end_times(SCENARIO) == draw_stream_end_times(
        SCENARIO
    )
    other = override(SCENARIO, 99)
    assert pushes != draw_pushes(other) and draw_stream_end_times(SCENARIO) != draw_stream_end_times(other)
    assert len(pushes) == 100 and [p.t for p in pushes] == sorted(p.t for p in pushes)
    assert Counter(p.bad for p in pushes if p.bad) == Counter(FAULTS)
    assert not pushes[-1].bad and pushes[-1].last
    assert pushes[0].t > 0.0 and pushes[-1].t < SCENARIO.length_s * 0.9
    assert sum(p.drain for p in pushes) >= 3
    assert len(draw_stream_end_times(SCENARIO)) == 5


def members_answers(*answers: tuple[str, str, str]) -> list[NodeAnswer]:
    """Return answers to versions of the members, from the node, label and reason of each."""
    return [NodeAnswer(node, EDS, "1", label, reason) for node, label, reason in answers]


def test_wrong_answers_and_nodes_without_the_last_version_are_problems() -> None:
    pushes = draw_pushes(SCENARIO)
    bad = [p.label for p in pushes if p.bad]
    good = next(p.label for p in pushes if not p.bad)
    final = [NodeAnswer(n, url, "1", "v100", "") for n in ("n0", "n1") for url in TYPES.values()]
    refused = members_answers(*((n, label, "unfit") for n in ("n0", "n1") for label in bad))
    sound = outcome(pushes, ("n0", "n1"), refused + final, lambda node, label: True)
    assert sound.problems == [] and sound.sent == 100 and sound.bad == 10
    assert sound.final == {n: {part.value: "v100" for part in Part} for n in ("n0", "n1")}

    def problems(answers: list[NodeAnswer]) -> str:
        return "; ".join(outcome(pushes, ("n0", "n1"), answers, lambda node, label: True).problems)

    assert problems(refused[1:] + final) == f"n0 did not refuse {bad[0]}"
    assert f"n1 refused {good}, which is good: why" in problems(
        refused + final + members_answers(("n1", good, "why"))
    )
    assert f"n1 accepted {bad[3]}, which is bad" in problems(
        refused + final + members_answers(("n1", bad[3], ""))
    )
    assert "n1 ends with v099 of members, not with v100" in problems(
        refused + final + members_answers(("n1", "v099", ""))
    )
    assert "n1 ends with nothing of settings" in problems(refused + final[:2] + final[2:3])
    away = outcome(pushes, ("n0", "n1"), refused[1:] + final, lambda node, label: node != "n0")
    assert away.problems == []  # n0 had no stream at any version, so it need not refuse


@pytest.mark.parametrize(
    ("table", "expected"),
    [
        ({"versions": 5}, "need service = true"),
        ({"service": True, "versions": 5, "bad": 5}, r"\[control\].bad: 5 of 5 versions"),
        ({"service": 1}, r"\[control\].service: 1 is neither"),
    ],
)
def test_an_invalid_control_table_raises_an_error_that_names_it(
    table: dict[str, object], expected: str
) -> None:
    with pytest.raises(ScenarioError, match=expected):
        read_scenario({"name": "x", "control": table}, "x.toml")


def test_a_short_run_ends_with_every_node_on_the_last_good_version(tmp_path: Path) -> None:
    file = tmp_path / "versions.toml"
    file.write_text(
        'name = "versions"\nlength = "8s"\n[load]\nrate = 20\n[front]\nnodes = 2\n'
        "[control]\nservice = true\nversions = 16\nbad = 3\ncuts = 1\n"
        # Loose limits on lag: a slow machine must not fail this test, which is about versions.
        '[limits]\nlag_p99 = "5s"\nlag_most = "9s"\nstall = "9s"\nstarved = 1.0\n'
        '[[timeline]]\nat = "2s"\ndo = "node-killed"\ncount = 1\nback = "500ms"\n'
    )
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "orchidferry.testkit.cli",
            "rehearse",
            str(file),
            "--json",
            str(tmp_path / "out.json"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    found = json.loads((tmp_path / "out.json").read_text())
    assert done.returncode == 0, done.stdout + done.stderr
    control = found["control"]
    assert (control["sent"], control["bad"], control["problems"]) == (16, 3, [])
    assert control["final_versions"] == {n: {p.value: "v016" for p in Part} for n in ("n0", "n1")}
    assert control["refused"] >= 3 and set(control["reasons"]) <= {f"v{n:03}" for n in range(1, 16)}
    assert "16 versions, 3 bad" in done.stdout
    assert isinstance(SCENARIO, Scenario)
