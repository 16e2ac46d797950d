"""Rows of `orchidferry bench mesh`: a figure over its repeats, printed and written to `--json`."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import Any

from orchidferry.testkit.judge.quantiles import quantile as nearest_rank

Row = dict[str, Any]  # an object of `--json`


def quantile(values: Sequence[float], q: float) -> float:
    """Return the smallest of the values that at least a fraction `q` of them do not exceed.

    >>> quantile([3, 1, 2, 4], 0.5), quantile([5], 0.99), quantile(range(1, 101), 0.99)
    (2, 5, 99)
    """
    value = nearest_rank(sorted(values), q)
    assert value is not None, "quantile of no values"
    return value


def figure_row(what: str, name: str, unit: str, values: Sequence[float], **details: Any) -> Row:
    """Make and print the row of a figure.

    :param what: name of the measurement.
    :param name: name of the figure.
    :param unit: unit of the values.
    :param values: one value per repeat.
    :param details: further fields; `broken` marks a row that makes the command fail.
    :raises ValueError: if nothing was measured.
    """
    if not values:
        raise ValueError(f"{what}: {name}: nothing was measured")
    row = {
        "what": what,
        "name": name,
        "unit": unit,
        "min": round(min(values), 4),
        "median": round(statistics.median(values), 4),
        "max": round(max(values), 4),
        "of": len(values),
        **details,
    }
    notes = "".join(f"; {key} {value}" for key, value in details.items() if key != "broken")
    broken = "  BROKEN" if details.get("broken") else ""
    print(
        f"  {name:58} {row['median']:>10.5g} {unit} ({row['min']:.5g} to {row['max']:.5g}, "
        f"of {len(values)}){notes}{broken}",
        flush=True,
    )
    return row
