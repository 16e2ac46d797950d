"""Least-squares lines through measured points with confidence intervals, and the exponent of a power law."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Student's t for a 95% confidence interval, by degrees of freedom.
T95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31}
T95_MANY = 1.96


@dataclass(frozen=True, slots=True)
class Fit:
    """The least-squares line `y = constant + slope * x`.

    :ivar slope: slope of the line
    :ivar constant: value at `x = 0`
    :ivar half_width: half width of the slope's 95% confidence interval; infinite with two points
    :ivar exponent: of `y ~ x ** exponent`; NaN unless all coordinates are positive
    :ivar x_mean: mean of x
    :ivar x_spread: sum of the squared deviations of x from its mean
    :ivar scatter: standard deviation of the points around the line
    :ivar points: number of points
    """

    slope: float
    constant: float
    half_width: float
    exponent: float
    x_mean: float
    x_spread: float
    scatter: float
    points: int

    def at(self, x: float) -> tuple[float, float]:
        """Return the value on the line, and the half width of its 95% confidence interval.

        >>> fit_line([(1, 2.0), (2, 4.0), (3, 6.0)]).at(10)
        (20.0, 0.0)
        """
        if self.points < 3:
            return self.constant + self.slope * x, math.inf
        width = self.scatter * math.sqrt(1.0 / self.points + (x - self.x_mean) ** 2 / self.x_spread)
        return self.constant + self.slope * x, _t_quantile(self.points) * width


def _t_quantile(points: int) -> float:
    return T95.get(points - 2, T95_MANY)


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through points.

    :raises ValueError: if there are fewer than two different values of x

    >>> fit = fit_line([(1, 1.0), (2, 4.0), (4, 16.0)])
    >>> round(fit.exponent, 3), round(fit.slope, 2)
    (2.0, 5.14)
    """
    n = len(points)
    x_mean = sum(x for x, _ in points) / n if n else 0.0
    spread = sum((x - x_mean) ** 2 for x, _ in points)
    if spread == 0.0:
        raise ValueError("a line needs points at two different x values")
    y_mean = sum(y for _, y in points) / n
    slope = sum((x - x_mean) * (y - y_mean) for x, y in points) / spread
    constant = y_mean - slope * x_mean
    half_width = math.inf
    scatter = 0.0
    if n > 2:
        scatter = math.sqrt(sum((y - constant - slope * x) ** 2 for x, y in points) / (n - 2))
        half_width = _t_quantile(n) * scatter / math.sqrt(spread)
    return Fit(slope, constant, half_width, _exponent(points), x_mean, spread, scatter, n)


def _exponent(points: Sequence[tuple[float, float]]) -> float:
    if any(x <= 0.0 or y <= 0.0 for x, y in points):
        return math.nan
    logs = [(math.log(x), math.log(y)) for x, y in points]
    x_mean = sum(x for x, _ in logs) / len(logs)
    y_mean = sum(y for _, y in logs) / len(logs)
    spread = sum((x - x_mean) ** 2 for x, _ in logs)
    return sum((x - x_mean) * (y - y_mean) for x, y in logs) / spread
