"""Confidence intervals of proportions, and whether one proportion is above another.

Wilson, "Probable inference, the law of succession, and statistical inference" (1927).
"""

from __future__ import annotations

import math

CONFIDENCE_LEVEL = 3.3  # standard deviations of the bounds
MARGIN = 0.01  # a share of failures that is higher by less than this is accepted


def wilson_interval(failed: int, total: int, level: float = CONFIDENCE_LEVEL) -> tuple[float, float]:
    """Wilson's interval of a proportion, within [0, 1]; (0, 1) without any evidence.

    :param level: standard deviations
    """
    if total <= 0:
        return 0.0, 1.0
    p = failed / total
    z2 = level * level
    centre = p + z2 / (2.0 * total)
    half = level * math.sqrt(p * (1.0 - p) / total + z2 / (4.0 * total**2))
    low = (centre - half) / (1.0 + z2 / total)
    high = (centre + half) / (1.0 + z2 / total)
    return max(0.0, min(low, p)), min(1.0, max(high, p))  # rounding aside


def is_worse(offered_answers: tuple[int, int], other_answers: tuple[int, int]) -> bool:
    """Whether the share of failures in one group is surely higher than in another, by more than `MARGIN`.

    :param offered_answers: failed and all answers of the one
    :param other_answers: and of the other
    """
    return wilson_interval(*offered_answers)[0] > wilson_interval(*other_answers)[1] + MARGIN
