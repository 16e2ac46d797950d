"""Load shedding of requests whose servers make nested calls, while those calls are rejected.

If a request needs two nested calls and each is rejected with a probability of one half, half of the nested
work is done for parent requests that fail anyway. So parent requests are shed before they start, by class:
a PI controller keeps the share of them that fail because of rejected nested calls at a target.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TARGET_FAILURE_SHARE = 0.35  # share of a class's requests that may fail because of rejected nested calls
KP = 0.5
KI_PER_S = 0.6
SAMPLES = 10.0  # requests over which that share is averaged
MAX_SHED_SHARE = 0.95  # largest share of requests that is shed: the rest keeps the measurement going
DECAY_MS = 4_000.0  # time constant with which the shed share decays while there are no outcomes


@dataclass(slots=True)
class _ClassState:
    failure_share: float = 0.0  # mean share of requests that failed because of rejected nested calls
    integral: float = 0.0  # integral term of the controller
    last_ms: float = -math.inf  # time of the last outcome


class NestedCallShedder:
    """Sheds parent requests to one service, at one node."""

    def __init__(self) -> None:
        self._classes: dict[str, _ClassState] = {}

    def record_outcome(self, name: str, failed_below: bool, now_ms: float) -> None:
        """Record the outcome of a request.

        :param failed_below: it failed because nested calls of its server were rejected
        """
        state = self._classes.get(name)
        if state is None:
            if not failed_below:
                return  # without such failures there is nothing to control
            state = self._classes[name] = _ClassState()
        passed_s = min(max(0.0, now_ms - state.last_ms), 500.0) / 1000.0
        state.last_ms = now_ms
        state.failure_share += (failed_below - state.failure_share) / SAMPLES
        error = state.failure_share - TARGET_FAILURE_SHARE
        state.integral = min(max(state.integral + KI_PER_S * error * passed_s, 0.0), MAX_SHED_SHARE)
        if not state.integral and state.failure_share < TARGET_FAILURE_SHARE / 8.0:
            del self._classes[name]

    def shed_share(self, name: str, now_ms: float) -> float:
        """The share of a class's first attempts to shed.

        >>> nested = NestedCallShedder()
        >>> for n in range(40): nested.record_outcome("a", True, n * 100.0)
        >>> nested.shed_share("a", 4_000.0) > 0.9, nested.shed_share("b", 4_000.0)
        (True, 0.0)
        """
        state = self._classes.get(name)
        if state is None:
            return 0.0
        output = min(
            max(state.integral + KP * (state.failure_share - TARGET_FAILURE_SHARE), 0.0), MAX_SHED_SHARE
        )
        return output * math.exp(min(0.0, state.last_ms - now_ms) / DECAY_MS)
