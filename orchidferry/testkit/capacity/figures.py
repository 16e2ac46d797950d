"""The figures of a run, each one value of one role at one size, and the lines fitted through them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from orchidferry.testkit.capacity.fit import Fit, fit_line
from orchidferry.testkit.capacity.plan import TARGET_CALLS, TARGET_CLAIMS, TARGET_NODES, TARGET_SERVICES

AXES = BY_NODES, BY_SERVICES, BY_CALLS, BY_CLAIMS = "nodes", "services", "calls", "claims"
TARGETS = {
    BY_NODES: TARGET_NODES,
    BY_SERVICES: TARGET_SERVICES,
    BY_CALLS: TARGET_CALLS,
    BY_CLAIMS: TARGET_CLAIMS,
}
REAL = "real"
VIRTUAL = "virtual"
ONCE = "once"  # note of a figure that was measured once and so has no interval
PRECISE_HALF_WIDTH = 0.12  # maximum half width of a precise figure's interval, as a share of the median
# Widths of table columns.
NAME_WIDTH = 60
CELL_WIDTH = 16
LEGEND = (
    "* in virtual time; (a): measured once, no interval; a..b: minimum and maximum of the rounds, where they "
    f"differ by more than {2 * PRECISE_HALF_WIDTH:.0%} of the median; CPU time scaled to the reference speed"
)
MAX_INTERVAL_RATIO = 3.0  # an interval is inconclusive if its ends differ by more than this factor


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    :ivar role: "proxy", "controller", "relay", "tool" or "call"
    :ivar name: name of the measured quantity
    :ivar unit: unit of the value
    :ivar axis: quantity that is varied, one of `AXES`
    :ivar at: value of that quantity
    :ivar value: median of the measured values
    :ivar time: whether it was measured in `REAL` or `VIRTUAL` time
    :ivar note: a remark, or `ONCE`
    :ivar low: minimum of several rounds; None if the value is counted, not timed
    :ivar high: maximum of several rounds; None if the value is counted, not timed
    """

    role: str
    name: str
    unit: str
    axis: str
    at: float
    value: float
    time: str = REAL
    note: str = ""
    low: float | None = None
    high: float | None = None

    @property
    def is_precise(self) -> bool:
        """Whether it is reported as a value, and not as an interval."""
        if self.note == ONCE:
            return False
        if self.low is None or self.high is None:
            return True
        return self.high - self.low <= 2.0 * PRECISE_HALF_WIDTH * abs(self.value)

    @property
    def is_inconclusive(self) -> bool:
        """Whether its rounds differ too much to be conclusive."""
        if self.is_precise or self.low is None or self.high is None:
            return False
        return self.low <= 0.0 or self.high > MAX_INTERVAL_RATIO * self.low

    def cell_text(self) -> str:
        """Return its text in the table; in parentheses if it was measured once.

        >>> figures = [Figure("proxy", "x", "ms", "nodes", 12, 2.0, low=a, high=b)
        ...            for a, b in ((1.9, 2.1), (1.0, 2.5), (-1.0, 9.0))]
        >>> [figure.cell_text() for figure in figures]
        ['2', '1..2.5', 'unknown']
        """
        if self.note == ONCE:
            return f"({self.value:.4g})"
        if self.is_precise:
            return f"{self.value:.4g}"
        return "unknown" if self.is_inconclusive else f"{self.low:.4g}..{self.high:.4g}"


@dataclass(frozen=True, slots=True)
class Slope:
    """A line through the figures of one role and name over one axis."""

    role: str
    name: str
    unit: str
    axis: str
    fit: Fit

    def table_line(self) -> str:
        """Return its line in the table."""
        fit = self.fit
        target = TARGETS[self.axis]
        value, half_width = fit.at(target)
        interval = "no interval" if math.isinf(half_width) else f"+- {half_width:.3g}"
        return (
            f"{self.role:10} {self.name:44} {fit.constant:9.4g} + {fit.slope:9.3g} a {self.axis[:-1]:7} "
            f"(+- {fit.half_width:.2g}), exponent {fit.exponent:5.2f}; "
            f"at {target}: {value:.4g} {interval} {self.unit}"
        )


def slopes(figures: Iterable[Figure]) -> list[Slope]:
    """Return a line for each role, name, unit and axis with figures at two sizes or more."""
    groups: dict[tuple[str, str, str, str], list[tuple[float, float]]] = {}
    for one in figures:
        if one.is_inconclusive:
            continue
        groups.setdefault((one.role, one.name, one.unit, one.axis), []).append((one.at, one.value))
    return [
        Slope(*key, fit_line(points)) for key, points in groups.items() if len({x for x, _ in points}) > 1
    ]


def table(figures: list[Figure]) -> str:
    """Return a table for each axis, with a row for each role and name, and a column for each size."""
    lines = []
    for axis in AXES:
        selected = [one for one in figures if one.axis == axis]
        if not selected:
            continue
        sizes = sorted({one.at for one in selected})
        lines.append(f"by {axis:{NAME_WIDTH + 8}}" + "".join(f"{size:>{CELL_WIDTH}g}" for size in sizes))
        rows = dict.fromkeys((one.role, one.name, one.unit, one.time) for one in selected)
        for role, name, unit, time in rows:
            cells_by_size = {
                o.at: o.cell_text()
                for o in selected
                if (o.role, o.name, o.unit, o.time) == (role, name, unit, time)
            }
            cells = "".join(f"{cells_by_size.get(size, '-'):>{CELL_WIDTH}}" for size in sizes)
            mark = " *" if time == VIRTUAL else ""
            lines.append(f"{role:10} {name:{NAME_WIDTH}}{cells} {unit}{mark}")
    return "\n".join([*lines, LEGEND])


def to_json(figures: list[Figure], lines: list[Slope]) -> dict[str, Any]:
    """Return figures and slopes as written to a JSON file."""
    return {
        "figures": [asdict(one) for one in figures],
        "slopes": [asdict(one) | {"at_target": one.fit.at(TARGETS[one.axis])} for one in lines],
    }


def plot(figures: list[Figure], path: str) -> None:
    """Plot a panel for each role and unit over the number of nodes, with logarithmic axes.

    :param path: image file to write
    """
    from matplotlib.figure import Figure as Drawing

    selected = [one for one in figures if one.axis == BY_NODES and one.value > 0.0]
    units = list(dict.fromkeys((one.role, one.unit) for one in selected))
    columns = 3
    rows = max(1, -(-len(units) // columns))
    drawing = Drawing(figsize=(5.0 * columns, 3.4 * rows), layout="constrained")
    panels = drawing.subplots(rows, columns, squeeze=False)
    for axis, (role, unit) in zip(panels.flat, units, strict=False):
        for name in dict.fromkeys(o.name for o in selected if (o.role, o.unit) == (role, unit)):
            points = sorted(
                (o.at, o.value) for o in selected if (o.role, o.unit, o.name) == (role, unit, name)
            )
            axis.loglog([x for x, _ in points], [y for _, y in points], marker="o", label=name)
        axis.set_title(f"{role}: {unit}", fontsize=9)
        axis.set_xlabel("nodes", fontsize=8)
        axis.grid(alpha=0.25, which="both")
        axis.legend(fontsize=6)
    for axis in list(panels.flat)[len(units) :]:
        axis.set_visible(False)
    drawing.savefig(path, dpi=100)
