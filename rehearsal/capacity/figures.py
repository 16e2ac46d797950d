"""The figures of a run: one value of one role at one size, and the lines fitted through them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from rehearsal.capacity.fit import Fit, line
from rehearsal.capacity.plan import TARGET_NODES, TARGET_SERVICES

BY_NODES, BY_SERVICES, BY_CALLS = "nodes", "services", "calls"
TARGETS = {BY_NODES: TARGET_NODES, BY_SERVICES: TARGET_SERVICES, BY_CALLS: 64}
REAL, VIRTUAL = "real", "virtual"


@dataclass(frozen=True, slots=True)
class Figure:
    """One value: `time` says whether clocks were real or virtual."""

    role: str  # proxy, controller, relay, tool, call
    name: str
    unit: str
    axis: str  # what is varied: nodes, services, calls
    at: float
    value: float
    time: str = REAL
    note: str = ""


@dataclass(frozen=True, slots=True)
class Slope:
    """A line through one role's figures of one name."""

    role: str
    name: str
    unit: str
    axis: str
    fit: Fit

    def told(self) -> str:
        """As a line of the table."""
        fit, to = self.fit, TARGETS[self.axis]
        value, half = fit.at(to)
        width = "no interval" if math.isinf(half) else f"+- {half:.3g}"
        return (
            f"{self.role:10} {self.name:44} {fit.constant:9.4g} + {fit.slope:9.3g} a {self.axis[:-1]:7} "
            f"(+- {fit.half_width:.2g}), exponent {fit.exponent:5.2f}; "
            f"at {to}: {value:.4g} {width} {self.unit}"
        )


def slopes(figures: Iterable[Figure]) -> list[Slope]:
    """A line for each role, name and axis with two sizes or more."""
    groups: dict[tuple[str, str, str, str], list[tuple[float, float]]] = {}
    for one in figures:
        groups.setdefault((one.role, one.name, one.unit, one.axis), []).append((one.at, one.value))
    return [Slope(*key, line(points)) for key, points in groups.items() if len({x for x, _ in points}) > 1]


def table(figures: list[Figure]) -> str:
    """Rows by role and name, a column a size."""
    lines = []
    for axis in (BY_NODES, BY_SERVICES, BY_CALLS):
        some = [one for one in figures if one.axis == axis]
        if not some:
            continue
        sizes = sorted({one.at for one in some})
        lines.append(f"by {axis:55}" + "".join(f"{size:>11g}" for size in sizes))
        rows = dict.fromkeys((one.role, one.name, one.unit, one.time) for one in some)
        for role, name, unit, time in rows:
            found = {
                o.at: o.value for o in some if (o.role, o.name, o.unit, o.time) == (role, name, unit, time)
            }
            cells = "".join(f"{found[size]:>11.4g}" if size in found else f"{'-':>11}" for size in sizes)
            mark = " *" if time == VIRTUAL else ""
            lines.append(f"{role:10} {name:47}{cells} {unit}{mark}")
    return "\n".join([*lines, "* in virtual time"])


def packed(figures: list[Figure], lines: list[Slope]) -> dict[str, Any]:
    """All of it for a file."""
    return {
        "figures": [asdict(one) for one in figures],
        "slopes": [asdict(one) | {"at_target": one.fit.at(TARGETS[one.axis])} for one in lines],
    }


def plot(figures: list[Figure], path: str) -> None:
    """A panel for each role and unit over the nodes, with both axes by powers of ten."""
    from matplotlib.figure import Figure as Drawing

    some = [one for one in figures if one.axis == BY_NODES and one.value > 0.0]
    units = list(dict.fromkeys((one.role, one.unit) for one in some))
    columns = 3
    rows = max(1, -(-len(units) // columns))
    drawing = Drawing(figsize=(5.0 * columns, 3.4 * rows), layout="constrained")
    panels = drawing.subplots(rows, columns, squeeze=False)
    for axis, (role, unit) in zip(panels.flat, units, strict=False):
        for name in dict.fromkeys(o.name for o in some if (o.role, o.unit) == (role, unit)):
            points = sorted((o.at, o.value) for o in some if (o.role, o.unit, o.name) == (role, unit, name))
            axis.loglog([x for x, _ in points], [y for _, y in points], marker="o", label=name)
        axis.set_title(f"{role}: {unit}", fontsize=9)
        axis.set_xlabel("nodes", fontsize=8)
        axis.grid(alpha=0.25, which="both")
        axis.legend(fontsize=6)
    for axis in list(panels.flat)[len(units) :]:
        axis.set_visible(False)
    drawing.savefig(path, dpi=100)
