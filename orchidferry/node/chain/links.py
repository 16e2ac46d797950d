"""What a node does for its chain of tiers: reads and writes the headers, and logs loops."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from orchidferry.balancing import interface as api
from orchidferry.balancing.chain import Chain, loop_message
from orchidferry.node.chain.settings import Setup
from orchidferry.node.chain.wire import HeaderCodec, Headers, read_answer, write_answer

if TYPE_CHECKING:
    from orchidferry.node.attempt import UpstreamResponse
    from orchidferry.node.request import Message

LOOP_LOG_S = 10.0  # a loop is logged no more often: a wrong server list makes one of each request
MAX_ID_PREFIX = 44  # characters
log = logging.getLogger("orchidferry")


class Links:
    """The chain headers of one node."""

    def __init__(self, setup: Setup, salt: int) -> None:
        """:param salt: makes the ids of nodes differ."""
        # Ids count from 1 at each start; the time makes them differ from those of the last incarnation.
        limits = setup.limits
        born = int(time.time())
        self.chain = Chain(limits, f"{limits.tier}-{limits.node}-{salt & 0xFFFF:x}-{born:x}-"[:MAX_ID_PREFIX])
        self._wire = HeaderCodec(setup.keys)
        self._loop_logged_s = -LOOP_LOG_S

    def read(self, message: Message) -> api.Carried | None:
        """Return what a request's headers say, if they are authentic; they are dropped then."""
        if message.chain is None:
            return None
        carried = self._wire.read(message.chain)
        message.chain = None  # the headers are not needed any more
        if (
            carried is not None
            and self.chain.is_loop(carried)
            and time.monotonic() - self._loop_logged_s >= LOOP_LOG_S
        ):
            self._loop_logged_s = time.monotonic()
            log.error("%s", loop_message(carried.path, f"{self.chain.limits.tier}/{self.chain.limits.node}"))
        return carried

    def write(self, carried: api.Carried, timeout_ms: float) -> Headers:
        """Return the headers of an attempt.

        :param timeout_ms: of the attempt.
        """
        return self._wire.write(carried, timeout_ms / 1000.0)

    @staticmethod
    def answer(action: api.Fail | api.Refuse) -> Headers:
        """Return the headers of an answer."""
        return write_answer(action.below, action.used)

    @staticmethod
    def read_answer(answer: UpstreamResponse | None) -> tuple[bool, int]:
        """Return what a server says of its own calls, see `wire.read_answer`."""
        return read_answer(answer.chain) if answer is not None else (False, 0)
