"""Fault-injection days for the operators' bench: complete, within the day's length, reproducible by seed."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
import tomli_w

from orchidferry.testkit.bench import drawn_days

LENGTH_S = 32.0
SITE = {
    "name": "small",
    "length_s": LENGTH_S,
    "contracts": ["base", "keys", "pool"],
    "day": [
        {
            "name": "trouble-1",
            "slot": "trouble",
            "seed": 1,
            "plan": [],
            "faults": [{"kind": "release"}],
            "closing": {"kind": "kill_all"},
            "traffic": [{"zone": "a", "per_s": 5.0}],
        },
        {"name": "scale-1", "slot": "scale", "seed": 2, "faults": [], "traffic": []},
    ],
}


@pytest.mark.parametrize("theme", drawn_days.THEMES)
@pytest.mark.parametrize("seed", range(30))
def test_a_day_has_the_faults_of_its_theme_within_its_length(theme: str, seed: int) -> None:
    day = drawn_days.draw(SITE, theme, seed)
    assert day == drawn_days.draw(SITE, theme, seed)
    assert day["traffic"] == SITE["day"][0]["traffic"]  # type: ignore[index]
    entries = [*day["plan"], *day["faults"]]
    assert all(drawn_days.FIRST_S <= entry["at"] <= LENGTH_S for entry in entries)
    assert all(entry["kind"] in drawn_days.KINDS for entry in entries)
    assert {entry["kind"] for entry in day["plan"]} <= drawn_days.PLANNED_KINDS
    assert not {entry["kind"] for entry in day["faults"]} & drawn_days.PLANNED_KINDS
    kinds = [entry["kind"] for entry in entries]
    assert "srv_flap" not in kinds  # this site does not have the contract `health`
    for required in drawn_days.THEMES[theme]:
        assert required.split()[0] in kinds
    if "core_cut 20" in drawn_days.THEMES[theme]:
        assert any(entry["kind"] == "core_cut" and entry["for_s"] == 20.0 for entry in day["faults"])


def test_the_written_files_contain_the_drawn_days(tmp_path: Path) -> None:
    site = tmp_path / "small.toml"
    site.write_text(tomli_w.dumps(SITE))
    drawn_days.main(site, tmp_path / "days", first=3, count=2)
    files = sorted((tmp_path / "days").iterdir())
    assert len(files) == 2 * len(drawn_days.THEMES)
    read = tomllib.loads((tmp_path / "days" / "small-hundreds-4.toml").read_text())
    assert read == {"day": [drawn_days.draw(SITE, "hundreds", 4)]}
