"""How much of a request's time is set aside for datagrams that are lost on the way. Pure.

A lost datagram comes again after the probe timeout of its sender (RFC 9002, section 6.2), which doubles with
each further loss. The two ends of a path have about the same probe timeout.
"""

from __future__ import annotations

MAX_SHARE = 0.05  # of a request's time, each way
MAX_DOUBLINGS = 6


def resend_delay_ms(probe_timeout_ms: float, lost: int, budget_ms: float) -> float:
    """Return the time after which data arrives that was lost some times in a row, within its share.

    :param lost: datagrams in a row.
    :param budget_ms: the time that the client waits in all.
    """
    probe_timeouts: int = 2 ** min(lost, MAX_DOUBLINGS) - 1
    return min(probe_timeout_ms * probe_timeouts, MAX_SHARE * budget_ms)
