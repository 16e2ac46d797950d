"""The pool of connections to servers; it selects the idle connection that may carry a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from orchidferry.mesh.dataplane.abandoned_responses import AbandonedResponses
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.http_connection import HttpConnection
from orchidferry.mesh.dataplane.idle_limit import IdleLimit
from orchidferry.node.attempt import Attempt
from orchidferry.node.clock import now_ms
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import Upstream
from orchidferry.node.upstream_connection import UPLOAD_STALL_S


class HttpConnectionPool(Upstream):
    """All connections of one kind: to admission gates, or to the server on this machine."""

    connection_class = HttpConnection

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        free_sockets: Callable[[], int],
        timers: TimerQueue,
        at_most_once_idle_ms: float,
        name: str = "gate",
    ) -> None:
        """:param free_sockets: returns how many more connections may be opened.

        :param at_most_once_idle_ms: longest idle time of a connection that carries an at-most-once request.
        :param name: name of the pool, for logs.
        """
        super().__init__(loop, connect_timeout_ms, keepalive_ms, free_sockets, timers)
        self._at_most_once_idle_ms = at_most_once_idle_ms
        self.abandoned_responses = AbandonedResponses(name)
        self._idle_limits: dict[int, IdleLimit] = {}  # by server

    def idle_limit(self, server: int) -> IdleLimit:
        """Return the limit on the idle time of connections to a server."""
        limit = self._idle_limits.get(server)
        if limit is None:
            limit = self._idle_limits[server] = IdleLimit(self._idle_limit_ms, self._at_most_once_idle_ms)
        return limit

    def server_removed(self, server: int) -> None:
        """Forget a server that is no longer listed."""
        super().server_removed(server)
        self._idle_limits.pop(server, None)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Send an attempt on an idle connection that may carry it, else on a new one."""
        assert isinstance(attempt, TrackedAttempt)
        connection = None if fresh else self._reusable(attempt)
        if connection is None:
            # Closes the server's longest idle connection, so that connections don't accumulate.
            return super().send(attempt, fresh=True)
        self._idle[attempt.server].pop()
        self._idle_by_age.pop(connection, None)
        attempt.set_timeout(
            self.timers, attempt.timeout_ms / 1000.0 if attempt.message.flow is None else UPLOAD_STALL_S
        )
        connection.send_attempt(attempt)
        return None

    def _reusable(self, attempt: TrackedAttempt) -> HttpConnection | None:
        """Return the most recently used idle connection if it may carry this attempt.

        Connections that can't carry any attempt are closed.
        """
        idle = cast(list[HttpConnection], self._idle.get(attempt.server, []))
        now = now_ms()
        limit = self.idle_limit(attempt.server)
        while idle:
            newest = idle[-1]
            idle_ms = now - newest.idle_since
            if newest.address == attempt.address and newest.is_reusable():
                if limit.allows(idle_ms, attempt.at_most_once, now):
                    newest.reused_after(idle_ms)
                    return None if newest.has_carried(attempt.message.id) else newest
                if limit.allows(idle_ms, False, now):
                    return None
            newest.close()
        return None
