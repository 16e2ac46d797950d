"""How much of a request's time is set aside for datagrams that are lost on the way. Pure.

A lost datagram comes again after the probe timeout of its sender (RFC 9002, section 6.2), which doubles with
each further loss. The two ends of a path have about the same probe timeout.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_SHARE = 0.05  # of a request's time, each way
MAX_DOUBLINGS = 6
RECENT_PROBE_TIMEOUTS = 3.0  # in which what was lost, and lost once more when it came again, has come


@dataclass(frozen=True, slots=True)
class Loss:
    """Packets of a connection that were missing when a later one came."""

    packets: int  # in a row
    age_ms: float  # since that later one came


def resend_delay_ms(probe_timeout_ms: float, lost: int, budget_ms: float) -> float:
    """Return the time after which data arrives that was lost some times in a row, within its share.

    :param lost: datagrams in a row.
    :param budget_ms: the time that the client waits in all.
    """
    probe_timeouts: int = 2 ** min(lost, MAX_DOUBLINGS) - 1
    return min(probe_timeout_ms * probe_timeouts, MAX_SHARE * budget_ms)


def time_on_its_way_ms(probe_timeout_ms: float, loss: Loss, budget_ms: float) -> float:
    """Return how long ago a request was sent that arrives now, within its share.

    What is missing was sent before the loss was noticed, so a request that it held was, too.

    :param loss: the last one that was noticed before the request was complete.
    :param budget_ms: the time that the client waits in all.
    """
    if loss.age_ms >= RECENT_PROBE_TIMEOUTS * probe_timeout_ms:
        return 0.0
    resent_ms = resend_delay_ms(probe_timeout_ms, loss.packets, budget_ms)
    return max(resent_ms, min(loss.age_ms, MAX_SHARE * budget_ms))
