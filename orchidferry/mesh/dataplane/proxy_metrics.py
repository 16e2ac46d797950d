"""The metrics of a proxy and their text format.

Counters start at 0 with the process and never decrease, so readers take differences. Each line is
`NAME=value`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.listener import Listener
from orchidferry.node.connection_end import EndCause, Owed
from orchidferry.node.connection_stage import Stage

METRICS_TYPE = b"text/plain; charset=utf-8"


def render_metrics(
    listeners: Sequence[Listener],
    pools: Mapping[str, HttpConnectionPool],
    in_flight: int,
    revision: int,
    wanted_revision: int,
) -> bytes:
    """Return all metrics as text.

    :param listeners: the outbound and the inbound listener.
    :param pools: connection pools, by name.
    :param in_flight: number of requests at the server on this machine.
    :param revision: revision of the configuration in force; 0 before the first.
    :param wanted_revision: newest revision that was announced to this proxy; 0 for none.
    """
    lines = [
        f"proxy.configuration.revision={revision}",
        f"proxy.configuration.wanted_revision={wanted_revision}",
        f"proxy.gate.in_flight={in_flight}",
    ]
    for listener in listeners:
        lines += _listener_metrics(listener)
    for name, pool in pools.items():
        lines.append(f"proxy.pool.{name}.connections={pool.count()}")
        for cause in AbandonCause:
            count = pool.abandoned_responses.by_cause[cause]
            lines.append(f"proxy.pool.{name}.abandoned.{cause.value}={count}")
    return "\n".join([*lines, ""]).encode()


def _listener_metrics(listener: Listener) -> list[str]:
    prefix = f"proxy.{listener.name}"
    lines = [
        f"{prefix}.connections={listener.count()}",
        f"{prefix}.max_connections={listener.max_connections}",
        f"{prefix}.evicted={listener.evicted}",
    ]
    for stage in Stage:
        lines.append(f"{prefix}.connections.{stage.name.lower()}={listener.count_in(stage)}")
    for cause in EndCause:
        for owed in Owed:
            count = listener.incomplete_ends[cause, owed]
            lines.append(f"{prefix}.incomplete.{cause.value}.{owed.value}={count}")
    return lines
