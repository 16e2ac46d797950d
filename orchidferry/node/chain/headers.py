"""The chain headers of a node's requests and answers: reading, writing, and logging of loops."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from orchidferry.balancing import interface as api
from orchidferry.balancing.chain import Chain, loop_message
from orchidferry.node.chain.settings import ChainSettings
from orchidferry.node.chain.wire import HeaderCodec, Headers, read_answer, write_answer

if TYPE_CHECKING:
    from orchidferry.node.attempt import UpstreamResponse
    from orchidferry.node.request import Message

LOOP_LOG_S = 10.0  # minimum time between log lines: a wrong server list makes every request a loop
MAX_ID_PREFIX = 44  # maximum length of the prefix of the node's ids, in characters
log = logging.getLogger("orchidferry")


class ChainHeaders:
    """Reads and writes the chain headers of one node, and owns its `Chain`."""

    def __init__(self, settings: ChainSettings, salt: int) -> None:
        """:param salt: distinguishes the ids of different nodes."""
        # Ids count from 1 at each start; the start time distinguishes them from those of earlier processes.
        limits = settings.limits
        start_s = int(time.time())
        self.chain = Chain(
            limits, f"{limits.tier}-{limits.node}-{salt & 0xFFFF:x}-{start_s:x}-"[:MAX_ID_PREFIX]
        )
        self._codec = HeaderCodec(settings.keys)
        self._loop_logged_s = -LOOP_LOG_S  # when a loop was last logged

    def read(self, message: Message) -> api.Carried | None:
        """Return the values in a request's chain headers if they are authentic, and drop the headers."""
        if message.chain is None:
            return None
        carried = self._codec.read(message.chain)
        message.chain = None  # the headers are no longer needed
        if (
            carried is not None
            and self.chain.is_loop(carried)
            and time.monotonic() - self._loop_logged_s >= LOOP_LOG_S
        ):
            self._loop_logged_s = time.monotonic()
            log.error("%s", loop_message(carried.path, f"{self.chain.limits.tier}/{self.chain.limits.node}"))
        return carried

    def write(self, carried: api.Carried, timeout_ms: float) -> Headers:
        """Return the chain headers of an attempt.

        :param timeout_ms: the timeout of the attempt.
        """
        return self._codec.write(carried, timeout_ms / 1000.0)

    @staticmethod
    def answer(action: api.Fail | api.Refuse) -> Headers:
        """Return the chain headers of an answer to a client."""
        return write_answer(action.below, action.used)

    @staticmethod
    def read_answer(answer: UpstreamResponse | None) -> tuple[bool, int]:
        """Return a server's report on its own calls; see `wire.read_answer`."""
        return read_answer(answer.chain) if answer is not None else (False, 0)
