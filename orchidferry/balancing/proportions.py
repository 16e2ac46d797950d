"""Confidence intervals of proportions, and a test whether one proportion is above another.

Wilson, "Probable inference, the law of succession, and statistical inference" (1927).
"""

from __future__ import annotations

import math

CONFIDENCE_LEVEL = 3.3  # width of the interval to each side, in standard deviations
MARGIN = 0.01  # a failure rate that is higher by less than this is accepted


def wilson_interval(failed: int, total: int, level: float = CONFIDENCE_LEVEL) -> tuple[float, float]:
    """The Wilson score interval of a proportion, within [0, 1]; (0, 1) without any observations.

    :param level: width of the interval to each side, in standard deviations
    """
    if total <= 0:
        return 0.0, 1.0
    p = failed / total
    z2 = level * level
    centre = p + z2 / (2.0 * total)
    half = level * math.sqrt(p * (1.0 - p) / total + z2 / (4.0 * total**2))
    low = (centre - half) / (1.0 + z2 / total)
    high = (centre + half) / (1.0 + z2 / total)
    return max(0.0, min(low, p)), min(1.0, max(high, p))  # corrects rounding errors


def is_worse(offered_answers: tuple[int, int], other_answers: tuple[int, int]) -> bool:
    """Whether the failure rate of one group exceeds another's by more than `MARGIN`, with high confidence.

    :param offered_answers: the number of failed and of all answers of the group that is tested
    :param other_answers: the same of the group that it is compared with
    """
    return wilson_interval(*offered_answers)[0] > wilson_interval(*other_answers)[1] + MARGIN
