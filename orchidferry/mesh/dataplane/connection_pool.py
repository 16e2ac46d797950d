"""The pool of connections to servers: which idle connection may carry a request."""

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
    """All connections of one kind: to the gates of other machines, or to the server of this one."""

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
        """:param free_sockets: how many more connections there may be.

        :param at_most_once_idle_ms: what may run at most once goes on no connection that was idle for longer.
        :param name: of the pool, for logs.
        """
        super().__init__(loop, connect_timeout_ms, keepalive_ms, free_sockets, timers)
        self._at_most_once_idle_ms = at_most_once_idle_ms
        self.abandoned_responses = AbandonedResponses(name)
        self._idle_limits: dict[int, IdleLimit] = {}  # by server

    def idle_limit(self, server: int) -> IdleLimit:
        """What is known of the time for which a server allows idle connections."""
        limit = self._idle_limits.get(server)
        if limit is None:
            limit = self._idle_limits[server] = IdleLimit(self._idle_limit_ms, self._at_most_once_idle_ms)
        return limit

    def server_removed(self, server: int) -> None:
        """A server is listed no more."""
        super().server_removed(server)
        self._idle_limits.pop(server, None)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Send an attempt on an idle connection that may carry it, else on a new one."""
        assert isinstance(attempt, TrackedAttempt)
        connection = None if fresh else self._reusable(attempt)
        if connection is None:  # a new one takes the place of the one that has been idle longest
            return super().send(attempt, fresh=True)
        self._idle[attempt.server].pop()
        self._idle_by_age.pop(connection, None)
        attempt.set_timeout(
            self.timers, attempt.timeout_ms / 1000.0 if attempt.message.flow is None else UPLOAD_STALL_S
        )
        connection.send_attempt(attempt)
        return None

    def _reusable(self, attempt: TrackedAttempt) -> HttpConnection | None:
        """The connection used last, if it may carry this attempt; those that can carry none are closed."""
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
