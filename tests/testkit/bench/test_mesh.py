"""`bench mesh`: selection of measurements, and the plot of their rows."""

from __future__ import annotations

from pathlib import Path

import pytest

from orchidferry.testkit.bench.mesh import MEASUREMENTS, plot, selected
from orchidferry.testkit.bench.mesh_rows import figure_row


def test_an_unknown_measurement_is_rejected_by_name() -> None:
    assert selected(None) == list(MEASUREMENTS) and selected("news,claims") == ["news", "claims"]
    with pytest.raises(ValueError, match="--only frob"):
        selected("claims,frob")


def test_rows_of_all_measurements_are_plotted(tmp_path: Path) -> None:
    rows = [
        figure_row(what, what, unit, [1.0, 400.0]) for what, unit in zip(MEASUREMENTS, "aabbc", strict=True)
    ]
    rows.append(figure_row("claims", "small", "a", [0.1]))
    path = tmp_path / "rows.png"
    plot(rows, str(path))
    assert path.read_bytes().startswith(b"\x89PNG")
