"""How much of a request's budget is set aside for the resending of lost datagrams. No I/O.

Lost data is sent again after the probe timeout of its sender (RFC 9002, section 6.2), which doubles with each
further loss. The two ends of a path have about the same probe timeout.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_BUDGET_FRACTION = 0.05  # share of a request's budget that is set aside, for each direction
MAX_DOUBLINGS = 6
# Probe timeouts after which a loss no longer matters: data that was lost, and lost once more when it was
# resent, has arrived by then.
RECENT_PROBE_TIMEOUTS = 3.0


@dataclass(frozen=True, slots=True)
class Loss:
    """Packets of a connection that were missing when a later packet was received."""

    packets: int  # number of consecutive missing packets
    age_ms: float  # time since that later packet was received


def resend_delay_ms(probe_timeout_ms: float, lost: int, budget_ms: float) -> float:
    """Return the delay of data that was lost a number of times, up to `MAX_BUDGET_FRACTION` of the budget.

    :param probe_timeout_ms: the probe timeout of the connection.
    :param lost: number of consecutive losses.
    :param budget_ms: the total time that the client waits for the response.
    """
    probe_timeouts: int = 2 ** min(lost, MAX_DOUBLINGS) - 1
    return min(probe_timeout_ms * probe_timeouts, MAX_BUDGET_FRACTION * budget_ms)


def time_in_transit_ms(probe_timeout_ms: float, loss: Loss, budget_ms: float) -> float:
    """Return how long ago a request that arrives now was sent, up to `MAX_BUDGET_FRACTION` of the budget.

    A missing packet was sent before its loss was noticed, and so was a request that it carried.

    :param probe_timeout_ms: the probe timeout of the connection.
    :param loss: the most recent loss that was noticed before the request was complete.
    :param budget_ms: the total time that the client waits for the response.
    """
    if loss.age_ms >= RECENT_PROBE_TIMEOUTS * probe_timeout_ms:
        return 0.0
    resent_ms = resend_delay_ms(probe_timeout_ms, loss.packets, budget_ms)
    return max(resent_ms, min(loss.age_ms, MAX_BUDGET_FRACTION * budget_ms))
