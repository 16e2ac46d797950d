"""Joins a node and its part in a chain: headers in and out, and lines for the operators."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from orchidferry.balancing import interface as api
from orchidferry.balancing.chain import Chain, loop_message
from orchidferry.node.chain.settings import Setup
from orchidferry.node.chain.wire import Headers, Wire, read_answer, write_answer

if TYPE_CHECKING:
    from orchidferry.node.attempt import UpstreamResponse
    from orchidferry.node.request import Message

TELL_S = 10.0  # a loop is told of so often at most: a misrouted list makes one of each request
log = logging.getLogger("orchidferry")


class Links:
    """One node's."""

    def __init__(self, setup: Setup, salt: int) -> None:
        # Ids count from 1 at each start; the time tells this life's from the last one's.
        limits = setup.limits
        born = int(time.time())
        self.chain = Chain(limits, f"{limits.tier}-{limits.node}-{salt & 0xFFFF:x}-{born:x}-"[:44])
        self._wire = Wire(setup.keys)
        self._told_s = -TELL_S

    def read(self, message: Message) -> api.Carried | None:
        """What came along with a request that can be believed."""
        if message.chain is None:
            return None
        carried = self._wire.read(message.chain)
        message.chain = None  # the headers are of no further use
        if carried is not None and self.chain.is_loop(carried) and time.monotonic() - self._told_s >= TELL_S:
            self._told_s = time.monotonic()
            log.error("%s", loop_message(carried.path, f"{self.chain.limits.tier}/{self.chain.limits.node}"))
        return carried

    def write(self, carried: api.Carried, timeout_ms: float) -> Headers:
        """The headers of an attempt."""
        return self._wire.write(carried, timeout_ms / 1000.0)

    @staticmethod
    def answer(action: api.Fail | api.Refuse) -> Headers:
        """The headers of an answer."""
        return write_answer(action.below, action.used)

    @staticmethod
    def read_answer(answer: UpstreamResponse | None) -> tuple[bool, int]:
        """What a server tells of its own calls."""
        return read_answer(answer.chain) if answer is not None else (False, 0)
